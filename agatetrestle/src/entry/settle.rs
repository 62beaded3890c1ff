//! One call from its `Begin` to its settlement in the ledger.
//!
//! Nothing is sent before `Begin` is committed, and the caller gets the end of its answer only after
//! `Finish` is. Each ending of an attempt has exactly one command that is true of it.

use std::cell::Cell;
use std::cell::RefCell;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use smol::channel::Receiver;

use crate::attempts::Ending;
use crate::attempts::Job;
use crate::attempts::NOBODY;
use crate::attempts::Outcome;
use crate::attempts::Reply;
use crate::attempts::Times;
use crate::entry::Entry;
use crate::entry::calls::Parts;
use crate::entry::calls::Planned;
use crate::entry::problem::Problem;
use crate::entry::problem::Reason;
use crate::entry::problem::Told;
use crate::entry::programs;
use crate::entry::programs::COMEBACK;
use crate::entry::routes;
use crate::entry::timed::Timed;
use crate::ids::AttemptId;
use crate::ids::ProgramId;
use crate::ports::GroupError;
use crate::ports::Labels;
use crate::ports::Measure;
use crate::programs::command::Answer;
use crate::programs::command::ProgramCommand;
use crate::programs::command::ProgramQuery;
use crate::programs::command::ProgramReply;
use crate::programs::command::ProgramView;
use crate::programs::command::QueryReply;
use crate::programs::command::Refusal;
use crate::programs::command::Repeatable;

/// How often a settlement is tried before it is left to the caller's next request.
const SETTLE_TRIES: u32 = 60;

/// How often the answer is tried to be stored before the caller is told to ask again.
const STORE_TRIES: u32 = 3;

/// Pause between two tries.
const SETTLE_PAUSE: Duration = Duration::from_millis(500);

/// Programs whose outermost program is kept at hand.
const ROOTS_KEPT: usize = 10_000;

/// Class under which refusals count whose program was not found.
const NO_CLASS: &str = "none";

/// Deepest nesting of sub-agents that is followed to find the outermost program.
const ROOT_DEPTH: u32 = 64;

/// One call that this node carries through; its attempt counts as active for as long as it lives.
struct Carried<'a> {
    entry: &'a Rc<Entry>,
    planned: &'a Planned,
    attempt: AttemptId,
    owed: RefCell<Option<ProgramCommand>>,
}

enum Begun {
    New(ProgramView),
    Settled(Answer),
}

/// Carries one call through and tells its end. A settlement that the ledger did not take is tried
/// again after the caller has been told, since nobody shall wait for it.
pub async fn run(entry: &Rc<Entry>, planned: &Planned, parts: &Parts, gone: &Receiver<()>) {
    let carried = Carried::new(entry, planned);
    let result = carried.through(parts, gone).await;
    parts.end(result);
    carried.pay().await;
}

impl Drop for Carried<'_> {
    fn drop(&mut self) {
        self.entry.state.active.borrow_mut().remove(&self.attempt);
    }
}

impl<'a> Carried<'a> {
    fn new(entry: &'a Rc<Entry>, planned: &'a Planned) -> Self {
        let attempt = entry.next_attempt();
        entry.state.active.borrow_mut().insert(attempt);
        Self { entry, planned, attempt, owed: RefCell::default() }
    }

    async fn through(&self, parts: &Parts, gone: &Receiver<()>) -> Result<Answer, Problem> {
        let entry = self.entry;
        let program = &self.planned.outgoing.program;
        let arrived = entry.clock.now();
        let mut labels = Labels { partner: program.partner.clone(), class: NO_CLASS.into() };
        let view = match self.begin().await {
            Ok(Begun::New(view)) => view,
            Ok(Begun::Settled(answer)) => return Ok(answer),
            Err(problem) => return Err(self.counted(&labels, problem)),
        };
        labels.class = view.spec.class.clone();
        entry.recorder.record(&labels, &Measure::Commit(entry.clock.now().since(arrived)));
        entry.calls.configure(&entry.control.configuration());
        let job = Job {
            root: root_of(entry, &view).await,
            team: view.spec.team.clone(),
            class: view.spec.class.clone(),
            work: self.planned.work.clone(),
            deadline: self.planned.timeout.map(|span| arrived + span),
            outgoing: self.planned.outgoing.clone(),
        };
        let times = Cell::new(Times::default());
        let caller = Timed::new(parts, &*entry.recorder, &labels, entry.clock, arrived);
        let outcome = entry.calls.run(&job, &caller, gone, &times).await;
        if let Outcome::Answered(reply) = &outcome
            && reply.usage.output > 0
        {
            entry.recorder.record(&labels, &Measure::Tokens(reply.usage.output));
        }
        let settled = self.settle(outcome).await;
        self.measure(&labels, times.get(), entry.clock.now().since(arrived));
        settled.map_err(|problem| self.counted(&labels, problem))
    }

    async fn begin(&self) -> Result<Begun, Problem> {
        if let Err(problem) = routes::taking_work(self.entry) {
            return self.stored_only(problem).await;
        }
        let out = &self.planned.outgoing;
        let command = ProgramCommand::Begin {
            program: out.program.clone(),
            call: out.call,
            key: out.key.clone(),
            attempt: self.attempt,
            reserve: self.planned.reserve,
            repeatable: out.repeatable,
            request: self.planned.request.clone(),
            digest: self.planned.digest,
        };
        match self.entry.ledger.commit(command).await {
            Ok(ProgramReply::Done(view)) => Ok(Begun::New(view)),
            Ok(ProgramReply::Stored(answer)) => Ok(Begun::Settled(answer)),
            Ok(ProgramReply::InProgress(held)) => self.resume(held).await,
            Ok(ProgramReply::InDoubt(_)) => Err(programs::in_doubt()),
            Ok(ProgramReply::Refused(refusal)) => Err(refusal.into()),
            Err(e @ GroupError::NotProposed { .. }) => Err(programs::uncommitted(&e)),
            Err(e @ GroupError::Unknown { .. }) => {
                self.owed.replace(Some(self.ended(Ending::NotRun)));
                let detail = format!("nothing was sent: {e}");
                Err(Problem::not_run(503, Reason::Ledger, detail).retry_after(COMEBACK))
            }
        }
    }

    /// A node that takes no new work still gives stored answers again.
    async fn stored_only(&self, problem: Problem) -> Result<Begun, Problem> {
        match self.ask().await {
            Ok(ProgramReply::Stored(answer)) => Ok(Begun::Settled(answer)),
            Ok(ProgramReply::InProgress(_)) => Err(programs::in_progress()),
            Ok(ProgramReply::InDoubt(_)) => Err(programs::in_doubt()),
            Ok(_) => Err(problem),
            Err(e) => Err(programs::unanswered(&e)),
        }
    }

    async fn ask(&self) -> Result<ProgramReply, GroupError> {
        let out = &self.planned.outgoing;
        let query = ProgramQuery::Request(out.program.clone(), out.key.clone());
        match self.entry.ledger.query(query).await? {
            QueryReply::One(reply) => Ok(reply),
            QueryReply::Many(_) => Ok(ProgramReply::Refused(Refusal::WrongState)),
        }
    }

    /// The request was begun earlier and is open: goes on with it where its attempt is surely over.
    async fn resume(&self, held: AttemptId) -> Result<Begun, Problem> {
        if is_carried_on(self.entry, held) {
            return Err(programs::in_progress());
        }
        let out = &self.planned.outgoing;
        let (program, call) = (out.program.clone(), out.call);
        if out.repeatable == Repeatable::No {
            let command = ProgramCommand::Unknown { program, call, attempt: held };
            let reply = self.entry.ledger.commit(command).await.map_err(|e| programs::unanswered(&e))?;
            return match reply {
                ProgramReply::Stored(answer) => Ok(Begun::Settled(answer)),
                _ => Err(programs::in_doubt()),
            };
        }
        let command = ProgramCommand::TakeOver { program, call, previous: held, attempt: self.attempt };
        match self.entry.ledger.commit(command).await.map_err(|e| programs::unanswered(&e))? {
            ProgramReply::Done(view) => Ok(Begun::New(view)),
            ProgramReply::Stored(answer) => Ok(Begun::Settled(answer)),
            ProgramReply::InDoubt(_) => Err(programs::in_doubt()),
            ProgramReply::InProgress(_) | ProgramReply::Refused(_) => Err(programs::in_progress()),
        }
    }

    async fn settle(&self, outcome: Outcome) -> Result<Answer, Problem> {
        match outcome {
            Outcome::Answered(reply) => self.finish(reply).await,
            Outcome::Refused { reason, retry_after } => {
                self.end_attempt(Ending::NotRun).await;
                let problem = Problem::not_run(503, reason.into(), "the call was turned away");
                Err(problem.retry_after(retry_after))
            }
            Outcome::GivenUp { ending, detail, retry_after } => {
                self.end_attempt(ending).await;
                Err(given_up(ending, detail, retry_after))
            }
            Outcome::Cancelled(ending) => {
                self.end_attempt(ending).await;
                Err(given_up(ending, "the caller went away".into(), COMEBACK))
            }
        }
    }

    async fn finish(&self, reply: Reply) -> Result<Answer, Problem> {
        let out = &self.planned.outgoing;
        let reserve = self.planned.reserve;
        let spent = reply.usage.prompt.saturating_add(reply.usage.output);
        if spent > reserve {
            log::warn!("{} spent {spent} tokens with {reserve} reserved.", out.program);
        }
        let command = ProgramCommand::Finish {
            program: out.program.clone(),
            call: out.call,
            attempt: self.attempt,
            answer: reply.answer.clone(),
            spent: spent.min(reserve),
        };
        match self.commit(&command, STORE_TRIES).await {
            Some(ProgramReply::Done(_)) => Ok(reply.answer),
            Some(ProgramReply::Stored(answer)) => Ok(answer),
            Some(_) => self.asked_again().await,
            None => {
                self.owed.replace(Some(command));
                self.asked_again().await
            }
        }
    }

    /// The answer was not stored, or the reply was lost: the ledger says what is true.
    async fn asked_again(&self) -> Result<Answer, Problem> {
        match self.ask().await {
            Ok(ProgramReply::Stored(answer)) => Ok(answer),
            Ok(ProgramReply::InDoubt(_)) => Err(programs::in_doubt()),
            Ok(_) | Err(_) => {
                let detail = "the answer is not stored yet; ask again with the same key";
                Err(Problem::unknown(503, Reason::Ledger, detail).retry_after(COMEBACK))
            }
        }
    }

    /// The one command that is true of an ending.
    fn ended(&self, ending: Ending) -> ProgramCommand {
        let program = self.planned.outgoing.program.clone();
        let call = self.planned.outgoing.call;
        let attempt = self.attempt;
        match ending {
            Ending::NotRun => ProgramCommand::NotRun { program, call, attempt },
            Ending::Unknown => ProgramCommand::Unknown { program, call, attempt },
            Ending::Open => {
                let nobody = AttemptId { node: NOBODY, ..attempt };
                ProgramCommand::TakeOver { program, call, previous: attempt, attempt: nobody }
            }
        }
    }

    async fn end_attempt(&self, ending: Ending) {
        let command = self.ended(ending);
        if self.commit(&command, 1).await.is_none() {
            self.owed.replace(Some(command));
        }
    }

    /// Commits what the ledger did not take while the caller waited.
    async fn pay(&self) {
        let owed = self.owed.take();
        if let Some(command) = owed
            && self.commit(&command, SETTLE_TRIES).await.is_none()
        {
            log::error!("Call {} of a program stays open in the ledger.", self.planned.outgoing.call.0);
        }
    }

    /// Commits a settlement, trying again while the reply is missing: each is harmless twice.
    async fn commit(&self, command: &ProgramCommand, tries: u32) -> Option<ProgramReply> {
        for tried in 0..tries {
            if tried > 0 {
                self.entry.timer.after(SETTLE_PAUSE).await;
            }
            match self.entry.ledger.commit(command.clone()).await {
                Ok(reply) => return Some(reply),
                Err(e) => log::warn!("A settlement got no reply: {e}."),
            }
        }
        None
    }

    fn counted(&self, labels: &Labels, problem: Problem) -> Problem {
        match problem.outcome {
            Told::NotRun => routes::counted(self.entry, labels, problem),
            Told::Unknown => {
                self.entry.recorder.record(labels, &Measure::Unknown);
                problem
            }
        }
    }

    fn measure(&self, labels: &Labels, times: Times, total: Duration) {
        let recorder = &self.entry.recorder;
        recorder.record(labels, &Measure::QueueWait(times.queued));
        recorder.record(labels, &Measure::AddedTime(total.saturating_sub(times.queued + times.served)));
        for _ in 1..times.attempts {
            recorder.record(labels, &Measure::Retried("failed"));
        }
    }
}

fn given_up(ending: Ending, detail: Arc<str>, retry_after: Duration) -> Problem {
    match ending {
        Ending::NotRun => Problem::not_run(503, Reason::Unreachable, detail).retry_after(retry_after),
        Ending::Open => Problem::unknown(502, Reason::Lost, detail).retry_after(retry_after),
        Ending::Unknown => Problem::unknown(502, Reason::InDoubt, detail),
    }
}

/// Whether somebody may still be working on an attempt. A node that is merely silent may be paused; its
/// attempt is over for our purposes, since the ledger takes its word no more once it is replaced.
fn is_carried_on(entry: &Entry, attempt: AttemptId) -> bool {
    if attempt.node == NOBODY {
        return false;
    }
    if attempt.node == entry.node {
        let same = attempt.incarnation == entry.incarnation;
        return same && entry.state.active.borrow().contains(&attempt);
    }
    let members = entry.members.members();
    let holder = members.iter().find(|member| member.node == attempt.node);
    holder.is_some_and(|member| {
        let state: &str = &member.state;
        member.incarnation == attempt.incarnation && state != "silent"
    })
}

async fn root_of(entry: &Entry, view: &ProgramView) -> ProgramId {
    if let Some(root) = entry.state.roots.borrow().get(&view.program) {
        return root.clone();
    }
    let mut root = view.program.clone();
    let mut parent = view.spec.parent.clone();
    for _ in 0..ROOT_DEPTH {
        let Some(next) = parent else {
            break;
        };
        let reply = entry.ledger.query(ProgramQuery::Program(next.clone())).await;
        parent = match reply {
            Ok(QueryReply::One(ProgramReply::Done(view))) => view.spec.parent,
            _ => None,
        };
        root = next;
    }
    let mut roots = entry.state.roots.borrow_mut();
    if roots.len() >= ROOTS_KEPT {
        roots.clear();
    }
    roots.insert(view.program.clone(), root.clone());
    root
}
