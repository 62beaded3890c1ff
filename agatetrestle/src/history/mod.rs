//! Append-only store of requests and answers beside a replicated log.
//!
//! A snapshot stores only the end offset of the history, so that taking one does not rewrite earlier
//! records. Offsets count from the first byte ever appended and are equal on all replicas, because every
//! replica appends the same records in the same order; see
//! docs/design/002-ledger-and-at-most-once.md.

pub mod file;
pub mod memory;
#[cfg(test)]
mod tests;

use std::fs::File;
use std::path::PathBuf;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;
use snafu::Snafu;

/// Location and checksum of a record.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct RecordLocation {
    /// Offset of its first byte.
    pub offset: u64,
    /// Length in bytes.
    pub length: u32,
    /// CRC-32 of its bytes.
    pub checksum: u32,
}

/// Failure to read, write or open a history.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(self)))]
pub enum HistoryError {
    /// A file operation failed.
    #[snafu(display("{}: {source}", file.display()))]
    Io {
        /// Path of the file.
        file: PathBuf,
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// The requested bytes lie past the end of the history.
    #[snafu(display("the history ends at {end}, before byte {wanted}"))]
    PastEnd {
        /// End offset of the history.
        end: u64,
        /// Requested offset.
        wanted: u64,
    },
    /// A record does not match its checksum.
    #[snafu(display("the record at {offset} does not match its checksum"))]
    Corrupt {
        /// Offset of the record.
        offset: u64,
    },
}

/// History of one group.
pub trait History {
    /// Appends a record. It is durable once the files returned by [`History::flush`] are synced.
    fn append(&mut self, bytes: &[u8]) -> RecordLocation;

    /// Reads a record.
    ///
    /// # Errors
    ///
    /// Fails if the record can't be read or does not match its checksum.
    fn read(&self, location: RecordLocation) -> Result<Arc<[u8]>, HistoryError>;

    /// End offset, which is the number of bytes appended so far.
    fn end(&self) -> u64;

    /// Reads at most `limit` raw bytes, for another replica; empty at the end. May return fewer than are stored.
    ///
    /// # Errors
    ///
    /// Fails if they can't be read.
    fn read_raw(&self, offset: u64, limit: usize) -> Result<Vec<u8>, HistoryError>;

    /// Appends raw bytes received from another replica.
    fn append_raw(&mut self, bytes: &[u8]);

    /// Truncates to an end offset; replaying the log appends the rest again.
    ///
    /// # Errors
    ///
    /// Fails if the history ends before that offset or a file operation fails.
    fn truncate(&mut self, end: u64) -> Result<(), HistoryError>;

    /// Writes out buffered bytes and returns the files to sync before a snapshot may refer to them.
    ///
    /// # Errors
    ///
    /// Fails if a write since the last flush failed.
    fn flush(&mut self) -> Result<Vec<File>, HistoryError>;
}

fn locate(offset: u64, bytes: &[u8]) -> RecordLocation {
    let length = u32::try_from(bytes.len()).unwrap_or(u32::MAX);
    RecordLocation { offset, length, checksum: crc32fast::hash(bytes) }
}

fn verify(location: RecordLocation, bytes: &[u8]) -> Result<Arc<[u8]>, HistoryError> {
    snafu::ensure!(crc32fast::hash(bytes) == location.checksum, CorruptSnafu { offset: location.offset });
    Ok(Arc::from(bytes))
}
