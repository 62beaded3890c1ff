//! The number of a process, which tells one life of a disk from the next.
//!
//! A replica that lost its files must not count as the one it was, since it forgot what it acknowledged. So the number
//! stands in a file beside the replica's, and an empty disk gets a new number.

use std::fs;
use std::io;
use std::io::Write as _;
use std::net::Ipv4Addr;
use std::path::Path;

use crate::ids::NodeId;

const FILE: &str = "node-number";
/// Set in drawn numbers, so that none equals the number that a founding member has by its IP.
const DRAWN: u64 = 1 << 62;

/// The number of a founding control member, which the others know by its address alone.
#[must_use]
pub fn founder_id(ip: Ipv4Addr) -> NodeId {
    NodeId(u32::from(ip).into())
}

/// The address behind a founding member's number; none for a drawn number.
#[must_use]
pub fn founder_ip(node: NodeId) -> Option<Ipv4Addr> {
    u32::try_from(node.0).ok().map(Ipv4Addr::from)
}

/// A number that no other process has, from the operating system's randomness.
///
/// # Errors
///
/// Fails if the operating system gives none.
pub fn random_id() -> io::Result<NodeId> {
    let mut bytes = [0; 8];
    io::Read::read_exact(&mut fs::File::open("/dev/urandom")?, &mut bytes)?;
    Ok(NodeId((u64::from_le_bytes(bytes) >> 2) | DRAWN))
}

/// The number kept in a folder, or `fresh` if there is none yet, which then lasts.
///
/// # Errors
///
/// Fails if the folder can't be read or written, or holds what is no number.
pub fn load_or_create(folder: &Path, fresh: NodeId) -> io::Result<NodeId> {
    fs::create_dir_all(folder)?;
    let file = folder.join(FILE);
    match fs::read_to_string(&file) {
        Ok(text) => {
            let number = text.trim().parse();
            number.map(NodeId).map_err(|failure| io::Error::new(io::ErrorKind::InvalidData, failure))
        }
        Err(failure) if failure.kind() == io::ErrorKind::NotFound => {
            write_atomically(folder, FILE, format!("{}\n", fresh.0).as_bytes())?;
            Ok(fresh)
        }
        Err(failure) => Err(failure),
    }
}

/// Writes a file aside, renames it and syncs both, so that a crash leaves the whole file, or the one before.
///
/// # Errors
///
/// Fails if the folder can't be written.
pub(super) fn write_atomically(folder: &Path, name: &str, bytes: &[u8]) -> io::Result<()> {
    let file = folder.join(name);
    let aside = file.with_extension("tmp");
    let mut out = fs::File::create(&aside)?;
    out.write_all(bytes)?;
    out.sync_all()?;
    fs::rename(&aside, file)?;
    fs::File::open(folder)?.sync_all()
}
