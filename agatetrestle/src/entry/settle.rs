//! Settles a call in the ledger: each outcome of an attempt maps to exactly one command.

use std::sync::Arc;
use std::time::Duration;

use crate::attempts::BackendReply;
use crate::attempts::CallOutcome;
use crate::attempts::CallStats;
use crate::attempts::ExecutionStatus;
use crate::entry::call_task::CallTask;
use crate::entry::problem::Problem;
use crate::entry::problem::ProblemReason;
use crate::entry::programs;
use crate::entry::programs::RETRY_AFTER;
use crate::programs::command::Answer;
use crate::programs::command::ProgramCommand;
use crate::programs::command::ProgramReply;

/// Tries to commit a settlement; after that the call stays open until the caller's next request.
const MAX_SETTLE_TRIES: u32 = 60;

/// Tries to store the answer before the caller is asked to retry.
const MAX_STORE_TRIES: u32 = 3;

const SETTLE_RETRY_DELAY: Duration = Duration::from_millis(500);

impl CallTask<'_> {
    pub(super) async fn settle(&self, outcome: CallOutcome, stats: CallStats) -> Result<Answer, Problem> {
        let (execution, problem) = match outcome {
            CallOutcome::Answered(reply) => return self.finish(reply, stats.lost_tokens).await,
            CallOutcome::NotAdmitted => {
                return self.early_result.take().unwrap_or_else(|| Err(programs::in_progress()));
            }
            CallOutcome::Refused { reason, retry_after } => {
                let problem = Problem::not_run(503, reason.into(), "the call was turned away");
                (ExecutionStatus::NotRun, problem.retry_after(retry_after))
            }
            CallOutcome::Failed { execution, detail, retry_after } => {
                (execution, problem_for(execution, detail, retry_after))
            }
            CallOutcome::Cancelled(execution) => {
                (execution, problem_for(execution, "the caller went away".into(), RETRY_AFTER))
            }
        };
        if !self.begun.get() {
            return self.resolve_refusal(problem).await;
        }
        self.end_attempt(execution, stats.lost_servers).await;
        Err(problem)
    }

    /// Stores the answer and settles its cost, failed attempts included.
    async fn finish(&self, reply: BackendReply, lost_tokens: u64) -> Result<Answer, Problem> {
        let request = &self.call.request;
        let reserve = self.reserve.get();
        let spent = reply.usage.prompt.saturating_add(reply.usage.output).saturating_add(lost_tokens);
        if spent > reserve {
            log::warn!("Program {} spent {spent} tokens but had reserved only {reserve}.", request.program);
        }
        let command = ProgramCommand::Finish {
            program: request.program.clone(),
            call: request.call,
            attempt: self.attempt,
            answer: reply.answer.clone(),
            spent: spent.min(reserve),
        };
        self.record_answer(&reply);
        match self.commit_with_retry(&command, MAX_STORE_TRIES).await {
            Some(ProgramReply::Done(_)) => {
                let base =
                    self.call.conversation.as_ref().map(|conversation| conversation.as_base(request.call));
                self.server.state.recent_programs.record_answer(
                    &request.program,
                    programs::unix_millis(),
                    base,
                );
                Ok(reply.answer)
            }
            Some(ProgramReply::Stored(answer)) => Ok(answer),
            Some(_) => self.query_answer().await,
            None => {
                self.pending_settlement.replace(Some(command));
                self.query_answer().await
            }
        }
    }

    /// Looks the request up in the ledger after `Finish` was refused or got no reply.
    async fn query_answer(&self) -> Result<Answer, Problem> {
        match self.query_request().await {
            Ok(ProgramReply::Stored(answer)) => Ok(answer),
            Ok(ProgramReply::InDoubt(_)) => Err(programs::in_doubt()),
            Ok(_) | Err(_) => {
                let detail = "the answer is not stored yet; ask again with the same key";
                Err(Problem::unknown(503, ProblemReason::Ledger, detail).retry_after(RETRY_AFTER))
            }
        }
    }

    /// Settles an attempt that got no answer, or leaves the settlement pending if the ledger does not reply. A
    /// repeatable call that is marked as unknown may be begun again; its reservation stays charged.
    pub(super) async fn end_attempt(&self, execution: ExecutionStatus, lost_servers: u32) {
        let program = self.call.request.program.clone();
        let call = self.call.request.call;
        let attempt = self.attempt;
        let command = match execution {
            ExecutionStatus::NotRun => ProgramCommand::NotRun { program, call, attempt },
            ExecutionStatus::Unknown | ExecutionStatus::Retryable => {
                ProgramCommand::Unknown { program, call, attempt, lost_servers }
            }
        };
        if self.commit_with_retry(&command, 1).await.is_none() {
            self.pending_settlement.replace(Some(command));
        }
    }

    /// Retries the settlement that was not committed while the caller waited.
    pub(super) async fn commit_pending(&self) {
        let pending = self.pending_settlement.take();
        if let Some(command) = pending
            && self.commit_with_retry(&command, MAX_SETTLE_TRIES).await.is_none()
        {
            let request = &self.call.request;
            log::error!(
                "Call {} of program {} could not be settled and stays open.",
                request.call.0,
                request.program
            );
        }
    }

    /// Commits a settlement, retrying while there is no reply; settlements are idempotent.
    async fn commit_with_retry(&self, command: &ProgramCommand, tries: u32) -> Option<ProgramReply> {
        for retries in 0..tries {
            if retries > 0 {
                self.server.timer.after(SETTLE_RETRY_DELAY).await;
            }
            match self.submit(command.clone()).await {
                Ok(reply) => return Some(reply),
                Err(e) => {
                    let request = &self.call.request;
                    log::warn!(
                        "Settling call {} of program {} failed: {e}.",
                        request.call.0,
                        request.program
                    );
                }
            }
        }
        None
    }
}

fn problem_for(execution: ExecutionStatus, detail: Arc<str>, retry_after: Duration) -> Problem {
    match execution {
        ExecutionStatus::NotRun => {
            Problem::not_run(503, ProblemReason::Unreachable, detail).retry_after(retry_after)
        }
        ExecutionStatus::Retryable => {
            Problem::unknown(502, ProblemReason::Lost, detail).retry_after(retry_after)
        }
        ExecutionStatus::Unknown => Problem::unknown(502, ProblemReason::InDoubt, detail),
    }
}
