//! Tests of the way to a leader that is lost while a request is under way.

use std::net::SocketAddr;

use futures::future::LocalBoxFuture;
use smol::LocalExecutor;
use smol::net::TcpListener;

use super::*;

const OWN: NodeId = NodeId(1);
const SILENT: NodeId = NodeId(2);
/// Longer than any test runs: a try at a silent holder never ends by itself.
const EVER: Duration = Duration::from_hours(1);

/// A replica that answers each request with one submission.
struct Replica {
    says: Submission,
    asked: Cell<u32>,
}

impl GroupService for Replica {
    fn submit(&self, _request: Vec<u8>) -> LocalBoxFuture<'_, Submission> {
        self.asked.set(self.asked.get() + 1);
        let says = self.says.clone();
        Box::pin(async move { says })
    }

    fn history(&self, _offset: u64) -> Vec<u8> {
        Vec::new()
    }
}

/// Takes connections and says nothing on them.
async fn silent_peer() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    (listener, address)
}

/// Hands requests over while the last known leader is silent; what came of them, and how often the other was asked.
fn submit_past_a_silent_leader(says: Submission, requests: usize) -> (Vec<Vec<u8>>, u32) {
    let executor = Rc::new(LocalExecutor::new());
    smol::block_on(executor.run(async {
        let (_listener, address) = silent_peer().await;
        let links = Links::new(OWN, EVER, &executor);
        links.add_address(SILENT, address);
        let replica = Rc::new(Replica { says, asked: Cell::new(0) });
        let timeouts = RequestTimeouts { attempt: EVER, request: EVER };
        let local: Rc<dyn GroupService> = replica.clone();
        let holders = [OWN, SILENT];
        let router = Router::new(GroupId(1), OWN, Some(local), links, &holders, Clock::start(), timeouts);
        router.hint.set(Some(SILENT));
        let all = (0..requests).map(|_| router.submit(vec![7]));
        let answers = futures::future::join_all(all).await;
        assert_eq!(router.hint.get(), Some(OWN), "the next request goes there at once");
        (answers.into_iter().map(Result::unwrap).collect(), replica.asked.get())
    }))
}

#[test]
fn a_request_under_way_does_not_wait_for_a_silent_leader_once_another_leads() {
    let (answers, asked) = submit_past_a_silent_leader(Submission::Applied(vec![9]), 1);
    assert_eq!((answers, asked), (vec![vec![9]], 1));
}

#[test]
fn of_many_that_wait_one_searches_and_all_go_where_it_found_the_leader() {
    let (answers, asked) = submit_past_a_silent_leader(Submission::Applied(vec![9]), 20);
    assert_eq!((answers.len(), asked), (20, 20), "each is handed over once");
}

#[test]
fn a_request_waits_for_holders_that_are_told_a_moment_later() {
    let executor = Rc::new(LocalExecutor::new());
    smol::block_on(executor.run(async {
        let replica = Rc::new(Replica { says: Submission::Applied(vec![9]), asked: Cell::new(0) });
        let timeouts = RequestTimeouts { attempt: EVER, request: EVER };
        let links = Links::new(OWN, EVER, &executor);
        let router = Router::new(GroupId(1), OWN, Some(replica), links, &[], Clock::start(), timeouts);
        let telling = async { router.set_holders(&[OWN]) };
        let (answer, ()) = futures::future::join(router.submit(vec![7]), telling).await;
        assert_eq!(answer.unwrap(), [9]);
    }));
}

#[test]
fn who_offers_something_new_is_refused_at_once_and_what_must_be_settled_is_not() {
    let executor = Rc::new(LocalExecutor::new());
    smol::block_on(executor.run(async {
        let says = Submission::Refused("too many commands are under way".into());
        let replica = Rc::new(Replica { says, asked: Cell::new(0) });
        let timeouts = RequestTimeouts { attempt: EVER, request: RETRY_INTERVAL * 4 };
        let links = Links::new(OWN, EVER, &executor);
        let local: Rc<dyn GroupService> = replica.clone();
        let router = Router::new(GroupId(1), OWN, Some(local), links, &[OWN], Clock::start(), timeouts);
        assert!(matches!(router.try_submit(vec![7]).await, Err(GroupError::NotProposed { .. })));
        assert_eq!(replica.asked.get(), 1);
        assert!(matches!(router.submit(vec![7]).await, Err(GroupError::NotProposed { .. })));
        assert!(replica.asked.get() > 2, "it was handed over again while there was time");
    }));
}
