//! Three nodes and the fakes that they meet.

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
const POLL: Duration = Duration::from_millis(10);
const START_WITHIN: Duration = Duration::from_secs(10);
const TOKENS: u64 = 24;

/// Why the quickstart could not even run.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub))]
pub enum QuickstartError {
    #[snafu(context(false), display("a node did not start: {source}"))]
    Node { source: NodeError },
    #[snafu(context(false), display("a fake did not start: {source}"))]
    Fake { source: std::io::Error },
    #[snafu(context(false), display("a caller got no answer: {source}"))]
    Caller { source: ClientError },
    #[snafu(display("the declarations were not accepted: {source}"))]
    Declare { source: GroupError },
    #[snafu(display("the declarations were not accepted: {reply:?}"))]
    Declined { reply: ControlReply },
    #[snafu(display("the nodes were not ready in time"))]
    NotReady,
    #[snafu(display("no answer came on any address"))]
    NoAnswer,
}

/// A node on an executor of its own, so that it can be lost without the others noticing at once.
pub struct Running {
    pub node: Rc<Node>,
    runner: Option<Task<()>>,
}

/// All processes that would be on VMs of their own.
pub struct Cluster {
    pub nodes: Vec<Running>,
    pub engines: Vec<Engine>,
    pub tool: Tool,
    pub bookings: Service,
    folder: PathBuf,
}

impl Cluster {
    /// Starts everything and applies the declarations.
    pub async fn start(executor: &Rc<LocalExecutor<'static>>) -> Result<Self, QuickstartError> {
        let folder = std::env::temp_dir().join(format!("agatetrestle-quickstart-{}", std::process::id()));
        let engine = EngineConfig {
            output_tokens: TOKENS,
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
        cluster.declare("shared", &cluster.shared()).await?;
        cluster.declare("vrsta", VRSTA).await?;
        cluster.wait_until(|node| node.control().configuration().documents.len() == 2).await?;
        Ok(cluster)
    }

    /// Loses a node: its loops and sockets are gone, and what was open on it falls silent.
    pub async fn lose(&mut self, address: SocketAddr) {
        for running in &mut self.nodes {
            if running.node.addresses().callers == address && running.runner.is_some() {
                running.node.kill().await;
                running.runner.take();
            }
        }
    }

    /// Name of the node behind a caller address.
    pub fn name(&self, address: SocketAddr) -> String {
        let position = self.nodes.iter().position(|running| running.node.addresses().callers == address);
        position.map_or_else(|| address.to_string(), |index| format!("node {}", index + 1))
    }

    /// Addresses of the nodes that were not lost.
    pub fn live(&self) -> Vec<SocketAddr> {
        let live = self.nodes.iter().filter(|running| running.runner.is_some());
        live.map(|running| running.node.addresses().callers).collect()
    }

    async fn wait_until(&self, ready: impl Fn(&Node) -> bool) -> Result<(), QuickstartError> {
        let mut waited = Duration::ZERO;
        while !self.nodes.iter().all(|running| ready(&running.node)) {
            ensure!(waited < START_WITHIN, NotReadySnafu);
            Timer::after(POLL).await;
            waited += POLL;
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
        ensure!(matches!(reply, ControlReply::Accepted { .. }), DeclinedSnafu { reply });
        Ok(())
    }

    /// Offers a change again while no quorum took it, as operators do; its id makes that safe.
    async fn commit(&self, command: ControlCommand) -> Result<ControlReply, QuickstartError> {
        let control = self.nodes[0].node.control();
        let mut waited = Duration::ZERO;
        loop {
            match control.commit(command.clone()).await {
                Ok(reply) => return Ok(reply),
                Err(source) if waited >= START_WITHIN => return Err(QuickstartError::Declare { source }),
                Err(_) => {}
            }
            Timer::after(POLL).await;
            waited += POLL;
        }
    }

    fn shared(&self) -> String {
        let mut text = SHARED.to_owned();
        for (index, engine) in self.engines.iter().enumerate() {
            text += &backend(&format!("engine-{}", index + 1), "engine", engine.address, "assistant");
        }
        text += &backend("rota-1", "service", self.tool.address, "rota");
        text += &backend("bookings-1", "service", self.bookings.address, "bookings");
        text
    }
}

impl Drop for Cluster {
    fn drop(&mut self) {
        // Files that stay behind in the temporary folder are no failure of the run.
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

fn backend(name: &str, kind: &str, address: SocketAddr, serves: &str) -> String {
    format!(
        "  {name}:\n    kind: {kind}\n    address: {address}\n    serves: {serves}\n    vm: vm-{name}\n    failure_domain: domain-1\n    cache_tokens: 200000\n"
    )
}

async fn start_nodes(
    executor: &Rc<LocalExecutor<'static>>,
    folder: &std::path::Path,
) -> Result<Vec<Running>, QuickstartError> {
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
        let own = Rc::new(LocalExecutor::new());
        let node = executor.run(Node::start(settings, bound, own.clone(), MissingFiles::Bootstrap)).await?;
        let runner = executor.spawn(async move { own.run(std::future::pending::<()>()).await });
        nodes.push(Running { node, runner: Some(runner) });
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

const SHARED: &str = "\
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

const VRSTA: &str = "\
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
