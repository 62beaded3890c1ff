//! An entry: everything it knows is soft, so that it can be lost at any time.

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

use crate::clock::Clock;
use crate::cluster::message::Member;
use crate::cluster::subscriber::Subscriber;
use crate::cluster::view::ClusterView;
use crate::cluster::view::Watcher;
use crate::control::command::Document;
use crate::deployment::Frame;
use crate::deployment::REQUEST_TIMEOUTS;
use crate::deployment::RunningRole;
use crate::deployment::directory::MAX_AGE;
use crate::deployment::serve_http;
use crate::deployment::turns::RouteParts;
use crate::deployment::turns::TurnPort;
use crate::deployment::turns::TurnRoute;
use crate::dispatch::Dispatch;
use crate::dispatch::Instance;
use crate::gateway::Gateway;
use crate::gateway::GatewayParts;
use crate::ids::GroupId;
use crate::ids::NodeId;
use crate::node::peer_server::PeerServer;
use crate::transport::body::AnswerBody;
use crate::transport::server::Bounds;
use crate::transport::server::Handler;

/// Share of the memory that bodies of requests may take at once, as a divisor.
const BODY_SHARE: usize = 4;
/// Descriptors kept for connections to backend servers, to our own processes and for files.
const OWN_DESCRIPTORS: u64 = 1_200;
/// Connections of the platform's own checks.
const CHECKS: usize = 64;
/// Some callers keep an address three times as long as they are told.
const KEPT_FACTOR: u32 = 3;
/// Time that is left before the end of the grace, so that the process ends by itself.
const GRACE_MARGIN: Duration = Duration::from_millis(500);
const STOP_POLL: Duration = Duration::from_millis(50);

pub(super) struct Entry {
    gateway: Rc<Gateway>,
    subscriber: Rc<Subscriber>,
    bounds: Rc<Bounds>,
    clock: Clock,
    grace: Duration,
}

/// Passes on what the view learns.
struct EntryWatcher {
    gateway: Rc<Gateway>,
    turns: Rc<TurnRoute>,
    view: Rc<ClusterView>,
}

impl Watcher for EntryWatcher {
    fn routes(&self, document: &Document) {
        self.gateway.routes(document);
    }

    fn backends(&self, instances: &[Instance]) {
        self.gateway.backends(instances);
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

pub(super) fn start(frame: &Frame) -> Entry {
    let links = frame.links.clone();
    let turns = TurnRoute::new(RouteParts {
        node: frame.node,
        links,
        clock: frame.clock,
        timeouts: REQUEST_TIMEOUTS,
    });
    let sockets = frame.settings.limits.descriptors.saturating_sub(OWN_DESCRIPTORS);
    let bounds = Bounds::new(usize::try_from(sockets).unwrap_or(usize::MAX).max(CHECKS));
    let gateway = Gateway::new(GatewayParts {
        wire: frame.wire.clone(),
        turns: Rc::new(TurnPort(turns.clone())),
        dispatch: Dispatch::new(frame.settings.process.failure_domain.clone(), frame.node.0)
            .with_policy(frame.settings.decisions),
        seed: frame.node.0,
        clock: frame.clock,
        bounds: bounds.clone(),
        body_buffer_bytes: frame.memory() / BODY_SHARE,
        recorder: frame.metrics.clone(),
        executor: frame.executor.clone(),
    });
    frame.executor.spawn(gateway.clone().run()).detach();
    frame.view.watch(Rc::new(EntryWatcher { gateway: gateway.clone(), turns, view: frame.view.clone() }));
    frame.serve_peers(PeerServer::default());
    let (introduced, member) = (gateway.clone(), frame.member());
    let introduce = Rc::new(move || Member { ready: introduced.is_ready(), ..member.clone() }.into());
    let subscriber = frame.subscriber(introduce, None);
    serve_callers(frame, &gateway, &bounds);
    serve_readiness(frame, &gateway);
    let grace = frame.settings.bounds.stop_grace;
    Entry { gateway, subscriber, bounds, clock: frame.clock, grace }
}

fn serve_callers(frame: &Frame, gateway: &Rc<Gateway>, bounds: &Rc<Bounds>) {
    let gateway = gateway.clone();
    let handler: Handler = Rc::new(move |request| {
        let gateway = gateway.clone();
        Box::pin(async move { gateway.handle(request).await })
    });
    serve_http(frame, frame.settings.listen.callers, handler, bounds.clone());
}

fn serve_readiness(frame: &Frame, gateway: &Rc<Gateway>) {
    let (gateway, wire) = (gateway.clone(), frame.wire.clone());
    let handler: Handler = Rc::new(move |request| {
        let known = wire.is_readiness_probe(request.uri());
        let status = match (known, gateway.is_ready()) {
            (false, _) => StatusCode::NOT_FOUND,
            (true, true) => StatusCode::OK,
            (true, false) => StatusCode::SERVICE_UNAVAILABLE,
        };
        let mut response = Response::new(AnswerBody::whole(""));
        *response.status_mut() = status;
        Box::pin(async move { response })
    });
    serve_http(frame, frame.settings.listen.readiness, handler, Bounds::new(CHECKS));
}

impl RunningRole for Entry {
    fn subscriber(&self) -> &Rc<Subscriber> {
        &self.subscriber
    }

    /// Goes on to serve until no caller can still have its address, then until nothing is under way.
    fn stop(&self) -> LocalBoxFuture<'_, ()> {
        Box::pin(async move {
            self.gateway.start_draining();
            let started = self.clock.now();
            let aged = MAX_AGE * KEPT_FACTOR;
            let most = self.grace.saturating_sub(GRACE_MARGIN);
            loop {
                Timer::after(STOP_POLL).await;
                let since = self.clock.now().since(started);
                self.bounds.closing.set(since >= aged);
                let idle = self.gateway.in_flight() == 0 && since >= aged + STOP_POLL * 20;
                if idle {
                    return;
                }
                if since >= most {
                    warn!("{} requests are cut off at the end of the grace.", self.gateway.in_flight());
                    return;
                }
            }
        })
    }
}
