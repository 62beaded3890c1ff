//! Where the other replicas of a group were last, kept on disk.
//!
//! After a restart of all machines control is back last, since its VMs have the least processor time. Stores that know
//! each other elect their leader meanwhile before control has named them. What the file says is a hint:
//! a message names the replica that it is for, and any other ignores it.

use std::collections::BTreeMap;
use std::fs;
use std::io;
use std::io::Write as _;
use std::net::SocketAddrV4;
use std::path::Path;

use crate::cluster::identity::write_atomically;
use crate::ids::NodeId;

const FILE: &str = "contacts";

/// The replicas kept in a folder; none if there is no file yet. A line that can't be read names nobody.
///
/// # Errors
///
/// Fails if the file is there and can't be read.
pub fn load(folder: &Path) -> io::Result<BTreeMap<NodeId, SocketAddrV4>> {
    match fs::read(folder.join(FILE)) {
        Ok(bytes) => Ok(String::from_utf8_lossy(&bytes).lines().filter_map(read_line).collect()),
        Err(failure) if failure.kind() == io::ErrorKind::NotFound => Ok(BTreeMap::new()),
        Err(failure) => Err(failure),
    }
}

fn read_line(line: &str) -> Option<(NodeId, SocketAddrV4)> {
    let (node, address) = line.split_once(' ')?;
    Some((NodeId(node.parse().ok()?), address.parse().ok()?))
}

/// Keeps the replicas; blocks until they are on the disk.
///
/// # Errors
///
/// Fails if the file can't be written; the one before then stands.
pub fn save(folder: &Path, contacts: &BTreeMap<NodeId, SocketAddrV4>) -> io::Result<()> {
    let mut lines = Vec::new();
    for (node, address) in contacts {
        writeln!(lines, "{} {address}", node.0)?;
    }
    write_atomically(folder, FILE, &lines)
}
