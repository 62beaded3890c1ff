//! The struct that owns one process of a deployment: an entry, a control replica or a store.
//!
//! docs/design/012-a-deployment-of-three-roles.md tells who keeps what and what is done when something is lost.

mod control;
mod directory;
mod entry;
mod listing;
mod operators;
mod overview;
mod replicated;
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
use crate::node::replicas::Opener;
use crate::node::router::RequestTimeouts;
use crate::transport::server;
use crate::transport::server::Bounds;
use crate::transport::server::Handler;
use crate::transport::server::listen;

/// Bound on connecting to another process and on each call without a bound of its own. Domains are 1.5 ms apart and a
/// commit takes some 10 ms, so a process that needs longer is gone, frozen or cut off.
const PEER_CALL: Duration = Duration::from_millis(600);
/// How long one try at a group's leader lasts, and all tries together. A new leader is there about a second after
/// one was lost.
const REQUEST_TIMEOUTS: RequestTimeouts =
    RequestTimeouts { attempt: Duration::from_millis(400), request: Duration::from_millis(1_800) };
/// Size of a log segment; a snapshot frees whole ones.
const SEGMENT: u64 = 4 << 20;
/// Time without a confirmed update after which the settings are read again, since the seeds may have changed.
const CONTROL_LOST_AFTER: Duration = Duration::from_secs(2);

/// Why a process can't start.
#[derive(Debug, Snafu)]
pub enum StartError {
    /// The signals of the operating system can't be had.
    #[snafu(display("no signals can be received: {source}"))]
    Signals {
        /// What the operating system said.
        source: io::Error,
    },
    /// The number of the process can't be kept.
    #[snafu(display("the number of the process can't be kept in {}: {source}", folder.display()))]
    Number {
        /// The data folder.
        folder: PathBuf,
        /// What the operating system said.
        source: io::Error,
    },
    /// The metrics can't be set up.
    #[snafu(display("the metrics can't be set up: {source}"))]
    Measures {
        /// What the library said.
        source: MetricsError,
    },
    /// A replica can't be opened.
    #[snafu(display("{source}"))]
    Replica {
        /// What is wrong with it.
        source: NodeError,
    },
}

/// What every role is built from.
pub(crate) struct Frame {
    settings: Deployment,
    file: PathBuf,
    wire: Rc<dyn WireFormat>,
    executor: Rc<LocalExecutor<'static>>,
    clock: Clock,
    node: NodeId,
    links: Rc<Links>,
    view: Rc<ClusterView>,
    metrics: Rc<Metrics>,
}

/// Runs the process of a settings file until a signal asks it to stop.
///
/// # Errors
///
/// Fails if the process can't start.
pub async fn run(
    file: &Path,
    settings: Deployment,
    wire: Rc<dyn WireFormat>,
    executor: Rc<LocalExecutor<'static>>,
) -> Result<(), StartError> {
    let mut signals = Signals::new([Signal::Term, Signal::Int, Signal::Hup]).context(SignalsSnafu)?;
    let node = number(&settings)?;
    let links = Links::new(node, PEER_CALL, &executor);
    let process = &settings.process;
    info!("Start of {:?} {} as node {}, founding={}.", process.role, process.vm, node.0, settings.founding);
    let frame = Frame {
        file: file.to_path_buf(),
        wire,
        executor,
        clock: Clock::start(),
        node,
        links,
        view: Rc::default(),
        metrics: Rc::new(Metrics::new().context(MeasuresSnafu)?),
        settings,
    };
    frame.serve_metrics();
    let process: Rc<dyn RunningRole> = match frame.settings.process.role {
        Role::Entry => Rc::new(entry::start(&frame)),
        Role::Control => Rc::new(control::start(&frame).await.context(ReplicaSnafu)?),
        Role::Store => Rc::new(store::start(&frame).await.context(ReplicaSnafu)?),
    };
    while let Some(signal) = signals.next().await {
        match signal {
            Ok(Signal::Hup) => process.subscriber().reload(&frame.file),
            Ok(signal) => {
                info!("Signal {signal:?}: the process stops.");
                break;
            }
            Err(failure) => warn!("A signal could not be received: {failure}."),
        }
    }
    process.stop().await;
    info!("The process has stopped.");
    Ok(())
}

/// A role that has started.
pub(crate) trait RunningRole {
    /// Its reports to control.
    fn subscriber(&self) -> &Rc<Subscriber>;

    /// A planned stop: what is under way is finished, what it leads is handed over.
    fn stop(&self) -> LocalBoxFuture<'_, ()>;
}

/// The number of the process; a new one with each empty disk, and with each start where there is no disk.
fn number(settings: &Deployment) -> Result<NodeId, StartError> {
    let process = &settings.process;
    let drawn = || identity::random_id().context(NumberSnafu { folder: "/dev/urandom" });
    let Some(folder) = &settings.data_folder else {
        return drawn();
    };
    let seed = settings.seeds.iter().any(|seed| *seed.ip() == process.ip);
    let founds = settings.founding && seed && process.role == Role::Control;
    let fresh = if founds { identity::founder_id(process.ip) } else { drawn()? };
    identity::load_or_create(folder, fresh).context(NumberSnafu { folder })
}

impl Frame {
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
        }
    }

    /// Bytes of memory that the process may use.
    fn memory(&self) -> usize {
        usize::try_from(self.settings.limits.memory_mb << 20).unwrap_or(usize::MAX)
    }

    /// Stores and control replicas that must be sound.
    fn quorum_base(&self) -> usize {
        2 * self.settings.tolerance.vms + 1
    }

    fn storage(&self, snapshot_after: usize) -> Storage {
        Storage {
            data_folder: self.settings.data_folder.clone(),
            segment: SEGMENT,
            snapshot_after: u64::try_from(snapshot_after).unwrap_or(u64::MAX),
        }
    }

    /// What every replica of this process is opened with.
    fn opener<'a>(&'a self, storage: &'a Storage, timing: &'a Timing) -> Opener<'a> {
        Opener {
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
            by_address: RefCell::default(),
            log: ReportLog::default(),
            recorder: self.metrics.clone(),
            notify: smol::channel::bounded(1),
        });
        self.metrics.watch_freshness(subscriber.clone());
        self.executor.spawn(subscriber.clone().run()).detach();
        let (watched, file) = (subscriber.clone(), self.file.clone());
        self.executor.spawn(async move { watched.reload_when_lost(&file).await }).detach();
        subscriber
    }

    /// Serves the scrape of metrics, if it has an address.
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

    /// Serves calls of our own processes.
    fn serve_peers(&self, server: PeerServer) {
        self.links.set_receivers(server.receivers.clone());
        let address = self.member().peer;
        let executor = Rc::downgrade(&self.executor);
        let serving = async move {
            let listener = listen(address).await;
            peer_server::serve(Rc::new(server), listener, executor).await;
        };
        self.executor.spawn(serving).detach();
    }
}

/// The seeds as our own processes reach them: control's port is the same everywhere, and so is ours.
fn peer_addresses(settings: &Deployment, port: u16) -> Vec<SocketAddrV4> {
    settings.seeds.iter().map(|seed| SocketAddrV4::new(*seed.ip(), port)).collect()
}

impl Subscriber {
    /// Takes the seeds from the settings file again.
    fn reload(&self, file: &Path) {
        match Deployment::load(file) {
            Ok(settings) => {
                let seeds = peer_addresses(&settings, settings.process.peer_port);
                if *self.seeds.borrow() != seeds {
                    info!("The settings name other seeds: {seeds:?}.");
                    self.seeds.replace(seeds);
                }
            }
            Err(failure) => warn!("The settings can't be read again and stay as they were: {failure}."),
        }
    }

    /// The settings may also change without a signal; they matter only to a process that has lost control.
    async fn reload_when_lost(&self, file: &Path) {
        loop {
            Timer::after(CONTROL_LOST_AFTER).await;
            let confirmed = self.view.confirmed_at();
            if confirmed.is_none_or(|at| self.clock.now().since(at) > CONTROL_LOST_AFTER) {
                self.reload(file);
            }
        }
    }
}

/// Time bounds of the groups of a deployment.
fn timing() -> Timing {
    Timing {
        leader_interval: Duration::from_millis(60),
        election_timeout: Duration::from_millis(250),
        clock_drift: Duration::from_millis(20),
        peer_call: PEER_CALL,
        ..Timing::default()
    }
}

/// Listens, once the address is free, and serves HTTP there.
fn serve_http(frame: &Frame, address: Option<SocketAddrV4>, handler: Handler, bounds: Rc<Bounds>) {
    let Some(address) = address else {
        warn!("An address of this role is not set, so nothing is served there.");
        return;
    };
    let executor = Rc::downgrade(&frame.executor);
    let serving = async move {
        let listener = listen(address).await;
        server::serve(listener, handler, bounds, executor).await;
    };
    frame.executor.spawn(serving).detach();
}

/// Makes the addresses of control that a process found known to its links.
fn learn_control(links: &Links, view: &ClusterView) {
    for (node, address) in view.control() {
        links.learn(node, SocketAddr::V4(address));
    }
}
