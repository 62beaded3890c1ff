//! The task that runs one call from arrival to settlement in the ledger.
//!
//! Nothing is sent before `Begin` is committed, and the last bytes of the answer reach the caller only after
//! `Finish` is committed; see docs/design/002-ledger-and-at-most-once.md. `begin.rs` has the steps before the
//! call is sent, [`crate::entry::settle`] those after it.

use std::cell::Cell;
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use futures::future::LocalBoxFuture;
use smol::channel::Receiver;

use crate::attempts::BackendReply;
use crate::attempts::CallStats;
use crate::attempts::Caller;
use crate::attempts::OutgoingCall;
use crate::clock::Timestamp;
use crate::entry::ApiServer;
use crate::entry::calls::ParsedCall;
use crate::entry::calls::ResponseSender;
use crate::entry::problem::Problem;
use crate::entry::problem::RunOutcome;
use crate::entry::recent_programs::RecentProgram;
use crate::entry::routes;
use crate::ids::AttemptId;
use crate::ports::GroupError;
use crate::ports::Labels;
use crate::ports::Measurement;
use crate::programs::command::Answer;
use crate::programs::command::ProgramCommand;
use crate::programs::command::ProgramReply;
use crate::programs::command::ProgramView;
use crate::suspects::record::MAX_LOSSES;

/// Class label of metrics while the program of the call is not known.
const NO_CLASS: &str = "none";

/// One call in progress on this node. Its attempt is registered as active until the task is dropped.
pub(super) struct CallTask<'a> {
    pub(super) server: &'a Rc<ApiServer>,
    pub(super) call: &'a ParsedCall,
    pub(super) attempt: AttemptId,
    pub(super) reserve: Cell<u64>,
    pub(super) begun: Cell<bool>,
    /// Servers that ended under earlier attempts at the request.
    pub(super) lost_before: Cell<u32>,
    pub(super) early_result: RefCell<Option<Result<Answer, Problem>>>,
    pub(super) pending_settlement: RefCell<Option<ProgramCommand>>,
    sender: &'a ResponseSender,
    arrived_at: Timestamp,
    labels: RefCell<Labels>,
    commit_time: Cell<Duration>,
    last_chunk_at: Cell<Option<Timestamp>>,
}

/// Outcome of beginning a call that was not refused.
pub(super) enum CallStart {
    /// The call is open in the ledger for this attempt.
    Begun(ProgramView),
    /// An earlier request with the same key already has a stored answer.
    Answered(Answer),
}

/// Runs one call and sends its result to the connection. A settlement that could not be committed is retried
/// afterwards, so that the caller does not wait for it.
pub async fn run(
    server: &Rc<ApiServer>,
    call: &ParsedCall,
    sender: &ResponseSender,
    disconnected: &Receiver<()>,
) {
    let task = CallTask::new(server, call, sender);
    let result = task.run(disconnected).await;
    sender.finish(result);
    task.commit_pending().await;
}

impl Drop for CallTask<'_> {
    fn drop(&mut self) {
        self.server.state.active_attempts.borrow_mut().remove(&self.attempt);
    }
}

impl Caller for CallTask<'_> {
    fn admit(&self) -> LocalBoxFuture<'_, bool> {
        Box::pin(async move {
            if self.begun.get() {
                return true;
            }
            match self.begin().await {
                Ok(CallStart::Begun(_)) => return true,
                Ok(CallStart::Answered(answer)) => self.early_result.replace(Some(Ok(answer))),
                Err(problem) => self.early_result.replace(Some(Err(problem))),
            };
            false
        })
    }

    fn token_budget(&self) -> u64 {
        self.reserve.get()
    }

    fn servers_to_lose(&self) -> u32 {
        u32::try_from(MAX_LOSSES).unwrap_or(u32::MAX).saturating_sub(self.lost_before.get())
    }

    fn on_event(&self, bytes: &[u8]) {
        let now = self.server.clock.now();
        let measure = match self.last_chunk_at.replace(Some(now)) {
            None => Measurement::FirstToken(now.since(self.arrived_at)),
            Some(previous) => Measurement::BetweenTokens(now.since(previous)),
        };
        self.server.recorder.record(&self.labels.borrow(), &measure);
        self.sender.send_chunk(bytes);
    }

    fn on_interrupted(&self) {
        self.sender.abort_stream();
    }
}

impl<'a> CallTask<'a> {
    fn new(server: &'a Rc<ApiServer>, call: &'a ParsedCall, sender: &'a ResponseSender) -> Self {
        let attempt = server.next_attempt();
        server.state.active_attempts.borrow_mut().insert(attempt);
        let partner = call.request.program.partner.clone();
        Self {
            server,
            call,
            attempt,
            reserve: Cell::new(call.cost),
            begun: Cell::new(false),
            lost_before: Cell::default(),
            early_result: RefCell::default(),
            pending_settlement: RefCell::default(),
            sender,
            arrived_at: server.clock.now(),
            labels: RefCell::new(Labels { partner, class: NO_CLASS.into() }),
            commit_time: Cell::default(),
            last_chunk_at: Cell::default(),
        }
    }

    async fn run(&self, disconnected: &Receiver<()>) -> Result<Answer, Problem> {
        let result = self.execute(disconnected).await;
        result.map_err(|problem| self.record_problem(problem))
    }

    async fn execute(&self, disconnected: &Receiver<()>) -> Result<Answer, Problem> {
        if let Some(refusal) = &self.call.refusal {
            return self.resolve_refusal(refusal.clone()).await;
        }
        let cached = match self.expected_program() {
            Some(cached) => cached,
            None => match self.begin().await? {
                CallStart::Begun(view) => {
                    RecentProgram { root: self.root_program(&view).await, view, answered_at: 0, base: None }
                }
                CallStart::Answered(answer) => return Ok(answer),
            },
        };
        self.labels.borrow_mut().class = cached.view.spec.class.clone();
        self.server.state.recent_programs.insert(&cached.view, cached.root.clone());
        self.server.dispatcher.configure(&self.server.control.configuration());
        let stats = Cell::new(CallStats::default());
        let outcome =
            self.server.dispatcher.run(&self.outgoing_call(cached), self, disconnected, &stats).await;
        let settled = self.settle(outcome, stats.get()).await;
        self.record_stats(stats.get());
        settled
    }

    fn outgoing_call(&self, cached: RecentProgram) -> OutgoingCall {
        OutgoingCall {
            root: cached.root,
            team: cached.view.spec.team.clone(),
            class: cached.view.spec.class.clone(),
            work: self.call.work.clone(),
            deadline: self.call.timeout.map(|timeout| self.arrived_at + timeout),
            max_attempt_tokens: self.call.cost,
            request: self.call.request.clone(),
        }
    }

    /// Commits a command, records the commit latency and updates the cached view of the program.
    pub(super) async fn submit(&self, command: ProgramCommand) -> Result<ProgramReply, GroupError> {
        let started = self.server.clock.now();
        let reply = self.server.ledger.commit(command).await;
        let latency = self.server.clock.now().since(started);
        self.commit_time.set(self.commit_time.get() + latency);
        if let Ok(ProgramReply::Done(view)) = &reply {
            self.server.state.recent_programs.update(view);
            let labels = Labels { class: view.spec.class.clone(), ..self.labels.borrow().clone() };
            self.server.recorder.record(&labels, &Measurement::Commit(latency));
        }
        reply
    }

    fn record_problem(&self, problem: Problem) -> Problem {
        let labels = self.labels.borrow();
        match problem.outcome {
            RunOutcome::NotRun => routes::record_refusal(self.server, &labels, problem),
            RunOutcome::Unknown => {
                self.server.recorder.record(&labels, &Measurement::UnknownOutcome);
                problem
            }
        }
    }

    pub(super) fn record_answer(&self, reply: &BackendReply) {
        let (recorder, labels) = (&self.server.recorder, self.labels.borrow());
        recorder.record(&labels, &Measurement::Tokens(reply.usage.output));
        if self.last_chunk_at.get().is_none() {
            let latency = self.server.clock.now().since(self.arrived_at);
            recorder.record(&labels, &Measurement::FirstToken(latency));
        }
    }

    fn record_stats(&self, stats: CallStats) {
        let (recorder, labels) = (&self.server.recorder, self.labels.borrow());
        let total = self.server.clock.now().since(self.arrived_at);
        let waited = stats.queue_time + stats.service_time + self.commit_time.get();
        recorder.record(&labels, &Measurement::QueueWait(stats.queue_time));
        recorder.record(&labels, &Measurement::AddedTime(total.saturating_sub(waited)));
        for _ in 1..stats.attempts {
            recorder.record(&labels, &Measurement::Retried("failed"));
        }
    }
}
