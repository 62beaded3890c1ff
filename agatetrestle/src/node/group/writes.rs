//! What a group wants made durable, and how a batch of it reaches the disk.

use std::fs::File;

use smol::channel::Receiver;
use snafu::ResultExt;
use snafu::Snafu;

use crate::agreement::RestoreError;
use crate::agreement::Snapshot;
use crate::agreement::Write;
use crate::agreement::storage::Storage;
use crate::agreement::storage::error::StorageError;
use crate::history::HistoryError;

/// One thing to make durable.
pub(super) enum Job {
    Write(Write),
    Snapshot { snapshot: Snapshot, relies_on: Vec<File> },
}

/// The queue of writes between a group and its storage.
pub struct Jobs(pub(super) Receiver<Job>);

/// What could not be made durable.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(super)))]
pub(super) enum WriteError {
    /// The log or a snapshot.
    #[snafu(display("{source}"))]
    Log {
        /// What the storage said.
        source: StorageError,
    },
    /// The history that a snapshot relies on.
    #[snafu(display("the history can't be synced: {source}"))]
    Unsynced {
        /// What the operating system said.
        source: std::io::Error,
    },
    /// The history that a received snapshot relies on.
    #[snafu(display("the history can't be written: {source}"))]
    Unflushed {
        /// What the history said.
        source: HistoryError,
    },
    /// A received snapshot.
    #[snafu(display("a received snapshot can't be used: {source}"))]
    Unusable {
        /// What the state machine said.
        source: RestoreError,
    },
}

/// What a batch made durable.
#[derive(Default)]
pub(super) struct Done {
    /// Sequence number of the last write.
    pub(super) written: Option<u64>,
    /// This replica's own snapshot.
    pub(super) snapshot: Option<Snapshot>,
    /// Why its own snapshot could not be saved.
    pub(super) snapshot_failure: Option<WriteError>,
}

/// Makes a batch durable. A snapshot of this replica's own that fails is no failure of the batch, since the log
/// is whole without it.
pub(super) fn carry_out(
    storage: &mut Storage,
    relies_on: &[File],
    batch: Vec<Job>,
) -> Result<Done, WriteError> {
    sync_all(relies_on).context(UnsyncedSnafu)?;
    let mut done = Done::default();
    let mut writes = Vec::new();
    for job in batch {
        match job {
            Job::Write(write) => writes.push(write),
            Job::Snapshot { snapshot, relies_on } => {
                // In the order in which they were asked for, so that an older snapshot never replaces a newer one.
                write_out(storage, &mut writes, &mut done)?;
                match save(storage, &snapshot, &relies_on) {
                    Ok(()) => done.snapshot = Some(snapshot),
                    Err(failure) => done.snapshot_failure = Some(failure),
                }
            }
        }
    }
    write_out(storage, &mut writes, &mut done)?;
    Ok(done)
}

fn write_out(storage: &mut Storage, writes: &mut Vec<Write>, done: &mut Done) -> Result<(), WriteError> {
    if let Some(last) = writes.last() {
        let sequence = last.sequence;
        storage.write(writes).context(LogSnafu)?;
        done.written = Some(sequence);
        writes.clear();
    }
    Ok(())
}

fn save(storage: &mut Storage, snapshot: &Snapshot, relies_on: &[File]) -> Result<(), WriteError> {
    sync_all(relies_on).context(UnsyncedSnafu)?;
    storage.save_snapshot(snapshot).context(LogSnafu)
}

fn sync_all(files: &[File]) -> std::io::Result<()> {
    files.iter().try_for_each(File::sync_all)
}
