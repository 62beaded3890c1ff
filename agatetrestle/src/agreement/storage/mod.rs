//! Durable storage of one group: a log in segments and one snapshot, under `<data folder>/group-<id>/`.
//!
//! All calls block; the driver makes them on a blocking thread. One call of [`Storage::write`] is one
//! sync, however many writes it merges. The format and what it can't detect:
//! docs/design/001-replicated-log-and-groups.md.

pub mod disk;
pub mod error;
mod frame;
mod recovery;
mod snapshot_file;
#[cfg(test)]
mod tests;

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

/// Name of the newest snapshot.
const SNAPSHOT_FILE: &str = "snapshot";

/// Name of a snapshot that is not complete yet.
const TEMPORARY_FILE: &str = "snapshot.tmp";

/// Prefix of the names of segments.
const SEGMENT_PREFIX: &str = "log-";

/// How the files of a group are laid out.
#[derive(Clone, Copy, Debug)]
pub struct StorageConfig {
    /// The group.
    pub group: GroupId,
    /// Bytes after which a segment is closed. A snapshot frees whole segments only.
    pub segment_bytes: usize,
}

/// A file of the log.
#[derive(Clone, Copy, Debug)]
struct Segment {
    sequence: u64,
    /// Bytes that are synced.
    length: usize,
    /// Highest index of an entry in it, 0 for none.
    last_index: u64,
}

/// The open storage of one group.
pub struct Storage {
    disk: Box<dyn Disk>,
    cfg: StorageConfig,
    hard_state: HardState,
    segments: Vec<Segment>,
    poisoned: bool,
}

/// Where the files of a group are.
fn folder(data_folder: &Path, group: GroupId) -> PathBuf {
    data_folder.join(format!("group-{}", group.0))
}

/// Whether there ever were files of a group, without making any.
#[must_use]
pub fn has_folder(data_folder: &Path, group: GroupId) -> bool {
    folder(data_folder, group).is_dir()
}

impl Storage {
    /// Opens the files of `cfg.group` under the data folder, or creates them.
    ///
    /// # Errors
    ///
    /// Fails on I/O errors, if the folder is in use, and on corruption, which it names by file and
    /// offset. A torn write at the end of the log is no corruption and is cut off.
    pub fn open(data_folder: &Path, cfg: StorageConfig) -> Result<(Self, PersistentState), StorageError> {
        let folder = folder(data_folder, cfg.group);
        let name = folder.to_string_lossy();
        let disk = FileDisk::open(&folder);
        let disk = disk.map_err(|source| StorageError::from_io(Operation::Open, &name, source))?;
        Self::open_on(Box::new(disk), cfg)
    }

    /// As [`Storage::open`], on a disk of the caller's choice that holds this group alone.
    ///
    /// # Errors
    ///
    /// As [`Storage::open`].
    pub fn open_on(
        mut disk: Box<dyn Disk>,
        cfg: StorageConfig,
    ) -> Result<(Self, PersistentState), StorageError> {
        let recovery::Recovered { restored, segments } = recovery::recover(disk.as_mut(), cfg.group)?;
        let mut storage = Self { disk, cfg, hard_state: restored.hard_state, segments, poisoned: false };
        if storage.segments.is_empty() {
            storage.create_segment(1)?;
        }
        Ok((storage, restored))
    }

    /// Makes a batch durable with one sync, and with one more for each snapshot in it.
    ///
    /// # Errors
    ///
    /// Then nothing that was not yet durable may be acknowledged; a part of the batch may last. After
    /// [`StorageError::Full`] the storage can be used on.
    pub fn write(&mut self, batch: &[Write]) -> Result<(), StorageError> {
        let mut frame = FrameBuffer::new();
        let mut last_index = 0;
        for write in batch {
            if let Some(state) = write.hard_state {
                frame.hard_state(state);
                self.hard_state = state;
            }
            if let Some(index) = write.truncate_from {
                frame.truncate(index);
            }
            if let Some(snapshot) = &write.snapshot {
                self.append_frame(std::mem::replace(&mut frame, FrameBuffer::new()), last_index)?;
                self.save_snapshot(snapshot)?;
            }
            for entry in &write.entries {
                frame.entry(entry);
                last_index = last_index.max(entry.position.index);
            }
        }
        self.append_frame(frame, last_index)
    }

    /// Makes a snapshot durable, then drops the closed segments that it covers.
    ///
    /// # Errors
    ///
    /// What was durable before is still there, or is covered by the new snapshot.
    pub fn save_snapshot(&mut self, snapshot: &Snapshot) -> Result<(), StorageError> {
        if self.poisoned {
            return Err(StorageError::Poisoned);
        }
        let (head, checksum) = snapshot_file::frame(self.cfg.group, snapshot);
        if let Err(error) = self.write_temporary(&[&head, &snapshot.data, &checksum]) {
            // The space is given back at once; what matters is the first error.
            let _ = self.disk.remove(TEMPORARY_FILE);
            return Err(error);
        }
        let renamed = self.disk.rename(TEMPORARY_FILE, SNAPSHOT_FILE);
        renamed.map_err(|source| StorageError::from_io(Operation::Rename, TEMPORARY_FILE, source))?;
        sync_folder(self.disk.as_mut())?;
        self.drop_covered(snapshot.position.index)
    }

    fn write_temporary(&mut self, pieces: &[&[u8]]) -> Result<(), StorageError> {
        let failed = |operation| move |source| StorageError::from_io(operation, TEMPORARY_FILE, source);
        self.disk.create(TEMPORARY_FILE).map_err(failed(Operation::Create))?;
        for piece in pieces {
            self.disk.append(TEMPORARY_FILE, piece).map_err(failed(Operation::Append))?;
        }
        self.disk.sync(TEMPORARY_FILE).map_err(failed(Operation::Sync))
    }

    /// Drops the oldest closed segments of which a snapshot covers every entry.
    fn drop_covered(&mut self, index: u64) -> Result<(), StorageError> {
        let closed = &self.segments[..self.segments.len() - 1];
        let covered = closed.iter().take_while(|segment| segment.last_index <= index).count();
        for segment in self.segments.drain(..covered) {
            let name = segment_name(segment.sequence);
            let removed = self.disk.remove(&name);
            removed.map_err(|source| StorageError::from_io(Operation::Remove, &name, source))?;
            // A sync for each, since a gap between segments would be taken for a loss.
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
        let active = self.active();
        if active.length > frame::HEADER_BYTES + frame::FIRST_FRAME_BYTES
            && active.length + frame.len() > self.cfg.segment_bytes
        {
            self.create_segment(active.sequence + 1)?;
        }
        let active = self.active();
        let name = segment_name(active.sequence);
        let bytes = frame.finish(active.sequence, active.length);
        if let Err(error) = self.append_synced(&name, &bytes) {
            self.undo(&name, active.length);
            return Err(error);
        }
        let place = self.segments.len() - 1;
        let segment = &mut self.segments[place];
        segment.length += bytes.len();
        segment.last_index = segment.last_index.max(last_index);
        Ok(())
    }

    fn active(&self) -> Segment {
        self.segments[self.segments.len() - 1]
    }

    fn append_synced(&mut self, name: &str, bytes: &[u8]) -> Result<(), StorageError> {
        let failed = |operation| move |source| StorageError::from_io(operation, name, source);
        self.disk.append(name, bytes).map_err(failed(Operation::Append))?;
        self.disk.sync(name).map_err(failed(Operation::Sync))
    }

    /// Cuts a failed write off, so that the next one does not stand behind a torn one.
    fn undo(&mut self, name: &str, length: usize) {
        let cut = self.disk.truncate(name, length as u64).and_then(|()| self.disk.sync(name));
        self.poisoned |= cut.is_err();
    }

    /// Begins a segment with the present hard state, so that older segments can be dropped.
    fn create_segment(&mut self, sequence: u64) -> Result<(), StorageError> {
        let name = segment_name(sequence);
        let mut bytes = frame::encode_header(self.cfg.group, sequence);
        let mut first = FrameBuffer::new();
        first.hard_state(self.hard_state);
        let first = first.finish(sequence, bytes.len());
        bytes.extend_from_slice(&first);
        let created = self.disk.create(&name);
        let created = created.map_err(|source| StorageError::from_io(Operation::Create, &name, source));
        let created = created.and_then(|()| self.append_synced(&name, &bytes));
        if let Err(error) = created.and_then(|()| sync_folder(self.disk.as_mut())) {
            let undone = self.disk.remove(&name).and_then(|()| self.disk.sync_folder());
            self.poisoned |= undone.is_err();
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
