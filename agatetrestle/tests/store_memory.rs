//! How many bytes a store holds while it fills, takes its snapshot and starts again.
//!
//! The allocator counts, so the verdict depends on no machine; docs/incidents/003-stores-over-their-memory.md has the
//! day on which stores ended for want of memory.

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
static MEMORY: Cap<System> = Cap::new(System, usize::MAX);

/// Bytes of turns that the store may keep.
const ROOM: usize = 8 << 20;
/// Bytes of commands between two snapshots, as stores have it.
const SNAPSHOT_AFTER: u64 = ROOM as u64 / 2;
/// Bytes of one turn: what the longest common prompts and answers of the two partners come to.
const TEXT: usize = 2_800;
/// What a process holds beside its turns: buffers, tables, segments being read.
const SLACK: usize = 3 << 20;
const NODE: NodeId = NodeId(1);

struct Folder(PathBuf);

impl Drop for Folder {
    fn drop(&mut self) {
        // What stays behind harms no other test, since each process has a folder of its own.
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

fn begin(turn: &str) -> TurnCommand {
    let (program, turn) = (turn.into(), turn.into());
    TurnCommand::Begin(Begin {
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
    let text = Blob::from(&[b'x'; TEXT][..]);
    let kept = Some(RetainedTurn { previous: None, text, retention: 60_000 });
    TurnCommand::Finish(Finish {
        program: turn.into(),
        team: "".into(),
        turn: turn.into(),
        spent: 50,
        ran: None,
        kept,
    })
}

async fn open(folder: &Path, executor: &Rc<LocalExecutor<'static>>) -> OpenReplica<TurnState> {
    let storage =
        Storage { data_folder: Some(folder.to_path_buf()), segment: 1 << 20, snapshot_after: SNAPSHOT_AFTER };
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
    let machine = TurnState::with_max_bytes(ROOM);
    let started = opener.open(FIRST_STATE_GROUP, machine, &[NODE], MissingFiles::Bootstrap).await.unwrap();
    while !started.group.leads() {
        Timer::after(Duration::from_millis(5)).await;
    }
    started
}

/// Runs turns until their texts pass some bytes.
async fn fill(store: &OpenReplica<TurnState>, name: &str, bytes: usize) {
    for number in 0..bytes / TEXT {
        let turn = format!("{name}-{number}");
        for command in [begin(&turn), finish(&turn)] {
            let payload: Arc<[u8]> = command.encode(Duration::from_millis(1)).into();
            assert!(matches!(store.group.submit(payload).await, ProposalOutcome::Applied(_)));
        }
    }
}

/// Bytes in units of the room, beyond the slack.
fn rooms(bytes: usize) -> f64 {
    let over = u32::try_from(bytes.saturating_sub(SLACK)).unwrap();
    f64::from(over) / f64::from(u32::try_from(ROOM).unwrap())
}

#[test]
fn store_holds_its_turns_once() {
    let folder = Folder(std::env::temp_dir().join(format!("agatetrestle-memory-{}", std::process::id())));
    let executor = Rc::new(LocalExecutor::new());
    let start = MEMORY.allocated();
    smol::block_on(executor.run(async {
        let store = open(&folder.0, &executor).await;
        fill(&store, "a", ROOM * 9 / 20).await;
        let held = rooms(MEMORY.allocated() - start);
        assert!(held < 0.6, "before the first snapshot log and state hold the texts once, not {held} times");
        fill(&store, "b", ROOM * 11 / 20).await;
        let most = rooms(MEMORY.max_allocated() - start);
        assert!(most < 2.3, "the snapshot is the one copy beside the state, not {most}");
        store.driver.cancel().await;
        drop(store.group);
        let store = open(&folder.0, &executor).await;
        assert!(store.group.machine(|turns| turns.usage().bytes) > ROOM, "the turns are there again");
        let most = rooms(MEMORY.max_allocated() - start);
        assert!(most < 2.5, "a start holds the snapshot and the state made from it, not {most}");
        store.driver.cancel().await;
    }));
}
