//! Encodes commands, replies and snapshots as CBOR, which is self-describing, so that newer builds can read what older ones
//! wrote; see docs/design/001-replicated-log-and-groups.md.

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

/// The bytes are not a valid encoding of the expected type.
#[derive(Debug, Snafu)]
#[snafu(display("the bytes can't be decoded: {source}"))]
pub struct DecodeError {
    source: ciborium::de::Error<std::io::Error>,
}

/// Encodes a value.
///
/// # Panics
///
/// Never for the types of this crate: encoding them into memory can't fail.
#[must_use]
pub fn encode<T: Serialize + ?Sized>(value: &T) -> Vec<u8> {
    encode_with_capacity(value, 0)
}

/// Encodes a large value into a buffer of exactly its size. A buffer that grows would take up to three times the memory.
///
/// # Panics
///
/// As [`encode`].
#[must_use]
pub fn encode_large<T: Serialize>(value: &T) -> Vec<u8> {
    let mut length = ByteCounter(0);
    ciborium::into_writer(value, &mut length).expect("counting does not fail");
    let mut buf = Vec::with_capacity(length.0);
    ciborium::into_writer(value, &mut buf).expect("writing to memory does not fail");
    buf
}

/// Counts the bytes written to it.
struct ByteCounter(usize);

impl std::io::Write for ByteCounter {
    fn write(&mut self, buf: &[u8]) -> std::io::Result<usize> {
        self.0 += buf.len();
        Ok(buf.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

/// Encodes a value into a buffer with this initial capacity, so that the buffer need not grow.
///
/// # Panics
///
/// As [`encode`].
#[must_use]
pub fn encode_with_capacity<T: Serialize + ?Sized>(value: &T, capacity: usize) -> Vec<u8> {
    let mut buf = Vec::with_capacity(capacity);
    append(&mut buf, value);
    buf
}

/// Appends an encoded value to a buffer.
///
/// # Panics
///
/// As [`encode`].
pub fn append<T: Serialize + ?Sized>(buf: &mut Vec<u8>, value: &T) {
    let (length, capacity) = (buf.len(), buf.capacity());
    ciborium::into_writer(value, &mut *buf).expect("writing to memory does not fail");
    count(|counts| {
        counts.encoded_bytes += buf.len() - length;
        counts.grown_buffers += usize::from(buf.capacity() > capacity);
    });
}

/// Decodes a value.
///
/// # Errors
///
/// Fails if the bytes are truncated or encode another type.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, DecodeError> {
    count(|counts| counts.decoded_bytes += bytes.len());
    ciborium::from_reader(bytes).map_err(|source| DecodeError { source })
}

/// An encoded and compressed value. Lists for hundreds of processes are compressed once and shared by all responses.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(transparent)]
pub struct Compressed(Blob);

/// Why a compressed value can't be decoded.
#[derive(Debug, Snafu)]
pub enum DecompressError {
    /// The bytes are not compressed data.
    #[snafu(display("failed to decompress: {source}"))]
    Inflate {
        /// Error of the decompressor.
        source: std::io::Error,
    },
    /// The decompressed bytes encode another type, or exceed the size limit.
    #[snafu(display("{source}"))]
    InvalidValue {
        /// Error of the decoder.
        source: DecodeError,
    },
}

/// Limits what a small message can expand to.
const MAX_DECOMPRESSED_BYTES: u64 = 16 << 20;

impl Compressed {
    /// Encodes and compresses a value.
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

    /// Decompresses and decodes the value.
    ///
    /// # Errors
    ///
    /// Fails if the bytes are damaged or encode another type.
    pub fn decompress<T: DeserializeOwned>(&self) -> Result<T, DecompressError> {
        let mut bytes = Vec::new();
        let inflated = DeflateDecoder::new(&self.0[..]).take(MAX_DECOMPRESSED_BYTES).read_to_end(&mut bytes);
        inflated.context(InflateSnafu)?;
        decode(&bytes).context(InvalidValueSnafu)
    }

    /// Size of the compressed bytes.
    #[must_use]
    pub fn size(&self) -> usize {
        self.0.len()
    }
}

/// Shared bytes that are encoded as one byte string, not as a list of numbers. They may be the tail of a larger allocation,
/// which they keep alive.
#[derive(Clone, Debug)]
pub struct Blob {
    shared: Arc<[u8]>,
    offset: usize,
}

impl Blob {
    /// The bytes from an offset to the end; empty if the offset lies beyond the end.
    #[must_use]
    pub fn tail(shared: &Arc<[u8]>, offset: usize) -> Self {
        Self { shared: shared.clone(), offset: offset.min(shared.len()) }
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
        &self.shared[self.offset..]
    }
}

impl Eq for Blob {}

impl From<&[u8]> for Blob {
    fn from(bytes: &[u8]) -> Self {
        Self { shared: bytes.into(), offset: 0 }
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

/// Bytes that passed the codec on one thread, counted only in tests.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(crate) struct CodecCounts {
    /// Bytes that were encoded.
    pub(crate) encoded_bytes: usize,
    /// Buffers that were too small for what was encoded into them.
    pub(crate) grown_buffers: usize,
    /// Bytes that were decoded.
    pub(crate) decoded_bytes: usize,
}

#[cfg(test)]
thread_local! {
    static COUNTS: std::cell::Cell<CodecCounts> = std::cell::Cell::default();
}

/// The counts of this thread so far.
#[cfg(test)]
pub(crate) fn codec_counts() -> CodecCounts {
    COUNTS.get()
}

#[cfg(test)]
fn count(update: impl FnOnce(&mut CodecCounts)) {
    let mut counts = COUNTS.get();
    update(&mut counts);
    COUNTS.set(counts);
}

/// Counts only in tests.
#[cfg(not(test))]
fn count(_update: impl FnOnce(&mut CodecCounts)) {}
