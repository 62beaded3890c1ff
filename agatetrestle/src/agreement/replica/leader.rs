//! State of a leader: replication progress, heartbeat rounds, pending proposals and reads.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::time::Duration;

use crate::agreement::Ticket;
use crate::agreement::replica::snapshot::OutgoingSnapshot;
use crate::clock::Timestamp;
use crate::ids::NodeId;

/// Unacknowledged appends with entries per peer. Further entries are batched into the next one, which limits the number of
/// messages under load: a reply takes some 3 ms, so a leader sends each peer at most 300 a second. With four in flight a
/// leader carried 1,825 commands a second where one carries 2,744 (`agreement/tests/overload.rs`), and a calm group was no
/// faster.
pub(super) const MAX_IN_FLIGHT_APPENDS: u32 = 1;

/// The same for full batches to a peer that lags by more than one. The copy of a state then waits for one lost packet at a time
/// rather than for one in each batch.
pub(super) const MAX_BULK_IN_FLIGHT: u32 = 8;

/// How entries are sent to a peer.
#[derive(Clone, Debug)]
pub(super) enum ProgressState {
    /// Finding the index at which the logs match, one message at a time.
    Probe {
        /// Whether a message is unacknowledged.
        waiting: bool,
    },
    /// The logs match; entries are sent ahead of acknowledgements, up to `MAX_IN_FLIGHT_APPENDS` messages, or
    /// `MAX_BULK_IN_FLIGHT` to a peer that lags by several batches.
    Replicate {
        /// Unacknowledged appends with entries.
        in_flight: u32,
        /// Last index sent in a full batch, which may arrive later than the heartbeats after it.
        bulk_end: u64,
        /// Round in which the peer's log last grew or the first unacknowledged append was sent.
        progress_round: u64,
    },
    /// Sending a snapshot, since the entries that the peer needs are compacted.
    Snapshot {
        /// `None` until the driver has encoded the snapshot, and while the peer is silent.
        outgoing: Option<OutgoingSnapshot>,
        /// Bytes received by the peer.
        offset: usize,
        /// Round in which the last chunk was sent.
        sent_round: u64,
    },
}

/// Replication progress of a peer.
#[derive(Clone, Debug)]
pub(super) struct Progress {
    /// Highest index known to be durable on the peer.
    pub(super) matched: u64,
    /// Next index to send.
    pub(super) next: u64,
    pub(super) state: ProgressState,
    /// Replies to earlier rounds are ignored, since a previous process with the same node ID sent them.
    pub(super) first_round: u64,
    /// Highest acknowledged round, 0 for none.
    pub(super) acked_round: u64,
    /// When that round was sent, not when its reply arrived.
    pub(super) acked_at: Option<Timestamp>,
}

impl ProgressState {
    /// The state of a peer whose log matches, without unacknowledged appends.
    pub(super) fn replicate(round: u64) -> Self {
        Self::Replicate { in_flight: 0, bulk_end: 0, progress_round: round }
    }
}

impl Progress {
    /// Whether full batches are on their way.
    pub(super) fn is_copying(&self) -> bool {
        matches!(self.state, ProgressState::Replicate { bulk_end, .. } if self.matched < bulk_end)
    }

    pub(super) fn new(next: u64, first_round: u64) -> Self {
        let state = ProgressState::Probe { waiting: false };
        Self { matched: 0, next, state, first_round, acked_round: 0, acked_at: None }
    }
}

/// A read that waits until leadership is confirmed.
#[derive(Clone, Copy, Debug)]
pub(super) struct PendingRead {
    pub(super) ticket: Ticket,
    /// Round, started after the read arrived, that a majority must acknowledge.
    pub(super) round: u64,
}

#[derive(Clone, Copy, Debug)]
pub(super) struct LeadershipTransfer {
    pub(super) to: NodeId,
    pub(super) started: Timestamp,
}

/// Interval whose shortest commit is remembered, and that of the interval before.
const COMMIT_TIME_INTERVAL: Duration = Duration::from_secs(5);

/// The shortest time of a recent commit: what links and disks take without waiting for the processor.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct ShortestCommit {
    interval_start: Timestamp,
    current: Option<Duration>,
    previous: Option<Duration>,
}

impl ShortestCommit {
    fn record(&mut self, now: Timestamp, took: Duration) {
        if now.since(self.interval_start) >= COMMIT_TIME_INTERVAL {
            *self = Self { interval_start: now, current: None, previous: self.current };
        }
        self.current = Some(self.current.map_or(took, |shortest| shortest.min(took)));
    }

    /// The shortest time; zero before the first commit.
    pub(super) fn time(&self) -> Duration {
        self.current.into_iter().chain(self.previous).min().unwrap_or_default()
    }
}

/// State that is discarded when leadership ends.
#[derive(Clone, Debug)]
pub(super) struct LeaderState {
    pub(super) progress: BTreeMap<NodeId, Progress>,
    pub(super) elected_at: Timestamp,
    /// Index of the empty entry appended on election.
    pub(super) first_index: u64,
    /// Latest round.
    pub(super) round: u64,
    /// Send times of recent rounds, oldest first.
    pub(super) rounds: VecDeque<(u64, Timestamp)>,
    pub(super) next_heartbeat: Timestamp,
    /// Latest round that a majority had acknowledged at a tick, and the time since then in which messages could be received.
    pub(super) confirmed_round: u64,
    pub(super) unconfirmed_for: Duration,
    /// Pending proposals and when they were made, by log index.
    pub(super) tickets: BTreeMap<u64, (Ticket, Timestamp)>,
    pub(super) shortest_commit: ShortestCommit,
    pub(super) reads: Vec<PendingRead>,
    pub(super) transfer: Option<LeadershipTransfer>,
    /// Set once another node was asked to campaign, since it may be elected during the lease.
    pub(super) lease_forfeited: bool,
}

impl LeaderState {
    pub(super) fn new(elected_at: Timestamp, first_index: u64) -> Self {
        Self {
            progress: BTreeMap::new(),
            elected_at,
            first_index,
            round: 0,
            rounds: VecDeque::new(),
            next_heartbeat: elected_at,
            confirmed_round: 0,
            unconfirmed_for: Duration::ZERO,
            tickets: BTreeMap::new(),
            shortest_commit: ShortestCommit::default(),
            reads: Vec::new(),
            transfer: None,
            lease_forfeited: false,
        }
    }

    /// Whether a reply to `round` comes from the peer's current process.
    pub(super) fn is_current_reply(&self, peer: NodeId, round: u64) -> bool {
        self.progress.get(&peer).is_some_and(|progress| round >= progress.first_round)
    }

    /// Whether a peer has not acknowledged any recent round.
    pub(super) fn is_silent(&self, peer: NodeId) -> bool {
        let oldest = self.rounds.front().map_or(self.elected_at, |(_, sent)| *sent);
        let acked_at = self.progress.get(&peer).and_then(|progress| progress.acked_at);
        acked_at.is_none_or(|acked_at| acked_at < oldest)
    }

    /// Records how long the newest proposal up to `commit` took.
    pub(super) fn record_commit(&mut self, now: Timestamp, commit: u64) {
        if let Some((_, (_, proposed))) = self.tickets.range(..=commit).next_back() {
            self.shortest_commit.record(now, now.since(*proposed));
        }
    }

    /// When a recent round was sent.
    pub(super) fn sent_at(&self, round: u64) -> Option<Timestamp> {
        self.rounds.iter().find(|(number, _)| *number == round).map(|(_, at)| *at)
    }
}

/// Highest value that a majority reaches, or `None` if there are none.
pub(super) fn majority<T: Copy + Ord>(mut values: Vec<T>) -> Option<T> {
    values.sort_unstable_by(|a, b| b.cmp(a));
    values.get(values.len() / 2).copied()
}
