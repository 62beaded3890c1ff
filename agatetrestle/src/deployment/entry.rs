//! An entry serves callers. All its state is soft, so an entry can be lost at any time.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use agatetrestle_config::deployment::Role;
use futures::future::LocalBoxFuture;
use http::Response;
use http::StatusCode;
use log::info;
use log::warn;
use smol::Timer;

use crate::backends::BackendChange;
use crate::clock::Clock;
use crate::cluster::message::EntryCapacity;
use crate::cluster::message::Member;
use crate::cluster::subscriber::Subscriber;
use crate::cluster::view::ClusterView;
use crate::cluster::view::Watcher;
use crate::control::command::Document;
use crate::deployment::ProcessContext;
use crate::deployment::RunningRole;
use crate::deployment::TURN_TIMEOUTS;
use crate::deployment::directory::ADDRESS_MAX_AGE;
use crate::deployment::selection::load_level;
use crate::deployment::serve_http;
use crate::deployment::turns::RoutedTurnClient;
use crate::deployment::turns::TurnRouter;
use crate::deployment::turns::TurnRouterParts;
use crate::dispatch::Dispatch;
use crate::gateway::Gateway;
use crate::gateway::GatewayParts;
use crate::ids::GroupId;
use crate::ids::NodeId;
use crate::node::peer_server::PeerServer;
use crate::suspects::SuspectView;
use crate::transport::body::ResponseBody;
use crate::transport::server::Handler;
use crate::transport::server::MAX_HEAD_BYTES_AT_START;
use crate::transport::server::ServerLimits;

/// Request bodies may take up to the memory limit divided by this.
const BODY_MEMORY_DIVISOR: usize = 4;
/// The same for responses, besides a small part of each.
const RESPONSE_MEMORY_DIVISOR: usize = 8;
/// File descriptors reserved for connections to backend servers and to other processes, and for files.
const RESERVED_DESCRIPTORS: u64 = 1_200;
/// Bound on the connections of readiness probes, and the lowest bound on those of callers.
const MIN_CONNECTIONS: usize = 64;
/// Memory that a request in flight is assumed to take with its connections and buffers, of half of the memory. It only decides
/// from when an entry counts as loaded.
const REQUEST_MEMORY_BYTES: usize = 128 << 10;
/// Callers may cache an address for this many times its max age.
const STALE_ADDRESS_FACTOR: u32 = 3;
/// Requests without a response are answered with an error this long before the end of the grace period, at which the process
/// would be killed.
const GRACE_MARGIN: Duration = Duration::from_millis(500);
/// Time for writing these answers and for settling the turns of the requests before the process exits.
const EXIT_DELAY: Duration = Duration::from_millis(200);
const STOP_POLL_INTERVAL: Duration = Duration::from_millis(50);

pub(super) struct Entry {
    gateway: Rc<Gateway>,
    subscriber: Rc<Subscriber>,
    limits: Rc<ServerLimits>,
    clock: Clock,
    grace: Duration,
}

/// Applies changes of the cluster view to the gateway and the turn router.
struct EntryWatcher {
    gateway: Rc<Gateway>,
    turns: Rc<TurnRouter>,
    view: Rc<ClusterView>,
}

impl Watcher for EntryWatcher {
    fn routes(&self, document: &Document) {
        self.gateway.routes(document);
    }

    fn backends(&self, change: &BackendChange) {
        self.gateway.backends(change);
    }

    fn members(&self, members: &[Member]) {
        let mut holders: BTreeMap<GroupId, Vec<NodeId>> = BTreeMap::new();
        for store in members.iter().filter(|member| member.role == Role::Store) {
            if let Some(group) = store.group {
                holders.entry(group).or_default().push(store.node);
            }
        }
        info!("Of {} state groups these stores hold replicas: {holders:?}.", self.view.groups());
        self.turns.set_holders(self.view.groups(), &holders);
    }
}

pub(super) fn start(context: &ProcessContext) -> Entry {
    let links = context.links.clone();
    let suspects = Rc::new(SuspectView::default());
    let turns = TurnRouter::new(TurnRouterParts {
        suspects: suspects.clone(),
        executor: context.executor.clone(),
        node: context.node,
        links,
        clock: context.clock,
        timeouts: TURN_TIMEOUTS,
    });
    let max_connections = context.settings.limits.descriptors.saturating_sub(RESERVED_DESCRIPTORS);
    let limits =
        ServerLimits::new(usize::try_from(max_connections).unwrap_or(usize::MAX).max(MIN_CONNECTIONS));
    limits.max_head_bytes.set(MAX_HEAD_BYTES_AT_START);
    let gateway = Gateway::new(GatewayParts {
        wire: context.wire.clone(),
        turns: Rc::new(RoutedTurnClient(turns.clone())),
        suspects,
        dispatch: Dispatch::new(context.settings.process.failure_domain.clone(), context.node.0)
            .with_policy(context.settings.decisions),
        node: context.node,
        placement: context.settings.placement,
        clock: context.clock,
        limits: limits.clone(),
        body_buffer_bytes: context.memory_bytes() / BODY_MEMORY_DIVISOR,
        response_buffer_bytes: context.memory_bytes() / RESPONSE_MEMORY_DIVISOR,
        recorder: context.metrics.clone(),
        executor: context.executor.clone(),
    });
    context.executor.spawn(gateway.clone().run()).detach();
    context.view.watch(Rc::new(EntryWatcher { gateway: gateway.clone(), turns, view: context.view.clone() }));
    context.serve_peers(PeerServer::default());
    let (ready_source, member) = (gateway.clone(), context.member());
    let capacity = RefCell::new(capacity(context));
    let (used_limits, max_requests) = (limits.clone(), context.memory_bytes() / 2 / REQUEST_MEMORY_BYTES);
    let status_source = Rc::new(move || {
        let requests = percent(ready_source.in_flight(), max_requests);
        let connections = percent(used_limits.open_connections.get(), used_limits.max_connections.get());
        let mut capacity = capacity.borrow_mut();
        capacity.load = load_level(capacity.load, requests.max(connections));
        Member { ready: ready_source.is_ready(), entry: Some(*capacity), ..member.clone() }.into()
    });
    let subscriber = context.subscriber(status_source, None);
    serve_callers(context, &gateway, &limits);
    serve_readiness(context, &gateway);
    let grace = context.settings.bounds.stop_grace;
    Entry { gateway, subscriber, limits, clock: context.clock, grace }
}

fn capacity(context: &ProcessContext) -> EntryCapacity {
    // Validated to be from 0.001 to 1000.
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    let millicores = context.settings.process.cores.map(|cores| (cores * 1_000.0).round() as u32);
    let memory_mb = u32::try_from(context.settings.limits.memory_mb).unwrap_or(u32::MAX);
    EntryCapacity { millicores, memory_mb, load: 0 }
}

fn percent(used: usize, limit: usize) -> u32 {
    u32::try_from(used.saturating_mul(100) / limit.max(1)).unwrap_or(u32::MAX)
}

fn serve_callers(context: &ProcessContext, gateway: &Rc<Gateway>, limits: &Rc<ServerLimits>) {
    let gateway = gateway.clone();
    let handler: Handler = Rc::new(move |request| {
        let gateway = gateway.clone();
        Box::pin(async move { gateway.handle(request).await })
    });
    serve_http(context, context.settings.listen.callers, handler, limits.clone());
}

fn serve_readiness(context: &ProcessContext, gateway: &Rc<Gateway>) {
    let (gateway, wire) = (gateway.clone(), context.wire.clone());
    let handler: Handler = Rc::new(move |request| {
        let is_probe = wire.is_readiness_probe(request.uri());
        let status = match (is_probe, gateway.is_ready()) {
            (false, _) => StatusCode::NOT_FOUND,
            (true, true) => StatusCode::OK,
            (true, false) => StatusCode::SERVICE_UNAVAILABLE,
        };
        let mut response = Response::new(ResponseBody::full(""));
        *response.status_mut() = status;
        Box::pin(async move { response })
    });
    serve_http(context, context.settings.listen.readiness, handler, ServerLimits::new(MIN_CONNECTIONS));
}

impl RunningRole for Entry {
    fn subscriber(&self) -> &Rc<Subscriber> {
        &self.subscriber
    }

    /// Serves until no caller can still have the address cached, then until no request is in flight.
    fn stop(&self) -> LocalBoxFuture<'_, ()> {
        Box::pin(async move {
            let started = self.clock.now();
            let address_expiry = ADDRESS_MAX_AGE * STALE_ADDRESS_FACTOR;
            let time_limit = self.grace.saturating_sub(GRACE_MARGIN);
            self.gateway.start_draining(time_limit);
            loop {
                Timer::after(STOP_POLL_INTERVAL).await;
                let elapsed = self.clock.now().since(started);
                self.limits.shutting_down.set(elapsed >= address_expiry);
                let idle =
                    self.gateway.in_flight() == 0 && elapsed >= address_expiry + STOP_POLL_INTERVAL * 20;
                if idle {
                    return;
                }
                if elapsed >= time_limit {
                    warn!(
                        "The grace period ends with {} requests in flight; ending them.",
                        self.gateway.in_flight()
                    );
                    self.gateway.end_requests();
                    Timer::after(EXIT_DELAY).await;
                    return;
                }
            }
        })
    }
}
