//! A control replica holds the configuration, the cluster membership and the platform's list of backend servers.

use std::cell::RefCell;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use agatetrestle_config::deployment::Role;
use log::info;
use log::warn;
use smol::Timer;

use crate::backends::BackendChange;
use crate::cluster::identity;
use crate::cluster::message::ControlRequest;
use crate::cluster::message::Member;
use crate::cluster::registry::ClusterRegistry;
use crate::cluster::repair;
use crate::cluster::service::ControlService;
use crate::cluster::view::Watcher;
use crate::cluster::voters::Candidate;
use crate::cluster::voters::VoterCounts;
use crate::codec::encode;
use crate::control::command::ControlCommand;
use crate::control::command::Document;
use crate::control::state::ControlState;
use crate::deployment::ProcessContext;
use crate::deployment::REQUEST_TIMEOUTS;
use crate::deployment::backend_list;
use crate::deployment::directory;
use crate::deployment::directory::Directory;
use crate::deployment::operators;
use crate::deployment::replica_process::ReplicaProcess;
use crate::deployment::serve_http;
use crate::deployment::timing;
use crate::ids::CONTROL_GROUP;
use crate::ids::MAX_STATE_GROUPS;
use crate::ids::NodeId;
use crate::node::NodeError;
use crate::node::group::Group;
use crate::node::peer_server::PeerServer;
use crate::node::replicas::MissingFiles;
use crate::node::router::Router;
use crate::node::service::GroupService;
use crate::ports::Recorder;
use crate::scheduler::random::Random;
use crate::transport::server::ServerLimits;

/// How often a control replica checks which members have stopped reporting.
const REFRESH_INTERVAL: Duration = Duration::from_millis(200);
/// How often a control replica checks for a leader while there is none.
const LEADER_POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Time for which the number of stores must not change before the state groups are created, so that stores that start
/// together all take part.
const STORE_COUNT_SETTLE_TIME: Duration = Duration::from_secs(1);
/// Time for which the number of stores must not change if they are fewer than a group needs.
const MISSING_STORES_SETTLE_TIME: Duration = Duration::from_secs(5);
/// Stores for each state group beyond its voters, so that a lost voter can be replaced by one without a group.
const SPARE_STORES_PER_GROUP: usize = 1;
/// Log bytes after which a snapshot is taken.
const SNAPSHOT_THRESHOLD_BYTES: usize = 4 << 20;
/// Connections of operators and of callers that look up addresses.
const MAX_CONTROL_CONNECTIONS: usize = 1_024;

pub(super) async fn start(context: &ProcessContext) -> Result<ReplicaProcess<ControlState>, NodeError> {
    let group = open(context).await?;
    let member = Member { ready: true, ..context.member() };
    let registry = ClusterRegistry::new(
        &member,
        group.clone(),
        context.links.clone(),
        context.clock,
        context.view.clone(),
    );
    let service: Rc<dyn GroupService> = Rc::new(ControlService {
        group: group.clone(),
        registry: registry.clone(),
        min_voters: context.replication_factor(),
    });
    let mut server = PeerServer { reports: Some(registry.clone()), ..PeerServer::default() };
    let receiver = group.clone();
    server.handlers.insert(CONTROL_GROUP, Rc::new(move |message| receiver.receive(message)));
    server.services.insert(CONTROL_GROUP, service.clone());
    context.serve_peers(server);
    let subscriber = context.subscriber(Rc::new(move || member.clone().into()), Some(registry.clone()));
    let reporting = Rc::downgrade(&subscriber);
    registry.set_report_now(Rc::new(move || {
        if let Some(subscriber) = reporting.upgrade() {
            subscriber.report_now();
        }
    }));
    context.view.watch(Rc::new(ControlWatcher(registry.clone())));
    let links = context.links.clone();
    let clock = Rc::new(context.clock);
    let router = Router::new(CONTROL_GROUP, context.node, Some(service), links, &[], clock, REQUEST_TIMEOUTS);
    let router = Rc::new(router);
    spawn_background_tasks(context, &group, &registry, &router);
    let limits = ServerLimits::new(MAX_CONTROL_CONNECTIONS);
    let handler = operators::handler(context.wire.clone(), router);
    serve_http(context, context.settings.listen.operators, handler, limits.clone());
    let handler = directory::handler(Directory {
        wire: context.wire.clone(),
        registry,
        max_age: context.settings.bounds.address_max_age,
        clock: context.clock,
        random: RefCell::new(Random::new(context.node.0)),
        spill: RefCell::default(),
    });
    serve_http(context, context.settings.listen.directory, handler, limits);
    Ok(ReplicaProcess { group, subscriber })
}

/// Wakes the processes that a control replica relays to when there is a change for them.
struct ControlWatcher(Rc<ClusterRegistry>);

impl Watcher for ControlWatcher {
    fn routes(&self, _document: &Document) {
        self.0.wake();
    }

    fn backends(&self, _change: &BackendChange) {
        self.0.wake();
    }

    fn members(&self, _members: &[Member]) {
        self.0.wake();
    }
}

/// Waits for the next refresh, and wakes the pending reports at each change of leadership before it.
async fn wait_for_change(group: &Group<ControlState>, registry: &ClusterRegistry) {
    let mut remaining = REFRESH_INTERVAL;
    while !remaining.is_zero() {
        let leadership = (group.leads(), group.leader());
        // A newly elected replica leads once a majority has answered it.
        let settled = leadership.1.is_some_and(|leader| leadership.0 || !group.is_local(leader));
        let delay = if settled { remaining } else { LEADER_POLL_INTERVAL.min(remaining) };
        Timer::after(delay).await;
        remaining = remaining.saturating_sub(delay);
        if (group.leads(), group.leader()) != leadership {
            registry.wake();
        }
    }
}

fn spawn_background_tasks(
    context: &ProcessContext,
    group: &Rc<Group<ControlState>>,
    registry: &Rc<ClusterRegistry>,
    router: &Rc<Router>,
) {
    let candidates = {
        let registry = registry.clone();
        Rc::new(move || registry.candidates(Role::Control))
    };
    let counts = VoterCounts { target: usize::MAX, min: context.replication_factor() };
    context.executor.spawn(repair::repair_forever(group.clone(), candidates, counts)).detach();
    let poller = backend_list::BackendListPoller {
        wire: context.wire.clone(),
        settings: context.settings.backend_list,
        group: group.clone(),
        registry: registry.clone(),
        clock: context.clock,
        recorder: context.metrics.clone(),
        executor: context.executor.clone(),
    };
    context.executor.spawn(poller.run()).detach();
    context
        .executor
        .spawn(create_state_groups(
            group.clone(),
            registry.clone(),
            router.clone(),
            context.replication_factor(),
        ))
        .detach();
    let batching = registry.clone();
    context.executor.spawn(async move { batching.batch_member_changes().await }).detach();
    let waking = registry.clone();
    context.executor.spawn(async move { waking.wake_in_batches().await }).detach();
    let (metrics, required_voters) = (context.metrics.clone(), context.replication_factor());
    let (group, registry, router) = (group.clone(), registry.clone(), router.clone());
    let (links, view) = (context.links.clone(), context.view.clone());
    let refreshing = async move {
        loop {
            registry.refresh();
            let missing = if group.leads() { registry.missing_voters(required_voters) } else { 0 };
            metrics.record_missing_voters(u64::try_from(missing).unwrap_or(u64::MAX));
            let voters: Vec<NodeId> = group.replicas().voters.into_iter().collect();
            router.set_holders(&voters);
            super::update_control_addresses(&links, &view);
            wait_for_change(&group, &registry).await;
        }
    };
    context.executor.spawn(refreshing).detach();
}

/// Decides when there are enough stores to create the state groups.
#[derive(Debug, Default)]
pub(super) struct StoreCount {
    count: usize,
    unchanged_for: Duration,
}

impl StoreCount {
    /// Counts the stores after `elapsed`, and returns whether to create groups of `group_size` voters with them. Fewer stores
    /// than a group needs are waited for longer, and then serve until others come.
    pub(super) fn is_settled(&mut self, stores: usize, group_size: usize, elapsed: Duration) -> bool {
        let unchanged = std::mem::replace(&mut self.count, stores) == stores;
        self.unchanged_for = if unchanged { self.unchanged_for + elapsed } else { Duration::ZERO };
        let settle_time =
            if stores >= group_size { STORE_COUNT_SETTLE_TIME } else { MISSING_STORES_SETTLE_TIME };
        stores > 0 && self.unchanged_for >= settle_time
    }
}

/// Proposes the initial voters of the state groups once enough stores are up and their number is stable.
async fn create_state_groups(
    group: Rc<Group<ControlState>>,
    registry: Rc<ClusterRegistry>,
    router: Rc<Router>,
    group_size: usize,
) {
    let mut count = StoreCount::default();
    loop {
        Timer::after(REFRESH_INTERVAL).await;
        if !group.machine(|state| state.initial_voters().is_empty()) {
            return;
        }
        if !group.leads() {
            count = StoreCount::default();
            continue;
        }
        let stores = registry.candidates(Role::Store);
        if !count.is_settled(stores.len(), group_size, REFRESH_INTERVAL) {
            continue;
        }
        if stores.len() < group_size {
            warn!("Only {} of {group_size} stores that the tolerance needs are up.", stores.len());
        }
        let groups = initial_voters(stores, group_size);
        info!("Creating the state groups with initial voters {groups:?}.");
        let request = ControlRequest::Command(ControlCommand::Found { groups });
        if let Err(error) = router.submit(encode(&request)).await {
            warn!("Failed to create the state groups, will retry: {error}.");
        }
    }
}

/// Chooses the initial voters of as many groups as there are stores for, spare ones included. A store takes part in one
/// group only, since the turns of a group may fill its memory.
pub(super) fn initial_voters(mut stores: Vec<Candidate>, group_size: usize) -> Vec<BTreeSet<NodeId>> {
    let count = (stores.len() / (group_size + SPARE_STORES_PER_GROUP)).clamp(1, MAX_STATE_GROUPS);
    (0..count).map(|_| take_spread(&mut stores, group_size)).collect()
}

/// Removes up to `count` stores from the list, spread over as many failure domains as possible.
fn take_spread(stores: &mut Vec<Candidate>, count: usize) -> BTreeSet<NodeId> {
    let mut chosen: Vec<Candidate> = Vec::new();
    while chosen.len() < count && !stores.is_empty() {
        let used = |zone: &str| chosen.iter().filter(|store| &*store.zone == zone).count();
        let next =
            (0..stores.len()).min_by_key(|at| (used(&stores[*at].zone), stores[*at].node)).unwrap_or(0);
        chosen.push(stores.swap_remove(next));
    }
    chosen.into_iter().map(|store| store.node).collect()
}

async fn open(context: &ProcessContext) -> Result<Rc<Group<ControlState>>, NodeError> {
    let (storage, timing) = (context.storage(SNAPSHOT_THRESHOLD_BYTES), timing());
    let opener = context.opener(&storage, &timing);
    let port = context.settings.process.peer_port;
    let founders: Vec<NodeId> =
        context.settings.seeds.iter().map(|seed| identity::founder_id(*seed.ip())).collect();
    for seed in &context.settings.seeds {
        let address = SocketAddr::from((*seed.ip(), port));
        context.links.add_address(identity::founder_id(*seed.ip()), address);
    }
    let is_founder = context.settings.founding && founders.contains(&context.node);
    let missing = if is_founder { MissingFiles::Bootstrap } else { context.missing_files };
    let replica = opener.open(CONTROL_GROUP, ControlState::default(), &founders, missing).await?;
    replica.driver.detach();
    Ok(replica.group)
}
