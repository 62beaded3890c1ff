//! Drives the scheduler: submits calls, carries out its actions and reports the results.

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
use crate::attempts::call_driver::CallDriver;
use crate::attempts::catalog;
use crate::attempts::catalog::Endpoints;
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

/// A scheduler action as sent to the `CallDriver` of its call.
pub(super) enum CallAction {
    Dispatch { backend: BackendKey, priority: u8 },
    Refuse { reason: RefusalReason, retry_after: Duration },
    GiveUp { retry_after: Duration },
}

/// Runs calls according to the scheduler's actions.
pub struct Dispatcher {
    scheduler: Rc<RefCell<Box<dyn Scheduler>>>,
    engines: Rc<dyn EngineClient>,
    services: Rc<dyn ServiceClient>,
    timer: Rc<dyn Timer>,
    pub(super) clock: Clock,
    calls: RefCell<HashMap<CallId, Sender<CallAction>>>,
    endpoints: RefCell<Endpoints>,
    admin: BackendAdmin,
    revision: Cell<u64>,
    leaving: RefCell<BTreeSet<Arc<str>>>,
    last_call_id: Cell<u64>,
}

impl Dispatcher {
    /// Creates a dispatcher without declared backend servers.
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
            calls: RefCell::default(),
            endpoints: RefCell::default(),
            revision: Cell::new(0),
            leaving: RefCell::default(),
            last_call_id: Cell::new(0),
        }
    }

    /// Replaces the catalog for calls dispatched from now on.
    pub fn set_catalog(&self, catalog: Arc<Catalog>) {
        self.step(Event::Catalog(catalog));
    }

    /// Replaces the endpoints; calls already sent are not affected.
    pub fn set_endpoints(&self, endpoints: Endpoints) {
        self.admin.set_endpoints(&endpoints);
        *self.endpoints.borrow_mut() = endpoints;
    }

    /// Applies a configuration: its catalog, endpoints and leaving marks. Does nothing unless the revision is
    /// newer than the active one.
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
        let previous = self.leaving.replace(marked.clone());
        for name in marked.difference(&previous) {
            self.step(Event::Leaving { name: name.clone(), leaving: true });
        }
        for name in previous.difference(&marked) {
            self.step(Event::Leaving { name: name.clone(), leaving: false });
        }
    }

    /// Passes an event to the scheduler and carries out the resulting actions.
    pub fn step(&self, event: Event) {
        let now = self.clock.now();
        let decisions = self.scheduler.borrow_mut().step(now, event);
        for action in decisions.actions {
            self.send_action(action);
        }
        for command in decisions.cache_commands {
            let (program, backend, command) = admin::into_command(command);
            if let Some((_, address)) = self.endpoint(backend) {
                self.admin.enqueue(program, command, address);
            }
        }
    }

    /// Ticks the scheduler, polls backend servers for reports and sends cache commands, for as long as the
    /// node runs.
    pub async fn run_background(&self) {
        let admin = zip(self.admin.send_commands(), self.admin.poll_reports(self));
        zip(self.tick(), admin).await;
    }

    async fn tick(&self) {
        loop {
            let interval = self.scheduler.borrow().tick_interval();
            self.timer.after(interval).await;
            self.step(Event::Tick);
        }
    }

    /// Number of calls that are queued or being served.
    #[must_use]
    pub fn in_flight(&self) -> usize {
        self.calls.borrow().len()
    }

    /// Runs one call, with as many attempts as the scheduler decides. Dropping the sender of `disconnected`
    /// cancels the call, except after a streamed answer was interrupted: the caller was then told to retry
    /// and gets the answer of the next attempt.
    pub async fn run(
        &self,
        call: &OutgoingCall,
        caller: &dyn Caller,
        disconnected: &Receiver<()>,
        stats: &Cell<CallStats>,
    ) -> CallOutcome {
        CallDriver::new(self, call, caller, disconnected, stats).run().await
    }

    pub(super) fn register(&self) -> (CallId, Receiver<CallAction>) {
        let (sender, receiver) = channel::unbounded();
        let id = CallId(self.last_call_id.get() + 1);
        self.last_call_id.set(id.0);
        self.calls.borrow_mut().insert(id, sender);
        (id, receiver)
    }

    pub(super) fn deregister(&self, id: CallId) {
        self.calls.borrow_mut().remove(&id);
    }

    fn send_action(&self, action: Action) {
        let (call, action) = match action {
            Action::Dispatch { call, backend, priority } => {
                (call, CallAction::Dispatch { backend, priority })
            }
            Action::Refuse { call, reason, retry_after } => {
                (call, CallAction::Refuse { reason, retry_after })
            }
            Action::GiveUp { call, retry_after } => (call, CallAction::GiveUp { retry_after }),
        };
        if let Some(sender) = self.calls.borrow().get(&call) {
            sender.try_send(action).ok();
        }
    }

    /// Sends a request to the current address of a backend server.
    pub(super) async fn exchange(
        &self,
        request: &BackendRequest,
        backend: BackendKey,
        priority: u8,
        observer: &dyn ExchangeObserver,
    ) -> Result<BackendReply, ExchangeError> {
        match self.endpoint(backend) {
            Some((BackendKind::Engine, address)) => {
                self.engines.chat(address, priority, request, observer).await
            }
            Some((BackendKind::Service, address)) => self.services.call(address, request, observer).await,
            None => {
                let detail = "the backend server is no longer declared".into();
                Err(ExchangeError { failure: Failure::Connect, detail, reply: None, server_lost: false })
            }
        }
    }

    fn endpoint(&self, backend: BackendKey) -> Option<(BackendKind, std::net::SocketAddr)> {
        let scheduler = self.scheduler.borrow();
        let backend = scheduler.backend(backend)?;
        let endpoint = self.endpoints.borrow().get(&backend.name).copied()?;
        Some((backend.kind, endpoint.address))
    }
}
