//! Stores of the size of the smallest one, divided by [`SCALE`], with a counting allocator that makes the result independent
//! of the machine.

#![allow(dead_code, reason = "each test file uses a part")]

use std::alloc::System;
use std::path::Path;
use std::path::PathBuf;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use agatetrestle::agreement::Rejection;
use agatetrestle::clock::Clock;
use agatetrestle::codec::Blob;
use agatetrestle::ids::FIRST_STATE_GROUP;
use agatetrestle::ids::NodeId;
use agatetrestle::node::group::ProposalOutcome;
use agatetrestle::node::links::Links;
use agatetrestle::node::replicas::MissingFiles;
use agatetrestle::node::replicas::OpenReplica;
use agatetrestle::node::replicas::ReplicaOpener;
use agatetrestle::turns::command::AdmissionParams;
use agatetrestle::turns::command::Begin;
use agatetrestle::turns::command::Finish;
use agatetrestle::turns::command::RetainedTurn;
use agatetrestle::turns::command::TurnCommand;
use agatetrestle::turns::state::TurnState;
use agatetrestle_config::settings::Storage;
use agatetrestle_config::settings::Timing;
use cap::Cap;
use futures::future::join_all;
use smol::LocalExecutor;
use smol::Timer;

#[global_allocator]
pub static ALLOCATOR: Cap<System> = Cap::new(System, usize::MAX);

pub const SCALE: usize = 6;
/// Memory limit of the smallest store.
const MEMORY_LIMIT_BYTES: usize = (120 << 20) / SCALE;
/// Memory of a process besides its state, log and snapshots: code, connections and buffers.
const BASE_BYTES: usize = (13 << 20) / SCALE;
/// Limit of the store on the bytes of its turns, as `deployment/store.rs` derives it from the memory limit.
pub const MAX_TURN_BYTES: usize = MEMORY_LIMIT_BYTES / 10 * 3;
/// Bytes of commands between two snapshots, derived in the same way.
const SNAPSHOT_AFTER_BYTES: u64 = MAX_TURN_BYTES as u64 / 2;
const TEXT_BYTES: usize = 1_200;
/// Milliseconds between two turns, so that turns expire about as fast as they arrive once the store is full.
const TURN_INTERVAL_MS: u64 = 14;
/// Turns that are under way at the same time.
const CONCURRENCY: usize = 64;
pub const POLL_INTERVAL: Duration = Duration::from_millis(5);
/// Maximum size of a chunk of a snapshot.
pub const CHUNK_BYTES: usize = (1 << 20) / SCALE;
pub const NODE: NodeId = NodeId(1);
pub const LOST_NODE: NodeId = NodeId(2);

pub struct DataFolder(pub PathBuf);

impl DataFolder {
    pub fn new(name: &str) -> Self {
        Self(std::env::temp_dir().join(format!("agatetrestle-burst-{name}-{}", std::process::id())))
    }
}

impl Drop for DataFolder {
    fn drop(&mut self) {
        // Leftover files harm no other test, since the folder name contains the process id.
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// A turn of a program, both identified as entries do.
struct TurnIds {
    program: Arc<str>,
    turn: Arc<str>,
    previous: Option<Arc<str>>,
}

fn turn_ids(number: usize, turns_per_program: usize) -> TurnIds {
    let turn = |number: usize| format!("7e1d4c5a-2b3c-4d5e-8f60-{number:012}").into();
    // Turns in progress belong to different programs.
    let (round, lane) = (number / CONCURRENCY, number % CONCURRENCY);
    let program = format!("5f0c2f0e-6a1b-4c7e-9d1f-{:06}{lane:06}", round / turns_per_program).into();
    let previous = (round % turns_per_program > 0).then(|| turn(number - CONCURRENCY));
    TurnIds { program, turn: turn(number), previous }
}

fn begin(ids: &TurnIds) -> TurnCommand {
    let opening = AdmissionParams {
        service: "chat-large".into(),
        route: "agents".into(),
        places: 40,
        patience: 30_000,
        finish_in: Some(60_000),
        begins: ids.previous.is_none(),
        ..AdmissionParams::default()
    };
    TurnCommand::Begin(Begin {
        stream: None,
        program: ids.program.clone(),
        team: "cover-chat".into(),
        turn: ids.turn.clone(),
        budget: Some(100_000),
        most: 100,
        previous: ids.previous.clone(),
        carried: Vec::new(),
        opening: Some(opening),
    })
}

fn finish(ids: &TurnIds) -> TurnCommand {
    let text = Blob::from(&[b'x'; TEXT_BYTES][..]);
    TurnCommand::Finish(Finish {
        program: ids.program.clone(),
        team: "cover-chat".into(),
        turn: ids.turn.clone(),
        spent: 50,
        ran: Some(400),
        server: Some("backend-12".into()),
        load: Some((12, 3)),
        kept: Some(RetainedTurn { previous: ids.previous.clone(), text, retention: 60_000 }),
        ..Finish::default()
    })
}

pub async fn open_leader(folder: &Path, executor: &Rc<LocalExecutor<'static>>) -> OpenReplica<TurnState> {
    let storage = Storage {
        data_folder: Some(folder.to_path_buf()),
        segment: (4 << 20) / SCALE as u64,
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
    while !replica.group.confirms_leadership() {
        Timer::after(POLL_INTERVAL).await;
    }
    replica
}

async fn submit(store: &OpenReplica<TurnState>, command: TurnCommand, elapsed: u64) {
    let payload: Arc<[u8]> = command.encode(Duration::from_millis(elapsed)).into();
    loop {
        match store.group.submit(payload.clone()).await {
            ProposalOutcome::Applied(_) => return,
            // A slow machine commits later than the leader lets commands wait.
            ProposalOutcome::Rejected(Rejection::Busy) => Timer::after(POLL_INTERVAL).await,
            outcome => panic!("the command was not applied: {outcome:?}"),
        };
    }
}

/// Runs turns from `first` on with `bytes` of text in total, whose callers honour that the store is full.
pub async fn run_turns(
    store: &OpenReplica<TurnState>,
    first: usize,
    bytes: usize,
    turns_per_program: usize,
) -> usize {
    let last = first + bytes / TEXT_BYTES / CONCURRENCY * CONCURRENCY;
    for batch in (first..last).step_by(CONCURRENCY) {
        let ids: Vec<TurnIds> =
            (batch..batch + CONCURRENCY).map(|number| turn_ids(number, turns_per_program)).collect();
        join_all(ids.iter().map(|ids| submit(store, begin(ids), TURN_INTERVAL_MS))).await;
        let open = |ids: &&TurnIds| {
            store.group.machine(|turns| turns.is_open("cover-chat", &ids.program, &ids.turn))
        };
        join_all(ids.iter().filter(open).map(|ids| submit(store, finish(ids), 0))).await;
    }
    last
}

pub fn assert_within_limit(start: usize, stage: &str) {
    let available = MEMORY_LIMIT_BYTES - BASE_BYTES;
    let peak = ALLOCATOR.max_allocated() - start;
    println!("{stage}: peak of {peak} of {available} bytes");
    assert!(peak < available, "{stage}: the store used {peak} of {available} bytes");
}
