//! Coding of commands, replies and snapshots in CBOR, which describes itself and so lets a newer
//! build read what an older one wrote; see docs/design/001-replicated-log-and-groups.md.

use serde::Serialize;
use serde::de::DeserializeOwned;
use snafu::Snafu;

/// Bytes that are not what was expected.
#[derive(Debug, Snafu)]
#[snafu(display("the bytes can't be decoded: {source}"))]
pub struct DecodeError {
    source: ciborium::de::Error<std::io::Error>,
}

/// Codes a value.
///
/// # Panics
///
/// Never for the types of this crate: coding them into memory can't fail.
#[must_use]
pub fn encode<T: Serialize>(value: &T) -> Vec<u8> {
    let mut buf = Vec::new();
    ciborium::into_writer(value, &mut buf).expect("writing to memory does not fail");
    buf
}

/// Decodes a value.
///
/// # Errors
///
/// Fails if the bytes are torn or of another shape.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, DecodeError> {
    ciborium::from_reader(bytes).map_err(|source| DecodeError { source })
}
