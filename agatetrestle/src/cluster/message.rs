//! Messages between processes and control: reports, updates, and requests to the control group.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddrV4;
use std::sync::Arc;

use agatetrestle_config::deployment::Role;
use serde::Deserialize;
use serde::Serialize;

use crate::codec::Compressed;
use crate::control::command::ControlCommand;
use crate::ids::GroupId;
use crate::ids::NodeId;

/// The description of a process that others see.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Member {
    /// ID of the process; it changes when the process loses its disk.
    pub node: NodeId,
    /// Name of its VM.
    pub vm: Arc<str>,
    /// The role that it runs.
    pub role: Role,
    /// Its failure domain.
    pub zone: Arc<str>,
    /// Address for other processes of the deployment.
    pub peer: SocketAddrV4,
    /// Address for callers, on an entry.
    pub callers: Option<SocketAddrV4>,
    /// Whether callers may be sent to it.
    pub ready: bool,
    /// The state group of which a store holds a replica; none for a spare store, which may join any group.
    pub group: Option<GroupId>,
    /// Size and load of an entry; none from other roles and older builds.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub entry: Option<EntryCapacity>,
}

/// Size and load of an entry, by which callers are spread. It changes seldom, since each change is sent to all control
/// replicas.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct EntryCapacity {
    /// Thousandths of a core that the VM has; none if its settings do not tell.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub millicores: Option<u32>,
    /// Memory of the VM in MB.
    pub memory_mb: u32,
    /// Load level from 0 to 3, by the part of its limits that it uses.
    #[serde(default)]
    pub load: u8,
}

impl Member {
    /// Whether it runs a replica of a group, so that all processes need to know it. Entries start and stop too often for
    /// that, and only control replicas give their addresses to callers.
    #[must_use]
    pub fn is_replica(&self) -> bool {
        self.role != Role::Entry
    }
}

/// The versions that a process holds; a list is sent once its current version differs.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct KnownVersions {
    /// Revision at which the routes were last changed.
    pub revision: u64,
    /// Version of the list of backend servers.
    pub backends: ListVersion,
    /// Version of the list of members.
    pub members: ListVersion,
}

/// Version of a list that control leaders maintain, ordered by term, then by count.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct ListVersion {
    /// Term of the leader.
    pub term: u64,
    /// Number of the list; it increases across terms too.
    pub count: u64,
}

/// Memory usage of a store.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct StoreUsage {
    /// Stored turns that programs can continue from.
    pub turns: usize,
    /// Bytes that the turns use.
    pub bytes: usize,
    /// Capacity for turns, in bytes, besides what their programs use.
    pub room: usize,
    /// Programs with a budget.
    pub programs: usize,
}

/// The current status of a process, as it reports it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct NodeStatus {
    /// Its public description.
    pub member: Member,
    /// Voters of the state group that this store leads; none unless it leads one.
    pub voters: Option<BTreeSet<NodeId>>,
    /// Memory usage, from a store.
    pub holdings: Option<StoreUsage>,
}

impl From<Member> for NodeStatus {
    fn from(member: Member) -> Self {
        Self { member, voters: None, holdings: None }
    }
}

/// The entries that report to a relay, as the relay passes them on to the leader.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RelayedMembers {
    /// Version of the list, counted by the relay.
    pub version: u64,
    /// The list, unless the leader already has this version.
    pub members: Option<Vec<Member>>,
}

/// What a report asks of the control replica that receives it.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub enum ReportTarget {
    /// To answer if it is the leader, from a process that can't use relays.
    #[default]
    Leader,
    /// To answer if it is the leader, or name a relay other than `avoid`.
    LeaderOrRelay {
        /// A relay that the process could not use.
        avoid: Option<SocketAddrV4>,
    },
    /// To answer as a relay.
    Relay,
}

/// A report of a process to control.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Report {
    /// Current status of the process.
    #[serde(rename = "told")]
    pub introduction: NodeStatus,
    /// The versions that it holds.
    pub known: KnownVersions,
    /// Time for which the answer may be delayed until there is a change.
    #[serde(rename = "patience")]
    pub long_poll_ms: u32,
    /// What the report asks for. A process of an older build asks for the leader.
    #[serde(default)]
    pub target: ReportTarget,
    /// The entries that report to this process, if it is a control replica.
    #[serde(default)]
    pub relayed: Option<RelayedMembers>,
}

/// A control replica's answer to a report.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Update {
    /// The control leader with its address, if known.
    pub leader: Option<(NodeId, SocketAddrV4)>,
    /// Whether the update is current: a quorum confirmed the leader after the sender, or the sender's own leader
    /// [`Update::age_ms`] earlier, received the report.
    pub confirmed: bool,
    /// Age of the update, if a relay sent it.
    #[serde(default)]
    pub age_ms: u32,
    /// The relay that the process should report to instead.
    #[serde(default)]
    pub relay: Option<SocketAddrV4>,
    /// Version of [`Report::relayed`] that the leader has; none if it has no list from the process.
    #[serde(default)]
    pub relayed_version: Option<u64>,
    /// The control replicas with their addresses.
    pub control: BTreeMap<NodeId, SocketAddrV4>,
    /// Revision of the control group.
    pub revision: u64,
    /// The encoded [`crate::control::command::Document`] of routes, if its revision is newer than the reported one.
    pub routes: Option<(u64, Compressed)>,
    /// An encoded [`crate::backends::BackendChange`], if the process holds an earlier version of the list.
    pub backends: Option<(ListVersion, Compressed)>,
    /// The encoded list of each [`Member`] visible to a process of an older build, if it holds another version.
    pub members: Option<(ListVersion, Compressed)>,
    /// An encoded [`crate::cluster::versioned::MemberChange`], if the process holds an earlier version of the list.
    #[serde(default)]
    pub member_change: Option<(ListVersion, Compressed)>,
    /// Number of state groups; 0 before they are created.
    pub groups: usize,
    /// The initial voters of each state group, for a store that is not ready yet.
    pub founding: Vec<BTreeSet<NodeId>>,
    /// VMs that are being drained.
    pub leaving: BTreeSet<Arc<str>>,
}

/// A request to the control group.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum ControlRequest {
    /// Commit a command.
    Command(ControlCommand),
    /// Read the current routes, confirmed by a quorum.
    Routes,
    /// Read the drain status of a VM.
    Emptying(Arc<str>),
    /// Read the overview of the deployment, confirmed by a quorum.
    Overview,
    /// Read the addresses of the control replicas, as any of them knows them.
    Addresses,
}

/// Progress of draining a store's VM.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum DrainStatus {
    /// There is no such store.
    Unknown,
    /// Draining would leave too few stores.
    TooFew,
    /// No drain was requested.
    NotAsked,
    /// The store is still a voter of a group, or a group has too few voters.
    Running,
    /// No group needs the VM.
    Done,
}
