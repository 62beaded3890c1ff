//! Takes requests of callers, finds a backend server for each and passes the answer on.
//!
//! The decisions are those of [`crate::routing`], [`crate::dispatch`] and [`crate::turns`]; here they meet sockets.
//! The way of one request: docs/design/012-a-deployment-of-three-roles.md.

mod attempt;
pub mod events;
mod intake;
mod job;
mod place;
mod relay;
mod request;
mod reserve;
#[cfg(test)]
mod tests;
mod trail;
pub mod turn;
pub mod wire;

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddrV4;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use futures::channel::oneshot;
use http::Request;
use http::Response;
use hyper::body::Incoming;
use log::info;
use log::warn;
use smol::LocalExecutor;
use smol::Timer;

use crate::clock::Clock;
use crate::clock::Timestamp;
use crate::cluster::view::Watcher;
use crate::control::command::Document;
use crate::dispatch::Decision;
use crate::dispatch::Dispatch;
use crate::dispatch::Instance;
use crate::dispatch::RequestOutcome;
use crate::dispatch::ServerKey;
use crate::gateway::place::Found;
use crate::gateway::place::TurnedAway;
use crate::gateway::turn::TurnClient;
use crate::gateway::wire::RequestHead;
use crate::gateway::wire::WireFormat;
use crate::ports::Recorder;
use crate::routing::RouteTable;
use crate::scheduler::random::Random;
use crate::transport::body::AnswerBody;
use crate::transport::client::Client;
use crate::transport::server::Bounds;

/// How often waiting requests are looked at though nothing happened, and how often it is looked whether any wait. Waking up
/// costs processor time, and a request seldom waits.
const TICK: Duration = Duration::from_millis(20);
const IDLE_TICK: Duration = Duration::from_millis(60);
/// Time for which a node remembers that it served a turn of a program: pauses between turns are shorter.
const PROGRAM_MEMORY: Duration = Duration::from_secs(20);
/// How often old connections are closed.
const SWEEP_TICKS: u32 = 25;

/// What a gateway is made of.
pub struct GatewayParts {
    /// The wire of callers and backend servers.
    pub wire: Rc<dyn WireFormat>,
    /// Turns and budgets.
    pub turns: Rc<dyn TurnClient>,
    /// The decisions, with no backend server known.
    pub dispatch: Dispatch,
    /// Seed of the choices that are drawn by lot.
    pub seed: u64,
    /// The process's clock.
    pub clock: Clock,
    /// Bounds on callers, which the table of routes sets.
    pub bounds: Rc<Bounds>,
    /// Bytes of bodies that may be held at once.
    pub body_buffer_bytes: usize,
    /// Where counters and histograms go.
    pub recorder: Rc<dyn Recorder>,
    /// Where tasks run that outlive a request.
    pub executor: Rc<LocalExecutor<'static>>,
}

/// The entry of a deployment.
pub struct Gateway {
    wire: Rc<dyn WireFormat>,
    turns: Rc<dyn TurnClient>,
    table: RefCell<Option<Rc<RouteTable>>>,
    dispatch: RefCell<Dispatch>,
    waiting: RefCell<HashMap<u64, oneshot::Sender<Found>>>,
    next_ticket: Cell<u64>,
    client: Rc<Client>,
    clock: Clock,
    bounds: Rc<Bounds>,
    random: RefCell<Random>,
    body_buffer_bytes: Cell<usize>,
    in_flight: Cell<usize>,
    /// Programs of which a turn ended whole here, by when that was.
    programs: RefCell<HashMap<Arc<str>, Timestamp>>,
    draining: Cell<bool>,
    recorder: Rc<dyn Recorder>,
    executor: Rc<LocalExecutor<'static>>,
}

impl Gateway {
    /// A gateway that knows no table and no backend server yet.
    #[must_use]
    pub fn new(parts: GatewayParts) -> Rc<Self> {
        let GatewayParts {
            wire,
            turns,
            dispatch,
            seed,
            clock,
            bounds,
            body_buffer_bytes,
            recorder,
            executor,
        } = parts;
        Rc::new(Self {
            wire,
            turns,
            table: RefCell::default(),
            dispatch: RefCell::new(dispatch),
            waiting: RefCell::default(),
            next_ticket: Cell::new(1),
            client: Client::new(&executor, clock),
            clock,
            bounds,
            random: RefCell::new(Random::new(seed)),
            body_buffer_bytes: Cell::new(body_buffer_bytes),
            in_flight: Cell::new(0),
            programs: RefCell::default(),
            draining: Cell::new(false),
            recorder,
            executor,
        })
    }

    /// Lets time pass until the task is dropped.
    pub async fn run(self: Rc<Self>) {
        let mut ticks = 0_u32;
        loop {
            let waiting = self.dispatch.borrow().waiting() > 0;
            Timer::after(if waiting { TICK } else { IDLE_TICK }).await;
            ticks = ticks.wrapping_add(1);
            if self.dispatch.borrow().waiting() > 0 {
                let decisions = self.dispatch.borrow_mut().tick(self.clock.now());
                self.carry_out(decisions);
            }
            if ticks.is_multiple_of(SWEEP_TICKS) {
                self.client.sweep();
                let now = self.clock.now();
                self.programs.borrow_mut().retain(|_, last| now.since(*last) < PROGRAM_MEMORY);
            }
        }
    }

    /// Answers one request of a caller.
    pub async fn handle(self: Rc<Self>, request: Request<Incoming>) -> Response<AnswerBody> {
        let _under_way = UnderWay::new(&self);
        request::answer(&self, request).await
    }

    /// Whether callers may be sent here: a table is in force, backend servers are known and no stop is planned.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        let equipped = self.table.borrow().is_some() && self.dispatch.borrow().instances().next().is_some();
        equipped && !self.draining.get()
    }

    /// Begins a planned stop: callers are asked to connect elsewhere, and every request is still served.
    pub fn start_draining(&self) {
        self.draining.set(true);
    }

    /// Requests that are being answered.
    #[must_use]
    pub fn in_flight(&self) -> usize {
        self.in_flight.get()
    }

    /// Notes that a turn of a program ended whole here.
    fn note_turn(&self, program: Option<&Arc<str>>) {
        if let Some(program) = program {
            self.programs.borrow_mut().insert(program.clone(), self.clock.now());
        }
    }

    /// Whether a turn of the request's program ended whole here lately.
    fn has_seen(&self, call: &RequestHead) -> bool {
        call.program.as_ref().is_some_and(|program| self.programs.borrow().contains_key(program))
    }

    fn carry_out(&self, decisions: Vec<Decision>) {
        for decision in decisions {
            match decision {
                Decision::Send { ticket, server } => self.deliver(ticket, Ok(server)),
                Decision::Reject { ticket, retry_after, reason } => {
                    self.deliver(ticket, Err(TurnedAway { retry_after, reason }));
                }
                Decision::DropConnections { address } => self.client.forget(address),
                Decision::Eject { server, until, failure_rate } => {
                    self.note_suspect(server, until, failure_rate);
                }
            }
        }
    }

    /// Tells a waiter what became of its request. One that is gone has withdrawn it, or gives back what it was given.
    fn deliver(&self, ticket: u64, found: Found) {
        let waiter = self.waiting.borrow_mut().remove(&ticket);
        let undelivered = match waiter {
            Some(waiter) => waiter.send(found).is_err(),
            None => true,
        };
        if undelivered && let Ok(server) = found {
            self.give_back(server);
        }
    }

    fn note_suspect(&self, server: ServerKey, until: Timestamp, usual: f64) {
        if let Some((id, address)) = self.address(server) {
            let rest = until.since(self.clock.now()).as_millis();
            warn!("server={id} address={address} is suspected: rest_ms={rest} usual_failures={usual:.4}.");
        }
    }

    /// Gives back a place that nobody used.
    fn give_back(&self, server: ServerKey) {
        let now = self.clock.now();
        let decisions = self.dispatch.borrow_mut().finish(now, server, RequestOutcome::Cancelled);
        self.carry_out(decisions);
    }

    /// Where an instance listens, if it is known.
    fn address(&self, server: ServerKey) -> Option<(Arc<str>, SocketAddrV4)> {
        let dispatch = self.dispatch.borrow();
        dispatch.instance(server).map(|instance| (instance.id.clone(), instance.address))
    }
}

impl Watcher for Gateway {
    fn routes(&self, document: &Document) {
        match self.wire.read_table(document.text.as_bytes()) {
            Ok(table) => {
                info!("Routes of version {} are in force, revision {}.", table.version, document.revision);
                self.bounds.head.set(table.limits.max_header_bytes);
                self.bounds.head_time.set(table.limits.header_timeout);
                self.bounds.idle.set(table.limits.idle_timeout);
                self.table.replace(Some(Rc::new(table)));
            }
            // Control accepted it, so this node is of another build; it goes on with the table it has.
            Err(failure) => warn!("Routes of version {} can't be used here: {failure}.", document.version),
        }
    }

    fn backends(&self, instances: &[Instance]) {
        let decisions = self.dispatch.borrow_mut().replace_instances(self.clock.now(), instances);
        self.carry_out(decisions);
        let leaving = instances.iter().filter(|instance| instance.leaving).count();
        info!("{} backend servers are listed, {leaving} of them leaving.", instances.len());
    }
}

/// Counts a request while it is answered; its body may last longer and is counted by the relay.
pub(crate) struct UnderWay(Rc<Gateway>);

impl UnderWay {
    pub(crate) fn new(gateway: &Rc<Gateway>) -> Self {
        gateway.in_flight.set(gateway.in_flight.get() + 1);
        Self(gateway.clone())
    }
}

impl Drop for UnderWay {
    fn drop(&mut self) {
        self.0.in_flight.set(self.0.in_flight.get() - 1);
    }
}
