//! Messages between the replicas of one group.

use std::sync::Arc;

use crate::ids::GroupId;
use crate::ids::NodeId;

/// Term and index of a log entry.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Position {
    /// Term of the leader that created the entry. Compared first, as Raft's up-to-date check requires.
    pub term: u64,
    /// Index in the log, starting at 1; 0 is before the first entry.
    pub index: u64,
}

/// Type of an entry's payload.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum EntryKind {
    /// A command for the state machine.
    Command,
    /// Empty; a new leader appends one to commit the entries of earlier terms.
    NoOperation,
    /// Membership from this index on, encoded by [`super::coding::encode_replicas`].
    Replicas,
}

/// One entry of the log.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Entry {
    /// Term and index.
    pub position: Position,
    /// Type of the payload.
    pub kind: EntryKind,
    /// Encoded command or replica set.
    pub payload: Arc<[u8]>,
}

/// A message from one replica to another.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Message {
    /// Group of both replicas; a replica ignores messages for other groups.
    pub group: GroupId,
    /// Sender.
    pub from: NodeId,
    /// Receiver.
    pub to: NodeId,
    /// Sender's term. In a pre-vote, the term in which it would campaign.
    pub term: u64,
    /// Content of the message.
    pub body: Body,
}

impl Message {
    /// Whether a leader addresses the receiver as a learner; a node without a replica then creates one.
    #[must_use]
    pub fn addresses_learner(&self) -> bool {
        matches!(self.body, Body::Append { learner: true, .. } | Body::Snapshot { learner: true, .. })
    }

    /// Bytes of the entries or of the part of a snapshot that it holds.
    #[must_use]
    pub fn payload_bytes(&self) -> usize {
        match &self.body {
            Body::Append { entries, .. } => entries.iter().map(|entry| entry.payload.len()).sum(),
            Body::Snapshot { chunk, .. } => chunk.len(),
            _ => 0,
        }
    }
}

/// Content of a message.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Body {
    /// Asks whether a vote would be granted, so that a partitioned replica does not disrupt a healthy leader.
    PreVote {
        /// Sender's last log entry.
        last: Position,
    },
    /// Reply to a pre-vote.
    PreVoteReply {
        /// Whether a vote would be granted.
        granted: bool,
    },
    /// Requests a vote.
    Vote {
        /// Sender's last log entry.
        last: Position,
        /// Set in a leadership transfer, in which the leader has given up its lease.
        transfer: bool,
    },
    /// Reply to a vote request.
    VoteReply {
        /// Whether the vote was granted.
        granted: bool,
    },
    /// Entries to append; empty as a heartbeat.
    Append {
        /// Entry before the first of `entries`.
        previous: Position,
        /// Leader's commit index.
        commit: u64,
        /// Heartbeat round, echoed in the reply, from which the leader derives its lease.
        round: u64,
        /// Entries in log order.
        entries: Vec<Entry>,
        /// Whether the receiver is a learner, which lets a replica without files join.
        learner: bool,
    },
    /// Reply to entries, sent once they are synced.
    AppendReply {
        /// Whether the log matched at the previous position.
        accepted: bool,
        /// Highest matching index if accepted, else the index from which the leader should retry.
        matched: u64,
        /// Round of the request.
        round: u64,
    },
    /// A chunk of a snapshot.
    Snapshot {
        /// Last entry included in the snapshot.
        position: Position,
        /// Byte offset of the chunk.
        offset: u64,
        /// Bytes of the chunk.
        chunk: Arc<[u8]>,
        /// Whether it is the last chunk.
        last: bool,
        /// As in [`Body::Append`].
        learner: bool,
        /// As in [`Body::Append`].
        round: u64,
    },
    /// Reply to a chunk of a snapshot.
    SnapshotReply {
        /// Position of the snapshot.
        position: Position,
        /// Bytes received so far.
        received: u64,
        /// As in [`Body::AppendReply`].
        round: u64,
    },
    /// Asks the receiver to campaign at once, which completes a leadership transfer.
    TimeoutNow,
}
