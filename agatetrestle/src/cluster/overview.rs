//! The overview of a deployment that the control leader gives to operators.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::fmt;
use std::sync::Arc;

use agatetrestle_config::deployment::Role;
use serde::Deserialize;
use serde::Serialize;

use crate::backends::Instance;
use crate::cluster::message::Member;
use crate::cluster::message::StoreUsage;
use crate::ids::GroupId;
use crate::ids::NodeId;

/// State of the deployment as known to the control leader.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Overview {
    /// The control leader.
    pub leader: NodeId,
    /// Its term.
    pub term: u64,
    /// Version of the current routes, if any are published.
    pub version: Option<u64>,
    /// Voters of the control group.
    pub control: BTreeSet<NodeId>,
    /// Voters of each state group, as its leader last reported.
    pub groups: BTreeMap<GroupId, BTreeSet<NodeId>>,
    /// Voters that each state group needs for the tolerance of the settings.
    #[serde(default)]
    pub required_voters: usize,
    /// The leaders of the state groups.
    pub state_leaders: BTreeSet<NodeId>,
    /// The live processes.
    pub members: Vec<Member>,
    /// VMs that are being drained.
    pub leaving: BTreeSet<Arc<str>>,
    /// Memory usage of each store, as it last reported.
    pub holdings: BTreeMap<NodeId, StoreUsage>,
    /// Backend servers as the platform last listed them.
    pub backends: Vec<Instance>,
}

impl Overview {
    fn status(&self, member: &Member) -> String {
        let status = match member.role {
            Role::Entry if member.ready => "takes requests",
            Role::Entry => "not ready",
            _ if member.node == self.leader || self.state_leaders.contains(&member.node) => "leads",
            _ if self.is_voter(member.node) => "votes",
            _ => "spare",
        };
        match member.group {
            Some(group) => format!("{status} in group {}", group.0),
            None => status.to_owned(),
        }
    }

    fn is_voter(&self, node: NodeId) -> bool {
        self.control.contains(&node) || self.groups.values().any(|voters| voters.contains(&node))
    }
}

/// Prints a line for each process, then one for each service.
impl fmt::Display for Overview {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let version = self.version.map_or_else(|| "none".to_owned(), |version| version.to_string());
        writeln!(f, "routes of version {version}; control leader {} in term {}", self.leader.0, self.term)?;
        for (group, voters) in self.groups.iter().filter(|(_, voters)| voters.len() < self.required_voters) {
            let (count, required) = (voters.len(), self.required_voters);
            writeln!(
                f,
                "group {} has {count} of {required} voters and bears the loss of fewer stores",
                group.0
            )?;
        }
        let mut members: Vec<&Member> = self.members.iter().collect();
        members.sort_by(|a, b| (a.role as u8, &a.vm).cmp(&(b.role as u8, &b.vm)));
        for member in members {
            let role = format!("{:?}", member.role).to_lowercase();
            let mut details = vec![self.status(member)];
            if let Some(usage) = self.holdings.get(&member.node) {
                let StoreUsage { turns, bytes, room, programs } = usage;
                details.push(format!("{turns} turns, {bytes} of {room} bytes, {programs} budgets"));
            }
            if self.leaving.contains(&member.vm) {
                details.push("to be emptied".into());
            }
            writeln!(f, "{role:<8} {:<18} {:<8} {}", member.vm, member.zone, details.join("; "))?;
        }
        let mut services: BTreeMap<&str, (usize, usize)> = BTreeMap::new();
        for backend in &self.backends {
            let (total, leaving) = services.entry(&backend.service).or_default();
            *total += 1;
            *leaving += usize::from(backend.leaving);
        }
        for (service, (total, leaving)) in services {
            writeln!(f, "service  {service:<18} {total} backend servers, {leaving} of them leaving")?;
        }
        Ok(())
    }
}
