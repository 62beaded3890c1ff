//! Why the storage of a group could not do what it was asked.

use std::io;
use std::sync::Arc;

use snafu::Snafu;

use crate::agreement::coding::CodingError;
use crate::ids::GroupId;

/// A failure of the storage. After any of them what was acknowledged before is still there.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(super)))]
pub enum StorageError {
    /// The disk or quota is full; the write is undone and the log can be used up to what was synced.
    #[snafu(display("no space is left to {operation} {file}: {source}"))]
    Full {
        /// Name of the file within the group's folder.
        file: Arc<str>,
        /// What was tried.
        operation: Operation,
        /// What the system said.
        source: io::Error,
    },
    /// Another I/O error.
    #[snafu(display("failed to {operation} {file}: {source}"))]
    Io {
        /// Name of the file within the group's folder.
        file: Arc<str>,
        /// What was tried.
        operation: Operation,
        /// What the system said.
        source: io::Error,
    },
    /// Another open storage, in this process or another, holds the folder.
    #[snafu(display("{file} is in use by another process"))]
    InUse {
        /// The folder.
        file: Arc<str>,
    },
    /// Bytes that were synced are not what was written.
    #[snafu(display("{file} is corrupt at offset {offset}: {damage}"))]
    Corrupt {
        /// Name of the file within the group's folder.
        file: Arc<str>,
        /// Offset in bytes.
        offset: u64,
        /// What is wrong there.
        damage: Damage,
    },
    /// An earlier write failed and could not be undone; the storage must be opened anew.
    #[snafu(display("an earlier write failed and could not be undone"))]
    Poisoned,
}

/// What is wrong with a file.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(super)))]
pub enum Damage {
    /// A checksum does not match, and valid data follows or must follow.
    #[snafu(display("a checksum does not match"))]
    Checksum,
    /// The file ends too early.
    #[snafu(display("the file ends too early"))]
    Short,
    /// The file does not begin as files of its kind do.
    #[snafu(display("the magic number is wrong"))]
    Magic,
    /// The file was written by a version that this one can't read.
    #[snafu(display("format version {version} is unknown"))]
    Version {
        /// The version found.
        version: u32,
    },
    /// The file belongs to another group.
    #[snafu(display("it belongs to group {}", group.0))]
    Group {
        /// The group found.
        group: GroupId,
    },
    /// A segment is missing before this one.
    #[snafu(display("segment {expected} is missing"))]
    MissingSegment {
        /// Number of the segment that should be here.
        expected: u64,
    },
    /// An entry does not follow the one before it, nor the snapshot.
    #[snafu(display("entry {index} does not follow entry {last}"))]
    Gap {
        /// Index found.
        index: u64,
        /// Index before it.
        last: u64,
    },
    /// A record is of a kind that this version doesn't know, or its length is impossible.
    #[snafu(display("a record is malformed"))]
    Record,
    /// The replica set of a snapshot can't be decoded.
    #[snafu(display("{source}"))]
    Replicas {
        /// What is wrong with it.
        source: CodingError,
    },
}

/// What was tried on a file.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Snafu)]
pub enum Operation {
    /// Open a folder.
    #[snafu(display("open"))]
    Open,
    /// List the folder.
    #[snafu(display("list"))]
    List,
    /// Read a file.
    #[snafu(display("read"))]
    Read,
    /// Create a file.
    #[snafu(display("create"))]
    Create,
    /// Append to a file.
    #[snafu(display("append to"))]
    Append,
    /// Sync a file or the folder.
    #[snafu(display("sync"))]
    Sync,
    /// Cut a file.
    #[snafu(display("truncate"))]
    Truncate,
    /// Rename a file.
    #[snafu(display("rename"))]
    Rename,
    /// Remove a file.
    #[snafu(display("remove"))]
    Remove,
}

impl StorageError {
    /// The typed error for what the system said.
    pub(super) fn from_io(operation: Operation, file: &str, source: io::Error) -> Self {
        let file = file.into();
        match source.kind() {
            io::ErrorKind::WouldBlock => Self::InUse { file },
            io::ErrorKind::QuotaExceeded | io::ErrorKind::StorageFull => {
                Self::Full { file, operation, source }
            }
            _ => Self::Io { file, operation, source },
        }
    }

    pub(super) fn corrupt(file: &str, offset: usize, damage: Damage) -> Self {
        Self::Corrupt { file: file.into(), offset: offset as u64, damage }
    }
}
