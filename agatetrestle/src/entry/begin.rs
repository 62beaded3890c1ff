//! Begins a call: looks up earlier requests with the same key and opens the call in the ledger.

use std::sync::Arc;

use crate::attempts::ExecutionStatus;
use crate::entry::ApiServer;
use crate::entry::call_task::CallStart;
use crate::entry::call_task::CallTask;
use crate::entry::problem::Problem;
use crate::entry::problem::ProblemReason;
use crate::entry::problem::RunOutcome;
use crate::entry::programs;
use crate::entry::programs::RETRY_AFTER;
use crate::entry::recent_programs::RecentProgram;
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

/// Levels of parents that are followed to find the root program of a sub-agent.
const MAX_PARENT_DEPTH: u32 = 64;

/// State of a member that has stopped sending heartbeats.
const SILENT_STATE: &str = "silent";

impl CallTask<'_> {
    /// The cached program, if this is its next call. Such a call is queued first and begun just before it is
    /// sent. Any other call may be a resend, so it is begun in the ledger before it is queued.
    pub(super) fn expected_program(&self) -> Option<RecentProgram> {
        routes::require_accepting_work(self.server).ok()?;
        let request = &self.call.request;
        let cached = self.server.state.recent_programs.get(&request.program)?;
        (cached.view.next_call == request.call && !cached.view.ended).then_some(cached)
    }

    pub(super) async fn begin(&self) -> Result<CallStart, Problem> {
        if let Err(problem) = routes::require_accepting_work(self.server) {
            return self.resolve_refusal(problem).await.map(CallStart::Answered);
        }
        self.reserve.set(self.reservation());
        let reply = match self.submit(self.begin_command()).await {
            // `Begin` is idempotent: if the first one was applied, the second gets the same reply.
            Err(GroupError::Unknown { .. }) => self.submit(self.begin_command()).await,
            reply => reply,
        };
        match reply {
            Ok(ProgramReply::Done(view)) => Ok(self.mark_begun(view)),
            Ok(ProgramReply::Stored(answer)) => Ok(CallStart::Answered(answer)),
            Ok(ProgramReply::InProgress(holder)) => self.resume_open_call(holder).await,
            Ok(ProgramReply::InDoubt(_)) => Err(programs::in_doubt()),
            Ok(ProgramReply::Refused(refusal)) => Err(refusal.into()),
            Err(e) => self.begin_failed(&e).await.map(CallStart::Answered),
        }
    }

    /// Tokens to reserve. Attempts are limited by the reservation, so it covers a retry if the budget is known
    /// to allow that.
    fn reservation(&self) -> u64 {
        let cost = self.call.cost;
        let with_retry = cost.saturating_mul(2);
        let cached = self.server.state.recent_programs.get(&self.call.request.program);
        let left = cached.map_or(0, |cached| {
            let view = cached.view;
            view.spec.budget.saturating_sub(view.spent).saturating_sub(view.reserved)
        });
        if left >= with_retry { with_retry } else { cost }
    }

    fn begin_command(&self) -> ProgramCommand {
        let request = &self.call.request;
        ProgramCommand::Begin {
            program: request.program.clone(),
            call: request.call,
            key: request.key.clone(),
            attempt: self.attempt,
            reserve: self.reserve.get(),
            repeatable: request.repeatable,
            request: self.request_record(),
            digest: self.call.digest,
        }
    }

    /// The request as the history stores it: only the new messages where it continues an earlier call.
    fn request_record(&self) -> Arc<[u8]> {
        let cached = self.server.state.recent_programs.get(&self.call.request.program);
        let base = cached.and_then(|cached| cached.base);
        let conversation = self.call.conversation.as_ref().zip(base);
        let delta = conversation.and_then(|(conversation, base)| conversation.delta_from(&base));
        delta.map_or_else(|| self.call.original_body.clone(), Arc::from)
    }

    fn mark_begun(&self, view: ProgramView) -> CallStart {
        self.begun.set(true);
        self.lost_before.set(view.lost_servers);
        CallStart::Begun(view)
    }

    /// Handles a `Begin` without a reply. Nothing was sent; a `Begin` that may still be applied is undone with
    /// `NotRun`.
    async fn begin_failed(&self, e: &GroupError) -> Result<Answer, Problem> {
        if let GroupError::Unknown { .. } = e {
            self.end_attempt(ExecutionStatus::NotRun, 0).await;
        }
        let problem = Problem::not_run(503, ProblemReason::Ledger, format!("nothing was sent: {e}"));
        self.resolve_refusal(problem.retry_after(RETRY_AFTER)).await
    }

    /// Refuses the request unless the ledger has an earlier one with the same key: the request may be a resend
    /// of one that ran on another node. Without a reply of the ledger the outcome is unknown.
    pub(super) async fn resolve_refusal(&self, problem: Problem) -> Result<Answer, Problem> {
        match self.query_request().await {
            Ok(ProgramReply::Stored(answer)) => Ok(answer),
            Ok(ProgramReply::InProgress(holder)) if holder == self.attempt => Err(problem),
            Ok(ProgramReply::InProgress(_)) => Err(programs::in_progress()),
            Ok(ProgramReply::InDoubt(_)) => Err(programs::in_doubt()),
            Ok(_) => Err(problem),
            Err(e) => {
                let detail = format!("{}; {e}", problem.detail).into();
                Err(Problem { outcome: RunOutcome::Unknown, detail, ..problem })
            }
        }
    }

    /// Looks up the key of the request in the ledger.
    pub(super) async fn query_request(&self) -> Result<ProgramReply, GroupError> {
        let request = &self.call.request;
        let query = ProgramQuery::Request(request.program.clone(), request.key.clone());
        match self.server.ledger.query(query).await? {
            QueryReply::One(reply) => Ok(reply),
            QueryReply::Many(_) => Ok(ProgramReply::Refused(Refusal::WrongState)),
        }
    }

    /// Handles a call that is open for another attempt. If that attempt has ended, a repeatable call is taken
    /// over and any other is marked as unknown.
    async fn resume_open_call(&self, holder: AttemptId) -> Result<CallStart, Problem> {
        if may_still_run(self.server, holder) {
            return Err(programs::in_progress());
        }
        let request = &self.call.request;
        let (program, call) = (request.program.clone(), request.call);
        if request.repeatable == Repeatable::No {
            let command = ProgramCommand::Unknown { program, call, attempt: holder, lost_servers: 0 };
            let reply = self.submit(command).await.map_err(|e| programs::unknown_outcome(&e))?;
            return match reply {
                ProgramReply::Stored(answer) => Ok(CallStart::Answered(answer)),
                _ => Err(programs::in_doubt()),
            };
        }
        let command = ProgramCommand::TakeOver { program, call, previous: holder, attempt: self.attempt };
        match self.submit(command).await.map_err(|e| programs::unknown_outcome(&e))? {
            ProgramReply::Done(view) => Ok(self.mark_begun(view)),
            ProgramReply::Stored(answer) => Ok(CallStart::Answered(answer)),
            ProgramReply::InDoubt(_) => Err(programs::in_doubt()),
            ProgramReply::InProgress(_) | ProgramReply::Refused(_) => Err(programs::in_progress()),
        }
    }

    /// The outermost ancestor of a program, or the program itself.
    pub(super) async fn root_program(&self, view: &ProgramView) -> ProgramId {
        if let Some(cached) = self.server.state.recent_programs.get(&view.program) {
            return cached.root;
        }
        let mut root = view.program.clone();
        let mut next_parent = view.spec.parent.clone();
        for _ in 0..MAX_PARENT_DEPTH {
            let Some(parent) = next_parent else {
                break;
            };
            let reply = self.server.ledger.query(ProgramQuery::Program(parent.clone())).await;
            next_parent = match reply {
                Ok(QueryReply::One(ProgramReply::Done(view))) => view.spec.parent,
                _ => None,
            };
            root = parent;
        }
        root
    }
}

/// Whether an attempt may still be running. An attempt of a node without heartbeats counts as ended, although the
/// node may only be paused: the ledger refuses commands of an attempt that has been replaced.
fn may_still_run(server: &ApiServer, attempt: AttemptId) -> bool {
    if attempt.node == server.node {
        let same_incarnation = attempt.incarnation == server.incarnation;
        return same_incarnation && server.state.active_attempts.borrow().contains(&attempt);
    }
    let members = server.members.members();
    let holder = members.iter().find(|member| member.node == attempt.node);
    holder.is_some_and(|member| member.incarnation == attempt.incarnation && &*member.state != SILENT_STATE)
}
