//! Bytes of the snapshot file.

use crate::agreement::Snapshot;
use crate::agreement::coding;
use crate::agreement::message::Position;
use crate::agreement::storage::error::Damage;
use crate::agreement::storage::frame::Reader;
use crate::ids::GroupId;

/// First bytes of a snapshot file.
const MAGIC: &[u8; 8] = b"AGTRSNP\n";

/// Version of the format of snapshot files.
const VERSION: u32 = 1;

/// Bytes of the checksum at the end.
const CHECKSUM_BYTES: usize = 4;

pub(super) fn encode(group: GroupId, snapshot: &Snapshot) -> Vec<u8> {
    let body = coding::encode_snapshot(snapshot);
    let mut buf = Vec::with_capacity(body.len() + 64);
    buf.extend_from_slice(MAGIC);
    buf.extend_from_slice(&VERSION.to_le_bytes());
    buf.extend_from_slice(&group.0.to_le_bytes());
    buf.extend_from_slice(&snapshot.position.term.to_le_bytes());
    buf.extend_from_slice(&snapshot.position.index.to_le_bytes());
    buf.extend_from_slice(&body);
    let checksum = crc32fast::hash(&buf);
    buf.extend_from_slice(&checksum.to_le_bytes());
    buf
}

pub(super) fn decode(group: GroupId, bytes: &[u8]) -> Result<Snapshot, Damage> {
    let length = bytes.len().checked_sub(CHECKSUM_BYTES).ok_or(Damage::Short)?;
    let (content, checksum) = bytes.split_at(length);
    let mut reader = Reader { bytes: content };
    let magic = reader.take(MAGIC.len()).ok_or(Damage::Short)?;
    let version = reader.u32().ok_or(Damage::Short)?;
    if magic != MAGIC {
        return Err(Damage::Magic);
    }
    if version != VERSION {
        return Err(Damage::Version { version });
    }
    if checksum != crc32fast::hash(content).to_le_bytes() {
        return Err(Damage::Checksum);
    }
    let found = GroupId(reader.u32().ok_or(Damage::Short)?);
    if found != group {
        return Err(Damage::Group { group: found });
    }
    let position =
        Position { term: reader.u64().ok_or(Damage::Short)?, index: reader.u64().ok_or(Damage::Short)? };
    coding::decode_snapshot(position, reader.bytes).map_err(|source| Damage::Replicas { source })
}
