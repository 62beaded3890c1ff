//! Tests of the storage on real files, and on an in-memory disk with crashes, torn writes and limited space.

pub(crate) mod memory;
mod random;

use std::path::PathBuf;
use std::sync::Arc;

use crate::agreement::HardState;
use crate::agreement::LearnerAdmission;
use crate::agreement::Replicas;
use crate::agreement::Snapshot;
use crate::agreement::Write;
use crate::agreement::message::Entry;
use crate::agreement::message::EntryKind;
use crate::agreement::message::Position;
use crate::agreement::replica::PersistentState;
use crate::agreement::storage::Storage;
use crate::agreement::storage::StorageConfig;
use crate::agreement::storage::disk::FileDisk;
use crate::agreement::storage::error::StorageError;
use crate::agreement::storage::tests::memory::MemoryDisk;
use crate::ids::GroupId;
use crate::ids::NodeId;

const CFG: StorageConfig = StorageConfig { group: GroupId(3), segment_bytes: 400 };

fn entry(term: u64, index: u64) -> Entry {
    let payload = Arc::from(vec![u8::try_from(index % 251).unwrap(); 20]);
    Entry { position: Position { term, index }, kind: EntryKind::Command, payload }
}

fn entries(term: u64, range: std::ops::RangeInclusive<u64>) -> Write {
    Write { entries: range.map(|index| entry(term, index)).collect(), ..Write::default() }
}

fn snapshot(term: u64, index: u64) -> Snapshot {
    let replicas = Replicas { voters: [NodeId(1)].into(), learners: [NodeId(2)].into() };
    Snapshot { position: Position { term, index }, replicas, data: vec![7; 30].into() }
}

fn open(disk: &MemoryDisk) -> Result<(Storage, PersistentState), StorageError> {
    Storage::open_on(Box::new(disk.clone()), CFG)
}

/// A temporary folder, removed on drop.
struct TemporaryFolder(PathBuf);

impl TemporaryFolder {
    /// Creates a folder for the test with this name.
    fn new(test: &str) -> Self {
        let folder = std::env::temp_dir().join(format!("agatetrestle-storage-{test}-{}", std::process::id()));
        std::fs::create_dir_all(&folder).unwrap();
        Self(folder)
    }
}

impl Drop for TemporaryFolder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

#[test]
fn restores_state_from_real_files() {
    let folder = TemporaryFolder::new("state");
    let state = HardState {
        term: 4,
        vote: Some(NodeId(2)),
        without_vote: Some(LearnerAdmission { term: 3, round: 8 }),
    };
    let (mut storage, restored) = Storage::open(&folder.0, CFG).unwrap();
    assert!(restored.entries.is_empty());
    storage.write(&[Write { hard_state: Some(state), ..Write::default() }, entries(4, 1..=30)]).unwrap();
    storage.write(&[Write { truncate_from: Some(21), ..entries(4, 21..=22) }]).unwrap();
    storage.save_snapshot(&snapshot(4, 12)).unwrap();
    assert!(matches!(Storage::open(&folder.0, CFG), Err(StorageError::InUse { .. })));
    drop(storage);
    let (_storage, restored) = Storage::open(&folder.0, CFG).unwrap();
    assert_eq!(restored.hard_state, state);
    assert_eq!(restored.snapshot, Some(snapshot(4, 12)));
    assert_eq!(restored.entries, (13..=22).map(|index| entry(4, index)).collect::<Vec<_>>());
}

/// Guards against a lock that outlives its storage, since a process that is just being started holds all open files.
#[test]
fn lock_ends_with_its_storage_though_a_new_process_holds_the_file() {
    let folder = TemporaryFolder::new("lock");
    let disk = FileDisk::open(&folder.0).unwrap();
    let inherited = disk.lock.try_clone().unwrap();
    drop(disk);
    assert!(FileDisk::open(&folder.0).is_ok());
    drop(inherited);
}

#[test]
fn syncs_once_per_batch() {
    let disk = MemoryDisk::default();
    let (mut storage, _) =
        Storage::open_on(Box::new(disk.clone()), StorageConfig { segment_bytes: 1 << 20, ..CFG }).unwrap();
    let syncs_before = disk.syncs();
    let batch: Vec<Write> = (1..=256).map(|index| entries(1, index..=index)).collect();
    storage.write(&batch).unwrap();
    assert_eq!(disk.syncs() - syncs_before, 1);
}

#[test]
fn snapshot_removes_covered_segments_and_keeps_the_vote() {
    let disk = MemoryDisk::default();
    let (mut storage, _) = open(&disk).unwrap();
    let state = HardState { term: 9, vote: Some(NodeId(5)), without_vote: None };
    storage.write(&[Write { hard_state: Some(state), ..Write::default() }]).unwrap();
    for index in 1..=100 {
        storage.write(&[entries(9, index..=index)]).unwrap();
    }
    let files_before = disk.names().len();
    storage.save_snapshot(&snapshot(9, 100)).unwrap();
    assert!(files_before > 10, "{files_before} files");
    assert_eq!(disk.names().len(), 2, "only the last segment and the snapshot remain");
    drop(storage);
    let (_, restored) = open(&disk).unwrap();
    assert_eq!((restored.hard_state, restored.entries.len()), (state, 0));
}

#[test]
fn full_disk_is_reported_and_loses_no_data() {
    let disk = MemoryDisk::default();
    let (mut storage, _) = open(&disk).unwrap();
    storage.write(&[entries(1, 1..=3)]).unwrap();
    disk.set_limit(disk.used() + 30);
    let error = storage.write(&[entries(1, 4..=4)]).unwrap_err();
    assert!(matches!(error, StorageError::Full { .. }), "{error}");
    assert!(matches!(storage.save_snapshot(&snapshot(1, 2)), Err(StorageError::Full { .. })));
    disk.set_limit(usize::MAX);
    storage.write(&[entries(1, 4..=5)]).unwrap();
    drop(storage);
    disk.crash(1);
    let (_, restored) = open(&disk).unwrap();
    assert_eq!(restored.entries, (1..=5).map(|index| entry(1, index)).collect::<Vec<_>>());
}

#[test]
fn failed_sync_is_rolled_back_or_poisons_the_storage() {
    let disk = MemoryDisk::default();
    let (mut storage, _) = open(&disk).unwrap();
    storage.write(&[entries(1, 1..=3)]).unwrap();
    disk.fail_after(1);
    assert!(matches!(storage.write(&[entries(1, 4..=4)]), Err(StorageError::Io { .. })));
    disk.clear_failure();
    assert!(matches!(storage.write(&[entries(1, 4..=4)]), Err(StorageError::Poisoned)));
    drop(storage);
    let (mut storage, restored) = open(&disk).unwrap();
    let next = restored.entries.last().unwrap().position.index + 1;
    storage.write(&[entries(1, next..=next)]).unwrap();
}

/// Writes five frames into one segment; returns the disk and the offset of each frame.
fn five_frames() -> (MemoryDisk, Vec<usize>) {
    let disk = MemoryDisk::default();
    let (mut storage, _) = open(&disk).unwrap();
    let write_frame = |index: u64| {
        let offset = disk.used();
        storage.write(&[entries(1, index..=index)]).unwrap();
        offset
    };
    let offsets = (1..=5).map(write_frame).collect();
    (disk, offsets)
}

const FIRST_SEGMENT: &str = "log-0000000000000001";

#[test]
fn reports_corruption_with_file_and_offset() {
    let (disk, offsets) = five_frames();
    disk.flip(FIRST_SEGMENT, offsets[2] + 20);
    let error = open(&disk).unwrap_err();
    insta::assert_snapshot!(error, @"log-0000000000000001 is corrupt at offset 169: checksum mismatch");
    disk.flip(FIRST_SEGMENT, offsets[2] + 20);
    disk.flip(FIRST_SEGMENT, 3);
    insta::assert_snapshot!(open(&disk).unwrap_err(), @"log-0000000000000001 is corrupt at offset 0: wrong magic number");
}

#[test]
fn detects_every_flipped_byte_before_the_last_frame() {
    let (disk, offsets) = five_frames();
    for offset in 0..offsets[4] {
        let damaged = disk.deep_clone();
        damaged.flip(FIRST_SEGMENT, offset);
        assert!(matches!(open(&damaged), Err(StorageError::Corrupt { .. })), "offset {offset}");
    }
}

#[test]
fn truncates_torn_tail_of_any_length() {
    let (disk, offsets) = five_frames();
    let full_length = disk.used();
    for length in offsets[4]..full_length {
        let torn = disk.deep_clone();
        torn.truncate_file(FIRST_SEGMENT, length);
        let (mut storage, restored) = open(&torn).unwrap();
        assert_eq!(restored.entries.len(), 4);
        storage.write(&[entries(2, 5..=5)]).unwrap();
        drop(storage);
        assert_eq!(open(&torn).unwrap().1.entries[4], entry(2, 5));
    }
}

#[test]
fn rejects_missing_segments_corrupt_snapshots_and_foreign_groups() {
    let disk = MemoryDisk::default();
    let (mut storage, _) = open(&disk).unwrap();
    for index in 1..=40 {
        storage.write(&[entries(1, index..=index)]).unwrap();
    }
    let without_second = disk.deep_clone();
    without_second.delete("log-0000000000000002");
    insta::assert_snapshot!(open(&without_second).unwrap_err(), @"log-0000000000000003 is corrupt at offset 0: segment 2 is missing");
    let without_first = disk.deep_clone();
    without_first.delete(FIRST_SEGMENT);
    assert!(matches!(open(&without_first), Err(StorageError::Corrupt { .. })));
    storage.save_snapshot(&snapshot(1, 10)).unwrap();
    disk.flip("snapshot", 50);
    insta::assert_snapshot!(open(&disk).unwrap_err(), @"snapshot is corrupt at offset 0: checksum mismatch");
    let foreign = StorageConfig { group: GroupId(4), ..CFG };
    insta::assert_snapshot!(
        Storage::open_on(Box::new(five_frames().0), foreign).unwrap_err(),
        @"log-0000000000000001 is corrupt at offset 0: the file belongs to group 3"
    );
}
