//! One call from its arrival to its settlement in the ledger.
//!
//! Nothing is sent before `Begin` is committed, and the caller gets the end of its answer only after
//! `Finish` is; see docs/design/002-ledger-and-at-most-once.md. The steps before the call is sent stand in
//! `begin.rs`, those after it in [`crate::entry::settle`].

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
use crate::entry::calls::Parts;
use crate::entry::calls::Planned;
use crate::entry::known::Known;
use crate::entry::problem::Problem;
use crate::entry::problem::Told;
use crate::entry::routes;
use crate::ids::AttemptId;
use crate::ports::GroupError;
use crate::ports::Labels;
use crate::ports::Measure;
use crate::programs::command::Answer;
use crate::programs::command::ProgramCommand;
use crate::programs::command::ProgramReply;
use crate::programs::command::ProgramView;

/// Class under which refusals count whose program was not found.
const NO_CLASS: &str = "none";

/// One call that this node carries through; its attempt counts as active for as long as it lives.
pub(super) struct Carried<'a> {
    pub(super) entry: &'a Rc<ApiServer>,
    pub(super) planned: &'a Planned,
    pub(super) attempt: AttemptId,
    pub(super) reserve: Cell<u64>,
    pub(super) begun: Cell<bool>,
    pub(super) held_back: RefCell<Option<Result<Answer, Problem>>>,
    pub(super) owed: RefCell<Option<ProgramCommand>>,
    parts: &'a Parts,
    arrived: Timestamp,
    labels: RefCell<Labels>,
    committing: Cell<Duration>,
    last_piece: Cell<Option<Timestamp>>,
}

/// What became of the begin of a call.
pub(super) enum Begun {
    /// This attempt holds the call.
    New(ProgramView),
    /// The request was answered earlier.
    Settled(Answer),
}

/// Carries one call through and tells its end. A settlement that the ledger did not take is tried
/// again after the caller has been told, since nobody shall wait for it.
pub async fn run(entry: &Rc<ApiServer>, planned: &Planned, parts: &Parts, gone: &Receiver<()>) {
    let carried = Carried::new(entry, planned, parts);
    let result = carried.through(gone).await;
    parts.end(result);
    carried.pay().await;
}

impl Drop for Carried<'_> {
    fn drop(&mut self) {
        self.entry.state.active.borrow_mut().remove(&self.attempt);
    }
}

impl Caller for Carried<'_> {
    fn admit(&self) -> LocalBoxFuture<'_, bool> {
        Box::pin(async move {
            if self.begun.get() {
                return true;
            }
            match self.begin().await {
                Ok(Begun::New(_)) => return true,
                Ok(Begun::Settled(answer)) => self.held_back.replace(Some(Ok(answer))),
                Err(problem) => self.held_back.replace(Some(Err(problem))),
            };
            false
        })
    }

    fn token_budget(&self) -> u64 {
        self.reserve.get()
    }

    fn on_event(&self, bytes: &[u8]) {
        let now = self.entry.clock.now();
        let measure = match self.last_piece.replace(Some(now)) {
            None => Measure::FirstToken(now.since(self.arrived)),
            Some(last) => Measure::BetweenTokens(now.since(last)),
        };
        self.entry.recorder.record(&self.labels.borrow(), &measure);
        self.parts.piece(bytes);
    }

    fn on_interrupted(&self) {
        self.parts.broke_off();
    }
}

impl<'a> Carried<'a> {
    fn new(entry: &'a Rc<ApiServer>, planned: &'a Planned, parts: &'a Parts) -> Self {
        let attempt = entry.next_attempt();
        entry.state.active.borrow_mut().insert(attempt);
        let partner = planned.outgoing.program.partner.clone();
        Self {
            entry,
            planned,
            attempt,
            reserve: Cell::new(planned.cost),
            begun: Cell::new(false),
            held_back: RefCell::default(),
            owed: RefCell::default(),
            parts,
            arrived: entry.clock.now(),
            labels: RefCell::new(Labels { partner, class: NO_CLASS.into() }),
            committing: Cell::default(),
            last_piece: Cell::default(),
        }
    }

    async fn through(&self, gone: &Receiver<()>) -> Result<Answer, Problem> {
        let result = self.attempt(gone).await;
        result.map_err(|problem| self.counted(problem))
    }

    async fn attempt(&self, gone: &Receiver<()>) -> Result<Answer, Problem> {
        if let Some(refusal) = &self.planned.refusal {
            return self.refused(refusal.clone()).await;
        }
        let known = match self.known() {
            Some(known) => known,
            None => match self.begin().await? {
                Begun::New(view) => {
                    Known { root: self.root_of(&view).await, view, answered_at: 0, base: None }
                }
                Begun::Settled(answer) => return Ok(answer),
            },
        };
        self.labels.borrow_mut().class = known.view.spec.class.clone();
        self.entry.state.known.learn(&known.view, known.root.clone());
        self.entry.dispatcher.configure(&self.entry.control.configuration());
        let times = Cell::new(CallStats::default());
        let outcome = self.entry.dispatcher.run(&self.job(known), self, gone, &times).await;
        let settled = self.settle(outcome, times.get().lost_tokens).await;
        self.measure(times.get());
        settled
    }

    fn job(&self, known: Known) -> OutgoingCall {
        OutgoingCall {
            root: known.root,
            team: known.view.spec.team.clone(),
            class: known.view.spec.class.clone(),
            work: self.planned.work.clone(),
            deadline: self.planned.timeout.map(|span| self.arrived + span),
            max_attempt_tokens: self.planned.cost,
            request: self.planned.outgoing.clone(),
        }
    }

    /// Commits a command and keeps account of the time that takes.
    pub(super) async fn submit(&self, command: ProgramCommand) -> Result<ProgramReply, GroupError> {
        let since = self.entry.clock.now();
        let reply = self.entry.ledger.commit(command).await;
        let span = self.entry.clock.now().since(since);
        self.committing.set(self.committing.get() + span);
        if let Ok(ProgramReply::Done(view)) = &reply {
            self.entry.state.known.refresh(view);
            let labels = Labels { class: view.spec.class.clone(), ..self.labels.borrow().clone() };
            self.entry.recorder.record(&labels, &Measure::Commit(span));
        }
        reply
    }

    fn counted(&self, problem: Problem) -> Problem {
        let labels = self.labels.borrow();
        match problem.outcome {
            Told::NotRun => routes::counted(self.entry, &labels, problem),
            Told::Unknown => {
                self.entry.recorder.record(&labels, &Measure::Unknown);
                problem
            }
        }
    }

    pub(super) fn measure_answer(&self, reply: &BackendReply) {
        let (recorder, labels) = (&self.entry.recorder, self.labels.borrow());
        recorder.record(&labels, &Measure::Tokens(reply.usage.output));
        if self.last_piece.get().is_none() {
            let span = self.entry.clock.now().since(self.arrived);
            recorder.record(&labels, &Measure::FirstToken(span));
        }
    }

    fn measure(&self, times: CallStats) {
        let (recorder, labels) = (&self.entry.recorder, self.labels.borrow());
        let total = self.entry.clock.now().since(self.arrived);
        let waited = times.queue_time + times.service_time + self.committing.get();
        recorder.record(&labels, &Measure::QueueWait(times.queue_time));
        recorder.record(&labels, &Measure::AddedTime(total.saturating_sub(waited)));
        for _ in 1..times.attempts {
            recorder.record(&labels, &Measure::Retried("failed"));
        }
    }
}
