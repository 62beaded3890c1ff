//! One call from its submission to the scheduler until it is answered, refused or given up.

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
use crate::attempts::dispatcher::Decision;
use crate::attempts::dispatcher::Dispatcher;
use crate::scheduler::event::BackendKey;
use crate::scheduler::event::CallId;
use crate::scheduler::event::Event;
use crate::scheduler::event::Failure;

/// When a caller may come back where the scheduler did not say.
const COMEBACK: Duration = Duration::from_secs(1);

/// A call in the dispatcher's table; leaving it tells the scheduler unless the call was settled.
pub(super) struct Run<'a> {
    dispatcher: &'a Dispatcher,
    job: &'a OutgoingCall,
    caller: &'a dyn Caller,
    gone: &'a Receiver<()>,
    times: &'a Cell<CallStats>,
    id: CallId,
    orders: Receiver<Decision>,
    machine: RefCell<Delivery>,
    admitted: Cell<bool>,
    /// Set once an answer broke off: the caller was told to ask again and is no longer waited for.
    sent_away: Cell<bool>,
    /// Parts of the present attempt's answer.
    pieces: Cell<u32>,
    settled: Cell<bool>,
    detail: RefCell<Arc<str>>,
    /// The newest whole answer that reports an error; it stands if no further attempt is made.
    error: RefCell<Option<BackendReply>>,
}

impl ExchangeObserver for Run<'_> {
    fn on_write(&self) {
        self.machine.borrow_mut().begin_write();
    }

    fn on_event(&self, bytes: &[u8]) {
        self.machine.borrow_mut().receive();
        let pieces = self.pieces.get();
        self.pieces.set(pieces + 1);
        if pieces == 0 {
            self.dispatcher.step(Event::FirstToken(self.id));
        }
        if !self.sent_away.get() {
            self.caller.on_event(bytes);
        }
    }
}

impl Drop for Run<'_> {
    fn drop(&mut self) {
        self.dispatcher.leave(self.id);
        if !self.settled.get() {
            self.dispatcher.step(Event::Cancelled(self.id));
        }
    }
}

impl<'a> Run<'a> {
    pub(super) fn new(
        dispatcher: &'a Dispatcher,
        job: &'a OutgoingCall,
        caller: &'a dyn Caller,
        gone: &'a Receiver<()>,
        times: &'a Cell<CallStats>,
    ) -> Self {
        let (id, orders) = dispatcher.enter();
        Self {
            dispatcher,
            job,
            caller,
            gone,
            times,
            id,
            orders,
            machine: RefCell::new(Delivery::new(job.request.repeatable)),
            admitted: Cell::new(false),
            sent_away: Cell::new(false),
            pieces: Cell::new(0),
            settled: Cell::new(false),
            detail: RefCell::new("the call was not dispatched".into()),
            error: RefCell::default(),
        }
    }

    pub(super) async fn to_the_end(&self) -> CallOutcome {
        self.dispatcher.step(Event::Submit(self.job.call(self.id)));
        loop {
            let outcome = match self.next_order().await {
                None => Some(CallOutcome::Cancelled(self.end())),
                Some(Decision::Dispatch { backend, priority }) => self.dispatched(backend, priority).await,
                Some(Decision::Refuse { reason, retry_after }) => {
                    self.settled.set(true);
                    Some(match self.end() {
                        ExecutionStatus::NotRun => CallOutcome::Refused { reason, retry_after },
                        execution => self.given_up(execution, retry_after),
                    })
                }
                Some(Decision::GiveUp { retry_after }) => {
                    self.settled.set(true);
                    Some(self.give_up(retry_after))
                }
            };
            if let Some(outcome) = outcome {
                return outcome;
            }
        }
    }

    /// Waits in the queue; none where the caller went away.
    async fn next_order(&self) -> Option<Decision> {
        let since = self.dispatcher.clock.now();
        let order = or(async { self.orders.recv().await.ok() }, self.departed()).await;
        let span = self.dispatcher.clock.now().since(since);
        self.add(|times| times.queue_time += span);
        order
    }

    /// Makes one attempt; none where the scheduler decides about another.
    async fn dispatched(&self, backend: BackendKey, priority: u8) -> Option<CallOutcome> {
        if !self.machine.borrow_mut().dispatch() {
            return Some(self.give_up(COMEBACK));
        }
        if !self.admitted.get() && !self.caller.admit().await {
            return Some(CallOutcome::NotAdmitted);
        }
        self.admitted.set(true);
        self.pieces.set(0);
        let started = self.dispatcher.clock.now();
        let exchange = self.dispatcher.exchange(&self.job.request, backend, priority, self);
        let result = or(async { Some(exchange.await) }, self.abandoned()).await;
        let span = self.dispatcher.clock.now().since(started);
        self.add(|times| {
            times.service_time += span;
            times.attempts += 1;
        });
        match result {
            None => Some(CallOutcome::Cancelled(self.end())),
            Some(Ok(reply)) => Some(self.finished(reply)),
            Some(Err(error)) => self.failed(error),
        }
    }

    fn finished(&self, reply: BackendReply) -> CallOutcome {
        let clamp = |count: u64| u32::try_from(count).unwrap_or(u32::MAX);
        self.machine.borrow_mut().finish();
        self.settled.set(true);
        self.dispatcher.step(Event::Finished {
            call: self.id,
            output_tokens: clamp(reply.usage.output),
            cached_tokens: clamp(reply.usage.cached),
        });
        if let Some(tool) = reply.tool.clone() {
            self.dispatcher.step(Event::Paused { program: self.job.request.program.clone(), tool });
        }
        CallOutcome::Answered(reply)
    }

    /// Notes a failed attempt; an outcome where no further one fits what the call may cost.
    fn failed(&self, error: ExchangeError) -> Option<CallOutcome> {
        if self.pieces.get() > 0 && !self.sent_away.replace(true) {
            self.caller.on_interrupted();
        }
        self.detail.replace(error.detail);
        self.error.replace(error.reply);
        let failure = self.machine.borrow_mut().fail(error.failure);
        if failure == Failure::Lost {
            let lost = self.job.prompt_tokens() + u64::from(self.pieces.get());
            self.add(|times| times.lost_tokens += lost);
        }
        self.dispatcher.step(Event::Failed { call: self.id, failure });
        let needed = self.times.get().lost_tokens.saturating_add(self.job.max_attempt_tokens);
        (needed > self.caller.token_budget()).then(|| self.give_up(COMEBACK))
    }

    /// Completes once the caller is gone, which a caller that was sent away never is.
    async fn departed<T>(&self) -> Option<T> {
        while self.gone.recv().await.is_ok() {}
        if self.sent_away.get() {
            std::future::pending::<()>().await;
        }
        None
    }

    /// Completes once the caller is gone and the attempt may stop.
    async fn abandoned<T>(&self) -> Option<T> {
        self.departed::<T>().await;
        if !self.machine.borrow().may_cancel() {
            std::future::pending::<()>().await;
        }
        None
    }

    /// No further attempt: the last answer stands, if there was one.
    fn give_up(&self, retry_after: Duration) -> CallOutcome {
        match self.error.take() {
            Some(reply) => CallOutcome::Answered(reply),
            None => self.given_up(self.end(), retry_after),
        }
    }

    fn given_up(&self, execution: ExecutionStatus, retry_after: Duration) -> CallOutcome {
        CallOutcome::Failed { execution, detail: self.detail.borrow().clone(), retry_after }
    }

    fn end(&self) -> ExecutionStatus {
        self.machine.borrow_mut().end()
    }

    fn add(&self, change: impl FnOnce(&mut CallStats)) {
        let mut now = self.times.get();
        change(&mut now);
        self.times.set(now);
    }
}
