//! Random writes, snapshots, full disks and crashes, compared with a model of the durable state.

use proptest::prelude::*;

use crate::agreement::HardState;
use crate::agreement::LearnerAdmission;
use crate::agreement::Write;
use crate::agreement::message::Entry;
use crate::agreement::replica::PersistentState;
use crate::agreement::storage::Storage;
use crate::agreement::storage::tests::entry;
use crate::agreement::storage::tests::memory::MemoryDisk;
use crate::agreement::storage::tests::open;
use crate::agreement::storage::tests::snapshot;
use crate::agreement::tests::seeded;
use crate::ids::NodeId;

#[derive(Clone, Debug)]
enum Step {
    /// Truncates the log and appends entries.
    Append { truncated: u64, added: u64 },
    /// Stores a new term and vote.
    Vote,
    /// Saves a snapshot of all but the last entries.
    Snapshot { kept: u64 },
    /// Limits the free space in bytes.
    LimitSpace(usize),
    /// Makes the disk fail after a number of operations.
    FailAfter(usize),
    /// Simulates a power loss with a seed.
    Crash(u64),
}

/// Expected state of the storage.
#[derive(Clone, Debug, Default, PartialEq)]
struct Model {
    state: HardState,
    covered: u64,
    entries: Vec<Entry>,
}

impl Model {
    fn last(&self) -> u64 {
        self.covered + self.entries.len() as u64
    }

    fn write(&mut self, write: &Write) {
        self.state = write.hard_state.unwrap_or(self.state);
        if let Some(from) = write.truncate_from {
            self.entries.retain(|entry| entry.position.index < from);
        }
        self.entries.extend_from_slice(&write.entries);
    }

    fn compact(&mut self, index: u64) {
        self.entries.retain(|entry| entry.position.index > index);
        self.covered = index;
    }
}

impl From<PersistentState> for Model {
    fn from(restored: PersistentState) -> Self {
        let covered = restored.snapshot.map_or(0, |snapshot| snapshot.position.index);
        Self { state: restored.hard_state, covered, entries: restored.entries }
    }
}

struct TestRun {
    disk: MemoryDisk,
    storage: Option<Storage>,
    /// Acknowledged state.
    model: Model,
    /// Other states that may be durable after a failed write.
    unacknowledged: Vec<Model>,
}

impl TestRun {
    fn new() -> Self {
        let disk = MemoryDisk::default();
        let storage = open(&disk).ok().map(|(storage, _)| storage);
        Self { disk, storage, model: Model::default(), unacknowledged: Vec::new() }
    }

    fn step(&mut self, step: &Step) -> Result<(), TestCaseError> {
        match step {
            Step::Append { truncated, added } => {
                let first = (self.model.last() + 1).saturating_sub(*truncated).max(self.model.covered + 1);
                let term = self.model.state.term;
                let entries = (first..first + added).map(|index| entry(term, index)).collect();
                self.write(Write { truncate_from: Some(first), entries, ..Write::default() })?;
            }
            Step::Vote => {
                let term = self.model.state.term + 1;
                let vote = Some(NodeId(term % 3)).filter(|node| node.0 > 0);
                let without_vote =
                    Some(LearnerAdmission { term: term / 2, round: term }).filter(|a| a.term > 0);
                let hard_state = Some(HardState { term, vote, without_vote });
                self.write(Write { hard_state, ..Write::default() })?;
            }
            Step::Snapshot { kept } => self.snapshot(*kept)?,
            Step::LimitSpace(bytes) => self.disk.set_limit(self.disk.used() + bytes),
            Step::FailAfter(operations) => self.disk.fail_after(*operations),
            Step::Crash(seed) => self.crash(*seed)?,
        }
        Ok(())
    }

    fn write(&mut self, write: Write) -> Result<(), TestCaseError> {
        let mut after = self.model.clone();
        after.write(&write);
        let outcome = self.storage.as_mut().expect("open").write(&[write]);
        self.record_outcome(after, outcome.is_ok())
    }

    fn snapshot(&mut self, kept: u64) -> Result<(), TestCaseError> {
        let index = self.model.last().saturating_sub(kept);
        if index <= self.model.covered {
            return Ok(());
        }
        let mut after = self.model.clone();
        after.compact(index);
        let outcome = self.storage.as_mut().expect("open").save_snapshot(&snapshot(1, index));
        self.record_outcome(after, outcome.is_ok())
    }

    fn record_outcome(&mut self, after: Model, succeeded: bool) -> Result<(), TestCaseError> {
        if succeeded {
            self.model = after;
            return Ok(());
        }
        let only_state = Model { state: after.state, ..self.model.clone() };
        self.unacknowledged = vec![after, only_state];
        self.disk.set_limit(usize::MAX);
        self.reopen()
    }

    fn crash(&mut self, seed: u64) -> Result<(), TestCaseError> {
        self.storage = None;
        self.disk.crash(seed);
        self.reopen()
    }

    /// Reopens the storage and checks the restored state, as the driver does after failures and crashes.
    fn reopen(&mut self) -> Result<(), TestCaseError> {
        self.storage = None;
        self.disk.clear_failure();
        let (storage, restored) = open(&self.disk).map_err(|error| TestCaseError::fail(error.to_string()))?;
        let found = Model::from(restored);
        let allowed = found == self.model || self.unacknowledged.contains(&found);
        prop_assert!(allowed, "found {found:?}, acknowledged {:?}", self.model);
        self.storage = Some(storage);
        self.model = found;
        self.unacknowledged.clear();
        Ok(())
    }
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let step = prop_oneof![
        6 => (0..4_u64, 1..6_u64).prop_map(|(truncated, added)| Step::Append { truncated, added }),
        2 => Just(Step::Vote),
        2 => (0..8_u64).prop_map(|kept| Step::Snapshot { kept }),
        1 => (0..200_usize).prop_map(Step::LimitSpace),
        2 => (0..12_usize).prop_map(Step::FailAfter),
        2 => any::<u64>().prop_map(Step::Crash),
    ];
    prop::collection::vec(step, 1..60)
}

#[test]
fn acknowledged_writes_survive_crashes_and_full_disks() {
    let outcome = seeded("storage", 2_000).run(&steps(), |steps| {
        let mut run = TestRun::new();
        for step in &steps {
            run.step(step)?;
        }
        run.crash(steps.len() as u64)
    });
    outcome.unwrap_or_else(|error| panic!("{error}"));
}
