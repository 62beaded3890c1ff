//! A store runs a replica of a state group, which holds turns and budgets.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::net::SocketAddrV4;
use std::rc::Rc;
use std::time::Duration;

use agatetrestle_config::deployment::AllowanceBounds;
use agatetrestle_config::deployment::Role;
use futures::future::LocalBoxFuture;
use log::info;
use log::warn;
use smol::LocalExecutor;
use smol::Timer;
use smol::channel::Receiver;
use smol::channel::Sender;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::agreement::message::Message;
use crate::agreement::storage::has_folder;
use crate::clock::Clock;
use crate::cluster::contacts;
use crate::cluster::message::Member;
use crate::cluster::message::NodeStatus;
use crate::cluster::repair;
use crate::cluster::service::TurnService;
use crate::cluster::subscriber::Subscriber;
use crate::cluster::view::ClusterView;
use crate::cluster::view::Watcher;
use crate::cluster::voters::Candidate;
use crate::cluster::voters::VoterCounts;
use crate::control::command::Document;
use crate::deployment::ProcessContext;
use crate::deployment::replica_process::ReplicaProcess;
use crate::deployment::timing;
use crate::gateway::wire::WireFormat;
use crate::ids::FIRST_STATE_GROUP;
use crate::ids::GroupId;
use crate::ids::NodeId;
use crate::ids::state_groups;
use crate::node::NodeError;
use crate::node::group::Group;
use crate::node::peer_server::PeerServer;
use crate::node::replicas::MissingFiles;
use crate::node::replicas::ReplicaOpener;
use crate::node::replicas::StoredReplica;
use crate::node::service::GroupService;
use crate::node::service::Submission;
use crate::turns::admission::TurnAdmission;
use crate::turns::state::TurnState;

/// Tenths of the memory limit that retained turns may take. Snapshots hold the turns twice, and a start holds the log as
/// well: 2.5 times 3 tenths and a base of 13 MB stay below the 120 MB of the smallest store. `tests/store_memory.rs` checks
/// the peak.
const STATE_MEMORY_TENTHS: usize = 3;
/// A snapshot is taken once the log reaches the maximum size of the state divided by this. A smaller log means more
/// snapshots, a larger one a longer start.
const SNAPSHOT_LOG_DIVISOR: usize = 2;
/// How often a new store checks whether the state groups are created.
const CREATION_POLL_INTERVAL: Duration = Duration::from_millis(50);

pub(super) async fn start(context: &ProcessContext) -> Result<ReplicaProcess<TurnState>, NodeError> {
    let replica = Rc::new(StoreReplica::new(context.settings.bounds.allowance));
    let (reported, member) = (replica.clone(), context.member());
    let status_source = Rc::new(move || reported.status(&member));
    watch_cluster(context, &replica);
    let subscriber = context.subscriber(status_source, None);
    let (invitation_sender, invitations) = smol::channel::bounded(1);
    context.serve_peers(peer_server(context, &replica, &invitation_sender));
    let (id, group) = open(context, &replica, &subscriber, &invitations).await?;
    replica.group.replace(Some(group.clone()));
    subscriber.report_now();
    let view = context.view.clone();
    let candidates = Rc::new(move || candidates(id, &view));
    let counts = VoterCounts { target: context.replication_factor(), min: context.replication_factor() };
    context.executor.spawn(repair::repair_forever(group.clone(), candidates, counts)).detach();
    Ok(ReplicaProcess { group, subscriber })
}

/// The replica of this store. There is one at most, since the turns of a group may fill its memory.
struct StoreReplica {
    /// Set before the replica is opened.
    id: Cell<Option<GroupId>>,
    /// Whether no group has this store as an initial voter, so that any group may invite it.
    spare: Cell<bool>,
    group: RefCell<Option<Rc<Group<TurnState>>>>,
    /// Used while the replica leads.
    admission: Rc<RefCell<TurnAdmission>>,
}

impl StoreReplica {
    fn new(bounds: AllowanceBounds) -> Self {
        Self {
            id: Cell::default(),
            spare: Cell::default(),
            group: RefCell::default(),
            admission: Rc::new(RefCell::new(TurnAdmission::new(bounds))),
        }
    }

    fn status(&self, member: &Member) -> NodeStatus {
        let group = self.group.borrow();
        let ready = group.is_some() || self.spare.get();
        let member = Member { ready, group: self.id.get(), ..member.clone() };
        let leading = group.as_ref().filter(|group| group.leads());
        let voters = leading.map(|group| group.replicas().voters);
        let holdings = group.as_ref().map(|group| group.machine(TurnState::usage));
        NodeStatus { member, voters, holdings }
    }

    fn group(&self, id: GroupId) -> Option<Rc<Group<TurnState>>> {
        let group = self.group.borrow();
        group.as_ref().filter(|_| self.id.get() == Some(id)).cloned()
    }
}

/// Serves other nodes for any group that this store may join. A message that addresses this store as a learner of a group
/// is an invitation; the leader sends it again until it is answered.
fn peer_server(
    context: &ProcessContext,
    replica: &Rc<StoreReplica>,
    invitations: &Sender<GroupId>,
) -> PeerServer {
    let mut server = PeerServer::default();
    let local_node = context.node;
    for id in state_groups() {
        let (receiver, invitations) = (replica.clone(), invitations.clone());
        let receive = move |message: Message| {
            if let Some(group) = receiver.group(id) {
                return group.receive(message);
            }
            if message.to == local_node && message.addresses_learner() {
                // The channel is full if another group has already invited this store.
                let _ = invitations.try_send(id);
            }
            Vec::new()
        };
        server.handlers.insert(id, Rc::new(receive));
        let service = Rc::new(StoreService {
            id,
            replica: replica.clone(),
            clock: context.clock,
            executor: context.executor.clone(),
            service: RefCell::default(),
        });
        server.services.insert(id.early_answers(), Rc::new(EarlyAnswerService(service.clone())));
        server.services.insert(id.suspects(), Rc::new(SuspectService(service.clone())));
        server.services.insert(id, service);
    }
    server
}

/// Serves requests to one group once this store runs a replica of it.
struct StoreService {
    id: GroupId,
    replica: Rc<StoreReplica>,
    clock: Clock,
    executor: Rc<LocalExecutor<'static>>,
    service: RefCell<Option<Rc<TurnService>>>,
}

impl StoreService {
    fn turn_service(&self) -> Option<Rc<TurnService>> {
        let group = self.replica.group(self.id)?;
        let mut service = self.service.borrow_mut();
        Some(
            service
                .get_or_insert_with(|| {
                    let service =
                        Rc::new(TurnService::new(group, self.clock, self.replica.admission.clone()));
                    self.executor.spawn(service.clone().log_load_forever()).detach();
                    service
                })
                .clone(),
        )
    }
}

impl GroupService for StoreService {
    fn submit(&self, request: Vec<u8>) -> LocalBoxFuture<'_, Submission> {
        let Some(service) = self.turn_service() else {
            return Box::pin(async { Submission::NotLeader(None) });
        };
        Box::pin(async move { service.submit(request).await })
    }

    fn history(&self, offset: u64) -> Vec<u8> {
        self.turn_service().map_or_else(Vec::new, |service| service.history(offset))
    }
}

/// Tells entries of begins that will be granted; see docs/design/020-commit-latency.md.
struct EarlyAnswerService(Rc<StoreService>);

impl GroupService for EarlyAnswerService {
    fn submit(&self, request: Vec<u8>) -> LocalBoxFuture<'_, Submission> {
        let Some(service) = self.0.turn_service() else {
            return Box::pin(async { Submission::NotLeader(None) });
        };
        Box::pin(async move { service.answer_early(&request).await })
    }

    fn history(&self, _offset: u64) -> Vec<u8> {
        Vec::new()
    }
}

/// Tells entries of new suspects; see docs/design/027-requests-that-end-servers.md.
struct SuspectService(Rc<StoreService>);

impl GroupService for SuspectService {
    fn submit(&self, request: Vec<u8>) -> LocalBoxFuture<'_, Submission> {
        let Some(service) = self.0.turn_service() else {
            return Box::pin(async { Submission::NotLeader(None) });
        };
        Box::pin(async move { service.query_suspects(&request).await })
    }

    fn history(&self, _offset: u64) -> Vec<u8> {
        Vec::new()
    }
}

/// The stores that may take part in a group: those that run a replica of it and spare ones.
fn candidates(group: GroupId, view: &ClusterView) -> Vec<Candidate> {
    let eligible = |store: &Member| store.ready && store.group.is_none_or(|id| id == group);
    let candidate = |store: Member| Candidate {
        node: store.node,
        tie_break: tie_break(group, store.node),
        leaving: view.is_leaving(&store.vm),
        zone: store.zone,
    };
    view.stores().into_iter().filter(eligible).map(candidate).collect()
}

fn tie_break(group: GroupId, node: NodeId) -> u64 {
    xxh3_64_with_seed(&node.0.to_le_bytes(), group.0.into())
}

/// Follows the cluster view for the declared teams, and persists the addresses of the other stores across restarts.
fn watch_cluster(context: &ProcessContext, replica: &Rc<StoreReplica>) {
    let (tx, rx) = smol::channel::unbounded();
    let (wire, clock) = (context.wire.clone(), context.clock);
    context.view.watch(Rc::new(StoreWatcher {
        stores: tx,
        wire,
        clock,
        admission: replica.admission.clone(),
    }));
    let Some(folder) = &context.settings.data_folder else {
        return;
    };
    let saved = contacts::load(folder).unwrap_or_else(|error| {
        warn!("Failed to load the addresses of other stores, waiting for control: {error}.");
        BTreeMap::new()
    });
    for (node, address) in &saved {
        context.links.add_address(*node, SocketAddr::V4(*address));
    }
    let folder = folder.clone();
    let saving = async move {
        let mut saved = saved;
        while let Ok(stores) = rx.recv().await {
            if stores == saved {
                continue;
            }
            let (folder, contacts) = (folder.clone(), stores.clone());
            match smol::unblock(move || contacts::save(&folder, &contacts)).await {
                Ok(()) => saved = stores,
                Err(error) => warn!("Failed to save the addresses of other stores: {error}."),
            }
        }
    };
    context.executor.spawn(saving).detach();
}

/// Applies declared teams to the admission and sends the addresses of the stores at each change of the members.
struct StoreWatcher {
    stores: Sender<BTreeMap<NodeId, SocketAddrV4>>,
    wire: Rc<dyn WireFormat>,
    clock: Clock,
    admission: Rc<RefCell<TurnAdmission>>,
}

impl Watcher for StoreWatcher {
    fn routes(&self, document: &Document) {
        match self.wire.read_table(document.text.as_bytes()) {
            Ok(table) => {
                info!(
                    "Applying the limits of {} teams of routes version {}.",
                    table.teams().len(),
                    table.version
                );
                self.admission.borrow_mut().set_teams(self.clock.now(), table.teams());
            }
            // Control accepted the table, so this node runs another build; it keeps the teams that it has.
            Err(error) => warn!("Failed to read the teams of routes version {}: {error}.", document.version),
        }
    }

    fn members(&self, members: &[Member]) {
        let stores = members.iter().filter(|member| member.role == Role::Store);
        let stores: BTreeMap<NodeId, SocketAddrV4> =
            stores.map(|member| (member.node, member.peer)).collect();
        // A list without stores comes from a new control leader that has no reports from them yet. The receiver lives as
        // long as the process.
        if !stores.is_empty() {
            let _ = self.stores.try_send(stores);
        }
    }
}

/// Opens the replica from its files. A new store waits until the state groups are created, and if it is not an initial voter
/// of any, until a group invites it.
async fn open(
    context: &ProcessContext,
    replica: &StoreReplica,
    subscriber: &Subscriber,
    invitations: &Receiver<GroupId>,
) -> Result<(GroupId, Rc<Group<TurnState>>), NodeError> {
    debug_assert_eq!(
        context.settings.process.role,
        Role::Store,
        "only a store runs a replica of a state group"
    );
    let max_bytes = context.memory_bytes() / 10 * STATE_MEMORY_TENTHS;
    let (storage, timing) = (context.storage(max_bytes / SNAPSHOT_LOG_DIVISOR), timing());
    let opener = context.opener(&storage, &timing);
    let mut initial_voters = None;
    let stored = if let Some(stored) = stored_replica(context, &opener).await? {
        stored
    } else if let Some((id, voters)) = initial_group(context).await {
        initial_voters = Some(voters);
        opener.load(id).await?
    } else {
        replica.spare.set(true);
        subscriber.report_now();
        info!("The store is spare until a state group adds it.");
        // The sender lives as long as the process.
        opener.load(invitations.recv().await.unwrap_or(FIRST_STATE_GROUP)).await?
    };
    let id = stored.group();
    replica.id.set(Some(id));
    // The node ID is stored before the replica's first file, and an empty disk gets a new ID. So an initial voter with its
    // ID but without files has acknowledged nothing.
    let missing = if initial_voters.is_some() { MissingFiles::Bootstrap } else { context.missing_files };
    let initial_voters: Vec<NodeId> = initial_voters.into_iter().flatten().collect();
    info!(
        "Opening replica of state group {} (if files are missing: {missing:?}); initial voters: {initial_voters:?}.",
        id.0
    );
    let local =
        opener.open_stored(stored, TurnState::with_max_bytes(max_bytes), &initial_voters, missing).await?;
    local.driver.detach();
    Ok((id, local.group))
}

/// Finds the files of the replica that this store ran before it was restarted.
async fn stored_replica(
    context: &ProcessContext,
    opener: &ReplicaOpener<'_>,
) -> Result<Option<StoredReplica>, NodeError> {
    let Some(folder) = &context.settings.data_folder else {
        return Ok(None);
    };
    for id in state_groups().filter(|id| has_folder(folder, *id)) {
        let stored = opener.load(id).await?;
        if !stored.is_empty() {
            return Ok(Some(stored));
        }
    }
    Ok(None)
}

/// Waits until control has created the state groups, and returns the one that this store is an initial voter of.
async fn initial_group(context: &ProcessContext) -> Option<(GroupId, BTreeSet<NodeId>)> {
    loop {
        let groups = context.view.initial_voters();
        if !groups.is_empty() {
            return state_groups().zip(groups).find(|(_, voters)| voters.contains(&context.node));
        }
        Timer::after(CREATION_POLL_INTERVAL).await;
    }
}
