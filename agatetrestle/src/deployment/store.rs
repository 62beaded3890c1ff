//! A store: a replica of the state group that holds turns and budgets.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::net::SocketAddrV4;
use std::rc::Rc;
use std::time::Duration;

use agatetrestle_config::deployment::Role;
use log::info;
use log::warn;
use smol::Timer;
use smol::channel::Sender;

use crate::cluster::contacts;
use crate::cluster::keeper;
use crate::cluster::message::Introduction;
use crate::cluster::message::Member;
use crate::cluster::service::TurnDesk;
use crate::cluster::view::Watcher;
use crate::cluster::voters::Candidate;
use crate::cluster::voters::Wanted;
use crate::deployment::Frame;
use crate::deployment::replicated::Replicated;
use crate::deployment::timing;
use crate::ids::FIRST_STATE_GROUP;
use crate::ids::NodeId;
use crate::node::NodeError;
use crate::node::group::Group;
use crate::node::peer_server::PeerServer;
use crate::node::replicas::Missing;
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
    let group: Rc<RefCell<Option<Rc<Group<TurnState>>>>> = Rc::default();
    let (introduced, member) = (group.clone(), frame.member());
    let introduce = Rc::new(move || {
        let group = introduced.borrow();
        let member = Member { ready: group.is_some(), ..member.clone() };
        let leading = group.as_ref().filter(|group| group.leads());
        let voters = leading.map(|group| group.replicas().voters);
        let holdings = group.as_ref().map(|group| group.machine(TurnState::holdings));
        Introduction { member, voters, holdings }
    });
    remember_stores(frame);
    let subscriber = frame.subscriber(introduce, None);
    let opened = open(frame).await?;
    group.replace(Some(opened.clone()));
    subscriber.renew();
    let mut server = PeerServer::default();
    let receiving = opened.clone();
    server.receivers.insert(FIRST_STATE_GROUP, Rc::new(move |message| receiving.receive(message)));
    server.services.insert(FIRST_STATE_GROUP, Rc::new(TurnDesk::new(opened.clone(), frame.clock)));
    frame.serve_peers(server);
    let view = frame.view.clone();
    let candidates = Rc::new(move || {
        let stores = view.stores().into_iter().filter(|store| store.ready);
        let candidate = |store: Member| Candidate {
            node: store.node,
            leaving: view.is_leaving(&store.vm),
            zone: store.zone,
        };
        stores.map(candidate).collect()
    });
    let wanted = Wanted { most: frame.quorum_base(), least: frame.quorum_base() };
    frame.executor.spawn(keeper::keep(opened.clone(), candidates, wanted)).detach();
    Ok(Replicated { group: opened, subscriber })
}

/// Finds the other stores where they last were, and keeps where they are from now on.
fn remember_stores(frame: &Frame) {
    let Some(folder) = &frame.settings.data_folder else {
        return;
    };
    let kept = contacts::load(folder).unwrap_or_else(|failure| {
        warn!("Where the other stores were can't be read, so control has to tell: {failure}.");
        BTreeMap::new()
    });
    for (node, address) in &kept {
        frame.links.learn(*node, SocketAddr::V4(*address));
    }
    let (tx, rx) = smol::channel::unbounded();
    frame.view.watch(Rc::new(StoreWatcher(tx)));
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

/// Passes on where the stores are, each time the members change.
struct StoreWatcher(Sender<BTreeMap<NodeId, SocketAddrV4>>);

impl Watcher for StoreWatcher {
    fn members(&self, members: &[Member]) {
        let stores = members.iter().filter(|member| member.role == Role::Store);
        let stores: BTreeMap<NodeId, SocketAddrV4> =
            stores.map(|member| (member.node, member.peer)).collect();
        // A list without stores is of a control leader that has not heard from them yet. The receiver lasts as long as
        // the process.
        if !stores.is_empty() {
            let _ = self.0.try_send(stores);
        }
    }
}

/// Opens the replica from its files. A new store waits until it knows whether it is one of the founders.
async fn open(frame: &Frame) -> Result<Rc<Group<TurnState>>, NodeError> {
    debug_assert_eq!(frame.settings.process.role, Role::Store, "only a store holds turns");
    let room = frame.memory() / 10 * ROOM_TENTHS;
    let (storage, timing) = (frame.storage(room / LOG_SHARE), timing());
    let opener = frame.opener(&storage, &timing);
    let mut missing = Missing::Join;
    let mut founders: Vec<NodeId> = Vec::new();
    let found = opener.find(FIRST_STATE_GROUP).await?;
    if found.is_empty() {
        while frame.view.founding().is_empty() {
            Timer::after(FOUNDING_POLL).await;
        }
        founders = frame.view.founding().into_iter().collect();
        // The number lasts before the first file of the replica does and is new with each empty disk. So a founder with
        // its number but without files never acknowledged anything.
        if founders.contains(&frame.node) {
            missing = Missing::Bootstrap;
        }
        info!("The state group is opened by {missing:?}; its founders are {founders:?}.");
    }
    let replica = opener.open_found(found, TurnState::with_room(room), &founders, missing).await?;
    replica.driver.detach();
    Ok(replica.group)
}
