//! Messages between the replicas of one group.

use std::sync::Arc;

use crate::ids::GroupId;
use crate::ids::NodeId;

/// Place of an entry in a group's log.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Position {
    /// Term of the leader that created the entry; compared first, as log freshness demands.
    pub term: u64,
    /// Place in the log, counting from 1; 0 means before the first entry.
    pub index: u64,
}

/// What an entry holds.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum EntryKind {
    /// A command for the state machine.
    Command,
    /// Nothing; a new leader writes one to commit what earlier terms left.
    NoOperation,
    /// The set of voters and learners from this index on, as coded by [`super`].
    Replicas,
}

/// One entry of the log.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Entry {
    /// Where it stands.
    pub position: Position,
    /// How to read the payload.
    pub kind: EntryKind,
    /// Coded command or replica set.
    pub payload: Arc<[u8]>,
}

/// A message from one replica to another.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Message {
    /// The group it belongs to; a replica drops messages of other groups.
    pub group: GroupId,
    /// Sender.
    pub from: NodeId,
    /// Receiver.
    pub to: NodeId,
    /// Sender's term; for a pre-vote the term it would stand in.
    pub term: u64,
    /// What it says.
    pub body: Body,
}

impl Message {
    /// Whether a leader counts the receiver as a learner, which a node without a replica takes for an invitation.
    #[must_use]
    pub fn addresses_learner(&self) -> bool {
        matches!(self.body, Body::Append { learner: true, .. } | Body::Snapshot { learner: true, .. })
    }
}

/// What a message says.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Body {
    /// Would you vote for me? Keeps a replica that was cut off from disturbing a healthy leader.
    PreVote {
        /// The sender's last entry.
        last: Position,
    },
    /// Answer to a pre-vote.
    PreVoteReply {
        /// Whether a vote would be given.
        granted: bool,
    },
    /// Vote for me.
    Vote {
        /// The sender's last entry.
        last: Position,
        /// Set where the leader itself asked the sender to take over, so that its lease is no obstacle.
        transfer: bool,
    },
    /// Answer to a request for a vote.
    VoteReply {
        /// Whether the vote was given.
        granted: bool,
    },
    /// Entries to append; with none it is the leader's heartbeat.
    Append {
        /// The entry right before the first one here.
        previous: Position,
        /// Highest index the leader knows to be committed.
        commit: u64,
        /// Number of the leader's sending round, echoed in the reply, from which the leader derives its lease.
        round: u64,
        /// The entries, in order.
        entries: Vec<Entry>,
        /// Whether the sender counts the receiver as a learner, which lets a replica without files join.
        learner: bool,
    },
    /// Answer to entries, given only after they are synced.
    AppendReply {
        /// Whether the log matched at the previous position.
        accepted: bool,
        /// Highest matching index if accepted, else where the leader should try next.
        matched: u64,
        /// The round that is answered.
        round: u64,
    },
    /// A piece of a snapshot.
    Snapshot {
        /// The last entry that the snapshot covers.
        position: Position,
        /// Offset of the piece.
        offset: u64,
        /// The piece.
        chunk: Arc<[u8]>,
        /// Whether it is the last piece.
        last: bool,
        /// As in [`Body::Append`].
        learner: bool,
        /// As in [`Body::Append`].
        round: u64,
    },
    /// Answer to a piece of a snapshot.
    SnapshotReply {
        /// The snapshot that is answered.
        position: Position,
        /// Bytes received so far.
        received: u64,
        /// As in [`Body::AppendReply`].
        round: u64,
    },
    /// The leader, about to stop, asks the receiver to stand for election at once.
    TimeoutNow,
}
