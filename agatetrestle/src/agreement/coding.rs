//! Bytes of replica sets and of snapshots under way between replicas.

use std::sync::Arc;

use bytes::Bytes;
use snafu::ResultExt;
use snafu::Snafu;

use crate::agreement::Replicas;
use crate::agreement::Snapshot;
use crate::agreement::message::Position;

/// Bytes that give the length of the replica set in front of a snapshot's data.
const LENGTH_BYTES: usize = 4;

/// Why bytes are no replica set or snapshot.
#[derive(Debug, Snafu)]
pub enum CodingError {
    /// The replica set can't be decoded.
    #[snafu(display("the replica set can't be decoded: {source}"))]
    Undecodable {
        /// What the decoder said.
        source: ciborium::de::Error<std::io::Error>,
    },
    /// The bytes end too early.
    #[snafu(display("the snapshot ends after {length} bytes, within its replica set"))]
    Short {
        /// Bytes at hand.
        length: usize,
    },
}

/// Codes a replica set as the payload of its entry.
///
/// # Panics
///
/// Never in practice: writing to memory can't fail.
#[must_use]
pub fn encode_replicas(replicas: &Replicas) -> Arc<[u8]> {
    let mut buf = Vec::new();
    ciborium::into_writer(replicas, &mut buf).expect("writing to memory can't fail");
    buf.into()
}

/// Reads back what [`encode_replicas`] wrote.
///
/// # Errors
///
/// Fails on bytes that are no replica set.
pub fn decode_replicas(bytes: &[u8]) -> Result<Replicas, CodingError> {
    ciborium::from_reader(bytes).context(UndecodableSnafu)
}

/// What stands in front of a snapshot's data: its replica set and the length of that. The data itself is large and
/// is sent from where it is.
///
/// # Panics
///
/// If a replica set took more than 4 GiB.
#[must_use]
pub fn snapshot_header(replicas: &Replicas) -> Vec<u8> {
    let replicas = encode_replicas(replicas);
    let length = u32::try_from(replicas.len()).expect("a replica set is small");
    let mut buf = Vec::with_capacity(LENGTH_BYTES + replicas.len());
    buf.extend_from_slice(&length.to_le_bytes());
    buf.extend_from_slice(&replicas);
    buf
}

/// Reads back a head and the data behind it, which stays where it is.
///
/// # Errors
///
/// Fails on bytes that hold no replica set.
pub fn decode_snapshot(position: Position, bytes: &Bytes) -> Result<Snapshot, CodingError> {
    let short = || CodingError::Short { length: bytes.len() };
    let (length, rest) = bytes.split_first_chunk::<LENGTH_BYTES>().ok_or_else(short)?;
    let length = usize::try_from(u32::from_le_bytes(*length)).unwrap_or(usize::MAX);
    let (replicas, data) = rest.split_at_checked(length).ok_or_else(short)?;
    let replicas = decode_replicas(replicas)?;
    Ok(Snapshot { position, replicas, data: bytes.slice_ref(data) })
}
