//! A call as submitted to the dispatcher, its caller and its outcome.

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

/// A call to be sent to a backend server.
#[derive(Clone, Debug)]
pub struct OutgoingCall {
    /// The top-level program of which the calling program is a sub-agent, or the program itself.
    pub root: ProgramId,
    /// Team of the partner.
    pub team: Arc<str>,
    /// Declared class.
    pub class: Arc<str>,
    /// The model or service to call.
    pub work: Work,
    /// Time after which the answer is no longer useful.
    pub deadline: Option<Timestamp>,
    /// Upper bound on the tokens that one attempt uses.
    pub max_attempt_tokens: u64,
    /// The request to send.
    pub request: BackendRequest,
}

/// Outcome of a call.
#[derive(Clone, Debug, PartialEq)]
pub enum CallOutcome {
    /// A complete answer was received, possibly one that reports an error.
    Answered(BackendReply),
    /// The scheduler refused the call; nothing was sent.
    Refused {
        /// Reason of the refusal.
        reason: RefusalReason,
        /// Delay before the caller should retry.
        retry_after: Duration,
    },
    /// No usable answer was received.
    Failed {
        /// Whether the call may have run.
        execution: ExecutionStatus,
        /// Error of the last attempt.
        detail: Arc<str>,
        /// Delay before the caller should retry.
        retry_after: Duration,
    },
    /// [`Caller::admit`] returned false; nothing was sent.
    NotAdmitted,
    /// The caller disconnected and the call was cancelled.
    Cancelled(ExecutionStatus),
}

/// Statistics of one call, for metrics.
#[derive(Clone, Copy, Debug, Default)]
pub struct CallStats {
    /// Total time in the scheduler's queue.
    pub queue_time: Duration,
    /// Total time of the exchanges with backend servers.
    pub service_time: Duration,
    /// Number of attempts.
    pub attempts: u32,
    /// Servers that ended under attempts.
    pub lost_servers: u32,
    /// Known token cost of lost attempts: their prompts and the events received.
    pub lost_tokens: u64,
}

/// The caller's side of a call.
pub trait Caller {
    /// Called before the first attempt. If it returns false, the call is not sent and the caller keeps the
    /// reason. It is not called for a call that is refused in the queue, which therefore costs nothing.
    fn admit(&self) -> LocalBoxFuture<'_, bool>;

    /// Tokens that all attempts together may use. Read after the call is admitted.
    fn token_budget(&self) -> u64;

    /// Servers that may still end under the call before it is sent to none. Read after the call is admitted.
    fn servers_to_lose(&self) -> u32;

    /// Called for each server-sent event of the first streamed answer except the last.
    fn on_event(&self, bytes: &[u8]);

    /// Called if the answer stops after some of its events were passed on. The events of later attempts are
    /// not passed on, since two answers must not be mixed.
    fn on_interrupted(&self);
}

impl OutgoingCall {
    /// The call as submitted to the scheduler.
    pub(super) fn scheduler_call(&self, id: CallId) -> Call {
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

    /// Estimated prompt tokens; zero for services.
    pub(super) fn prompt_tokens(&self) -> u64 {
        match self.work {
            Work::Model { prompt_tokens, .. } => prompt_tokens.into(),
            Work::Service { .. } => 0,
        }
    }
}
