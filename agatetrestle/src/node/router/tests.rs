//! Tests of routing when the leader is lost during a request.

use std::net::SocketAddr;
use std::task::Poll;

use futures::FutureExt;
use futures::future::LocalBoxFuture;
use futures::future::join_all;
use futures::future::poll_fn;
use smol::LocalExecutor;
use smol::net::TcpListener;

use super::*;
use crate::clock::Clock;
use crate::clock::Timestamp;
use crate::deployment::TURN_TIMEOUTS;
use crate::node::peer_server;
use crate::node::peer_server::PeerServer;

const OWN: NodeId = NodeId(1);
const SILENT: NodeId = NodeId(2);
/// Longer than any test, so that an attempt at a silent holder never times out.
const NO_TIMEOUT: Duration = Duration::from_hours(1);

/// A replica that answers every request with the same submission.
struct Replica {
    answer: Submission,
    requests_received: Cell<u32>,
}

impl GroupService for Replica {
    fn submit(&self, _request: Vec<u8>) -> LocalBoxFuture<'_, Submission> {
        self.requests_received.set(self.requests_received.get() + 1);
        let answer = self.answer.clone();
        Box::pin(async move { answer })
    }

    fn history(&self, _offset: u64) -> Vec<u8> {
        Vec::new()
    }
}

/// Time that passes at once whenever a sleep is awaited.
#[derive(Default)]
struct VirtualTime(Rc<Cell<Timestamp>>);

impl Time for VirtualTime {
    fn now(&self) -> Timestamp {
        self.0.get()
    }

    fn sleep(&self, delay: Duration) -> LocalBoxFuture<'static, ()> {
        let now = self.0.clone();
        Box::pin(async move { now.set(now.get() + delay) })
    }
}

/// Accepts connections but never answers.
async fn silent_peer() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    (listener, address)
}

/// Submits requests while the last known leader is silent. Returns the answers and how often the other holder was asked.
fn submit_past_a_silent_leader(answer: Submission, requests: usize) -> (Vec<Vec<u8>>, u32) {
    let executor = Rc::new(LocalExecutor::new());
    smol::block_on(executor.run(async {
        let (_listener, address) = silent_peer().await;
        let links = Links::new(OWN, NO_TIMEOUT, &executor);
        links.add_address(SILENT, address);
        let replica = Rc::new(Replica { answer, requests_received: Cell::new(0) });
        let timeouts = RequestTimeouts { attempt: NO_TIMEOUT, request: NO_TIMEOUT, recorded: NO_TIMEOUT };
        let local: Rc<dyn GroupService> = replica.clone();
        let holders = [OWN, SILENT];
        let router =
            Router::new(GroupId(1), OWN, Some(local), links, &holders, Rc::new(Clock::start()), timeouts);
        router.leader_hint.set(Some(SILENT));
        let all = (0..requests).map(|_| router.submit(vec![7]));
        let answers = futures::future::join_all(all).await;
        assert_eq!(router.leader_hint.get(), Some(OWN), "the next request goes to the new leader");
        (answers.into_iter().map(Result::unwrap).collect(), replica.requests_received.get())
    }))
}

#[test]
fn pending_request_moves_from_a_silent_leader_to_a_new_one() {
    let (answers, requests_received) = submit_past_a_silent_leader(Submission::Applied(vec![9]), 1);
    assert_eq!((answers, requests_received), (vec![vec![9]], 1));
}

#[test]
fn concurrent_requests_share_one_leader_search() {
    let (answers, requests_received) = submit_past_a_silent_leader(Submission::Applied(vec![9]), 20);
    assert_eq!((answers.len(), requests_received), (20, 20), "each request is submitted once");
}

/// Time that the test sets.
#[derive(Default)]
struct ManualTime(Rc<Cell<Timestamp>>);

impl Time for ManualTime {
    fn now(&self) -> Timestamp {
        self.0.get()
    }

    fn sleep(&self, delay: Duration) -> LocalBoxFuture<'static, ()> {
        let (now, due) = (self.0.clone(), self.0.get() + delay);
        Box::pin(poll_fn(move |_| if now.get() >= due { Poll::Ready(()) } else { Poll::Pending }))
    }
}

/// Returns how often the other holder was asked within a second in which nobody leads and the last known leader is silent.
fn searches_within_a_second(requests: usize) -> u32 {
    let executor = Rc::new(LocalExecutor::new());
    smol::block_on(executor.run(async {
        let (_listener, address) = silent_peer().await;
        let links = Links::new(OWN, NO_TIMEOUT, &executor);
        links.add_address(SILENT, address);
        let replica =
            Rc::new(Replica { answer: Submission::NotLeader(None), requests_received: Cell::new(0) });
        let time = Rc::new(ManualTime::default());
        let local: Rc<dyn GroupService> = replica.clone();
        let holders = [OWN, SILENT];
        let router = Router::new(GroupId(1), OWN, Some(local), links, &holders, time.clone(), TURN_TIMEOUTS);
        router.leader_hint.set(Some(SILENT));
        let numbers: Vec<u8> = (0..).take(requests).collect();
        let mut all = pin!(join_all(numbers.iter().map(|number| router.submit(vec![*number]))));
        for _ in 0..1_000 {
            assert!(futures::poll!(all.as_mut()).is_pending());
            time.0.set(time.now() + Duration::from_millis(1));
        }
        replica.requests_received.get()
    }))
}

/// Guards against requests that search for the leader in turn, each with a copy of itself, while followers are busy.
#[test]
fn waiting_requests_share_one_search_and_its_delay() {
    let (one, many) = (searches_within_a_second(1), searches_within_a_second(200));
    assert!(many <= 2 * one, "{many} copies instead of {one}");
}

/// A leader that answers no request before it has received a second one, as while its disk is busy.
struct SlowReplica(Cell<u32>);

impl GroupService for SlowReplica {
    fn submit(&self, request: Vec<u8>) -> LocalBoxFuture<'_, Submission> {
        self.0.set(self.0.get() + 1);
        if self.0.get() == 1 { futures::future::pending().boxed_local() } else { answer(request) }
    }

    fn history(&self, _offset: u64) -> Vec<u8> {
        Vec::new()
    }
}

fn answer(request: Vec<u8>) -> LocalBoxFuture<'static, Submission> {
    async move { Submission::Applied(request) }.boxed_local()
}

/// A follower that names the leader, and may be asked a few times only.
struct Follower(Cell<u32>);

impl GroupService for Follower {
    fn submit(&self, _request: Vec<u8>) -> LocalBoxFuture<'_, Submission> {
        self.0.set(self.0.get() + 1);
        assert!(self.0.get() < 50, "the leader that it names is not asked");
        async { Submission::NotLeader(Some(SILENT)) }.boxed_local()
    }

    fn history(&self, _offset: u64) -> Vec<u8> {
        Vec::new()
    }
}

/// Guards against a slow leader that is never asked again, although the others go on to name it.
#[test]
fn leader_that_was_silent_once_is_asked_again() {
    let executor = Rc::new(LocalExecutor::new());
    smol::block_on(executor.run(async {
        let (listener, address) = silent_peer().await;
        let leader = Rc::new(SlowReplica(Cell::new(0)));
        let mut server = PeerServer::default();
        server.services.insert(GroupId(1), leader);
        executor.spawn(peer_server::serve(Rc::new(server), listener, Rc::downgrade(&executor))).detach();
        let links = Links::new(OWN, NO_TIMEOUT, &executor);
        links.add_address(SILENT, address);
        let follower: Rc<dyn GroupService> = Rc::new(Follower(Cell::new(0)));
        let attempt = RETRY_DELAY * 4;
        let timeouts = RequestTimeouts { attempt, request: NO_TIMEOUT, recorded: NO_TIMEOUT };
        let time = Rc::new(Clock::start());
        let router = Router::new(GroupId(1), OWN, Some(follower), links, &[OWN, SILENT], time, timeouts);
        assert_eq!(router.try_submit(vec![7]).await.unwrap(), [7]);
    }));
}

#[test]
fn request_waits_until_holders_are_set() {
    let executor = Rc::new(LocalExecutor::new());
    smol::block_on(executor.run(async {
        let replica =
            Rc::new(Replica { answer: Submission::Applied(vec![9]), requests_received: Cell::new(0) });
        let timeouts = RequestTimeouts { attempt: NO_TIMEOUT, request: NO_TIMEOUT, recorded: NO_TIMEOUT };
        let links = Links::new(OWN, NO_TIMEOUT, &executor);
        let router =
            Router::new(GroupId(1), OWN, Some(replica), links, &[], Rc::new(Clock::start()), timeouts);
        let update = async { router.set_holders(&[OWN]) };
        let (reply, ()) = futures::future::join(router.submit(vec![7]), update).await;
        assert_eq!(reply.unwrap(), [9]);
    }));
}

#[test]
fn try_submit_fails_at_once_and_submit_retries_while_busy() {
    let executor = Rc::new(LocalExecutor::new());
    smol::block_on(executor.run(async {
        let answer = Submission::Refused("too many commands are under way".into());
        let replica = Rc::new(Replica { answer, requests_received: Cell::new(0) });
        let timeouts =
            RequestTimeouts { attempt: NO_TIMEOUT, request: RETRY_DELAY, recorded: RETRY_DELAY * 4 };
        let links = Links::new(OWN, NO_TIMEOUT, &executor);
        let local: Rc<dyn GroupService> = replica.clone();
        let time = Rc::new(VirtualTime::default());
        let router = Router::new(GroupId(1), OWN, Some(local), links, &[OWN], time.clone(), timeouts);
        assert!(matches!(router.try_submit(vec![7]).await, Err(GroupError::NotProposed { .. })));
        assert_eq!(replica.requests_received.get(), 1);
        assert_eq!(time.now(), Timestamp(0), "try_submit does not wait");
        assert!(matches!(router.submit(vec![7]).await, Err(GroupError::NotProposed { .. })));
        assert!(replica.requests_received.get() > 2, "submit retries until its timeout");
        assert!(time.now().since(Timestamp(0)) >= timeouts.recorded);
    }));
}

/// A leader that refuses requests for load until a time.
struct BusyReplica {
    time: Rc<VirtualTime>,
    busy_until: Timestamp,
}

impl GroupService for BusyReplica {
    fn submit(&self, request: Vec<u8>) -> LocalBoxFuture<'_, Submission> {
        let busy = self.time.now() < self.busy_until;
        let refusal = Submission::Refused("too many commands are under way".into());
        Box::pin(async move { if busy { refusal } else { Submission::Applied(request) } })
    }

    fn history(&self, _offset: u64) -> Vec<u8> {
        Vec::new()
    }
}

/// Guards against streams that are cut although their callers wait longer than the leader is busy.
#[test]
fn end_of_a_turn_is_recorded_after_two_and_a_half_busy_seconds() {
    let executor = Rc::new(LocalExecutor::new());
    smol::block_on(executor.run(async {
        let time = Rc::new(VirtualTime::default());
        let busy_until = Timestamp(2_500_000);
        let leader: Rc<dyn GroupService> = Rc::new(BusyReplica { time: time.clone(), busy_until });
        let links = Links::new(OWN, NO_TIMEOUT, &executor);
        let router = Router::new(GroupId(1), OWN, Some(leader), links, &[OWN], time, TURN_TIMEOUTS);
        assert_eq!(router.submit(vec![7]).await.unwrap(), [7]);
    }));
}

/// Guards against turns that are all held until their timeout while no replica answers, and against a breaker that stays open.
#[test]
fn unreachable_group_refuses_all_but_one_probe() {
    let executor = Rc::new(LocalExecutor::new());
    smol::block_on(executor.run(async {
        let links = Links::new(OWN, NO_TIMEOUT, &executor);
        let holders = [NodeId(2), NodeId(3), NodeId(4)];
        let mut last_address = None;
        for holder in holders {
            // Nothing listens on the address once the listener is dropped.
            let (_, address) = silent_peer().await;
            links.add_address(holder, address);
            last_address = Some(address);
        }
        let timeouts = RequestTimeouts { attempt: NO_TIMEOUT, request: NO_TIMEOUT, recorded: NO_TIMEOUT };
        let clock = Rc::new(Clock::start());
        let router = Router::new(GroupId(1), OWN, None, links, &holders, clock, timeouts);
        let held = futures::future::join_all((0..3).map(|_| router.try_submit(vec![7]))).await;
        assert!(held.iter().all(|reply| matches!(reply, Err(GroupError::NotProposed { .. }))));
        let mut probe = pin!(router.try_submit(vec![7]));
        assert!(futures::poll!(probe.as_mut()).is_pending());
        let other = router.try_submit(vec![7]).now_or_never();
        assert!(matches!(other, Some(Err(GroupError::NotProposed { .. }))), "refused at once");
        let listener = TcpListener::bind(last_address.unwrap()).await.unwrap();
        let replica =
            Rc::new(Replica { answer: Submission::Applied(vec![9]), requests_received: Cell::new(0) });
        let mut server = PeerServer::default();
        server.services.insert(GroupId(1), replica);
        executor.spawn(peer_server::serve(Rc::new(server), listener, Rc::downgrade(&executor))).detach();
        assert_eq!(probe.await.unwrap(), [9]);
        let replies = futures::future::join_all((0..3).map(|_| router.try_submit(vec![7]))).await;
        assert!(replies.into_iter().all(|reply| reply.unwrap() == [9]));
    }));
}

/// Guards against callers of a busy leader that all return together, or as soon while all are refused as while few are.
#[test]
fn busy_leader_tells_callers_to_return_later_and_apart() {
    let now = Timestamp(1_000_000);
    let spread = |rate: &RefusalRate| [0, 1_023].map(|random| rate.retry_after(random));
    let (mut calm, mut overloaded) = (RefusalRate::default(), RefusalRate::default());
    for number in 0..100 {
        calm.record(now, number % 100 == 99);
        overloaded.record(now, number % 10 < 9);
    }
    let [calm_min, calm_max] = spread(&calm);
    let [overloaded_min, overloaded_max] = spread(&overloaded);
    assert!(calm_max >= calm_min * 2 && overloaded_max >= overloaded_min * 2);
    assert!(overloaded_min * 2 >= calm_min * 5, "{overloaded_min:?} {calm_min:?}");
    let later = now + Duration::from_secs(10);
    overloaded.record(later, false);
    overloaded.record(later, true);
    assert!(overloaded.retry_after(0) < calm_min * 3, "the overload of ten seconds ago is forgotten");
}
