//! Polls backend servers for load reports and cache changes, and sends cache commands to engines.
//!
//! Any of these messages may be lost. The scheduler treats reports and cache changes as hints. After a lost
//! command a prefix stays in an engine's memory until the engine evicts it or the scheduler repeats the
//! command. See docs/design/006-placing-and-retention.md.

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
use crate::scheduler::event::CacheCommand;
use crate::scheduler::event::Event;

const REPORT_POLL_INTERVAL: Duration = Duration::from_secs(1);

const ADMIN_REQUEST_TIMEOUT: Duration = Duration::from_secs(1);

/// Time until a backend server without report support is polled again.
const UNSUPPORTED_RETRY_DELAY: Duration = Duration::from_mins(1);

/// Applies separately to polls and to commands.
const MAX_CONCURRENT_REQUESTS: usize = 32;

/// Commands beyond this are dropped.
const COMMAND_QUEUE_CAPACITY: usize = 4096;

/// Polls reports and queues cache commands.
pub(super) struct BackendAdmin {
    engines: Rc<dyn EngineClient>,
    timer: Rc<dyn Timer>,
    clock: Clock,
    polled: RefCell<Vec<(Arc<str>, BackendEndpoint)>>,
    poll_states: RefCell<HashMap<Arc<str>, PollState>>,
    sender: Sender<(ProgramId, EngineCommand, SocketAddr)>,
    receiver: Receiver<(ProgramId, EngineCommand, SocketAddr)>,
    dropped: Cell<u64>,
}

/// Polling state of a backend server.
#[derive(Clone, Copy, Debug, Default)]
struct PollState {
    position: u64,
    retry_at: Timestamp,
}

impl BackendAdmin {
    pub(super) fn new(engines: Rc<dyn EngineClient>, timer: Rc<dyn Timer>, clock: Clock) -> Self {
        let (sender, receiver) = channel::bounded(COMMAND_QUEUE_CAPACITY);
        Self {
            engines,
            timer,
            clock,
            polled: RefCell::default(),
            poll_states: RefCell::default(),
            sender,
            receiver,
            dropped: Cell::new(0),
        }
    }

    /// Sets the backend servers to poll: those that report their load.
    pub(super) fn set_endpoints(&self, endpoints: &HashMap<Arc<str>, BackendEndpoint>) {
        let reporting = endpoints.iter().filter(|(_, endpoint)| endpoint.reports_load);
        let mut reporting: Vec<_> = reporting.map(|(name, endpoint)| (name.clone(), *endpoint)).collect();
        reporting.sort_by(|(a, _), (b, _)| a.cmp(b));
        self.poll_states.borrow_mut().retain(|name, _| endpoints.contains_key(name));
        *self.polled.borrow_mut() = reporting;
    }

    /// Queues a command for [`BackendAdmin::send_commands`].
    pub(super) fn enqueue(&self, program: ProgramId, command: EngineCommand, address: SocketAddr) {
        if self.sender.try_send((program, command, address)).is_err() {
            self.dropped.set(self.dropped.get() + 1);
            log::warn!("Cache command queue is full; {} commands dropped so far.", self.dropped.get());
        }
    }

    /// Sends queued commands, for as long as the node runs.
    pub(super) async fn send_commands(&self) {
        let commands = Box::pin(self.receiver.clone());
        let sending =
            commands.for_each_concurrent(MAX_CONCURRENT_REQUESTS, async |(program, command, address)| {
                let request = self.engines.cache_command(address, &program, command);
                match with_timeout(&*self.timer, ADMIN_REQUEST_TIMEOUT, request).await {
                    Some(Ok(())) => {}
                    Some(Err(e)) => log::debug!("Cache command to {address} failed: {e}."),
                    None => log::debug!("Cache command to {address} timed out."),
                }
            });
        sending.await;
    }

    /// Polls reports, for as long as the node runs.
    pub(super) async fn poll_reports(&self, dispatcher: &Dispatcher) {
        loop {
            self.timer.after(REPORT_POLL_INTERVAL).await;
            let polled = self.polled.borrow().clone();
            let polling =
                iter(polled).for_each_concurrent(MAX_CONCURRENT_REQUESTS, async |(name, endpoint)| {
                    self.poll_report(dispatcher, &name, endpoint).await;
                });
            polling.await;
        }
    }

    async fn poll_report(&self, dispatcher: &Dispatcher, name: &Arc<str>, endpoint: BackendEndpoint) {
        let mut state = self.poll_states.borrow().get(name).copied().unwrap_or_default();
        let now = self.clock.now();
        if now < state.retry_at {
            return;
        }
        let request = self.engines.report(endpoint.address, state.position);
        match with_timeout(&*self.timer, ADMIN_REQUEST_TIMEOUT, request).await {
            Some(Ok(Some(report))) => {
                state.position = report.position;
                dispatcher.step(Event::Load { backend: name.clone(), load: report.load });
                if endpoint.kind == BackendKind::Engine {
                    for change in report.changes {
                        dispatcher.step(Event::Cache { backend: name.clone(), change });
                    }
                }
            }
            Some(Ok(None)) => state.retry_at = now + UNSUPPORTED_RETRY_DELAY,
            Some(Err(e)) => log::debug!("Report request to {name} failed: {e}."),
            None => log::debug!("Report request to {name} timed out."),
        }
        self.poll_states.borrow_mut().insert(name.clone(), state);
    }
}

/// Splits a cache command into its program, its engine and the command to send to it.
pub(super) fn into_command(command: CacheCommand) -> (ProgramId, BackendKey, EngineCommand) {
    match command {
        CacheCommand::Release { program, backend } => (program, backend, EngineCommand::Release),
        CacheCommand::Export { program, backend } => (program, backend, EngineCommand::Export),
        CacheCommand::Import { program, backend } => (program, backend, EngineCommand::Import),
    }
}
