//! Messages about members between nodes and control replicas.

use std::sync::Arc;
use std::time::Duration;

use crate::ids::NodeId;

/// Notice that a VM or backend server is leaving.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LeaveNotice {
    /// Name of the VM or backend server.
    pub name: Arc<str>,
    /// The leaving incarnation; newer ones are live.
    pub incarnation: u64,
}

/// A node's heartbeat.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Heartbeat {
    /// ID of the node.
    pub node: NodeId,
    /// Its VM.
    pub vm: Arc<str>,
    /// Its failure domain.
    pub failure_domain: Arc<str>,
    /// Its region.
    pub region: Arc<str>,
    /// Incarnation of the node, higher after each restart.
    pub incarnation: u64,
    /// Address for callers.
    pub caller_address: Arc<str>,
    /// Address for other nodes.
    pub peer_address: Arc<str>,
    /// Control revision that the node has adopted.
    pub revision: u64,
    /// Whether the node is shutting down.
    pub stopping: bool,
    /// Notices that the node observed itself.
    pub leaving: Vec<LeaveNotice>,
    /// Position of the last digest that the node received from this replica.
    pub position: DigestPosition,
}

/// Position in the change sequence of a control replica's member table.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct DigestPosition {
    /// Epoch of the table, which differs after each restart.
    pub epoch: u64,
    /// Number of the last included change.
    pub sequence: u64,
}

/// State of a node as determined by a control replica.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum MemberState {
    /// Sends heartbeats and is not leaving.
    Live,
    /// Is shutting down.
    Stopping,
    /// Has missed several heartbeats.
    Silent,
    /// Its VM is leaving the deployment.
    Leaving,
}

/// A node in a digest.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct NodeRecord {
    /// The node's last heartbeat, without its notices.
    pub heartbeat: Heartbeat,
    /// State as determined by the control replica.
    pub state: MemberState,
}

/// A control replica's answer to a heartbeat.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Digest {
    /// Current control revision of the replica.
    pub revision: u64,
    /// Lease on the revision, counted from when the heartbeat was sent; zero if the replica can't confirm the revision.
    pub lease: Duration,
    /// Members that changed since the node's position, or all of them; empty if the replica can't confirm its revision.
    pub members: Vec<NodeRecord>,
    /// Leave notices added since the node's position, or all of them.
    pub leaving: Vec<LeaveNotice>,
    /// Whether the digest contains all members and notices.
    pub full: bool,
    /// Position of this digest.
    pub position: DigestPosition,
}
