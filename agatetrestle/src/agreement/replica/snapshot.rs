//! Snapshots: compaction of the own log, and sending one in chunks to a replica that lags too far.

use std::sync::Arc;

use bytes::Bytes;

use crate::agreement::Output;
use crate::agreement::Snapshot;
use crate::agreement::coding;
use crate::agreement::message::Body;
use crate::agreement::message::Position;
use crate::agreement::replica::Replica;
use crate::agreement::replica::Role;
use crate::agreement::replica::leader::Stage;
use crate::clock::Timestamp;
use crate::ids::NodeId;

/// Entries kept before a snapshot, so that a replica that lags a little needs no snapshot.
const KEPT_ENTRIES: u64 = 1_024;

/// A snapshot that is being received.
#[derive(Clone, Debug)]
pub(super) struct Incoming {
    position: Position,
    bytes: Vec<u8>,
}

/// A snapshot that is being sent; all peers that lag share it.
#[derive(Clone, Debug)]
pub(super) struct Outgoing {
    /// The last entry that it covers.
    position: Position,
    head: Arc<[u8]>,
    data: Bytes,
}

impl Outgoing {
    pub(super) fn position(&self) -> Position {
        self.position
    }

    fn len(&self) -> usize {
        self.head.len() + self.data.len()
    }

    /// The piece from an offset on, not longer than `most`, and of the head or the data alone.
    fn piece(&self, offset: usize, most: usize) -> Arc<[u8]> {
        let rest = match offset.checked_sub(self.head.len()) {
            Some(offset) => &self.data[offset.min(self.data.len())..],
            None => &self.head[offset..],
        };
        rest[..rest.len().min(most.max(1))].into()
    }
}

impl Replica {
    /// Drops the entries that a snapshot covers, which the driver has stored.
    pub(super) fn take_snapshot(&mut self, position: Position) {
        let held = self.log.term_at(position.index) == Some(position.term);
        if position.index <= self.covered || position.index > self.applied || !held {
            return;
        }
        self.covered = position.index;
        self.sets.compact(position.index);
        self.log.compact(position.index.saturating_sub(KEPT_ENTRIES));
    }

    /// Begins to send a snapshot to a peer: the one that others are getting, or one that the driver is asked for.
    pub(super) fn begin_snapshot(&mut self, peer: NodeId) {
        let base = self.log.base().index;
        let Role::Leader(leader) = &mut self.role else {
            return;
        };
        let under_way = leader.progress.values().find_map(|progress| match &progress.stage {
            Stage::Snapshot { outgoing: Some(outgoing), .. } => Some(outgoing.clone()),
            _ => None,
        });
        let Some(progress) = leader.progress.get_mut(&peer) else {
            return;
        };
        let outgoing = under_way.filter(|outgoing| outgoing.position.index >= base);
        let ready = outgoing.is_some();
        progress.stage = Stage::Snapshot { outgoing, offset: 0 };
        if ready {
            self.send_chunk(peer);
        } else {
            self.out.push(Output::EncodeSnapshot);
        }
    }

    /// Sends the snapshot that the driver coded to all peers that wait for one.
    pub(super) fn send_coded(&mut self, position: Position, data: Bytes) {
        let usable = position.index <= self.applied && position.index >= self.log.base().index;
        let head = coding::snapshot_header(self.sets.at(position.index)).into();
        let coded = Outgoing { position, head, data };
        let Role::Leader(leader) = &mut self.role else {
            return;
        };
        let mut waiting = Vec::new();
        for (peer, progress) in &mut leader.progress {
            if let Stage::Snapshot { outgoing: outgoing @ None, .. } = &mut progress.stage
                && usable
            {
                *outgoing = Some(coded.clone());
                waiting.push(*peer);
            }
        }
        for peer in waiting {
            self.send_chunk(peer);
        }
    }

    /// Sends the next piece again, or asks for the snapshot again if the driver could not make one.
    pub(super) fn send_chunk(&mut self, peer: NodeId) {
        let Role::Leader(leader) = &self.role else {
            return;
        };
        let Some(Stage::Snapshot { outgoing, offset }) =
            leader.progress.get(&peer).map(|progress| &progress.stage)
        else {
            return;
        };
        let Some(outgoing) = outgoing else {
            self.out.push(Output::EncodeSnapshot);
            return;
        };
        let chunk = outgoing.piece(*offset, self.cfg.max_batch_bytes);
        let body = Body::Snapshot {
            position: outgoing.position,
            offset: *offset as u64,
            last: offset + chunk.len() == outgoing.len(),
            chunk,
            learner: self.is_learner(peer),
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
        if !matches!(&self.role, Role::Leader(leader) if leader.knows(from, round)) {
            return;
        }
        self.acknowledge_round(now, from, round);
        let Role::Leader(leader) = &mut self.role else {
            return;
        };
        if let Some(progress) = leader.progress.get_mut(&from)
            && let Stage::Snapshot { outgoing: Some(outgoing), offset } = &mut progress.stage
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
        self.follow(now, from);
        if position.index <= self.commit {
            self.accept_committed(from, round);
            return;
        }
        let bytes = self.incoming_bytes(position);
        if offset == bytes.len() as u64 {
            bytes.extend_from_slice(chunk);
            if last {
                self.finish_snapshot(from, position, round);
                return;
            }
        }
        let received = self.incoming_bytes(position).len() as u64;
        self.send_when_durable(from, Body::SnapshotReply { position, received, round });
    }

    /// Says that the log matches the leader's up to what is committed.
    fn accept_committed(&mut self, from: NodeId, round: u64) {
        let reply = Body::AppendReply { accepted: true, matched: self.commit, round };
        self.send_when_durable(from, reply);
    }

    fn incoming_bytes(&mut self, position: Position) -> &mut Vec<u8> {
        let fresh = || Incoming { position, bytes: Vec::new() };
        let incoming = self.incoming.get_or_insert_with(fresh);
        if incoming.position != position {
            *incoming = fresh();
        }
        &mut incoming.bytes
    }

    fn finish_snapshot(&mut self, from: NodeId, position: Position, round: u64) {
        let Some(incoming) = self.incoming.take() else {
            return;
        };
        if let Ok(snapshot) = coding::decode_snapshot(position, &incoming.bytes.into()) {
            self.install(snapshot);
            self.accept_committed(from, round);
        }
    }

    /// Replaces the state; entries after the snapshot stay only if the log agrees with it.
    fn install(&mut self, snapshot: Snapshot) {
        let position = snapshot.position;
        let agrees = self.log.term_at(position.index) == Some(position.term);
        if agrees {
            self.log.compact(position.index);
        } else {
            self.truncate_all_from(position.index);
            self.log.reset(position);
        }
        self.sets.install(position.index, snapshot.replicas.clone());
        self.commit = position.index;
        self.applied = position.index;
        self.write.snapshot = Some(snapshot.clone());
        self.covered = position.index;
        self.out.push(Output::Restore(snapshot));
    }

    fn truncate_all_from(&mut self, index: u64) {
        if self.log.last().index >= index {
            self.truncate(index);
        }
    }
}
