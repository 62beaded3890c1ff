//! Last known addresses of the other replicas of a group, stored on disk.
//!
//! They let stores elect a leader after a full restart before control is available. A stale address does no harm:
//! a message names its target replica, and any other replica ignores it.

use std::collections::BTreeMap;
use std::fs;
use std::io;
use std::io::Write as _;
use std::net::SocketAddrV4;
use std::path::Path;

use crate::cluster::identity::write_atomically;
use crate::ids::NodeId;

const CONTACTS_FILE: &str = "contacts";

/// Reads the stored addresses; none if there is no file yet. Malformed lines are skipped.
///
/// # Errors
///
/// Fails if the file exists but can't be read.
pub fn load(folder: &Path) -> io::Result<BTreeMap<NodeId, SocketAddrV4>> {
    match fs::read(folder.join(CONTACTS_FILE)) {
        Ok(bytes) => Ok(String::from_utf8_lossy(&bytes).lines().filter_map(parse_line).collect()),
        Err(error) if error.kind() == io::ErrorKind::NotFound => Ok(BTreeMap::new()),
        Err(error) => Err(error),
    }
}

fn parse_line(line: &str) -> Option<(NodeId, SocketAddrV4)> {
    let (node, address) = line.split_once(' ')?;
    Some((NodeId(node.parse().ok()?), address.parse().ok()?))
}

/// Stores the addresses durably; blocks until they are synced to disk.
///
/// # Errors
///
/// Fails if the file can't be written; the previous file then remains.
pub fn save(folder: &Path, contacts: &BTreeMap<NodeId, SocketAddrV4>) -> io::Result<()> {
    let mut lines = Vec::new();
    for (node, address) in contacts {
        writeln!(lines, "{} {address}", node.0)?;
    }
    write_atomically(folder, CONTACTS_FILE, &lines)
}
