//! Log compaction, and sending snapshots in chunks to replicas that need compacted entries.

use std::sync::Arc;

use bytes::Bytes;

use crate::agreement::Output;
use crate::agreement::Snapshot;
use crate::agreement::coding;
use crate::agreement::message::Body;
use crate::agreement::message::Position;
use crate::agreement::replica::Replica;
use crate::agreement::replica::Role;
use crate::agreement::replica::leader::ProgressState;
use crate::clock::Timestamp;
use crate::ids::NodeId;

/// Entries retained before a snapshot, so that a replica that lags a little does not need the snapshot.
const RETAINED_ENTRIES: u64 = 1_024;

/// Heartbeat rounds after which an unanswered chunk is sent again. A chunk that is sent with each round would delay the
/// heartbeats on a slow link.
const CHUNK_RETRY_ROUNDS: u64 = 4;

#[derive(Clone, Debug)]
pub(super) struct IncomingSnapshot {
    position: Position,
    bytes: Vec<u8>,
}

/// A snapshot that is being sent, shared by all peers that need one.
#[derive(Clone, Debug)]
pub(super) struct OutgoingSnapshot {
    position: Position,
    header: Arc<[u8]>,
    data: Bytes,
}

impl OutgoingSnapshot {
    pub(super) fn position(&self) -> Position {
        self.position
    }

    fn len(&self) -> usize {
        self.header.len() + self.data.len()
    }

    /// Bytes from an offset on, at most `max_bytes` (at least 1) and of either the header or the data.
    fn chunk(&self, offset: usize, max_bytes: usize) -> Arc<[u8]> {
        let rest = match offset.checked_sub(self.header.len()) {
            Some(offset) => &self.data[offset.min(self.data.len())..],
            None => &self.header[offset..],
        };
        rest[..rest.len().min(max_bytes.max(1))].into()
    }
}

impl Replica {
    /// Removes the entries included in a snapshot that the driver has stored.
    pub(super) fn compact_to(&mut self, position: Position) {
        let held = self.log.term_at(position.index) == Some(position.term);
        if position.index <= self.snapshot_index || position.index > self.applied || !held {
            return;
        }
        self.snapshot_index = position.index;
        self.memberships.compact(position.index);
        self.log.compact(position.index.saturating_sub(RETAINED_ENTRIES));
    }

    /// Whether this leader holds an encoded snapshot for peers.
    #[must_use]
    pub fn holds_snapshot(&self) -> bool {
        let Role::Leader(leader) = &self.role else {
            return false;
        };
        let holds =
            |state: &ProgressState| matches!(state, ProgressState::Snapshot { outgoing: Some(_), .. });
        leader.progress.values().any(|progress| holds(&progress.state))
    }

    /// Drops the encoded snapshot for peers, which get the next one from its start.
    pub fn drop_outgoing_snapshot(&mut self) {
        let Role::Leader(leader) = &mut self.role else {
            return;
        };
        for progress in leader.progress.values_mut() {
            if let ProgressState::Snapshot { outgoing, offset, .. } = &mut progress.state {
                (*outgoing, *offset) = (None, 0);
            }
        }
    }

    /// Starts to send a snapshot to a peer: the one already being sent to others, or a new one from the driver. A silent
    /// peer gets none, since the leader would hold it for as long as the peer is lost.
    pub(super) fn start_snapshot(&mut self, peer: NodeId) {
        let base = self.log.base().index;
        let Role::Leader(leader) = &mut self.role else {
            return;
        };
        if leader.is_silent(peer) {
            self.await_contact(peer);
            return;
        }
        let shared = leader.progress.values().find_map(|progress| match &progress.state {
            ProgressState::Snapshot { outgoing: Some(outgoing), .. } => Some(outgoing.clone()),
            _ => None,
        });
        let Some(progress) = leader.progress.get_mut(&peer) else {
            return;
        };
        let outgoing = shared.filter(|outgoing| outgoing.position.index >= base);
        let ready = outgoing.is_some();
        progress.state = ProgressState::Snapshot { outgoing, offset: 0, sent_round: 0 };
        if ready {
            self.send_chunk(peer);
        } else {
            self.outputs.push(Output::EncodeSnapshot);
        }
    }

    /// Drops the snapshot for a silent peer and sends it a heartbeat. Its reply starts the snapshot again.
    fn await_contact(&mut self, peer: NodeId) {
        if let Role::Leader(leader) = &mut self.role
            && let Some(progress) = leader.progress.get_mut(&peer)
        {
            progress.state = ProgressState::Snapshot { outgoing: None, offset: 0, sent_round: 0 };
        }
        self.send_empty_append(peer);
    }

    /// Sends a heartbeat without entries to a peer whose entries are compacted.
    fn send_empty_append(&mut self, peer: NodeId) {
        let Role::Leader(leader) = &self.role else {
            return;
        };
        let body = Body::Append {
            previous: self.log.last(),
            commit: self.commit,
            round: leader.round,
            entries: Vec::new(),
            learner: self.is_learner(peer),
        };
        self.send(peer, body);
    }

    /// Sends a heartbeat to a peer that needs a snapshot, and the next chunk if the peer responds and no chunk is on its way.
    pub(super) fn send_snapshot_heartbeat(&mut self, peer: NodeId) {
        let Role::Leader(leader) = &self.role else {
            return;
        };
        let state = leader.progress.get(&peer).map(|progress| &progress.state);
        let encoded = matches!(state, Some(ProgressState::Snapshot { outgoing: Some(_), .. }));
        let on_its_way = matches!(state, Some(ProgressState::Snapshot { outgoing: Some(_), sent_round, .. })
            if leader.round < sent_round + CHUNK_RETRY_ROUNDS);
        if leader.is_silent(peer) {
            self.await_contact(peer);
            return;
        }
        if !encoded || on_its_way {
            self.send_empty_append(peer);
        }
        if !on_its_way {
            self.send_chunk(peer);
        }
    }

    /// Sends the snapshot encoded by the driver to all peers that wait for one.
    pub(super) fn send_encoded_snapshot(&mut self, position: Position, data: Bytes) {
        let usable = position.index <= self.applied && position.index >= self.log.base().index;
        let header = coding::snapshot_header(self.memberships.at(position.index)).into();
        let snapshot = OutgoingSnapshot { position, header, data };
        let Role::Leader(leader) = &mut self.role else {
            return;
        };
        let silent: Vec<NodeId> =
            leader.progress.keys().filter(|peer| leader.is_silent(**peer)).copied().collect();
        let mut waiting = Vec::new();
        for (peer, progress) in leader.progress.iter_mut().filter(|(peer, _)| !silent.contains(peer)) {
            if let ProgressState::Snapshot { outgoing: outgoing @ None, .. } = &mut progress.state
                && usable
            {
                *outgoing = Some(snapshot.clone());
                waiting.push(*peer);
            }
        }
        for peer in waiting {
            self.send_chunk(peer);
        }
    }

    /// Sends the next chunk, again if it was lost, or requests the snapshot again if the driver has not provided one.
    pub(super) fn send_chunk(&mut self, peer: NodeId) {
        let learner = self.is_learner(peer);
        let Role::Leader(leader) = &mut self.role else {
            return;
        };
        let Some(ProgressState::Snapshot { outgoing, offset, sent_round }) =
            leader.progress.get_mut(&peer).map(|progress| &mut progress.state)
        else {
            return;
        };
        let Some(outgoing) = outgoing else {
            self.outputs.push(Output::EncodeSnapshot);
            return;
        };
        *sent_round = leader.round;
        let chunk = outgoing.chunk(*offset, self.cfg.max_batch_bytes);
        let body = Body::Snapshot {
            position: outgoing.position,
            offset: *offset as u64,
            last: *offset + chunk.len() == outgoing.len(),
            chunk,
            learner,
            round: leader.round,
        };
        self.send(peer, body);
    }

    pub(super) fn receive_snapshot_reply(
        &mut self,
        now: Timestamp,
        from: NodeId,
        position: Position,
        received: u64,
        round: u64,
    ) {
        if !matches!(&self.role, Role::Leader(leader) if leader.is_current_reply(from, round)) {
            return;
        }
        self.acknowledge_round(now, from, round);
        let Role::Leader(leader) = &mut self.role else {
            return;
        };
        if let Some(progress) = leader.progress.get_mut(&from)
            && let ProgressState::Snapshot { outgoing: Some(outgoing), offset, .. } = &mut progress.state
            && outgoing.position == position
            && let Ok(received) = usize::try_from(received)
            && received < outgoing.len()
            && received != *offset
        {
            *offset = received;
            self.send_chunk(from);
        }
        self.advance_commit(now);
    }

    #[expect(clippy::too_many_arguments, reason = "these are the fields of one message")]
    pub(super) fn receive_snapshot(
        &mut self,
        now: Timestamp,
        from: NodeId,
        position: Position,
        offset: u64,
        chunk: &[u8],
        last: bool,
        round: u64,
    ) {
        self.follow_leader(now, from);
        if position.index <= self.commit {
            self.acknowledge_committed(from, round);
            return;
        }
        let bytes = self.incoming_bytes(position);
        if offset == bytes.len() as u64 {
            // A buffer that doubles could take twice the snapshot.
            bytes.reserve_exact(chunk.len());
            bytes.extend_from_slice(chunk);
            if last {
                self.finish_snapshot(from, position, round);
                return;
            }
        }
        let received = self.incoming_bytes(position).len() as u64;
        self.send_when_durable(from, Body::SnapshotReply { position, received, round });
    }

    /// Acknowledges the log up to the commit index.
    pub(super) fn acknowledge_committed(&mut self, from: NodeId, round: u64) {
        let reply = Body::AppendReply { accepted: true, matched: self.commit, round };
        self.send_when_durable(from, reply);
    }

    fn incoming_bytes(&mut self, position: Position) -> &mut Vec<u8> {
        let empty = || IncomingSnapshot { position, bytes: Vec::new() };
        let incoming = self.incoming_snapshot.get_or_insert_with(empty);
        if incoming.position != position {
            *incoming = empty();
        }
        &mut incoming.bytes
    }

    fn finish_snapshot(&mut self, from: NodeId, position: Position, round: u64) {
        let Some(incoming) = self.incoming_snapshot.take() else {
            return;
        };
        if let Ok(snapshot) = coding::decode_snapshot(position, &incoming.bytes.into()) {
            self.install(snapshot);
            self.acknowledge_committed(from, round);
        }
    }

    /// Replaces the state by a snapshot; entries after it stay only if the log matches it.
    fn install(&mut self, snapshot: Snapshot) {
        let position = snapshot.position;
        let matches = self.log.term_at(position.index) == Some(position.term);
        if matches {
            self.log.compact(position.index);
        } else {
            self.truncate_if_held(position.index);
            self.log.reset(position);
        }
        self.memberships.install(position.index, snapshot.replicas.clone());
        self.commit = position.index;
        self.applied = position.index;
        self.write.snapshot = Some(snapshot.clone());
        self.snapshot_index = position.index;
        self.outputs.push(Output::Restore(snapshot));
    }

    fn truncate_if_held(&mut self, index: u64) {
        if self.log.last().index >= index {
            self.truncate(index);
        }
    }
}
