//! The reports of a process to control, the updates that answer them, and requests to the control group.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddrV4;
use std::sync::Arc;

use agatetrestle_config::deployment::Role;
use serde::Deserialize;
use serde::Serialize;

use crate::codec::Packed;
use crate::control::command::ControlCommand;
use crate::ids::GroupId;
use crate::ids::NodeId;

/// A process as others know it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Member {
    /// The process; a process that lost its disk comes back under another number.
    pub node: NodeId,
    /// Name of its VM.
    pub vm: Arc<str>,
    /// What it does.
    pub role: Role,
    /// Its failure domain.
    pub zone: Arc<str>,
    /// Where our own processes reach it.
    pub peer: SocketAddrV4,
    /// Where callers reach it, on an entry.
    pub callers: Option<SocketAddrV4>,
    /// Whether callers may be sent to it.
    pub ready: bool,
    /// The state group of which a store holds a replica; none for a spare one, which any group may take in.
    pub group: Option<GroupId>,
}

/// The editions that a process holds; a part is sent again once the current edition differs.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct KnownVersions {
    /// Revision of the control group as of the table of routes.
    pub revision: u64,
    /// Version of the list of backend servers.
    pub backends: ListVersion,
    /// Version of the list of members.
    pub members: ListVersion,
}

/// Number of a list that a control leader keeps: its term and a count within it.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct ListVersion {
    /// Term of the leader.
    pub term: u64,
    /// Counts the changes in that term.
    pub count: u64,
}

/// What a store holds.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct StoreUsage {
    /// Turns that programs may go on from.
    pub turns: usize,
    /// Bytes that they take.
    pub bytes: usize,
    /// Bytes that they may take.
    pub room: usize,
    /// Programs with a budget.
    pub programs: usize,
}

/// The present state of a process, as it reports it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct NodeStatus {
    /// The process.
    pub member: Member,
    /// Who takes part in the state group of a store, from its leader.
    pub voters: Option<BTreeSet<NodeId>>,
    /// What a store holds.
    pub holdings: Option<StoreUsage>,
}

impl From<Member> for NodeStatus {
    fn from(member: Member) -> Self {
        Self { member, voters: None, holdings: None }
    }
}

/// What a process reports.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Report {
    /// Of itself.
    #[serde(rename = "told")]
    pub introduction: NodeStatus,
    /// The editions that it holds.
    pub known: KnownVersions,
    /// Milliseconds for which the call may be held.
    #[serde(rename = "patience")]
    pub long_poll_ms: u32,
}

/// What a control replica answers.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Update {
    /// The control leader with its address, if known.
    pub leader: Option<(NodeId, SocketAddrV4)>,
    /// Whether this comes from a leader that proved itself after the report came.
    pub confirmed: bool,
    /// The control replicas with their addresses.
    pub control: BTreeMap<NodeId, SocketAddrV4>,
    /// Revision of the control group.
    pub revision: u64,
    /// The table of routes, a [`crate::control::command::Document`], if its revision is newer than what the process knows.
    pub routes: Option<(u64, Packed)>,
    /// How the list of backend servers changed, a [`crate::cluster::backends::BackendChange`], if the process knows another
    /// edition.
    pub backends: Option<(ListVersion, Packed)>,
    /// The members that the process has to do with, a list of [`Member`], if it knows another edition.
    pub members: Option<(ListVersion, Packed)>,
    /// Number of state groups; 0 before they were founded.
    pub groups: usize,
    /// The first voters of each state group, for a store that is not opened yet.
    pub founding: Vec<BTreeSet<NodeId>>,
    /// VMs that are to be emptied.
    pub leaving: BTreeSet<Arc<str>>,
}

/// A request to the control group.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum ControlRequest {
    /// Commit a command.
    Command(ControlCommand),
    /// Tell the table of routes in force, confirmed with a quorum.
    Routes,
    /// How far the emptying of a VM is.
    Emptying(Arc<str>),
    /// Tell an operator what the leader knows, confirmed with a quorum.
    Overview,
}

/// How far the emptying of a store's VM is.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum DrainStatus {
    /// No such store is known.
    Unknown,
    /// Too few stores would be left.
    TooFew,
    /// It was not asked for.
    NotAsked,
    /// Under way.
    Running,
    /// Nothing depends on the VM any more.
    Done,
}
