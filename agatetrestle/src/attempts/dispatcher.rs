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

use crate::attempts::BackendReply;
use crate::attempts::BackendRequest;
use crate::attempts::EngineClient;
use crate::attempts::ExchangeError;
use crate::attempts::ExchangeObserver;
use crate::attempts::ServiceClient;
use crate::attempts::Timer;
use crate::attempts::admin;
use crate::attempts::admin::BackendAdmin;
use crate::attempts::call::CallOutcome;
use crate::attempts::call::CallStats;
use crate::attempts::call::Caller;
use crate::attempts::call::OutgoingCall;
use crate::attempts::catalog;
use crate::attempts::catalog::Endpoints;
use crate::attempts::run::Run;
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
pub(super) enum Decision {
    Dispatch { backend: BackendKey, priority: u8 },
    Refuse { reason: RefusalReason, retry_after: Duration },
    GiveUp { retry_after: Duration },
}

/// Owns the handle of the scheduler and the calls that wait for its decisions.
pub struct Dispatcher {
    scheduler: Rc<RefCell<Box<dyn Scheduler>>>,
    engines: Rc<dyn EngineClient>,
    services: Rc<dyn ServiceClient>,
    timer: Rc<dyn Timer>,
    pub(super) clock: Clock,
    waiting: RefCell<HashMap<CallId, Sender<Decision>>>,
    endpoints: RefCell<Endpoints>,
    admin: BackendAdmin,
    revision: Cell<u64>,
    leaving: RefCell<BTreeSet<Arc<str>>>,
    last_id: Cell<u64>,
}

impl Dispatcher {
    /// A dispatcher over a scheduler and the backend servers.
    #[must_use]
    pub fn new(
        scheduler: Rc<RefCell<Box<dyn Scheduler>>>,
        engines: Rc<dyn EngineClient>,
        services: Rc<dyn ServiceClient>,
        timer: Rc<dyn Timer>,
        clock: Clock,
    ) -> Self {
        let admin = BackendAdmin::new(Rc::clone(&engines), Rc::clone(&timer), clock);
        Self {
            scheduler,
            admin,
            engines,
            services,
            timer,
            clock,
            waiting: RefCell::default(),
            endpoints: RefCell::default(),
            revision: Cell::new(0),
            leaving: RefCell::default(),
            last_id: Cell::new(0),
        }
    }

    /// Puts a new catalog in force for calls that are dispatched from now on.
    pub fn set_catalog(&self, catalog: Arc<Catalog>) {
        self.step(Event::Catalog(catalog));
    }

    /// Puts new addresses of backend servers in force; a call already sent stays where it is.
    pub fn set_endpoints(&self, endpoints: Endpoints) {
        self.admin.declare(&endpoints);
        *self.endpoints.borrow_mut() = endpoints;
    }

    /// Puts a configuration in force: its catalog, its addresses and its leaving marks. Cheap where
    /// the revision is already in force, and without effect where it is older.
    pub fn configure(&self, configuration: &Configuration) {
        if configuration.revision <= self.revision.get() {
            return;
        }
        self.revision.set(configuration.revision);
        let (catalog, endpoints) = catalog::build(&catalog::parse(configuration));
        self.set_endpoints(endpoints);
        self.set_catalog(Arc::new(catalog));
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
            let (program, backend, order) = admin::split(order);
            if let Some((_, address)) = self.target(backend) {
                self.admin.order(program, order, address);
            }
        }
    }

    /// Lets the scheduler see time pass, asks backend servers for reports and carries out orders about
    /// caches, for as long as the node runs.
    pub async fn run_background(&self) {
        let beside = zip(self.admin.carry_out(), self.admin.ask(self));
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
        job: &OutgoingCall,
        caller: &dyn Caller,
        gone: &Receiver<()>,
        times: &Cell<CallStats>,
    ) -> CallOutcome {
        Run::new(self, job, caller, gone, times).to_the_end().await
    }

    pub(super) fn enter(&self) -> (CallId, Receiver<Decision>) {
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
            Action::Dispatch { call, backend, priority } => (call, Decision::Dispatch { backend, priority }),
            Action::Refuse { call, reason, retry_after } => (call, Decision::Refuse { reason, retry_after }),
            Action::GiveUp { call, retry_after } => (call, Decision::GiveUp { retry_after }),
        };
        if let Some(orders) = self.waiting.borrow().get(&call) {
            orders.try_send(order).ok();
        }
    }

    /// Sends a request to a backend server, wherever it listens by now.
    pub(super) async fn exchange(
        &self,
        outgoing: &BackendRequest,
        backend: BackendKey,
        priority: u8,
        progress: &dyn ExchangeObserver,
    ) -> Result<BackendReply, ExchangeError> {
        match self.target(backend) {
            Some((BackendKind::Engine, address)) => {
                self.engines.chat(address, priority, outgoing, progress).await
            }
            Some((BackendKind::Service, address)) => self.services.call(address, outgoing, progress).await,
            None => {
                let detail = "the backend server is no longer declared".into();
                Err(ExchangeError { failure: Failure::Connect, detail, reply: None })
            }
        }
    }

    fn target(&self, backend: BackendKey) -> Option<(BackendKind, std::net::SocketAddr)> {
        let scheduler = self.scheduler.borrow();
        let backend = scheduler.backend(backend)?;
        let target = self.endpoints.borrow().get(&backend.name).copied()?;
        Some((backend.kind, target.address))
    }
}
