//! Coding of commands, replies and snapshots in CBOR, which describes itself and so lets a newer
//! build read what an older one wrote; see docs/design/001-replicated-log-and-groups.md.

use std::fmt;
use std::io::Read as _;
use std::io::Write as _;
use std::ops::Deref;
use std::sync::Arc;

use flate2::Compression;
use flate2::read::DeflateDecoder;
use flate2::write::DeflateEncoder;
use serde::Deserialize;
use serde::Deserializer;
use serde::Serialize;
use serde::Serializer;
use serde::de::DeserializeOwned;
use serde::de::Visitor;
use snafu::ResultExt;
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
    encode_with_capacity(value, 0)
}

/// Codes a value into a buffer that has room for so many bytes, so that a large value is not copied as it grows.
///
/// # Panics
///
/// As [`encode`].
#[must_use]
pub fn encode_with_capacity<T: Serialize>(value: &T, room: usize) -> Vec<u8> {
    let mut buf = Vec::with_capacity(room);
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

/// A coded value, compressed. Lists that are told to hundreds of processes are packed once and shared by all answers.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(transparent)]
pub struct Compressed(Blob);

/// Compressed bytes that can't be unpacked into what was expected.
#[derive(Debug, Snafu)]
pub enum DecompressError {
    /// They are no compressed bytes, or more than any list takes.
    #[snafu(display("the bytes can't be inflated: {source}"))]
    Inflate {
        /// What the library said.
        source: std::io::Error,
    },
    /// What they hold is of another shape.
    #[snafu(display("{source}"))]
    Shape {
        /// What the decoder said.
        source: DecodeError,
    },
}

/// Most bytes that packed ones may come to: a table of ten thousand routes takes a third of it.
const MAX_DECOMPRESSED_BYTES: u64 = 16 << 20;

impl Compressed {
    /// Codes and compresses a value.
    ///
    /// # Panics
    ///
    /// As [`encode`].
    #[must_use]
    pub fn new<T: Serialize>(value: &T) -> Self {
        let mut encoder = DeflateEncoder::new(Vec::new(), Compression::default());
        encoder.write_all(&encode(value)).expect("writing to memory does not fail");
        let bytes = encoder.finish().expect("writing to memory does not fail");
        Self(Blob::from(&bytes[..]))
    }

    /// The value.
    ///
    /// # Errors
    ///
    /// Fails if the bytes are torn or of another shape.
    pub fn decompress<T: DeserializeOwned>(&self) -> Result<T, DecompressError> {
        let mut bytes = Vec::new();
        let inflated = DeflateDecoder::new(&self.0[..]).take(MAX_DECOMPRESSED_BYTES).read_to_end(&mut bytes);
        inflated.context(InflateSnafu)?;
        decode(&bytes).context(ShapeSnafu)
    }

    /// Compressed bytes.
    #[must_use]
    pub fn size(&self) -> usize {
        self.0.len()
    }
}

/// Shared bytes that are coded as one byte string, not as a list of numbers. They may be the end of a longer run of
/// bytes, which they then keep alive.
#[derive(Clone, Debug)]
pub struct Blob {
    shared: Arc<[u8]>,
    from: usize,
}

impl Blob {
    /// The bytes of a run from an offset on; none where the run is shorter.
    #[must_use]
    pub fn tail(shared: &Arc<[u8]>, from: usize) -> Self {
        Self { shared: shared.clone(), from: from.min(shared.len()) }
    }
}

impl Default for Blob {
    fn default() -> Self {
        Self::from(&[][..])
    }
}

impl Deref for Blob {
    type Target = [u8];

    fn deref(&self) -> &[u8] {
        &self.shared[self.from..]
    }
}

impl Eq for Blob {}

impl From<&[u8]> for Blob {
    fn from(bytes: &[u8]) -> Self {
        Self { shared: bytes.into(), from: 0 }
    }
}

impl PartialEq for Blob {
    fn eq(&self, other: &Self) -> bool {
        self[..] == other[..]
    }
}

impl Serialize for Blob {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_bytes(self)
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
        Ok(Blob::from(bytes))
    }

    fn visit_byte_buf<E: serde::de::Error>(self, bytes: Vec<u8>) -> Result<Blob, E> {
        Ok(Blob::from(&bytes[..]))
    }
}
