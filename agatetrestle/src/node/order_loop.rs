//! The loop by which the control leader gives orders to engines.

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

/// Engines that are asked in one turn what they serve; all are asked in the end.
const ASKED_AT_ONCE: usize = 32;
/// Length of a mandate, renewed well within it.
const MANDATE: Duration = Duration::from_millis(100);

/// Gives orders while this node leads the control group.
pub struct OrderLoop {
    node: NodeId,
    clock: Clock,
    group: Rc<Group<ControlState>>,
    control: Rc<ControlPort>,
    engines: Rc<dyn EngineAdmin>,
    desk: RefCell<Reconciler>,
    addresses: RefCell<BTreeMap<Arc<str>, SocketAddr>>,
    revision: Cell<Option<u64>>,
    fence: Cell<Option<(u64, u64)>>,
    asked: Cell<usize>,
}

impl OrderLoop {
    /// An order loop without a mandate; `wait_out` is an old leader's longest lease plus the clock drift.
    pub fn new(
        node: NodeId,
        clock: Clock,
        group: Rc<Group<ControlState>>,
        control: Rc<ControlPort>,
        engines: Rc<dyn EngineAdmin>,
        wait_out: Duration,
    ) -> Self {
        Self {
            node,
            clock,
            group,
            control,
            engines,
            desk: RefCell::new(Reconciler::new(clock.now(), 0, wait_out)),
            addresses: RefCell::default(),
            revision: Cell::new(None),
            fence: Cell::new(None),
            asked: Cell::new(0),
        }
    }

    /// Looks for due orders until the task is dropped.
    pub async fn run(self, interval: Duration) {
        loop {
            Timer::after(interval).await;
            self.turn().await;
        }
    }

    async fn turn(&self) {
        if !self.group.leads() {
            self.desk.borrow_mut().set_lease(None);
            return;
        }
        self.take_declarations();
        if self.addresses.borrow().is_empty() || !self.obtain_fence().await {
            return;
        }
        self.ask_some().await;
        while let Some(order) = self.next() {
            self.send(&order).await;
        }
    }

    fn take_declarations(&self) {
        let configuration = self.control.configuration();
        if self.revision.replace(Some(configuration.revision)) == Some(configuration.revision) {
            return;
        }
        let documents = catalog::parse(&configuration);
        let rate = documents.iter().find_map(|(_, document)| document.weight_store.as_ref());
        let rate = rate.map_or(0, |store| store.rate);
        let (wanted, addresses) = wanted(&documents);
        self.desk.borrow_mut().set_specs(wanted, rate);
        self.addresses.replace(addresses);
    }

    /// Obtains a fencing number once for each term that this node leads in.
    async fn obtain_fence(&self) -> bool {
        let term = self.group.term();
        if self.fence.get().is_some_and(|(known, _)| known == term) {
            return true;
        }
        match self.control.commit(ControlCommand::Fence { node: self.node, term }).await {
            Ok(ControlReply::Fenced(number)) => {
                info!("This node gives orders to engines under fencing number {number}.");
                self.fence.set(Some((term, number)));
                true
            }
            Ok(reply) => {
                debug!("No fencing number was given for term {term}: {reply:?}.");
                false
            }
            Err(failure) => {
                debug!("No fencing number was given for term {term}: {failure}.");
                false
            }
        }
    }

    /// Renews the mandate, or gives it up where this node no longer leads in the term of its number.
    fn renew(&self) {
        let now = self.clock.now();
        let fence = self.fence.get().filter(|(term, _)| *term == self.group.term());
        let leads = self.group.leads_until(now + MANDATE);
        let mandate = fence.filter(|_| leads).map(|(_, number)| LeaderLease {
            fencing_token: number,
            acquired_at: now,
            expires_at: now + MANDATE,
        });
        self.desk.borrow_mut().set_lease(mandate);
    }

    fn next(&self) -> Option<Order> {
        self.renew();
        self.desk.borrow_mut().next_order(self.clock.now())
    }

    async fn send(&self, order: &Order) {
        let address = self.addresses.borrow().get(&order.engine).copied();
        self.renew();
        // The process may have been paused since the order was decided.
        let may_send = self.desk.borrow().may_send(self.clock.now(), order);
        let Some(address) = address.filter(|_| may_send) else {
            self.desk.borrow_mut().mark_failed(order);
            return;
        };
        info!(
            "{} is ordered to load {} under fencing number {}.",
            order.engine, order.model, order.fencing_token
        );
        if let Err(failure) = self.engines.load(address, order.model.clone(), order.fencing_token).await {
            warn!("{} did not take the order: {failure}.", order.engine);
            self.desk.borrow_mut().mark_failed(order);
        }
    }

    async fn ask_some(&self) {
        let all: Vec<(Arc<str>, SocketAddr)> =
            self.addresses.borrow().iter().map(|(name, address)| (name.clone(), *address)).collect();
        let first = self.asked.get() % all.len();
        let some = all.iter().cycle().skip(first).take(ASKED_AT_ONCE.min(all.len()));
        self.asked.set(first + ASKED_AT_ONCE);
        join_all(some.map(|(name, address)| self.ask(name, *address))).await;
    }

    async fn ask(&self, name: &Arc<str>, address: SocketAddr) {
        match self.engines.served_model(address).await {
            Ok(model) => self.desk.borrow_mut().observe(name, model),
            Err(failure) => debug!("{name} does not say what it serves: {failure}."),
        }
    }
}

fn wanted(
    documents: &[(Arc<str>, Declarations)],
) -> (BTreeMap<Arc<str>, EngineSpec>, BTreeMap<Arc<str>, SocketAddr>) {
    let models: BTreeMap<&Arc<str>, u64> =
        documents.iter().flat_map(|(_, d)| &d.models).map(|(name, model)| (name, model.weights)).collect();
    let servers = documents.iter().flat_map(|(_, d)| &d.backend_servers);
    let engines = servers.filter(|(_, server)| server.kind == BackendKind::Engine);
    let mut wanted = BTreeMap::new();
    let mut addresses = BTreeMap::new();
    for (name, server) in engines {
        let weights = models.get(&server.serves).copied().unwrap_or(0);
        let model = server.serves.clone();
        wanted.insert(
            name.clone(),
            EngineSpec { model, weights_bytes: weights, checks_fencing: server.checks_fencing },
        );
        addresses.insert(name.clone(), server.address);
    }
    (wanted, addresses)
}
