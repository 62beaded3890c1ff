//! Allocated memory of a store while it fills, takes a snapshot and restarts.
//!
//! Guards against the out-of-memory failures of docs/incidents/003-stores-over-their-memory.md. A counting
//! allocator makes the result independent of the machine.

use std::alloc::System;
use std::path::Path;
use std::path::PathBuf;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use agatetrestle::clock::Clock;
use agatetrestle::codec::Blob;
use agatetrestle::ids::FIRST_STATE_GROUP;
use agatetrestle::ids::NodeId;
use agatetrestle::node::group::ProposalOutcome;
use agatetrestle::node::links::Links;
use agatetrestle::node::replicas::MissingFiles;
use agatetrestle::node::replicas::OpenReplica;
use agatetrestle::node::replicas::ReplicaOpener;
use agatetrestle::turns::command::Begin;
use agatetrestle::turns::command::Finish;
use agatetrestle::turns::command::RetainedTurn;
use agatetrestle::turns::command::TurnCommand;
use agatetrestle::turns::state::TurnState;
use agatetrestle_config::settings::Storage;
use agatetrestle_config::settings::Timing;
use cap::Cap;
use smol::LocalExecutor;
use smol::Timer;

#[global_allocator]
static ALLOCATOR: Cap<System> = Cap::new(System, usize::MAX);

/// Limit of the store on the bytes of its turns.
const MAX_TURN_BYTES: usize = 8 << 20;
/// Bytes of commands between two snapshots, in the same ratio to the limit as in production.
const SNAPSHOT_AFTER_BYTES: u64 = MAX_TURN_BYTES as u64 / 2;
/// Bytes of one turn with a long prompt and answer.
const TEXT_BYTES: usize = 2_800;
/// Memory of a process besides its turns: buffers, tables and segments being read.
const OVERHEAD_BYTES: usize = 3 << 20;
const NODE: NodeId = NodeId(1);

struct DataFolder(PathBuf);

impl Drop for DataFolder {
    fn drop(&mut self) {
        // Leftover files harm no other test, since the folder name contains the process id.
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

fn begin(turn: &str) -> TurnCommand {
    let (program, turn) = (turn.into(), turn.into());
    TurnCommand::Begin(Begin {
        stream: None,
        program,
        team: "".into(),
        turn,
        budget: Some(1_000),
        most: 100,
        previous: None,
        carried: Vec::new(),
        opening: None,
    })
}

fn finish(turn: &str) -> TurnCommand {
    let text = Blob::from(&[b'x'; TEXT_BYTES][..]);
    let kept = Some(RetainedTurn { previous: None, text, retention: 60_000 });
    TurnCommand::Finish(Finish {
        program: turn.into(),
        team: "".into(),
        turn: turn.into(),
        spent: 50,
        ran: None,
        kept,
        ..Finish::default()
    })
}

async fn open_store(folder: &Path, executor: &Rc<LocalExecutor<'static>>) -> OpenReplica<TurnState> {
    let storage = Storage {
        data_folder: Some(folder.to_path_buf()),
        segment: 1 << 20,
        snapshot_after: SNAPSHOT_AFTER_BYTES,
    };
    let links = Links::new(NODE, Duration::from_secs(1), executor);
    let timing = Timing::default();
    let opener = ReplicaOpener {
        node: NODE,
        storage: &storage,
        timing: &timing,
        clock: Clock::start(),
        links: &links,
        executor,
    };
    let machine = TurnState::with_max_bytes(MAX_TURN_BYTES);
    let replica = opener.open(FIRST_STATE_GROUP, machine, &[NODE], MissingFiles::Bootstrap).await.unwrap();
    while !replica.group.leads() {
        Timer::after(Duration::from_millis(5)).await;
    }
    replica
}

/// Runs turns with `bytes` of text in total.
async fn fill(store: &OpenReplica<TurnState>, name: &str, bytes: usize) {
    for number in 0..bytes / TEXT_BYTES {
        let turn = format!("{name}-{number}");
        for command in [begin(&turn), finish(&turn)] {
            let payload: Arc<[u8]> = command.encode(Duration::from_millis(1)).into();
            assert!(matches!(store.group.submit(payload).await, ProposalOutcome::Applied(_)));
        }
    }
}

/// Bytes beyond the overhead, as a multiple of the limit.
fn limit_ratio(bytes: usize) -> f64 {
    let excess = u32::try_from(bytes.saturating_sub(OVERHEAD_BYTES)).unwrap();
    f64::from(excess) / f64::from(u32::try_from(MAX_TURN_BYTES).unwrap())
}

#[test]
fn store_holds_its_turns_once() {
    let folder = DataFolder(std::env::temp_dir().join(format!("agatetrestle-memory-{}", std::process::id())));
    let executor = Rc::new(LocalExecutor::new());
    let start = ALLOCATOR.allocated();
    smol::block_on(executor.run(async {
        let store = open_store(&folder.0, &executor).await;
        fill(&store, "a", MAX_TURN_BYTES * 9 / 20).await;
        let allocated = limit_ratio(ALLOCATOR.allocated() - start);
        assert!(
            allocated < 0.6,
            "log and state must hold the texts once before the first snapshot: {allocated}"
        );
        fill(&store, "b", MAX_TURN_BYTES * 11 / 20).await;
        let peak = limit_ratio(ALLOCATOR.max_allocated() - start);
        assert!(peak < 2.3, "a snapshot may hold one copy besides the state: {peak}");
        store.driver.cancel().await;
        drop(store.group);
        let store = open_store(&folder.0, &executor).await;
        assert!(
            store.group.machine(|turns| turns.usage().bytes) > MAX_TURN_BYTES,
            "the restart must restore the turns"
        );
        let peak = limit_ratio(ALLOCATOR.max_allocated() - start);
        assert!(peak < 2.5, "a restart may hold only the snapshot and the state: {peak}");
        store.driver.cancel().await;
    }));
}
