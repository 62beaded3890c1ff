//! One replica of a group as a pure state machine, without I/O or clock and with seeded randomness.
//!
//! The algorithm is Raft with pre-vote and a leader lease (Ongaro, "Consensus: Bridging Theory and
//! Practice", 2014, chapters 3, 4 and 6). The design is described in
//! docs/design/001-replicated-log-and-groups.md.

#[cfg(test)]
macro_rules! fault_injected {
    ($replica:expr, $fault:ident) => {
        $replica.has_fault($crate::agreement::replica::fault::Fault::$fault)
    };
}

/// Whether a fault is injected, which only test builds can do.
#[cfg(not(test))]
macro_rules! fault_injected {
    ($replica:expr, $fault:ident) => {
        false
    };
}

mod change;
mod early;
mod election;
#[cfg(test)]
pub(super) mod fault;
mod leader;
mod lease;
mod log;
mod replication;
mod snapshot;
mod writes;

use std::collections::BTreeSet;
use std::collections::VecDeque;
use std::time::Duration;

use crate::agreement::HardState;
use crate::agreement::Input;
use crate::agreement::LearnerAdmission;
use crate::agreement::Output;
use crate::agreement::Rejection;
use crate::agreement::Replicas;
use crate::agreement::Snapshot;
use crate::agreement::Ticket;
use crate::agreement::Write;
use crate::agreement::coding;
use crate::agreement::message::Body;
use crate::agreement::message::Entry;
use crate::agreement::message::EntryKind;
use crate::agreement::message::Message;
use crate::agreement::message::Position;
use crate::agreement::replica::early::EarlyEntries;
use crate::agreement::replica::leader::LeaderState;
use crate::agreement::replica::log::Log;
use crate::agreement::replica::log::ReplicaSets;
use crate::agreement::replica::snapshot::IncomingSnapshot;
use crate::clock::Timestamp;
use crate::ids::GroupId;
use crate::ids::NodeId;

/// Settings of a replica, the same on all replicas of a group except for `node` and `seed`.
#[derive(Clone, Debug)]
pub struct ReplicaConfig {
    /// Group of the replica.
    pub group: GroupId,
    /// Node that runs the replica.
    pub node: NodeId,
    /// Interval between a leader's heartbeats.
    pub leader_interval: Duration,
    /// Shortest election timeout; timeouts are drawn from between this and twice this.
    pub election_timeout: Duration,
    /// Maximum drift between two clocks within an election timeout, by which the lease is shortened.
    pub clock_drift: Duration,
    /// Seed for drawing election timeouts.
    pub seed: u64,
    /// Maximum number of uncommitted entries, and of pending reads.
    pub max_in_flight: usize,
    /// New proposals are rejected while the oldest uncommitted one is older than this.
    pub max_commit_wait: Duration,
    /// Maximum payload of a batch of entries or a chunk of a snapshot; a larger single entry is sent alone.
    pub max_batch_bytes: usize,
}

/// State of a replica as recovered by the storage.
#[derive(Clone, Debug, Default)]
pub struct PersistentState {
    /// Term and vote.
    pub hard_state: HardState,
    /// Latest snapshot.
    pub snapshot: Option<Snapshot>,
    /// Entries after the snapshot, without gaps.
    pub entries: Vec<Entry>,
}

#[derive(Clone, Debug)]
enum Role {
    Follower,
    PreCandidate {
        votes: BTreeSet<NodeId>,
    },
    /// The candidate's own vote counts once the write `vote_write` is synced.
    Candidate {
        votes: BTreeSet<NodeId>,
        vote_write: u64,
    },
    Leader(Box<LeaderState>),
}

/// One replica of a group.
///
/// After [`Input::WriteFailed`] it sends no more messages, since its memory is ahead of its disk. The
/// driver must then create a new one from the stored state.
#[derive(Clone, Debug)]
pub struct Replica {
    cfg: ReplicaConfig,
    term: u64,
    vote: Option<NodeId>,
    role: Role,
    leader: Option<NodeId>,
    log: Log,
    memberships: ReplicaSets,
    /// Last index included in the stored snapshot.
    snapshot_index: u64,
    incoming_snapshot: Option<IncomingSnapshot>,
    early: EarlyEntries,
    commit: u64,
    applied: u64,
    /// When a message from the current leader last arrived, or when the replica started.
    leader_contact: Timestamp,
    /// Latest term in which a leader was known, or that of the start.
    leader_term: u64,
    election_deadline: Timestamp,
    last_tick: Timestamp,
    /// A tick that is later than this after the one before shows that the process was held up.
    max_tick_gap: Duration,
    rng_state: u64,
    failed: bool,
    /// Set on a replica that may have lost its vote with its files, until a leader addresses it as a learner.
    joining: bool,
    /// Set from then on until a leader addresses it as a voter; see [`HardState::without_vote`].
    without_vote: Option<LearnerAdmission>,
    /// Write collected by the current step.
    write: Write,
    write_sequence: u64,
    synced_sequence: u64,
    /// Sequence number of the write with the latest term and vote.
    hard_state_write: u64,
    /// Sequence number and last log index of each unsynced write.
    pending_writes: VecDeque<(u64, u64)>,
    durable_index: u64,
    /// Messages to send once the write with this sequence number is synced.
    delayed_messages: VecDeque<(u64, Message)>,
    reported_role: (u64, Option<NodeId>),
    outputs: Vec<Output>,
    #[cfg(test)]
    fault: Option<fault::Fault>,
}

impl Replica {
    /// Creates a replica from its stored state; `initial` applies only without a stored membership.
    ///
    /// It behaves as if a leader had just contacted it, since its last reply before a restart may back a lease.
    #[must_use]
    pub fn new(cfg: ReplicaConfig, initial: Replicas, stored: PersistentState, now: Timestamp) -> Self {
        let PersistentState { hard_state, snapshot, entries } = stored;
        let base = snapshot.as_ref().map_or(Position::default(), |snapshot| snapshot.position);
        let replicas = snapshot.as_ref().map_or(initial, |snapshot| snapshot.replicas.clone());
        let mut memberships = ReplicaSets::new(base.index, replicas);
        let mut failed = false;
        for entry in entries.iter().filter(|entry| entry.kind == EntryKind::Replicas) {
            match coding::decode_replicas(&entry.payload) {
                Ok(replicas) => memberships.push(entry.position.index, replicas),
                Err(_) => failed = true,
            }
        }
        let log = Log::new(base, entries);
        let mut replica = Self {
            term: hard_state.term,
            vote: hard_state.vote,
            role: Role::Follower,
            leader: None,
            durable_index: log.last().index,
            log,
            memberships,
            snapshot_index: base.index,
            incoming_snapshot: None,
            early: EarlyEntries::default(),
            commit: base.index,
            applied: base.index,
            leader_contact: now,
            leader_term: hard_state.term,
            election_deadline: now,
            last_tick: now,
            max_tick_gap: cfg.leader_interval,
            rng_state: cfg.seed ^ cfg.node.0.rotate_left(32) ^ hard_state.term,
            failed,
            joining: false,
            without_vote: hard_state.without_vote,
            write: Write::default(),
            write_sequence: 0,
            synced_sequence: 0,
            hard_state_write: 0,
            pending_writes: VecDeque::new(),
            delayed_messages: VecDeque::new(),
            reported_role: (hard_state.term, None),
            outputs: Vec::new(),
            cfg,
            #[cfg(test)]
            fault: None,
        };
        replica.reset_election_deadline(now);
        replica
    }

    /// Creates a replica without stored state, which may have voted before it lost its files.
    ///
    /// It ignores every message until a leader addresses it as a learner, so that a leader that still lists it as
    /// a voter gets no reply based on lost votes or entries. It then has no vote until a leader addresses it as a
    /// voter.
    #[must_use]
    pub fn joining(cfg: ReplicaConfig, now: Timestamp) -> Self {
        let mut replica = Self::new(cfg, Replicas::default(), PersistentState::default(), now);
        replica.joining = true;
        replica
    }

    /// Whether the replica still waits for a leader to address it as a learner.
    #[must_use]
    pub fn is_joining(&self) -> bool {
        self.joining
    }

    /// Whether to process a message; a joining replica ignores all until one addresses it as a learner.
    fn join_if_admitted(&mut self, term: u64, body: &Body) -> bool {
        if self.joining
            && let Body::Append { learner: true, round, .. } | Body::Snapshot { learner: true, round, .. } =
                body
        {
            self.joining = false;
            self.without_vote = Some(LearnerAdmission { term, round: *round });
        }
        !self.joining
    }

    /// Restores the vote once a leader addresses this replica as a voter, which it does only after the replica's log
    /// holds all committed entries. A message from before the admission was meant for the replica that lost its files.
    fn regain_vote(&mut self, body: &Body) {
        if let Some(admission) = self.without_vote
            && let Body::Append { learner: false, round, .. } | Body::Snapshot { learner: false, round, .. } =
                body
            && (LearnerAdmission { term: self.term, round: *round }) > admission
        {
            self.without_vote = None;
            self.save_hard_state();
        }
    }

    /// Processes an input and returns the actions to carry out, in order.
    ///
    /// `now` must be read after the input was received, else a pause between the two could make an
    /// expired lease look valid.
    pub fn step(&mut self, now: Timestamp, input: Input) -> Vec<Output> {
        if self.failed {
            self.reject_after_failure(&input);
            return std::mem::take(&mut self.outputs);
        }
        match input {
            Input::Tick => self.tick(now),
            Input::Receive(message) => self.receive(now, message),
            Input::Propose { ticket, payload } => self.propose(now, ticket, payload),
            Input::Read(ticket) => self.read(now, ticket),
            Input::Written(sequence) => self.acknowledge_writes(now, sequence),
            Input::WriteFailed => self.fail(),
            Input::SnapshotTaken { position } => self.compact_to(position),
            Input::SnapshotEncoded { position, data } => self.send_encoded_snapshot(position, data),
            Input::ChangeReplicas { ticket, change } => self.change_replicas(now, ticket, change),
            Input::TransferLeadership => self.transfer_leadership(now),
        }
        self.flush_write();
        self.report_role();
        std::mem::take(&mut self.outputs)
    }

    #[cfg(test)]
    pub(super) fn config(&self) -> &ReplicaConfig {
        &self.cfg
    }

    /// Node that runs the replica.
    #[must_use]
    pub fn node(&self) -> NodeId {
        self.cfg.node
    }

    /// Latest term seen.
    #[must_use]
    pub fn term(&self) -> u64 {
        self.term
    }

    /// Leader of the current term, if known.
    #[must_use]
    pub fn leader(&self) -> Option<NodeId> {
        self.leader
    }

    /// Whether this replica is the leader.
    #[must_use]
    pub fn is_leader(&self) -> bool {
        matches!(self.role, Role::Leader(_))
    }

    /// Highest index known to be committed.
    #[must_use]
    pub fn commit(&self) -> u64 {
        self.commit
    }

    /// Position of the last log entry, durable or not.
    #[must_use]
    pub fn last_position(&self) -> Position {
        self.log.last()
    }

    /// Current membership, which takes effect before it is committed.
    #[must_use]
    pub fn replicas(&self) -> &Replicas {
        self.memberships.current()
    }

    fn receive(&mut self, now: Timestamp, message: Message) {
        if message.group != self.cfg.group || message.to != self.cfg.node {
            return;
        }
        let Message { from, term, body, .. } = message;
        if !self.join_if_admitted(term, &body) {
            return;
        }
        if term < self.term {
            self.reply_to_stale_term(from, &body);
            return;
        }
        if term > self.term && !self.adopt_term(now, from, term, &body) {
            return;
        }
        self.regain_vote(&body);
        match body {
            Body::PreVote { last } => self.receive_pre_vote(now, from, term, last),
            Body::PreVoteReply { granted } => self.receive_pre_vote_reply(now, from, term, granted),
            Body::Vote { last, transfer } => self.receive_vote(now, from, last, transfer),
            Body::VoteReply { granted } => self.receive_vote_reply(now, from, granted),
            Body::Append { previous, commit, round, entries, learner: _ } => {
                self.receive_append(now, from, previous, commit, round, entries);
            }
            Body::AppendReply { accepted, matched, round } => {
                self.receive_append_reply(now, from, accepted, matched, round);
            }
            Body::Snapshot { position, offset, chunk, last, round, learner: _ } => {
                self.receive_snapshot(now, from, position, offset, &chunk, last, round);
            }
            Body::SnapshotReply { position, received, round } => {
                self.receive_snapshot_reply(now, from, position, received, round);
            }
            Body::TimeoutNow => self.receive_timeout_now(now, from),
        }
    }

    fn send(&mut self, to: NodeId, body: Body) {
        self.send_in_term(to, self.term, body);
    }

    fn send_in_term(&mut self, to: NodeId, term: u64, body: Body) {
        let message = Message { group: self.cfg.group, from: self.cfg.node, to, term, body };
        self.outputs.push(Output::Send(message));
    }

    fn reject(&mut self, ticket: Ticket, reason: Rejection) {
        self.outputs.push(Output::Reject { ticket, reason });
    }

    /// Rejects the requests to a failed replica and ignores all other inputs.
    fn reject_after_failure(&mut self, input: &Input) {
        match input {
            Input::Propose { ticket, .. } | Input::Read(ticket) | Input::ChangeReplicas { ticket, .. } => {
                self.reject(*ticket, Rejection::NotLeader(None));
            }
            _ => {}
        }
    }

    fn fail(&mut self) {
        self.become_follower(self.term, None);
        self.failed = true;
        self.write = Write::default();
        self.delayed_messages.clear();
    }

    fn report_role(&mut self) {
        let role = (self.term, self.leader);
        if role != self.reported_role {
            self.reported_role = role;
            self.outputs.push(Output::Role { term: role.0, leader: role.1 });
        }
    }
}
