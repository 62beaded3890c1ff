//! A node with its sockets, replicas and background tasks.

mod assembly;
mod breaker;
pub mod control_port;
mod error;
pub mod group;
pub mod heartbeats;
pub mod ledger_port;
pub mod links;
pub mod listeners;
pub mod listings;
mod order_loop;
pub mod peer_link;
pub mod peer_server;
pub mod refusal_rate;
pub mod registry;
pub mod replicas;
pub mod router;
pub(crate) mod rpc_stream;
pub mod service;
mod vm_list;
pub mod wire;
pub mod wire_members;

pub use self::error::NodeError;

use std::cell::Cell;
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use agatetrestle_config::Settings;
use agatetrestle_config::settings::Listen;
use log::info;
use log::warn;
use smol::LocalExecutor;
use smol::Task;
use smol::Timer;
use snafu::ResultExt;

use crate::clock::Clock;
use crate::control::state::ControlState;
use crate::entry;
use crate::entry::ApiServer;
use crate::history::file::FileHistory;
use crate::ids::CONTROL_GROUP;
use crate::ids::FIRST_STATE_GROUP;
use crate::ids::NodeId;
use crate::metrics;
use crate::metrics::Metrics;
use crate::node::assembly::Assembly;
use crate::node::error::MetricsSnafu;
use crate::node::error::OpenHistorySnafu;
use crate::node::group::Group;
use crate::node::heartbeats::HeartbeatSender;
use crate::node::links::Links;
use crate::node::listeners::Listeners;
use crate::node::listings::GroupListing;
use crate::node::peer_link::MessageHandlers;
use crate::node::replicas::MissingFiles;
use crate::node::replicas::ReplicaOpener;
use crate::node::service::ControlGroupService;
use crate::node::service::GroupService;
use crate::node::service::LedgerService;
use crate::operator;
use crate::ports;
use crate::ports::Control;
use crate::ports::Groups;
use crate::ports::Members;
use crate::programs::ledger::LedgerState;

/// Interval at which a planned stop polls for its conditions.
const STOP_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Time for which a planned stop waits for another replica to become leader.
const LEADERSHIP_TRANSFER_TIMEOUT: Duration = Duration::from_secs(2);

/// A running node.
pub struct Node {
    settings: Settings,
    addresses: Listen,
    stopping: Rc<Cell<bool>>,
    entry: Rc<ApiServer>,
    heartbeats: Rc<HeartbeatSender>,
    control: Option<Rc<Group<ControlState>>>,
    state: Option<Rc<Group<LedgerState>>>,
    groups: Rc<dyn Groups>,
    ledger: Rc<dyn ports::Ledger>,
    tasks: RefCell<Vec<Task<()>>>,
}

/// The replicas of a node, with their driver tasks.
struct NodeReplicas {
    control: Option<Rc<Group<ControlState>>>,
    state: Option<Rc<Group<LedgerState>>>,
    tasks: Vec<Task<()>>,
}

impl Node {
    /// Opens the replicas and starts to serve peers, operators and callers.
    ///
    /// # Errors
    ///
    /// Fails if the persistent state can't be used or the settings are inconsistent.
    pub async fn start(
        settings: Settings,
        listeners: Listeners,
        executor: Rc<LocalExecutor<'static>>,
        missing: MissingFiles,
    ) -> Result<Rc<Self>, NodeError> {
        let clock = Clock::start();
        let addresses = listeners.addresses()?;
        let links = Links::new(NodeId(settings.node.id), settings.timing.peer_call, &executor);
        for peer in &settings.peers {
            links.add_address(NodeId(peer.id), peer.address);
        }
        let opener = ReplicaOpener {
            node: NodeId(settings.node.id),
            storage: &settings.storage,
            timing: &settings.timing,
            clock,
            links: &links,
            executor: &executor,
        };
        let mut replicas = NodeReplicas::open(&opener, &settings, missing).await?;
        links.set_handlers(replicas.handlers());
        let metrics = Rc::new(Metrics::new().context(MetricsSnafu)?);
        let assembly = Assembly::new(&settings, &addresses, clock, &links, &replicas, &metrics);
        metrics.observe_control(assembly.control.clone());
        let entry = Rc::new(assembly.entry(&metrics));
        let mut tasks = std::mem::take(&mut replicas.tasks);
        let peers = assembly.peer_server(&replicas);
        let groups: Rc<dyn Groups> = Rc::new(replicas.listing());
        let operators = assembly.operator_server(&groups);
        let dispatcher = assembly.dispatcher.clone();
        tasks.push(executor.spawn(peer_server::serve(peers, listeners.peers, Rc::downgrade(&executor))));
        tasks.push(executor.spawn(operator::serve(operators, listeners.operators, executor.clone())));
        tasks.push(executor.spawn(metrics::serve(metrics, listeners.metrics, executor.clone())));
        tasks.push(executor.spawn(entry::serve(entry.clone(), listeners.callers, executor.clone())));
        tasks.push(executor.spawn(async move { dispatcher.run_background().await }));
        tasks.push(executor.spawn(assembly.heartbeats.clone().run()));
        if let Some(order_loop) = assembly.order_loop(&replicas) {
            tasks.push(executor.spawn(order_loop.run(settings.timing.heartbeat)));
        }
        if let Some(address) = settings.platform.vm_list {
            let vm_list_loop = vm_list::run(assembly.heartbeats.clone(), address, settings.platform.interval);
            tasks.push(executor.spawn(vm_list_loop));
        }
        info!("Node {} is serving callers on {}.", settings.node.id, addresses.callers);
        Ok(Rc::new(Self {
            addresses,
            stopping: assembly.stopping,
            entry,
            heartbeats: assembly.heartbeats,
            groups,
            ledger: assembly.ledger,
            control: replicas.control,
            state: replicas.state,
            tasks: RefCell::new(tasks),
            settings,
        }))
    }

    /// Returns the bound addresses.
    #[must_use]
    pub fn addresses(&self) -> &Listen {
        &self.addresses
    }

    /// Returns the configuration in force, and whether the node accepts new work.
    #[must_use]
    pub fn control(&self) -> Rc<dyn Control> {
        self.heartbeats.control.clone()
    }

    /// Returns the groups that this node has replicas of.
    #[must_use]
    pub fn groups(&self) -> Rc<dyn Groups> {
        self.groups.clone()
    }

    /// Returns the ledger, which may be on other nodes.
    #[must_use]
    pub fn ledger(&self) -> Rc<dyn ports::Ledger> {
        self.ledger.clone()
    }

    /// Returns the members known to this node.
    #[must_use]
    pub fn members(&self) -> Rc<dyn Members> {
        self.heartbeats.clone()
    }

    /// Whether this node is the leader of the state group.
    #[must_use]
    pub fn leads_state_group(&self) -> bool {
        self.state.as_ref().is_some_and(|group| group.leads())
    }

    /// Performs a planned stop: leaves the address lists, accepts no new work, finishes requests in flight and transfers
    /// leadership. Returns whether all requests were finished.
    pub async fn stop(&self) -> bool {
        info!("Node {} is stopping.", self.settings.node.id);
        self.stopping.set(true);
        self.heartbeats.send_all().await;
        let finished = self.drain().await;
        self.transfer_leadership().await;
        self.kill().await;
        finished
    }

    async fn drain(&self) -> bool {
        let grace_period = self.settings.timing.stop_grace;
        let started = self.entry.clock.now();
        while self.entry.in_flight() > 0 {
            if self.entry.clock.now().since(started) >= grace_period {
                warn!(
                    "The grace period ended with {} requests in flight; dropping them.",
                    self.entry.in_flight()
                );
                return false;
            }
            Timer::after(STOP_POLL_INTERVAL).await;
        }
        true
    }

    async fn transfer_leadership(&self) {
        let started = self.entry.clock.now();
        if let Some(group) = &self.control {
            group.transfer_leadership();
        }
        if let Some(group) = &self.state {
            group.transfer_leadership();
        }
        while self.leads_any_group() && self.entry.clock.now().since(started) < LEADERSHIP_TRANSFER_TIMEOUT {
            Timer::after(STOP_POLL_INTERVAL).await;
        }
    }

    fn leads_any_group(&self) -> bool {
        let control = self.control.as_ref().is_some_and(|group| group.leads());
        control || self.leads_state_group()
    }

    /// Cancels all tasks and closes all sockets without notice, as a crash would.
    pub async fn kill(&self) {
        let tasks = std::mem::take(&mut *self.tasks.borrow_mut());
        for task in tasks {
            task.cancel().await;
        }
    }
}

impl NodeReplicas {
    /// Opens the replicas that the settings assign to this node.
    async fn open(
        opener: &ReplicaOpener<'_>,
        settings: &Settings,
        missing: MissingFiles,
    ) -> Result<Self, NodeError> {
        let mut replicas = Self { control: None, state: None, tasks: Vec::new() };
        let holders = replicas::holders(settings, CONTROL_GROUP);
        if holders.contains(&opener.node) {
            let local = opener.open(CONTROL_GROUP, ControlState::default(), &holders, missing).await?;
            replicas.control = Some(local.group);
            replicas.tasks.push(local.driver);
        }
        let holders = replicas::holders(settings, FIRST_STATE_GROUP);
        if holders.contains(&opener.node) {
            let ledger = open_ledger(settings)?;
            let local = opener.open(FIRST_STATE_GROUP, ledger, &holders, missing).await?;
            replicas.state = Some(local.group);
            replicas.tasks.push(local.driver);
        }
        Ok(replicas)
    }

    fn listing(&self) -> GroupListing {
        let mut listing = GroupListing::default();
        if let Some(group) = self.control.clone() {
            listing.0.push(group);
        }
        if let Some(group) = self.state.clone() {
            listing.0.push(group);
        }
        listing
    }

    fn handlers(&self) -> MessageHandlers {
        let mut handlers = MessageHandlers::new();
        if let Some(group) = self.control.clone() {
            handlers.insert(CONTROL_GROUP, Rc::new(move |message| group.receive(message)));
        }
        if let Some(group) = self.state.clone() {
            handlers.insert(FIRST_STATE_GROUP, Rc::new(move |message| group.receive(message)));
        }
        handlers
    }

    fn control_service(&self) -> Option<Rc<dyn GroupService>> {
        let group = self.control.clone()?;
        Some(Rc::new(ControlGroupService(group)))
    }

    fn state_service(&self) -> Option<Rc<dyn GroupService>> {
        let group = self.state.clone()?;
        Some(Rc::new(LedgerService(group)))
    }
}

/// Opens the ledger with its history, or an empty ledger in memory if there is no data folder.
fn open_ledger(settings: &Settings) -> Result<LedgerState, NodeError> {
    let Some(folder) = &settings.storage.data_folder else {
        return Ok(LedgerState::default());
    };
    let folder = folder.join(format!("history-{}", FIRST_STATE_GROUP.0));
    let history = FileHistory::open(&folder, settings.storage.segment);
    Ok(LedgerState::new(Box::new(history.context(OpenHistorySnafu { folder })?)))
}
