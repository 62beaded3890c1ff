//! The replicated log: a pure state machine without I/O or clock, and its durable storage.
//!
//! A driver feeds each [`Input`] to a replica and carries out every [`Output`] in order. The design is described
//! in docs/design/001-replicated-log-and-groups.md.

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

/// Identifies a proposal, read or replica change, so that the driver can match its outcome.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Ticket(pub u64);

/// Raft state besides the log that must survive a restart.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct HardState {
    /// Latest term seen.
    pub term: u64,
    /// Node voted for in that term, if any.
    pub vote: Option<NodeId>,
    /// Set on a replica that joined without files, until a later message addresses it as a voter. Until then it
    /// neither votes nor campaigns, since its log may list it as a voter from before it lost its files.
    pub without_vote: Option<LearnerAdmission>,
}

/// Identifies the leader's message that admitted a replica without files as a learner.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct LearnerAdmission {
    /// Term of the leader, never 0.
    pub term: u64,
    /// Heartbeat round of the message.
    pub round: u64,
}

/// Membership of a group.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Replicas {
    /// Nodes that count towards a majority.
    pub voters: BTreeSet<NodeId>,
    /// Nodes that receive the log but don't count towards a majority.
    pub learners: BTreeSet<NodeId>,
}

/// A change of membership by one node; the next is rejected until this one is committed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ReplicaChange {
    /// Add a node as a learner.
    AddLearner(NodeId),
    /// Make a learner a voter; rejected while it lags behind the commit index.
    Promote(NodeId),
    /// Remove a node.
    Remove(NodeId),
}

/// An event for a replica to process.
#[derive(Clone, Debug)]
pub enum Input {
    /// Lets the replica check its timeouts.
    Tick,
    /// A message arrived.
    Receive(Message),
    /// Append a command to the log.
    Propose {
        /// Identifies the outcome.
        ticket: Ticket,
        /// Encoded command.
        payload: Arc<[u8]>,
    },
    /// Request a linearizable read; answered once the lease or a heartbeat round confirms leadership.
    Read(Ticket),
    /// All writes up to this sequence number are synced.
    Written(u64),
    /// A write failed, such as on a full disk or an I/O error; the replica stops for good, and a leader steps down.
    WriteFailed,
    /// The driver has durably stored a snapshot of the state machine, without an [`Output::Write`].
    SnapshotTaken {
        /// Last entry included in the snapshot.
        position: Position,
    },
    /// The state machine that [`Output::EncodeSnapshot`] requested, as of its last applied entry.
    SnapshotEncoded {
        /// Last applied entry.
        position: Position,
        /// Encoded state machine.
        data: Bytes,
    },
    /// Change the membership.
    ChangeReplicas {
        /// Identifies the outcome.
        ticket: Ticket,
        /// Node to add, promote or remove.
        change: ReplicaChange,
    },
    /// Transfer leadership to an up-to-date voter, since this node is about to stop.
    TransferLeadership,
}

/// Changes to make durable, in sequence, before they are confirmed by [`Input::Written`].
#[derive(Clone, Debug, Default)]
pub struct Write {
    /// Sequence number; confirming it confirms all earlier writes too.
    pub sequence: u64,
    /// New term and vote, if they changed.
    pub hard_state: Option<HardState>,
    /// Remove entries from this index on, before the snapshot is stored and the entries are appended.
    pub truncate_from: Option<u64>,
    /// Entries to append.
    pub entries: Vec<Entry>,
    /// Received snapshot that replaces all entries up to its position; later ones stay unless truncated.
    pub snapshot: Option<Snapshot>,
}

/// The state machine as of a position.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Snapshot {
    /// Last entry included.
    pub position: Position,
    /// Membership as of that entry.
    pub replicas: Replicas,
    /// Encoded state machine.
    pub data: Bytes,
}

/// Percent of a leader's limits for load at which every proposal is rejected.
pub const ALL_PROPOSALS: u32 = 100;

/// Why a proposal, read or change was rejected; nothing was appended to the log.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Rejection {
    /// This replica is not the leader; holds the leader if known.
    NotLeader(Option<NodeId>),
    /// Too many proposals or reads are pending, or the oldest proposal has waited too long.
    Busy,
    /// Another membership change is uncommitted, or the learner lags.
    ChangePending,
    /// The change promotes a node that is not a learner or removes the last voter.
    InvalidChange,
}

/// An action for the driver to carry out.
#[derive(Clone, Debug)]
pub enum Output {
    /// Make this durable and confirm it with [`Input::Written`].
    Write(Write),
    /// Send a message, which may be lost.
    Send(Message),
    /// Apply a committed command.
    Apply {
        /// Position in the log.
        position: Position,
        /// Encoded command.
        payload: Arc<[u8]>,
        /// Set on the replica that proposed it.
        ticket: Option<Ticket>,
    },
    /// Replace the state machine's state by a snapshot.
    Restore(Snapshot),
    /// Encode the state machine for a peer that needs entries already compacted, and reply with
    /// [`Input::SnapshotEncoded`]. The replica keeps no snapshot in memory.
    EncodeSnapshot,
    /// Answer a read from the current state.
    ReadReady(Ticket),
    /// A proposal, read or change was rejected.
    Reject {
        /// Identifies the rejected request.
        ticket: Ticket,
        /// Why it was rejected.
        reason: Rejection,
    },
    /// A membership is committed.
    Replicas {
        /// Set on the replica that proposed the change.
        ticket: Option<Ticket>,
        /// The committed membership.
        replicas: Replicas,
    },
    /// Leadership was lost after the proposal was appended; it may still be committed.
    OutcomeUnknown(Ticket),
    /// The term or the known leader changed.
    Role {
        /// Current term.
        term: u64,
        /// Leader of that term, if known.
        leader: Option<NodeId>,
    },
}

/// Encodes a copy of the state as of when this encoder was made.
pub type SnapshotEncoder = Box<dyn FnOnce() -> Vec<u8> + Send>;

/// The state machine that a group replicates.
pub trait StateMachine {
    /// Applies a committed command and returns the encoded reply. Must be deterministic. The state may keep a
    /// reference to the payload, which the log shares.
    fn apply(&mut self, position: Position, payload: &Arc<[u8]>) -> Vec<u8>;

    /// Applies a committed command without encoding a reply, such as on a follower or while replaying the log.
    fn apply_without_reply(&mut self, position: Position, payload: &Arc<[u8]>) {
        self.apply(position, payload);
    }

    /// Encodes the whole state.
    fn snapshot(&self) -> Vec<u8>;

    /// Returns an encoder of the current state that can run on any thread. A large state should return one over a
    /// cheap copy, since a leader that blocks for longer than the election timeout loses leadership.
    fn snapshot_encoder(&self) -> SnapshotEncoder {
        let data = self.snapshot();
        Box::new(move || data)
    }

    /// Replaces the state by an encoded one. After a failure the state is either the previous one or empty.
    ///
    /// # Errors
    ///
    /// Fails if the snapshot can't be decoded or its history is missing, which a driver must treat as corruption.
    fn restore(&mut self, data: &[u8]) -> Result<(), RestoreError>;

    /// The append-only history stored outside the log that an encoded state refers to, if any.
    fn history(&mut self) -> Option<&mut dyn History> {
        None
    }

    /// Length of the history that an encoded state refers to.
    ///
    /// # Errors
    ///
    /// Fails if the state can't be decoded.
    fn history_end(&self, _data: &[u8]) -> Result<u64, RestoreError> {
        Ok(0)
    }
}

/// Why a snapshot can't be restored.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub))]
pub enum RestoreError {
    /// The bytes can't be decoded.
    #[snafu(display("failed to decode snapshot: {source}"))]
    Undecodable {
        /// The decoder's error.
        source: DecodeError,
    },
    /// The snapshot refers to history that is not stored.
    #[snafu(display("snapshot refers to missing history: {source}"))]
    MissingHistory {
        /// The history's error.
        source: HistoryError,
    },
}
