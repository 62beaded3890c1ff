//! Tests of the history on files, against the one in memory.

use std::path::PathBuf;

use crate::history::History;
use crate::history::HistoryError;
use crate::history::file::FileHistory;
use crate::history::memory::MemoryHistory;

const SEGMENT: u64 = 300_000;

struct Folder(PathBuf);

impl Folder {
    fn new(name: &str) -> Self {
        let path = std::env::temp_dir().join(format!("agatetrestle-history-{name}-{}", std::process::id()));
        std::fs::create_dir_all(&path).unwrap();
        Self(path)
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        // A folder that stays behind is no failure of the code under test.
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

fn body(index: u32) -> Vec<u8> {
    format!("record {index} ").repeat(1 + index as usize % 700).into_bytes()
}

#[test]
fn records_are_read_back_from_buffer_and_segments() {
    let folder = Folder::new("read");
    let mut files = FileHistory::open(&folder.0, SEGMENT).unwrap();
    let mut memory = MemoryHistory::default();
    let records: Vec<_> = (0..700).map(|index| files.append(&body(index))).collect();
    for (record, index) in records.iter().zip(0..) {
        assert_eq!(memory.append(&body(index)), *record);
        assert_eq!(*files.read(*record).unwrap(), body(index));
    }
    assert!(std::fs::read_dir(&folder.0).unwrap().count() > 2, "several segments were begun");
}

#[test]
fn a_restart_truncates_to_the_snapshot_and_appends_again() {
    let folder = Folder::new("restart");
    let mut files = FileHistory::open(&folder.0, SEGMENT).unwrap();
    let kept: Vec<_> = (0..300).map(|index| files.append(&body(index))).collect();
    let end = files.end();
    for file in files.flush().unwrap() {
        file.sync_all().unwrap();
    }
    for index in 300..600 {
        files.append(&body(index));
    }
    files.flush().unwrap();
    drop(files);
    let mut again = FileHistory::open(&folder.0, SEGMENT).unwrap();
    again.truncate(end).unwrap();
    assert_eq!(again.end(), end);
    let next = again.append(b"after");
    assert_eq!(*again.read(next).unwrap(), *b"after");
    for (record, index) in kept.iter().zip(0..) {
        assert_eq!(*again.read(*record).unwrap(), body(index));
    }
    assert!(matches!(again.truncate(again.end() + 1), Err(HistoryError::PastEnd { .. })));
}

#[test]
fn a_replica_that_lacks_bytes_takes_them_from_another() {
    let folder = Folder::new("copy");
    let mut source = FileHistory::open(&folder.0, SEGMENT).unwrap();
    let records: Vec<_> = (0..300).map(|index| source.append(&body(index))).collect();
    let mut copy = MemoryHistory::default();
    while copy.end() < source.end() {
        let piece = source.read_raw(copy.end(), 10_000).unwrap();
        copy.append_raw(&piece);
    }
    for (record, index) in records.iter().zip(0..) {
        assert_eq!(*copy.read(*record).unwrap(), body(index));
    }
}

#[test]
fn damage_is_told_and_not_passed_on() {
    let folder = Folder::new("damage");
    let mut files = FileHistory::open(&folder.0, SEGMENT).unwrap();
    let record = files.append(b"progress record");
    files.flush().unwrap();
    let path = folder.0.join("00000000000000000000.history");
    std::fs::write(&path, b"progress recorx").unwrap();
    assert!(matches!(files.read(record), Err(HistoryError::Corrupt { offset: 0 })));
}
