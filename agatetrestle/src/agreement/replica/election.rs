//! Terms, pre-votes and votes.

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

impl Replica {
    pub(super) fn tick(&mut self, now: Timestamp) {
        if self.is_leader() {
            self.tick_leader(now);
        } else if now >= self.election_deadline {
            self.ask_again_after(now, self.cfg.leader_interval);
            self.begin_pre_vote(now);
        }
    }

    /// Waits for an election timeout and up to as much again, so that replicas seldom stand together.
    pub(super) fn reset_election_deadline(&mut self, now: Timestamp) {
        let spread = micros(self.cfg.election_timeout).max(1);
        let extra = self.next_random() % spread;
        self.election_deadline = Timestamp((now + self.cfg.election_timeout).0.saturating_add(extra));
    }

    /// Asks for pre-votes again after a pause of once to twice this. They bind nobody, so what a refusal costs is the
    /// pause alone: the others may only not be willing yet, such as after a restart of all.
    fn ask_again_after(&mut self, now: Timestamp, pause: Duration) {
        let extra = self.next_random() % micros(pause).max(1);
        self.election_deadline = Timestamp((now + pause).0.saturating_add(extra));
    }

    /// Moves to a newer term where the message calls for it; `false` if the message is to be dropped.
    pub(super) fn adopt_term(&mut self, now: Timestamp, from: NodeId, term: u64, body: &Body) -> bool {
        match body {
            Body::PreVote { .. } | Body::PreVoteReply { granted: true } => true,
            Body::Vote { transfer: false, .. } if self.hears_leader(now) => false,
            Body::Append { .. } | Body::Snapshot { .. } => {
                self.become_follower(term, Some(from));
                true
            }
            _ => {
                let led = self.is_leader();
                self.become_follower(term, None);
                if led {
                    self.reset_election_deadline(now);
                }
                true
            }
        }
    }

    /// Tells the sender of a message of an older term about the present one.
    pub(super) fn answer_older_term(&mut self, from: NodeId, body: &Body) {
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

    /// Becomes a follower, and tells those who wait for an outcome that this node can't give one.
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
            self.out.push(Output::OutcomeUnknown(ticket));
        }
        for read in state.reads {
            self.reject(read.ticket, Rejection::NotLeader(leader));
        }
    }

    /// Whether a leader may hold a lease that this replica's promise backs.
    fn hears_leader(&self, now: Timestamp) -> bool {
        if faulty!(self, VoteDuringLease) {
            return false;
        }
        let heard = match &self.role {
            Role::Leader(_) => self.quorum_acked_at(now),
            _ => Some(self.heard),
        };
        heard.is_some_and(|heard| now.since(heard) < self.cfg.election_timeout)
    }

    fn begin_pre_vote(&mut self, now: Timestamp) {
        self.leader = None;
        if !self.may_stand() {
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
        let newer = term > self.term && last >= self.log.last();
        let granted = newer && self.without_vote.is_none() && !self.hears_leader(now);
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
            self.stand(now, false);
        }
    }

    /// Stands for election in a new term. Votes are asked for once the vote for itself is durable.
    fn stand(&mut self, now: Timestamp, transfer: bool) {
        self.become_follower(self.term + 1, None);
        self.vote = Some(self.cfg.node);
        self.save_hard_state();
        self.reset_election_deadline(now);
        self.role = Role::Candidate { votes: BTreeSet::new(), gate: self.gate() };
        let last = self.log.last();
        for voter in self.other_voters() {
            self.send_when_durable(voter, Body::Vote { last, transfer });
        }
    }

    pub(super) fn receive_take_over(&mut self, now: Timestamp, from: NodeId) {
        let follows = matches!(self.role, Role::Follower) && self.leader == Some(from);
        if follows && self.is_voter(self.cfg.node) && self.without_vote.is_none() {
            self.stand(now, true);
        }
    }

    pub(super) fn receive_vote(&mut self, now: Timestamp, from: NodeId, last: Position, transfer: bool) {
        let free = self.vote.is_none_or(|vote| vote == from) && self.without_vote.is_none();
        let allowed = transfer || !self.hears_leader(now);
        let granted = free && allowed && last >= self.log.last();
        if granted {
            self.vote = Some(from);
            if !faulty!(self, ForgetVote) {
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

    /// Counts the vote for itself once that is durable.
    pub(super) fn count_own_vote(&mut self, now: Timestamp) {
        let written = self.written;
        if let Role::Candidate { votes, gate } = &mut self.role
            && *gate <= written
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

    /// Whether this node votes by a set that may be in force.
    ///
    /// A node whose own removal is not known to be committed must stand too, since it may be the only
    /// one with a log that a majority of the other set accepts.
    fn may_stand(&self) -> bool {
        self.without_vote.is_none()
            && self.sets.since(self.commit).any(|replicas| replicas.voters.contains(&self.cfg.node))
    }

    /// Whether a node is a learner, also while its removal is not committed; a promotion counts at once.
    pub(super) fn is_learner(&self, node: NodeId) -> bool {
        let mut sets = self.sets.since(self.commit);
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

    /// The next number of a `splitmix64` sequence, which needs no more than to differ between replicas.
    fn next_random(&mut self) -> u64 {
        self.random = self.random.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut z = self.random;
        z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        z ^ (z >> 31)
    }
}
