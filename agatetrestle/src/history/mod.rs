//! Append-only bytes beside a replicated log: requests and answers, written once.
//!
//! A snapshot only says how far it reaches into the history, so that taking one never rewrites what
//! was stored before. Offsets count from the first byte ever appended and are the same on every replica,
//! because every replica appends the same records in the same order; see
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

/// Where a record stands.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct RecordLocation {
    /// Bytes before it.
    pub offset: u64,
    /// Its length in bytes.
    pub length: u32,
    /// Checksum of its bytes.
    pub checksum: u32,
}

/// Why bytes of the history can't be had.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(self)))]
pub enum HistoryError {
    /// The operating system failed.
    #[snafu(display("{}: {source}", file.display()))]
    Io {
        /// The file.
        file: PathBuf,
        /// What the operating system said.
        source: std::io::Error,
    },
    /// The history ends before the record does.
    #[snafu(display("the history ends at {end}, before byte {wanted}"))]
    PastEnd {
        /// Where it ends.
        end: u64,
        /// The byte that was wanted.
        wanted: u64,
    },
    /// The bytes are not those that were appended.
    #[snafu(display("the record at {offset} does not match its checksum"))]
    Corrupt {
        /// Where the record stands.
        offset: u64,
    },
}

/// The store of one group.
pub trait History {
    /// Appends a record. It lasts only once the files that [`History::flush`] returned are synced.
    fn append(&mut self, bytes: &[u8]) -> RecordLocation;

    /// Reads a record.
    ///
    /// # Errors
    ///
    /// Fails if the record is not there or was damaged.
    fn read(&self, record: RecordLocation) -> Result<Arc<[u8]>, HistoryError>;

    /// Bytes appended so far.
    fn end(&self) -> u64;

    /// Reads raw bytes for a replica that lacks them, at most `limit`; none at the end.
    ///
    /// # Errors
    ///
    /// Fails if they can't be read.
    fn read_raw(&self, offset: u64, limit: usize) -> Result<Vec<u8>, HistoryError>;

    /// Takes in raw bytes that follow the end.
    fn append_raw(&mut self, bytes: &[u8]);

    /// Drops everything from an offset on, which the log will append again.
    ///
    /// # Errors
    ///
    /// Fails if the history is shorter than that.
    fn truncate(&mut self, end: u64) -> Result<(), HistoryError>;

    /// Writes out what was appended, and returns the files to be synced before a snapshot may rely on it.
    ///
    /// # Errors
    ///
    /// Fails if anything since the last flush could not be written.
    fn flush(&mut self) -> Result<Vec<File>, HistoryError>;
}

fn record(offset: u64, bytes: &[u8]) -> RecordLocation {
    let length = u32::try_from(bytes.len()).unwrap_or(u32::MAX);
    RecordLocation { offset, length, checksum: crc32fast::hash(bytes) }
}

fn checked(record: RecordLocation, bytes: &[u8]) -> Result<Arc<[u8]>, HistoryError> {
    snafu::ensure!(crc32fast::hash(bytes) == record.checksum, CorruptSnafu { offset: record.offset });
    Ok(Arc::from(bytes))
}
