//! Bytes of the snapshot file.

use bytes::Bytes;

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

/// What stands before a snapshot's data in its file, and the checksum of both behind it. The data is written from
/// where it is, since a copy of it would be the largest thing in the process.
pub(super) fn frame(group: GroupId, snapshot: &Snapshot) -> (Vec<u8>, [u8; CHECKSUM_BYTES]) {
    let mut head = MAGIC.to_vec();
    head.extend_from_slice(&VERSION.to_le_bytes());
    head.extend_from_slice(&group.0.to_le_bytes());
    head.extend_from_slice(&snapshot.position.term.to_le_bytes());
    head.extend_from_slice(&snapshot.position.index.to_le_bytes());
    head.extend_from_slice(&coding::snapshot_header(&snapshot.replicas));
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(&head);
    hasher.update(&snapshot.data);
    (head, hasher.finalize().to_le_bytes())
}

pub(super) fn decode(group: GroupId, bytes: &Bytes) -> Result<Snapshot, Damage> {
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
    coding::decode_snapshot(position, &bytes.slice_ref(reader.bytes))
        .map_err(|source| Damage::Replicas { source })
}
