//! A simulated node: a replica, a drifting clock, a disk that loses unsynced writes, and a state machine.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::time::Duration;

use bytes::Bytes;

use crate::agreement::HardState;
use crate::agreement::Replicas;
use crate::agreement::Snapshot;
use crate::agreement::Write;
use crate::agreement::message::Entry;
use crate::agreement::message::Position;
use crate::agreement::replica::PersistentState;
use crate::agreement::replica::Replica;
use crate::agreement::replica::ReplicaConfig;
use crate::agreement::replica::fault::Fault;
use crate::agreement::tests::simulation::Violation;
use crate::clock::Timestamp;
use crate::ids::GroupId;
use crate::ids::NodeId;

pub(super) const ELECTION_TIMEOUT: Duration = Duration::from_millis(100);

/// Exceeds the drift of two clocks over an election timeout at the maximum rate error.
const CLOCK_DRIFT: Duration = Duration::from_millis(10);

const PARTS_PER_MILLION: u64 = 1_000_000;

const MAX_CLOCK_ERROR_PPM: u64 = 40_000;

/// State machine of the tests: term and command of each applied entry, by index.
pub(super) type Applied = BTreeMap<u64, (u64, u64)>;

/// What a node does between two ticks that are far apart.
#[derive(Clone, Copy, Debug)]
pub(super) enum TimeWithoutTicks {
    /// It is held up, and processes no messages.
    HeldUp,
    /// It waits for messages.
    Waiting,
}

pub(super) struct SimNode {
    pub(super) id: NodeId,
    clock_rate_ppm: u64,
    clock_offset: u64,
    pub(super) replica: Option<Replica>,
    pub(super) paused: bool,
    /// Whether writes are synced only by explicit steps.
    pub(super) slow_disk: bool,
    pub(super) time_without_ticks: TimeWithoutTicks,
    /// Whether the files were lost and no hard state has been stored since.
    files_lost: bool,
    pub(super) durable: PersistentState,
    pub(super) unsynced: VecDeque<Write>,
    pub(super) applied: Applied,
    /// Latest membership known to be committed.
    pub(super) replicas: Replicas,
}

impl SimNode {
    pub(super) fn new(id: u64, random: u64) -> Self {
        let clock_rate_ppm = PARTS_PER_MILLION - MAX_CLOCK_ERROR_PPM + random % (2 * MAX_CLOCK_ERROR_PPM + 1);
        Self {
            id: NodeId(id),
            clock_rate_ppm,
            clock_offset: 1_000_000 + random % 999_983,
            replica: None,
            paused: false,
            slow_disk: false,
            time_without_ticks: TimeWithoutTicks::Waiting,
            files_lost: false,
            durable: PersistentState::default(),
            unsynced: VecDeque::new(),
            applied: Applied::new(),
            replicas: Replicas::default(),
        }
    }

    /// Reading of this node's clock at a true time.
    pub(super) fn clock(&self, time: u64) -> Timestamp {
        Timestamp(self.clock_offset + time * self.clock_rate_ppm / PARTS_PER_MILLION)
    }

    pub(super) fn start(
        &mut self,
        initial: &Replicas,
        time: u64,
        max_batch_bytes: usize,
        fault: Option<Fault>,
    ) {
        let cfg = ReplicaConfig {
            group: GroupId(1),
            node: self.id,
            leader_interval: Duration::from_millis(20),
            election_timeout: ELECTION_TIMEOUT,
            clock_drift: CLOCK_DRIFT,
            seed: time,
            max_in_flight: 16,
            max_commit_wait: Duration::from_secs(1),
            max_batch_bytes,
        };
        let now = self.clock(time);
        self.files_lost &= self.durable.hard_state == HardState::default();
        let replica = if self.files_lost {
            Replica::joining(cfg, now)
        } else {
            Replica::new(cfg, initial.clone(), self.durable.clone(), now)
        };
        let replica = match self.time_without_ticks {
            TimeWithoutTicks::HeldUp => replica,
            TimeWithoutTicks::Waiting => replica.without_hold_ups(),
        };
        self.replica = Some(replica.with_fault(fault));
        self.paused = false;
        self.slow_disk = false;
        self.replicas =
            self.durable.snapshot.as_ref().map_or_else(|| initial.clone(), |s| s.replicas.clone());
        self.applied = self.durable.snapshot.as_ref().map_or_else(Applied::new, |s| decode(&s.data));
    }

    /// Stops at once; only the first `kept` of the unsynced writes have reached the disk.
    pub(super) fn crash(&mut self, kept: usize) -> Result<(), Violation> {
        self.replica = None;
        self.sync(kept)?;
        self.unsynced.clear();
        Ok(())
    }

    /// Stores a snapshot of the state machine, as the driver does before it informs the replica.
    pub(super) fn save_snapshot(&mut self, position: Position) -> Result<(), Violation> {
        let data = encode(&self.applied);
        let snapshot = Snapshot { position, replicas: self.replicas.clone(), data };
        apply_write(&mut self.durable, Write { snapshot: Some(snapshot), ..Write::default() })
    }

    /// Encodes the state machine to be sent to a lagging peer.
    pub(super) fn encode_snapshot(&self) -> (Position, Bytes) {
        let last = self.applied.last_key_value();
        let position = last.map(|(index, (term, _))| Position { term: *term, index: *index });
        (position.unwrap_or_default(), encode(&self.applied))
    }

    /// Stops and loses all files.
    pub(super) fn lose_files(&mut self) {
        self.replica = None;
        self.unsynced.clear();
        self.durable = PersistentState::default();
        self.files_lost = true;
    }

    /// Syncs up to `count` writes and returns the sequence number of the last.
    pub(super) fn sync(&mut self, count: usize) -> Result<Option<u64>, Violation> {
        let mut last = None;
        for _ in 0..count.min(self.unsynced.len()) {
            let write = self.unsynced.pop_front().expect("counted");
            last = Some(write.sequence);
            apply_write(&mut self.durable, write)?;
        }
        Ok(last)
    }

    /// The replica's log in memory, as the sum of its synced and unsynced writes.
    pub(super) fn log(&self) -> Result<PersistentState, Violation> {
        let mut log = self.durable.clone();
        for write in self.unsynced.iter().cloned() {
            apply_write(&mut log, write)?;
        }
        Ok(log)
    }

    pub(super) fn is_leader(&self) -> bool {
        self.replica.as_ref().is_some_and(Replica::is_leader)
    }

    pub(super) fn term(&self) -> u64 {
        self.replica.as_ref().map_or(0, Replica::term)
    }
}

/// Applies a write as the storage does.
fn apply_write(disk: &mut PersistentState, write: Write) -> Result<(), Violation> {
    disk.hard_state = write.hard_state.unwrap_or(disk.hard_state);
    if let Some(from) = write.truncate_from {
        disk.entries.retain(|entry| entry.position.index < from);
    }
    if let Some(snapshot) = write.snapshot {
        disk.entries.retain(|entry| entry.position.index > snapshot.position.index);
        disk.snapshot = Some(snapshot);
    }
    for entry in write.entries {
        if entry.position.index != last(disk).index + 1 {
            return Err(Violation::LogGap);
        }
        disk.entries.push(entry);
    }
    Ok(())
}

fn last(disk: &PersistentState) -> Position {
    let base = disk.snapshot.as_ref().map_or(Position::default(), |snapshot| snapshot.position);
    disk.entries.last().map_or(base, |entry| entry.position)
}

/// The entry at an index, unless the log lacks it or it is included in the snapshot.
pub(super) fn entry_at(log: &PersistentState, index: u64) -> Option<&Entry> {
    log.entries.iter().find(|entry| entry.position.index == index)
}

pub(super) fn snapshot_index(snapshot: Option<&Snapshot>) -> u64 {
    snapshot.map_or(0, |snapshot| snapshot.position.index)
}

fn encode(applied: &Applied) -> Bytes {
    let numbers = applied.iter().flat_map(|(index, (term, command))| [*index, *term, *command]);
    numbers.flat_map(u64::to_le_bytes).collect()
}

pub(super) fn decode(data: &[u8]) -> Applied {
    let numbers: Vec<u64> = data
        .chunks_exact(8)
        .map(|bytes| u64::from_le_bytes(bytes.try_into().expect("eight bytes")))
        .collect();
    numbers.chunks_exact(3).map(|entry| (entry[0], (entry[1], entry[2]))).collect()
}
