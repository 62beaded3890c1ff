//! Tests of requests that are sent on an early answer, before their turn is committed.

use std::cell::Cell;
use std::cell::RefCell;
use std::net::SocketAddrV4;
use std::pin::pin;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use agatetrestle_config::deployment::Placement;
use bytes::Bytes;
use futures::AsyncReadExt;
use futures::AsyncWriteExt;
use futures::FutureExt;
use futures::channel::oneshot;
use futures::future::Either;
use futures::future::LocalBoxFuture;
use futures::future::select;
use http::HeaderMap;
use http::Method;
use http::Uri;
use smol::LocalExecutor;
use smol::channel::Receiver;
use smol::channel::Sender;
use smol::future::yield_now;
use smol::net::TcpListener;
use smol::net::TcpStream;

use crate::backends::BackendChange;
use crate::clock::Clock;
use crate::cluster::message::DrainStatus;
use crate::cluster::view::Watcher;
use crate::codec::Blob;
use crate::control::command::Document;
use crate::dispatch::Dispatch;
use crate::dispatch::Instance;
use crate::gateway::Gateway;
use crate::gateway::GatewayParts;
use crate::gateway::turn::TurnClient;
use crate::gateway::wire::ForwardMetadata;
use crate::gateway::wire::InstancePage;
use crate::gateway::wire::Lookup;
use crate::gateway::wire::OperatorRequest;
use crate::gateway::wire::ParseError;
use crate::gateway::wire::RequestMetadata;
use crate::gateway::wire::ResponseMetadata;
use crate::gateway::wire::WireFormat;
use crate::ids::NodeId;
use crate::ports::GroupError;
use crate::ports::Labels;
use crate::ports::Measurement;
use crate::ports::Recorder;
use crate::routing::CallerLimits;
use crate::routing::InvalidTable;
use crate::routing::Route;
use crate::routing::RouteKind;
use crate::routing::RouteTable;
use crate::routing::RouteTarget;
use crate::routing::Service;
use crate::suspects::Fingerprint;
use crate::suspects::SuspectView;
use crate::suspects::Suspects;
use crate::transport::server;
use crate::transport::server::Handler;
use crate::transport::server::ServerLimits;
use crate::turns::command::Begin;
use crate::turns::command::Finish;
use crate::turns::command::TurnCommand;
use crate::turns::command::TurnReply;

const REQUEST: &[u8] = b"POST /chat/x HTTP/1.1\r\nhost: app.example\r\ncontent-length: 3\r\n\r\nhey";
const RESPONSE: &[u8] = b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n9\r\ndata: a\n\n\r\n0\r\n\r\n";

type Reply = Result<TurnReply, GroupError>;

/// A wire format in which every request is a turn of one program with a budget. The only header names the previous turn.
struct FixedWire {
    heads_read: Cell<u32>,
    /// Kind of the route, and how long its completed turns are retained.
    route: (RouteKind, Option<Duration>),
}

const STREAMING: RouteKind = RouteKind::Streaming { resumable: false };

impl WireFormat for FixedWire {
    fn read_request(&self, headers: &HeaderMap) -> Result<RequestMetadata, ParseError> {
        let previous_turn = headers.get("previous-turn").map(|value| value.to_str().unwrap().into());
        Ok(RequestMetadata {
            attempt_id: Some("turn".into()),
            previous_turn,
            program: Some("program".into()),
            token_budget: Some(100),
            max_tokens: Some(10),
            ..RequestMetadata::default()
        })
    }

    fn write_forwarded(&self, _headers: &mut HeaderMap, _metadata: ForwardMetadata<'_>) {}

    fn write_probe(&self, _headers: &mut HeaderMap, _instance: &str, _address: SocketAddrV4) {}

    /// A response names the turn unless a header names another one or none.
    fn read_response(&self, headers: &HeaderMap) -> ResponseMetadata {
        self.heads_read.set(self.heads_read.get() + 1);
        let named = headers.get("attempt").map_or("turn", |value| value.to_str().unwrap());
        let attempt_id = (named != "none").then(|| named.into());
        ResponseMetadata {
            attempt_id,
            signed: true,
            not_run: headers.contains_key("not-run"),
            ..ResponseMetadata::default()
        }
    }

    fn read_table(&self, _text: &[u8]) -> Result<RouteTable, InvalidTable> {
        let route = Route {
            name: "chat".into(),
            host: "app.example".into(),
            prefix: "/chat/".into(),
            kind: self.route.0,
            timeout: Duration::from_mins(10),
            objective: Duration::from_mins(1),
            priority: 0,
            targets: vec![RouteTarget { service: "engines".into(), weight: 1 }],
            max_attempts: 1,
            retention: self.route.1,
            sticky: false,
            public: false,
        };
        let service = Service {
            name: "engines".into(),
            max_connections: 8,
            tokens_per_event: Some(1),
            memory_tokens: None,
            health_path: None,
        };
        let limits = CallerLimits {
            max_header_bytes: 16 << 10,
            max_body_bytes: 16 << 10,
            header_timeout: Duration::from_mins(1),
            idle_timeout: Duration::from_mins(1),
        };
        RouteTable::new(1, vec![route], vec![service], limits)
    }

    fn read_operator_request(&self, _: &Method, _: &str, _: &Bytes) -> Option<OperatorRequest> {
        None
    }

    fn write_drain_status(&self, _status: DrainStatus) -> Vec<u8> {
        Vec::new()
    }

    fn read_lookup(&self, _uri: &Uri) -> Option<Lookup> {
        None
    }

    fn write_addresses(&self, _addresses: &[SocketAddrV4], _max_age: Duration) -> Vec<u8> {
        Vec::new()
    }

    fn is_readiness_probe(&self, _uri: &Uri) -> bool {
        false
    }

    fn instances_path(&self, _page: Option<&str>) -> String {
        String::new()
    }

    fn read_instances(&self, _body: &[u8]) -> Result<InstancePage, ParseError> {
        Ok(InstancePage::default())
    }
}

/// A state group whose begin gets the replies that a test sends.
struct ScriptedTurns {
    early: RefCell<Option<TurnReply>>,
    commits: Receiver<Reply>,
    finished: RefCell<Vec<Finish>>,
    suspects: RefCell<Suspects>,
}

impl TurnClient for ScriptedTurns {
    fn commit(&self, command: TurnCommand) -> LocalBoxFuture<'static, Reply> {
        let reply = match command {
            TurnCommand::Finish(finish) => {
                self.finished.borrow_mut().push(finish);
                TurnReply::Settled
            }
            TurnCommand::Suspect(command) => {
                TurnReply::Suspect(self.suspects.borrow_mut().execute(0, command))
            }
            _ => TurnReply::Settled,
        };
        Box::pin(async { Ok(reply) })
    }

    fn announce(&self, _fingerprint: Fingerprint) -> LocalBoxFuture<'static, ()> {
        Box::pin(async {})
    }

    fn begin(&self, _begin: Begin, early: oneshot::Sender<TurnReply>) -> LocalBoxFuture<'static, Reply> {
        if let Some(reply) = self.early.take() {
            early.send(reply).unwrap();
        }
        let commits = self.commits.clone();
        Box::pin(async move { commits.recv().await.unwrap() })
    }
}

struct NoRecorder;

impl Recorder for NoRecorder {
    fn record(&self, _labels: &Labels, _measurement: &Measurement) {}

    fn record_cache(&self, _held: u64, _wasted: u64) {}
}

/// A gateway with one server and a scripted state group.
pub(super) struct Harness {
    pub(super) gateway: Rc<Gateway>,
    wire: Rc<FixedWire>,
    turns: Rc<ScriptedTurns>,
    pub(super) commits: Sender<Reply>,
    /// Connections that the gateway made to the server, and the address that callers connect to.
    pub(super) servers: TcpListener,
    callers: SocketAddrV4,
    /// Responses whose head the gateway gave to its caller's connection.
    responses: Rc<Cell<u32>>,
}

async fn bind() -> (TcpListener, SocketAddrV4) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let std::net::SocketAddr::V4(address) = listener.local_addr().unwrap() else {
        unreachable!("an IPv4 address was bound");
    };
    (listener, address)
}

impl Harness {
    pub(super) async fn start(executor: &Rc<LocalExecutor<'static>>, early: Option<TurnReply>) -> Self {
        Self::start_with(executor, early, 0, (STREAMING, None)).await
    }

    /// Starts a gateway that gets no early answers and retains completed turns.
    pub(super) async fn start_retaining(executor: &Rc<LocalExecutor<'static>>) -> Self {
        Self::start_with(executor, None, 0, (STREAMING, Some(Duration::from_mins(1)))).await
    }

    /// Starts a gateway with a route of the given kind.
    pub(super) async fn start_with_kind(executor: &Rc<LocalExecutor<'static>>, kind: RouteKind) -> Self {
        Self::start_with(executor, None, 0, (kind, None)).await
    }

    /// Starts a gateway that also knows servers of its own failure domain, which refuse connections.
    async fn start_with(
        executor: &Rc<LocalExecutor<'static>>,
        early: Option<TurnReply>,
        refusing_servers: u16,
        route: (RouteKind, Option<Duration>),
    ) -> Self {
        let (servers, server_address) = bind().await;
        let (listener, callers) = bind().await;
        let (commits, receiver) = smol::channel::unbounded();
        let turns = Rc::new(ScriptedTurns {
            early: RefCell::new(early),
            commits: receiver,
            finished: RefCell::default(),
            suspects: RefCell::default(),
        });
        let wire = Rc::new(FixedWire { heads_read: Cell::new(0), route });
        let limits = ServerLimits::new(8);
        let gateway = Gateway::new(GatewayParts {
            wire: wire.clone(),
            turns: turns.clone(),
            suspects: Rc::new(SuspectView::without_groups()),
            dispatch: Dispatch::new("a".into(), 1),
            node: NodeId(1),
            placement: Placement::Entry,
            clock: Clock::start(),
            limits: limits.clone(),
            body_buffer_bytes: 1 << 20,
            response_buffer_bytes: 1 << 20,
            recorder: Rc::new(NoRecorder),
            executor: executor.clone(),
        });
        gateway.routes(&Document { version: 1, text: "".into(), revision: 1 });
        let instance = |id: String, address: SocketAddrV4, zone: &str| Instance {
            id: id.into(),
            service: "engines".into(),
            version: "v1".into(),
            address,
            zone: zone.into(),
            slots: 2,
            leaving: false,
            born: None,
        };
        let mut instances = vec![instance("x".into(), server_address, "b")];
        for number in 0..refusing_servers {
            let (_, address) = bind().await;
            instances.push(instance(format!("refusing-{number}"), address, "a"));
        }
        gateway.backends(&BackendChange::Whole(instances));
        let responses = Rc::new(Cell::new(0));
        let (counted, served) = (responses.clone(), gateway.clone());
        let handler: Handler = Rc::new(move |request| {
            let (gateway, counted) = (served.clone(), counted.clone());
            Box::pin(async move {
                let response = gateway.handle(request).await;
                counted.set(counted.get() + 1);
                response
            })
        });
        executor.spawn(server::serve(listener, handler, limits, Rc::downgrade(executor))).detach();
        Self { gateway, wire, turns, commits, servers, callers, responses }
    }

    pub(super) async fn send(&self) -> TcpStream {
        self.send_bytes(REQUEST).await
    }

    pub(super) async fn send_bytes(&self, request: &[u8]) -> TcpStream {
        let mut caller = TcpStream::connect(self.callers).await.unwrap();
        caller.write_all(request).await.unwrap();
        caller
    }

    /// Accepts the gateway's connection and reads the request, which ends with `body`.
    pub(super) async fn receive(&self, body: &[u8]) -> TcpStream {
        let (mut server, _) = self.servers.accept().await.unwrap();
        let mut received = Vec::new();
        while !received.ends_with(body) {
            let mut byte = [0];
            assert_eq!(server.read(&mut byte).await.unwrap(), 1, "the request is complete");
            received.push(byte[0]);
        }
        server
    }

    async fn await_head_read(&self) {
        while self.wire.heads_read.get() == 0 {
            yield_now().await;
        }
        // The gateway has processed the head in the poll that read it; further polls change nothing.
        for _ in 0..10 {
            yield_now().await;
        }
    }

    pub(super) async fn await_finish(&self) -> Finish {
        while self.turns.finished.borrow().is_empty() {
            yield_now().await;
        }
        let finished = self.turns.finished.borrow();
        assert_eq!(finished.len(), 1, "a turn is settled once");
        finished[0].clone()
    }
}

pub(super) fn run<F: Future<Output = ()>>(test: impl FnOnce(Rc<LocalExecutor<'static>>) -> F) {
    let executor = Rc::new(LocalExecutor::new());
    smol::block_on(executor.run(test(executor.clone())));
}

pub(super) fn begun(chain: &[&[u8]]) -> TurnReply {
    TurnReply::Begun { chain: chain.iter().map(|text| Blob::from(*text)).collect(), server: None }
}

pub(super) async fn read_status(caller: &mut TcpStream) -> u16 {
    let mut head = [0; 12];
    caller.read_exact(&mut head).await.unwrap();
    std::str::from_utf8(&head[9..]).unwrap().parse().unwrap()
}

pub(super) async fn is_closed(mut stream: TcpStream) -> bool {
    let mut rest = Vec::new();
    stream.read_to_end(&mut rest).await.is_err() || rest.is_empty()
}

/// Guards against bytes, even a response head, that reach the caller of a turn whose commit may still fail.
#[test]
fn response_is_held_until_the_commit() {
    run(|executor| async move {
        let gateway = Harness::start(&executor, Some(begun(&[b"earlier "]))).await;
        let mut caller = gateway.send().await;
        let mut server = gateway.receive(b"earlier hey").await;
        server.write_all(RESPONSE).await.unwrap();
        gateway.await_head_read().await;
        assert_eq!(gateway.responses.get(), 0, "nothing is delivered before the commit");
        assert!(caller.read(&mut [0]).now_or_never().is_none());
        gateway.commits.send(Ok(begun(&[b"earlier "]))).await.unwrap();
        assert_eq!(read_status(&mut caller).await, 200);
        let settled = gateway.await_finish().await;
        assert_eq!((&*settled.turn, settled.spent), ("turn", 1));
    });
}

fn failed_commits() -> Vec<Reply> {
    let reason: Arc<str> = "test".into();
    let refusals = [
        TurnReply::Spent,
        TurnReply::NoSuchTurn,
        TurnReply::Full,
        TurnReply::Over(5),
        TurnReply::Crowded(5),
        TurnReply::UnknownTeam,
        TurnReply::Refused,
    ];
    let errors = [
        GroupError::NotProposed { reason: reason.clone(), retry_after: None },
        GroupError::Unknown { reason },
    ];
    refusals.into_iter().map(Ok).chain(errors.into_iter().map(Err)).collect()
}

/// Guards against a leader that is lost or deposed after its early answer: the caller must not read a promise that the
/// request was not run, and the server must stop running it.
#[test]
fn failed_commit_cancels_the_run_with_502() {
    for reply in failed_commits() {
        for head_first in [false, true] {
            let reply = reply.clone();
            run(|executor| async move {
                let gateway = Harness::start(&executor, Some(begun(&[]))).await;
                let mut caller = gateway.send().await;
                let mut server = gateway.receive(b"hey").await;
                if head_first {
                    server.write_all(RESPONSE).await.unwrap();
                    gateway.await_head_read().await;
                }
                gateway.commits.send(reply.clone()).await.unwrap();
                assert_eq!(read_status(&mut caller).await, 502, "{reply:?} head_first={head_first}");
                assert!(is_closed(server).await, "the run is cancelled");
                assert_eq!(gateway.await_finish().await.spent, 0, "the reservation is settled");
            });
        }
    }
}

/// Guards against a request that is sent although its leader gave no early answer, as one of an older build does.
#[test]
fn request_without_early_answer_waits_for_the_commit() {
    for early in [None, Some(TurnReply::Spent)] {
        run(|executor| async move {
            let gateway = Harness::start(&executor, early).await;
            let mut caller = gateway.send().await;
            gateway.commits.send(Ok(TurnReply::Spent)).await.unwrap();
            assert_eq!(read_status(&mut caller).await, 402);
            assert!(gateway.servers.accept().now_or_never().is_none(), "nothing was sent");
            assert!(gateway.turns.finished.borrow().is_empty());
        });
    }
}

/// Guards against a run that goes on, or a reservation that stays, after its caller left before the commit.
#[test]
fn caller_that_leaves_before_the_commit_cancels_the_run() {
    run(|executor| async move {
        let gateway = Harness::start(&executor, Some(begun(&[]))).await;
        let caller = gateway.send().await;
        let server = gateway.receive(b"hey").await;
        drop(caller);
        assert!(is_closed(server).await);
        assert_eq!(gateway.await_finish().await.spent, 0);
    });
}

/// Guards against a request that is refused, or counted as sent, because servers refuse its connections.
#[test]
fn refused_connections_are_no_attempts() {
    run(|executor| async move {
        let gateway = Harness::start_with(&executor, Some(begun(&[])), 6, (STREAMING, None)).await;
        gateway.commits.send(Ok(begun(&[]))).await.unwrap();
        let mut caller = gateway.send().await;
        let mut server = {
            let (received, refused) = (pin!(gateway.receive(b"hey")), pin!(read_status(&mut caller)));
            match select(received, refused).await {
                Either::Left((server, _)) => server,
                Either::Right((status, _)) => panic!("refused with {status}"),
            }
        };
        server.write_all(RESPONSE).await.unwrap();
        assert_eq!(read_status(&mut caller).await, 200);
    });
}

/// Guards against a command for each refused begin, which adds to the load for which it was refused.
#[test]
fn only_a_begin_that_may_be_in_the_log_is_settled() {
    let reason: Arc<str> = "test".into();
    let not_proposed = GroupError::NotProposed { reason: reason.clone(), retry_after: None };
    for (error, commands) in [(not_proposed, 0), (GroupError::Unknown { reason }, 1)] {
        run(|executor| async move {
            let gateway = Harness::start(&executor, None).await;
            let mut caller = gateway.send().await;
            gateway.commits.send(Err(error)).await.unwrap();
            assert_eq!(read_status(&mut caller).await, 503);
            assert_eq!(gateway.turns.finished.borrow().len(), commands);
        });
    }
}
