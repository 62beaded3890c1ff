//! Node IDs, which are stored with a replica's data.
//!
//! A replica that lost its disk has lost the entries that it acknowledged, so it must not vote under its old ID. The ID is
//! stored beside the replica's files, and an empty disk gets a new one.

use std::fs;
use std::io;
use std::io::Write as _;
use std::net::Ipv4Addr;
use std::path::Path;

use crate::ids::NodeId;

const NODE_ID_FILE: &str = "node-number";
/// Set in random IDs, so that none equals an ID derived from an IPv4 address.
const RANDOM_ID_FLAG: u64 = 1 << 62;

/// The ID of a founding control replica, derived from its address, which is all that the other replicas know of it.
#[must_use]
pub fn founder_id(ip: Ipv4Addr) -> NodeId {
    NodeId(u32::from(ip).into())
}

/// The address from which a founding replica's ID is derived; none for a random ID.
#[must_use]
pub fn founder_ip(node: NodeId) -> Option<Ipv4Addr> {
    u32::try_from(node.0).ok().map(Ipv4Addr::from)
}

/// Generates a unique ID from the random number generator of the operating system.
///
/// # Errors
///
/// Fails if the generator can't be read.
pub fn random_id() -> io::Result<NodeId> {
    let mut bytes = [0; 8];
    io::Read::read_exact(&mut fs::File::open("/dev/urandom")?, &mut bytes)?;
    Ok(NodeId((u64::from_le_bytes(bytes) >> 2) | RANDOM_ID_FLAG))
}

/// The ID of a node.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Identity {
    /// The ID.
    pub node: NodeId,
    /// Whether it was not stored before.
    pub is_new: bool,
}

/// Loads the ID stored in a folder; if there is none yet, stores and returns `new_id`.
///
/// # Errors
///
/// Fails if the folder can't be read or written, or if the stored ID is malformed.
pub fn load_or_create(folder: &Path, new_id: NodeId) -> io::Result<Identity> {
    fs::create_dir_all(folder)?;
    let file = folder.join(NODE_ID_FILE);
    match fs::read_to_string(&file) {
        Ok(text) => {
            let id = text.trim().parse();
            let stored = |id| Identity { node: NodeId(id), is_new: false };
            id.map(stored).map_err(|error| io::Error::new(io::ErrorKind::InvalidData, error))
        }
        Err(error) if error.kind() == io::ErrorKind::NotFound => {
            write_atomically(folder, NODE_ID_FILE, format!("{}\n", new_id.0).as_bytes())?;
            Ok(Identity { node: new_id, is_new: true })
        }
        Err(error) => Err(error),
    }
}

/// Replaces a file by syncing and renaming a temporary one, so that a crash leaves either the new file or the old one.
///
/// # Errors
///
/// Fails if the folder can't be written.
pub(super) fn write_atomically(folder: &Path, name: &str, bytes: &[u8]) -> io::Result<()> {
    let file = folder.join(name);
    let temporary = file.with_extension("tmp");
    let mut output = fs::File::create(&temporary)?;
    output.write_all(bytes)?;
    output.sync_all()?;
    fs::rename(&temporary, file)?;
    fs::File::open(folder)?.sync_all()
}
