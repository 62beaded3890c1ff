//! HTTP/1.1 for callers: addresses, programs, model calls, service calls and stored answers.
//!
//! Every refusal is `application/problem+json` with `outcome` (`not_run` or `unknown`), a `reason`
//! of [`problem::Reason`] and, where coming back makes sense, `Retry-After`. The ledger decides what may
//! be sent and what is answered again; see docs/design/002-ledger-and-at-most-once.md. How callers
//! find a node without a balancer is told in docs/design/010-addresses-without-a-balancer.md.

mod begin;
pub mod calls;
pub mod carry;
pub mod connection;
pub mod declared;
pub mod guard;
pub mod known;
pub mod problem;
pub mod programs;
pub mod record;
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

/// Everything the entry needs from the rest of the node.
pub struct ApiServer {
    /// The ledger of all programs.
    pub ledger: Rc<dyn Ledger>,
    /// The control group, for the declarations in force.
    pub control: Rc<dyn Control>,
    /// The members, for address answers and to judge another node's open attempts.
    pub members: Rc<dyn Members>,
    /// Where calls are sent from.
    pub dispatcher: Rc<Dispatcher>,
    /// Takes in measures.
    pub recorder: Rc<dyn Recorder>,
    /// Wakes tasks after a time.
    pub timer: Rc<dyn Timer>,
    /// The process's clock.
    pub clock: Clock,
    /// This node.
    pub node: NodeId,
    /// Its incarnation.
    pub incarnation: u64,
    /// Bounds on what callers may send.
    pub limits: Callers,
    /// Set once the node is about to stop: new work is refused, what is in flight goes on.
    pub stopping: Rc<Cell<bool>>,
    /// What the entry itself keeps; start with the default.
    pub state: RuntimeState,
}

/// Soft state of the entry; losing it loses nothing durable.
#[derive(Default)]
pub struct RuntimeState {
    in_flight: Cell<usize>,
    connections: Cell<u32>,
    last_attempt: Cell<u64>,
    active: RefCell<HashSet<AttemptId>>,
    known: known::KnownPrograms,
    declared: declared::Cache,
}

/// Counts something for as long as it lives.
struct Counted(Rc<ApiServer>);

impl ApiServer {
    /// Requests that were taken and are not yet settled, their last byte included.
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

impl Counted {
    fn new(entry: &Rc<ApiServer>) -> Self {
        let count = &entry.state.in_flight;
        count.set(count.get() + 1);
        Self(Rc::clone(entry))
    }
}

impl Drop for Counted {
    fn drop(&mut self) {
        let count = &self.0.state.in_flight;
        count.set(count.get() - 1);
    }
}

/// Serves callers until the task is dropped. Each connection is a task of its own on `executor`.
pub async fn serve(entry: Rc<ApiServer>, listener: TcpListener, executor: Rc<LocalExecutor<'static>>) {
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(e) => {
                log::warn!("A connection could not be accepted: {e}.");
                entry.timer.after(ACCEPT_PAUSE).await;
                continue;
            }
        };
        let cx = connection::Context { entry: Rc::clone(&entry), executor: Rc::clone(&executor) };
        executor.spawn(connection::serve(cx, stream)).detach();
    }
}

/// Pause after a failed accept, so that a lack of descriptors does not spin.
const ACCEPT_PAUSE: std::time::Duration = std::time::Duration::from_millis(20);
