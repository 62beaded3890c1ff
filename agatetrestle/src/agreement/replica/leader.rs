//! What only a leader keeps: the progress of its peers, its rounds, and who waits for an outcome.

use std::collections::BTreeMap;
use std::collections::VecDeque;

use crate::agreement::Ticket;
use crate::agreement::replica::snapshot::Outgoing;
use crate::clock::Timestamp;
use crate::ids::NodeId;

/// Appends with entries that may be on their way to one peer; further entries gather into the next batch. One is answered in
/// some 3 ms, so a leader sends each peer 300 a second at most, however many commands come: with four on their way it carried
/// 1,825 commands a second where one carries 2,744 (`agreement/tests/overload.rs`), and a calm group was no faster.
pub(super) const APPENDS_UNDER_WAY: u32 = 1;

/// How entries reach a peer.
#[derive(Clone, Debug)]
pub(super) enum Stage {
    /// Its log is not known yet; one message at a time.
    Probe {
        /// Whether a message is on its way.
        waiting: bool,
    },
    /// Its log matches; entries go out without waiting for each answer.
    Replicate {
        /// Appends with entries that have not been answered.
        under_way: u32,
    },
    /// It needs a snapshot.
    Snapshot {
        /// The snapshot, unless the driver still codes it.
        outgoing: Option<Outgoing>,
        /// Bytes that the peer has.
        offset: usize,
    },
}

/// What the leader knows of one peer.
#[derive(Clone, Debug)]
pub(super) struct Progress {
    /// Highest index known to be durable there.
    pub(super) matched: u64,
    /// Next index to send.
    pub(super) next: u64,
    /// How entries reach it.
    pub(super) stage: Stage,
    /// Answers to earlier rounds are of a process that held this number before the peer was added.
    pub(super) first_round: u64,
    /// Highest round it answered, 0 for none.
    pub(super) acked_round: u64,
    /// When that round was sent.
    pub(super) acked_at: Option<Timestamp>,
}

impl Progress {
    pub(super) fn new(next: u64, first_round: u64) -> Self {
        let stage = Stage::Probe { waiting: false };
        Self { matched: 0, next, stage, first_round, acked_round: 0, acked_at: None }
    }
}

/// A read that waits for proof of leadership.
#[derive(Clone, Copy, Debug)]
pub(super) struct PendingRead {
    pub(super) ticket: Ticket,
    /// The round, begun after the read arrived, that a quorum must answer.
    pub(super) round: u64,
}

/// A planned change of leader.
#[derive(Clone, Copy, Debug)]
pub(super) struct Transfer {
    pub(super) to: NodeId,
    pub(super) since: Timestamp,
}

/// State that ends with the leadership.
#[derive(Clone, Debug)]
pub(super) struct Leader {
    pub(super) progress: BTreeMap<NodeId, Progress>,
    /// When leadership began.
    pub(super) since: Timestamp,
    /// Index of the empty entry that began the term.
    pub(super) first_index: u64,
    /// Newest round.
    pub(super) round: u64,
    /// Send times of recent rounds, oldest first.
    pub(super) rounds: VecDeque<(u64, Timestamp)>,
    pub(super) next_heartbeat: Timestamp,
    /// Outcomes owed, by index, and since when.
    pub(super) tickets: BTreeMap<u64, (Ticket, Timestamp)>,
    pub(super) reads: Vec<PendingRead>,
    pub(super) transfer: Option<Transfer>,
    /// Set once another node was asked to take over: it may be elected during what was the lease.
    pub(super) lease_forfeited: bool,
}

impl Leader {
    pub(super) fn new(since: Timestamp, first_index: u64) -> Self {
        Self {
            progress: BTreeMap::new(),
            since,
            first_index,
            round: 0,
            rounds: VecDeque::new(),
            next_heartbeat: since,
            tickets: BTreeMap::new(),
            reads: Vec::new(),
            transfer: None,
            lease_forfeited: false,
        }
    }

    /// Whether an answer is of the process that holds the peer's number now.
    pub(super) fn knows(&self, peer: NodeId, round: u64) -> bool {
        self.progress.get(&peer).is_some_and(|progress| round >= progress.first_round)
    }

    /// When a round was sent, if that was recent.
    pub(super) fn sent_at(&self, round: u64) -> Option<Timestamp> {
        self.rounds.iter().find(|(number, _)| *number == round).map(|(_, at)| *at)
    }
}

/// The highest value that a majority reaches; `None` for an empty set.
pub(super) fn majority<T: Copy + Ord>(mut values: Vec<T>) -> Option<T> {
    values.sort_unstable_by(|a, b| b.cmp(a));
    values.get(values.len() / 2).copied()
}
