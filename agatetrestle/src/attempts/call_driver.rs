//! Runs one call from its submission to the scheduler to its outcome.

use std::cell::Cell;
use std::cell::RefCell;
use std::sync::Arc;
use std::time::Duration;

use smol::channel::Receiver;
use smol::future::or;

use crate::attempts::BackendReply;
use crate::attempts::ExchangeError;
use crate::attempts::ExchangeObserver;
use crate::attempts::call::CallOutcome;
use crate::attempts::call::CallStats;
use crate::attempts::call::Caller;
use crate::attempts::call::OutgoingCall;
use crate::attempts::delivery::Delivery;
use crate::attempts::delivery::ExecutionStatus;
use crate::attempts::dispatcher::CallAction;
use crate::attempts::dispatcher::Dispatcher;
use crate::scheduler::event::BackendKey;
use crate::scheduler::event::CallId;
use crate::scheduler::event::Event;
use crate::scheduler::event::Failure;

/// Retry delay if the scheduler did not provide one.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_secs(1);

/// A call registered with the dispatcher. Dropping it deregisters the call, and cancels it at the scheduler
/// unless it has ended there.
pub(super) struct CallDriver<'a> {
    dispatcher: &'a Dispatcher,
    call: &'a OutgoingCall,
    caller: &'a dyn Caller,
    disconnected: &'a Receiver<()>,
    stats: &'a Cell<CallStats>,
    id: CallId,
    actions: Receiver<CallAction>,
    delivery: RefCell<Delivery>,
    admitted: Cell<bool>,
    /// Set once a streamed answer was interrupted: the caller was told to retry, so its disconnect no longer
    /// cancels the call.
    detached: Cell<bool>,
    /// Events received in the current attempt.
    event_count: Cell<u32>,
    ended: Cell<bool>,
    last_error: RefCell<Arc<str>>,
    /// Latest complete answer that reports an error; returned if no further attempt is made.
    error_reply: RefCell<Option<BackendReply>>,
}

impl ExchangeObserver for CallDriver<'_> {
    fn on_write(&self) {
        self.delivery.borrow_mut().begin_write();
    }

    fn on_event(&self, bytes: &[u8]) {
        self.delivery.borrow_mut().receive();
        let event_count = self.event_count.get();
        self.event_count.set(event_count + 1);
        if event_count == 0 {
            self.dispatcher.step(Event::FirstToken(self.id));
        }
        if !self.detached.get() {
            self.caller.on_event(bytes);
        }
    }
}

impl Drop for CallDriver<'_> {
    fn drop(&mut self) {
        self.dispatcher.deregister(self.id);
        if !self.ended.get() {
            self.dispatcher.step(Event::Cancelled(self.id));
        }
    }
}

impl<'a> CallDriver<'a> {
    pub(super) fn new(
        dispatcher: &'a Dispatcher,
        call: &'a OutgoingCall,
        caller: &'a dyn Caller,
        disconnected: &'a Receiver<()>,
        stats: &'a Cell<CallStats>,
    ) -> Self {
        let (id, actions) = dispatcher.register();
        Self {
            dispatcher,
            call,
            caller,
            disconnected,
            stats,
            id,
            actions,
            delivery: RefCell::new(Delivery::new(call.request.repeatable)),
            admitted: Cell::new(false),
            detached: Cell::new(false),
            event_count: Cell::new(0),
            ended: Cell::new(false),
            last_error: RefCell::new("the call was not dispatched".into()),
            error_reply: RefCell::default(),
        }
    }

    pub(super) async fn run(&self) -> CallOutcome {
        self.dispatcher.step(Event::Submit(self.call.scheduler_call(self.id)));
        loop {
            let outcome = match self.next_action().await {
                None => Some(CallOutcome::Cancelled(self.end())),
                Some(CallAction::Dispatch { backend, priority }) => self.attempt(backend, priority).await,
                Some(CallAction::Refuse { reason, retry_after }) => {
                    self.ended.set(true);
                    Some(match self.end() {
                        ExecutionStatus::NotRun => CallOutcome::Refused { reason, retry_after },
                        execution => self.failure_outcome(execution, retry_after),
                    })
                }
                Some(CallAction::GiveUp { retry_after }) => {
                    self.ended.set(true);
                    Some(self.give_up(retry_after))
                }
            };
            if let Some(outcome) = outcome {
                return outcome;
            }
        }
    }

    /// Waits for the scheduler; `None` if the caller disconnected.
    async fn next_action(&self) -> Option<CallAction> {
        let started = self.dispatcher.clock.now();
        let action = or(async { self.actions.recv().await.ok() }, self.caller_disconnected()).await;
        let elapsed = self.dispatcher.clock.now().since(started);
        self.update_stats(|stats| stats.queue_time += elapsed);
        action
    }

    /// Makes one attempt; `None` if the scheduler decides about another.
    async fn attempt(&self, backend: BackendKey, priority: u8) -> Option<CallOutcome> {
        if !self.delivery.borrow_mut().dispatch() {
            return Some(self.give_up(DEFAULT_RETRY_AFTER));
        }
        if !self.admitted.get() && !self.caller.admit().await {
            return Some(CallOutcome::NotAdmitted);
        }
        self.admitted.set(true);
        self.event_count.set(0);
        let started = self.dispatcher.clock.now();
        let exchange = self.dispatcher.exchange(&self.call.request, backend, priority, self);
        let result = or(async { Some(exchange.await) }, self.cancelled()).await;
        let elapsed = self.dispatcher.clock.now().since(started);
        self.update_stats(|stats| {
            stats.service_time += elapsed;
            stats.attempts += 1;
        });
        match result {
            None => Some(CallOutcome::Cancelled(self.end())),
            Some(Ok(reply)) => Some(self.finish(reply)),
            Some(Err(error)) => self.handle_failure(error),
        }
    }

    fn finish(&self, reply: BackendReply) -> CallOutcome {
        let clamp = |count: u64| u32::try_from(count).unwrap_or(u32::MAX);
        self.delivery.borrow_mut().finish();
        self.ended.set(true);
        self.dispatcher.step(Event::Finished {
            call: self.id,
            output_tokens: clamp(reply.usage.output),
            cached_tokens: clamp(reply.usage.cached),
        });
        if let Some(tool) = reply.tool.clone() {
            self.dispatcher.step(Event::Paused { program: self.call.request.program.clone(), tool });
        }
        CallOutcome::Answered(reply)
    }

    /// Records a failed attempt; returns an outcome if the token budget, or the servers that ended, allow no further one.
    fn handle_failure(&self, error: ExchangeError) -> Option<CallOutcome> {
        if self.event_count.get() > 0 && !self.detached.replace(true) {
            self.caller.on_interrupted();
        }
        self.update_stats(|stats| stats.lost_servers += u32::from(error.server_lost));
        self.last_error.replace(error.detail);
        self.error_reply.replace(error.reply);
        let failure = self.delivery.borrow_mut().fail(error.failure);
        if failure == Failure::Lost {
            let lost = self.call.prompt_tokens() + u64::from(self.event_count.get());
            self.update_stats(|stats| stats.lost_tokens += lost);
        }
        self.dispatcher.step(Event::Failed { call: self.id, failure });
        let needed = self.stats.get().lost_tokens.saturating_add(self.call.max_attempt_tokens);
        let is_exhausted = self.stats.get().lost_servers >= self.caller.servers_to_lose();
        (is_exhausted || needed > self.caller.token_budget()).then(|| self.give_up(DEFAULT_RETRY_AFTER))
    }

    /// Completes when the caller disconnects; never completes for a detached call.
    async fn caller_disconnected<T>(&self) -> Option<T> {
        while self.disconnected.recv().await.is_ok() {}
        if self.detached.get() {
            std::future::pending::<()>().await;
        }
        None
    }

    /// Completes when the caller has disconnected and the call may be cancelled.
    async fn cancelled<T>(&self) -> Option<T> {
        self.caller_disconnected::<T>().await;
        if !self.delivery.borrow().may_cancel() {
            std::future::pending::<()>().await;
        }
        None
    }

    /// Ends the call without another attempt; the latest error answer is returned if there is one.
    fn give_up(&self, retry_after: Duration) -> CallOutcome {
        match self.error_reply.take() {
            Some(reply) => CallOutcome::Answered(reply),
            None => self.failure_outcome(self.end(), retry_after),
        }
    }

    fn failure_outcome(&self, execution: ExecutionStatus, retry_after: Duration) -> CallOutcome {
        CallOutcome::Failed { execution, detail: self.last_error.borrow().clone(), retry_after }
    }

    fn end(&self) -> ExecutionStatus {
        self.delivery.borrow_mut().end()
    }

    fn update_stats(&self, update: impl FnOnce(&mut CallStats)) {
        let mut stats = self.stats.get();
        update(&mut stats);
        self.stats.set(stats);
    }
}
