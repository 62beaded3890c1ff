//! The caller API of nodes over loopback, with the real ledger state in memory and fakes for the rest.

#![allow(dead_code, reason = "each test file uses a part")]

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::future::Future;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use agatetrestle::attempts::Dispatcher;
use agatetrestle::attempts::Timer;
use agatetrestle::attempts::http::HttpBackendClient;
use agatetrestle::clock::Clock;
use agatetrestle::control::command::Configuration;
use agatetrestle::control::command::ControlCommand;
use agatetrestle::control::command::ControlReply;
use agatetrestle::control::command::Document;
use agatetrestle::entry;
use agatetrestle::entry::ApiServer;
use agatetrestle::ids::NodeId;
use agatetrestle::ids::ProgramId;
use agatetrestle::ports;
use agatetrestle::ports::Control;
use agatetrestle::ports::GroupError;
use agatetrestle::ports::Labels;
use agatetrestle::ports::Measurement;
use agatetrestle::ports::MemberView;
use agatetrestle::ports::Members;
use agatetrestle::ports::NotTakingWork;
use agatetrestle::ports::Recorder;
use agatetrestle::programs::command::ProgramCommand;
use agatetrestle::programs::command::ProgramQuery;
use agatetrestle::programs::command::ProgramReply;
use agatetrestle::programs::command::ProgramView;
use agatetrestle::programs::command::QueryReply;
use agatetrestle::programs::ledger::LedgerState;
use agatetrestle::scheduler::Scheduler;
use agatetrestle::scheduler::round_robin::RoundRobinScheduler;
use agatetrestle_config::settings::Callers;
use agatetrestle_fakes::Client;
use agatetrestle_fakes::client::ClientCall;
use futures::future::LocalBoxFuture;
use serde_json::Value;
use serde_json::json;
use smol::LocalExecutor;
use smol::Task;
use smol::channel;
use smol::channel::Sender;
use smol::net::TcpListener;

pub const PROGRAM: &str = "vrsta/dawn";

/// How the ledger fails a command.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum LedgerFault {
    #[default]
    None,
    /// The command is not applied.
    NotProposed,
    /// The command is applied, but its reply is lost.
    ReplyLost,
}

/// The ledger that all nodes of a test share.
#[derive(Default)]
pub struct FakeLedger {
    ledger: RefCell<LedgerState>,
    faults: RefCell<Vec<LedgerFault>>,
    pub commands: RefCell<Vec<String>>,
    /// Whether `Finish` commands wait before they are applied.
    pub block_finishes: Cell<bool>,
    pub received_finishes: Cell<u32>,
    /// Whether queries fail.
    pub fail_queries: Cell<bool>,
}

impl FakeLedger {
    /// Sets the faults of the next commands, in order.
    pub fn inject(&self, faults: &[LedgerFault]) {
        self.faults.borrow_mut().extend(faults.iter().rev());
    }

    async fn receive_finish(&self) {
        self.received_finishes.set(self.received_finishes.get() + 1);
        while self.block_finishes.get() {
            smol::future::yield_now().await;
        }
    }

    pub fn program(&self, id: &str) -> ProgramView {
        let id = ProgramId::parse(id).unwrap();
        match self.ledger.borrow().query(&ProgramQuery::Program(id)) {
            QueryReply::One(ProgramReply::Done(view)) => view,
            other => panic!("unexpected reply to a program query: {other:?}"),
        }
    }

    /// Returns the names of the commands since the last call.
    pub fn take_commands(&self) -> Vec<String> {
        std::mem::take(&mut self.commands.borrow_mut())
    }
}

impl ports::Ledger for FakeLedger {
    fn commit(&self, command: ProgramCommand) -> LocalBoxFuture<'_, Result<ProgramReply, GroupError>> {
        Box::pin(async move {
            smol::future::yield_now().await;
            if matches!(command, ProgramCommand::Finish { .. }) {
                self.receive_finish().await;
            }
            let fault = self.faults.borrow_mut().pop().unwrap_or_default();
            if fault == LedgerFault::NotProposed {
                return Err(GroupError::NotProposed { reason: "no quorum".into(), retry_after: None });
            }
            let name = format!("{command:?}").split([' ', '{']).next().unwrap_or_default().to_owned();
            self.commands.borrow_mut().push(name);
            let reply = self.ledger.borrow_mut().execute(command);
            if fault == LedgerFault::ReplyLost {
                return Err(GroupError::Unknown { reason: "the reply was lost".into() });
            }
            Ok(reply)
        })
    }

    fn query(&self, query: ProgramQuery) -> LocalBoxFuture<'_, Result<QueryReply, GroupError>> {
        Box::pin(async move {
            if self.fail_queries.get() {
                return Err(GroupError::NotProposed { reason: "no quorum".into(), retry_after: None });
            }
            Ok(self.ledger.borrow().query(&query))
        })
    }
}

pub struct FakeControl {
    configuration: RefCell<Arc<Configuration>>,
    pub taking_work: Cell<Result<(), NotTakingWork>>,
}

impl FakeControl {
    fn new(documents: &[(&str, String)]) -> Self {
        let document = |text: &String| Document { version: 1, text: text.as_str().into(), revision: 1 };
        let documents = documents.iter().map(|(scope, text)| (Arc::from(*scope), document(text))).collect();
        let configuration = Configuration { revision: 1, documents, leaving: BTreeMap::new() };
        Self { configuration: RefCell::new(Arc::new(configuration)), taking_work: Cell::new(Ok(())) }
    }

    /// Marks a VM or backend server as leaving, as a new revision.
    pub fn mark_leaving(&self, name: &str) {
        let mut next = Configuration::clone(&self.configuration.borrow());
        next.revision += 1;
        next.leaving.insert(name.into(), 1);
        *self.configuration.borrow_mut() = Arc::new(next);
    }
}

impl Control for FakeControl {
    fn commit(&self, _: ControlCommand) -> LocalBoxFuture<'_, Result<ControlReply, GroupError>> {
        Box::pin(async { Ok(ControlReply::Refused) })
    }

    fn configuration(&self) -> Arc<Configuration> {
        self.configuration.borrow().clone()
    }

    fn taking_work(&self) -> Result<(), NotTakingWork> {
        self.taking_work.get()
    }
}

#[derive(Default)]
pub struct FakeMembers {
    pub members: RefCell<Vec<MemberView>>,
}

impl Members for FakeMembers {
    fn members(&self) -> Vec<MemberView> {
        self.members.borrow().clone()
    }

    fn addresses(&self, _: Option<&ProgramId>) -> Vec<Arc<str>> {
        self.members.borrow().iter().filter(|m| m.live).map(|m| m.caller_address.clone()).collect()
    }
}

#[derive(Default)]
pub struct FakeRecorder {
    pub refusals: RefCell<Vec<&'static str>>,
    pub records: RefCell<Vec<(Labels, Measurement)>>,
}

impl FakeRecorder {
    /// Counts the measurements that match, all of which must have the labels of the test's program.
    pub fn count(&self, predicate: impl Fn(&Measurement) -> bool) -> usize {
        let records = self.records.borrow();
        let matching: Vec<&Labels> =
            records.iter().filter(|(_, m)| predicate(m)).map(|(labels, _)| labels).collect();
        assert!(matching.iter().all(|labels| &*labels.partner == "vrsta" && &*labels.class == "assistant"));
        matching.len()
    }
}

impl Recorder for FakeRecorder {
    fn record(&self, labels: &Labels, measure: &Measurement) {
        self.records.borrow_mut().push((labels.clone(), measure.clone()));
        if let Measurement::Refused(reason) = measure {
            self.refusals.borrow_mut().push(reason);
        }
    }

    fn record_cache(&self, _: u64, _: u64) {}
}

/// A timer that the test advances.
#[derive(Default)]
pub struct ManualTimer {
    now: Cell<Duration>,
    sleepers: RefCell<Vec<(Duration, Duration, Sender<()>)>>,
}

impl Timer for ManualTimer {
    fn after(&self, duration: Duration) -> LocalBoxFuture<'static, ()> {
        let (tx, rx) = channel::bounded(1);
        self.sleepers.borrow_mut().push((self.now.get() + duration, duration, tx));
        Box::pin(async move {
            rx.recv().await.ok();
        })
    }
}

impl ManualTimer {
    /// Waits until a task sleeps for exactly `duration`.
    pub async fn wait_for_sleep(&self, duration: Duration) {
        let is_pending =
            |(_, requested, tx): &(Duration, Duration, Sender<()>)| *requested == duration && !tx.is_closed();
        while !self.sleepers.borrow().iter().any(is_pending) {
            smol::future::yield_now().await;
        }
    }

    /// Advances the time and wakes the tasks whose sleep is over.
    pub fn advance(&self, duration: Duration) {
        self.now.set(self.now.get() + duration);
        let now = self.now.get();
        self.sleepers.borrow_mut().retain(|(until, _, tx)| {
            if *until <= now {
                tx.try_send(()).ok();
            }
            *until > now && !tx.is_closed()
        });
    }
}

/// The dependencies that all nodes of a test share.
pub struct Harness {
    pub executor: Rc<LocalExecutor<'static>>,
    pub ledger: Rc<FakeLedger>,
    pub control: Rc<FakeControl>,
    pub members: Rc<FakeMembers>,
    pub recorder: Rc<FakeRecorder>,
    pub timer: Rc<ManualTimer>,
    pub limits: Callers,
}

pub struct TestNode {
    pub entry: Rc<ApiServer>,
    pub client: Client,
    server: Task<()>,
}

impl Harness {
    /// Declares the given engines and services, and one partner.
    pub fn new(
        executor: &Rc<LocalExecutor<'static>>,
        engines: &[SocketAddr],
        services: &[SocketAddr],
    ) -> Self {
        Self::with_documents(
            executor,
            &[("shared", shared_document(engines, services)), ("vrsta", PARTNER_DOCUMENT.to_owned())],
        )
    }

    /// Declares the given documents, by scope.
    pub fn with_documents(executor: &Rc<LocalExecutor<'static>>, documents: &[(&str, String)]) -> Self {
        Self {
            executor: Rc::clone(executor),
            ledger: Rc::default(),
            control: Rc::new(FakeControl::new(documents)),
            members: Rc::default(),
            recorder: Rc::default(),
            timer: Rc::default(),
            limits: Callers::default(),
        }
    }

    pub async fn start_node(&self, id: u64) -> TestNode {
        self.start_node_with(id, Box::new(RoundRobinScheduler::default())).await
    }

    pub async fn start_node_with(&self, id: u64, scheduler: Box<dyn Scheduler>) -> TestNode {
        let timer: Rc<dyn Timer> = self.timer.clone();
        let backends = Rc::new(HttpBackendClient::new(Rc::clone(&timer), Duration::from_secs(1)));
        let clock = Clock::start();
        let scheduler = Rc::new(RefCell::new(scheduler));
        let dispatcher =
            Rc::new(Dispatcher::new(scheduler, backends.clone(), backends, Rc::clone(&timer), clock));
        let entry = Rc::new(ApiServer {
            ledger: self.ledger.clone(),
            control: self.control.clone(),
            members: self.members.clone(),
            dispatcher,
            recorder: self.recorder.clone(),
            timer,
            clock,
            node: NodeId(id),
            incarnation: 1,
            limits: self.limits.clone(),
            stopping: Rc::default(),
            state: entry::RuntimeState::default(),
        });
        let listener = TcpListener::bind(("127.0.0.1", 0)).await.unwrap();
        let address = listener.local_addr().unwrap();
        self.members.members.borrow_mut().push(member(id, address));
        let server = entry::serve(Rc::clone(&entry), listener, Rc::clone(&self.executor));
        TestNode { entry, client: Client::new(address), server: self.executor.spawn(server) }
    }

    /// Opens [`PROGRAM`].
    pub async fn open_program(&self, node: &TestNode) {
        let body = json!({ "partner": "vrsta", "team": "dawn", "class": "assistant", "name": "dawn" });
        let reply = node.client.open("open-1", &body).await.unwrap();
        assert_eq!(reply.status, 201, "{}", reply.json());
    }
}

fn member(id: u64, address: SocketAddr) -> MemberView {
    MemberView {
        node: NodeId(id),
        vm: format!("vm-{id}").into(),
        failure_domain: "domain-1".into(),
        region: "region-1".into(),
        incarnation: 1,
        caller_address: address.to_string().into(),
        live: true,
        state: "live".into(),
        revision: 1,
    }
}

pub const PARTNER_DOCUMENT: &str = "
format: 1
teams:
  dawn: {}
classes:
  assistant: { priority: 5, budget: 200000, turns: 50 }
";

fn shared_document(engines: &[SocketAddr], services: &[SocketAddr]) -> String {
    let mut text = String::from(
        "format: 1\nmodels:\n  small: { weights: 1GiB }\nservices:\n  rota: { repeatable: false }\n",
    );
    text += "  search: { repeatable: true }\nbackend_servers:\n";
    for (index, address) in engines.iter().enumerate() {
        text += &backend_entry(&format!("engine-{index}"), "engine", *address, "small");
    }
    for (index, address) in services.iter().enumerate() {
        text += &backend_entry(&format!("rota-{index}"), "service", *address, "rota");
        text += &backend_entry(&format!("search-{index}"), "service", *address, "search");
    }
    text
}

/// One backend server in the declarations.
pub fn backend_entry(name: &str, kind: &str, address: SocketAddr, serves: &str) -> String {
    format!(
        "  {name}: {{ kind: {kind}, address: \"{address}\", serves: {serves}, vm: b-{name}, failure_domain: d-1 }}\n"
    )
}

/// A call of [`PROGRAM`].
pub fn call(number: u32, key: &str) -> ClientCall {
    ClientCall { program: PROGRAM.to_owned(), number, key: key.to_owned() }
}

/// The body of a streamed model call.
pub fn chat_request() -> Value {
    agatetrestle_fakes::client::chat_body("small", "You find replacements.", "Ana is ill.", 8)
}

/// Runs a test on its own executor.
pub fn run<F: Future<Output = ()>>(test: impl FnOnce(Rc<LocalExecutor<'static>>) -> F) {
    let executor = Rc::new(LocalExecutor::new());
    smol::block_on(executor.run(test(Rc::clone(&executor))));
}
