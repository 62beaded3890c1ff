//! A control replica: what is in force, who is there, and which backend servers the platform lists.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use agatetrestle_config::deployment::Role;
use log::info;
use log::warn;
use smol::Timer;

use crate::cluster::identity;
use crate::cluster::message::ControlRequest;
use crate::cluster::message::Member;
use crate::cluster::registry::ClusterRegistry;
use crate::cluster::repair;
use crate::cluster::service::ControlService;
use crate::cluster::voters::Candidate;
use crate::cluster::voters::VoterCounts;
use crate::codec::encode;
use crate::control::command::ControlCommand;
use crate::control::state::ControlState;
use crate::deployment::Frame;
use crate::deployment::REQUEST_TIMEOUTS;
use crate::deployment::directory;
use crate::deployment::listing;
use crate::deployment::operators;
use crate::deployment::replicated::Replicated;
use crate::deployment::serve_http;
use crate::deployment::timing;
use crate::ids::CONTROL_GROUP;
use crate::ids::MOST_STATE_GROUPS;
use crate::ids::NodeId;
use crate::node::NodeError;
use crate::node::group::Group;
use crate::node::peer_server::PeerServer;
use crate::node::replicas::Missing;
use crate::node::router::Router;
use crate::node::service::GroupService;
use crate::transport::server::Bounds;

/// How often a control replica looks who has gone silent.
const REFRESH: Duration = Duration::from_millis(200);
/// How often it looks whether somebody leads while nobody does.
const ELECTION_POLL: Duration = Duration::from_millis(10);
/// Time for which the same number of stores must be there before the state groups are founded, so that those that start
/// at the same time all take part.
const SETTLE: Duration = Duration::from_secs(1);
/// Stores for each state group beyond its voters, so that a lost voter finds a successor that belongs to no other group.
const SPARE_STORES: usize = 1;
/// Log bytes after which a snapshot is taken. The state is one table of routes.
const SNAPSHOT_AFTER: usize = 4 << 20;
/// Connections of operators, and of callers that ask for addresses.
const CONNECTIONS: usize = 1_024;

pub(super) async fn start(frame: &Frame) -> Result<Replicated<ControlState>, NodeError> {
    let group = open(frame).await?;
    let member = Member { ready: true, ..frame.member() };
    let registry = ClusterRegistry::new(&member, group.clone(), frame.links.clone(), frame.clock);
    let desk: Rc<dyn GroupService> = Rc::new(ControlService {
        group: group.clone(),
        registry: registry.clone(),
        min_stores: frame.quorum_base(),
    });
    let mut server = PeerServer { reports: Some(registry.clone()), ..PeerServer::default() };
    let receiving = group.clone();
    server.receivers.insert(CONTROL_GROUP, Rc::new(move |message| receiving.receive(message)));
    server.services.insert(CONTROL_GROUP, desk.clone());
    frame.serve_peers(server);
    let subscriber = frame.subscriber(Rc::new(move || member.clone().into()), Some(registry.clone()));
    let links = frame.links.clone();
    let router =
        Router::new(CONTROL_GROUP, frame.node, Some(desk), links, &[], frame.clock, REQUEST_TIMEOUTS);
    let router = Rc::new(router);
    spawn_upkeep(frame, &group, &registry, &router);
    let bounds = Bounds::new(CONNECTIONS);
    let handler = operators::handler(frame.wire.clone(), router);
    serve_http(frame, frame.settings.listen.operators, handler, bounds.clone());
    let handler = directory::handler(frame.wire.clone(), registry, frame.settings.bounds.address_max_age);
    serve_http(frame, frame.settings.listen.directory, handler, bounds);
    Ok(Replicated { group, subscriber })
}

/// Waits for the next refresh. While there is no leader it checks often, and wakes held reports once there is one.
async fn wait_for_change(group: &Group<ControlState>, registry: &ClusterRegistry) {
    let mut left = REFRESH;
    while !left.is_zero() {
        let led = (group.leads(), group.leader());
        // A replica that was just elected leads once a majority has answered it.
        let settled = led.1.is_some_and(|leader| led.0 || !group.is(leader));
        let pause = if settled { left } else { ELECTION_POLL.min(left) };
        Timer::after(pause).await;
        left = left.saturating_sub(pause);
        if (group.leads(), group.leader()) != led {
            registry.wake();
        }
    }
}

fn spawn_upkeep(
    frame: &Frame,
    group: &Rc<Group<ControlState>>,
    registry: &Rc<ClusterRegistry>,
    router: &Rc<Router>,
) {
    let candidates = {
        let registry = registry.clone();
        Rc::new(move || registry.candidates(Role::Control))
    };
    let wanted = VoterCounts { target: usize::MAX, min: frame.quorum_base() };
    frame.executor.spawn(repair::repair_forever(group.clone(), candidates, wanted)).detach();
    let listing = listing::Listing {
        wire: frame.wire.clone(),
        settings: frame.settings.backend_list,
        group: group.clone(),
        registry: registry.clone(),
        clock: frame.clock,
        recorder: frame.metrics.clone(),
        executor: frame.executor.clone(),
    };
    frame.executor.spawn(listing.run()).detach();
    frame
        .executor
        .spawn(found(group.clone(), registry.clone(), router.clone(), frame.quorum_base()))
        .detach();
    let (group, registry, router) = (group.clone(), registry.clone(), router.clone());
    let (links, view) = (frame.links.clone(), frame.view.clone());
    let refreshing = async move {
        loop {
            // A follower that can't reach the leader goes on with the last list: some address is better than none.
            registry.adopt_members(&view.members());
            registry.refresh();
            let voters: Vec<NodeId> = group.replicas().voters.into_iter().collect();
            router.set_holders(&voters);
            super::learn_control(&links, &view);
            wait_for_change(&group, &registry).await;
        }
    };
    frame.executor.spawn(refreshing).detach();
}

/// Names the first voters of the state groups once enough stores have been there for a while.
async fn found(
    group: Rc<Group<ControlState>>,
    registry: Rc<ClusterRegistry>,
    router: Rc<Router>,
    wanted: usize,
) {
    let mut settled_for = Duration::ZERO;
    let mut known = 0;
    loop {
        Timer::after(REFRESH).await;
        if !group.machine(|state| state.initial_voters().is_empty()) {
            return;
        }
        let stores = registry.candidates(Role::Store);
        let same = std::mem::replace(&mut known, stores.len()) == stores.len();
        if !group.leads() || stores.len() < wanted || !same {
            settled_for = Duration::ZERO;
            continue;
        }
        settled_for += REFRESH;
        if settled_for < SETTLE {
            continue;
        }
        let groups = founders(stores, wanted);
        info!("The state groups are founded by {groups:?}.");
        let request = ControlRequest::Command(ControlCommand::Found { groups });
        if let Err(failure) = router.submit(encode(&request)).await {
            warn!("The state groups could not be founded yet: {failure}.");
        }
    }
}

/// The first voters of as many groups as the stores can carry with some to spare. Each group has one leader, which bounds
/// how many turns it takes, and a store takes part in one group, whose turns may fill its memory.
pub(super) fn founders(mut stores: Vec<Candidate>, wanted: usize) -> Vec<BTreeSet<NodeId>> {
    let count = (stores.len() / (wanted + SPARE_STORES)).clamp(1, MOST_STATE_GROUPS);
    (0..count).map(|_| spread(&mut stores, wanted)).collect()
}

/// Takes out as many stores as are wanted, from as many failure domains as possible.
fn spread(left: &mut Vec<Candidate>, wanted: usize) -> BTreeSet<NodeId> {
    let mut chosen: Vec<Candidate> = Vec::new();
    while chosen.len() < wanted && !left.is_empty() {
        let used = |zone: &str| chosen.iter().filter(|store| &*store.zone == zone).count();
        let next = (0..left.len()).min_by_key(|at| (used(&left[*at].zone), left[*at].node)).unwrap_or(0);
        chosen.push(left.swap_remove(next));
    }
    chosen.into_iter().map(|store| store.node).collect()
}

async fn open(frame: &Frame) -> Result<Rc<Group<ControlState>>, NodeError> {
    let (storage, timing) = (frame.storage(SNAPSHOT_AFTER), timing());
    let opener = frame.opener(&storage, &timing);
    let port = frame.settings.process.peer_port;
    let founders: Vec<NodeId> =
        frame.settings.seeds.iter().map(|seed| identity::founder_id(*seed.ip())).collect();
    for seed in &frame.settings.seeds {
        let address = SocketAddr::from((*seed.ip(), port));
        frame.links.learn(identity::founder_id(*seed.ip()), address);
    }
    let founds = frame.settings.founding && founders.contains(&frame.node);
    let missing = if founds { Missing::Bootstrap } else { Missing::Join };
    let replica = opener.open(CONTROL_GROUP, ControlState::default(), &founders, missing).await?;
    replica.driver.detach();
    Ok(replica.group)
}
