//! A whole deployment as its control leader sees it, for operators.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::fmt;
use std::sync::Arc;

use agatetrestle_config::deployment::Role;
use serde::Deserialize;
use serde::Serialize;

use crate::cluster::message::Member;
use crate::cluster::message::StoreUsage;
use crate::dispatch::Instance;
use crate::ids::GroupId;
use crate::ids::NodeId;

/// What the control leader knows, confirmed with a quorum.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Overview {
    /// The control leader.
    pub leader: NodeId,
    /// Its term.
    pub term: u64,
    /// Version of the routes in force; none before the first.
    pub version: Option<u64>,
    /// Voters of the control group.
    pub control: BTreeSet<NodeId>,
    /// Voters of each state group, as its leader last reported.
    pub groups: BTreeMap<GroupId, BTreeSet<NodeId>>,
    /// The leaders of the state groups.
    pub state_leaders: BTreeSet<NodeId>,
    /// Processes that were heard from lately.
    pub members: Vec<Member>,
    /// VMs that are to be emptied.
    pub leaving: BTreeSet<Arc<str>>,
    /// What each store holds, as it last reported.
    pub holdings: BTreeMap<NodeId, StoreUsage>,
    /// Backend servers as the platform last listed them.
    pub backends: Vec<Instance>,
}

impl Overview {
    fn part(&self, member: &Member) -> String {
        let part = match member.role {
            Role::Entry if member.ready => "takes requests",
            Role::Entry => "not ready",
            _ if member.node == self.leader || self.state_leaders.contains(&member.node) => "leads",
            _ if self.votes(member.node) => "votes",
            _ => "spare",
        };
        match member.group {
            Some(group) => format!("{part} in group {}", group.0),
            None => part.to_owned(),
        }
    }

    fn votes(&self, node: NodeId) -> bool {
        self.control.contains(&node) || self.groups.values().any(|voters| voters.contains(&node))
    }
}

/// A page for people: a line for each process, then one for each service.
impl fmt::Display for Overview {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let version = self.version.map_or_else(|| "none".to_owned(), |version| version.to_string());
        writeln!(f, "routes of version {version}; control leader {} in term {}", self.leader.0, self.term)?;
        let mut members: Vec<&Member> = self.members.iter().collect();
        members.sort_by(|a, b| (a.role as u8, &a.vm).cmp(&(b.role as u8, &b.vm)));
        for member in members {
            let role = format!("{:?}", member.role).to_lowercase();
            let mut state = vec![self.part(member)];
            if let Some(held) = self.holdings.get(&member.node) {
                let StoreUsage { turns, bytes, room, programs } = held;
                state.push(format!("{turns} turns, {bytes} of {room} bytes, {programs} budgets"));
            }
            if self.leaving.contains(&member.vm) {
                state.push("to be emptied".into());
            }
            writeln!(f, "{role:<8} {:<18} {:<8} {}", member.vm, member.zone, state.join("; "))?;
        }
        let mut services: BTreeMap<&str, (usize, usize)> = BTreeMap::new();
        for backend in &self.backends {
            let (all, leaving) = services.entry(&backend.service).or_default();
            *all += 1;
            *leaving += usize::from(backend.leaving);
        }
        for (service, (all, leaving)) in services {
            writeln!(f, "service  {service:<18} {all} backend servers, {leaving} of them leaving")?;
        }
        Ok(())
    }
}
