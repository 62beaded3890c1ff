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

/// Searches after which the leader must have been found; the third already begins after the deadline of a report.
const SEARCHES: u32 = 6;

/// A control replica that comes to lead.
struct Contact(Cell<bool>);

impl ReportService for Contact {
    fn take(&self, _report: Vec<u8>) -> LocalBoxFuture<'_, Result<Vec<u8>, DecodeError>> {
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
        by_address: RefCell::default(),
        log: ReportLog::default(),
        recorder: Rc::new(Metrics::new().unwrap()),
        notify: smol::channel::bounded(1),
    }
}

#[test]
fn a_process_finds_the_leader_behind_a_connection_that_went_silent() {
    let executor = Rc::new(LocalExecutor::new());
    smol::block_on(executor.run(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let contact = Rc::new(Contact(Cell::new(false)));
        let server = PeerServer { reports: Some(contact.clone()), ..PeerServer::default() };
        let forwarder = Forwarder::start(&executor, listener.local_addr().unwrap()).await.unwrap();
        executor.spawn(peer_server::serve(Rc::new(server), listener, Rc::downgrade(&executor))).detach();
        let subscriber = subscriber(forwarder.address, &executor);
        // A connection to a follower, which then loses power and comes back as the leader.
        let asked = subscriber.contacts().first().copied().unwrap();
        assert!(!subscriber.report_to(asked).await);
        forwarder.forget();
        contact.0.set(true);
        for _ in 0..SEARCHES {
            // A search ends before the report that it sent is late.
            if within(REPORT_TIMEOUT / 2, subscriber.round()).await.flatten().is_some() {
                return;
            }
        }
        panic!("the leader was not found in {SEARCHES} searches");
    }));
}
