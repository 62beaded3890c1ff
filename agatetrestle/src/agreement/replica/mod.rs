//! One replica of a group as a pure state machine: no I/O, no clock, no hidden randomness.
//!
//! The algorithm is Raft with pre-vote and a leader lease (Ongaro, "Consensus: Bridging Theory and
//! Practice", 2014, chapters 3, 4 and 6). Why each part is as it is stands in
//! docs/design/001-replicated-log-and-groups.md.

#[cfg(test)]
macro_rules! faulty {
    ($replica:expr, $fault:ident) => {
        $replica.has($crate::agreement::replica::fault::Fault::$fault)
    };
}

/// Whether a deliberate fault is set; in a production build there are none.
#[cfg(not(test))]
macro_rules! faulty {
    ($replica:expr, $fault:ident) => {
        false
    };
}

mod change;
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
use crate::agreement::replica::leader::Leader;
use crate::agreement::replica::log::Log;
use crate::agreement::replica::log::ReplicaSets;
use crate::agreement::replica::snapshot::Incoming;
use crate::clock::Timestamp;
use crate::ids::GroupId;
use crate::ids::NodeId;

/// How a replica behaves; the same on all replicas of a group but for `node` and `seed`.
#[derive(Clone, Debug)]
pub struct ReplicaConfig {
    /// The group.
    pub group: GroupId,
    /// This node.
    pub node: NodeId,
    /// Time between two heartbeats of a leader.
    pub leader_interval: Duration,
    /// Silence after which a leader is held to be gone; timeouts are drawn from this to twice this.
    pub election_timeout: Duration,
    /// Most that two clocks may drift apart within an election timeout; taken off the lease.
    pub clock_drift: Duration,
    /// Seed of the election timeouts.
    pub seed: u64,
    /// Entries that may be uncommitted at once.
    pub max_in_flight: usize,
    /// Age of the oldest command that waits to be committed beyond which no further one is taken.
    pub max_commit_wait: Duration,
    /// Payload bytes after which a batch or a chunk of a snapshot is full.
    pub max_batch_bytes: usize,
}

/// What the storage found at start.
#[derive(Clone, Debug, Default)]
pub struct PersistentState {
    /// Term and vote.
    pub hard_state: HardState,
    /// The newest snapshot.
    pub snapshot: Option<Snapshot>,
    /// The entries after it, without gaps.
    pub entries: Vec<Entry>,
}

/// What a replica is in its term.
#[derive(Clone, Debug)]
enum Role {
    Follower,
    PreCandidate { votes: BTreeSet<NodeId> },
    Candidate { votes: BTreeSet<NodeId>, gate: u64 },
    Leader(Box<Leader>),
}

/// One replica of a group.
///
/// After [`Input::WriteFailed`] it is silent for good, since its memory is ahead of its disk; the
/// driver then builds a new one from what the storage holds.
#[derive(Clone, Debug)]
pub struct Replica {
    cfg: ReplicaConfig,
    term: u64,
    vote: Option<NodeId>,
    role: Role,
    leader: Option<NodeId>,
    log: Log,
    sets: ReplicaSets,
    /// Last index that the stored snapshot covers.
    covered: u64,
    incoming: Option<Incoming>,
    commit: u64,
    applied: u64,
    /// When a live leader was last heard, or the start.
    heard: Timestamp,
    election_deadline: Timestamp,
    random: u64,
    failed: bool,
    /// Set on a replica that may once have voted and forgot it, until a leader counts it as a learner.
    joining: bool,
    /// Set from then on until a leader counts it as a voter; see [`HardState::without_vote`].
    without_vote: Option<LearnerAdmission>,
    /// The write that the present step gathers.
    write: Write,
    sequence: u64,
    written: u64,
    /// Last index as of each write that is not yet acknowledged.
    marks: VecDeque<(u64, u64)>,
    durable: u64,
    /// Messages that wait for the write with this number.
    gated: VecDeque<(u64, Message)>,
    reported: (u64, Option<NodeId>),
    out: Vec<Output>,
    #[cfg(test)]
    fault: Option<fault::Fault>,
}

impl Replica {
    /// A replica as it is after a start. A restored replica set goes before `initial`.
    ///
    /// It behaves as if it had just heard from a leader, since it may have promised one not to vote.
    #[must_use]
    pub fn new(cfg: ReplicaConfig, initial: Replicas, restored: PersistentState, now: Timestamp) -> Self {
        let PersistentState { hard_state, snapshot, entries } = restored;
        let base = snapshot.as_ref().map_or(Position::default(), |snapshot| snapshot.position);
        let replicas = snapshot.as_ref().map_or(initial, |snapshot| snapshot.replicas.clone());
        let mut sets = ReplicaSets::new(base.index, replicas);
        let mut failed = false;
        for entry in entries.iter().filter(|entry| entry.kind == EntryKind::Replicas) {
            match coding::decode_replicas(&entry.payload) {
                Ok(replicas) => sets.push(entry.position.index, replicas),
                Err(_) => failed = true,
            }
        }
        let log = Log::new(base, entries);
        let mut replica = Self {
            term: hard_state.term,
            vote: hard_state.vote,
            role: Role::Follower,
            leader: None,
            durable: log.last().index,
            log,
            sets,
            covered: base.index,
            incoming: None,
            commit: base.index,
            applied: base.index,
            heard: now,
            election_deadline: now,
            random: cfg.seed ^ cfg.node.0.rotate_left(32) ^ hard_state.term,
            failed,
            joining: false,
            without_vote: hard_state.without_vote,
            write: Write::default(),
            sequence: 0,
            written: 0,
            marks: VecDeque::new(),
            gated: VecDeque::new(),
            reported: (hard_state.term, None),
            out: Vec::new(),
            cfg,
            #[cfg(test)]
            fault: None,
        };
        replica.reset_election_deadline(now);
        replica
    }

    /// A replica that starts without what it once stored, if anything, and so must not be counted on.
    ///
    /// It ignores every message until a leader addresses it as a learner. A leader that still counts
    /// it as a voter, from before it lost its files, thus finds it silent, and its forgotten votes do no harm.
    /// It then follows without a vote until a leader counts it as a voter.
    #[must_use]
    pub fn joining(cfg: ReplicaConfig, now: Timestamp) -> Self {
        let mut replica = Self::new(cfg, Replicas::default(), PersistentState::default(), now);
        replica.joining = true;
        replica
    }

    /// Whether the replica waits to be counted as a learner.
    #[must_use]
    pub fn is_joining(&self) -> bool {
        self.joining
    }

    /// Whether a message may be acted on; a joining replica waits for one that counts it as a learner.
    fn admits(&mut self, term: u64, body: &Body) -> bool {
        if self.joining
            && let Body::Append { learner: true, round, .. } | Body::Snapshot { learner: true, round, .. } =
                body
        {
            self.joining = false;
            self.without_vote = Some(LearnerAdmission { term, round: *round });
        }
        !self.joining
    }

    /// Notes that a leader counts this replica as a voter, which it does only once the replica's log
    /// holds all that was committed. A message from before the admission is of the lost replica's time.
    fn note_standing(&mut self, body: &Body) {
        if let Some(admission) = self.without_vote
            && let Body::Append { learner: false, round, .. } | Body::Snapshot { learner: false, round, .. } =
                body
            && (LearnerAdmission { term: self.term, round: *round }) > admission
        {
            self.without_vote = None;
            self.save_hard_state();
        }
    }

    /// Takes one input and says what to do, in order.
    ///
    /// `now` must be read after the input was received, else a pause between the two could make an
    /// old lease look valid.
    pub fn step(&mut self, now: Timestamp, input: Input) -> Vec<Output> {
        if self.failed {
            self.refuse(&input);
            return std::mem::take(&mut self.out);
        }
        match input {
            Input::Tick => self.tick(now),
            Input::Receive(message) => self.receive(now, message),
            Input::Propose { ticket, payload } => self.propose(now, ticket, payload),
            Input::Read(ticket) => self.read(now, ticket),
            Input::Written(sequence) => self.acknowledge_writes(now, sequence),
            Input::WriteFailed => self.fail(),
            Input::SnapshotTaken { position } => self.take_snapshot(position),
            Input::SnapshotEncoded { position, data } => self.send_coded(position, data),
            Input::ChangeReplicas { ticket, change } => self.change_replicas(now, ticket, change),
            Input::TransferLeadership => self.hand_over(now),
        }
        self.flush_write();
        self.report_role();
        std::mem::take(&mut self.out)
    }

    /// How the replica behaves.
    #[cfg(test)]
    pub(super) fn config(&self) -> &ReplicaConfig {
        &self.cfg
    }

    /// The node that holds this replica.
    #[must_use]
    pub fn node(&self) -> NodeId {
        self.cfg.node
    }

    /// Newest term seen.
    #[must_use]
    pub fn term(&self) -> u64 {
        self.term
    }

    /// The leader of this term if known.
    #[must_use]
    pub fn leader(&self) -> Option<NodeId> {
        self.leader
    }

    /// Whether this replica leads.
    #[must_use]
    pub fn is_leader(&self) -> bool {
        matches!(self.role, Role::Leader(_))
    }

    /// Highest index known to be committed.
    #[must_use]
    pub fn commit(&self) -> u64 {
        self.commit
    }

    /// The last entry of the log, durable or not.
    #[must_use]
    pub fn last_position(&self) -> Position {
        self.log.last()
    }

    /// Who takes part; an uncommitted set counts already.
    #[must_use]
    pub fn replicas(&self) -> &Replicas {
        self.sets.current()
    }

    fn receive(&mut self, now: Timestamp, message: Message) {
        if message.group != self.cfg.group || message.to != self.cfg.node {
            return;
        }
        let Message { from, term, body, .. } = message;
        if !self.admits(term, &body) {
            return;
        }
        if term < self.term {
            self.answer_older_term(from, &body);
            return;
        }
        if term > self.term && !self.adopt_term(now, from, term, &body) {
            return;
        }
        self.note_standing(&body);
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
            Body::TimeoutNow => self.receive_take_over(now, from),
        }
    }

    fn send(&mut self, to: NodeId, body: Body) {
        self.send_in_term(to, self.term, body);
    }

    fn send_in_term(&mut self, to: NodeId, term: u64, body: Body) {
        let message = Message { group: self.cfg.group, from: self.cfg.node, to, term, body };
        self.out.push(Output::Send(message));
    }

    fn reject(&mut self, ticket: Ticket, reason: Rejection) {
        self.out.push(Output::Reject { ticket, reason });
    }

    /// Answers the inputs of a failed replica that wait for an outcome.
    fn refuse(&mut self, input: &Input) {
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
        self.gated.clear();
    }

    fn report_role(&mut self) {
        let role = (self.term, self.leader);
        if role != self.reported {
            self.reported = role;
            self.out.push(Output::Role { term: role.0, leader: role.1 });
        }
    }
}
