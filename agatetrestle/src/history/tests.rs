//! Tests of the file history against the in-memory one.

use std::path::PathBuf;

use crate::history::History;
use crate::history::HistoryError;
use crate::history::file::FileHistory;
use crate::history::memory::MemoryHistory;

const SEGMENT_BYTES: u64 = 300_000;

struct TempFolder(PathBuf);

impl TempFolder {
    fn new(name: &str) -> Self {
        let path = std::env::temp_dir().join(format!("agatetrestle-history-{name}-{}", std::process::id()));
        std::fs::create_dir_all(&path).unwrap();
        Self(path)
    }
}

impl Drop for TempFolder {
    fn drop(&mut self) {
        // Failing to clean up must not fail the test.
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

fn body(index: u32) -> Vec<u8> {
    format!("record {index} ").repeat(1 + index as usize % 700).into_bytes()
}

#[test]
fn reads_records_from_buffer_and_segments() {
    let folder = TempFolder::new("read");
    let mut history = FileHistory::open(&folder.0, SEGMENT_BYTES).unwrap();
    let mut memory = MemoryHistory::default();
    let records: Vec<_> = (0..700).map(|index| history.append(&body(index))).collect();
    for (record, index) in records.iter().zip(0..) {
        assert_eq!(memory.append(&body(index)), *record);
        assert_eq!(*history.read(*record).unwrap(), body(index));
    }
    assert!(std::fs::read_dir(&folder.0).unwrap().count() > 2, "expected several segments");
}

#[test]
fn truncates_to_the_snapshot_after_restart() {
    let folder = TempFolder::new("restart");
    let mut history = FileHistory::open(&folder.0, SEGMENT_BYTES).unwrap();
    let kept: Vec<_> = (0..300).map(|index| history.append(&body(index))).collect();
    let end = history.end();
    for file in history.flush().unwrap() {
        file.sync_all().unwrap();
    }
    for index in 300..600 {
        history.append(&body(index));
    }
    history.flush().unwrap();
    drop(history);
    let mut reopened = FileHistory::open(&folder.0, SEGMENT_BYTES).unwrap();
    reopened.truncate(end).unwrap();
    assert_eq!(reopened.end(), end);
    let next = reopened.append(b"after");
    assert_eq!(*reopened.read(next).unwrap(), *b"after");
    for (record, index) in kept.iter().zip(0..) {
        assert_eq!(*reopened.read(*record).unwrap(), body(index));
    }
    assert!(matches!(reopened.truncate(reopened.end() + 1), Err(HistoryError::PastEnd { .. })));
}

#[test]
fn copies_missing_bytes_from_another_replica() {
    let folder = TempFolder::new("copy");
    let mut source = FileHistory::open(&folder.0, SEGMENT_BYTES).unwrap();
    let records: Vec<_> = (0..300).map(|index| source.append(&body(index))).collect();
    let mut copy = MemoryHistory::default();
    while copy.end() < source.end() {
        let chunk = source.read_raw(copy.end(), 10_000).unwrap();
        copy.append_raw(&chunk);
    }
    for (record, index) in records.iter().zip(0..) {
        assert_eq!(*copy.read(*record).unwrap(), body(index));
    }
}

#[test]
fn reports_corrupt_records() {
    let folder = TempFolder::new("damage");
    let mut history = FileHistory::open(&folder.0, SEGMENT_BYTES).unwrap();
    let record = history.append(b"progress record");
    history.flush().unwrap();
    let path = folder.0.join("00000000000000000000.history");
    std::fs::write(&path, b"progress recorx").unwrap();
    assert!(matches!(history.read(record), Err(HistoryError::Corrupt { offset: 0 })));
}
