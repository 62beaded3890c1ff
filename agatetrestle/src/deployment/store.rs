//! A store: a replica of a state group that holds turns and budgets.

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
use crate::deployment::Frame;
use crate::deployment::replicated::Replicated;
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

/// Tenths of the memory that kept turns may take. While a snapshot is made or read the turns are there twice, and at a
/// start the log beside them: 2.5 times 3 tenths and a base of 13 MB stay under 120 MB, the least that a store has;
/// `tests/store_memory.rs` counts it.
const ROOM_TENTHS: usize = 3;
/// Bytes of commands between two snapshots, as a part of the room: less makes more snapshots, more a longer start.
const LOG_SHARE: usize = 2;
/// How often a new store looks whether the state group was founded.
const FOUNDING_POLL: Duration = Duration::from_millis(50);

pub(super) async fn start(frame: &Frame) -> Result<Replicated<TurnState>, NodeError> {
    let held = Rc::new(Held::new(frame.settings.bounds.allowance));
    let (introduced, member) = (held.clone(), frame.member());
    let introduce = Rc::new(move || introduced.introduce(&member));
    watch(frame, &held);
    let subscriber = frame.subscriber(introduce, None);
    let (inviting, invitations) = smol::channel::bounded(1);
    frame.serve_peers(server(frame, &held, &inviting));
    let (id, opened) = open(frame, &held, &subscriber, &invitations).await?;
    held.replica.replace(Some(opened.clone()));
    subscriber.report_now();
    let view = frame.view.clone();
    let candidates = Rc::new(move || candidates(id, &view));
    let wanted = VoterCounts { target: frame.quorum_base(), min: frame.quorum_base() };
    frame.executor.spawn(repair::repair_forever(opened.clone(), candidates, wanted)).detach();
    Ok(Replicated { group: opened, subscriber })
}

/// The replica of this store, which holds one at the most: the turns of one group may fill its memory.
struct Held {
    /// The group of the replica, from when that is decided on.
    group: Cell<Option<GroupId>>,
    /// Whether the store knows that it founds no group, so that any may take it in.
    spare: Cell<bool>,
    replica: RefCell<Option<Rc<Group<TurnState>>>>,
    /// What the replica weighs while it leads.
    openings: Rc<RefCell<TurnAdmission>>,
}

impl Held {
    fn new(bounds: AllowanceBounds) -> Self {
        Self {
            group: Cell::default(),
            spare: Cell::default(),
            replica: RefCell::default(),
            openings: Rc::new(RefCell::new(TurnAdmission::new(bounds))),
        }
    }

    fn introduce(&self, member: &Member) -> NodeStatus {
        let replica = self.replica.borrow();
        let ready = replica.is_some() || self.spare.get();
        let member = Member { ready, group: self.group.get(), ..member.clone() };
        let leading = replica.as_ref().filter(|replica| replica.leads());
        let voters = leading.map(|replica| replica.replicas().voters);
        let holdings = replica.as_ref().map(|replica| replica.machine(TurnState::holdings));
        NodeStatus { member, voters, holdings }
    }

    fn replica_of(&self, group: GroupId) -> Option<Rc<Group<TurnState>>> {
        let replica = self.replica.borrow();
        replica.as_ref().filter(|_| self.group.get() == Some(group)).cloned()
    }
}

/// What other nodes reach here, for whichever group this store comes to hold. A message that counts this store as a learner
/// of a group is an invitation; the leader sends it again until it is answered.
fn server(frame: &Frame, held: &Rc<Held>, inviting: &Sender<GroupId>) -> PeerServer {
    let mut server = PeerServer::default();
    let own = frame.node;
    for id in state_groups() {
        let (receiving, inviting) = (held.clone(), inviting.clone());
        let receive = move |message: Message| {
            if let Some(replica) = receiving.replica_of(id) {
                return replica.receive(message);
            }
            if message.to == own && message.addresses_learner() {
                // A full channel means that another group has invited.
                let _ = inviting.try_send(id);
            }
            Vec::new()
        };
        server.handlers.insert(id, Rc::new(receive));
        let desk = StoreService { id, held: held.clone(), clock: frame.clock, opened: RefCell::default() };
        server.services.insert(id, Rc::new(desk));
    }
    server
}

/// What this store offers of one group, once it holds a replica of it.
struct StoreService {
    id: GroupId,
    held: Rc<Held>,
    clock: Clock,
    opened: RefCell<Option<Rc<TurnService>>>,
}

impl StoreService {
    fn desk(&self) -> Option<Rc<TurnService>> {
        let replica = self.held.replica_of(self.id)?;
        let mut opened = self.opened.borrow_mut();
        Some(
            opened
                .get_or_insert_with(|| {
                    Rc::new(TurnService::new(replica, self.clock, self.held.openings.clone()))
                })
                .clone(),
        )
    }
}

impl GroupService for StoreService {
    fn submit(&self, request: Vec<u8>) -> LocalBoxFuture<'_, Submission> {
        let Some(desk) = self.desk() else {
            return Box::pin(async { Submission::NotLeader(None) });
        };
        Box::pin(async move { desk.submit(request).await })
    }

    fn history(&self, offset: u64) -> Vec<u8> {
        self.desk().map_or_else(Vec::new, |desk| desk.history(offset))
    }
}

/// The stores that may take part in a group: those that hold a replica of it and spare ones.
fn candidates(group: GroupId, view: &ClusterView) -> Vec<Candidate> {
    let fit = |store: &Member| store.ready && store.group.is_none_or(|held| held == group);
    let candidate = |store: Member| Candidate {
        node: store.node,
        tie_break: lot(group, store.node),
        leaving: view.is_leaving(&store.vm),
        zone: store.zone,
    };
    view.stores().into_iter().filter(fit).map(candidate).collect()
}

fn lot(group: GroupId, node: NodeId) -> u64 {
    xxh3_64_with_seed(&node.0.to_le_bytes(), group.0.into())
}

/// Takes in the declared teams, finds the other stores where they last were, and keeps where they are from now on.
fn watch(frame: &Frame, held: &Rc<Held>) {
    let (tx, rx) = smol::channel::unbounded();
    let (wire, clock) = (frame.wire.clone(), frame.clock);
    frame.view.watch(Rc::new(StoreWatcher { stores: tx, wire, clock, openings: held.openings.clone() }));
    let Some(folder) = &frame.settings.data_folder else {
        return;
    };
    let kept = contacts::load(folder).unwrap_or_else(|failure| {
        warn!("Where the other stores were can't be read, so control has to tell: {failure}.");
        BTreeMap::new()
    });
    for (node, address) in &kept {
        frame.links.add_address(*node, SocketAddr::V4(*address));
    }
    let folder = folder.clone();
    let saving = async move {
        let mut kept = kept;
        while let Ok(stores) = rx.recv().await {
            if stores == kept {
                continue;
            }
            let (folder, saved) = (folder.clone(), stores.clone());
            match smol::unblock(move || contacts::save(&folder, &saved)).await {
                Ok(()) => kept = stores,
                Err(failure) => warn!("Where the other stores are can't be kept: {failure}."),
            }
        }
    };
    frame.executor.spawn(saving).detach();
}

/// Passes on which teams are declared, and where the stores are each time the members change.
struct StoreWatcher {
    stores: Sender<BTreeMap<NodeId, SocketAddrV4>>,
    wire: Rc<dyn WireFormat>,
    clock: Clock,
    openings: Rc<RefCell<TurnAdmission>>,
}

impl Watcher for StoreWatcher {
    fn routes(&self, document: &Document) {
        match self.wire.read_table(document.text.as_bytes()) {
            Ok(table) => {
                info!("{} teams of version {} have accounts here.", table.teams().len(), table.version);
                self.openings.borrow_mut().set_teams(self.clock.now(), table.teams());
            }
            // Control accepted it, so this node is of another build; it goes on with the teams that it knows.
            Err(failure) => warn!("Teams of version {} can't be used here: {failure}.", document.version),
        }
    }

    fn members(&self, members: &[Member]) {
        let stores = members.iter().filter(|member| member.role == Role::Store);
        let stores: BTreeMap<NodeId, SocketAddrV4> =
            stores.map(|member| (member.node, member.peer)).collect();
        // A list without stores is of a control leader that has not heard from them yet. The receiver lasts as long as
        // the process.
        if !stores.is_empty() {
            let _ = self.stores.try_send(stores);
        }
    }
}

/// Opens the replica from its files. A new store waits until it knows whether it is one of the founders, and if it is none
/// until a group invites it.
async fn open(
    frame: &Frame,
    held: &Held,
    subscriber: &Subscriber,
    invitations: &Receiver<GroupId>,
) -> Result<(GroupId, Rc<Group<TurnState>>), NodeError> {
    debug_assert_eq!(frame.settings.process.role, Role::Store, "only a store holds turns");
    let room = frame.memory() / 10 * ROOM_TENTHS;
    let (storage, timing) = (frame.storage(room / LOG_SHARE), timing());
    let opener = frame.opener(&storage, &timing);
    let mut founders = None;
    let found = if let Some(found) = held_before(frame, &opener).await? {
        found
    } else if let Some((id, voters)) = founded(frame).await {
        founders = Some(voters);
        opener.load(id).await?
    } else {
        held.spare.set(true);
        subscriber.report_now();
        info!("The store is spare until a state group takes it in.");
        // The sending side lasts as long as the process.
        opener.load(invitations.recv().await.unwrap_or(FIRST_STATE_GROUP)).await?
    };
    let id = found.group();
    held.group.set(Some(id));
    // The number lasts before the first file of the replica does and is new with each empty disk. So a founder with its number
    // but without files never acknowledged anything.
    let missing = if founders.is_some() { MissingFiles::Bootstrap } else { MissingFiles::Join };
    let founders: Vec<NodeId> = founders.into_iter().flatten().collect();
    info!("State group {} is opened by {missing:?}; its founders are {founders:?}.", id.0);
    let replica = opener.open_stored(found, TurnState::with_max_bytes(room), &founders, missing).await?;
    replica.driver.detach();
    Ok((id, replica.group))
}

/// The files of the group of which this store held a replica before its start.
async fn held_before(frame: &Frame, opener: &ReplicaOpener<'_>) -> Result<Option<StoredReplica>, NodeError> {
    let Some(folder) = &frame.settings.data_folder else {
        return Ok(None);
    };
    for id in state_groups().filter(|id| has_folder(folder, *id)) {
        let found = opener.load(id).await?;
        if !found.is_empty() {
            return Ok(Some(found));
        }
    }
    Ok(None)
}

/// The group that this store founds with others, once control has told the founders.
async fn founded(frame: &Frame) -> Option<(GroupId, BTreeSet<NodeId>)> {
    loop {
        let founding = frame.view.initial_voters();
        if !founding.is_empty() {
            return state_groups().zip(founding).find(|(_, voters)| voters.contains(&frame.node));
        }
        Timer::after(FOUNDING_POLL).await;
    }
}
