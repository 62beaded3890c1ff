//! Rounds, the leader's lease, and reads.
//!
//! A round is a number that a leader sends with its messages and a follower echoes. A follower that
//! answered a round refuses votes for an election timeout after it received it, so no other leader
//! can be elected until that long after a majority's rounds were sent. The lease counts from the
//! sending, never from the receipt of an answer, so a pause can only shorten it.

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
    /// Whether no other node can have become leader as of `now`.
    #[must_use]
    pub fn lease_valid(&self, now: Timestamp) -> bool {
        let Role::Leader(leader) = &self.role else {
            return false;
        };
        if leader.lease_forfeited && !faulty!(self, KeepLeaseAfterTransfer) {
            return false;
        }
        let lease = self.cfg.election_timeout.saturating_sub(self.cfg.clock_drift);
        self.quorum_acked_at(now).is_some_and(|sent| now.since(sent) < lease)
    }

    /// When the newest round was sent that a majority of voters has answered; own voice counts as of now.
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

    /// The other voters from which this leader has had no answer to what it sent within `span`; none on a replica
    /// that does not lead.
    #[must_use]
    pub fn silent_voters(&self, now: Timestamp, span: Duration) -> Vec<NodeId> {
        let Role::Leader(leader) = &self.role else {
            return Vec::new();
        };
        let heard = |voter: &NodeId| {
            let answered = leader.progress.get(voter).and_then(|progress| progress.acked_at);
            answered.unwrap_or(leader.since).max(leader.since)
        };
        let others = self.replicas().voters.iter().filter(|voter| **voter != self.cfg.node);
        others.filter(|voter| now.since(heard(voter)) > span).copied().collect()
    }

    pub(super) fn tick_leader(&mut self, now: Timestamp) {
        let Role::Leader(leader) = &self.role else {
            return;
        };
        let acked = self.quorum_acked_at(now).unwrap_or_default().max(leader.since);
        let due = now >= leader.next_heartbeat;
        if now.since(acked) >= self.cfg.election_timeout {
            self.become_follower(self.term, None);
            self.reset_election_deadline(now);
            return;
        }
        self.expire_transfer(now);
        if due {
            self.begin_round(now);
            self.retry_transfer();
        }
    }

    /// Begins a round: a message to every peer, with what entries it lacks.
    pub(super) fn begin_round(&mut self, now: Timestamp) {
        let interval = self.cfg.leader_interval;
        let kept = self.cfg.election_timeout * 2;
        let Role::Leader(leader) = &mut self.role else {
            return;
        };
        leader.round += 1;
        leader.rounds.push_back((leader.round, now));
        leader.rounds.retain(|(_, sent)| now.since(*sent) < kept);
        leader.next_heartbeat = now + interval;
        let peers: Vec<NodeId> = leader.progress.keys().copied().collect();
        for peer in peers {
            self.send_heartbeat(peer);
        }
    }

    pub(super) fn acknowledge_round(&mut self, now: Timestamp, from: NodeId, round: u64) {
        let on_receipt = faulty!(self, RenewLeaseOnReceipt);
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
        let asked = self.quorum_acked_round();
        let Role::Leader(leader) = &mut self.role else {
            self.reject(ticket, Rejection::NotLeader(self.leader));
            return;
        };
        if leader.reads.len() >= limit {
            self.reject(ticket, Rejection::Busy);
            return;
        }
        let round = leader.round + 1;
        let under_way = leader.reads.iter().any(|read| read.round > asked);
        leader.reads.push(PendingRead { ticket, round });
        self.serve_reads(now);
        let Role::Leader(leader) = &self.role else {
            return;
        };
        if !under_way && !leader.reads.is_empty() {
            self.begin_round(now);
            self.serve_reads(now);
        }
    }

    /// Answers the reads that are proven, and begins the round that later ones wait for.
    pub(super) fn serve_reads(&mut self, now: Timestamp) {
        let own_term = self.has_committed_own_term() || faulty!(self, ReadBeforeOwnTerm);
        let lease = self.lease_valid(now) || faulty!(self, ReadWithoutLease);
        let proven = self.quorum_acked_round();
        let Role::Leader(leader) = &mut self.role else {
            return;
        };
        if !own_term || leader.reads.is_empty() {
            return;
        }
        let (ready, waiting) = leader.reads.drain(..).partition(|read| lease || read.round <= proven);
        leader.reads = waiting;
        let newest = leader.round;
        let unasked = proven == newest && leader.reads.iter().any(|read| read.round > newest);
        let ready: Vec<PendingRead> = ready;
        self.out.extend(ready.into_iter().map(|read| Output::ReadReady(read.ticket)));
        if unasked {
            self.begin_round(now);
        }
    }

    /// Whether an entry of this leader's own term is committed, and with it all that came before.
    pub(super) fn has_committed_own_term(&self) -> bool {
        matches!(&self.role, Role::Leader(leader) if self.commit >= leader.first_index)
    }
}
