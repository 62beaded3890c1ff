//! What nodes and control replicas tell each other about members.

use std::sync::Arc;
use std::time::Duration;

use crate::ids::NodeId;

/// A sign that a VM or backend server is leaving.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LeaveNotice {
    /// Name of the VM or backend server.
    pub name: Arc<str>,
    /// Incarnation that leaves; a newer one is live again.
    pub incarnation: u64,
}

/// A node's heartbeat.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Heartbeat {
    /// The node.
    pub node: NodeId,
    /// Its VM.
    pub vm: Arc<str>,
    /// Its failure domain.
    pub failure_domain: Arc<str>,
    /// Its region.
    pub region: Arc<str>,
    /// Higher after each restart.
    pub incarnation: u64,
    /// Where callers reach it.
    pub caller_address: Arc<str>,
    /// Where other nodes reach it.
    pub peer_address: Arc<str>,
    /// Newest control revision in force on it.
    pub revision: u64,
    /// Whether a planned stop is under way.
    pub stopping: bool,
    /// Notices that the node saw itself.
    pub leaving: Vec<LeaveNotice>,
    /// The newest change that the receiver told the sender.
    pub position: DigestPosition,
}

/// How far a control replica has told a node of changes among the members.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct DigestPosition {
    /// Epoch of the replica's table; another one after each restart.
    pub epoch: u64,
    /// Counts the changes of that table.
    pub sequence: u64,
}

/// How a control replica judges a node.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum MemberState {
    /// Heard from lately.
    Live,
    /// A planned stop is under way.
    Stopping,
    /// Not heard from for several heartbeats.
    Silent,
    /// Its VM is leaving.
    Leaving,
}

/// A node in a digest.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct NodeRecord {
    /// The node's last heartbeat, without its signs.
    pub heartbeat: Heartbeat,
    /// What the control replica makes of it.
    pub state: MemberState,
}

/// A control replica's answer to a heartbeat.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Digest {
    /// Newest control revision on the replica.
    pub revision: u64,
    /// How long the node may rely on the revision, from when it sent the heartbeat; zero where the
    /// replica can't confirm it.
    pub lease: Duration,
    /// Members that changed since the node was last told, or all; none from a replica that can't confirm.
    pub members: Vec<NodeRecord>,
    /// Leaving signs likewise.
    pub leaving: Vec<LeaveNotice>,
    /// Whether these are all members and signs.
    pub full: bool,
    /// How far this digest tells.
    pub position: DigestPosition,
}
