//! The loop of the control leader that polls engines and sends orders to them.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use agatetrestle_config::Declarations;
use agatetrestle_config::declarations::BackendKind;
use futures::future::join_all;
use log::debug;
use log::info;
use log::warn;
use smol::Timer;

use crate::attempts::catalog;
use crate::clock::Clock;
use crate::control::command::ControlCommand;
use crate::control::command::ControlReply;
use crate::control::state::ControlState;
use crate::ids::NodeId;
use crate::node::control_port::ControlPort;
use crate::node::group::Group;
use crate::orders::engines::EngineAdmin;
use crate::orders::reconciler::EngineSpec;
use crate::orders::reconciler::LeaderLease;
use crate::orders::reconciler::Order;
use crate::orders::reconciler::Reconciler;
use crate::ports::Control;

/// Engines polled for their served model in one tick; further ones follow in the next ticks.
const MAX_CONCURRENT_POLLS: usize = 32;
/// Lease to send orders; renewed before each order.
const LEASE_DURATION: Duration = Duration::from_millis(100);

/// Sends orders to engines while this node leads the control group.
pub struct OrderLoop {
    node: NodeId,
    clock: Clock,
    group: Rc<Group<ControlState>>,
    control: Rc<ControlPort>,
    engines: Rc<dyn EngineAdmin>,
    reconciler: RefCell<Reconciler>,
    addresses: RefCell<BTreeMap<Arc<str>, SocketAddr>>,
    /// Configuration revision of the current specs.
    revision: Cell<Option<u64>>,
    /// Term and the fencing token obtained in it.
    fencing_token: Cell<Option<(u64, u64)>>,
    /// Index of the engine to poll next.
    next_poll: Cell<usize>,
}

impl OrderLoop {
    /// Creates a loop without a lease. `takeover_delay` is the longest lease of an earlier leader plus the clock drift.
    pub fn new(
        node: NodeId,
        clock: Clock,
        group: Rc<Group<ControlState>>,
        control: Rc<ControlPort>,
        engines: Rc<dyn EngineAdmin>,
        takeover_delay: Duration,
    ) -> Self {
        Self {
            node,
            clock,
            group,
            control,
            engines,
            reconciler: RefCell::new(Reconciler::new(clock.now(), 0, takeover_delay)),
            addresses: RefCell::default(),
            revision: Cell::new(None),
            fencing_token: Cell::new(None),
            next_poll: Cell::new(0),
        }
    }

    /// Sends due orders at each interval until the task is dropped.
    pub async fn run(self, interval: Duration) {
        loop {
            Timer::after(interval).await;
            self.tick().await;
        }
    }

    async fn tick(&self) {
        if !self.group.leads() {
            self.reconciler.borrow_mut().set_lease(None);
            return;
        }
        self.update_specs();
        if self.addresses.borrow().is_empty() || !self.obtain_token().await {
            return;
        }
        self.poll_engines().await;
        while let Some(order) = self.next_order() {
            self.send_order(&order).await;
        }
    }

    fn update_specs(&self) {
        let configuration = self.control.configuration();
        if self.revision.replace(Some(configuration.revision)) == Some(configuration.revision) {
            return;
        }
        let documents = catalog::parse(&configuration);
        let rate = documents.iter().find_map(|(_, document)| document.weight_store.as_ref());
        let rate = rate.map_or(0, |store| store.rate);
        let (specs, addresses) = engine_specs(&documents);
        self.reconciler.borrow_mut().set_specs(specs, rate);
        self.addresses.replace(addresses);
    }

    /// Obtains a fencing token, once for each term in which this node leads; returns whether there is one.
    async fn obtain_token(&self) -> bool {
        let term = self.group.term();
        if self.fencing_token.get().is_some_and(|(known, _)| known == term) {
            return true;
        }
        match self.control.commit(ControlCommand::Fence { node: self.node, term }).await {
            Ok(ControlReply::Fenced(token)) => {
                info!("This node sends orders to engines with fencing token {token}.");
                self.fencing_token.set(Some((term, token)));
                true
            }
            Ok(reply) => {
                debug!("Got no fencing token for term {term}: {reply:?}.");
                false
            }
            Err(error) => {
                debug!("Failed to get a fencing token for term {term}: {error}.");
                false
            }
        }
    }

    /// Renews the lease, or revokes it if this node no longer leads in the term of its fencing token.
    fn renew_lease(&self) {
        let now = self.clock.now();
        let token = self.fencing_token.get().filter(|(term, _)| *term == self.group.term());
        let leads = self.group.leads_until(now + LEASE_DURATION);
        let lease = token.filter(|_| leads).map(|(_, token)| LeaderLease {
            fencing_token: token,
            acquired_at: now,
            expires_at: now + LEASE_DURATION,
        });
        self.reconciler.borrow_mut().set_lease(lease);
    }

    fn next_order(&self) -> Option<Order> {
        self.renew_lease();
        self.reconciler.borrow_mut().next_order(self.clock.now())
    }

    async fn send_order(&self, order: &Order) {
        let address = self.addresses.borrow().get(&order.engine).copied();
        self.renew_lease();
        // The process may have been paused since the order was issued.
        let may_send = self.reconciler.borrow().may_send(self.clock.now(), order);
        let Some(address) = address.filter(|_| may_send) else {
            self.reconciler.borrow_mut().mark_failed(order);
            return;
        };
        info!(
            "Ordering engine {} to load {} with fencing token {}.",
            order.engine, order.model, order.fencing_token
        );
        if let Err(error) = self.engines.load(address, order.model.clone(), order.fencing_token).await {
            warn!("Engine {} did not accept the order: {error}.", order.engine);
            self.reconciler.borrow_mut().mark_failed(order);
        }
    }

    async fn poll_engines(&self) {
        let all: Vec<(Arc<str>, SocketAddr)> =
            self.addresses.borrow().iter().map(|(name, address)| (name.clone(), *address)).collect();
        let first = self.next_poll.get() % all.len();
        let polled = all.iter().cycle().skip(first).take(MAX_CONCURRENT_POLLS.min(all.len()));
        self.next_poll.set(first + MAX_CONCURRENT_POLLS);
        join_all(polled.map(|(name, address)| self.poll_engine(name, *address))).await;
    }

    async fn poll_engine(&self, name: &Arc<str>, address: SocketAddr) {
        match self.engines.served_model(address).await {
            Ok(model) => self.reconciler.borrow_mut().observe(name, model),
            Err(error) => debug!("Failed to get the served model of {name}: {error}."),
        }
    }
}

fn engine_specs(
    documents: &[(Arc<str>, Declarations)],
) -> (BTreeMap<Arc<str>, EngineSpec>, BTreeMap<Arc<str>, SocketAddr>) {
    let models: BTreeMap<&Arc<str>, u64> =
        documents.iter().flat_map(|(_, d)| &d.models).map(|(name, model)| (name, model.weights)).collect();
    let servers = documents.iter().flat_map(|(_, d)| &d.backend_servers);
    let engines = servers.filter(|(_, server)| server.kind == BackendKind::Engine);
    let mut specs = BTreeMap::new();
    let mut addresses = BTreeMap::new();
    for (name, server) in engines {
        let weights = models.get(&server.serves).copied().unwrap_or(0);
        let model = server.serves.clone();
        specs.insert(
            name.clone(),
            EngineSpec { model, weights_bytes: weights, checks_fencing: server.checks_fencing },
        );
        addresses.insert(name.clone(), server.address);
    }
    (specs, addresses)
}
