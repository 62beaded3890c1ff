//! Durable storage of one group: a segmented log and one snapshot, under `<data folder>/group-<id>/`.
//!
//! All calls block, so the driver makes them on a blocking thread. [`Storage::write`] syncs once per batch of
//! writes. The format and its limits: docs/design/001-replicated-log-and-groups.md.

pub mod disk;
pub mod error;
mod frame;
mod recovery;
mod snapshot_file;
#[cfg(test)]
pub(crate) mod tests;

use std::fmt;
use std::path::Path;
use std::path::PathBuf;

use crate::agreement::HardState;
use crate::agreement::Snapshot;
use crate::agreement::Write;
use crate::agreement::replica::PersistentState;
use crate::agreement::storage::disk::Disk;
use crate::agreement::storage::disk::FileDisk;
use crate::agreement::storage::error::Operation;
use crate::agreement::storage::error::StorageError;
use crate::agreement::storage::frame::FrameBuffer;
use crate::ids::GroupId;

const SNAPSHOT_FILE: &str = "snapshot";

/// File that a snapshot is written to before it is renamed over [`SNAPSHOT_FILE`].
const TEMPORARY_SNAPSHOT: &str = "snapshot.tmp";

const SEGMENT_PREFIX: &str = "log-";

/// Settings of the storage of one group.
#[derive(Clone, Copy, Debug)]
pub struct StorageConfig {
    /// The group that the files belong to.
    pub group: GroupId,
    /// Size at which a segment is closed. Only whole segments are removed after a snapshot.
    pub segment_bytes: usize,
}

/// One file of the log.
#[derive(Clone, Copy, Debug)]
struct Segment {
    sequence: u64,
    /// Synced bytes.
    length: usize,
    /// Highest index of an entry in the segment, or 0.
    last_index: u64,
}

/// The open storage of one group.
pub struct Storage {
    disk: Box<dyn Disk>,
    cfg: StorageConfig,
    hard_state: HardState,
    segments: Vec<Segment>,
    /// Set after a failed write that could not be rolled back.
    poisoned: bool,
}

fn group_folder(data_folder: &Path, group: GroupId) -> PathBuf {
    data_folder.join(format!("group-{}", group.0))
}

/// Returns whether the group has files under the data folder, without creating any.
#[must_use]
pub fn has_folder(data_folder: &Path, group: GroupId) -> bool {
    group_folder(data_folder, group).is_dir()
}

impl Storage {
    /// Opens the files of `cfg.group` under the data folder, creating them if they are missing.
    ///
    /// # Errors
    ///
    /// Fails on I/O errors, if the folder is in use, and on corruption, which is reported with file and
    /// offset. A torn write at the end of the log is not corruption and is truncated.
    pub fn open(data_folder: &Path, cfg: StorageConfig) -> Result<(Self, PersistentState), StorageError> {
        let folder = group_folder(data_folder, cfg.group);
        let name = folder.to_string_lossy();
        let disk = FileDisk::open(&folder);
        let disk = disk.map_err(|source| StorageError::from_io(Operation::Open, &name, source))?;
        Self::open_on(Box::new(disk), cfg)
    }

    /// Like [`Storage::open`], on a given disk that holds only this group.
    ///
    /// # Errors
    ///
    /// See [`Storage::open`].
    pub fn open_on(
        mut disk: Box<dyn Disk>,
        cfg: StorageConfig,
    ) -> Result<(Self, PersistentState), StorageError> {
        let recovery::RecoveredLog { restored, segments } = recovery::recover(disk.as_mut(), cfg.group)?;
        let mut storage = Self { disk, cfg, hard_state: restored.hard_state, segments, poisoned: false };
        if storage.segments.is_empty() {
            storage.create_segment(1)?;
        }
        Ok((storage, restored))
    }

    /// Writes a batch durably, with one sync and one more for each snapshot in it.
    ///
    /// # Errors
    ///
    /// On failure no write of the batch may be acknowledged, although some may be durable. The storage stays
    /// usable after [`StorageError::Full`].
    pub fn write(&mut self, batch: &[Write]) -> Result<(), StorageError> {
        let mut frame = FrameBuffer::new();
        let mut last_index = 0;
        for write in batch {
            if let Some(state) = write.hard_state {
                frame.push_hard_state(state);
                self.hard_state = state;
            }
            if let Some(index) = write.truncate_from {
                frame.push_truncate(index);
            }
            if let Some(snapshot) = &write.snapshot {
                self.append_frame(std::mem::replace(&mut frame, FrameBuffer::new()), last_index)?;
                self.save_snapshot(snapshot)?;
            }
            for entry in &write.entries {
                frame.push_entry(entry);
                last_index = last_index.max(entry.position.index);
            }
        }
        self.append_frame(frame, last_index)
    }

    /// Writes a snapshot durably, then removes the closed segments that it covers.
    ///
    /// # Errors
    ///
    /// On failure all earlier entries are still durable or covered by the new snapshot.
    pub fn save_snapshot(&mut self, snapshot: &Snapshot) -> Result<(), StorageError> {
        if self.poisoned {
            return Err(StorageError::Poisoned);
        }
        let (header, checksum) = snapshot_file::encode_framing(self.cfg.group, snapshot);
        if let Err(error) = self.write_temporary_snapshot(&[&header, &snapshot.data, &checksum]) {
            // Frees the space; only the first error is reported.
            let _ = self.disk.remove(TEMPORARY_SNAPSHOT);
            return Err(error);
        }
        let renamed = self.disk.rename(TEMPORARY_SNAPSHOT, SNAPSHOT_FILE);
        renamed.map_err(|source| StorageError::from_io(Operation::Rename, TEMPORARY_SNAPSHOT, source))?;
        sync_folder(self.disk.as_mut())?;
        self.remove_covered_segments(snapshot.position.index)
    }

    fn write_temporary_snapshot(&mut self, parts: &[&[u8]]) -> Result<(), StorageError> {
        let io_error = |operation| move |source| StorageError::from_io(operation, TEMPORARY_SNAPSHOT, source);
        self.disk.create(TEMPORARY_SNAPSHOT).map_err(io_error(Operation::Create))?;
        for part in parts {
            self.disk.append(TEMPORARY_SNAPSHOT, part).map_err(io_error(Operation::Append))?;
        }
        self.disk.sync(TEMPORARY_SNAPSHOT).map_err(io_error(Operation::Sync))
    }

    /// Removes the oldest closed segments whose entries all have an index up to `index`.
    fn remove_covered_segments(&mut self, index: u64) -> Result<(), StorageError> {
        let closed = &self.segments[..self.segments.len() - 1];
        let covered = closed.iter().take_while(|segment| segment.last_index <= index).count();
        for segment in self.segments.drain(..covered) {
            let name = segment_name(segment.sequence);
            let removed = self.disk.remove(&name);
            removed.map_err(|source| StorageError::from_io(Operation::Remove, &name, source))?;
            // Synced one by one: a gap between segments would be reported as corruption.
            sync_folder(self.disk.as_mut())?;
        }
        Ok(())
    }

    fn append_frame(&mut self, frame: FrameBuffer, last_index: u64) -> Result<(), StorageError> {
        if self.poisoned {
            return Err(StorageError::Poisoned);
        }
        if frame.is_empty() {
            return Ok(());
        }
        let active = self.active_segment();
        if active.length > frame::HEADER_BYTES + frame::FIRST_FRAME_BYTES
            && active.length + frame.len() > self.cfg.segment_bytes
        {
            self.create_segment(active.sequence + 1)?;
        }
        let active = self.active_segment();
        let name = segment_name(active.sequence);
        let bytes = frame.finish(active.sequence, active.length);
        if let Err(error) = self.append_synced(&name, &bytes) {
            self.roll_back(&name, active.length);
            return Err(error);
        }
        let last = self.segments.len() - 1;
        let segment = &mut self.segments[last];
        segment.length += bytes.len();
        segment.last_index = segment.last_index.max(last_index);
        Ok(())
    }

    fn active_segment(&self) -> Segment {
        self.segments[self.segments.len() - 1]
    }

    fn append_synced(&mut self, name: &str, bytes: &[u8]) -> Result<(), StorageError> {
        let io_error = |operation| move |source| StorageError::from_io(operation, name, source);
        self.disk.append(name, bytes).map_err(io_error(Operation::Append))?;
        self.disk.sync(name).map_err(io_error(Operation::Sync))
    }

    /// Truncates a failed write, so that no frame follows a torn one.
    fn roll_back(&mut self, name: &str, length: usize) {
        let truncated = self.disk.truncate(name, length as u64).and_then(|()| self.disk.sync(name));
        self.poisoned |= truncated.is_err();
    }

    /// Starts a segment with the current hard state, so that older segments can be removed.
    fn create_segment(&mut self, sequence: u64) -> Result<(), StorageError> {
        let name = segment_name(sequence);
        let mut bytes = frame::encode_header(self.cfg.group, sequence);
        let mut frame = FrameBuffer::new();
        frame.push_hard_state(self.hard_state);
        let frame = frame.finish(sequence, bytes.len());
        bytes.extend_from_slice(&frame);
        let created = self.disk.create(&name);
        let created = created.map_err(|source| StorageError::from_io(Operation::Create, &name, source));
        let created = created.and_then(|()| self.append_synced(&name, &bytes));
        if let Err(error) = created.and_then(|()| sync_folder(self.disk.as_mut())) {
            let removed = self.disk.remove(&name).and_then(|()| self.disk.sync_folder());
            self.poisoned |= removed.is_err();
            return Err(error);
        }
        self.segments.push(Segment { sequence, length: bytes.len(), last_index: 0 });
        Ok(())
    }
}

impl fmt::Debug for Storage {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Storage")
            .field("cfg", &self.cfg)
            .field("segments", &self.segments)
            .finish_non_exhaustive()
    }
}

fn sync_folder(disk: &mut dyn Disk) -> Result<(), StorageError> {
    disk.sync_folder().map_err(|source| StorageError::from_io(Operation::Sync, "the folder", source))
}

fn segment_name(sequence: u64) -> String {
    format!("{SEGMENT_PREFIX}{sequence:016x}")
}

fn segment_sequence(name: &str) -> Option<u64> {
    let digits = name.strip_prefix(SEGMENT_PREFIX)?;
    u64::from_str_radix(digits, 16).ok().filter(|sequence| segment_name(*sequence) == name)
}
