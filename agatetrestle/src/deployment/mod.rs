//! Runs one process of a deployment: an entry, a control replica or a store.
//!
//! docs/design/012-a-deployment-of-three-roles.md describes the state that each role holds and how it recovers.

mod backend_list;
mod control;
mod directory;
mod entry;
mod operators;
mod overview;
mod replica_process;
mod selection;
mod store;
#[cfg(test)]
mod tests;
mod turns;

pub use self::overview::overview;

use std::cell::RefCell;
use std::io;
use std::net::SocketAddr;
use std::net::SocketAddrV4;
use std::path::Path;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;

use agatetrestle_config::Deployment;
use agatetrestle_config::deployment::Role;
use agatetrestle_config::settings::Storage;
use agatetrestle_config::settings::Timing;
use async_signal::Signal;
use async_signal::Signals;
use futures::StreamExt;
use futures::future::LocalBoxFuture;
use log::info;
use log::warn;
use smol::LocalExecutor;
use smol::Timer;
use snafu::ResultExt;
use snafu::Snafu;

use crate::clock::Clock;
use crate::cluster::identity;
use crate::cluster::message::Member;
use crate::cluster::registry::ClusterRegistry;
use crate::cluster::relays::AssignedRelay;
use crate::cluster::report_log::ReportLog;
use crate::cluster::subscriber::StatusSource;
use crate::cluster::subscriber::Subscriber;
use crate::cluster::view::ClusterView;
use crate::gateway::wire::WireFormat;
use crate::ids::NodeId;
use crate::metrics;
use crate::metrics::Metrics;
use crate::metrics::MetricsError;
use crate::node::NodeError;
use crate::node::links::Links;
use crate::node::peer_server;
use crate::node::peer_server::PeerServer;
use crate::node::replicas::MissingFiles;
use crate::node::replicas::ReplicaOpener;
use crate::node::router::RequestTimeouts;
use crate::scheduler::random::Random;
use crate::transport::server;
use crate::transport::server::Handler;
use crate::transport::server::ServerLimits;
use crate::transport::server::listen;

/// Timeout of connecting to another process, and of each call that sets no timeout of its own. Failure domains are some 1.5
/// ms apart and a commit takes some 10 ms, so a process that needs longer is lost, paused or partitioned.
pub(crate) const PEER_CALL_TIMEOUT: Duration = Duration::from_millis(600);
/// Timeouts of one attempt to reach a group's leader and of all attempts together, which outlast an election. A new leader
/// is there about a second after one was lost.
const REQUEST_TIMEOUTS: RequestTimeouts = RequestTimeouts {
    attempt: Duration::from_millis(400),
    request: Duration::from_millis(1_800),
    recorded: Duration::from_millis(1_800),
};
/// The same for turns. The end of a turn is recorded for as long as its caller waits, which the timeout of its route bounds;
/// the longer limit is for turns whose caller has left.
pub(crate) const TURN_TIMEOUTS: RequestTimeouts =
    RequestTimeouts { recorded: Duration::from_secs(10), ..REQUEST_TIMEOUTS };
/// Size of a log segment; a snapshot frees whole segments.
const LOG_SEGMENT_BYTES: u64 = 4 << 20;
/// Time without a confirmed update after which the settings are reloaded, since the seeds may have changed.
const CONTROL_LOST_AFTER: Duration = Duration::from_secs(2);

/// Why a process can't start.
#[derive(Debug, Snafu)]
pub enum StartError {
    /// The signal handlers can't be installed.
    #[snafu(display("failed to install the signal handlers: {source}"))]
    Signals {
        /// Error of the operating system.
        source: io::Error,
    },
    /// The node ID can't be generated, read or written.
    #[snafu(display("failed to load or create the node ID in {}: {source}", folder.display()))]
    NodeId {
        /// The data folder, or the source of random numbers.
        folder: PathBuf,
        /// Error of the operating system.
        source: io::Error,
    },
    /// The metrics can't be initialized.
    #[snafu(display("failed to initialize the metrics: {source}"))]
    Metrics {
        /// Error of the metrics library.
        source: MetricsError,
    },
    /// A replica can't be opened.
    #[snafu(display("{source}"))]
    Replica {
        /// Error of opening it.
        source: NodeError,
    },
}

/// Settings and services that every role is started with.
pub(crate) struct ProcessContext {
    settings: Deployment,
    settings_path: PathBuf,
    wire: Rc<dyn WireFormat>,
    executor: Rc<LocalExecutor<'static>>,
    clock: Clock,
    node: NodeId,
    /// What to do if the files of a replica are missing and this node is none of its first voters.
    missing_files: MissingFiles,
    links: Rc<Links>,
    view: Rc<ClusterView>,
    metrics: Rc<Metrics>,
}

/// Runs the process that the settings describe until it receives `SIGTERM` or `SIGINT`; `SIGHUP` reloads the seeds.
///
/// # Errors
///
/// Fails if the process can't start.
pub async fn run(
    settings_path: &Path,
    settings: Deployment,
    wire: Rc<dyn WireFormat>,
    executor: Rc<LocalExecutor<'static>>,
) -> Result<(), StartError> {
    let mut signals = Signals::new([Signal::Term, Signal::Int, Signal::Hup]).context(SignalsSnafu)?;
    let (node, missing_files) = node_id(&settings)?;
    let links = Links::new(node, PEER_CALL_TIMEOUT, &executor);
    let process = &settings.process;
    info!("Starting {:?} {} as node {}, founding={}.", process.role, process.vm, node.0, settings.founding);
    let context = ProcessContext {
        settings_path: settings_path.to_path_buf(),
        wire,
        executor,
        clock: Clock::start(),
        node,
        missing_files,
        links,
        view: Rc::default(),
        metrics: Rc::new(Metrics::new().context(MetricsSnafu)?),
        settings,
    };
    context.serve_metrics();
    let process: Rc<dyn RunningRole> = match context.settings.process.role {
        Role::Entry => Rc::new(entry::start(&context)),
        Role::Control => Rc::new(control::start(&context).await.context(ReplicaSnafu)?),
        Role::Store => Rc::new(store::start(&context).await.context(ReplicaSnafu)?),
    };
    while let Some(signal) = signals.next().await {
        match signal {
            Ok(Signal::Hup) => process.subscriber().reload(&context.settings_path),
            Ok(signal) => {
                info!("Received signal {signal:?}; stopping.");
                break;
            }
            Err(error) => warn!("Failed to receive a signal: {error}."),
        }
    }
    process.stop().await;
    info!("Process stopped.");
    Ok(())
}

/// A running entry, control replica or store.
pub(crate) trait RunningRole {
    /// Reports to control and receives its updates.
    fn subscriber(&self) -> &Rc<Subscriber>;

    /// Stops gracefully: completes the requests in flight and transfers leadership.
    fn stop(&self) -> LocalBoxFuture<'_, ()>;
}

/// Returns the ID stored in the data folder, and how a replica joins under it. An empty folder gets a new ID, and so does each
/// start without a folder.
fn node_id(settings: &Deployment) -> Result<(NodeId, MissingFiles), StartError> {
    let process = &settings.process;
    let random_id = || identity::random_id().context(NodeIdSnafu { folder: "/dev/urandom" });
    let Some(folder) = &settings.data_folder else {
        return Ok((random_id()?, MissingFiles::JoinUnderNewId));
    };
    let seed = settings.seeds.iter().any(|seed| *seed.ip() == process.ip);
    let is_founder = settings.founding && seed && process.role == Role::Control;
    let new_id = if is_founder { identity::founder_id(process.ip) } else { random_id()? };
    let identity = identity::load_or_create(folder, new_id).context(NodeIdSnafu { folder })?;
    // The ID of a founder is derived from its address, so it may have been used before.
    let is_unused = identity.is_new && !is_founder;
    let missing_files = if is_unused { MissingFiles::JoinUnderNewId } else { MissingFiles::Join };
    Ok((identity.node, missing_files))
}

impl ProcessContext {
    fn member(&self) -> Member {
        let process = &self.settings.process;
        Member {
            node: self.node,
            vm: process.vm.clone(),
            role: process.role,
            zone: process.failure_domain.clone(),
            peer: SocketAddrV4::new(process.ip, process.peer_port),
            callers: self.settings.listen.callers,
            ready: false,
            group: None,
            entry: None,
        }
    }

    /// Memory limit of the process.
    fn memory_bytes(&self) -> usize {
        usize::try_from(self.settings.limits.memory_mb << 20).unwrap_or(usize::MAX)
    }

    /// Voters of a group: `2f + 1` survive the loss of `f` VMs.
    fn replication_factor(&self) -> usize {
        2 * self.settings.tolerance.vms + 1
    }

    fn storage(&self, snapshot_after: usize) -> Storage {
        Storage {
            data_folder: self.settings.data_folder.clone(),
            segment: LOG_SEGMENT_BYTES,
            snapshot_after: u64::try_from(snapshot_after).unwrap_or(u64::MAX),
        }
    }

    fn opener<'a>(&'a self, storage: &'a Storage, timing: &'a Timing) -> ReplicaOpener<'a> {
        ReplicaOpener {
            node: self.node,
            storage,
            timing,
            clock: self.clock,
            links: &self.links,
            executor: &self.executor,
        }
    }

    fn subscriber(
        &self,
        status_source: StatusSource,
        registry: Option<Rc<ClusterRegistry>>,
    ) -> Rc<Subscriber> {
        let port = self.settings.process.peer_port;
        let subscriber = Rc::new(Subscriber {
            status_source,
            seeds: RefCell::new(peer_addresses(&self.settings, port)),
            view: self.view.clone(),
            registry,
            links: self.links.clone(),
            clock: self.clock,
            links_by_address: RefCell::default(),
            relay: AssignedRelay::default(),
            random: RefCell::new(Random::new(self.node.0)),
            log: ReportLog::default(),
            recorder: self.metrics.clone(),
            notify: smol::channel::bounded(1),
        });
        self.metrics.observe_freshness(subscriber.clone());
        self.executor.spawn(subscriber.clone().run()).detach();
        let (reloading, settings_path) = (subscriber.clone(), self.settings_path.clone());
        self.executor.spawn(async move { reloading.reload_when_lost(&settings_path).await }).detach();
        subscriber
    }

    /// Serves the scrape endpoint if its port is set.
    fn serve_metrics(&self) {
        let Some(port) = self.settings.listen.metrics_port else {
            return;
        };
        let address = SocketAddrV4::new(self.settings.process.ip, port);
        let (metrics, executor) = (self.metrics.clone(), self.executor.clone());
        let serving = async move {
            let listener = listen(address).await;
            metrics::serve(metrics, listener, executor).await;
        };
        self.executor.spawn(serving).detach();
    }

    /// Serves calls from other processes of the deployment.
    fn serve_peers(&self, server: PeerServer) {
        self.links.set_handlers(server.handlers.clone());
        let address = self.member().peer;
        let executor = Rc::downgrade(&self.executor);
        let serving = async move {
            let listener = listen(address).await;
            peer_server::serve(Rc::new(server), listener, executor).await;
        };
        self.executor.spawn(serving).detach();
    }
}

/// Peer addresses of the seeds; `port` is the same on all of them.
fn peer_addresses(settings: &Deployment, port: u16) -> Vec<SocketAddrV4> {
    settings.seeds.iter().map(|seed| SocketAddrV4::new(*seed.ip(), port)).collect()
}

impl Subscriber {
    /// Reloads the seeds from the settings file.
    fn reload(&self, settings_path: &Path) {
        match Deployment::load(settings_path) {
            Ok(settings) => {
                let seeds = peer_addresses(&settings, settings.process.peer_port);
                if *self.seeds.borrow() != seeds {
                    info!("Seeds changed in the settings: {seeds:?}.");
                    self.seeds.replace(seeds);
                }
            }
            Err(error) => warn!("Failed to reload the settings, keeping the previous ones: {error}."),
        }
    }

    /// Reloads the settings while control does not answer, since they may change without a signal.
    async fn reload_when_lost(&self, settings_path: &Path) {
        loop {
            Timer::after(CONTROL_LOST_AFTER).await;
            let confirmed = self.view.confirmed_at();
            if confirmed.is_none_or(|at| self.clock.now().since(at) > CONTROL_LOST_AFTER) {
                self.reload(settings_path);
            }
        }
    }
}

/// Timing of the replicated groups of a deployment.
pub(crate) fn timing() -> Timing {
    Timing {
        leader_interval: Duration::from_millis(60),
        election_timeout: Duration::from_millis(250),
        clock_drift: Duration::from_millis(20),
        peer_call: PEER_CALL_TIMEOUT,
        ..Timing::default()
    }
}

/// Serves HTTP once the address can be bound.
fn serve_http(
    context: &ProcessContext,
    address: Option<SocketAddrV4>,
    handler: Handler,
    limits: Rc<ServerLimits>,
) {
    let Some(address) = address else {
        warn!("A listen address of this role is not set; its HTTP server is disabled.");
        return;
    };
    let executor = Rc::downgrade(&context.executor);
    let serving = async move {
        let listener = listen(address).await;
        server::serve(listener, handler, limits, executor).await;
    };
    context.executor.spawn(serving).detach();
}

/// Passes the addresses of the control replicas on to the links.
fn update_control_addresses(links: &Links, view: &ClusterView) {
    for (node, address) in view.control() {
        links.add_address(node, SocketAddr::V4(address));
    }
}
