//! Which processes are live, from their reports and from those that relays pass on.
//!
//! Pure: time comes in as an argument.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddrV4;
use std::time::Duration;

use agatetrestle_config::deployment::Role;

use crate::clock::Timestamp;
use crate::cluster::message::Member;
use crate::cluster::message::NodeStatus;
use crate::cluster::message::RelayedMembers;
use crate::ids::NodeId;

/// Time without a report after which a member counts as failed. It covers two reporting intervals; a member that was removed
/// by mistake is added back by its next report.
pub const FAILURE_DETECTION_TIMEOUT: Duration = Duration::from_millis(1_200);
/// Time without a report of a relay after which the members that it passed on count as failed. Within it those that are live
/// find out that the relay is lost and report elsewhere.
pub const RELAY_LOSS_TIMEOUT: Duration = Duration::from_secs(2);
/// Time for which a new leader retains the members that it knew as a follower, until they have reported to it.
const FAILOVER_GRACE_PERIOD: Duration = Duration::from_secs(3);

#[derive(Debug)]
struct Reporter {
    status: NodeStatus,
    expires_at: Timestamp,
}

#[derive(Debug)]
struct RelayedList {
    version: u64,
    members: Vec<Member>,
    expires_at: Timestamp,
}

/// The live processes as known to one control replica.
#[derive(Debug, Default)]
pub struct Liveness {
    /// Processes that report to this replica.
    reporters: BTreeMap<NodeId, Reporter>,
    /// Processes that report to a relay, by the relay.
    relayed: BTreeMap<NodeId, RelayedList>,
    /// Members that a new leader knew as a follower.
    inherited: Vec<Member>,
    inherited_until: Timestamp,
}

impl Liveness {
    /// Records a report. Returns whether the members may have changed.
    pub fn record(&mut self, now: Timestamp, status: &NodeStatus) -> bool {
        let member = &status.member;
        let reporter = Reporter { status: status.clone(), expires_at: now + FAILURE_DETECTION_TIMEOUT };
        if let Some(known) = self.reporters.get_mut(&member.node) {
            let changed = known.status.member != *member;
            *known = reporter;
            return changed;
        }
        // A process that lost its disk has a new ID at the same address.
        self.reporters.retain(|_, other| other.status.member.peer != member.peer);
        self.reporters.insert(member.node, reporter);
        true
    }

    /// Records what a relay passes on. Returns whether the members may have changed.
    pub fn record_relayed(&mut self, now: Timestamp, relay: NodeId, relayed: &RelayedMembers) -> bool {
        let expires_at = now + RELAY_LOSS_TIMEOUT;
        match (&relayed.members, self.relayed.get_mut(&relay)) {
            (None, Some(known)) if known.version == relayed.version => {
                known.expires_at = expires_at;
                false
            }
            (None, _) => false,
            (Some(members), _) => {
                let list = RelayedList { version: relayed.version, members: members.clone(), expires_at };
                self.relayed.insert(relay, list);
                true
            }
        }
    }

    /// Version of the list last received from a relay.
    #[must_use]
    pub fn relayed_version(&self, relay: NodeId) -> Option<u64> {
        self.relayed.get(&relay).map(|list| list.version)
    }

    /// Keeps the members that a new leader knew as a follower for [`FAILOVER_GRACE_PERIOD`].
    pub fn inherit(&mut self, now: Timestamp, members: Vec<Member>) {
        self.inherited = members;
        self.inherited_until = now + FAILOVER_GRACE_PERIOD;
    }

    /// Forgets what only a leader knows.
    pub fn stop_leading(&mut self) {
        self.relayed.clear();
        self.inherited.clear();
    }

    /// Drops what has expired.
    pub fn expire(&mut self, now: Timestamp) {
        self.reporters.retain(|_, reporter| reporter.expires_at > now);
        self.relayed.retain(|_, list| list.expires_at > now);
        if self.inherited_until <= now {
            self.inherited.clear();
        }
    }

    /// The statuses of the processes that report to this replica.
    pub fn statuses(&self) -> impl Iterator<Item = &NodeStatus> {
        self.reporters.values().map(|reporter| &reporter.status)
    }

    /// The entries that report to this replica.
    #[must_use]
    pub fn reporting_entries(&self) -> Vec<Member> {
        let members = self.statuses().map(|status| &status.member);
        members.filter(|member| member.role == Role::Entry).cloned().collect()
    }

    /// A process that reports to this replica.
    #[must_use]
    pub fn reporter(&self, node: NodeId) -> Option<&Member> {
        self.reporters.get(&node).map(|reporter| &reporter.status.member)
    }

    /// All live members, ordered by node. A process counts with its own report, else with a relay's, else as inherited.
    #[must_use]
    pub fn members(&self) -> Vec<Member> {
        let mut members: BTreeMap<NodeId, &Member> = BTreeMap::new();
        let reported = self.statuses().map(|status| &status.member);
        for member in reported.chain(self.relayed.values().flat_map(|list| &list.members)) {
            members.entry(member.node).or_insert(member);
        }
        let addresses: BTreeSet<SocketAddrV4> = members.values().map(|member| member.peer).collect();
        for member in self.inherited.iter().filter(|member| !addresses.contains(&member.peer)) {
            members.entry(member.node).or_insert(member);
        }
        members.into_values().cloned().collect()
    }
}
