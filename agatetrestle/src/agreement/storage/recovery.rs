//! Recovery of a group's log and snapshot at startup.

use crate::agreement::HardState;
use crate::agreement::Snapshot;
use crate::agreement::message::Entry;
use crate::agreement::replica::PersistentState;
use crate::agreement::storage::SNAPSHOT_FILE;
use crate::agreement::storage::Segment;
use crate::agreement::storage::TEMPORARY_SNAPSHOT;
use crate::agreement::storage::disk::Disk;
use crate::agreement::storage::error::Corruption;
use crate::agreement::storage::error::Operation;
use crate::agreement::storage::error::StorageError;
use crate::agreement::storage::frame;
use crate::agreement::storage::frame::Record;
use crate::agreement::storage::segment_name;
use crate::agreement::storage::segment_sequence;
use crate::agreement::storage::snapshot_file;
use crate::ids::GroupId;

/// Contents of the folder, with the segments in order.
pub(super) struct RecoveredLog {
    pub(super) restored: PersistentState,
    pub(super) segments: Vec<Segment>,
}

/// Reads the snapshot and all segments, truncates a torn tail and fails on other corruption.
pub(super) fn recover(disk: &mut dyn Disk, group: GroupId) -> Result<RecoveredLog, StorageError> {
    let names = disk.list().map_err(|source| StorageError::from_io(Operation::List, "the folder", source))?;
    if names.iter().any(|name| name == TEMPORARY_SNAPSHOT) {
        let removed = disk.remove(TEMPORARY_SNAPSHOT);
        removed.map_err(|source| StorageError::from_io(Operation::Remove, TEMPORARY_SNAPSHOT, source))?;
    }
    let has_snapshot = names.iter().any(|name| name == SNAPSHOT_FILE);
    let snapshot = has_snapshot.then(|| read_snapshot(disk, group)).transpose()?;
    let mut sequences: Vec<u64> = names.iter().filter_map(|name| segment_sequence(name)).collect();
    sequences.sort_unstable();
    check_consecutive(&sequences)?;
    let mut recovery = Recovery::new(snapshot);
    for (position, sequence) in sequences.iter().enumerate() {
        let is_last = position + 1 == sequences.len();
        recovery.read_segment(disk, group, *sequence, is_last)?;
    }
    sync_recovered(disk, &recovery.segments)?;
    Ok(recovery.finish())
}

/// Syncs what was read, since a killed process may have left it in the page cache only.
fn sync_recovered(disk: &mut dyn Disk, segments: &[Segment]) -> Result<(), StorageError> {
    if let Some(segment) = segments.last() {
        let name = segment_name(segment.sequence);
        disk.sync(&name).map_err(|source| StorageError::from_io(Operation::Sync, &name, source))?;
    }
    disk.sync_folder().map_err(|source| StorageError::from_io(Operation::Sync, "the folder", source))
}

fn read_snapshot(disk: &dyn Disk, group: GroupId) -> Result<Snapshot, StorageError> {
    let bytes = disk.read(SNAPSHOT_FILE);
    let bytes = bytes.map_err(|source| StorageError::from_io(Operation::Read, SNAPSHOT_FILE, source))?;
    let snapshot = snapshot_file::decode(group, &bytes.into());
    snapshot.map_err(|corruption| StorageError::corrupt(SNAPSHOT_FILE, 0, corruption))
}

fn check_consecutive(sequences: &[u64]) -> Result<(), StorageError> {
    for pair in sequences.windows(2) {
        let expected = pair[0] + 1;
        if pair[1] != expected {
            let corruption = Corruption::MissingSegment { expected };
            return Err(StorageError::corrupt(&segment_name(pair[1]), 0, corruption));
        }
    }
    Ok(())
}

struct Recovery {
    hard_state: HardState,
    snapshot: Option<Snapshot>,
    entries: Vec<Entry>,
    segments: Vec<Segment>,
}

impl Recovery {
    fn new(snapshot: Option<Snapshot>) -> Self {
        Self { hard_state: HardState::default(), snapshot, entries: Vec::new(), segments: Vec::new() }
    }

    fn read_segment(
        &mut self,
        disk: &mut dyn Disk,
        group: GroupId,
        sequence: u64,
        is_last: bool,
    ) -> Result<(), StorageError> {
        let name = segment_name(sequence);
        let bytes =
            disk.read(&name).map_err(|source| StorageError::from_io(Operation::Read, &name, source))?;
        let header = frame::check_header(&bytes, group, sequence);
        let first_frame = frame::read_frame(&bytes, sequence, frame::HEADER_BYTES);
        if let Some(corruption) =
            header.err().or_else(|| first_frame.is_none().then_some(Corruption::Checksum))
        {
            return discard_torn_segment(disk, &name, &bytes, is_last, corruption);
        }
        let mut segment = Segment { sequence, length: frame::HEADER_BYTES, last_index: 0 };
        while segment.length < bytes.len() {
            let Some((records, end)) = frame::read_frame(&bytes, sequence, segment.length) else {
                truncate_torn_tail(disk, &name, &bytes, &segment, is_last)?;
                break;
            };
            self.apply_frame(&name, &mut segment, records)?;
            segment.length = end;
        }
        self.segments.push(segment);
        Ok(())
    }

    fn apply_frame(&mut self, name: &str, segment: &mut Segment, records: &[u8]) -> Result<(), StorageError> {
        let corrupt = |corruption| StorageError::corrupt(name, segment.length, corruption);
        for record in frame::decode_records(records).map_err(corrupt)? {
            match record {
                Record::HardState(state) => self.hard_state = state,
                Record::Truncate(index) => self.entries.retain(|entry| entry.position.index < index),
                Record::Entry(entry) => {
                    segment.last_index = segment.last_index.max(entry.position.index);
                    self.push_entry(entry).map_err(corrupt)?;
                }
            }
        }
        Ok(())
    }

    fn push_entry(&mut self, entry: Entry) -> Result<(), Corruption> {
        let covered = self.snapshot.as_ref().map_or(0, |snapshot| snapshot.position.index);
        let index = entry.position.index;
        if index <= covered {
            return Ok(());
        }
        let last = self.entries.last().map_or(covered, |entry| entry.position.index);
        if index != last + 1 {
            return Err(Corruption::Gap { index, last });
        }
        self.entries.push(entry);
        Ok(())
    }

    fn finish(self) -> RecoveredLog {
        let Self { hard_state, snapshot, entries, segments } = self;
        RecoveredLog { restored: PersistentState { hard_state, snapshot, entries }, segments }
    }
}

/// Removes the last segment if its creation was torn. The header and the first frame are synced together,
/// so a torn segment is never longer than both.
fn discard_torn_segment(
    disk: &mut dyn Disk,
    name: &str,
    bytes: &[u8],
    is_last: bool,
    corruption: Corruption,
) -> Result<(), StorageError> {
    let is_foreign =
        matches!(corruption, Corruption::WrongGroup { .. } | Corruption::UnknownVersion { version: 1.. });
    let torn = bytes.len() <= frame::HEADER_BYTES + frame::FIRST_FRAME_BYTES && !is_foreign;
    if !is_last || !torn {
        return Err(StorageError::corrupt(name, 0, corruption));
    }
    disk.remove(name).map_err(|source| StorageError::from_io(Operation::Remove, name, source))?;
    disk.sync_folder().map_err(|source| StorageError::from_io(Operation::Sync, "the folder", source))
}

fn truncate_torn_tail(
    disk: &mut dyn Disk,
    name: &str,
    bytes: &[u8],
    segment: &Segment,
    is_last: bool,
) -> Result<(), StorageError> {
    if !is_last || frame::has_frame_after(bytes, segment.sequence, segment.length) {
        return Err(StorageError::corrupt(name, segment.length, Corruption::Checksum));
    }
    let length = segment.length as u64;
    disk.truncate(name, length).map_err(|source| StorageError::from_io(Operation::Truncate, name, source))?;
    disk.sync(name).map_err(|source| StorageError::from_io(Operation::Sync, name, source))
}
