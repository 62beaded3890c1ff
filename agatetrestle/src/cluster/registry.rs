//! The registry of live members that a control replica maintains from reports, and the updates that answer them.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::net::SocketAddrV4;
use std::rc::Rc;
use std::time::Duration;

use agatetrestle_config::deployment::Role;
use futures::channel::oneshot;
use log::info;
use smol::Timer;

use crate::clock::Clock;
use crate::clock::Timestamp;
use crate::cluster::backends::VersionedBackends;
use crate::cluster::encoded::EncodedCache;
use crate::cluster::identity::founder_ip;
use crate::cluster::membership::Membership;
use crate::cluster::message::DrainStatus;
use crate::cluster::message::KnownVersions;
use crate::cluster::message::ListVersion;
use crate::cluster::message::Member;
use crate::cluster::message::NodeStatus;
use crate::cluster::message::Report;
use crate::cluster::message::Update;
use crate::cluster::overview::Overview;
use crate::cluster::voters::Candidate;
use crate::control::state::ControlState;
use crate::dispatch::Instance;
use crate::ids::GroupId;
use crate::ids::NodeId;
use crate::node::group::Group;
use crate::node::group::ProposalOutcome;
use crate::node::links::Links;
use crate::node::peer_link::with_deadline;

/// Time without a report after which a member counts as failed. It covers two reporting intervals; a member that was removed
/// by mistake is added back by its next report.
pub const FAILURE_DETECTION_TIMEOUT: Duration = Duration::from_millis(1_200);
/// Time for which a new leader retains the members that it knew as a follower, until they have reported to it.
const FAILOVER_GRACE_PERIOD: Duration = Duration::from_secs(3);
/// Upper bound of the long poll that a report can request.
const MAX_LONG_POLL: Duration = Duration::from_secs(2);
/// Delay of an update that changes only the members, so that changes of many processes at once are sent together.
const MEMBER_BATCH_DELAY: Duration = Duration::from_millis(20);

#[derive(Debug)]
struct TrackedNode {
    status: NodeStatus,
    expires_at: Timestamp,
}

/// Tracks the live members and delays the answers to reports until there is a change.
pub struct ClusterRegistry {
    own: NodeId,
    own_address: SocketAddrV4,
    peer_port: u16,
    group: Rc<Group<ControlState>>,
    links: Rc<Links>,
    clock: Clock,
    tracked: RefCell<BTreeMap<NodeId, TrackedNode>>,
    membership: RefCell<Membership>,
    backends: RefCell<VersionedBackends>,
    waiters: RefCell<Vec<oneshot::Sender<()>>>,
    last_led_term: Cell<u64>,
    encoded: EncodedLists,
}

/// Encoded lists, each shared by all updates that contain it.
#[derive(Default)]
struct EncodedLists {
    routes: EncodedCache<u64>,
    backends: EncodedCache<(ListVersion, ListVersion)>,
    all_members: EncodedCache<ListVersion>,
    replicas: EncodedCache<ListVersion>,
}

impl ClusterRegistry {
    /// Creates a registry without members for a control replica.
    #[must_use]
    pub fn new(own: &Member, group: Rc<Group<ControlState>>, links: Rc<Links>, clock: Clock) -> Rc<Self> {
        Rc::new(Self {
            own: own.node,
            own_address: own.peer,
            peer_port: own.peer.port(),
            group,
            links,
            clock,
            tracked: RefCell::default(),
            membership: RefCell::default(),
            backends: RefCell::default(),
            waiters: RefCell::default(),
            last_led_term: Cell::new(0),
            encoded: EncodedLists::default(),
        })
    }

    /// Answers a report as soon as there is a change for the process, or when the long poll ends. The answer is also delayed
    /// while no leader is known, so that repeated reports do not take processor time from an election.
    pub async fn report(&self, report: Report) -> Update {
        self.record(&report);
        let long_poll = Duration::from_millis(report.long_poll_ms.into()).min(MAX_LONG_POLL);
        let deadline = self.clock.now() + long_poll;
        self.wait_until(deadline, || self.group.leads() || self.group.leader().is_some()).await;
        let update = Update { leader: self.leader(), control: self.control_addresses(), ..Update::default() };
        if !self.group.leads() {
            return update;
        }
        self.wait_until(deadline, || self.has_changes(&report)).await;
        if self.has_only_member_changes(&report) {
            Timer::after(MEMBER_BATCH_DELAY).await;
        }
        if self.group.read_barrier().await != ProposalOutcome::Ready {
            return update;
        }
        self.fill_update(&report, update)
    }

    /// Waits until a condition holds or a deadline passes. The condition is checked after each wakeup.
    async fn wait_until(&self, deadline: Timestamp, condition: impl Fn() -> bool) {
        while !condition() {
            let remaining = deadline.since(self.clock.now());
            let (tx, rx) = oneshot::channel();
            self.waiters.borrow_mut().push(tx);
            if remaining.is_zero() || with_deadline(remaining, rx).await.is_none() {
                return;
            }
        }
    }

    /// Wakes all pending reports so that they check for changes.
    pub fn wake(&self) {
        self.waiters.borrow_mut().clear();
    }

    /// Removes failed members. Must be called a few times a second.
    pub fn refresh(&self) {
        let term = self.group.term();
        if self.group.leads() && self.last_led_term.replace(term) != term {
            info!("This node leads control in term {term}.");
        }
        self.update_membership();
        self.waiters.borrow_mut().retain(|waiter| !waiter.is_canceled());
    }

    /// Adopts the members known to a follower, which are retained for [`FAILOVER_GRACE_PERIOD`] if it becomes leader.
    pub fn adopt_members(&self, members: &[Member]) {
        if self.group.leads() {
            return;
        }
        let expires_at = self.clock.now() + FAILOVER_GRACE_PERIOD;
        let adopted = members.iter().map(|member| {
            let node = TrackedNode { status: member.clone().into(), expires_at };
            (member.node, node)
        });
        self.tracked.replace(adopted.collect());
        self.update_membership();
    }

    /// Replaces the list of backend servers.
    pub fn set_instances(&self, instances: Vec<Instance>) {
        if self.backends.borrow_mut().replace(instances) {
            self.wake();
        }
    }

    /// Discards the list of backend servers, so that no update contains it until it has been read again.
    pub fn clear_instances(&self) {
        self.backends.borrow_mut().clear();
    }

    /// The backend servers as last read by this replica or by the leader it follows.
    #[must_use]
    pub fn instances(&self) -> Rc<Vec<Instance>> {
        self.backends.borrow().list()
    }

    /// The live members.
    #[must_use]
    pub fn members(&self) -> Vec<Member> {
        self.membership.borrow().members().to_vec()
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
        let membership = self.membership.borrow();
        membership.members().iter().filter(|member| member.role == role).map(candidate).collect()
    }

    /// Drain status of a store's VM; `min_voters` is the number of voters that each state group needs.
    #[must_use]
    pub fn drain_status(&self, vm: &str, min_voters: usize) -> DrainStatus {
        let leaving = self.group.machine(ControlState::configuration).leaving.clone();
        let requested = leaving.contains_key(vm);
        let stores: Vec<Member> =
            self.members().into_iter().filter(|member| member.role == Role::Store).collect();
        let Some(store) = stores.iter().find(|member| &*member.vm == vm) else {
            return if requested { DrainStatus::Done } else { DrainStatus::Unknown };
        };
        let groups = self.group.machine(|state| state.initial_voters().len());
        if !requested {
            let remaining = stores.iter().filter(|other| !leaving.contains_key(&other.vm)).count();
            return if remaining <= min_voters * groups.max(1) {
                DrainStatus::TooFew
            } else {
                DrainStatus::NotAsked
            };
        }
        let voters = self.state_voters();
        let independent =
            |voters: &BTreeSet<NodeId>| !voters.contains(&store.node) && voters.len() >= min_voters;
        if voters.len() == groups && voters.values().all(independent) {
            DrainStatus::Done
        } else {
            DrainStatus::Running
        }
    }

    /// The voters of each state group, as reported by its leader.
    fn state_voters(&self) -> BTreeMap<GroupId, BTreeSet<NodeId>> {
        let tracked = self.tracked.borrow();
        let voters = |node: &TrackedNode| Some((node.status.member.group?, node.status.voters.clone()?));
        tracked.values().filter_map(voters).collect()
    }

    /// The overview of the deployment for operators.
    #[must_use]
    pub fn overview(&self) -> Overview {
        let tracked = self.tracked.borrow();
        let leader = |node: &TrackedNode| node.status.voters.is_some().then_some(node.status.member.node);
        let state_leaders = tracked.values().filter_map(leader).collect();
        let usage = |(id, node): (&NodeId, &TrackedNode)| Some((*id, node.status.holdings?));
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
            state_leaders,
            members: self.members(),
            leaving,
            holdings: tracked.iter().filter_map(usage).collect(),
            backends: self.instances().to_vec(),
        }
    }

    fn record(&self, report: &Report) {
        let member = &report.introduction.member;
        if member.role != Role::Entry {
            self.links.add_address(member.node, SocketAddr::V4(member.peer));
        }
        let expires_at = self.clock.now() + FAILURE_DETECTION_TIMEOUT;
        let mut tracked = self.tracked.borrow_mut();
        if let Some(known) = tracked.get_mut(&member.node)
            && known.status.member == *member
        {
            // Most reports do not change the member, so the list need not be rebuilt.
            *known = TrackedNode { status: report.introduction.clone(), expires_at };
            return;
        }
        // A process that lost its disk has a new ID at the same address.
        tracked.retain(|node, other| *node == member.node || other.status.member.peer != member.peer);
        tracked.insert(member.node, TrackedNode { status: report.introduction.clone(), expires_at });
        drop(tracked);
        self.update_membership();
    }

    fn update_membership(&self) {
        let now = self.clock.now();
        let mut tracked = self.tracked.borrow_mut();
        tracked.retain(|_, node| node.expires_at > now);
        let live: Vec<Member> = tracked.values().map(|node| node.status.member.clone()).collect();
        drop(tracked);
        if self.membership.borrow_mut().replace(live) {
            self.wake();
        }
    }

    /// The current versions for a process of a role.
    fn current_versions(&self, role: Role) -> KnownVersions {
        let term = self.group.term();
        let revision = self.group.machine(|state| state.routes().map_or(0, |document| document.revision));
        KnownVersions {
            revision,
            backends: self.backends.borrow().version(term).unwrap_or_default(),
            members: self.membership.borrow().version(role, term),
        }
    }

    fn has_changes(&self, report: &Report) -> bool {
        self.has_urgent_changes(report) || self.has_only_member_changes(report)
    }

    /// Whether there are new routes or another list of backend servers, which are sent without delay.
    fn has_urgent_changes(&self, report: &Report) -> bool {
        let current = self.current_versions(report.introduction.member.role);
        let loaded = current.backends != ListVersion::default();
        current.revision > report.known.revision || (loaded && current.backends != report.known.backends)
    }

    /// Whether only the members changed.
    fn has_only_member_changes(&self, report: &Report) -> bool {
        let current = self.current_versions(report.introduction.member.role);
        !self.has_urgent_changes(report) && current.members != report.known.members
    }

    fn fill_update(&self, report: &Report, mut update: Update) -> Update {
        let role = report.introduction.member.role;
        let (current, known) = (self.current_versions(role), report.known);
        update.confirmed = true;
        update.leader = Some((self.own, self.own_address));
        self.group.machine(|state| {
            update.revision = state.configuration().revision;
            let routes = state.routes().filter(|document| document.revision > known.revision);
            update.routes = routes.map(|document| {
                (document.revision, self.encoded.routes.get_or_encode(document.revision, || document.clone()))
            });
            update.groups = state.initial_voters().len();
            if role == Role::Store && !report.introduction.member.ready {
                update.founding = state.initial_voters().to_vec();
            }
            update.leaving = state.configuration().leaving.keys().cloned().collect();
        });
        if current.backends != ListVersion::default() && current.backends != known.backends {
            let change = || self.backends.borrow().change_since(known.backends, current.backends.term);
            let compressed = self.encoded.backends.get_or_encode((known.backends, current.backends), change);
            update.backends = Some((current.backends, compressed));
        }
        if current.members != known.members {
            let cache =
                if role == Role::Control { &self.encoded.all_members } else { &self.encoded.replicas };
            let compressed =
                cache.get_or_encode(current.members, || self.membership.borrow().visible_to(role));
            update.members = Some((current.members, compressed));
        }
        update
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
        let reported = self.tracked.borrow().get(&node).map(|node| node.status.member.peer);
        reported.or_else(|| founder_ip(node).map(|ip| SocketAddrV4::new(ip, self.peer_port)))
    }

    fn control_addresses(&self) -> BTreeMap<NodeId, SocketAddrV4> {
        let voters = self.group.replicas().voters;
        voters.into_iter().filter_map(|node| Some((node, self.address(node)?))).collect()
    }
}
