//! HTTP/1.1 API for callers: addresses, programs, model calls, service calls and stored answers.
//!
//! Every refusal is `application/problem+json` with an `outcome` (`not_run` or `unknown`), a `reason` of
//! [`problem::ProblemReason`] and, where a retry makes sense, `Retry-After`. The ledger decides what may be
//! sent and which requests get a stored answer; see docs/design/002-ledger-and-at-most-once.md. How callers
//! find a node without a balancer is described in docs/design/010-addresses-without-a-balancer.md.

mod begin;
pub mod call_task;
pub mod calls;
pub mod connection;
pub mod declarations;
pub mod problem;
pub mod programs;
pub mod recent_programs;
pub mod request_delta;
pub mod request_reader;
pub mod routes;
pub mod settle;

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::HashSet;
use std::rc::Rc;

use agatetrestle_config::settings::Callers;
use smol::LocalExecutor;
use smol::net::TcpListener;

use crate::attempts::Dispatcher;
use crate::attempts::Timer;
use crate::clock::Clock;
use crate::ids::AttemptId;
use crate::ids::NodeId;
use crate::ports::Control;
use crate::ports::Ledger;
use crate::ports::Members;
use crate::ports::Recorder;

/// Delay after a failed accept, so that running out of file descriptors does not cause a busy loop.
const ACCEPT_RETRY_DELAY: std::time::Duration = std::time::Duration::from_millis(20);

/// The API server with its dependencies.
pub struct ApiServer {
    /// Commits commands to the ledger and answers queries from it.
    pub ledger: Rc<dyn Ledger>,
    /// The control group, for the declarations in force.
    pub control: Rc<dyn Control>,
    /// The members, for address answers and to check whether another node's attempt is still running.
    pub members: Rc<dyn Members>,
    /// Schedules calls and sends them to backend servers.
    pub dispatcher: Rc<Dispatcher>,
    /// Receives metrics.
    pub recorder: Rc<dyn Recorder>,
    /// Drives timeouts and delays.
    pub timer: Rc<dyn Timer>,
    /// The process's clock.
    pub clock: Clock,
    /// This node.
    pub node: NodeId,
    /// Incarnation of this node.
    pub incarnation: u64,
    /// Limits on connections and requests.
    pub limits: Callers,
    /// Set during shutdown: new work is refused, requests in flight are completed.
    pub stopping: Rc<Cell<bool>>,
    /// Internal state; starts as the default.
    pub state: RuntimeState,
}

/// State in memory that a restart may lose.
#[derive(Default)]
pub struct RuntimeState {
    in_flight: Cell<usize>,
    connections: Cell<u32>,
    last_attempt: Cell<u64>,
    active_attempts: RefCell<HashSet<AttemptId>>,
    recent_programs: recent_programs::RecentPrograms,
    declarations: declarations::DeclarationCache,
}

/// Counts a request as in flight until it is dropped.
struct InFlightGuard(Rc<ApiServer>);

impl ApiServer {
    /// Number of requests whose response is not fully written or whose call is not settled.
    #[must_use]
    pub fn in_flight(&self) -> usize {
        self.state.in_flight.get()
    }

    fn next_attempt(&self) -> AttemptId {
        let sequence = self.state.last_attempt.get() + 1;
        self.state.last_attempt.set(sequence);
        AttemptId { node: self.node, incarnation: self.incarnation, sequence }
    }
}

impl InFlightGuard {
    fn new(server: &Rc<ApiServer>) -> Self {
        let count = &server.state.in_flight;
        count.set(count.get() + 1);
        Self(Rc::clone(server))
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        let count = &self.0.state.in_flight;
        count.set(count.get() - 1);
    }
}

/// Accepts callers' connections until the future is dropped. Each connection is a task of its own on
/// `executor`.
pub async fn serve(server: Rc<ApiServer>, listener: TcpListener, executor: Rc<LocalExecutor<'static>>) {
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(e) => {
                log::warn!("Accepting a caller's connection failed: {e}.");
                server.timer.after(ACCEPT_RETRY_DELAY).await;
                continue;
            }
        };
        let cx = connection::ConnectionContext { server: Rc::clone(&server), executor: Rc::clone(&executor) };
        executor.spawn(connection::serve(cx, stream)).detach();
    }
}
