//! The control replica's side of reports: the members that are alive, and the update that each is due.

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
use crate::node::group::Verdict;
use crate::node::links::Links;
use crate::node::peer_link::within;

/// Time without a report after which a member counts as failed. Reports come every half second, so two are missing; an
/// entry that was dropped by mistake is back with its next report.
pub const FAILURE_DETECTION_TIMEOUT: Duration = Duration::from_millis(1_200);
/// Time for which a new leader keeps the members that it learned of as a follower, so that callers keep their
/// addresses while the members report to it for the first time.
const HANDOVER_GRACE: Duration = Duration::from_secs(3);
/// Longest time for which a report without news is held, whatever it asks for.
const MAX_LONG_POLL: Duration = Duration::from_secs(2);

/// Delay of an update that changes the members alone. When many processes start, it combines what would be an update
/// for each.
const BATCH_DELAY: Duration = Duration::from_millis(20);

#[derive(Debug)]
struct Seen {
    introduction: NodeStatus,
    until: Timestamp,
}

/// What a control replica knows of the members, and the reports that it holds until there is news.
pub struct ClusterRegistry {
    own: NodeId,
    own_address: SocketAddrV4,
    peer_port: u16,
    group: Rc<Group<ControlState>>,
    links: Rc<Links>,
    clock: Clock,
    seen: RefCell<BTreeMap<NodeId, Seen>>,
    membership: RefCell<Membership>,
    backends: RefCell<VersionedBackends>,
    waiting: RefCell<Vec<oneshot::Sender<()>>>,
    led: Cell<u64>,
    encoded: EncodedParts,
}

/// The encoded parts of updates, each shared by all updates that carry it.
#[derive(Default)]
struct EncodedParts {
    routes: EncodedCache<u64>,
    backends: EncodedCache<(ListVersion, ListVersion)>,
    all_members: EncodedCache<ListVersion>,
    replicas: EncodedCache<ListVersion>,
}

impl ClusterRegistry {
    /// A registry without members.
    #[must_use]
    pub fn new(own: &Member, group: Rc<Group<ControlState>>, links: Rc<Links>, clock: Clock) -> Rc<Self> {
        Rc::new(Self {
            own: own.node,
            own_address: own.peer,
            peer_port: own.peer.port(),
            group,
            links,
            clock,
            seen: RefCell::default(),
            membership: RefCell::default(),
            backends: RefCell::default(),
            waiting: RefCell::default(),
            led: Cell::new(0),
            encoded: EncodedParts::default(),
        })
    }

    /// Answers a report: at once if there is news for the process, else once there is or the long poll ends. It is held too
    /// while no leader is known: after a restart of all machines, repeated reports would take the processor time that the
    /// replicas need for their election.
    pub async fn report(&self, report: Report) -> Update {
        self.record(&report);
        let long_poll = Duration::from_millis(report.long_poll_ms.into()).min(MAX_LONG_POLL);
        let deadline = self.clock.now() + long_poll;
        self.hold_until(deadline, || self.group.leads() || self.group.leader().is_some()).await;
        let update = Update { leader: self.leader(), control: self.control(), ..Update::default() };
        if !self.group.leads() {
            return update;
        }
        self.hold_until(deadline, || self.has_news(&report)).await;
        if self.has_only_members(&report) {
            Timer::after(BATCH_DELAY).await;
        }
        if self.group.ready().await != Verdict::Ready {
            return update;
        }
        self.fill(&report, update)
    }

    /// Holds a report until a condition is met, looked at whenever reports are woken, or until a time.
    async fn hold_until(&self, deadline: Timestamp, met: impl Fn() -> bool) {
        while !met() {
            let left = deadline.since(self.clock.now());
            let (tx, rx) = oneshot::channel();
            self.waiting.borrow_mut().push(tx);
            if left.is_zero() || within(left, rx).await.is_none() {
                return;
            }
        }
    }

    /// Looks again at every report that is held, such as after a change of the control state.
    pub fn wake(&self) {
        self.waiting.borrow_mut().clear();
    }

    /// Drops failed members. Called a few times a second.
    pub fn refresh(&self) {
        let term = self.group.term();
        if self.group.leads() && self.led.replace(term) != term {
            info!("This node leads control in term {term}.");
        }
        self.relist();
        self.waiting.borrow_mut().retain(|waiter| !waiter.is_canceled());
    }

    /// Takes over the members that a follower learned of, which stay for [`HANDOVER_GRACE`] if it becomes leader.
    pub fn adopt_members(&self, members: &[Member]) {
        if self.group.leads() {
            return;
        }
        let until = self.clock.now() + HANDOVER_GRACE;
        let taken = members.iter().map(|member| {
            let seen = Seen { introduction: member.clone().into(), until };
            (member.node, seen)
        });
        self.seen.replace(taken.collect());
        self.relist();
    }

    /// Takes in the list of backend servers.
    pub fn set_instances(&self, instances: Vec<Instance>) {
        if self.backends.borrow_mut().replace(instances) {
            self.wake();
        }
    }

    /// Forgets the list of backend servers, so that no update carries it before it has been read again.
    pub fn clear_instances(&self) {
        self.backends.borrow_mut().forget();
    }

    /// Backend servers as last read, by this replica or the leader it follows.
    #[must_use]
    pub fn instances(&self) -> Rc<Vec<Instance>> {
        self.backends.borrow().list()
    }

    /// The members that are alive.
    #[must_use]
    pub fn members(&self) -> Vec<Member> {
        self.membership.borrow().members().to_vec()
    }

    /// Nodes of a role that could take part in its group.
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

    /// How far the emptying of a store's VM is; `least` is the number of stores that each state group needs.
    #[must_use]
    pub fn drain_status(&self, vm: &str, least: usize) -> DrainStatus {
        let leaving = self.group.machine(ControlState::configuration).leaving.clone();
        let asked = leaving.contains_key(vm);
        let stores: Vec<Member> =
            self.members().into_iter().filter(|member| member.role == Role::Store).collect();
        let Some(store) = stores.iter().find(|member| &*member.vm == vm) else {
            return if asked { DrainStatus::Done } else { DrainStatus::Unknown };
        };
        let groups = self.group.machine(|state| state.initial_voters().len());
        if !asked {
            let staying = stores.iter().filter(|other| !leaving.contains_key(&other.vm)).count();
            return if staying <= least * groups.max(1) {
                DrainStatus::TooFew
            } else {
                DrainStatus::NotAsked
            };
        }
        let voters = self.state_groups();
        let sound = |voters: &BTreeSet<NodeId>| !voters.contains(&store.node) && voters.len() >= least;
        if voters.len() == groups && voters.values().all(sound) {
            DrainStatus::Done
        } else {
            DrainStatus::Running
        }
    }

    /// The voters of each state group, as reported by its leader.
    fn state_groups(&self) -> BTreeMap<GroupId, BTreeSet<NodeId>> {
        let seen = self.seen.borrow();
        let voters = |seen: &Seen| Some((seen.introduction.member.group?, seen.introduction.voters.clone()?));
        seen.values().filter_map(voters).collect()
    }

    /// The overview for operators.
    #[must_use]
    pub fn overview(&self) -> Overview {
        let seen = self.seen.borrow();
        let led = |seen: &Seen| seen.introduction.voters.is_some().then_some(seen.introduction.member.node);
        let state_leaders = seen.values().filter_map(led).collect();
        let held = |(node, seen): (&NodeId, &Seen)| Some((*node, seen.introduction.holdings?));
        let (version, leaving) = self.group.machine(|state| {
            let leaving = state.configuration().leaving.keys().cloned().collect();
            (state.routes().map(|document| document.version), leaving)
        });
        Overview {
            leader: self.own,
            term: self.group.term(),
            version,
            control: self.group.replicas().voters,
            groups: self.state_groups(),
            state_leaders,
            members: self.members(),
            leaving,
            holdings: seen.iter().filter_map(held).collect(),
            backends: self.instances().to_vec(),
        }
    }

    fn record(&self, report: &Report) {
        let member = &report.introduction.member;
        if member.role != Role::Entry {
            self.links.learn(member.node, SocketAddr::V4(member.peer));
        }
        let until = self.clock.now() + FAILURE_DETECTION_TIMEOUT;
        let mut seen = self.seen.borrow_mut();
        if let Some(known) = seen.get_mut(&member.node)
            && known.introduction.member == *member
        {
            // Nearly every report. It changes no member, so the list need not be built again.
            *known = Seen { introduction: report.introduction.clone(), until };
            return;
        }
        // A process that comes back with an empty disk has another number at the same address.
        seen.retain(|node, other| *node == member.node || other.introduction.member.peer != member.peer);
        seen.insert(member.node, Seen { introduction: report.introduction.clone(), until });
        drop(seen);
        self.relist();
    }

    fn relist(&self) {
        let now = self.clock.now();
        let mut seen = self.seen.borrow_mut();
        seen.retain(|_, seen| seen.until > now);
        let live: Vec<Member> = seen.values().map(|seen| seen.introduction.member.clone()).collect();
        drop(seen);
        if self.membership.borrow_mut().replace(live) {
            self.wake();
        }
    }

    /// The editions that are current for a process of a role.
    fn editions(&self, role: Role) -> KnownVersions {
        let term = self.group.term();
        let revision = self.group.machine(|state| state.routes().map_or(0, |document| document.revision));
        KnownVersions {
            revision,
            backends: self.backends.borrow().edition(term).unwrap_or_default(),
            members: self.membership.borrow().edition(role, term),
        }
    }

    fn has_news(&self, report: &Report) -> bool {
        self.has_decisions(report) || self.has_only_members(report)
    }

    /// Whether there is another table of routes or list of backend servers, which are sent without delay.
    fn has_decisions(&self, report: &Report) -> bool {
        let now = self.editions(report.introduction.member.role);
        let listed = now.backends != ListVersion::default();
        now.revision > report.known.revision || (listed && now.backends != report.known.backends)
    }

    /// Whether the members are all that is new.
    fn has_only_members(&self, report: &Report) -> bool {
        let now = self.editions(report.introduction.member.role);
        !self.has_decisions(report) && now.members != report.known.members
    }

    fn fill(&self, report: &Report, mut update: Update) -> Update {
        let role = report.introduction.member.role;
        let (editions, known) = (self.editions(role), report.known);
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
        if editions.backends != ListVersion::default() && editions.backends != known.backends {
            let change = || self.backends.borrow().change_since(known.backends, editions.backends.term);
            let packed = self.encoded.backends.get_or_encode((known.backends, editions.backends), change);
            update.backends = Some((editions.backends, packed));
        }
        if editions.members != known.members {
            let pack = if role == Role::Control { &self.encoded.all_members } else { &self.encoded.replicas };
            let packed = pack.get_or_encode(editions.members, || self.membership.borrow().visible_to(role));
            update.members = Some((editions.members, packed));
        }
        update
    }

    fn leader(&self) -> Option<(NodeId, SocketAddrV4)> {
        let leader = self.group.leader()?;
        Some((leader, self.address(leader)?))
    }

    /// Where a control replica is: by its own report, or by its number if it founded the group.
    fn address(&self, node: NodeId) -> Option<SocketAddrV4> {
        if node == self.own {
            return Some(self.own_address);
        }
        let seen = self.seen.borrow().get(&node).map(|seen| seen.introduction.member.peer);
        seen.or_else(|| founder_ip(node).map(|ip| SocketAddrV4::new(ip, self.peer_port)))
    }

    fn control(&self) -> BTreeMap<NodeId, SocketAddrV4> {
        let voters = self.group.replicas().voters;
        voters.into_iter().filter_map(|node| Some((node, self.address(node)?))).collect()
    }
}
