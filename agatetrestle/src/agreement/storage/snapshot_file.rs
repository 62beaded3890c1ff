//! Format of the snapshot file.

use bytes::Bytes;

use crate::agreement::Snapshot;
use crate::agreement::coding;
use crate::agreement::message::Position;
use crate::agreement::storage::error::Corruption;
use crate::agreement::storage::frame::ByteReader;
use crate::ids::GroupId;

const SNAPSHOT_MAGIC: &[u8; 8] = b"AGTRSNP\n";

const SNAPSHOT_VERSION: u32 = 1;

const CHECKSUM_BYTES: usize = 4;

/// Returns the header and the checksum, which are written before and after the snapshot's data. The data is large
/// and is not copied.
pub(super) fn encode_framing(group: GroupId, snapshot: &Snapshot) -> (Vec<u8>, [u8; CHECKSUM_BYTES]) {
    let mut header = SNAPSHOT_MAGIC.to_vec();
    header.extend_from_slice(&SNAPSHOT_VERSION.to_le_bytes());
    header.extend_from_slice(&group.0.to_le_bytes());
    header.extend_from_slice(&snapshot.position.term.to_le_bytes());
    header.extend_from_slice(&snapshot.position.index.to_le_bytes());
    header.extend_from_slice(&coding::snapshot_header(&snapshot.replicas));
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(&header);
    hasher.update(&snapshot.data);
    (header, hasher.finalize().to_le_bytes())
}

pub(super) fn decode(group: GroupId, bytes: &Bytes) -> Result<Snapshot, Corruption> {
    let length = bytes.len().checked_sub(CHECKSUM_BYTES).ok_or(Corruption::Truncated)?;
    let (content, checksum) = bytes.split_at(length);
    let mut reader = ByteReader { bytes: content };
    let magic = reader.take(SNAPSHOT_MAGIC.len()).ok_or(Corruption::Truncated)?;
    let version = reader.u32().ok_or(Corruption::Truncated)?;
    if magic != SNAPSHOT_MAGIC {
        return Err(Corruption::Magic);
    }
    if version != SNAPSHOT_VERSION {
        return Err(Corruption::UnknownVersion { version });
    }
    if checksum != crc32fast::hash(content).to_le_bytes() {
        return Err(Corruption::Checksum);
    }
    let found_group = GroupId(reader.u32().ok_or(Corruption::Truncated)?);
    if found_group != group {
        return Err(Corruption::WrongGroup { group: found_group });
    }
    let position = Position {
        term: reader.u64().ok_or(Corruption::Truncated)?,
        index: reader.u64().ok_or(Corruption::Truncated)?,
    };
    coding::decode_snapshot(position, &bytes.slice_ref(reader.bytes))
        .map_err(|source| Corruption::Replicas { source })
}
