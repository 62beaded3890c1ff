//! Tests of the driver with a full disk and with slow snapshot encoding.

use std::io;
use std::path::PathBuf;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;
use std::sync::mpsc;
use std::time::Duration;

use futures::FutureExt;
use futures::channel::oneshot;
use smol::LocalExecutor;
use smol::Timer;

use crate::agreement::Replicas;
use crate::agreement::RestoreError;
use crate::agreement::Snapshot;
use crate::agreement::SnapshotEncoder;
use crate::agreement::StateMachine;
use crate::agreement::Ticket;
use crate::agreement::message::Position;
use crate::agreement::replica::Replica;
use crate::agreement::replica::ReplicaConfig;
use crate::agreement::storage::Storage;
use crate::agreement::storage::StorageConfig;
use crate::agreement::storage::disk::Disk;
use crate::agreement::storage::disk::FileDisk;
use crate::clock::Clock;
use crate::clock::Timestamp;
use crate::codec::encode;
use crate::control::command::ControlCommand;
use crate::control::state::ControlState;
use crate::ids::GroupId;
use crate::ids::NodeId;
use crate::node::group::Group;
use crate::node::group::GroupParts;
use crate::node::group::ProposalOutcome;
use crate::node::group::Reopen;
use crate::node::group::apply::BacklogItem;
use crate::node::group::refusals::Refusals;

const GROUP: GroupId = GroupId(0);
const TICK: Duration = Duration::from_millis(5);
const MAX_ATTEMPTS: u32 = 2_000;

/// A disk on the real file system that reports no space while `full` is set.
struct FullDisk {
    files: FileDisk,
    full: Arc<AtomicBool>,
}

impl FullDisk {
    fn check_space(&self) -> io::Result<()> {
        if self.full.load(Ordering::Relaxed) {
            return Err(io::ErrorKind::StorageFull.into());
        }
        Ok(())
    }
}

impl Disk for FullDisk {
    fn list(&self) -> io::Result<Vec<String>> {
        self.files.list()
    }

    fn read(&self, name: &str) -> io::Result<Vec<u8>> {
        self.files.read(name)
    }

    fn create(&mut self, name: &str) -> io::Result<()> {
        self.check_space()?;
        self.files.create(name)
    }

    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()> {
        self.check_space()?;
        self.files.append(name, bytes)
    }

    fn sync(&mut self, name: &str) -> io::Result<()> {
        self.files.sync(name)
    }

    fn truncate(&mut self, name: &str, length: u64) -> io::Result<()> {
        self.files.truncate(name, length)
    }

    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        self.files.rename(from, to)
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
        self.files.remove(name)
    }

    fn sync_folder(&mut self) -> io::Result<()> {
        self.files.sync_folder()
    }
}

fn reopen(folder: PathBuf, full: Arc<AtomicBool>) -> Reopen {
    Rc::new(move || {
        let (folder, full) = (folder.clone(), full.clone());
        Box::pin(async move {
            let files = FileDisk::open(&folder).expect("the temporary folder can be used");
            let cfg = StorageConfig { group: GROUP, segment_bytes: 1 << 20 };
            Storage::open_on(Box::new(FullDisk { files, full }), cfg)
        })
    })
}

fn replica_config() -> ReplicaConfig {
    ReplicaConfig {
        group: GROUP,
        node: NodeId(1),
        leader_interval: Duration::from_millis(20),
        election_timeout: Duration::from_millis(60),
        clock_drift: Duration::from_millis(5),
        seed: 7,
        max_in_flight: 64,
        max_commit_wait: Duration::from_secs(1),
        max_batch_bytes: 1 << 16,
    }
}

async fn start(executor: &LocalExecutor<'static>, reopen: Reopen) -> Rc<Group<ControlState>> {
    start_machine(executor, reopen, ControlState::default(), u64::MAX).await
}

async fn start_machine<M: StateMachine + 'static>(
    executor: &LocalExecutor<'static>,
    reopen: Reopen,
    machine: M,
    snapshot_after: u64,
) -> Rc<Group<M>> {
    let (mut storage, mut restored) = reopen().await.unwrap();
    let replicas = Replicas { voters: [NodeId(1)].into(), ..Replicas::default() };
    let initial = Snapshot {
        position: Position::default(),
        replicas: replicas.clone(),
        data: machine.snapshot().into(),
    };
    storage.save_snapshot(&initial).unwrap();
    restored.snapshot = Some(initial);
    let clock = Clock::start();
    let make_replica =
        Rc::new(|restored, now| Replica::new(replica_config(), Replicas::default(), restored, now));
    let (group, jobs) = Group::new(GroupParts {
        id: GROUP,
        clock,
        replica: make_replica(restored, clock.now()),
        machine,
        outbox: Rc::new(|_| {}),
        replicas,
        applied: Position::default(),
        snapshot_after,
        history_source: Rc::new(|_| Box::pin(async { None })),
        reopen,
        make_replica,
        initial_state: Vec::new(),
    });
    executor.spawn(group.clone().run(storage, jobs, TICK)).detach();
    group
}

fn change(version: u64) -> Arc<[u8]> {
    let command = ControlCommand::Apply {
        scope: "vrsta".into(),
        text: format!("text {version}").into(),
        expected: version,
        change_id: format!("change-{version}").into(),
    };
    encode(&command).into()
}

async fn commit<M: StateMachine + 'static>(group: &Group<M>, version: u64) {
    for _ in 0..MAX_ATTEMPTS {
        if let ProposalOutcome::Applied(_) = group.submit(change(version)).await {
            return;
        }
        Timer::after(TICK).await;
    }
    panic!("change {version} was not applied");
}

#[test]
fn recovers_from_storage_after_a_full_disk_has_space() {
    let folder = std::env::temp_dir().join(format!("agatetrestle-full-{}", std::process::id()));
    let full = Arc::new(AtomicBool::new(false));
    let executor = LocalExecutor::new();
    smol::block_on(executor.run(async {
        let group = start(&executor, reopen(folder.clone(), full.clone())).await;
        commit(&group, 0).await;
        full.store(true, Ordering::Relaxed);
        let during = group.submit(change(1)).await;
        assert_eq!(during, ProposalOutcome::Unknown, "the command was in the log when the write failed");
        assert!(
            matches!(group.submit(change(1)).await, ProposalOutcome::Rejected(_)),
            "no command is accepted in the meantime"
        );
        full.store(false, Ordering::Relaxed);
        commit(&group, 1).await;
        let version = group.machine(|state| state.configuration().documents["vrsta"].version);
        assert_eq!(version, 2, "each accepted command is applied exactly once");
    }));
    // Failure to clean up must not fail the test.
    let _ = std::fs::remove_dir_all(folder);
}

#[test]
fn completes_requests_of_a_dropped_backlog() {
    let folder = std::env::temp_dir().join(format!("agatetrestle-due-{}", std::process::id()));
    let executor = LocalExecutor::new();
    smol::block_on(executor.run(async {
        let group = start(&executor, reopen(folder.clone(), Arc::default())).await;
        let mut answers = Vec::new();
        for ticket in [Ticket(901), Ticket(902), Ticket(903)] {
            let (tx, rx) = oneshot::channel();
            group.waiters.borrow_mut().insert(ticket, tx);
            answers.push(rx);
        }
        let (position, payload) = (Position::default(), Arc::from([]));
        group.backlog.push(BacklogItem::Apply { position, payload, ticket: Some(Ticket(901)) });
        group.backlog.push(BacklogItem::Read(Ticket(902)));
        group
            .backlog
            .push(BacklogItem::Replicas { ticket: Some(Ticket(903)), replicas: Replicas::default() });
        group.fail_backlog();
        for answer in answers {
            assert_eq!(answer.now_or_never(), Some(Ok(ProposalOutcome::Unknown)));
        }
    }));
    // Failure to clean up must not fail the test.
    let _ = std::fs::remove_dir_all(folder);
}

/// A state machine whose snapshots are encoded only after a message to `release`.
struct SlowEncoding {
    state: ControlState,
    release: mpsc::Sender<()>,
    permits: Arc<Mutex<mpsc::Receiver<()>>>,
    encodings: Arc<AtomicU32>,
    /// Shared with each copy of the state that waits to be encoded.
    copies: Arc<()>,
}

impl SlowEncoding {
    fn new() -> (Self, mpsc::Sender<()>) {
        let (release, permits) = mpsc::channel();
        let machine = Self {
            state: ControlState::default(),
            release: release.clone(),
            permits: Arc::new(Mutex::new(permits)),
            encodings: Arc::default(),
            copies: Arc::default(),
        };
        (machine, release)
    }
}

impl StateMachine for SlowEncoding {
    fn apply(&mut self, position: Position, payload: &Arc<[u8]>) -> Vec<u8> {
        self.state.apply(position, payload)
    }

    fn snapshot(&self) -> Vec<u8> {
        self.state.snapshot()
    }

    fn snapshot_encoder(&self) -> SnapshotEncoder {
        let (data, permits, encodings) = (self.snapshot(), self.permits.clone(), self.encodings.clone());
        let copy = self.copies.clone();
        Box::new(move || {
            permits.lock().unwrap().recv().unwrap();
            encodings.fetch_add(1, Ordering::Relaxed);
            drop(copy);
            data
        })
    }

    fn restore(&mut self, data: &[u8]) -> Result<(), RestoreError> {
        self.state.restore(data)
    }
}

#[test]
fn commits_while_a_snapshot_is_encoded() {
    let folder = std::env::temp_dir().join(format!("agatetrestle-coding-{}", std::process::id()));
    let executor = LocalExecutor::new();
    let (machine, release) = SlowEncoding::new();
    let encodings = machine.encodings.clone();
    smol::block_on(executor.run(async {
        let group = start_machine(&executor, reopen(folder.clone(), Arc::default()), machine, 1).await;
        for version in 0..20 {
            commit(&group, version).await;
        }
        assert_eq!(encodings.load(Ordering::Relaxed), 0, "the first snapshot is still being encoded");
        group.machine(|machine| machine.release.send(()).unwrap());
        for version in 20..MAX_ATTEMPTS.into() {
            commit(&group, version).await;
            if encodings.load(Ordering::Relaxed) == 1 {
                // Unblocks the thread of the next snapshot, if there is one.
                let _ = release.send(());
                return;
            }
        }
        panic!("no snapshot was encoded");
    }));
    // Failure to clean up must not fail the test.
    let _ = std::fs::remove_dir_all(folder);
}

#[test]
fn copies_the_state_once_for_the_disk_and_a_peer() {
    let folder = std::env::temp_dir().join(format!("agatetrestle-copies-{}", std::process::id()));
    let executor = LocalExecutor::new();
    let (machine, release) = SlowEncoding::new();
    let copies = machine.copies.clone();
    smol::block_on(executor.run(async {
        let group = start_machine(&executor, reopen(folder.clone(), Arc::default()), machine, 1).await;
        commit(&group, 0).await;
        // The machine and this test hold one reference each.
        assert_eq!(Arc::strong_count(&copies), 3, "a snapshot for the disk is due");
        group.encode_peer_snapshot();
        commit(&group, 1).await;
        assert_eq!(Arc::strong_count(&copies), 3, "the peer shares the snapshot for the disk");
        // Unblocks the threads of this and the next snapshot.
        (0..2).for_each(|_| release.send(()).unwrap());
    }));
    // Failure to clean up must not fail the test.
    let _ = std::fs::remove_dir_all(folder);
}

#[test]
fn logs_refusals_of_a_second_together() {
    let refusals = Refusals::default();
    let at = |millis: u64| Timestamp(millis * 1_000);
    assert_eq!(refusals.take_due(at(0)), None);
    (0..3).for_each(|number| refusals.record(at(500 + number)));
    assert_eq!(refusals.take_due(at(1_499)), None, "the interval is not over");
    assert_eq!(refusals.take_due(at(1_500)), Some(3));
    assert_eq!(refusals.take_due(at(9_000)), None);
}
