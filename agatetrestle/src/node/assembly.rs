//! Creates the components of a node and connects them to each other.

use std::cell::Cell;
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use agatetrestle_config::Settings;
use agatetrestle_config::settings::Listen;

use crate::attempts::Dispatcher;
use crate::attempts::SystemTimer;
use crate::attempts::http::HttpBackendClient;
use crate::clock::Clock;
use crate::clock::micros;
use crate::entry;
use crate::entry::ApiServer;
use crate::ids::CONTROL_GROUP;
use crate::ids::FIRST_STATE_GROUP;
use crate::ids::GroupId;
use crate::ids::NodeId;
use crate::members::message::Heartbeat;
use crate::members::roster::Roster;
use crate::metrics::Metrics;
use crate::node::NodeReplicas;
use crate::node::control_port::ControlPort;
use crate::node::heartbeats::HeartbeatSender;
use crate::node::ledger_port::LedgerPort;
use crate::node::links::Links;
use crate::node::listings::BackendListing;
use crate::node::order_loop::OrderLoop;
use crate::node::peer_server::PeerServer;
use crate::node::registry::MemberRegistry;
use crate::node::replicas;
use crate::node::router::RequestTimeouts;
use crate::node::router::Router;
use crate::operator::OperatorServer;
use crate::orders::engines::HttpEngineAdmin;
use crate::ports::Groups;
use crate::scheduler;
use crate::scheduler::Policy;
use crate::scheduler::Scheduler;
use crate::scheduler::SchedulerConfig;
use crate::trace::recorder::RecordingScheduler;
use crate::trace::recorder::TraceLog;

/// Timeout of one attempt of a request to a group, in election timeouts.
const ATTEMPT_ELECTION_TIMEOUTS: u32 = 2;
/// Timeout of a request to a group with all its attempts, in call deadlines.
const REQUEST_CALL_DEADLINES: u32 = 2;

/// The components of a node.
pub(super) struct Assembly {
    node: NodeId,
    incarnation: u64,
    clock: Clock,
    settings: Settings,
    pub(super) stopping: Rc<Cell<bool>>,
    scheduler: Rc<RefCell<Box<dyn Scheduler>>>,
    traces: Rc<TraceLog>,
    pub(super) dispatcher: Rc<Dispatcher>,
    pub(super) control: Rc<ControlPort>,
    pub(super) ledger: Rc<LedgerPort>,
    registry: Option<Rc<MemberRegistry>>,
    pub(super) heartbeats: Rc<HeartbeatSender>,
}

impl Assembly {
    pub(super) fn new(
        settings: &Settings,
        addresses: &Listen,
        clock: Clock,
        links: &Rc<Links>,
        replicas: &NodeReplicas,
        metrics: &Rc<Metrics>,
    ) -> Self {
        let node = NodeId(settings.node.id);
        let timing = &settings.timing;
        let incarnation = incarnation();
        let stopping = Rc::new(Cell::new(false));
        let router = |group, local| {
            let holders = replicas::holders(settings, group);
            let attempt = timing.election_timeout * ATTEMPT_ELECTION_TIMEOUTS;
            let request = timing.peer_call * REQUEST_CALL_DEADLINES;
            let timeouts = RequestTimeouts { attempt, request, recorded: request };
            Rc::new(Router::new(group, node, local, links.clone(), &holders, Rc::new(clock), timeouts))
        };
        let control_router = router(CONTROL_GROUP, replicas.control_service());
        let control = Rc::new(ControlPort::new(control_router, clock, timing.clock_drift, stopping.clone()));
        let ledger = Rc::new(LedgerPort::new(router(FIRST_STATE_GROUP, replicas.state_service())));
        let traces = Rc::new(TraceLog::default());
        let inner = scheduler::build(Policy::default(), SchedulerConfig::default(), incarnation);
        let recording = RecordingScheduler::new(inner, traces.clone(), metrics.clone());
        let scheduler: Rc<RefCell<Box<dyn Scheduler>>> = Rc::new(RefCell::new(Box::new(recording)));
        let dispatcher = new_dispatcher(&scheduler, timing.peer_call, clock);
        let registry = replicas.control.clone().map(|group| {
            let lease = timing.configuration_lease;
            Rc::new(MemberRegistry::new(group, links.clone(), clock, incarnation, timing.heartbeat, lease))
        });
        let heartbeats = Rc::new(HeartbeatSender {
            template: heartbeat_template(settings, addresses, incarnation),
            interval: timing.heartbeat,
            replicas: replicas::holders(settings, CONTROL_GROUP),
            links: links.clone(),
            registry: registry.clone(),
            control: control.clone(),
            dispatcher: dispatcher.clone(),
            roster: RefCell::new(Roster::default()),
            stopping: stopping.clone(),
            clock,
        });
        let settings = settings.clone();
        Self {
            node,
            incarnation,
            clock,
            settings,
            stopping,
            scheduler,
            traces,
            dispatcher,
            control,
            ledger,
            registry,
            heartbeats,
        }
    }

    pub(super) fn entry(&self, metrics: &Rc<Metrics>) -> ApiServer {
        ApiServer {
            ledger: self.ledger.clone(),
            control: self.control.clone(),
            members: self.heartbeats.clone(),
            dispatcher: self.dispatcher.clone(),
            recorder: metrics.clone(),
            timer: Rc::new(SystemTimer),
            clock: self.clock,
            node: self.node,
            incarnation: self.incarnation,
            limits: self.settings.callers.clone(),
            stopping: self.stopping.clone(),
            state: entry::RuntimeState::default(),
        }
    }

    pub(super) fn order_loop(&self, replicas: &NodeReplicas) -> Option<OrderLoop> {
        let timing = &self.settings.timing;
        let engines = Rc::new(HttpEngineAdmin { timeout: timing.peer_call });
        let takeover_delay = timing.election_timeout + timing.clock_drift;
        let group = replicas.control.clone()?;
        Some(OrderLoop::new(self.node, self.clock, group, self.control.clone(), engines, takeover_delay))
    }

    pub(super) fn peer_server(&self, replicas: &NodeReplicas) -> Rc<PeerServer> {
        let mut server = PeerServer { registry: self.registry.clone(), ..PeerServer::default() };
        server.handlers = replicas.handlers();
        let services =
            [(CONTROL_GROUP, replicas.control_service()), (FIRST_STATE_GROUP, replicas.state_service())];
        let local = services.into_iter().filter_map(|(id, service): (GroupId, _)| Some((id, service?)));
        server.services = local.collect();
        Rc::new(server)
    }

    pub(super) fn operator_server(&self, groups: &Rc<dyn Groups>) -> Rc<OperatorServer> {
        let backends = BackendListing { scheduler: self.scheduler.clone(), control: self.control.clone() };
        Rc::new(OperatorServer {
            control: self.control.clone(),
            members: self.heartbeats.clone(),
            ledger: self.ledger.clone(),
            backends: Rc::new(backends),
            groups: groups.clone(),
            traces: self.traces.clone(),
            node: self.node,
        })
    }
}

fn new_dispatcher(
    scheduler: &Rc<RefCell<Box<dyn Scheduler>>>,
    connect_timeout: Duration,
    clock: Clock,
) -> Rc<Dispatcher> {
    let timer: Rc<SystemTimer> = Rc::new(SystemTimer);
    let backends = Rc::new(HttpBackendClient::new(timer.clone(), connect_timeout));
    Rc::new(Dispatcher::new(scheduler.clone(), backends.clone(), backends, timer, clock))
}

fn heartbeat_template(settings: &Settings, addresses: &Listen, incarnation: u64) -> Heartbeat {
    Heartbeat {
        node: NodeId(settings.node.id),
        vm: settings.node.vm.clone(),
        failure_domain: settings.node.failure_domain.clone(),
        region: settings.node.region.clone(),
        incarnation,
        caller_address: addresses.callers.to_string().into(),
        peer_address: addresses.peers.to_string().into(),
        ..Heartbeat::default()
    }
}

/// Returns the wall clock in microseconds since 1970. It is higher after each restart unless the clock was set back by more
/// than the process was down.
fn incarnation() -> u64 {
    micros(SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default())
}
