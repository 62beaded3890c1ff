//! Leading: entries out, acknowledgements in, commit. Following: entries in, log matching.

use std::sync::Arc;

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
use crate::agreement::replica::leader::APPENDS_UNDER_WAY;
use crate::agreement::replica::leader::Leader;
use crate::agreement::replica::leader::Progress;
use crate::agreement::replica::leader::Stage;
use crate::agreement::replica::leader::majority;
use crate::clock::Timestamp;
use crate::ids::NodeId;

impl Replica {
    pub(super) fn become_leader(&mut self, now: Timestamp) {
        let first_index = self.log.last().index + 1;
        self.role = Role::Leader(Box::new(Leader::new(now, first_index)));
        self.leader = Some(self.cfg.node);
        self.append_own(EntryKind::NoOperation, Arc::from([]));
        self.add_peers();
        self.begin_round(now);
        self.advance_commit(now);
    }

    /// Begins to keep the progress of every other node that takes part, from the next round on.
    pub(super) fn add_peers(&mut self) {
        let next = self.log.last().index + 1;
        let replicas = self.sets.current();
        let node = self.cfg.node;
        let Role::Leader(leader) = &mut self.role else {
            return;
        };
        let first_round = leader.round + 1;
        for peer in replicas.voters.iter().chain(&replicas.learners).filter(|peer| **peer != node) {
            leader.progress.entry(*peer).or_insert_with(|| Progress::new(next, first_round));
        }
    }

    pub(super) fn append_own(&mut self, kind: EntryKind, payload: Arc<[u8]>) -> u64 {
        let index = self.log.last().index + 1;
        self.append(Entry { position: Position { term: self.term, index }, kind, payload });
        index
    }

    pub(super) fn propose(&mut self, now: Timestamp, ticket: Ticket, payload: Arc<[u8]>) {
        if let Err(reason) = self.accepts_proposals(now) {
            self.reject(ticket, reason);
            return;
        }
        let index = self.append_own(EntryKind::Command, payload);
        self.expect_outcome(now, index, ticket);
        self.replicate();
    }

    /// Whether one more entry may wait here. What would wait for longer than its caller does is refused, not queued: a
    /// leader that is late stays late as long as it works off what nobody waits for any more.
    pub(super) fn accepts_proposals(&self, now: Timestamp) -> Result<(), Rejection> {
        let Role::Leader(leader) = &self.role else {
            return Err(Rejection::NotLeader(self.leader));
        };
        if leader.transfer.is_some() {
            return Err(Rejection::NotLeader(None));
        }
        let in_flight = usize::try_from(self.log.last().index - self.commit).unwrap_or(usize::MAX);
        let oldest = leader.tickets.first_key_value().map(|(_, (_, since))| *since);
        let late = oldest.is_some_and(|since| now.since(since) > self.cfg.max_commit_wait);
        if late || in_flight >= self.cfg.max_in_flight {
            return Err(Rejection::Busy);
        }
        Ok(())
    }

    pub(super) fn expect_outcome(&mut self, now: Timestamp, index: u64, ticket: Ticket) {
        if let Role::Leader(leader) = &mut self.role {
            leader.tickets.insert(index, (ticket, now));
        }
    }

    /// Sends new entries to every peer that can take them at once.
    pub(super) fn replicate(&mut self) {
        let Role::Leader(leader) = &self.role else {
            return;
        };
        let peers: Vec<NodeId> = leader.progress.keys().copied().collect();
        for peer in peers {
            self.send_entries(peer);
        }
    }

    /// Sends a message to a peer whatever is under way, since earlier ones may be lost.
    pub(super) fn send_heartbeat(&mut self, peer: NodeId) {
        let Role::Leader(leader) = &mut self.role else {
            return;
        };
        let Some(progress) = leader.progress.get_mut(&peer) else {
            return;
        };
        match &mut progress.stage {
            Stage::Probe { waiting } => *waiting = false,
            Stage::Replicate { under_way } => *under_way = 0,
            Stage::Snapshot { .. } => {
                self.send_chunk(peer);
                return;
            }
        }
        self.send_append(peer);
    }

    /// Sends what entries a peer lacks, unless enough is under way to it.
    pub(super) fn send_entries(&mut self, peer: NodeId) {
        let last = self.log.last().index;
        let Role::Leader(leader) = &self.role else {
            return;
        };
        let Some(progress) = leader.progress.get(&peer) else {
            return;
        };
        let ready = match progress.stage {
            Stage::Probe { waiting } => !waiting,
            Stage::Replicate { under_way } => under_way < APPENDS_UNDER_WAY,
            Stage::Snapshot { .. } => false,
        };
        if ready && progress.next <= last {
            self.send_append(peer);
        }
    }

    fn send_append(&mut self, peer: NodeId) {
        let Role::Leader(leader) = &mut self.role else {
            return;
        };
        let Some(progress) = leader.progress.get_mut(&peer) else {
            return;
        };
        let previous = progress.next - 1;
        let Some(term) = self.log.term_at(previous) else {
            self.begin_snapshot(peer);
            return;
        };
        let entries = self.log.batch(progress.next, self.cfg.max_batch_bytes);
        match &mut progress.stage {
            Stage::Probe { waiting } => *waiting = true,
            Stage::Replicate { under_way } if !entries.is_empty() => *under_way += 1,
            _ => {}
        }
        if matches!(progress.stage, Stage::Replicate { .. }) {
            progress.next += entries.len() as u64;
        }
        let previous = Position { term, index: previous };
        let round = leader.round;
        let learner = self.is_learner(peer);
        let body = Body::Append { previous, commit: self.commit, round, entries, learner };
        self.send(peer, body);
    }

    pub(super) fn receive_append_reply(
        &mut self,
        now: Timestamp,
        from: NodeId,
        accepted: bool,
        matched: u64,
        round: u64,
    ) {
        if !matches!(&self.role, Role::Leader(leader) if leader.knows(from, round)) {
            return;
        }
        self.acknowledge_round(now, from, round);
        let last = self.log.last().index;
        let Role::Leader(leader) = &mut self.role else {
            return;
        };
        let Some(progress) = leader.progress.get_mut(&from) else {
            return;
        };
        if accepted {
            progress.accept(matched.min(last));
        } else if !matches!(progress.stage, Stage::Snapshot { .. }) {
            progress.next = matched.min(last + 1).max(progress.matched + 1);
            progress.stage = Stage::Probe { waiting: false };
        }
        self.advance_commit(now);
        self.send_entries(from);
        self.retry_transfer();
    }

    /// Commits what a majority has synced, if it is of this leader's own term.
    pub(super) fn advance_commit(&mut self, now: Timestamp) {
        let Role::Leader(leader) = &self.role else {
            return;
        };
        let own = if faulty!(self, CountOwnUnsynced) { self.log.last().index } else { self.durable };
        let matched = |voter: &NodeId| match leader.progress.get(voter) {
            _ if *voter == self.cfg.node => own,
            Some(progress) => progress.matched,
            None => 0,
        };
        let voters = &self.replicas().voters;
        let mut all: Vec<u64> = voters.iter().map(matched).collect();
        if faulty!(self, CommitByMinority) {
            all.push(u64::MAX);
        }
        let index = majority(all).unwrap_or(0).min(self.log.last().index);
        let own_term = self.log.term_at(index) == Some(self.term) || faulty!(self, CommitOlderTerm);
        if index > self.commit && own_term {
            self.commit = index;
            self.apply_committed();
            self.finish_change(now);
        }
        self.serve_reads(now);
    }

    /// Hands out what became known to be committed.
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
            EntryKind::Command => self.out.push(Output::Apply { position, payload, ticket }),
            EntryKind::NoOperation => {}
            EntryKind::Replicas => {
                let replicas = self.sets.at(position.index).clone();
                self.out.push(Output::Replicas { ticket, replicas });
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
        self.follow(now, from);
        if !self.log_matches(previous) {
            let reply = Body::AppendReply { accepted: false, matched: self.retry_index(previous), round };
            self.send_when_durable(from, reply);
            return;
        }
        let Some(matched) = self.append_received(previous.index, entries) else {
            return;
        };
        self.commit = self.commit.max(commit.min(matched));
        self.apply_committed();
        self.send_when_durable(from, Body::AppendReply { accepted: true, matched, round });
    }

    /// Notes a sign of life of the leader of this term.
    pub(super) fn follow(&mut self, now: Timestamp, from: NodeId) {
        self.become_follower(self.term, Some(from));
        self.heard = now;
        self.reset_election_deadline(now);
    }

    /// Whether the log up to `previous` is the leader's; what a snapshot covers always is.
    fn log_matches(&self, previous: Position) -> bool {
        let skips = faulty!(self, SkipLogMatching) && previous.index <= self.log.last().index;
        skips
            || previous.index < self.log.base().index
            || self.log.term_at(previous.index) == Some(previous.term)
    }

    /// Where the leader should try next after a mismatch: before the run of the conflicting term.
    fn retry_index(&self, previous: Position) -> u64 {
        let last = self.log.last().index;
        if previous.index > last {
            return last + 1;
        }
        self.log.first_of_term(previous.index).max(self.commit + 1)
    }

    /// Appends what is new and returns the last index that matches; `None` for a message that no
    /// leader of this term can have sent.
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
    /// Notes that the peer's log is durable and matches up to an index.
    pub(super) fn accept(&mut self, matched: u64) {
        self.matched = self.matched.max(matched);
        self.next = self.next.max(self.matched + 1);
        let caught_up = match &mut self.stage {
            Stage::Probe { .. } => true,
            Stage::Replicate { under_way } => {
                *under_way = under_way.saturating_sub(1);
                false
            }
            Stage::Snapshot { outgoing, .. } => {
                outgoing.as_ref().is_some_and(|outgoing| self.matched >= outgoing.position().index)
            }
        };
        if caught_up {
            self.next = self.matched + 1;
            self.stage = Stage::Replicate { under_way: 0 };
        }
    }
}
