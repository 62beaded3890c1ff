//! Storage jobs of a group, and their execution in batches.

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

pub(super) enum StorageJob {
    Write(Write),
    Snapshot { snapshot: Snapshot, history_files: Vec<File> },
}

/// Receiving end of the queue between a group and its storage.
pub struct StorageJobs(pub(super) Receiver<StorageJob>);

/// Failure to persist a batch.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(super)))]
pub(super) enum WriteError {
    /// The log or a snapshot can't be written.
    #[snafu(display("{source}"))]
    Log {
        /// Error of the storage.
        source: StorageError,
    },
    /// The history that a snapshot refers to can't be synced.
    #[snafu(display("the history can't be synced: {source}"))]
    Unsynced {
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// The history that a received snapshot refers to can't be written.
    #[snafu(display("the history can't be written: {source}"))]
    Unflushed {
        /// Error of the history.
        source: HistoryError,
    },
    /// A received snapshot can't be decoded.
    #[snafu(display("a received snapshot can't be used: {source}"))]
    Unusable {
        /// Error of the state machine.
        source: RestoreError,
    },
}

/// Outcome of a batch.
#[derive(Default)]
pub(super) struct BatchResult {
    /// Sequence number of the last persisted write.
    pub(super) written: Option<u64>,
    /// The saved snapshot of this replica.
    pub(super) snapshot: Option<Snapshot>,
    /// Why the snapshot of this replica could not be saved.
    pub(super) snapshot_failure: Option<WriteError>,
}

/// Persists a batch. Failure to save a snapshot of this replica does not fail the batch, since the log is complete without
/// it.
pub(super) fn execute_batch(
    storage: &mut Storage,
    history_files: &[File],
    batch: Vec<StorageJob>,
) -> Result<BatchResult, WriteError> {
    sync_files(history_files).context(UnsyncedSnafu)?;
    let mut result = BatchResult::default();
    let mut writes = Vec::new();
    for job in batch {
        match job {
            StorageJob::Write(write) => writes.push(write),
            StorageJob::Snapshot { snapshot, history_files } => {
                // Keeps the order of the jobs, so that an older snapshot never replaces a newer one.
                flush_writes(storage, &mut writes, &mut result)?;
                match save_snapshot(storage, &snapshot, &history_files) {
                    Ok(()) => result.snapshot = Some(snapshot),
                    Err(error) => result.snapshot_failure = Some(error),
                }
            }
        }
    }
    flush_writes(storage, &mut writes, &mut result)?;
    Ok(result)
}

fn flush_writes(
    storage: &mut Storage,
    writes: &mut Vec<Write>,
    result: &mut BatchResult,
) -> Result<(), WriteError> {
    if let Some(last) = writes.last() {
        let sequence = last.sequence;
        storage.write(writes).context(LogSnafu)?;
        result.written = Some(sequence);
        writes.clear();
    }
    Ok(())
}

fn save_snapshot(
    storage: &mut Storage,
    snapshot: &Snapshot,
    history_files: &[File],
) -> Result<(), WriteError> {
    sync_files(history_files).context(UnsyncedSnafu)?;
    storage.save_snapshot(snapshot).context(LogSnafu)
}

fn sync_files(files: &[File]) -> std::io::Result<()> {
    files.iter().try_for_each(File::sync_all)
}
