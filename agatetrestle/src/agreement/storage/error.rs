//! Errors of a group's storage.

use std::io;
use std::sync::Arc;

use snafu::Snafu;

use crate::agreement::coding::CodingError;
use crate::ids::GroupId;

/// A failure of the storage. Writes acknowledged before it remain durable.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(super)))]
pub enum StorageError {
    /// The disk or quota is full; the write was rolled back and the storage stays usable.
    #[snafu(display("no space left, failed to {operation} {file}: {source}"))]
    Full {
        /// Name of the file within the group's folder.
        file: Arc<str>,
        /// Operation that failed.
        operation: Operation,
        /// Error of the operating system.
        source: io::Error,
    },
    /// Another I/O error.
    #[snafu(display("failed to {operation} {file}: {source}"))]
    Io {
        /// Name of the file within the group's folder.
        file: Arc<str>,
        /// Operation that failed.
        operation: Operation,
        /// Error of the operating system.
        source: io::Error,
    },
    /// The folder is locked by another open storage, in this process or another.
    #[snafu(display("{file} is in use by another process"))]
    InUse {
        /// The folder.
        file: Arc<str>,
    },
    /// Stored bytes differ from what was written.
    #[snafu(display("{file} is corrupt at offset {offset}: {corruption}"))]
    Corrupt {
        /// Name of the file within the group's folder.
        file: Arc<str>,
        /// Offset of the corruption in bytes.
        offset: u64,
        /// Kind of corruption.
        corruption: Corruption,
    },
    /// An earlier write failed and could not be rolled back; the storage must be reopened.
    #[snafu(display("an earlier write failed and could not be rolled back"))]
    Poisoned,
}

/// Kinds of corruption of a file.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(super)))]
pub enum Corruption {
    /// A checksum does not match, and the data is not a torn write.
    #[snafu(display("checksum mismatch"))]
    Checksum,
    /// The file ends within its header.
    #[snafu(display("unexpected end of file"))]
    Truncated,
    /// The file does not start with the magic number of its kind.
    #[snafu(display("wrong magic number"))]
    Magic,
    /// The file has a format version that is not supported.
    #[snafu(display("unsupported format version {version}"))]
    UnknownVersion {
        /// Version in the file.
        version: u32,
    },
    /// The file belongs to another group.
    #[snafu(display("the file belongs to group {}", group.0))]
    WrongGroup {
        /// Group in the file.
        group: GroupId,
    },
    /// A segment is missing before this one.
    #[snafu(display("segment {expected} is missing"))]
    MissingSegment {
        /// Sequence number of the missing segment.
        expected: u64,
    },
    /// An entry follows neither the entry before it nor the snapshot.
    #[snafu(display("entry {index} does not follow entry {last}"))]
    Gap {
        /// Index of the entry.
        index: u64,
        /// Index of the entry or snapshot before it.
        last: u64,
    },
    /// A record has an unknown kind or an impossible length.
    #[snafu(display("malformed record"))]
    MalformedRecord,
    /// The replica set of a snapshot can't be decoded.
    #[snafu(display("{source}"))]
    Replicas {
        /// Cause of the failure.
        source: CodingError,
    },
}

/// Operations on files, as named in error messages.
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
    /// Truncate a file.
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

    pub(super) fn corrupt(file: &str, offset: usize, corruption: Corruption) -> Self {
        Self::Corrupt { file: file.into(), offset: offset as u64, corruption }
    }
}
