//! Reverse proxy from callers to backend servers.
//!
//! [`crate::routing`], [`crate::dispatch`] and [`crate::turns`] make the decisions; this module does the I/O.
//! The path of a request: docs/design/012-a-deployment-of-three-roles.md.

mod access_log;
mod attempt;
mod body;
mod buffer_budget;
mod commit;
mod context;
mod durations;
mod event_recorder;
pub mod event_splitter;
mod liveness;
mod losses;
mod relay;
mod request;
mod reserve;
mod resumption;
mod sent;
mod slot;
#[cfg(test)]
mod tests;
pub mod turn;
pub mod wire;

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::HashMap;
use std::collections::HashSet;
use std::convert::Infallible;
use std::net::SocketAddrV4;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use agatetrestle_config::deployment::Placement;
use futures::channel::oneshot;
use http::Request;
use http::Response;
use hyper::body::Incoming;
use log::info;
use log::warn;
use smol::LocalExecutor;
use smol::Timer;
use smol::channel::Receiver;
use smol::channel::Sender;

use crate::backends::BackendChange;
use crate::clock::Clock;
use crate::clock::Timestamp;
use crate::cluster::view::Watcher;
use crate::control::command::Document;
use crate::dispatch::Decision;
use crate::dispatch::Dispatch;
use crate::dispatch::RequestOutcome;
use crate::dispatch::RunProgress;
use crate::dispatch::ServerKey;
use crate::gateway::buffer_budget::BufferBudget;
use crate::gateway::durations::Durations;
use crate::gateway::losses::Losses;
use crate::gateway::slot::Assignment;
use crate::gateway::slot::DispatchRejection;
use crate::gateway::turn::TurnClient;
use crate::gateway::wire::RequestMetadata;
use crate::gateway::wire::WireFormat;
use crate::ids::NodeId;
use crate::ports::Recorder;
use crate::routing::RouteTable;
use crate::scheduler::random::Random;
use crate::suspects::SuspectView;
use crate::transport::body::ResponseBody;
use crate::transport::client::HttpClient;
use crate::transport::server::ServerLimits;

/// How often queued requests are reconsidered. Waking up costs processor time, and a request seldom waits.
const QUEUED_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// How often the queues are checked while they are empty.
const IDLE_POLL_INTERVAL: Duration = Duration::from_millis(60);
/// How long a program counts as started after its last turn here; longer than the usual pause between turns.
const PROGRAM_TTL: Duration = Duration::from_secs(20);
/// Polls between two sweeps of idle connections and expired programs.
const POLLS_PER_SWEEP: u32 = 25;
/// Polls between two looks for servers to probe.
const POLLS_PER_PROBE: u32 = 5;

/// Dependencies and limits of a gateway.
pub struct GatewayParts {
    /// Format of the headers and documents on the wire.
    pub wire: Rc<dyn WireFormat>,
    /// Client of the state groups, which hold turns and budgets.
    pub turns: Rc<dyn TurnClient>,
    /// The suspects that the state groups tell of.
    pub suspects: Rc<SuspectView>,
    /// Dispatch state without any known backend server.
    pub dispatch: Dispatch,
    /// The node that runs the gateway; seeds the random choice among a route's services.
    pub node: NodeId,
    /// Who chooses the server of a turn that is reserved at a state group.
    pub placement: Placement,
    /// The clock of the process.
    pub clock: Clock,
    /// Limits on caller connections, updated from the route table.
    pub limits: Rc<ServerLimits>,
    /// Total size of request bodies that may be buffered at once.
    pub body_buffer_bytes: usize,
    /// Total size of responses that may be buffered at once, besides a small part of each.
    pub response_buffer_bytes: usize,
    /// Recorder of metrics.
    pub recorder: Rc<dyn Recorder>,
    /// Executor of the tasks that outlive a request.
    pub executor: Rc<LocalExecutor<'static>>,
}

/// The gateway of one node.
pub struct Gateway {
    wire: Rc<dyn WireFormat>,
    turns: Rc<dyn TurnClient>,
    losses: Losses,
    table: RefCell<Option<Rc<RouteTable>>>,
    dispatch: RefCell<Dispatch>,
    /// Queued requests by ticket.
    waiters: RefCell<HashMap<u64, oneshot::Sender<Assignment>>>,
    next_ticket: Cell<u64>,
    client: Rc<HttpClient>,
    clock: Clock,
    limits: Rc<ServerLimits>,
    node: NodeId,
    placement: Placement,
    random: RefCell<Random>,
    free_body_bytes: Cell<usize>,
    response_buffers: BufferBudget,
    in_flight: Cell<usize>,
    /// When each program last completed a turn here.
    last_turns: RefCell<HashMap<Arc<str>, Timestamp>>,
    durations: Durations,
    draining: Cell<bool>,
    /// When requests without a response are ended, once the process is stopping.
    ends_at: Cell<Option<Timestamp>>,
    /// Closed when requests without a response are ended.
    cutoff: (Sender<Infallible>, Receiver<Infallible>),
    recorder: Rc<dyn Recorder>,
    executor: Rc<LocalExecutor<'static>>,
}

impl Gateway {
    /// Creates a gateway without a route table or backend servers.
    #[must_use]
    pub fn new(parts: GatewayParts) -> Rc<Self> {
        let GatewayParts {
            wire,
            turns,
            suspects,
            dispatch,
            node,
            placement,
            clock,
            limits,
            body_buffer_bytes,
            response_buffer_bytes,
            recorder,
            executor,
        } = parts;
        Rc::new(Self {
            wire,
            turns,
            losses: Losses::new(suspects, clock.now()),
            table: RefCell::default(),
            dispatch: RefCell::new(dispatch),
            waiters: RefCell::default(),
            next_ticket: Cell::new(1),
            client: HttpClient::new(&executor, clock),
            clock,
            limits,
            node,
            placement,
            random: RefCell::new(Random::new(node.0)),
            free_body_bytes: Cell::new(body_buffer_bytes),
            response_buffers: BufferBudget::new(response_buffer_bytes),
            in_flight: Cell::new(0),
            last_turns: RefCell::default(),
            durations: Durations::default(),
            draining: Cell::new(false),
            ends_at: Cell::new(None),
            cutoff: smol::channel::bounded(1),
            recorder,
            executor,
        })
    }

    /// Runs the periodic work until the task is dropped.
    pub async fn run(self: Rc<Self>) {
        let mut polls = 0_u32;
        loop {
            let queued = self.dispatch.borrow().waiting() > 0;
            Timer::after(if queued { QUEUED_POLL_INTERVAL } else { IDLE_POLL_INTERVAL }).await;
            polls = polls.wrapping_add(1);
            if self.dispatch.borrow().waiting() > 0 {
                let decisions = self.dispatch.borrow_mut().tick(self.clock.now());
                self.apply(decisions);
            }
            if polls.is_multiple_of(POLLS_PER_PROBE) {
                liveness::probe_due(&self);
            }
            if polls.is_multiple_of(POLLS_PER_SWEEP) {
                self.client.close_expired();
                let now = self.clock.now();
                self.last_turns.borrow_mut().retain(|_, last| now.since(*last) < PROGRAM_TTL);
                self.losses.expire(now);
            }
        }
    }

    /// Handles a request from a caller.
    pub async fn handle(self: Rc<Self>, request: Request<Incoming>) -> Response<ResponseBody> {
        let _in_flight = InFlightRequest::new(&self);
        request::handle(&self, request).await
    }

    /// Whether callers may connect: a route table and backend servers are known, and the gateway is not draining.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        let configured = self.table.borrow().is_some() && self.dispatch.borrow().instances().next().is_some();
        configured && !self.draining.get()
    }

    /// Asks callers to reconnect elsewhere, while still serving every request that is expected to end within `time_limit`.
    pub fn start_draining(&self, time_limit: Duration) {
        self.draining.set(true);
        self.ends_at.set(Some(self.clock.now() + time_limit));
    }

    /// Answers all requests that have no response head yet with an error, and all later ones, since the process is about to
    /// exit. Their runs are cancelled.
    pub fn end_requests(&self) {
        self.cutoff.0.close();
    }

    /// Returns once [`Gateway::end_requests`] was called.
    async fn requests_ended(&self) {
        // Nothing is ever sent, so this waits until the channel is closed.
        let _ = self.cutoff.1.recv().await;
    }

    /// Number of requests whose responses are not complete.
    #[must_use]
    pub fn in_flight(&self) -> usize {
        self.in_flight.get()
    }

    fn record_turn(&self, program: Option<&Arc<str>>) {
        if let Some(program) = program {
            self.last_turns.borrow_mut().insert(program.clone(), self.clock.now());
        }
    }

    /// Whether the request's program completed a turn here within [`PROGRAM_TTL`].
    fn has_recent_turn(&self, metadata: &RequestMetadata) -> bool {
        metadata.program.as_ref().is_some_and(|program| self.last_turns.borrow().contains_key(program))
    }

    fn apply(&self, decisions: Vec<Decision>) {
        for decision in decisions {
            match decision {
                Decision::Send { ticket, server } => self.deliver(ticket, Ok(server)),
                Decision::Reject { ticket, retry_after, reason } => {
                    self.deliver(ticket, Err(DispatchRejection { retry_after, reason }));
                }
                Decision::DropConnections { address } => self.client.close_idle(address),
                Decision::Eject { server, until, failure_rate } => {
                    self.log_ejection(server, until, failure_rate);
                }
            }
        }
    }

    /// Notifies the waiter of a request. If the waiter is gone, an assigned slot is released.
    fn deliver(&self, ticket: u64, assignment: Assignment) {
        let waiter = self.waiters.borrow_mut().remove(&ticket);
        let undelivered = match waiter {
            Some(waiter) => waiter.send(assignment).is_err(),
            None => true,
        };
        if undelivered && let Ok(server) = assignment {
            self.release(server, ticket);
        }
    }

    fn log_ejection(&self, server: ServerKey, until: Timestamp, failure_rate: f64) {
        if let Some((id, address)) = self.address(server) {
            let rest_ms = until.since(self.clock.now()).as_millis();
            warn!(
                "server={id} address={address} is suspected: rest_ms={rest_ms} usual_failures={failure_rate:.4}."
            );
        }
    }

    /// Releases a slot that was not used.
    fn release(&self, server: ServerKey, ticket: u64) {
        let now = self.clock.now();
        let progress = RunProgress::default();
        let decisions = self.dispatch.borrow_mut().finish_request(
            now,
            server,
            ticket,
            RequestOutcome::Cancelled,
            progress,
        );
        self.apply(decisions);
    }

    /// Id and software version of an instance, if it is known.
    fn identity(&self, server: ServerKey) -> Option<(Arc<str>, Arc<str>)> {
        let dispatch = self.dispatch.borrow();
        dispatch.instance(server).map(|instance| (instance.id.clone(), instance.version.clone()))
    }

    /// Id and address of an instance, if it is known.
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
                self.limits.max_head_bytes.set(table.limits.max_header_bytes);
                self.limits.head_timeout.set(table.limits.header_timeout);
                self.limits.idle_timeout.set(table.limits.idle_timeout);
                self.dispatch.borrow_mut().set_memory(table.memory_tokens());
                let names: HashSet<&str> = table.routes().iter().map(|route| &*route.name).collect();
                self.durations.retain(|route| names.contains(route));
                self.table.replace(Some(Rc::new(table)));
            }
            // The control group accepted the table, so this node runs another build. It keeps its previous table.
            Err(error) => warn!("Routes of version {} are invalid and ignored: {error}.", document.version),
        }
    }

    fn backends(&self, change: &BackendChange) {
        let decisions = self.dispatch.borrow_mut().apply_change(self.clock.now(), change);
        self.apply(decisions);
        let (listed, leaving) = self.dispatch.borrow().instance_counts();
        info!("{listed} backend servers are listed, {leaving} of them leaving.");
    }
}

/// Counts a request as in flight; streamed response bodies hold a guard of their own.
pub(crate) struct InFlightRequest(Rc<Gateway>);

impl InFlightRequest {
    pub(crate) fn new(gateway: &Rc<Gateway>) -> Self {
        gateway.in_flight.set(gateway.in_flight.get() + 1);
        Self(gateway.clone())
    }
}

impl Drop for InFlightRequest {
    fn drop(&mut self) {
        self.0.in_flight.set(self.0.in_flight.get() - 1);
    }
}
