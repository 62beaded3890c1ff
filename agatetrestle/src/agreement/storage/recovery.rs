//! Reading a group's folder at start.

use crate::agreement::HardState;
use crate::agreement::Snapshot;
use crate::agreement::message::Entry;
use crate::agreement::replica::PersistentState;
use crate::agreement::storage::SNAPSHOT_FILE;
use crate::agreement::storage::Segment;
use crate::agreement::storage::TEMPORARY_FILE;
use crate::agreement::storage::disk::Disk;
use crate::agreement::storage::error::Damage;
use crate::agreement::storage::error::Operation;
use crate::agreement::storage::error::StorageError;
use crate::agreement::storage::frame;
use crate::agreement::storage::frame::Record;
use crate::agreement::storage::segment_name;
use crate::agreement::storage::segment_sequence;
use crate::agreement::storage::snapshot_file;
use crate::ids::GroupId;

/// What was found, with the segments in order.
pub(super) struct Recovered {
    pub(super) restored: PersistentState,
    pub(super) segments: Vec<Segment>,
}

/// Reads everything, cuts a torn tail off and refuses other damage.
pub(super) fn recover(disk: &mut dyn Disk, group: GroupId) -> Result<Recovered, StorageError> {
    let names = disk.list().map_err(|source| StorageError::from_io(Operation::List, "the folder", source))?;
    if names.iter().any(|name| name == TEMPORARY_FILE) {
        let removed = disk.remove(TEMPORARY_FILE);
        removed.map_err(|source| StorageError::from_io(Operation::Remove, TEMPORARY_FILE, source))?;
    }
    let stored = names.iter().any(|name| name == SNAPSHOT_FILE);
    let snapshot = stored.then(|| read_snapshot(disk, group)).transpose()?;
    let mut sequences: Vec<u64> = names.iter().filter_map(|name| segment_sequence(name)).collect();
    sequences.sort_unstable();
    check_sequences(&sequences)?;
    let mut recovery = Recovery::new(snapshot);
    for (place, sequence) in sequences.iter().enumerate() {
        let last = place + 1 == sequences.len();
        recovery.read_segment(disk, group, *sequence, last)?;
    }
    sync_found(disk, &recovery.segments)?;
    Ok(recovery.finish())
}

/// Makes durable what was read: a process that was killed may have left it in the system's cache alone.
fn sync_found(disk: &mut dyn Disk, segments: &[Segment]) -> Result<(), StorageError> {
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
    snapshot.map_err(|damage| StorageError::corrupt(SNAPSHOT_FILE, 0, damage))
}

fn check_sequences(sequences: &[u64]) -> Result<(), StorageError> {
    for pair in sequences.windows(2) {
        let expected = pair[0] + 1;
        if pair[1] != expected {
            let damage = Damage::MissingSegment { expected };
            return Err(StorageError::corrupt(&segment_name(pair[1]), 0, damage));
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
        last: bool,
    ) -> Result<(), StorageError> {
        let name = segment_name(sequence);
        let bytes =
            disk.read(&name).map_err(|source| StorageError::from_io(Operation::Read, &name, source))?;
        let header = frame::check_header(&bytes, group, sequence);
        let first = frame::frame_at(&bytes, sequence, frame::HEADER_BYTES);
        if let Some(damage) = header.err().or_else(|| first.is_none().then_some(Damage::Checksum)) {
            return discard_torn_segment(disk, &name, &bytes, last, damage);
        }
        let mut segment = Segment { sequence, length: frame::HEADER_BYTES, last_index: 0 };
        while segment.length < bytes.len() {
            let Some((records, end)) = frame::frame_at(&bytes, sequence, segment.length) else {
                cut_torn_tail(disk, &name, &bytes, &segment, last)?;
                break;
            };
            self.apply_frame(&name, &mut segment, records)?;
            segment.length = end;
        }
        self.segments.push(segment);
        Ok(())
    }

    fn apply_frame(&mut self, name: &str, segment: &mut Segment, records: &[u8]) -> Result<(), StorageError> {
        let corrupt = |damage| StorageError::corrupt(name, segment.length, damage);
        for record in frame::decode_records(records).map_err(corrupt)? {
            match record {
                Record::HardState(state) => self.hard_state = state,
                Record::Truncate(index) => self.entries.retain(|entry| entry.position.index < index),
                Record::Entry(entry) => {
                    segment.last_index = segment.last_index.max(entry.position.index);
                    self.push(entry).map_err(corrupt)?;
                }
            }
        }
        Ok(())
    }

    fn push(&mut self, entry: Entry) -> Result<(), Damage> {
        let covered = self.snapshot.as_ref().map_or(0, |snapshot| snapshot.position.index);
        let index = entry.position.index;
        if index <= covered {
            return Ok(());
        }
        let last = self.entries.last().map_or(covered, |entry| entry.position.index);
        if index != last + 1 {
            return Err(Damage::Gap { index, last });
        }
        self.entries.push(entry);
        Ok(())
    }

    fn finish(self) -> Recovered {
        let Self { hard_state, snapshot, entries, segments } = self;
        Recovered { restored: PersistentState { hard_state, snapshot, entries }, segments }
    }
}

/// Removes a last segment whose creation was torn. Its header and first frame are synced together
/// before anything follows, so it is no longer than these.
fn discard_torn_segment(
    disk: &mut dyn Disk,
    name: &str,
    bytes: &[u8],
    last: bool,
    damage: Damage,
) -> Result<(), StorageError> {
    let foreign = matches!(damage, Damage::Group { .. } | Damage::Version { version: 1.. });
    let torn = bytes.len() <= frame::HEADER_BYTES + frame::FIRST_FRAME_BYTES && !foreign;
    if !last || !torn {
        return Err(StorageError::corrupt(name, 0, damage));
    }
    disk.remove(name).map_err(|source| StorageError::from_io(Operation::Remove, name, source))?;
    disk.sync_folder().map_err(|source| StorageError::from_io(Operation::Sync, "the folder", source))
}

fn cut_torn_tail(
    disk: &mut dyn Disk,
    name: &str,
    bytes: &[u8],
    segment: &Segment,
    last: bool,
) -> Result<(), StorageError> {
    if !last || frame::has_frame_after(bytes, segment.sequence, segment.length) {
        return Err(StorageError::corrupt(name, segment.length, Damage::Checksum));
    }
    let length = segment.length as u64;
    disk.truncate(name, length).map_err(|source| StorageError::from_io(Operation::Truncate, name, source))?;
    disk.sync(name).map_err(|source| StorageError::from_io(Operation::Sync, name, source))
}
