//! Runs nodes as tasks of one thread, each on its own executor so that it can be killed.
//!
//! Tests wait for events with generous timeouts; they make no assertions about speed.

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

const POLL_INTERVAL: Duration = Duration::from_millis(5);
/// A single attempt may take several seconds.
const MAX_ATTEMPTS: u32 = 200;
const EVENT_TIMEOUT: Duration = Duration::from_mins(1);

/// A node and the task that drives it.
pub struct RunningNode {
    pub node: Rc<Node>,
    task: Task<()>,
}

/// Nodes with their data folders and the forwarders between them.
pub struct TestCluster {
    executor: Rc<LocalExecutor<'static>>,
    folder: PathBuf,
    peers: RefCell<Vec<PeerSeed>>,
    nodes: RefCell<Vec<(u64, RunningNode)>>,
    /// Bytes of commands between snapshots, for nodes started after it is set.
    pub snapshot_after: Cell<u64>,
    /// Forwarders by the ids of the connecting and the accepting node.
    forwarders: RefCell<BTreeMap<(u64, u64), Forwarder>>,
}

impl TestCluster {
    /// An empty cluster with a temporary folder named after `name`.
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

    /// Starts nodes numbered from 1, each with a replica of every group.
    pub async fn bootstrap(&self, count: u64) {
        self.bootstrap_nodes(count, false).await;
    }

    /// As [`TestCluster::bootstrap`], with a forwarder for each ordered pair of nodes.
    pub async fn bootstrap_with_forwarders(&self, count: u64) {
        self.bootstrap_nodes(count, true).await;
    }

    async fn bootstrap_nodes(&self, count: u64, forwarded: bool) {
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

    /// Starts a node on newly bound ports.
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

    /// Drops all bytes from and to a node without closing connections, on existing and new ones.
    pub fn isolate(&self, id: u64) {
        for ((from, to), forwarder) in &*self.forwarders.borrow() {
            if *from == id || *to == id {
                forwarder.blackhole_new(true);
                forwarder.blackhole_existing();
            }
        }
    }

    /// Lets new connections through and drops all bytes on existing ones.
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
        let node_executor = Rc::new(LocalExecutor::new());
        let settings = self.settings(id);
        let node =
            node_executor.run(Node::start(settings, listeners, node_executor.clone(), missing)).await?;
        let task = self.executor.spawn(async move { node_executor.run(std::future::pending::<()>()).await });
        self.nodes.borrow_mut().push((id, RunningNode { node, task }));
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

    pub fn data_folder(&self, id: u64) -> PathBuf {
        self.folder.join(format!("node-{id}"))
    }

    /// Stops a node as a crash would; its files stay.
    pub async fn kill(&self, id: u64) {
        let position = self.nodes.borrow().iter().position(|(node, _)| *node == id).unwrap();
        let (_, running) = self.nodes.borrow_mut().remove(position);
        running.node.kill().await;
        running.task.cancel().await;
    }

    /// Deletes a node's files as a lost disk would.
    pub fn delete_files(&self, id: u64) {
        std::fs::remove_dir_all(self.data_folder(id)).unwrap();
    }

    pub fn nodes(&self) -> Vec<Rc<Node>> {
        self.nodes.borrow().iter().map(|(_, running)| running.node.clone()).collect()
    }

    /// Panics unless the node runs.
    pub fn node(&self, id: u64) -> Rc<Node> {
        let nodes = self.nodes.borrow();
        nodes.iter().find(|(node, _)| *node == id).unwrap().1.node.clone()
    }

    pub async fn wait_until(&self, description: &str, condition: impl Fn() -> bool) {
        let mut waited = Duration::ZERO;
        while !condition() {
            assert!(waited < EVENT_TIMEOUT, "timed out waiting for {description}");
            Timer::after(POLL_INTERVAL).await;
            waited += POLL_INTERVAL;
        }
    }

    pub async fn wait_until_taking_work(&self) {
        let ready = || self.nodes().iter().all(|node| node.control().taking_work().is_ok());
        self.wait_until("all nodes to take work", ready).await;
    }
}

/// Repeats an operation until it succeeds, and panics after [`MAX_ATTEMPTS`].
pub async fn retry<T>(description: &str, operation: impl AsyncFn() -> Option<T>) -> T {
    for _ in 0..MAX_ATTEMPTS {
        if let Some(value) = operation().await {
            return value;
        }
        Timer::after(POLL_INTERVAL).await;
    }
    panic!("{description} failed after {MAX_ATTEMPTS} attempts");
}

impl Drop for TestCluster {
    fn drop(&mut self) {
        // Leftover files are not a failure of the code under test.
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

/// Runs a test on its own executor.
pub fn run<F: Future<Output = ()>>(test: impl FnOnce(Rc<LocalExecutor<'static>>) -> F) {
    let executor = Rc::new(LocalExecutor::new());
    smol::block_on(executor.run(test(executor.clone())));
}
