//! Coding of commands, replies and snapshots in CBOR, which describes itself and so lets a newer
//! build read what an older one wrote; see docs/design/001-replicated-log-and-groups.md.

use std::fmt;
use std::sync::Arc;

use serde::Deserialize;
use serde::Deserializer;
use serde::Serialize;
use serde::Serializer;
use serde::de::DeserializeOwned;
use serde::de::Visitor;
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

/// Shared bytes that are coded as one byte string, not as a list of numbers.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Blob(pub Arc<[u8]>);

impl From<&[u8]> for Blob {
    fn from(bytes: &[u8]) -> Self {
        Self(bytes.into())
    }
}

impl Serialize for Blob {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_bytes(&self.0)
    }
}

impl<'de> Deserialize<'de> for Blob {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_byte_buf(BlobVisitor)
    }
}

struct BlobVisitor;

impl Visitor<'_> for BlobVisitor {
    type Value = Blob;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a byte string")
    }

    fn visit_bytes<E: serde::de::Error>(self, bytes: &[u8]) -> Result<Blob, E> {
        Ok(Blob(bytes.into()))
    }

    fn visit_byte_buf<E: serde::de::Error>(self, bytes: Vec<u8>) -> Result<Blob, E> {
        Ok(Blob(bytes.into()))
    }
}
