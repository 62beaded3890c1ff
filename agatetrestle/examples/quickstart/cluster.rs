//! Three nodes and fakes of their backend servers.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;

use agatetrestle::control::command::ControlCommand;
use agatetrestle::control::command::ControlReply;
use agatetrestle::node::Node;
use agatetrestle::node::NodeError;
use agatetrestle::node::listeners::Listeners;
use agatetrestle::node::replicas::MissingFiles;
use agatetrestle::ports::GroupError;
use agatetrestle_config::Settings;
use agatetrestle_config::settings::Listen;
use agatetrestle_config::settings::PeerSeed;
use agatetrestle_fakes::Engine;
use agatetrestle_fakes::EngineConfig;
use agatetrestle_fakes::Service;
use agatetrestle_fakes::Tool;
use agatetrestle_fakes::client::ClientError;
use smol::LocalExecutor;
use smol::Task;
use smol::Timer;
use snafu::Snafu;
use snafu::ensure;

const NODES: u64 = 3;
const POLL_INTERVAL: Duration = Duration::from_millis(10);
const START_TIMEOUT: Duration = Duration::from_secs(10);
const ANSWER_TOKENS: u64 = 24;

/// Why the quickstart could not run to its end.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub))]
pub enum QuickstartError {
    #[snafu(context(false), display("failed to start a node: {source}"))]
    Node { source: NodeError },
    #[snafu(context(false), display("failed to start a fake backend server or to bind a listener: {source}"))]
    Fake { source: std::io::Error },
    #[snafu(context(false), display("request to a node failed: {source}"))]
    Caller { source: ClientError },
    #[snafu(display("failed to commit the declarations: {source}"))]
    DeclarationsNotCommitted { source: GroupError },
    #[snafu(display("declarations refused: {reply:?}"))]
    DeclarationsRefused { reply: ControlReply },
    #[snafu(display("nodes not ready within {START_TIMEOUT:?}"))]
    NotReady,
    #[snafu(display("no node returned a final answer"))]
    NoAnswer,
}

/// A node on its own executor, so that its open connections fall silent when it is killed.
pub struct RunningNode {
    pub node: Rc<Node>,
    task: Option<Task<()>>,
}

/// Nodes and fake backend servers, each of which would run on its own VM in production.
pub struct LocalCluster {
    pub nodes: Vec<RunningNode>,
    pub engines: Vec<Engine>,
    pub tool: Tool,
    pub bookings: Service,
    folder: PathBuf,
}

impl LocalCluster {
    /// Starts everything and applies the declarations.
    pub async fn start(executor: &Rc<LocalExecutor<'static>>) -> Result<Self, QuickstartError> {
        let folder = std::env::temp_dir().join(format!("agatetrestle-quickstart-{}", std::process::id()));
        let engine = EngineConfig {
            output_tokens: ANSWER_TOKENS,
            token_delay: Duration::from_millis(4),
            ..EngineConfig::default()
        };
        let engines =
            vec![Engine::start(executor, engine.clone()).await?, Engine::start(executor, engine).await?];
        let tool = Tool::start(executor, Duration::from_millis(80)).await?;
        let bookings = Service::start(executor).await?;
        let nodes = start_nodes(executor, &folder).await?;
        let cluster = Self { nodes, engines, tool, bookings, folder };
        cluster.wait_until(|node| node.control().taking_work().is_ok()).await?;
        cluster.declare("shared", &cluster.shared_document()).await?;
        cluster.declare("vrsta", PARTNER_DOCUMENT).await?;
        cluster.wait_until(|node| node.control().configuration().documents.len() == 2).await?;
        Ok(cluster)
    }

    /// Stops a node as the loss of its VM would: its tasks end and its open connections fall silent.
    pub async fn kill(&mut self, address: SocketAddr) {
        for running in &mut self.nodes {
            if running.node.addresses().callers == address && running.task.is_some() {
                running.node.kill().await;
                running.task.take();
            }
        }
    }

    /// Name of the node with this caller address.
    pub fn node_name(&self, address: SocketAddr) -> String {
        let position = self.nodes.iter().position(|running| running.node.addresses().callers == address);
        position.map_or_else(|| address.to_string(), |index| format!("node {}", index + 1))
    }

    /// Caller addresses of the running nodes.
    pub fn live_addresses(&self) -> Vec<SocketAddr> {
        let live = self.nodes.iter().filter(|running| running.task.is_some());
        live.map(|running| running.node.addresses().callers).collect()
    }

    async fn wait_until(&self, ready: impl Fn(&Node) -> bool) -> Result<(), QuickstartError> {
        let mut waited = Duration::ZERO;
        while !self.nodes.iter().all(|running| ready(&running.node)) {
            ensure!(waited < START_TIMEOUT, NotReadySnafu);
            Timer::after(POLL_INTERVAL).await;
            waited += POLL_INTERVAL;
        }
        Ok(())
    }

    async fn declare(&self, scope: &str, text: &str) -> Result<(), QuickstartError> {
        let change_id = format!("quickstart {scope}");
        let command = ControlCommand::Apply {
            scope: scope.into(),
            text: text.into(),
            expected: 0,
            change_id: change_id.into(),
        };
        let reply = self.commit(command).await?;
        ensure!(matches!(reply, ControlReply::Accepted { .. }), DeclarationsRefusedSnafu { reply });
        Ok(())
    }

    /// Retries a change until it is committed or times out; its id makes retries idempotent.
    async fn commit(&self, command: ControlCommand) -> Result<ControlReply, QuickstartError> {
        let control = self.nodes[0].node.control();
        let mut waited = Duration::ZERO;
        loop {
            match control.commit(command.clone()).await {
                Ok(reply) => return Ok(reply),
                Err(source) if waited >= START_TIMEOUT => {
                    return Err(QuickstartError::DeclarationsNotCommitted { source });
                }
                Err(_) => {}
            }
            Timer::after(POLL_INTERVAL).await;
            waited += POLL_INTERVAL;
        }
    }

    fn shared_document(&self) -> String {
        let mut text = SHARED_DOCUMENT.to_owned();
        for (index, engine) in self.engines.iter().enumerate() {
            text += &backend_entry(&format!("engine-{}", index + 1), "engine", engine.address, "assistant");
        }
        text += &backend_entry("rota-1", "service", self.tool.address, "rota");
        text += &backend_entry("bookings-1", "service", self.bookings.address, "bookings");
        text
    }
}

impl Drop for LocalCluster {
    fn drop(&mut self) {
        // Leftover files in the temporary folder are not a failure of the run.
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

fn backend_entry(name: &str, kind: &str, address: SocketAddr, serves: &str) -> String {
    format!(
        "  {name}:\n    kind: {kind}\n    address: {address}\n    serves: {serves}\n    vm: vm-{name}\n    failure_domain: domain-1\n    cache_tokens: 200000\n"
    )
}

async fn start_nodes(
    executor: &Rc<LocalExecutor<'static>>,
    folder: &std::path::Path,
) -> Result<Vec<RunningNode>, QuickstartError> {
    let loopback = SocketAddr::from(([127, 0, 0, 1], 0));
    let listen = Listen { callers: loopback, peers: loopback, operators: loopback, metrics: loopback };
    let mut listeners = Vec::new();
    let mut peers = Vec::new();
    for id in 1..=NODES {
        let bound = Listeners::bind(&listen).await?;
        peers.push(PeerSeed { id, address: bound.addresses()?.peers, control: true, state_groups: vec![1] });
        listeners.push(bound);
    }
    let mut nodes = Vec::new();
    for (id, bound) in (1..=NODES).zip(listeners) {
        let settings = settings(id, &peers, folder);
        let node_executor = Rc::new(LocalExecutor::new());
        let node = executor
            .run(Node::start(settings, bound, node_executor.clone(), MissingFiles::Bootstrap))
            .await?;
        let task = executor.spawn(async move { node_executor.run(std::future::pending::<()>()).await });
        nodes.push(RunningNode { node, task: Some(task) });
    }
    Ok(nodes)
}

fn settings(id: u64, peers: &[PeerSeed], folder: &std::path::Path) -> Settings {
    let mut settings = Settings { peers: peers.to_vec(), ..Settings::default() };
    settings.node.id = id;
    settings.node.vm = format!("vm-{id}").into();
    settings.node.failure_domain = format!("domain-{id}").into();
    settings.storage.data_folder = Some(folder.join(format!("node-{id}")));
    settings.timing.heartbeat = Duration::from_millis(200);
    settings.timing.peer_call = Duration::from_millis(500);
    settings
}

const SHARED_DOCUMENT: &str = "\
format: 1
shares:
  vrsta: 1
models:
  assistant:
    weights: 16GiB
services:
  rota:
    repeatable: true
  bookings:
    repeatable: false
backend_servers:
";

const PARTNER_DOCUMENT: &str = "\
format: 1
teams:
  dawn:
    weight: 1
classes:
  replacement:
    priority: 9
    budget: 20000
    deadline: 30s
";
