//! The registry of live members that a control replica maintains from reports, and the updates that answer them.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::net::SocketAddrV4;
use std::rc::Rc;
use std::time::Duration;

use agatetrestle_config::deployment::Role;
use futures::channel::oneshot;
use log::info;
use smol::Timer;
use smol::channel::Receiver;
use smol::channel::Sender;
use smol::lock::Semaphore;
use smol::lock::SemaphoreGuard;

use crate::clock::Clock;
use crate::clock::Timestamp;
use crate::cluster::encoded::EncodedCache;
use crate::cluster::identity::founder_ip;
use crate::cluster::liveness::Liveness;
use crate::cluster::message::DrainStatus;
use crate::cluster::message::KnownVersions;
use crate::cluster::message::ListVersion;
use crate::cluster::message::Member;
use crate::cluster::message::NodeStatus;
use crate::cluster::message::RelayedMembers;
use crate::cluster::message::Report;
use crate::cluster::message::ReportTarget;
use crate::cluster::message::Update;
use crate::cluster::overview::Overview;
use crate::cluster::relays;
use crate::cluster::versioned::Scope;
use crate::cluster::view::ClusterView;
use crate::cluster::voters::Candidate;
use crate::codec::Compressed;
use crate::control::state::ControlState;
use crate::dispatch::Instance;
use crate::ids::GroupId;
use crate::ids::NodeId;
use crate::node::group::Group;
use crate::node::group::ProposalOutcome;
use crate::node::links::Links;
use crate::node::peer_link::with_deadline;

/// Upper bound of the long poll that a report can request.
const MAX_LONG_POLL: Duration = Duration::from_secs(2);
/// Delay before a change of the members takes effect, so that changes of many processes at once are sent together.
const MEMBER_BATCH_DELAY: Duration = Duration::from_millis(20);
/// Age of the leader's last confirmation up to which a follower relays. Longer than an election takes, so that the loss of a
/// leader does not send all entries in search of another.
const MAX_RELAY_AGE: Duration = Duration::from_millis(1_500);
/// Reports that are woken together, and the pause before the next ones.
const WAKE_BATCH_REPORTS: usize = 32;
const WAKE_BATCH_INTERVAL: Duration = Duration::from_millis(2);
/// Full lists that are sent at once, and the time that each takes up. A list is thousands of servers for each of hundreds of
/// processes; sent together, they would delay heartbeats beyond the election timeout.
const MAX_CONCURRENT_FULL_LISTS: usize = 4;
const FULL_LIST_INTERVAL: Duration = Duration::from_millis(10);

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
    /// Pending reports, woken by dropping the sender.
    waiters: RefCell<Vec<oneshot::Sender<()>>>,
    /// Reports to wake next.
    waking: RefCell<VecDeque<oneshot::Sender<()>>>,
    more_to_wake: (Sender<()>, Receiver<()>),
    last_led_term: Cell<u64>,
    full_lists: Semaphore,
    encoded: EncodedLists,
    /// Notified when the members may have changed.
    members_changed: (Sender<()>, Receiver<()>),
    /// Requests a report of this replica without delay.
    report_now: RefCell<Option<Rc<dyn Fn()>>>,
}

/// Encoded lists, each shared by all updates that contain it.
#[derive(Default)]
struct EncodedLists {
    routes: EncodedCache<u64>,
    full_backends: EncodedCache<ListVersion>,
    backends: EncodedCache<(ListVersion, ListVersion)>,
    public_members: EncodedCache<(ListVersion, ListVersion)>,
    all_members: EncodedCache<(ListVersion, ListVersion)>,
    /// Full list for processes of older builds.
    full_members: EncodedCache<ListVersion>,
}

/// The turn of a process to be sent the list of backend servers.
struct Turn<'a> {
    _permit: Option<SemaphoreGuard<'a>>,
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
            waiters: RefCell::default(),
            waking: RefCell::default(),
            more_to_wake: smol::channel::bounded(1),
            last_led_term: Cell::new(0),
            full_lists: Semaphore::new(MAX_CONCURRENT_FULL_LISTS),
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

    /// Answers a report as soon as there is a change for the process, or when the long poll ends. The answer is also delayed
    /// while no leader is known, so that repeated reports do not take processor time from an election.
    pub async fn report(&self, report: Report) -> Update {
        let long_poll = Duration::from_millis(report.long_poll_ms.into()).min(MAX_LONG_POLL);
        let deadline = self.clock.now() + long_poll;
        if report.target == ReportTarget::Relay && !self.group.leads() {
            return self.report_to_relay(&report, deadline).await;
        }
        self.wait_until(deadline, || self.group.leads() || self.group.leader().is_some()).await;
        let mut update =
            Update { leader: self.leader(), control: self.control_addresses(), ..Update::default() };
        if !self.group.leads() {
            // The entry need not ask the leader, to which all entries would come at once.
            update.relay = self.confirmed_age().and_then(|_| self.relay_for(&report));
            return update;
        }
        self.start_term();
        self.record(&report);
        let (role, node) = (report.introduction.member.role, report.introduction.member.node);
        self.wait_until(deadline, || {
            !self.group.leads()
                || self.has_changes(&report)
                || self.relay_for(&report).is_some()
                || self.lacks_relayed(&report)
        })
        .await;
        if self.group.read_barrier().await != ProposalOutcome::Ready {
            return update;
        }
        update.confirmed = true;
        update.leader = Some((self.own, self.own_address));
        update.relayed_version = self.liveness.borrow().relayed_version(node);
        update.relay = self.relay_for(&report);
        if update.relay.is_some() {
            return update;
        }
        self.group.machine(|state| {
            update.revision = state.configuration().revision;
            let routes = state.routes().filter(|document| document.revision > report.known.revision);
            update.routes = routes.map(|document| {
                (document.revision, self.encoded.routes.get_or_encode(document.revision, || document.clone()))
            });
            update.groups = state.initial_voters().len();
            if role == Role::Store && !report.introduction.member.ready {
                update.founding = state.initial_voters().to_vec();
            }
            update.leaving = state.configuration().leaving.keys().cloned().collect();
        });
        self.add_lists(&report, deadline, &mut update).await;
        update
    }

    /// Answers the report of an entry from what this follower was told, as long as that is recent.
    async fn report_to_relay(&self, report: &Report, deadline: Timestamp) -> Update {
        self.record(report);
        self.wait_until(deadline, || {
            self.group.leads() || self.confirmed_age().is_none() || self.has_changes(report)
        })
        .await;
        let mut update = Update {
            leader: self.view.leader(),
            control: self.view.control(),
            groups: self.view.groups(),
            leaving: self.view.leaving(),
            ..Update::default()
        };
        let Some(age) = self.confirmed_age().filter(|_| !self.group.leads()) else {
            return update;
        };
        update.confirmed = true;
        update.age_ms = u32::try_from(age.as_millis()).unwrap_or(u32::MAX);
        update.routes = self.view.routes().filter(|(revision, _)| *revision > report.known.revision);
        self.add_lists(report, deadline, &mut update).await;
        update
    }

    /// Time since the leader confirmed what this follower holds, if it may still relay that.
    fn confirmed_age(&self) -> Option<Duration> {
        let age = self.clock.now().since(self.view.confirmed_at()?);
        (age <= MAX_RELAY_AGE).then_some(age)
    }

    /// The relay that an entry should report to instead of this leader.
    fn relay_for(&self, report: &Report) -> Option<SocketAddrV4> {
        let avoid = match report.target {
            ReportTarget::Leader => return None,
            ReportTarget::LeaderOrRelay { avoid } => avoid,
            // This replica was a relay until it became the leader.
            ReportTarget::Relay => None,
        };
        let entry = &report.introduction.member;
        let list = self.view.member_list().borrow();
        if entry.role != Role::Entry || !relays::are_needed(list.len()) {
            return None;
        }
        let leader = self.group.leader();
        let followers =
            list.items().filter(|member| member.role == Role::Control && Some(member.node) != leader);
        relays::assign(entry, followers, avoid)
    }

    /// Whether the leader lacks the list of members that a relay refers to.
    fn lacks_relayed(&self, report: &Report) -> bool {
        let known = self.liveness.borrow().relayed_version(report.introduction.member.node);
        report.relayed.as_ref().is_some_and(|relayed| known != Some(relayed.version))
    }

    /// The entries that report to this replica, for its own report to the leader; none if it leads.
    #[must_use]
    pub fn relayed_members(&self) -> Option<RelayedMembers> {
        if self.group.leads() {
            return None;
        }
        let relayed = self.relayed.borrow();
        if self.view.relayed_version() == Some(relayed.version) {
            return Some(RelayedMembers { version: relayed.version, members: None });
        }
        Some(relayed.clone())
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

    /// Wakes all pending reports so that they check for changes, the first ones at once and the others in batches, so that
    /// heartbeats need not wait for the answers to all of them.
    pub fn wake(&self) {
        self.waking.borrow_mut().extend(self.waiters.take());
        if self.wake_batch() {
            // A full channel means that further batches are already requested.
            let _ = self.more_to_wake.0.try_send(());
        }
    }

    /// Wakes a batch of reports, and returns whether more are left.
    fn wake_batch(&self) -> bool {
        let mut waking = self.waking.borrow_mut();
        let count = waking.len().min(WAKE_BATCH_REPORTS);
        waking.drain(..count);
        !waking.is_empty()
    }

    /// Wakes the reports that [`ClusterRegistry::wake`] left, until the task is dropped.
    pub async fn wake_in_batches(&self) {
        while self.more_to_wake.1.recv().await.is_ok() {
            Timer::after(WAKE_BATCH_INTERVAL).await;
            while self.wake_batch() {
                Timer::after(WAKE_BATCH_INTERVAL).await;
            }
        }
    }

    /// Removes failed members. Must be called a few times a second.
    pub fn refresh(&self) {
        self.start_term();
        self.update_membership();
        self.waiters.borrow_mut().retain(|waiter| !waiter.is_canceled());
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
        let voters = |status: &NodeStatus| Some((status.member.group?, status.voters.clone()?));
        self.liveness.borrow().statuses().filter_map(voters).collect()
    }

    /// The overview of the deployment for operators.
    #[must_use]
    pub fn overview(&self) -> Overview {
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
            let reporting = liveness.reporting_members();
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

    /// The current versions for a process of a role.
    fn current_versions(&self, role: Role) -> KnownVersions {
        let revision = if self.group.leads() {
            self.group.machine(|state| state.routes().map_or(0, |document| document.revision))
        } else {
            self.view.known().revision
        };
        KnownVersions {
            revision,
            backends: self.view.backends().borrow().version(Scope::Public),
            members: self.view.member_list().borrow().version(scope(role)),
        }
    }

    /// Whether a process lacks the current routes or a change of a list. A list that it holds in a later version than this
    /// replica is newer than this replica's.
    fn has_changes(&self, report: &Report) -> bool {
        let current = self.current_versions(report.introduction.member.role);
        let known = report.known;
        current.revision > known.revision
            || current.backends > known.backends
            || current.members > known.members
    }

    /// Adds the changes of the lists that a process lacks.
    async fn add_lists(&self, report: &Report, deadline: Timestamp, update: &mut Update) {
        let turn = self.wait_for_turn(report.known.backends, deadline).await;
        let role = report.introduction.member.role;
        let (current, known) = (self.current_versions(role), report.known);
        if turn.is_some() && current.backends > known.backends {
            update.backends =
                Some((current.backends, self.encoded_backends(known.backends, current.backends)));
        }
        if current.members > known.members {
            let cache =
                if role == Role::Control { &self.encoded.all_members } else { &self.encoded.public_members };
            let list = self.view.member_list().borrow();
            if report.target == ReportTarget::Leader {
                let all = || list.visible_items(scope(role));
                let whole = self.encoded.full_members.get_or_encode(current.members, all);
                update.members = Some((current.members, whole));
                return;
            }
            let change = || list.change_since(known.members, scope(role));
            let encoded = cache.get_or_encode((known.members, current.members), change);
            update.member_change = Some((current.members, encoded));
        }
    }

    fn encoded_backends(&self, known: ListVersion, current: ListVersion) -> Compressed {
        let list = self.view.backends().borrow();
        let change = || list.change_since(known, Scope::Public);
        if list.is_base(known) {
            self.encoded.backends.get_or_encode((known, current), change)
        } else {
            self.encoded.full_backends.get_or_encode(current, change)
        }
    }

    /// Waits for a turn to send the list of backend servers, if the process needs the full list. Returns none if there was no
    /// turn before the deadline; the next report of the process waits again.
    async fn wait_for_turn(&self, known: ListVersion, deadline: Timestamp) -> Option<Turn<'_>> {
        let needs_full_list = {
            let list = self.view.backends().borrow();
            list.version(Scope::Public) > known && !list.is_base(known)
        };
        if !needs_full_list {
            return Some(Turn { _permit: None });
        }
        let remaining = deadline.since(self.clock.now()).max(FULL_LIST_INTERVAL);
        let permit = with_deadline(remaining, self.full_lists.acquire()).await?;
        Timer::after(FULL_LIST_INTERVAL).await;
        Some(Turn { _permit: Some(permit) })
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
        let members = self.view.member_list().borrow();
        let reported = members.get(&node).first().map(|member| member.peer);
        reported.or_else(|| founder_ip(node).map(|ip| SocketAddrV4::new(ip, self.peer_port)))
    }

    fn control_addresses(&self) -> BTreeMap<NodeId, SocketAddrV4> {
        let voters = self.group.replicas().voters;
        voters.into_iter().filter_map(|node| Some((node, self.address(node)?))).collect()
    }
}

/// What the processes of a role see of the members.
fn scope(role: Role) -> Scope {
    if role == Role::Control { Scope::All } else { Scope::Public }
}
