//! A call on its way to the scheduler, who asked for it and what became of it.

use std::sync::Arc;
use std::time::Duration;

use futures::future::LocalBoxFuture;

use crate::attempts::BackendReply;
use crate::attempts::BackendRequest;
use crate::attempts::delivery::ExecutionStatus;
use crate::clock::Timestamp;
use crate::ids::ProgramId;
use crate::scheduler::event::Call;
use crate::scheduler::event::CallId;
use crate::scheduler::event::RefusalReason;
use crate::scheduler::event::Work;

/// A call that wants to be sent.
#[derive(Clone, Debug)]
pub struct OutgoingCall {
    /// The outermost program of which the caller's program is a sub-agent, or the program itself.
    pub root: ProgramId,
    /// Team within the partner.
    pub team: Arc<str>,
    /// Declared class.
    pub class: Arc<str>,
    /// What it asks for.
    pub work: Work,
    /// When the caller no longer wants the answer.
    pub deadline: Option<Timestamp>,
    /// The most tokens that one attempt can cost.
    pub max_attempt_tokens: u64,
    /// The request as it goes out.
    pub request: BackendRequest,
}

/// What became of a call.
#[derive(Clone, Debug, PartialEq)]
pub enum CallOutcome {
    /// A whole answer came, perhaps one that reports an error.
    Answered(BackendReply),
    /// The scheduler turned the call away; nothing was sent.
    Refused {
        /// Why.
        reason: RefusalReason,
        /// When the caller may come back.
        retry_after: Duration,
    },
    /// No usable answer came.
    Failed {
        /// What is true of the call.
        execution: ExecutionStatus,
        /// What made the last attempt fail.
        detail: Arc<str>,
        /// When the caller may come back.
        retry_after: Duration,
    },
    /// The caller itself held the call back before anything was sent.
    NotAdmitted,
    /// The caller went away and the call was stopped.
    Cancelled(ExecutionStatus),
}

/// Times of one call, for measures.
#[derive(Clone, Copy, Debug, Default)]
pub struct CallStats {
    /// Time in the scheduler's queue, over all attempts.
    pub queue_time: Duration,
    /// Time on connections to backend servers, over all attempts.
    pub service_time: Duration,
    /// Attempts made.
    pub attempts: u32,
    /// Tokens that lost attempts are known to have cost: their prompts and the parts that came.
    pub lost_tokens: u64,
}

/// Who asked for a call.
pub trait Caller {
    /// The call is about to be sent for the first time. False holds it back, and the caller knows why;
    /// a call that was turned away in the queue has cost nothing before this.
    fn admit(&self) -> LocalBoxFuture<'_, bool>;

    /// Tokens that all attempts together may cost; asked once the call is admitted.
    fn token_budget(&self) -> u64;

    /// A further part of the first answer came; its last event is held back.
    fn on_event(&self, bytes: &[u8]);

    /// The answer broke off after some of it was told. Another attempt may follow, whose parts are
    /// not told, since two answers must not be mixed.
    fn on_interrupted(&self);
}

impl OutgoingCall {
    /// The call as the scheduler sees it.
    pub(super) fn call(&self, id: CallId) -> Call {
        Call {
            id,
            program: self.request.program.clone(),
            root: self.root.clone(),
            team: self.team.clone(),
            class: self.class.clone(),
            work: self.work.clone(),
            repeatable: self.request.repeatable,
            deadline: self.deadline,
        }
    }

    /// Tokens of the prompt by the scheduler's estimate.
    pub(super) fn prompt_tokens(&self) -> u64 {
        match self.work {
            Work::Model { prompt_tokens, .. } => prompt_tokens.into(),
            Work::Service { .. } => 0,
        }
    }
}
