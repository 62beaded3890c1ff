//! Heartbeat rounds, the leader's lease, and linearizable reads.
//!
//! A leader sends a round number with its messages, which a follower echoes. A follower that replied
//! to a round grants no vote for an election timeout after it received the round, so no other leader can be
//! elected until that long after a round was sent that a majority acknowledged. The lease starts when the
//! round is sent, not when a reply arrives, so a pause can only shorten it.

use std::time::Duration;

use crate::agreement::Output;
use crate::agreement::Rejection;
use crate::agreement::Ticket;
use crate::agreement::replica::Replica;
use crate::agreement::replica::Role;
use crate::agreement::replica::leader::PendingRead;
use crate::agreement::replica::leader::majority;
use crate::clock::Timestamp;
use crate::ids::NodeId;

impl Replica {
    /// Whether the lease rules out that another node is leader as of `now`.
    #[must_use]
    pub fn lease_valid(&self, now: Timestamp) -> bool {
        let Role::Leader(leader) = &self.role else {
            return false;
        };
        if leader.lease_forfeited && !fault_injected!(self, KeepLeaseAfterTransfer) {
            return false;
        }
        let lease = self.cfg.election_timeout.saturating_sub(self.cfg.clock_drift);
        self.quorum_acked_at(now).is_some_and(|sent| now.since(sent) < lease)
    }

    /// Whether no other node can be leader as of `now`, and the log up to this leader's own term is committed.
    #[must_use]
    pub fn confirms_leadership(&self, now: Timestamp) -> bool {
        self.lease_valid(now) && self.has_committed_own_term()
    }

    /// When the latest round was sent that a majority of voters acknowledged. This node acknowledges as of `now`.
    pub(super) fn quorum_acked_at(&self, now: Timestamp) -> Option<Timestamp> {
        let Role::Leader(leader) = &self.role else {
            return None;
        };
        let acked_at = |voter: &NodeId| match leader.progress.get(voter) {
            _ if *voter == self.cfg.node => Some(now),
            Some(progress) => progress.acked_at,
            None => None,
        };
        majority(self.replicas().voters.iter().map(acked_at).collect()).flatten()
    }

    fn quorum_acked_round(&self) -> u64 {
        let Role::Leader(leader) = &self.role else {
            return 0;
        };
        let acked = |voter: &NodeId| match leader.progress.get(voter) {
            _ if *voter == self.cfg.node => leader.round,
            Some(progress) => progress.acked_round,
            None => 0,
        };
        majority(self.replicas().voters.iter().map(acked).collect()).unwrap_or(0)
    }

    /// Other voters that have not acknowledged any round sent within `timeout`; empty unless this replica is the leader.
    #[must_use]
    pub fn silent_voters(&self, now: Timestamp, timeout: Duration) -> Vec<NodeId> {
        let Role::Leader(leader) = &self.role else {
            return Vec::new();
        };
        let last_ack = |voter: &NodeId| {
            let acked_at = leader.progress.get(voter).and_then(|progress| progress.acked_at);
            acked_at.unwrap_or(leader.elected_at).max(leader.elected_at)
        };
        let others = self.replicas().voters.iter().filter(|voter| **voter != self.cfg.node);
        others.filter(|voter| now.since(last_ack(voter)) > timeout).copied().collect()
    }

    /// Sends heartbeats, and steps down once no majority has acknowledged one for an election timeout. `listened` is the time
    /// since the last tick in which messages could be received. The lease does not depend on this.
    pub(super) fn tick_leader(&mut self, now: Timestamp, listened: Duration) {
        let acked = self.quorum_acked_round();
        let Role::Leader(leader) = &mut self.role else {
            return;
        };
        let is_confirmed = acked > leader.confirmed_round;
        leader.confirmed_round = acked;
        leader.unconfirmed_for =
            if is_confirmed { Duration::ZERO } else { leader.unconfirmed_for + listened };
        let heartbeat_due = now >= leader.next_heartbeat;
        if leader.unconfirmed_for >= self.cfg.election_timeout {
            self.become_follower(self.term, None);
            self.reset_election_deadline(now);
            return;
        }
        self.expire_transfer(now);
        if heartbeat_due {
            self.start_round(now);
            self.try_transfer();
        }
    }

    /// Starts a round by sending every peer a heartbeat with the entries it lacks.
    pub(super) fn start_round(&mut self, now: Timestamp) {
        let interval = self.cfg.leader_interval;
        let retention = self.cfg.election_timeout * 2;
        let Role::Leader(leader) = &mut self.role else {
            return;
        };
        leader.round += 1;
        leader.rounds.push_back((leader.round, now));
        leader.rounds.retain(|(_, sent)| now.since(*sent) < retention);
        leader.next_heartbeat = now + interval;
        let peers: Vec<NodeId> = leader.progress.keys().copied().collect();
        for peer in peers {
            self.send_heartbeat(peer);
        }
    }

    pub(super) fn acknowledge_round(&mut self, now: Timestamp, from: NodeId, round: u64) {
        let on_receipt = fault_injected!(self, RenewLeaseOnReceipt);
        let Role::Leader(leader) = &mut self.role else {
            return;
        };
        let sent = leader.sent_at(round);
        if let Some(progress) = leader.progress.get_mut(&from)
            && let Some(sent) = sent
            && round >= progress.acked_round
        {
            progress.acked_round = round;
            progress.acked_at = Some(if on_receipt { now } else { sent });
        }
    }

    pub(super) fn read(&mut self, now: Timestamp, ticket: Ticket) {
        let limit = self.cfg.max_in_flight;
        let acked = self.quorum_acked_round();
        let Role::Leader(leader) = &mut self.role else {
            self.reject(ticket, Rejection::NotLeader(self.leader));
            return;
        };
        if leader.reads.len() >= limit {
            self.reject(ticket, Rejection::Busy);
            return;
        }
        let round = leader.round + 1;
        let round_pending = leader.reads.iter().any(|read| read.round > acked);
        leader.reads.push(PendingRead { ticket, round });
        self.answer_reads(now);
        let Role::Leader(leader) = &self.role else {
            return;
        };
        if !round_pending && !leader.reads.is_empty() {
            self.start_round(now);
            self.answer_reads(now);
        }
    }

    /// Answers the reads for which leadership is confirmed, and starts the round that the others need.
    pub(super) fn answer_reads(&mut self, now: Timestamp) {
        let own_term = self.has_committed_own_term() || fault_injected!(self, ReadBeforeOwnTerm);
        let lease = self.lease_valid(now) || fault_injected!(self, ReadWithoutLease);
        let acked = self.quorum_acked_round();
        let Role::Leader(leader) = &mut self.role else {
            return;
        };
        if !own_term || leader.reads.is_empty() {
            return;
        }
        let (ready, waiting) = leader.reads.drain(..).partition(|read| lease || read.round <= acked);
        leader.reads = waiting;
        let latest = leader.round;
        let needs_round = acked == latest && leader.reads.iter().any(|read| read.round > latest);
        let ready: Vec<PendingRead> = ready;
        self.outputs.extend(ready.into_iter().map(|read| Output::ReadReady(read.ticket)));
        if needs_round {
            self.start_round(now);
        }
    }

    /// Whether this leader has committed an entry of its own term, and so all earlier entries.
    pub(super) fn has_committed_own_term(&self) -> bool {
        matches!(&self.role, Role::Leader(leader) if self.commit >= leader.first_index)
    }
}
