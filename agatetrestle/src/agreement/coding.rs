//! Encoding of replica sets and of the snapshots that replicas send to each other.

use std::sync::Arc;

use bytes::Bytes;
use snafu::ResultExt;
use snafu::Snafu;

use crate::agreement::Replicas;
use crate::agreement::Snapshot;
use crate::agreement::message::Position;

/// Size of the length field in front of the replica set.
const LENGTH_BYTES: usize = 4;

/// Why a replica set or snapshot can't be decoded.
#[derive(Debug, Snafu)]
pub enum CodingError {
    /// The replica set is not valid CBOR.
    #[snafu(display("failed to decode replica set: {source}"))]
    Undecodable {
        /// The decoder's error.
        source: ciborium::de::Error<std::io::Error>,
    },
    /// The snapshot ends within its header.
    #[snafu(display("snapshot truncated in its header: got {length} bytes"))]
    Truncated {
        /// Bytes received.
        length: usize,
    },
}

/// Encodes a replica set as the payload of a log entry.
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

/// Decodes the output of [`encode_replicas`].
///
/// # Errors
///
/// Fails if the bytes are not a replica set.
pub fn decode_replicas(bytes: &[u8]) -> Result<Replicas, CodingError> {
    ciborium::from_reader(bytes).context(UndecodableSnafu)
}

/// Encodes the header of a snapshot, which holds the length of the replica set and the set itself. The data
/// follows separately, so that it is not copied.
///
/// # Panics
///
/// If the encoded replica set exceeds 4 GiB.
#[must_use]
pub fn snapshot_header(replicas: &Replicas) -> Vec<u8> {
    let replicas = encode_replicas(replicas);
    let length = u32::try_from(replicas.len()).expect("a replica set is small");
    let mut buf = Vec::with_capacity(LENGTH_BYTES + replicas.len());
    buf.extend_from_slice(&length.to_le_bytes());
    buf.extend_from_slice(&replicas);
    buf
}

/// Decodes a header and the data behind it without copying the data.
///
/// # Errors
///
/// Fails if the header is truncated or holds no replica set.
pub fn decode_snapshot(position: Position, bytes: &Bytes) -> Result<Snapshot, CodingError> {
    let truncated = || CodingError::Truncated { length: bytes.len() };
    let (length, rest) = bytes.split_first_chunk::<LENGTH_BYTES>().ok_or_else(truncated)?;
    let length = usize::try_from(u32::from_le_bytes(*length)).unwrap_or(usize::MAX);
    let (replicas, data) = rest.split_at_checked(length).ok_or_else(truncated)?;
    let replicas = decode_replicas(replicas)?;
    Ok(Snapshot { position, replicas, data: bytes.slice_ref(data) })
}
