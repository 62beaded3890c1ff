//! The registry of live members that a control replica maintains from reports, and the updates that answer them.

mod pending;
mod reports;
#[cfg(test)]
mod tests;
mod updates;

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::net::SocketAddrV4;
use std::rc::Rc;
use std::time::Duration;

use agatetrestle_config::deployment::Role;
use log::info;
use smol::Timer;
use smol::channel::Receiver;
use smol::channel::Sender;
use smol::lock::Semaphore;

use crate::backends::Instance;
use crate::clock::Clock;
use crate::cluster::identity::founder_ip;
use crate::cluster::liveness::Liveness;
use crate::cluster::message::DrainStatus;
use crate::cluster::message::Member;
use crate::cluster::message::NodeStatus;
use crate::cluster::message::RelayedMembers;
use crate::cluster::message::Report;
use crate::cluster::overview::Overview;
use crate::cluster::registry::pending::PendingReports;
use crate::cluster::registry::updates::EncodedLists;
use crate::cluster::versioned::Scope;
use crate::cluster::view::ClusterView;
use crate::cluster::voters::Candidate;
use crate::cluster::voters::is_drained;
use crate::control::state::ControlState;
use crate::ids::GroupId;
use crate::ids::NodeId;
use crate::node::group::Group;
use crate::node::links::Links;

/// Delay before a change of the members takes effect, so that changes of many processes at once are sent together.
const MEMBER_BATCH_DELAY: Duration = Duration::from_millis(20);
/// Tracks the live members and delays the answers to reports until there is a change.
pub struct ClusterRegistry {
    own: NodeId,
    own_address: SocketAddrV4,
    peer_port: u16,
    group: Rc<Group<ControlState>>,
    links: Rc<Links>,
    clock: Clock,
    /// Holds the lists, whether this replica maintains or receives them.
    view: Rc<ClusterView>,
    liveness: RefCell<Liveness>,
    /// The entries that report to this replica, as it passes them on.
    relayed: RefCell<RelayedMembers>,
    pending: PendingReports,
    last_led_term: Cell<u64>,
    redirects: Semaphore,
    full_lists: Semaphore,
    encoded: EncodedLists,
    /// Notified when the members may have changed.
    members_changed: (Sender<()>, Receiver<()>),
    /// Requests a report of this replica without delay.
    report_now: RefCell<Option<Rc<dyn Fn()>>>,
}

impl ClusterRegistry {
    /// Creates a registry without members for a control replica.
    #[must_use]
    pub fn new(
        own: &Member,
        group: Rc<Group<ControlState>>,
        links: Rc<Links>,
        clock: Clock,
        view: Rc<ClusterView>,
    ) -> Rc<Self> {
        Rc::new(Self {
            own: own.node,
            own_address: own.peer,
            peer_port: own.peer.port(),
            group,
            links,
            clock,
            view,
            liveness: RefCell::default(),
            relayed: RefCell::new(RelayedMembers { version: 0, members: Some(Vec::new()) }),
            pending: PendingReports::default(),
            last_led_term: Cell::new(0),
            redirects: Semaphore::new(1),
            full_lists: Semaphore::new(updates::MAX_CONCURRENT_FULL_LISTS),
            encoded: EncodedLists::default(),
            members_changed: smol::channel::bounded(1),
            report_now: RefCell::default(),
        })
    }

    /// Sets how to request a report of this replica.
    pub fn set_report_now(&self, report_now: Rc<dyn Fn()>) {
        self.report_now.replace(Some(report_now));
    }

    /// Applies changes of the members in batches, until the task is dropped.
    pub async fn batch_member_changes(&self) {
        while self.members_changed.1.recv().await.is_ok() {
            Timer::after(MEMBER_BATCH_DELAY).await;
            self.update_membership();
        }
    }

    /// Wakes all pending reports so that they check for changes.
    pub fn wake(&self) {
        self.pending.wake();
    }

    /// Wakes the reports that [`ClusterRegistry::wake`] left for later, until the task is dropped.
    pub async fn wake_in_batches(&self) {
        self.pending.wake_in_batches().await;
    }

    /// Removes failed members. Must be called a few times a second.
    pub fn refresh(&self) {
        self.start_term();
        self.update_membership();
        self.pending.forget_cancelled();
    }

    /// Continues the lists in this replica's term when it begins to lead.
    fn start_term(&self) {
        if !self.group.leads() {
            self.liveness.borrow_mut().stop_leading();
            return;
        }
        let term = self.group.term();
        if self.last_led_term.replace(term) == term {
            return;
        }
        info!("This node leads control in term {term}.");
        self.liveness.borrow_mut().inherit(self.clock.now(), self.view.members());
        self.view.member_list().borrow_mut().start_term(term);
        self.view.backends().borrow_mut().start_term(term);
        self.update_membership();
        self.wake();
    }

    /// Replaces the list of backend servers, which the leader has read.
    pub fn set_instances(&self, instances: Vec<Instance>) {
        self.start_term();
        if self.group.leads() && self.view.backends().borrow_mut().replace(self.group.term(), instances) {
            self.wake();
        }
    }

    /// Whether a list of backend servers is known.
    #[must_use]
    pub fn has_instances(&self) -> bool {
        self.view.backends().borrow().is_loaded()
    }

    /// The backend servers as last read by this replica or by the leader it follows.
    #[must_use]
    pub fn instances(&self) -> Vec<Instance> {
        self.view.backends().borrow().visible_items(Scope::All)
    }

    /// The live members.
    #[must_use]
    pub fn members(&self) -> Vec<Member> {
        self.view.members()
    }

    /// Nodes of a role that can be voters.
    #[must_use]
    pub fn candidates(&self, role: Role) -> Vec<Candidate> {
        let leaving = self.group.machine(ControlState::configuration).leaving.clone();
        let candidate = |member: &Member| Candidate {
            node: member.node,
            tie_break: member.node.0,
            zone: member.zone.clone(),
            leaving: leaving.contains_key(&member.vm),
        };
        let members = self.view.member_list().borrow();
        members.items().filter(|member| member.role == role).map(candidate).collect()
    }

    /// Drain status of a store's VM; `min_voters` is the number of voters that each state group needs.
    #[must_use]
    pub fn drain_status(&self, vm: &str, min_voters: usize) -> DrainStatus {
        let leaving = self.group.machine(ControlState::configuration).leaving.clone();
        let requested = leaving.contains_key(vm);
        let stores: Vec<Member> =
            self.members().into_iter().filter(|member| member.role == Role::Store).collect();
        let groups = self.group.machine(|state| state.initial_voters().len());
        if !requested {
            if !stores.iter().any(|store| &*store.vm == vm) {
                return DrainStatus::Unknown;
            }
            let remaining = stores.iter().filter(|other| !leaving.contains_key(&other.vm)).count();
            return if remaining <= min_voters * groups.max(1) {
                DrainStatus::TooFew
            } else {
                DrainStatus::NotAsked
            };
        }
        let others = stores.iter().filter(|store| &*store.vm != vm).map(|store| store.node).collect();
        let liveness = self.liveness.borrow();
        if is_drained(liveness.statuses().filter_map(led_group), groups, &others, min_voters) {
            DrainStatus::Done
        } else {
            DrainStatus::Running
        }
    }

    /// The voters of each state group, as reported by its leader.
    fn state_voters(&self) -> BTreeMap<GroupId, BTreeSet<NodeId>> {
        let liveness = self.liveness.borrow();
        let led_groups = liveness.statuses().filter_map(led_group);
        led_groups.map(|(group, voters)| (group, voters.clone())).collect()
    }

    /// Voters that all state groups together lack, if each needs `required`.
    #[must_use]
    pub fn missing_voters(&self, required: usize) -> usize {
        self.state_voters().values().map(|voters| required.saturating_sub(voters.len())).sum()
    }

    /// The overview of the deployment for operators; each state group needs `required_voters`.
    #[must_use]
    pub fn overview(&self, required_voters: usize) -> Overview {
        let liveness = self.liveness.borrow();
        let leader = |status: &NodeStatus| status.voters.is_some().then_some(status.member.node);
        let state_leaders = liveness.statuses().filter_map(leader).collect();
        let usage = |status: &NodeStatus| Some((status.member.node, status.holdings?));
        let (version, leaving) = self.group.machine(|state| {
            let leaving = state.configuration().leaving.keys().cloned().collect();
            (state.routes().map(|document| document.version), leaving)
        });
        Overview {
            leader: self.own,
            term: self.group.term(),
            version,
            control: self.group.replicas().voters,
            groups: self.state_voters(),
            required_voters,
            state_leaders,
            members: self.members(),
            leaving,
            holdings: liveness.statuses().filter_map(usage).collect(),
            backends: self.instances(),
        }
    }

    fn record(&self, report: &Report) {
        let member = &report.introduction.member;
        if member.is_replica() {
            self.links.add_address(member.node, SocketAddr::V4(member.peer));
        }
        let now = self.clock.now();
        let mut liveness = self.liveness.borrow_mut();
        let mut changed = liveness.record(now, &report.introduction);
        if let Some(relayed) = &report.relayed {
            changed |= liveness.record_relayed(now, member.node, relayed);
        }
        if changed {
            // A full channel means that an update is already requested.
            let _ = self.members_changed.0.try_send(());
        }
    }

    fn update_membership(&self) {
        let mut liveness = self.liveness.borrow_mut();
        liveness.expire(self.clock.now());
        if !self.group.leads() {
            let reporting = liveness.reporting_entries();
            drop(liveness);
            self.update_relayed(reporting);
            return;
        }
        let members = liveness.members();
        drop(liveness);
        if self.view.member_list().borrow_mut().replace(self.group.term(), members) {
            self.wake();
        }
    }

    /// Passes the entries that report to this follower on to the leader, if they changed.
    fn update_relayed(&self, reporting: Vec<Member>) {
        let mut relayed = self.relayed.borrow_mut();
        if relayed.members.as_ref() == Some(&reporting) {
            return;
        }
        *relayed = RelayedMembers { version: relayed.version + 1, members: Some(reporting) };
        drop(relayed);
        if let Some(report_now) = &*self.report_now.borrow() {
            report_now();
        }
    }

    fn leader(&self) -> Option<(NodeId, SocketAddrV4)> {
        let leader = self.group.leader()?;
        Some((leader, self.address(leader)?))
    }

    /// Address of a control replica: from its report, or derived from its ID if it is a founding replica.
    fn address(&self, node: NodeId) -> Option<SocketAddrV4> {
        if node == self.own {
            return Some(self.own_address);
        }
        let liveness = self.liveness.borrow();
        let members = self.view.member_list().borrow();
        let known = liveness.reporter(node).or_else(|| members.get(&node).first());
        let reported = known.map(|member| member.peer);
        reported.or_else(|| founder_ip(node).map(|ip| SocketAddrV4::new(ip, self.peer_port)))
    }

    /// The addresses of the control replicas, as far as this one knows them.
    pub fn control_addresses(&self) -> BTreeMap<NodeId, SocketAddrV4> {
        let voters = self.group.replicas().voters;
        voters.into_iter().filter_map(|node| Some((node, self.address(node)?))).collect()
    }
}

/// The group that a store reported to lead, and its voters.
fn led_group(status: &NodeStatus) -> Option<(GroupId, &BTreeSet<NodeId>)> {
    Some((status.member.group?, status.voters.as_ref()?))
}

/// What the processes of a role see of the members.
fn scope(role: Role) -> Scope {
    if role == Role::Control { Scope::All } else { Scope::Public }
}
