//! The end of a call: each ending of an attempt has exactly one command that is true of it.

use std::sync::Arc;
use std::time::Duration;

use crate::attempts::BackendReply;
use crate::attempts::CallOutcome;
use crate::attempts::ExecutionStatus;
use crate::entry::carry::Carried;
use crate::entry::problem::Problem;
use crate::entry::problem::Reason;
use crate::entry::programs;
use crate::entry::programs::COMEBACK;
use crate::programs::command::Answer;
use crate::programs::command::ProgramCommand;
use crate::programs::command::ProgramReply;

/// How often a settlement is tried before it is left to the caller's next request.
const SETTLE_TRIES: u32 = 60;

/// How often the answer is tried to be stored before the caller is told to ask again.
const STORE_TRIES: u32 = 3;

/// Pause between two tries.
const SETTLE_PAUSE: Duration = Duration::from_millis(500);

impl Carried<'_> {
    pub(super) async fn settle(&self, outcome: CallOutcome, lost: u64) -> Result<Answer, Problem> {
        let (ending, problem) = match outcome {
            CallOutcome::Answered(reply) => return self.finish(reply, lost).await,
            CallOutcome::NotAdmitted => {
                return self.held_back.take().unwrap_or_else(|| Err(programs::in_progress()));
            }
            CallOutcome::Refused { reason, retry_after } => {
                let problem = Problem::not_run(503, reason.into(), "the call was turned away");
                (ExecutionStatus::NotRun, problem.retry_after(retry_after))
            }
            CallOutcome::Failed { execution, detail, retry_after } => {
                (execution, given_up(execution, detail, retry_after))
            }
            CallOutcome::Cancelled(ending) => {
                (ending, given_up(ending, "the caller went away".into(), COMEBACK))
            }
        };
        if !self.begun.get() {
            return self.refused(problem).await;
        }
        self.end_attempt(ending).await;
        Err(problem)
    }

    /// Stores the answer and settles what it cost, lost attempts included.
    async fn finish(&self, reply: BackendReply, lost: u64) -> Result<Answer, Problem> {
        let out = &self.planned.outgoing;
        let reserve = self.reserve.get();
        let spent = reply.usage.prompt.saturating_add(reply.usage.output).saturating_add(lost);
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
        self.measure_answer(&reply);
        match self.commit(&command, STORE_TRIES).await {
            Some(ProgramReply::Done(_)) => {
                let base = self.planned.conversation.as_ref().map(|held| held.base(out.call));
                self.entry.state.known.answered(&out.program, programs::wall_clock(), base);
                Ok(reply.answer)
            }
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

    /// Tells the ledger how the attempt ended. What the ledger does not take at once is owed. A repeatable
    /// call in doubt may be begun again, and what the lost attempt may have cost stays charged.
    pub(super) async fn end_attempt(&self, ending: ExecutionStatus) {
        let program = self.planned.outgoing.program.clone();
        let call = self.planned.outgoing.call;
        let attempt = self.attempt;
        let command = match ending {
            ExecutionStatus::NotRun => ProgramCommand::NotRun { program, call, attempt },
            ExecutionStatus::Unknown | ExecutionStatus::Retryable => {
                ProgramCommand::Unknown { program, call, attempt }
            }
        };
        if self.commit(&command, 1).await.is_none() {
            self.owed.replace(Some(command));
        }
    }

    /// Commits what the ledger did not take while the caller waited.
    pub(super) async fn pay(&self) {
        let owed = self.owed.take();
        if let Some(command) = owed
            && self.commit(&command, SETTLE_TRIES).await.is_none()
        {
            let out = &self.planned.outgoing;
            log::error!("Call {} of {} stays open in the ledger.", out.call.0, out.program);
        }
    }

    /// Commits a settlement, trying again while the reply is missing: each is harmless twice.
    async fn commit(&self, command: &ProgramCommand, tries: u32) -> Option<ProgramReply> {
        for tried in 0..tries {
            if tried > 0 {
                self.entry.timer.after(SETTLE_PAUSE).await;
            }
            match self.submit(command.clone()).await {
                Ok(reply) => return Some(reply),
                Err(e) => log::warn!("A settlement got no reply: {e}."),
            }
        }
        None
    }
}

fn given_up(ending: ExecutionStatus, detail: Arc<str>, retry_after: Duration) -> Problem {
    match ending {
        ExecutionStatus::NotRun => {
            Problem::not_run(503, Reason::Unreachable, detail).retry_after(retry_after)
        }
        ExecutionStatus::Retryable => Problem::unknown(502, Reason::Lost, detail).retry_after(retry_after),
        ExecutionStatus::Unknown => Problem::unknown(502, Reason::InDoubt, detail),
    }
}
