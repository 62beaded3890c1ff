//! The begin of a call: what the ledger knows of the request, and whether this node may go on with it.

use std::sync::Arc;

use crate::attempts::ExecutionStatus;
use crate::entry::ApiServer;
use crate::entry::carry::Begun;
use crate::entry::carry::Carried;
use crate::entry::known::Known;
use crate::entry::problem::Problem;
use crate::entry::problem::Reason;
use crate::entry::problem::Told;
use crate::entry::programs;
use crate::entry::programs::COMEBACK;
use crate::entry::routes;
use crate::ids::AttemptId;
use crate::ids::ProgramId;
use crate::ports::GroupError;
use crate::programs::command::Answer;
use crate::programs::command::ProgramCommand;
use crate::programs::command::ProgramQuery;
use crate::programs::command::ProgramReply;
use crate::programs::command::ProgramView;
use crate::programs::command::QueryReply;
use crate::programs::command::Refusal;
use crate::programs::command::Repeatable;

/// Deepest nesting of sub-agents that is followed to find the outermost program.
const ROOT_DEPTH: u32 = 64;

/// State in which the members list a node that is not heard of.
const SILENT: &str = "silent";

impl Carried<'_> {
    /// The program, where this is its next call by all that is known here. Such a call is queued first
    /// and begins when it is about to be sent; any other may be a resend and asks the ledger at once.
    pub(super) fn known(&self) -> Option<Known> {
        routes::taking_work(self.entry).ok()?;
        let out = &self.planned.outgoing;
        let known = self.entry.state.known.get(&out.program)?;
        (known.view.next_call == out.call && !known.view.ended).then_some(known)
    }

    pub(super) async fn begin(&self) -> Result<Begun, Problem> {
        if let Err(problem) = routes::taking_work(self.entry) {
            return self.refused(problem).await.map(Begun::Settled);
        }
        self.reserve.set(self.wanted_reserve());
        let reply = match self.submit(self.opening()).await {
            // The same begin again is answered as the first, if that one was applied.
            Err(GroupError::Unknown { .. }) => self.submit(self.opening()).await,
            reply => reply,
        };
        match reply {
            Ok(ProgramReply::Done(view)) => Ok(self.holds(view)),
            Ok(ProgramReply::Stored(answer)) => Ok(Begun::Settled(answer)),
            Ok(ProgramReply::InProgress(held)) => self.resume(held).await,
            Ok(ProgramReply::InDoubt(_)) => Err(programs::in_doubt()),
            Ok(ProgramReply::Refused(refusal)) => Err(refusal.into()),
            Err(e) => self.not_begun(&e).await.map(Begun::Settled),
        }
    }

    /// Enough for a second attempt where the budget is known to hold it; another attempt is made only
    /// within the reservation.
    fn wanted_reserve(&self) -> u64 {
        let cost = self.planned.cost;
        let twice = cost.saturating_mul(2);
        let known = self.entry.state.known.get(&self.planned.outgoing.program);
        let left = known.map_or(0, |known| {
            let view = known.view;
            view.spec.budget.saturating_sub(view.spent).saturating_sub(view.reserved)
        });
        if left >= twice { twice } else { cost }
    }

    fn opening(&self) -> ProgramCommand {
        let out = &self.planned.outgoing;
        ProgramCommand::Begin {
            program: out.program.clone(),
            call: out.call,
            key: out.key.clone(),
            attempt: self.attempt,
            reserve: self.reserve.get(),
            repeatable: out.repeatable,
            request: self.recorded(),
            digest: self.planned.digest,
        }
    }

    /// The request as the history keeps it.
    fn recorded(&self) -> Arc<[u8]> {
        let known = self.entry.state.known.get(&self.planned.outgoing.program);
        let base = known.and_then(|known| known.base);
        let continued = self.planned.conversation.as_ref().zip(base);
        let gained = continued.and_then(|(conversation, base)| conversation.since(&base));
        gained.map_or_else(|| self.planned.request.clone(), Arc::from)
    }

    fn holds(&self, view: ProgramView) -> Begun {
        self.begun.set(true);
        Begun::New(view)
    }

    /// The begin got no reply. Nothing was sent and nothing will be; a begin that may yet be applied is
    /// taken back.
    async fn not_begun(&self, e: &GroupError) -> Result<Answer, Problem> {
        if let GroupError::Unknown { .. } = e {
            self.end_attempt(ExecutionStatus::NotRun).await;
        }
        let problem = Problem::not_run(503, Reason::Ledger, format!("nothing was sent: {e}"));
        self.refused(problem.retry_after(COMEBACK)).await
    }

    /// Nothing is done for the request. It gets its stored answer again, or the refusal. That it did not
    /// run is told only where the ledger itself does not know the request, since it may be a resend of one
    /// that another node ran.
    pub(super) async fn refused(&self, problem: Problem) -> Result<Answer, Problem> {
        match self.ask().await {
            Ok(ProgramReply::Stored(answer)) => Ok(answer),
            Ok(ProgramReply::InProgress(held)) if held == self.attempt => Err(problem),
            Ok(ProgramReply::InProgress(_)) => Err(programs::in_progress()),
            Ok(ProgramReply::InDoubt(_)) => Err(programs::in_doubt()),
            Ok(_) => Err(problem),
            Err(e) => {
                let detail = format!("{}; {e}", problem.detail).into();
                Err(Problem { outcome: Told::Unknown, detail, ..problem })
            }
        }
    }

    /// What the ledger knows of the request.
    pub(super) async fn ask(&self) -> Result<ProgramReply, GroupError> {
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
            let reply = self.submit(command).await.map_err(|e| programs::unanswered(&e))?;
            return match reply {
                ProgramReply::Stored(answer) => Ok(Begun::Settled(answer)),
                _ => Err(programs::in_doubt()),
            };
        }
        let command = ProgramCommand::TakeOver { program, call, previous: held, attempt: self.attempt };
        match self.submit(command).await.map_err(|e| programs::unanswered(&e))? {
            ProgramReply::Done(view) => Ok(self.holds(view)),
            ProgramReply::Stored(answer) => Ok(Begun::Settled(answer)),
            ProgramReply::InDoubt(_) => Err(programs::in_doubt()),
            ProgramReply::InProgress(_) | ProgramReply::Refused(_) => Err(programs::in_progress()),
        }
    }

    /// The outermost program of which this one is a sub-agent, or the program itself.
    pub(super) async fn root_of(&self, view: &ProgramView) -> ProgramId {
        if let Some(known) = self.entry.state.known.get(&view.program) {
            return known.root;
        }
        let mut root = view.program.clone();
        let mut parent = view.spec.parent.clone();
        for _ in 0..ROOT_DEPTH {
            let Some(next) = parent else {
                break;
            };
            let reply = self.entry.ledger.query(ProgramQuery::Program(next.clone())).await;
            parent = match reply {
                Ok(QueryReply::One(ProgramReply::Done(view))) => view.spec.parent,
                _ => None,
            };
            root = next;
        }
        root
    }
}

/// Whether somebody may still be working on an attempt. A node that is merely silent may be paused; its
/// attempt is over for our purposes, since the ledger takes its word no more once it is replaced.
fn is_carried_on(entry: &ApiServer, attempt: AttemptId) -> bool {
    if attempt.node == entry.node {
        let same = attempt.incarnation == entry.incarnation;
        return same && entry.state.active.borrow().contains(&attempt);
    }
    let members = entry.members.members();
    let holder = members.iter().find(|member| member.node == attempt.node);
    holder.is_some_and(|member| member.incarnation == attempt.incarnation && &*member.state != SILENT)
}
