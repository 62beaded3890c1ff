//! Format of a segment: a header, then frames of records.
//!
//! A frame is written and synced before the next one is begun. An invalid frame before a valid one is
//! therefore corruption, while an invalid frame at the end is a torn write that was never acknowledged.
//! The checksum of a frame also covers its position, so payload bytes that look like a frame are not
//! mistaken for one.

use std::sync::Arc;

use crate::agreement::HardState;
use crate::agreement::LearnerAdmission;
use crate::agreement::message::Entry;
use crate::agreement::message::EntryKind;
use crate::agreement::message::Position;
use crate::agreement::storage::error::Corruption;
use crate::ids::GroupId;
use crate::ids::NodeId;

const SEGMENT_MAGIC: &[u8; 8] = b"AGTRLOG\n";

const SEGMENT_VERSION: u32 = 1;

/// Size of a segment header: magic, version, group, sequence number, checksum.
pub(super) const HEADER_BYTES: usize = 8 + 4 + 4 + 8 + 4;

/// Size of a frame header: length and checksum.
pub(super) const FRAME_HEADER_BYTES: usize = 4 + 4;

/// Size of the first frame of a segment: a frame header and one hard state.
pub(super) const FIRST_FRAME_BYTES: usize = FRAME_HEADER_BYTES + 1 + 8 + 8 + 8 + 8;

const HARD_STATE_TAG: u8 = 1;
const TRUNCATE_TAG: u8 = 2;
const ENTRY_TAG: u8 = 3;

#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) enum Record {
    HardState(HardState),
    Truncate(u64),
    Entry(Entry),
}

pub(super) fn encode_header(group: GroupId, sequence: u64) -> Vec<u8> {
    let mut buf = Vec::with_capacity(HEADER_BYTES);
    buf.extend_from_slice(SEGMENT_MAGIC);
    buf.extend_from_slice(&SEGMENT_VERSION.to_le_bytes());
    buf.extend_from_slice(&group.0.to_le_bytes());
    buf.extend_from_slice(&sequence.to_le_bytes());
    let checksum = crc32fast::hash(&buf);
    buf.extend_from_slice(&checksum.to_le_bytes());
    buf
}

pub(super) fn check_header(bytes: &[u8], group: GroupId, sequence: u64) -> Result<(), Corruption> {
    let mut reader = ByteReader { bytes };
    let magic = reader.take(SEGMENT_MAGIC.len()).ok_or(Corruption::Truncated)?;
    let version = reader.u32().ok_or(Corruption::Truncated)?;
    let found_group = GroupId(reader.u32().ok_or(Corruption::Truncated)?);
    let found_sequence = reader.u64().ok_or(Corruption::Truncated)?;
    let checksum = reader.u32().ok_or(Corruption::Truncated)?;
    if magic != SEGMENT_MAGIC {
        return Err(Corruption::Magic);
    }
    if version != SEGMENT_VERSION {
        return Err(Corruption::UnknownVersion { version });
    }
    if checksum != crc32fast::hash(&bytes[..HEADER_BYTES - 4]) || found_sequence != sequence {
        return Err(Corruption::Checksum);
    }
    if found_group != group {
        return Err(Corruption::WrongGroup { group: found_group });
    }
    Ok(())
}

/// Encodes the records of one frame.
#[derive(Debug)]
pub(super) struct FrameBuffer {
    bytes: Vec<u8>,
}

impl FrameBuffer {
    pub(super) fn new() -> Self {
        Self { bytes: vec![0; FRAME_HEADER_BYTES] }
    }

    pub(super) fn is_empty(&self) -> bool {
        self.bytes.len() == FRAME_HEADER_BYTES
    }

    pub(super) fn len(&self) -> usize {
        self.bytes.len()
    }

    pub(super) fn push_hard_state(&mut self, state: HardState) {
        self.bytes.push(HARD_STATE_TAG);
        self.bytes.extend_from_slice(&state.term.to_le_bytes());
        self.bytes.extend_from_slice(&state.vote.unwrap_or_default().0.to_le_bytes());
        let admission = state.without_vote.unwrap_or_default();
        self.bytes.extend_from_slice(&admission.term.to_le_bytes());
        self.bytes.extend_from_slice(&admission.round.to_le_bytes());
    }

    pub(super) fn push_truncate(&mut self, index: u64) {
        self.bytes.push(TRUNCATE_TAG);
        self.bytes.extend_from_slice(&index.to_le_bytes());
    }

    pub(super) fn push_entry(&mut self, entry: &Entry) {
        self.bytes.push(ENTRY_TAG);
        self.bytes.push(match entry.kind {
            EntryKind::Command => 0,
            EntryKind::NoOperation => 1,
            EntryKind::Replicas => 2,
        });
        self.bytes.extend_from_slice(&entry.position.term.to_le_bytes());
        self.bytes.extend_from_slice(&entry.position.index.to_le_bytes());
        let length = u32::try_from(entry.payload.len()).expect("a payload is smaller than 4 GiB");
        self.bytes.extend_from_slice(&length.to_le_bytes());
        self.bytes.extend_from_slice(&entry.payload);
    }

    /// Returns the bytes of the frame at an offset of a segment.
    pub(super) fn finish(mut self, sequence: u64, offset: usize) -> Vec<u8> {
        let length =
            u32::try_from(self.bytes.len() - FRAME_HEADER_BYTES).expect("a batch is smaller than 4 GiB");
        let checksum = frame_checksum(sequence, offset, &self.bytes[FRAME_HEADER_BYTES..]);
        self.bytes[..4].copy_from_slice(&length.to_le_bytes());
        self.bytes[4..FRAME_HEADER_BYTES].copy_from_slice(&checksum.to_le_bytes());
        self.bytes
    }
}

/// Returns the records of the frame at an offset and the offset of its end, or `None` if it is invalid.
pub(super) fn read_frame(bytes: &[u8], sequence: u64, offset: usize) -> Option<(&[u8], usize)> {
    let mut reader = ByteReader { bytes: bytes.get(offset..)? };
    let length = usize::try_from(reader.u32()?).ok()?;
    let checksum = reader.u32()?;
    let records = reader.take(length)?;
    let valid = length > 0 && checksum == frame_checksum(sequence, offset, records);
    valid.then_some((records, offset + FRAME_HEADER_BYTES + length))
}

/// Returns whether a valid frame starts anywhere after an offset.
pub(super) fn has_frame_after(bytes: &[u8], sequence: u64, offset: usize) -> bool {
    (offset + 1..bytes.len()).any(|at| {
        let kind = bytes.get(at + FRAME_HEADER_BYTES);
        let plausible = kind.is_some_and(|kind| (HARD_STATE_TAG..=ENTRY_TAG).contains(kind));
        plausible && read_frame(bytes, sequence, at).is_some()
    })
}

pub(super) fn decode_records(bytes: &[u8]) -> Result<Vec<Record>, Corruption> {
    let mut reader = ByteReader { bytes };
    let mut records = Vec::new();
    while !reader.bytes.is_empty() {
        records.push(reader.record().ok_or(Corruption::MalformedRecord)?);
    }
    Ok(records)
}

fn frame_checksum(sequence: u64, offset: usize, records: &[u8]) -> u32 {
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(&sequence.to_le_bytes());
    hasher.update(&(offset as u64).to_le_bytes());
    hasher.update(records);
    hasher.finalize()
}

/// Cursor over encoded bytes; a read past the end returns `None`.
pub(super) struct ByteReader<'a> {
    pub(super) bytes: &'a [u8],
}

impl<'a> ByteReader<'a> {
    pub(super) fn take(&mut self, length: usize) -> Option<&'a [u8]> {
        let (taken, rest) = self.bytes.split_at_checked(length)?;
        self.bytes = rest;
        Some(taken)
    }

    pub(super) fn u32(&mut self) -> Option<u32> {
        let (taken, rest) = self.bytes.split_first_chunk()?;
        self.bytes = rest;
        Some(u32::from_le_bytes(*taken))
    }

    pub(super) fn u64(&mut self) -> Option<u64> {
        let (taken, rest) = self.bytes.split_first_chunk()?;
        self.bytes = rest;
        Some(u64::from_le_bytes(*taken))
    }

    fn record(&mut self) -> Option<Record> {
        match self.take(1)?[0] {
            HARD_STATE_TAG => {
                let term = self.u64()?;
                let vote = Some(NodeId(self.u64()?)).filter(|node| node.0 != 0);
                let admission = LearnerAdmission { term: self.u64()?, round: self.u64()? };
                let without_vote = Some(admission).filter(|admission| admission.term != 0);
                Some(Record::HardState(HardState { term, vote, without_vote }))
            }
            TRUNCATE_TAG => Some(Record::Truncate(self.u64()?)),
            ENTRY_TAG => self.entry().map(Record::Entry),
            _ => None,
        }
    }

    fn entry(&mut self) -> Option<Entry> {
        let kind = match self.take(1)?[0] {
            0 => EntryKind::Command,
            1 => EntryKind::NoOperation,
            2 => EntryKind::Replicas,
            _ => return None,
        };
        let position = Position { term: self.u64()?, index: self.u64()? };
        let length = usize::try_from(self.u32()?).ok()?;
        let payload = Arc::from(self.take(length)?);
        Some(Entry { position, kind, payload })
    }
}
