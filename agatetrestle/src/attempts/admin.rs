//! What goes to and fro with backend servers beside calls: load reports, cache events and cache orders.
//!
//! All of it is harmless to lose. Reports lag and cache events have gaps, so that the scheduler takes both as
//! hints; an order that got lost leaves a prefix in an engine's memory until the engine evicts it, or until
//! the scheduler orders it again. See docs/design/006-placing-and-retention.md.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use agatetrestle_config::declarations::BackendKind;
use futures::StreamExt;
use futures::stream::iter;
use smol::channel;
use smol::channel::Receiver;
use smol::channel::Sender;

use crate::attempts::Dispatcher;
use crate::attempts::EngineClient;
use crate::attempts::EngineCommand;
use crate::attempts::Timer;
use crate::attempts::catalog::BackendEndpoint;
use crate::attempts::timer::with_timeout;
use crate::clock::Clock;
use crate::clock::Timestamp;
use crate::ids::ProgramId;
use crate::scheduler::event::BackendKey;
use crate::scheduler::event::CacheOrder;
use crate::scheduler::event::Event;

/// Time between two reports of one backend server.
const INTERVAL: Duration = Duration::from_secs(1);

/// Time for one report or order.
const PATIENCE: Duration = Duration::from_secs(1);

/// Time for which a backend server that gives no reports is left alone.
const LEFT_ALONE: Duration = Duration::from_mins(1);

/// Reports and orders under way at once.
const AT_ONCE: usize = 32;

/// Orders that may wait; more are dropped, since each is harmless to lose.
const WAITING: usize = 4096;

/// Keeps track of reports and waiting orders.
pub(super) struct BackendAdmin {
    engines: Rc<dyn EngineClient>,
    timer: Rc<dyn Timer>,
    clock: Clock,
    targets: RefCell<Vec<(Arc<str>, BackendEndpoint)>>,
    seen: RefCell<HashMap<Arc<str>, Seen>>,
    orders: Sender<(ProgramId, EngineCommand, SocketAddr)>,
    waiting: Receiver<(ProgramId, EngineCommand, SocketAddr)>,
    dropped: Cell<u64>,
}

/// What was last seen of a backend server.
#[derive(Clone, Copy, Debug, Default)]
struct Seen {
    position: u64,
    left_alone_until: Timestamp,
}

impl BackendAdmin {
    pub(super) fn new(engines: Rc<dyn EngineClient>, timer: Rc<dyn Timer>, clock: Clock) -> Self {
        let (orders, waiting) = channel::bounded(WAITING);
        Self {
            engines,
            timer,
            clock,
            targets: RefCell::default(),
            seen: RefCell::default(),
            orders,
            waiting,
            dropped: Cell::new(0),
        }
    }

    /// The backend servers that report: every engine, and services that are declared to.
    pub(super) fn declare(&self, targets: &HashMap<Arc<str>, BackendEndpoint>) {
        let reporting = targets.iter().filter(|(_, target)| target.reports_load);
        let mut reporting: Vec<_> = reporting.map(|(name, target)| (name.clone(), *target)).collect();
        reporting.sort_by(|(a, _), (b, _)| a.cmp(b));
        self.seen.borrow_mut().retain(|name, _| targets.contains_key(name));
        *self.targets.borrow_mut() = reporting;
    }

    /// Takes in an order for [`BackendAdmin::carry_out`].
    pub(super) fn order(&self, program: ProgramId, order: EngineCommand, address: SocketAddr) {
        if self.orders.try_send((program, order, address)).is_err() {
            self.dropped.set(self.dropped.get() + 1);
            log::warn!("{} orders about caches were dropped so far.", self.dropped.get());
        }
    }

    /// Carries out orders, for as long as the node runs.
    pub(super) async fn carry_out(&self) {
        let orders = Box::pin(self.waiting.clone());
        let sent = orders.for_each_concurrent(AT_ONCE, async |(program, order, address)| {
            let sending = self.engines.order(address, &program, order);
            match with_timeout(&*self.timer, PATIENCE, sending).await {
                Some(Ok(())) => {}
                Some(Err(e)) => log::debug!("An order about a cache failed: {e}."),
                None => log::debug!("An order about a cache got no answer in time."),
            }
        });
        sent.await;
    }

    /// Asks for reports, for as long as the node runs.
    pub(super) async fn ask(&self, dispatcher: &Dispatcher) {
        loop {
            self.timer.after(INTERVAL).await;
            let targets = self.targets.borrow().clone();
            let asked = iter(targets).for_each_concurrent(AT_ONCE, async |(name, target)| {
                self.ask_one(dispatcher, &name, target).await;
            });
            asked.await;
        }
    }

    async fn ask_one(&self, dispatcher: &Dispatcher, name: &Arc<str>, target: BackendEndpoint) {
        let mut seen = self.seen.borrow().get(name).copied().unwrap_or_default();
        let now = self.clock.now();
        if now < seen.left_alone_until {
            return;
        }
        let asking = self.engines.report(target.address, seen.position);
        match with_timeout(&*self.timer, PATIENCE, asking).await {
            Some(Ok(Some(report))) => {
                seen.position = report.position;
                dispatcher.step(Event::Load { backend: name.clone(), load: report.load });
                if target.kind == BackendKind::Engine {
                    for change in report.changes {
                        dispatcher.step(Event::Cache { backend: name.clone(), change });
                    }
                }
            }
            Some(Ok(None)) => seen.left_alone_until = now + LEFT_ALONE,
            Some(Err(e)) => log::debug!("{name} gave no report: {e}."),
            None => log::debug!("{name} gave no report in time."),
        }
        self.seen.borrow_mut().insert(name.clone(), seen);
    }
}

/// The order with the program and the engine that it is about.
pub(super) fn split(order: CacheOrder) -> (ProgramId, BackendKey, EngineCommand) {
    match order {
        CacheOrder::Release { program, backend } => (program, backend, EngineCommand::Release),
        CacheOrder::Export { program, backend } => (program, backend, EngineCommand::Export),
        CacheOrder::Import { program, backend } => (program, backend, EngineCommand::Import),
    }
}
