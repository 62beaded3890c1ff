//! Leader election: terms, pre-votes and votes.

use std::collections::BTreeSet;
use std::time::Duration;

use crate::agreement::Output;
use crate::agreement::Rejection;
use crate::agreement::message::Body;
use crate::agreement::message::Position;
use crate::agreement::replica::Replica;
use crate::agreement::replica::Role;
use crate::clock::Timestamp;
use crate::clock::micros;
use crate::ids::NodeId;

/// How often the election timeout doubles at most. Four timeouts leave time to store the votes on disks whose writes take as
/// long as a timeout, and bound how long a group waits for its next election after the disks have recovered.
const MAX_TIMEOUT_DOUBLINGS: u32 = 2;

impl Replica {
    /// Advances the timeouts. After a late tick they wait for the messages that arrived since the one before, which are
    /// processed after it: a process that was held up for so long would else take a sound group for lost.
    pub(super) fn tick(&mut self, now: Timestamp) {
        let since_last = now.since(std::mem::replace(&mut self.last_tick, now));
        if self.is_leader() {
            self.tick_leader(now, since_last.min(self.max_tick_gap));
            return;
        }
        let held_up = since_last.saturating_sub(self.max_tick_gap);
        self.election_deadline = self.election_deadline + held_up.min(now.since(self.leader_contact));
        if now >= self.election_deadline {
            self.schedule_pre_vote_retry(now, self.cfg.leader_interval);
            self.start_pre_vote(now);
        }
    }

    /// Sets the deadline to a random time between one and two election timeouts, so that votes are rarely split. The timeout
    /// doubles with each term that had no leader, so that disks or processes that are too slow for it store their votes in time.
    pub(super) fn reset_election_deadline(&mut self, now: Timestamp) {
        let elections = self.term.saturating_sub(self.leader_term).saturating_sub(1);
        let doublings = u32::try_from(elections).unwrap_or(u32::MAX).min(MAX_TIMEOUT_DOUBLINGS);
        let timeout = self.cfg.election_timeout * 2_u32.pow(doublings);
        let extra = self.next_random() % micros(timeout).max(1);
        self.election_deadline = Timestamp((now + timeout).0.saturating_add(extra));
    }

    /// Retries the pre-vote after a random time between one and two intervals. The retry comes before the next election
    /// timeout because the other replicas may grant it soon, such as after all have restarted.
    fn schedule_pre_vote_retry(&mut self, now: Timestamp, interval: Duration) {
        let extra = self.next_random() % micros(interval).max(1);
        self.election_deadline = Timestamp((now + interval).0.saturating_add(extra));
    }

    /// Adopts the newer term of a message if its type requires that; returns `false` if the message is to be ignored.
    pub(super) fn adopt_term(&mut self, now: Timestamp, from: NodeId, term: u64, body: &Body) -> bool {
        match body {
            Body::PreVote { .. } | Body::PreVoteReply { granted: true } => true,
            Body::Vote { transfer: false, .. } if self.lease_blocks_vote(now) => false,
            Body::Append { .. } | Body::Snapshot { .. } => {
                self.become_follower(term, Some(from));
                true
            }
            _ => {
                let was_leader = self.is_leader();
                self.become_follower(term, None);
                if was_leader {
                    self.reset_election_deadline(now);
                }
                true
            }
        }
    }

    /// Replies to a request of an earlier term with the current one.
    pub(super) fn reply_to_stale_term(&mut self, from: NodeId, body: &Body) {
        match body {
            Body::PreVote { .. } => self.send(from, Body::PreVoteReply { granted: false }),
            Body::Vote { .. } => self.send_when_durable(from, Body::VoteReply { granted: false }),
            Body::Append { round, .. } | Body::Snapshot { round, .. } => {
                let reply = Body::AppendReply { accepted: false, matched: 0, round: *round };
                self.send_when_durable(from, reply);
            }
            _ => {}
        }
    }

    /// Becomes a follower and resolves the pending proposals and reads of a former leader.
    pub(super) fn become_follower(&mut self, term: u64, leader: Option<NodeId>) {
        if term > self.term {
            self.term = term;
            self.vote = None;
            self.save_hard_state();
        }
        self.leader = leader;
        let Role::Leader(state) = std::mem::replace(&mut self.role, Role::Follower) else {
            return;
        };
        for (ticket, _) in state.tickets.into_values() {
            self.outputs.push(Output::OutcomeUnknown(ticket));
        }
        for read in state.reads {
            self.reject(read.ticket, Rejection::NotLeader(leader));
        }
    }

    /// Whether a leader's lease may rely on this replica not voting.
    fn lease_blocks_vote(&self, now: Timestamp) -> bool {
        if fault_injected!(self, VoteDuringLease) {
            return false;
        }
        let contact = match &self.role {
            Role::Leader(_) => self.quorum_acked_at(now),
            _ => Some(self.leader_contact),
        };
        contact.is_some_and(|contact| now.since(contact) < self.cfg.election_timeout)
    }

    fn start_pre_vote(&mut self, now: Timestamp) {
        self.leader = None;
        if !self.can_campaign() {
            return;
        }
        self.role = Role::PreCandidate { votes: BTreeSet::from([self.cfg.node]) };
        let last = self.log.last();
        for voter in self.other_voters() {
            self.send_in_term(voter, self.term + 1, Body::PreVote { last });
        }
        self.count_pre_votes(now);
    }

    pub(super) fn receive_pre_vote(&mut self, now: Timestamp, from: NodeId, term: u64, last: Position) {
        let eligible = term > self.term && last >= self.log.last();
        let granted = eligible && self.without_vote.is_none() && !self.lease_blocks_vote(now);
        let reply_term = if granted { term } else { self.term };
        self.send_in_term(from, reply_term, Body::PreVoteReply { granted });
    }

    pub(super) fn receive_pre_vote_reply(&mut self, now: Timestamp, from: NodeId, term: u64, granted: bool) {
        let Role::PreCandidate { votes } = &mut self.role else {
            return;
        };
        if granted && term == self.term + 1 {
            votes.insert(from);
            self.count_pre_votes(now);
        }
    }

    fn count_pre_votes(&mut self, now: Timestamp) {
        if let Role::PreCandidate { votes } = &self.role
            && self.is_majority(votes)
        {
            self.campaign(now, false);
        }
    }

    /// Campaigns in a new term. Votes are requested once the vote for itself is durable.
    fn campaign(&mut self, now: Timestamp, transfer: bool) {
        self.become_follower(self.term + 1, None);
        self.vote = Some(self.cfg.node);
        self.save_hard_state();
        self.reset_election_deadline(now);
        self.role = Role::Candidate { votes: BTreeSet::new(), vote_write: self.required_write() };
        let last = self.log.last();
        for voter in self.other_voters() {
            self.send_when_durable(voter, Body::Vote { last, transfer });
        }
    }

    pub(super) fn receive_timeout_now(&mut self, now: Timestamp, from: NodeId) {
        let from_leader = matches!(self.role, Role::Follower) && self.leader == Some(from);
        if from_leader && self.is_voter(self.cfg.node) && self.without_vote.is_none() {
            self.campaign(now, true);
        }
    }

    pub(super) fn receive_vote(&mut self, now: Timestamp, from: NodeId, last: Position, transfer: bool) {
        let available = self.vote.is_none_or(|vote| vote == from) && self.without_vote.is_none();
        let allowed = transfer || !self.lease_blocks_vote(now);
        let granted = available && allowed && last >= self.log.last();
        if granted {
            self.vote = Some(from);
            if !fault_injected!(self, ForgetVote) {
                self.save_hard_state();
            }
            self.reset_election_deadline(now);
        }
        self.send_when_durable(from, Body::VoteReply { granted });
    }

    pub(super) fn receive_vote_reply(&mut self, now: Timestamp, from: NodeId, granted: bool) {
        if let Role::Candidate { votes, .. } = &mut self.role
            && granted
        {
            votes.insert(from);
            self.count_votes(now);
        }
    }

    /// Counts the candidate's own vote once it is durable.
    pub(super) fn count_own_vote(&mut self, now: Timestamp) {
        let synced = self.synced_sequence;
        if let Role::Candidate { votes, vote_write } = &mut self.role
            && *vote_write <= synced
        {
            votes.insert(self.cfg.node);
            self.count_votes(now);
        }
    }

    fn count_votes(&mut self, now: Timestamp) {
        if let Role::Candidate { votes, .. } = &self.role
            && votes.contains(&self.cfg.node)
            && self.is_majority(votes)
        {
            self.become_leader(now);
        }
    }

    /// Whether this node is a voter in a set that may be in effect.
    ///
    /// A node whose removal is not known to be committed must campaign too, since it may be the only one with a log
    /// that a majority of the new set accepts.
    fn can_campaign(&self) -> bool {
        self.without_vote.is_none()
            && self.memberships.since(self.commit).any(|replicas| replicas.voters.contains(&self.cfg.node))
    }

    /// Whether a node is a learner. A removal takes effect once committed, a promotion at once.
    pub(super) fn is_learner(&self, node: NodeId) -> bool {
        let mut sets = self.memberships.since(self.commit);
        !self.is_voter(node) && sets.any(|replicas| replicas.learners.contains(&node))
    }

    pub(super) fn is_voter(&self, node: NodeId) -> bool {
        self.replicas().voters.contains(&node)
    }

    pub(super) fn other_voters(&self) -> Vec<NodeId> {
        let voters = self.replicas().voters.iter().copied();
        voters.filter(|voter| *voter != self.cfg.node).collect()
    }

    fn is_majority(&self, nodes: &BTreeSet<NodeId>) -> bool {
        let voters = &self.replicas().voters;
        voters.intersection(nodes).count() > voters.len() / 2
    }

    /// Returns the next number of a `splitmix64` sequence.
    fn next_random(&mut self) -> u64 {
        self.rng_state = self.rng_state.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut z = self.rng_state;
        z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        z ^ (z >> 31)
    }
}
