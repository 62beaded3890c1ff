//! The driver of the scheduler: submits calls, carries out its actions and reports what happened.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use agatetrestle_config::declarations::BackendKind;
use smol::channel;
use smol::channel::Receiver;
use smol::channel::Sender;
use smol::future::zip;

use crate::attempts::Broken;
use crate::attempts::Engines;
use crate::attempts::Outgoing;
use crate::attempts::Progress;
use crate::attempts::Reply;
use crate::attempts::Services;
use crate::attempts::Timer;
use crate::attempts::catalog;
use crate::attempts::catalog::Addresses;
use crate::attempts::job::Caller;
use crate::attempts::job::Job;
use crate::attempts::job::Outcome;
use crate::attempts::job::Times;
use crate::attempts::run::Run;
use crate::attempts::upkeep;
use crate::attempts::upkeep::Upkeep;
use crate::clock::Clock;
use crate::control::command::Configuration;
use crate::scheduler::Scheduler;
use crate::scheduler::event::Action;
use crate::scheduler::event::BackendKey;
use crate::scheduler::event::CallId;
use crate::scheduler::event::Catalog;
use crate::scheduler::event::Event;
use crate::scheduler::event::Failure;
use crate::scheduler::event::RefusalReason;

/// An action of the scheduler as the call's own task gets it.
pub(super) enum Order {
    Dispatch { backend: BackendKey, priority: u8 },
    Refuse { reason: RefusalReason, retry_after: Duration },
    GiveUp { retry_after: Duration },
}

/// Owns the handle of the scheduler and the calls that wait for its decisions.
pub struct Dispatcher {
    scheduler: Rc<RefCell<Box<dyn Scheduler>>>,
    engines: Rc<dyn Engines>,
    services: Rc<dyn Services>,
    timer: Rc<dyn Timer>,
    pub(super) clock: Clock,
    waiting: RefCell<HashMap<CallId, Sender<Order>>>,
    addresses: RefCell<Addresses>,
    upkeep: Upkeep,
    revision: Cell<u64>,
    leaving: RefCell<BTreeSet<Arc<str>>>,
    last_id: Cell<u64>,
}

impl Dispatcher {
    /// A dispatcher over a scheduler and the backend servers.
    #[must_use]
    pub fn new(
        scheduler: Rc<RefCell<Box<dyn Scheduler>>>,
        engines: Rc<dyn Engines>,
        services: Rc<dyn Services>,
        timer: Rc<dyn Timer>,
        clock: Clock,
    ) -> Self {
        let upkeep = Upkeep::new(Rc::clone(&engines), Rc::clone(&timer), clock);
        Self {
            scheduler,
            upkeep,
            engines,
            services,
            timer,
            clock,
            waiting: RefCell::default(),
            addresses: RefCell::default(),
            revision: Cell::new(0),
            leaving: RefCell::default(),
            last_id: Cell::new(0),
        }
    }

    /// Puts a new catalog in force for calls that are dispatched from now on.
    pub fn catalog(&self, catalog: Arc<Catalog>) {
        self.step(Event::Catalog(catalog));
    }

    /// Puts new addresses of backend servers in force; a call already sent stays where it is.
    pub fn addresses(&self, addresses: Addresses) {
        self.upkeep.declare(&addresses);
        *self.addresses.borrow_mut() = addresses;
    }

    /// Puts a configuration in force: its catalog, its addresses and its leaving marks. Cheap where
    /// the revision is already in force, and without effect where it is older.
    pub fn configure(&self, configuration: &Configuration) {
        if configuration.revision <= self.revision.get() {
            return;
        }
        self.revision.set(configuration.revision);
        let (catalog, addresses) = catalog::build(&catalog::parse(configuration));
        self.addresses(addresses);
        self.catalog(Arc::new(catalog));
        self.mark_leaving(configuration);
    }

    fn mark_leaving(&self, configuration: &Configuration) {
        let marked: BTreeSet<Arc<str>> = configuration.leaving.keys().cloned().collect();
        let before = self.leaving.replace(marked.clone());
        for name in marked.difference(&before) {
            self.step(Event::Leaving { name: name.clone(), leaving: true });
        }
        for name in before.difference(&marked) {
            self.step(Event::Leaving { name: name.clone(), leaving: false });
        }
    }

    /// Tells the scheduler something and carries out what it decides.
    pub fn step(&self, event: Event) {
        let now = self.clock.now();
        let decisions = self.scheduler.borrow_mut().step(now, event);
        for action in decisions.actions {
            self.carry_out(action);
        }
        for order in decisions.orders {
            let (program, backend, order) = upkeep::split(order);
            if let Some((_, address)) = self.target(backend) {
                self.upkeep.order(program, order, address);
            }
        }
    }

    /// Lets the scheduler see time pass, asks backend servers for reports and carries out orders about
    /// caches, for as long as the node runs.
    pub async fn run_ticks(&self) {
        let beside = zip(self.upkeep.carry_out(), self.upkeep.ask(self));
        zip(self.tick(), beside).await;
    }

    async fn tick(&self) {
        loop {
            let span = self.scheduler.borrow().tick_within();
            self.timer.after(span).await;
            self.step(Event::Tick);
        }
    }

    /// Calls that wait or are in service.
    #[must_use]
    pub fn in_flight(&self) -> usize {
        self.waiting.borrow().len()
    }

    /// Sends one call, with as many attempts as the scheduler decides. The caller is gone once the
    /// sender of `gone` is dropped, which no longer counts after an answer broke off: the caller was
    /// then told to ask again for the answer of the next attempt.
    pub async fn run(
        &self,
        job: &Job,
        caller: &dyn Caller,
        gone: &Receiver<()>,
        times: &Cell<Times>,
    ) -> Outcome {
        Run::new(self, job, caller, gone, times).to_the_end().await
    }

    pub(super) fn enter(&self) -> (CallId, Receiver<Order>) {
        let (orders, waiting) = channel::unbounded();
        let id = CallId(self.last_id.get() + 1);
        self.last_id.set(id.0);
        self.waiting.borrow_mut().insert(id, orders);
        (id, waiting)
    }

    pub(super) fn leave(&self, id: CallId) {
        self.waiting.borrow_mut().remove(&id);
    }

    fn carry_out(&self, action: Action) {
        let (call, order) = match action {
            Action::Dispatch { call, backend, priority } => (call, Order::Dispatch { backend, priority }),
            Action::Refuse { call, reason, retry_after } => (call, Order::Refuse { reason, retry_after }),
            Action::GiveUp { call, retry_after } => (call, Order::GiveUp { retry_after }),
        };
        if let Some(orders) = self.waiting.borrow().get(&call) {
            orders.try_send(order).ok();
        }
    }

    /// Sends a request to a backend server, wherever it listens by now.
    pub(super) async fn exchange(
        &self,
        outgoing: &Outgoing,
        backend: BackendKey,
        priority: u8,
        progress: &dyn Progress,
    ) -> Result<Reply, Broken> {
        match self.target(backend) {
            Some((BackendKind::Engine, address)) => {
                self.engines.chat(address, priority, outgoing, progress).await
            }
            Some((BackendKind::Service, address)) => self.services.call(address, outgoing, progress).await,
            None => {
                let detail = "the backend server is no longer declared".into();
                Err(Broken { failure: Failure::Connect, detail, reply: None })
            }
        }
    }

    fn target(&self, backend: BackendKey) -> Option<(BackendKind, std::net::SocketAddr)> {
        let scheduler = self.scheduler.borrow();
        let backend = scheduler.backend(backend)?;
        let target = self.addresses.borrow().get(&backend.name).copied()?;
        Some((backend.kind, target.address))
    }
}
