//! The driver of the scheduler: submits calls, carries out its actions and reports what happened.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use agatetrestle_config::declarations::BackendKind;
use futures::future::LocalBoxFuture;
use smol::channel;
use smol::channel::Receiver;
use smol::channel::Sender;
use smol::future::or;
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
use crate::attempts::machine::Ending;
use crate::attempts::machine::Machine;
use crate::attempts::upkeep;
use crate::attempts::upkeep::Upkeep;
use crate::clock::Clock;
use crate::control::command::Configuration;
use crate::ids::ProgramId;
use crate::scheduler::Scheduler;
use crate::scheduler::event::Action;
use crate::scheduler::event::BackendKey;
use crate::scheduler::event::Call;
use crate::scheduler::event::CallId;
use crate::scheduler::event::Catalog;
use crate::scheduler::event::Event;
use crate::scheduler::event::Failure;
use crate::scheduler::event::RefusalReason;
use crate::scheduler::event::Work;

const COMEBACK: Duration = Duration::from_secs(1);

/// A call that wants to be sent.
#[derive(Clone, Debug)]
pub struct Job {
    /// The outermost program of which the caller's program is a sub-agent, or the program itself.
    pub root: ProgramId,
    /// Team within the partner.
    pub team: Arc<str>,
    /// Declared class.
    pub class: Arc<str>,
    /// What it asks for.
    pub work: Work,
    /// When the caller no longer wants the answer.
    pub deadline: Option<crate::clock::Timestamp>,
    /// The request as it goes out.
    pub outgoing: Outgoing,
}

/// What became of a call.
#[derive(Clone, Debug, PartialEq)]
pub enum Outcome {
    /// A whole answer came, perhaps one that reports an error.
    Answered(Reply),
    /// The scheduler turned the call away; nothing was sent.
    Refused {
        /// Why.
        reason: RefusalReason,
        /// When the caller may come back.
        retry_after: Duration,
    },
    /// No usable answer came.
    GivenUp {
        /// What is true of the call.
        ending: Ending,
        /// What made the last attempt fail.
        detail: Arc<str>,
        /// When the caller may come back.
        retry_after: Duration,
    },
    /// The caller itself held the call back before anything was sent.
    HeldBack,
    /// The caller went away and the call was stopped.
    Cancelled(Ending),
}

/// Times of one call, for measures.
#[derive(Clone, Copy, Debug, Default)]
pub struct Times {
    /// Time in the scheduler's queue, over all attempts.
    pub queued: Duration,
    /// Time on connections to backend servers, over all attempts.
    pub served: Duration,
    /// Attempts made.
    pub attempts: u32,
}

enum Order {
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
    clock: Clock,
    waiting: RefCell<HashMap<CallId, Sender<Order>>>,
    addresses: RefCell<Addresses>,
    upkeep: Upkeep,
    revision: Cell<u64>,
    leaving: RefCell<BTreeSet<Arc<str>>>,
    last_id: Cell<u64>,
}

/// Who asked for a call.
pub trait Caller {
    /// The call is about to be sent for the first time. False holds it back, and the caller knows why;
    /// a call that was turned away in the queue has cost nothing before this.
    fn admit(&self) -> LocalBoxFuture<'_, bool>;

    /// A further part of the first answer came; its last event is held back.
    fn piece(&self, bytes: &[u8]);

    /// The answer broke off after some of it was told. Another attempt may follow, whose parts are
    /// not told, since two answers must not be mixed.
    fn broke_off(&self);
}

/// A call's place in the table; leaving it tells the scheduler unless the call was settled.
struct Place<'a> {
    dispatcher: &'a Dispatcher,
    id: CallId,
    settled: Cell<bool>,
}

struct Watch<'a> {
    dispatcher: &'a Dispatcher,
    id: CallId,
    machine: &'a RefCell<Machine>,
    caller: Option<&'a dyn Caller>,
    answered: Cell<bool>,
}

impl Progress for Watch<'_> {
    fn writing(&self) {
        self.machine.borrow_mut().writing();
    }

    fn piece(&self, bytes: &[u8]) {
        self.machine.borrow_mut().answering();
        if !self.answered.replace(true) {
            self.dispatcher.step(Event::FirstToken(self.id));
        }
        if let Some(caller) = self.caller {
            caller.piece(bytes);
        }
    }
}

impl Drop for Place<'_> {
    fn drop(&mut self) {
        self.dispatcher.waiting.borrow_mut().remove(&self.id);
        if !self.settled.get() {
            self.dispatcher.step(Event::Cancelled(self.id));
        }
    }
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
        let mut attached = Some(caller);
        let mut admitted = false;
        let (tx, rx) = channel::unbounded();
        let place = self.enter(tx);
        let machine = RefCell::new(Machine::new(job.outgoing.repeatable));
        let mut detail: Arc<str> = "the call was not dispatched".into();
        self.step(Event::Submit(call(place.id, job)));
        loop {
            let since = self.clock.now();
            let order = or(async { rx.recv().await.ok() }, departed(attached, gone)).await;
            add(times, |t| t.queued += self.clock.now().since(since));
            let (backend, priority) = match order {
                None => return Outcome::Cancelled(machine.borrow_mut().end()),
                Some(Order::Dispatch { backend, priority }) => (backend, priority),
                Some(Order::Refuse { reason, retry_after }) => {
                    place.settled.set(true);
                    return refused(&mut machine.borrow_mut(), reason, retry_after);
                }
                Some(Order::GiveUp { retry_after }) => {
                    place.settled.set(true);
                    let ending = machine.borrow_mut().end();
                    return Outcome::GivenUp { ending, detail, retry_after };
                }
            };
            if !machine.borrow_mut().dispatch() {
                let ending = machine.borrow_mut().end();
                return Outcome::GivenUp { ending, detail, retry_after: COMEBACK };
            }
            admitted = admitted || caller.admit().await;
            if !admitted {
                return Outcome::HeldBack;
            }
            let watch = Watch {
                dispatcher: self,
                id: place.id,
                machine: &machine,
                caller: attached,
                answered: Cell::new(false),
            };
            let started = self.clock.now();
            let result = self.attempt(job, backend, priority, &watch, gone).await;
            add(times, |t| {
                t.served += self.clock.now().since(started);
                t.attempts += 1;
            });
            let broke_off = watch.answered.get();
            match result {
                None => return Outcome::Cancelled(machine.borrow_mut().end()),
                Some(Ok(reply)) => {
                    machine.borrow_mut().finished();
                    place.settled.set(true);
                    self.step(finished(place.id, &reply));
                    if let Some(tool) = reply.tool.clone() {
                        self.step(Event::Paused { program: job.outgoing.program.clone(), tool });
                    }
                    return Outcome::Answered(reply);
                }
                Some(Err(broken)) => {
                    if broke_off && let Some(caller) = attached.take() {
                        caller.broke_off();
                    }
                    detail = broken.detail.clone();
                    let failure = machine.borrow_mut().failed(broken.failure);
                    self.step(Event::Failed { call: place.id, failure });
                    if let Some(reply) = broken.reply
                        && let Ok(Order::GiveUp { .. }) = rx.try_recv()
                    {
                        place.settled.set(true);
                        return Outcome::Answered(reply);
                    }
                }
            }
        }
    }

    fn enter(&self, orders: Sender<Order>) -> Place<'_> {
        let id = CallId(self.last_id.get() + 1);
        self.last_id.set(id.0);
        self.waiting.borrow_mut().insert(id, orders);
        Place { dispatcher: self, id, settled: Cell::new(false) }
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

    /// One attempt; none where the caller went away and the call may stop.
    async fn attempt(
        &self,
        job: &Job,
        backend: BackendKey,
        priority: u8,
        watch: &Watch<'_>,
        gone: &Receiver<()>,
    ) -> Option<Result<Reply, Broken>> {
        let target = self.target(backend);
        let Some((kind, address)) = target else {
            let detail = "the backend server is no longer declared".into();
            return Some(Err(Broken { failure: Failure::Connect, detail, reply: None }));
        };
        let exchange = match kind {
            BackendKind::Engine => self.engines.chat(address, priority, &job.outgoing, watch),
            BackendKind::Service => self.services.call(address, &job.outgoing, watch),
        };
        let leaving = async {
            departed::<()>(watch.caller, gone).await;
            if !watch.machine.borrow().may_cancel() {
                std::future::pending::<()>().await;
            }
            None
        };
        or(async { Some(exchange.await) }, leaving).await
    }

    fn target(&self, backend: BackendKey) -> Option<(BackendKind, std::net::SocketAddr)> {
        let scheduler = self.scheduler.borrow();
        let backend = scheduler.backend(backend)?;
        let target = self.addresses.borrow().get(&backend.name).copied()?;
        Some((backend.kind, target.address))
    }
}

/// Completes once the caller is gone, which a caller that was sent away never is.
async fn departed<T>(attached: Option<&dyn Caller>, gone: &Receiver<()>) -> Option<T> {
    if attached.is_none() {
        std::future::pending::<()>().await;
    }
    while gone.recv().await.is_ok() {}
    None
}

fn call(id: CallId, job: &Job) -> Call {
    Call {
        id,
        program: job.outgoing.program.clone(),
        root: job.root.clone(),
        team: job.team.clone(),
        class: job.class.clone(),
        work: job.work.clone(),
        repeatable: job.outgoing.repeatable,
        deadline: job.deadline,
    }
}

fn finished(call: CallId, reply: &Reply) -> Event {
    let clamp = |count: u64| u32::try_from(count).unwrap_or(u32::MAX);
    Event::Finished {
        call,
        output_tokens: clamp(reply.usage.output),
        cached_tokens: clamp(reply.usage.cached),
    }
}

/// A refusal is only told as such while nothing was written; the machine has the last word.
fn refused(machine: &mut Machine, reason: RefusalReason, retry_after: Duration) -> Outcome {
    match machine.end() {
        Ending::NotRun => Outcome::Refused { reason, retry_after },
        ending => {
            let detail = "no further attempt was allowed".into();
            Outcome::GivenUp { ending, detail, retry_after }
        }
    }
}

fn add(times: &Cell<Times>, change: impl FnOnce(&mut Times)) {
    let mut now = times.get();
    change(&mut now);
    times.set(now);
}
