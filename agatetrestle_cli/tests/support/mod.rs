//! Fakes of the ports behind the operators' RPC, with the real state machines but without replication.

use std::cell::Cell;
use std::cell::RefCell;
use std::future::Future;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use agatetrestle::agreement::ReplicaChange;
use agatetrestle::control::command::Configuration;
use agatetrestle::control::command::ControlCommand;
use agatetrestle::control::command::ControlReply;
use agatetrestle::control::state::ControlState;
use agatetrestle::ids::CONTROL_GROUP;
use agatetrestle::ids::GroupId;
use agatetrestle::ids::NodeId;
use agatetrestle::ids::ProgramId;
use agatetrestle::operator;
use agatetrestle::operator::OperatorServer;
use agatetrestle::ports::BackendView;
use agatetrestle::ports::Backends;
use agatetrestle::ports::ChangeError;
use agatetrestle::ports::Control;
use agatetrestle::ports::GroupError;
use agatetrestle::ports::GroupView;
use agatetrestle::ports::Groups;
use agatetrestle::ports::Ledger;
use agatetrestle::ports::MemberView;
use agatetrestle::ports::Members;
use agatetrestle::ports::NotTakingWork;
use agatetrestle::ports::Traces;
use agatetrestle::programs::command::ProgramCommand;
use agatetrestle::programs::command::ProgramQuery;
use agatetrestle::programs::command::ProgramReply;
use agatetrestle::programs::command::QueryReply;
use agatetrestle::programs::ledger::LedgerState;
use agatetrestle_cli::client::Client;
use futures::future::LocalBoxFuture;
use smol::LocalExecutor;
use smol::channel::Receiver;
use smol::channel::Sender;
use smol::future::FutureExt;
use smol::io;
use smol::net::TcpListener;
use smol::net::TcpStream;

/// How the control group of a node answers changes.
#[derive(Clone)]
pub enum ControlBehavior {
    /// Applies the change and answers.
    Healthy,
    /// Rejects the change for lack of a quorum.
    NoQuorum,
    /// Loses its quorum after the proposal; the change is not applied.
    OutcomeUnknown,
    /// Applies the change, notifies this channel and never answers.
    NeverAnswers(Sender<()>),
}

/// Control state, shared by all nodes of a test.
#[derive(Default)]
pub struct SharedControl(pub RefCell<ControlState>);

struct FakeControl {
    shared: Rc<SharedControl>,
    behavior: ControlBehavior,
}

impl Control for FakeControl {
    fn commit(&self, command: ControlCommand) -> LocalBoxFuture<'_, Result<ControlReply, GroupError>> {
        async move {
            match &self.behavior {
                ControlBehavior::Healthy => Ok(self.shared.0.borrow_mut().execute(command)),
                ControlBehavior::NoQuorum => {
                    Err(GroupError::NotProposed { reason: "no leader".into(), retry_after: None })
                }
                ControlBehavior::OutcomeUnknown => {
                    Err(GroupError::Unknown { reason: "the leader is gone".into() })
                }
                ControlBehavior::NeverAnswers(applied) => {
                    self.shared.0.borrow_mut().execute(command);
                    applied.send(()).await.unwrap();
                    std::future::pending().await
                }
            }
        }
        .boxed_local()
    }

    fn configuration(&self) -> Arc<Configuration> {
        self.shared.0.borrow().configuration()
    }

    fn taking_work(&self) -> Result<(), NotTakingWork> {
        match self.behavior {
            ControlBehavior::NoQuorum => Err(NotTakingWork::Isolated),
            _ => Ok(()),
        }
    }
}

/// Members of which node 2 confirms the revision after a number of reads.
struct FakeMembers {
    reads_until_current: Cell<u32>,
}

impl Members for FakeMembers {
    fn members(&self) -> Vec<MemberView> {
        let remaining = self.reads_until_current.get();
        self.reads_until_current.set(remaining.saturating_sub(1));
        let revision = if remaining == 0 { 9 } else { 0 };
        vec![member(1, "live", 9), member(2, "live", revision), member(3, "leaving", 0)]
    }

    fn addresses(&self, _: Option<&ProgramId>) -> Vec<Arc<str>> {
        Vec::new()
    }
}

fn member(node: u64, state: &str, revision: u64) -> MemberView {
    MemberView {
        node: NodeId(node),
        vm: format!("vm-{node}").into(),
        failure_domain: format!("domain-{node}").into(),
        region: "ljubljana".into(),
        incarnation: 40 + node,
        caller_address: format!("10.0.0.{node}:7400").into(),
        live: state == "live",
        state: state.into(),
        revision,
    }
}

/// Ledger state, shared by all nodes of a test.
#[derive(Default)]
pub struct SharedLedger(pub RefCell<LedgerState>);

impl Ledger for SharedLedger {
    fn commit(&self, command: ProgramCommand) -> LocalBoxFuture<'_, Result<ProgramReply, GroupError>> {
        async move { Ok(self.0.borrow_mut().execute(command)) }.boxed_local()
    }

    fn query(&self, query: ProgramQuery) -> LocalBoxFuture<'_, Result<QueryReply, GroupError>> {
        async move { Ok(self.0.borrow().query(&query)) }.boxed_local()
    }
}

struct FakeBackends;

impl Backends for FakeBackends {
    fn backends(&self) -> Vec<BackendView> {
        vec![BackendView {
            name: "engine-1".into(),
            kind: "engine".into(),
            address: "10.0.1.1:8000".into(),
            state: "ready".into(),
            running: 3,
            waiting: 12,
        }]
    }
}

struct FakeGroups;

impl Groups for FakeGroups {
    fn groups(&self) -> Vec<GroupView> {
        vec![GroupView {
            group: CONTROL_GROUP,
            leader: Some(NodeId(2)),
            term: 5,
            commit: 120,
            replicas: vec![NodeId(1), NodeId(2), NodeId(3)],
        }]
    }

    fn change(&self, group: GroupId, change: ReplicaChange) -> LocalBoxFuture<'_, Result<(), ChangeError>> {
        async move {
            match change {
                _ if group != CONTROL_GROUP => Err(ChangeError::NoReplica { group }),
                ReplicaChange::AddLearner(_) => Ok(()),
                ReplicaChange::Promote(_) => Err(ChangeError::Pending),
                ReplicaChange::Remove(_) => Err(ChangeError::Invalid),
            }
        }
        .boxed_local()
    }
}

struct FakeTraces;

impl Traces for FakeTraces {
    fn recent(&self, limit: u32) -> Vec<Arc<str>> {
        (0..limit.min(2)).map(|i| format!("{{\"line\":{i}}}").into()).collect()
    }
}

/// Nodes in one process that share the control state and ledger.
pub struct TestCluster {
    pub control: Rc<SharedControl>,
    pub ledger: Rc<SharedLedger>,
    executor: Rc<LocalExecutor<'static>>,
}

impl TestCluster {
    /// Starts a node and returns its operator address.
    pub async fn start_node(&self, behavior: ControlBehavior, reads_until_current: u32) -> SocketAddr {
        let server = OperatorServer {
            control: Rc::new(FakeControl { shared: Rc::clone(&self.control), behavior }),
            members: Rc::new(FakeMembers { reads_until_current: Cell::new(reads_until_current) }),
            ledger: Rc::clone(&self.ledger) as Rc<dyn Ledger>,
            backends: Rc::new(FakeBackends),
            groups: Rc::new(FakeGroups),
            traces: Rc::new(FakeTraces),
            node: NodeId(1),
        };
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let serve = operator::serve(Rc::new(server), listener, Rc::clone(&self.executor));
        self.executor.spawn(serve).detach();
        address
    }

    /// Starts a node that applies one change but whose connection closes before the answer.
    pub async fn start_node_losing_answer(&self) -> SocketAddr {
        let (applied, signal) = smol::channel::bounded(1);
        let node = self.start_node(ControlBehavior::NeverAnswers(applied), 0).await;
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        self.executor.spawn(forward_until(signal, listener, node)).detach();
        address
    }
}

/// Forwards one connection until the signal, then closes it and accepts no other.
async fn forward_until(signal: Receiver<()>, listener: TcpListener, node: SocketAddr) {
    let (client, _) = listener.accept().await.unwrap();
    let node = TcpStream::connect(node).await.unwrap();
    let requests = io::copy(client.clone(), node.clone());
    let responses = io::copy(node, client);
    let forward = async {
        futures::future::join(requests, responses).await.0.ok();
    };
    let closed = async {
        signal.recv().await.ok();
    };
    forward.or(closed).await;
}

/// Runs a test with its own cluster.
pub fn run_with_cluster<F: Future<Output = ()>>(test: impl FnOnce(Rc<TestCluster>) -> F) {
    let executor = Rc::new(LocalExecutor::new());
    let cluster =
        TestCluster { control: Rc::default(), ledger: Rc::default(), executor: Rc::clone(&executor) };
    smol::block_on(executor.run(test(Rc::new(cluster))));
}

/// Creates a client with timeouts that no test reaches, so that results don't depend on the speed of the machine.
pub fn client(addresses: &[SocketAddr]) -> Client {
    let day = Duration::from_hours(24);
    Client { addresses: addresses.to_vec(), connect_timeout: day, answer_timeout: day }
}
