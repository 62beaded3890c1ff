//! The replicated log: a pure state machine without I/O or clock, and its durable storage.
//!
//! A driver feeds [`Input`] to a replica and carries out each [`Output`] in order. Why a log of our
//! own, and why it is pure: docs/design/001-replicated-log-and-groups.md.

pub mod coding;
pub mod message;
pub mod replica;
pub mod storage;
#[cfg(test)]
mod tests;

use std::collections::BTreeSet;
use std::sync::Arc;

use bytes::Bytes;
use serde::Deserialize;
use serde::Serialize;
use snafu::Snafu;

use crate::agreement::message::Entry;
use crate::agreement::message::Message;
use crate::agreement::message::Position;
use crate::codec::DecodeError;
use crate::history::History;
use crate::history::HistoryError;
use crate::ids::NodeId;

/// Handle by which the driver recognises the outcome of a proposal.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Ticket(pub u64);

/// What a replica must never forget between two terms.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct HardState {
    /// Newest term seen.
    pub term: u64,
    /// The node voted for in that term, if any.
    pub vote: Option<NodeId>,
    /// Set on a replica that joined without files, until a later message counts it as a voter: it then
    /// neither votes nor stands, since its log may name it a voter from before it lost its files.
    pub without_vote: Option<LearnerAdmission>,
}

/// The message by which a leader let a replica without files take part as a learner.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct LearnerAdmission {
    /// Term of the leader, never 0.
    pub term: u64,
    /// Its round.
    pub round: u64,
}

/// Who takes part in a group.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Replicas {
    /// Nodes whose acknowledgement counts.
    pub voters: BTreeSet<NodeId>,
    /// Nodes that receive the log but don't count yet.
    pub learners: BTreeSet<NodeId>,
}

/// A single-step change of the replicas; the next is refused until this one is committed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ReplicaChange {
    /// Add a node that receives the log.
    AddLearner(NodeId),
    /// Let a learner count; refused while it lags.
    Promote(NodeId),
    /// Remove a node.
    Remove(NodeId),
}

/// Something that happened to a replica.
#[derive(Clone, Debug)]
pub enum Input {
    /// Time passed.
    Tick,
    /// A message arrived.
    Receive(Message),
    /// The driver wants a command in the log.
    Propose {
        /// Handle for the outcome.
        ticket: Ticket,
        /// The coded command.
        payload: Arc<[u8]>,
    },
    /// The driver wants to read the state machine as of now; answered once the lease or a round proves leadership.
    Read(Ticket),
    /// All writes up to this sequence number are synced.
    Written(u64),
    /// A write failed for want of space or by an I/O error; a leader steps down.
    WriteFailed,
    /// The driver took a snapshot of the state machine as of this position and has stored it durably;
    /// there is no [`Output::Write`] for it.
    SnapshotTaken {
        /// The last entry the snapshot covers.
        position: Position,
    },
    /// The coded state machine that [`Output::EncodeSnapshot`] asked for, as of its last applied entry.
    SnapshotEncoded {
        /// That entry.
        position: Position,
        /// The coded state machine.
        data: Bytes,
    },
    /// Change who takes part.
    ChangeReplicas {
        /// Handle for the outcome.
        ticket: Ticket,
        /// The change.
        change: ReplicaChange,
    },
    /// This node is about to stop: hand leadership to a caught-up voter.
    TransferLeadership,
}

/// What must be made durable, in sequence, before [`Input::Written`] is said.
#[derive(Clone, Debug, Default)]
pub struct Write {
    /// Sequence number; batches may be merged and acknowledged by the last one.
    pub sequence: u64,
    /// New term and vote.
    pub hard_state: Option<HardState>,
    /// Drop entries from this index on, before the snapshot is stored and the entries are appended.
    pub truncate_from: Option<u64>,
    /// Entries to append.
    pub entries: Vec<Entry>,
    /// Replace all entries up to its position by this received snapshot; later ones stay unless truncated.
    pub snapshot: Option<Snapshot>,
}

/// The state machine as of a position.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Snapshot {
    /// The last entry it covers.
    pub position: Position,
    /// Who took part at that point.
    pub replicas: Replicas,
    /// The coded state machine.
    pub data: Bytes,
}

/// Why a proposal or read was turned away; in each case nothing entered the log.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Rejection {
    /// This replica does not lead; the leader if known.
    NotLeader(Option<NodeId>),
    /// Too many proposals are under way.
    Busy,
    /// Another change of replicas is under way, or the learner lags.
    ChangePending,
    /// The change makes no sense: it promotes a stranger or removes the last voter.
    InvalidChange,
}

/// What the driver must do.
#[derive(Clone, Debug)]
pub enum Output {
    /// Make this durable and answer [`Input::Written`].
    Write(Write),
    /// Send a message; losing it is harmless.
    Send(Message),
    /// Apply a committed command. The ticket is set on the replica that proposed it.
    Apply {
        /// Where it stands.
        position: Position,
        /// The coded command.
        payload: Arc<[u8]>,
        /// Handle of the proposal.
        ticket: Option<Ticket>,
    },
    /// Replace the state machine by a snapshot.
    Restore(Snapshot),
    /// Code the state machine for a peer that lags too far, and answer [`Input::SnapshotEncoded`]. The replica holds no
    /// copy of the state from before, which would cost memory all day for a case that is rare.
    EncodeSnapshot,
    /// A read may be answered from the state machine as it is now.
    ReadReady(Ticket),
    /// The proposal, read or change did not enter the log.
    Reject {
        /// Handle of the proposal.
        ticket: Ticket,
        /// Why.
        reason: Rejection,
    },
    /// A set of replicas is committed; the ticket is set on the replica that proposed the change.
    Replicas {
        /// Handle of the change.
        ticket: Option<Ticket>,
        /// Who takes part from now on.
        replicas: Replicas,
    },
    /// The proposal entered the log but leadership was lost; it may yet be applied.
    OutcomeUnknown(Ticket),
    /// Leadership, term or known leader changed.
    Role {
        /// The term.
        term: u64,
        /// The leader if known.
        leader: Option<NodeId>,
    },
}

/// Codes a state that was set aside.
pub type SnapshotEncoder = Box<dyn FnOnce() -> Vec<u8> + Send>;

/// What a replicated group computes.
pub trait StateMachine {
    /// Applies one committed command and returns the coded reply; must be deterministic. The state may hold on to
    /// the payload, which the log shares.
    fn apply(&mut self, position: Position, payload: &Arc<[u8]>) -> Vec<u8>;

    /// Applies a command whose reply nobody waits for, as all but the leader do and everyone at a start; coding a
    /// reply may cost more than the command.
    fn apply_without_reply(&mut self, position: Position, payload: &Arc<[u8]>) {
        self.apply(position, payload);
    }

    /// Codes the whole state.
    fn snapshot(&self) -> Vec<u8>;

    /// What codes the state as it is now, on whatever thread: a state that takes long to code hands out a copy that
    /// shares its texts, since a replica that is busy for longer than an election lasts is held to be lost.
    fn snapshot_encoder(&self) -> SnapshotEncoder {
        let data = self.snapshot();
        Box::new(move || data)
    }

    /// Replaces the state by a coded one.
    ///
    /// # Errors
    ///
    /// Fails if the snapshot can't be decoded, which a driver must treat as corruption.
    fn restore(&mut self, data: &[u8]) -> Result<(), RestoreError>;

    /// The append-only bytes beside the log that a coded state refers to, if there are any.
    fn history(&mut self) -> Option<&mut dyn History> {
        None
    }

    /// How far a coded state reaches into the history.
    ///
    /// # Errors
    ///
    /// Fails if the state can't be decoded.
    fn history_end(&self, _data: &[u8]) -> Result<u64, RestoreError> {
        Ok(0)
    }
}

/// A snapshot that can't be restored.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub))]
pub enum RestoreError {
    /// Its bytes can't be decoded.
    #[snafu(display("the snapshot can't be decoded: {source}"))]
    Undecodable {
        /// What the decoder said.
        source: DecodeError,
    },
    /// It refers to history that is not there.
    #[snafu(display("the snapshot does not fit the history: {source}"))]
    MissingHistory {
        /// What is missing.
        source: HistoryError,
    },
}
