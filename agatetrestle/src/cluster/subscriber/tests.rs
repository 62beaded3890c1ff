//! Tests of the search for the leader.

use std::cell::Cell;

use agatetrestle_fakes::forwarder::Forwarder;
use futures::future::LocalBoxFuture;
use smol::LocalExecutor;
use smol::net::TcpListener;

use super::*;
use crate::cluster::message::Member;
use crate::ids::NodeId;
use crate::metrics::Metrics;
use crate::node::peer_server;
use crate::node::peer_server::PeerServer;
use crate::node::service::ReportService;

/// Searches within which the leader must be found.
const MAX_SEARCHES: u32 = 6;

/// A control replica that can become the leader.
struct FakeReplica(Cell<bool>);

impl ReportService for FakeReplica {
    fn answer(&self, _report: Vec<u8>) -> LocalBoxFuture<'_, Result<Vec<u8>, DecodeError>> {
        let update = Update { confirmed: self.0.get(), ..Update::default() };
        Box::pin(async move { Ok(encode(&update)) })
    }
}

fn entry() -> Member {
    Member {
        node: NodeId(1),
        role: Role::Entry,
        vm: "entry-1".into(),
        zone: "a".into(),
        peer: SocketAddrV4::new([127, 0, 0, 1].into(), 1),
        callers: None,
        ready: true,
        group: None,
        entry: None,
    }
}

fn subscriber(contact: SocketAddr, executor: &Rc<LocalExecutor<'static>>) -> Subscriber {
    let SocketAddr::V4(seed) = contact else {
        unreachable!("the forwarder listens on IPv4");
    };
    Subscriber {
        status_source: Rc::new(|| entry().into()),
        seeds: RefCell::new(vec![seed]),
        view: Rc::default(),
        registry: None,
        links: Links::new(NodeId(1), REPORT_TIMEOUT, executor),
        clock: Clock::start(),
        links_by_address: RefCell::default(),
        relay: AssignedRelay::default(),
        random: RefCell::new(Random::new(1)),
        log: ReportLog::default(),
        recorder: Rc::new(Metrics::new().unwrap()),
        notify: smol::channel::bounded(1),
    }
}

#[test]
fn finds_leader_behind_stalled_connection() {
    let executor = Rc::new(LocalExecutor::new());
    smol::block_on(executor.run(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let replica = Rc::new(FakeReplica(Cell::new(false)));
        let server = PeerServer { reports: Some(replica.clone()), ..PeerServer::default() };
        let forwarder = Forwarder::start(&executor, listener.local_addr().unwrap()).await.unwrap();
        executor.spawn(peer_server::serve(Rc::new(server), listener, Rc::downgrade(&executor))).detach();
        let subscriber = subscriber(forwarder.address, &executor);
        // The connection leads to a follower, which loses power and restarts as the leader.
        let address = subscriber.contacts().first().copied().unwrap();
        let answer = subscriber.report_to(address, subscriber.relay.target()).await;
        assert_eq!(answer, Answer::Failed);
        forwarder.blackhole_existing();
        replica.0.set(true);
        for _ in 0..MAX_SEARCHES {
            // Each search is cancelled before the timeout of its report.
            if with_deadline(REPORT_TIMEOUT / 2, subscriber.report_once()).await.flatten().is_some() {
                return;
            }
        }
        panic!("the leader was not found in {MAX_SEARCHES} searches");
    }));
}
