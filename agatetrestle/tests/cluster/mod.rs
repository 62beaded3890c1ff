//! Nodes as tasks of one thread, each on an executor of its own so that one can be lost.
//!
//! Waiting is for events with a generous bound: a bound that is hit is a failure, never a verdict on speed.

#![allow(dead_code, reason = "each test file uses a part")]

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;

use agatetrestle::node::Node;
use agatetrestle::node::NodeError;
use agatetrestle::node::listeners::Listeners;
use agatetrestle::node::replicas::MissingFiles;
use agatetrestle_config::Settings;
use agatetrestle_config::settings::Listen;
use agatetrestle_config::settings::PeerSeed;
use agatetrestle_fakes::Forwarder;
use smol::LocalExecutor;
use smol::Task;
use smol::Timer;

const POLL: Duration = Duration::from_millis(5);
/// Tries of a call, each of which may take several seconds itself.
const TRIES: u32 = 200;
const EVENT_WITHIN: Duration = Duration::from_mins(1);

/// A node that runs until it is lost.
pub struct Running {
    pub node: Rc<Node>,
    runner: Task<()>,
}

/// Nodes with their folders.
pub struct Cluster {
    executor: Rc<LocalExecutor<'static>>,
    folder: PathBuf,
    peers: RefCell<Vec<PeerSeed>>,
    nodes: RefCell<Vec<(u64, Running)>>,
    /// Bytes of commands after which nodes started from now on take a snapshot.
    pub snapshot_after: Cell<u64>,
    /// What stands between two nodes, by who connects to whom.
    forwarders: RefCell<BTreeMap<(u64, u64), Forwarder>>,
}

impl Cluster {
    /// An empty cluster in a temporary folder of that name.
    pub fn new(executor: &Rc<LocalExecutor<'static>>, name: &str) -> Self {
        let folder = std::env::temp_dir().join(format!("agatetrestle-{name}-{}", std::process::id()));
        let executor = executor.clone();
        Self {
            executor,
            folder,
            peers: RefCell::default(),
            nodes: RefCell::default(),
            snapshot_after: Cell::new(Settings::default().storage.snapshot_after),
            forwarders: RefCell::default(),
        }
    }

    /// Starts the founding nodes, numbered from 1, each with a replica of every group.
    pub async fn found(&self, count: u64) {
        self.found_with(count, false).await;
    }

    /// As [`Cluster::found`], with a forwarder on the way from each node to each other.
    pub async fn found_behind_forwarders(&self, count: u64) {
        self.found_with(count, true).await;
    }

    async fn found_with(&self, count: u64, forwarded: bool) {
        let mut bound = Vec::new();
        for id in 1..=count {
            bound.push((id, self.bind(id).await));
        }
        if forwarded {
            self.start_forwarders().await;
        }
        for (id, listeners) in bound {
            self.start_on(id, listeners, MissingFiles::Bootstrap).await.unwrap();
        }
    }

    /// Starts a node on new addresses.
    pub async fn start(&self, id: u64, missing: MissingFiles) -> Result<(), NodeError> {
        let listeners = self.bind(id).await;
        self.start_on(id, listeners, missing).await
    }

    async fn start_forwarders(&self) {
        let peers = self.peers.borrow().clone();
        for from in &peers {
            for to in peers.iter().filter(|to| to.id != from.id) {
                let forwarder = Forwarder::start(&self.executor, to.address).await.unwrap();
                self.forwarders.borrow_mut().insert((from.id, to.id), forwarder);
            }
        }
    }

    /// Cuts a node off without a word: every byte from and to it is swallowed, on old and new connections.
    pub fn isolate(&self, id: u64) {
        for ((from, to), forwarder) in &*self.forwarders.borrow() {
            if *from == id || *to == id {
                forwarder.blackhole_new(true);
                forwarder.blackhole_existing();
            }
        }
    }

    /// Ends a cut; what was open during it stays silent.
    pub fn heal(&self) {
        for forwarder in self.forwarders.borrow().values() {
            forwarder.blackhole_new(false);
            forwarder.blackhole_existing();
        }
    }

    async fn bind(&self, id: u64) -> Listeners {
        let loopback = SocketAddr::from(([127, 0, 0, 1], 0));
        let listen = Listen { callers: loopback, peers: loopback, operators: loopback, metrics: loopback };
        let listeners = Listeners::bind(&listen).await.unwrap();
        let address = listeners.addresses().unwrap().peers;
        let mut peers = self.peers.borrow_mut();
        peers.retain(|peer| peer.id != id);
        peers.push(PeerSeed { id, address, control: true, state_groups: vec![1] });
        listeners
    }

    async fn start_on(&self, id: u64, listeners: Listeners, missing: MissingFiles) -> Result<(), NodeError> {
        let own = Rc::new(LocalExecutor::new());
        let settings = self.settings(id);
        let node = own.run(Node::start(settings, listeners, own.clone(), missing)).await?;
        let runner = self.executor.spawn(async move { own.run(std::future::pending::<()>()).await });
        self.nodes.borrow_mut().push((id, Running { node, runner }));
        Ok(())
    }

    fn settings(&self, id: u64) -> Settings {
        let mut settings = Settings { peers: self.peers.borrow().clone(), ..Settings::default() };
        for peer in &mut settings.peers {
            if let Some(forwarder) = self.forwarders.borrow().get(&(id, peer.id)) {
                peer.address = forwarder.address;
            }
        }
        settings.node.id = id;
        settings.node.vm = format!("vm-{id}").into();
        settings.node.failure_domain = format!("domain-{id}").into();
        settings.storage.data_folder = Some(self.data_folder(id));
        settings.storage.snapshot_after = self.snapshot_after.get();
        settings.timing.heartbeat = Duration::from_millis(100);
        settings.timing.peer_call = Duration::from_millis(500);
        settings
    }

    /// Where a node keeps its files.
    pub fn data_folder(&self, id: u64) -> PathBuf {
        self.folder.join(format!("node-{id}"))
    }

    /// Loses a node as a crash would; its files stay.
    pub async fn lose(&self, id: u64) {
        let position = self.nodes.borrow().iter().position(|(node, _)| *node == id).unwrap();
        let (_, running) = self.nodes.borrow_mut().remove(position);
        running.node.kill().await;
        running.runner.cancel().await;
    }

    /// Loses a node's files as a lost disk would.
    pub fn lose_files(&self, id: u64) {
        std::fs::remove_dir_all(self.data_folder(id)).unwrap();
    }

    /// The running nodes.
    pub fn nodes(&self) -> Vec<Rc<Node>> {
        self.nodes.borrow().iter().map(|(_, running)| running.node.clone()).collect()
    }

    /// A running node.
    pub fn node(&self, id: u64) -> Rc<Node> {
        let nodes = self.nodes.borrow();
        nodes.iter().find(|(node, _)| *node == id).unwrap().1.node.clone()
    }

    /// Waits until a condition holds.
    pub async fn until(&self, what: &str, condition: impl Fn() -> bool) {
        let mut waited = Duration::ZERO;
        while !condition() {
            assert!(waited < EVENT_WITHIN, "{what} did not happen");
            Timer::after(POLL).await;
            waited += POLL;
        }
    }

    /// Waits until every running node takes work.
    pub async fn until_taking_work(&self) {
        let ready = || self.nodes().iter().all(|node| node.control().taking_work().is_ok());
        self.until("taking work", ready).await;
    }
}

/// Tries something until it succeeds; gives up loudly rather than hang.
pub async fn persist<T>(what: &str, attempt: impl AsyncFn() -> Option<T>) -> T {
    for _ in 0..TRIES {
        if let Some(value) = attempt().await {
            return value;
        }
        Timer::after(POLL).await;
    }
    panic!("{what} did not succeed");
}

impl Drop for Cluster {
    fn drop(&mut self) {
        // A folder that stays behind is no failure of the code under test.
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

/// Runs a test on an executor of its own.
pub fn run<F: Future<Output = ()>>(test: impl FnOnce(Rc<LocalExecutor<'static>>) -> F) {
    let executor = Rc::new(LocalExecutor::new());
    smol::block_on(executor.run(test(executor.clone())));
}
