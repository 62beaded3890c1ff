//! Log replication: sending, acknowledging and committing entries on the leader, matching and appending on followers.

use std::sync::Arc;

use crate::agreement::ALL_PROPOSALS;
use crate::agreement::Output;
use crate::agreement::Rejection;
use crate::agreement::Ticket;
use crate::agreement::coding;
use crate::agreement::message::Body;
use crate::agreement::message::Entry;
use crate::agreement::message::EntryKind;
use crate::agreement::message::Position;
use crate::agreement::replica::Replica;
use crate::agreement::replica::Role;
use crate::agreement::replica::leader::LeaderState;
use crate::agreement::replica::leader::MAX_BULK_IN_FLIGHT;
use crate::agreement::replica::leader::MAX_IN_FLIGHT_APPENDS;
use crate::agreement::replica::leader::Progress;
use crate::agreement::replica::leader::ProgressState;
use crate::agreement::replica::leader::majority;
use crate::clock::Timestamp;
use crate::ids::NodeId;

/// Maximum payload of a message that probes where the logs match. It is sent again with each heartbeat until it is answered, so
/// on a slow link a full batch would delay the heartbeats behind it.
const MAX_PROBE_BYTES: usize = 16 << 10;

/// Heartbeat rounds without progress after which full batches count as lost. A connection that stalls for as long was replaced.
const BULK_RETRY_ROUNDS: u64 = 16;

impl Replica {
    pub(super) fn become_leader(&mut self, now: Timestamp) {
        let first_index = self.log.last().index + 1;
        self.role = Role::Leader(Box::new(LeaderState::new(now, first_index)));
        self.leader = Some(self.cfg.node);
        self.leader_term = self.term;
        self.append_as_leader(EntryKind::NoOperation, Arc::from([]));
        self.add_peers();
        self.start_round(now);
        self.advance_commit(now);
    }

    /// Tracks the progress of members that are not yet tracked, from the next round on.
    pub(super) fn add_peers(&mut self) {
        let next = self.log.last().index + 1;
        let replicas = self.memberships.current();
        let node = self.cfg.node;
        let Role::Leader(leader) = &mut self.role else {
            return;
        };
        let first_round = leader.round + 1;
        for peer in replicas.voters.iter().chain(&replicas.learners).filter(|peer| **peer != node) {
            leader.progress.entry(*peer).or_insert_with(|| Progress::new(next, first_round));
        }
    }

    pub(super) fn append_as_leader(&mut self, kind: EntryKind, payload: Arc<[u8]>) -> u64 {
        let index = self.log.last().index + 1;
        self.append(Entry { position: Position { term: self.term, index }, kind, payload });
        index
    }

    pub(super) fn propose(&mut self, now: Timestamp, ticket: Ticket, payload: Arc<[u8]>) {
        if let Err(reason) = self.check_accepts_proposals(now, ALL_PROPOSALS) {
            self.reject(ticket, reason);
            return;
        }
        let index = self.append_as_leader(EntryKind::Command, payload);
        self.track_outcome(now, index, ticket);
        self.replicate();
    }

    /// Checks whether a proposal can be appended. While the oldest one waits for too long, new ones are rejected, since
    /// an overloaded leader would otherwise keep working on proposals whose callers have given up. `tolerance` is the part of
    /// the limits, in percent, at which the proposal is rejected; those that may be refused first tolerate less. Up to twice the
    /// shortest commit is no sign of load: a group whose replicas are far apart always takes that long.
    ///
    /// # Errors
    ///
    /// The reason why a proposal would be rejected at this moment.
    pub fn check_accepts_proposals(&self, now: Timestamp, tolerance: u32) -> Result<(), Rejection> {
        let Role::Leader(leader) = &self.role else {
            return Err(Rejection::NotLeader(self.leader));
        };
        if leader.transfer.is_some() {
            return Err(Rejection::NotLeader(None));
        }
        let in_flight = self.log.last().index - self.commit;
        let oldest = leader.tickets.first_key_value().map(|(_, (_, proposed))| *proposed);
        let usual_wait = (leader.shortest_commit.time() * 2).min(self.cfg.max_commit_wait);
        let max_wait = (self.cfg.max_commit_wait * tolerance / ALL_PROPOSALS).max(usual_wait);
        let overloaded = oldest.is_some_and(|proposed| now.since(proposed) > max_wait);
        let max_in_flight = self.cfg.max_in_flight as u64 * u64::from(tolerance) / u64::from(ALL_PROPOSALS);
        if overloaded || in_flight >= max_in_flight {
            return Err(Rejection::Busy);
        }
        Ok(())
    }

    pub(super) fn track_outcome(&mut self, now: Timestamp, index: u64, ticket: Ticket) {
        if let Role::Leader(leader) = &mut self.role {
            leader.tickets.insert(index, (ticket, now));
        }
    }

    /// Sends new entries to every peer that is ready for them.
    pub(super) fn replicate(&mut self) {
        let Role::Leader(leader) = &self.role else {
            return;
        };
        let peers: Vec<NodeId> = leader.progress.keys().copied().collect();
        for peer in peers {
            self.send_entries(peer);
        }
    }

    /// Sends a message to a peer even if earlier ones are unacknowledged, since those may be lost. It holds no entries while
    /// others are on their way: the reply shows whether they arrived.
    pub(super) fn send_heartbeat(&mut self, peer: NodeId) {
        let Role::Leader(leader) = &mut self.role else {
            return;
        };
        let round = leader.round;
        let Some(progress) = leader.progress.get_mut(&peer) else {
            return;
        };
        let copying = progress.is_copying();
        match &mut progress.state {
            ProgressState::Probe { waiting } => *waiting = false,
            ProgressState::Replicate { in_flight: 0, .. } => {}
            ProgressState::Replicate { progress_round, .. } if copying => {
                if round >= *progress_round + BULK_RETRY_ROUNDS {
                    progress.next = progress.matched + 1;
                    progress.state = ProgressState::Probe { waiting: false };
                } else {
                    let matched = progress.matched;
                    self.send_append(peer, matched, Vec::new());
                    return;
                }
            }
            ProgressState::Replicate { .. } => {
                let previous = progress.next - 1;
                self.send_append(peer, previous, Vec::new());
                return;
            }
            ProgressState::Snapshot { .. } => {
                self.send_snapshot_heartbeat(peer);
                return;
            }
        }
        self.send_next_entries(peer);
    }

    /// Sends the entries that a peer lacks, unless too many appends are unacknowledged.
    pub(super) fn send_entries(&mut self, peer: NodeId) {
        while self.has_entries_for(peer) {
            self.send_next_entries(peer);
        }
    }

    /// Whether the next entries for a peer can be sent.
    fn has_entries_for(&self, peer: NodeId) -> bool {
        let Role::Leader(leader) = &self.role else {
            return false;
        };
        let Some(progress) = leader.progress.get(&peer) else {
            return false;
        };
        let ready = match progress.state {
            ProgressState::Probe { waiting } => !waiting,
            ProgressState::Replicate { in_flight, .. } if progress.is_copying() => {
                in_flight < MAX_BULK_IN_FLIGHT && self.is_full(&self.next_batch(progress))
            }
            ProgressState::Replicate { in_flight, .. } => in_flight < MAX_IN_FLIGHT_APPENDS,
            ProgressState::Snapshot { .. } => false,
        };
        ready && progress.next <= self.log.last().index
    }

    /// The next entries for a peer, as many as one message may hold.
    fn next_batch(&self, progress: &Progress) -> Vec<Entry> {
        let max_bytes = match progress.state {
            ProgressState::Probe { .. } => self.cfg.max_batch_bytes.min(MAX_PROBE_BYTES),
            _ => self.cfg.max_batch_bytes,
        };
        self.log.batch(progress.next, max_bytes)
    }

    /// Whether a batch is large and entries are left after it.
    fn is_full(&self, entries: &[Entry]) -> bool {
        let bytes: usize = entries.iter().map(|entry| entry.payload.len()).sum();
        bytes > MAX_PROBE_BYTES
            && entries.last().is_some_and(|entry| entry.position.index < self.log.last().index)
    }

    fn send_next_entries(&mut self, peer: NodeId) {
        let Role::Leader(leader) = &self.role else {
            return;
        };
        let Some(progress) = leader.progress.get(&peer) else {
            return;
        };
        let (previous, entries) = (progress.next - 1, self.next_batch(progress));
        let (full, last) = (self.is_full(&entries), entries.last().map(|entry| entry.position.index));
        if !self.send_append(peer, previous, entries) {
            self.start_snapshot(peer);
            return;
        }
        let Role::Leader(leader) = &mut self.role else {
            return;
        };
        let round = leader.round;
        let Some(progress) = leader.progress.get_mut(&peer) else {
            return;
        };
        match &mut progress.state {
            ProgressState::Probe { waiting } => *waiting = true,
            ProgressState::Replicate { in_flight, bulk_end, progress_round } => {
                let Some(last) = last else {
                    return;
                };
                if *in_flight == 0 {
                    *progress_round = round;
                }
                if full {
                    *bulk_end = last;
                }
                *in_flight += 1;
                progress.next = last + 1;
            }
            ProgressState::Snapshot { .. } => {}
        }
    }

    /// Sends entries that follow the one at `previous`. Returns whether that one's term is known.
    fn send_append(&mut self, peer: NodeId, previous: u64, entries: Vec<Entry>) -> bool {
        let Role::Leader(leader) = &self.role else {
            return true;
        };
        let Some(term) = self.log.term_at(previous) else {
            return false;
        };
        let previous = Position { term, index: previous };
        let round = leader.round;
        let learner = self.is_learner(peer);
        let body = Body::Append { previous, commit: self.commit, round, entries, learner };
        self.send(peer, body);
        true
    }

    pub(super) fn receive_append_reply(
        &mut self,
        now: Timestamp,
        from: NodeId,
        accepted: bool,
        matched: u64,
        round: u64,
    ) {
        if !matches!(&self.role, Role::Leader(leader) if leader.is_current_reply(from, round)) {
            return;
        }
        self.acknowledge_round(now, from, round);
        let last = self.log.last().index;
        let Role::Leader(leader) = &mut self.role else {
            return;
        };
        let current_round = leader.round;
        let Some(progress) = leader.progress.get_mut(&from) else {
            return;
        };
        if accepted {
            progress.record_match(matched.min(last), current_round);
        } else if !matches!(progress.state, ProgressState::Snapshot { outgoing: Some(_), .. }) {
            progress.next = matched.min(last + 1).max(progress.matched + 1);
            progress.state = ProgressState::Probe { waiting: false };
        }
        self.advance_commit(now);
        self.send_entries(from);
        self.try_transfer();
    }

    /// Commits entries that a majority has synced if the last is of this leader's own term.
    pub(super) fn advance_commit(&mut self, now: Timestamp) {
        let Role::Leader(leader) = &self.role else {
            return;
        };
        let own_match =
            if fault_injected!(self, CountOwnUnsynced) { self.log.last().index } else { self.durable_index };
        let matched = |voter: &NodeId| match leader.progress.get(voter) {
            _ if *voter == self.cfg.node => own_match,
            Some(progress) => progress.matched,
            None => 0,
        };
        let voters = &self.replicas().voters;
        let mut indexes: Vec<u64> = voters.iter().map(matched).collect();
        if fault_injected!(self, CommitByMinority) {
            indexes.push(u64::MAX);
        }
        let index = majority(indexes).unwrap_or(0).min(self.log.last().index);
        let own_term = self.log.term_at(index) == Some(self.term) || fault_injected!(self, CommitOlderTerm);
        if index > self.commit && own_term {
            self.commit = index;
            if let Role::Leader(leader) = &mut self.role {
                leader.record_commit(now, index);
            }
            self.apply_committed();
            self.complete_change(now);
        }
        self.answer_reads(now);
    }

    /// Outputs the newly committed entries.
    pub(super) fn apply_committed(&mut self) {
        while self.applied < self.commit
            && let Some(entry) = self.log.get(self.applied + 1).cloned()
        {
            self.applied += 1;
            let ticket = match &mut self.role {
                Role::Leader(leader) => leader.tickets.remove(&self.applied).map(|(ticket, _)| ticket),
                _ => None,
            };
            self.apply_entry(entry, ticket);
        }
    }

    fn apply_entry(&mut self, entry: Entry, ticket: Option<Ticket>) {
        let Entry { position, kind, payload } = entry;
        match kind {
            EntryKind::Command => self.outputs.push(Output::Apply { position, payload, ticket }),
            EntryKind::NoOperation => {}
            EntryKind::Replicas => {
                let replicas = self.memberships.at(position.index).clone();
                self.outputs.push(Output::Replicas { ticket, replicas });
            }
        }
    }

    pub(super) fn receive_append(
        &mut self,
        now: Timestamp,
        from: NodeId,
        previous: Position,
        commit: u64,
        round: u64,
        entries: Vec<Entry>,
    ) {
        self.follow_leader(now, from);
        if previous.index > self.log.last().index && self.early.store(self.term, previous, &entries) {
            self.acknowledge_committed(from, round);
            return;
        }
        if !self.log_matches(previous) {
            let reply = Body::AppendReply { accepted: false, matched: self.conflict_index(previous), round };
            self.send_when_durable(from, reply);
            return;
        }
        let Some(mut matched) = self.append_received(previous.index, entries) else {
            return;
        };
        while matched == self.log.last().index
            && let Some(entries) = self.early.take(self.term, self.log.last())
        {
            let Some(end) = self.append_received(matched, entries) else {
                return;
            };
            matched = end;
        }
        self.commit = self.commit.max(commit.min(matched));
        self.apply_committed();
        if self.term_is_durable() && self.nothing_to_write() {
            // The leader keeps its lease while the disk stores what came before.
            let stored =
                if fault_injected!(self, AcknowledgeUnsyncedEntries) { matched } else { self.durable_index };
            let matched = matched.min(stored);
            self.send(from, Body::AppendReply { accepted: true, matched, round });
        } else {
            self.send_when_durable(from, Body::AppendReply { accepted: true, matched, round });
        }
    }

    /// Follows the leader of this term and restarts the election timeout.
    pub(super) fn follow_leader(&mut self, now: Timestamp, from: NodeId) {
        self.become_follower(self.term, Some(from));
        self.leader_contact = now;
        self.leader_term = self.term;
        self.reset_election_deadline(now);
    }

    /// Whether the log matches the leader's up to `previous`; compacted entries always match.
    fn log_matches(&self, previous: Position) -> bool {
        let skips = fault_injected!(self, SkipLogMatching) && previous.index <= self.log.last().index;
        skips
            || previous.index < self.log.base().index
            || self.log.term_at(previous.index) == Some(previous.term)
    }

    /// Index from which the leader should retry after a mismatch: the first of the conflicting term.
    fn conflict_index(&self, previous: Position) -> u64 {
        let last = self.log.last().index;
        if previous.index > last {
            return last + 1;
        }
        self.log.first_of_term(previous.index).max(self.commit + 1)
    }

    /// Appends new entries and returns the last index that matches, or `None` for an invalid message.
    fn append_received(&mut self, previous: u64, entries: Vec<Entry>) -> Option<u64> {
        let mut index = previous;
        for entry in entries {
            index += 1;
            let held = self.log.term_at(index);
            if index <= self.log.base().index || held == Some(entry.position.term) {
                continue;
            }
            let undecodable =
                entry.kind == EntryKind::Replicas && coding::decode_replicas(&entry.payload).is_err();
            if entry.position.index != index || index <= self.commit || undecodable {
                return None;
            }
            if held.is_some() {
                self.truncate(index);
            }
            self.append(entry);
        }
        Some(index)
    }
}

impl Progress {
    /// Records that the peer's log is durable and matches up to an index.
    pub(super) fn record_match(&mut self, matched: u64, current_round: u64) {
        let (copying, advanced) = (self.is_copying(), matched > self.matched);
        self.matched = self.matched.max(matched);
        self.next = self.next.max(self.matched + 1);
        let caught_up = match &mut self.state {
            ProgressState::Probe { .. } => true,
            ProgressState::Replicate { in_flight, progress_round, .. } => {
                // Heartbeats that overtake full batches acknowledge nothing.
                if advanced || !copying {
                    *in_flight = in_flight.saturating_sub(1);
                    *progress_round = current_round;
                }
                false
            }
            // Without a snapshot to send, the next append shows whether the peer still needs one.
            ProgressState::Snapshot { outgoing, .. } => {
                outgoing.as_ref().is_none_or(|outgoing| self.matched >= outgoing.position().index)
            }
        };
        if caught_up {
            self.next = self.matched + 1;
            self.state = ProgressState::replicate(current_round);
        }
        if self.next == self.matched + 1
            && let ProgressState::Replicate { in_flight, .. } = &mut self.state
        {
            *in_flight = 0;
        }
    }
}
