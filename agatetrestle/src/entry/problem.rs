//! Refusals and errors as problem details (RFC 9457).

use std::sync::Arc;
use std::time::Duration;

use http_types::Response;
use http_types::StatusCode;
use serde::Serialize;

use crate::ids::CallNumber;
use crate::ports::NotTakingWork;
use crate::programs::command::Refusal;
use crate::scheduler::event::RefusalReason;

/// Media type of a refusal.
pub const PROBLEM_MEDIA_TYPE: &str = "application/problem+json";

/// Whether a refused request ran.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum RunOutcome {
    /// It did not run and will not run.
    NotRun,
    /// It may have run, or may still be running.
    Unknown,
}

/// Why a request was refused.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ProblemReason {
    /// The request is malformed.
    Malformed,
    /// The head is too large.
    HeadTooLarge,
    /// The body is too large.
    BodyTooLarge,
    /// The request did not arrive in time.
    TooSlow,
    /// The body has no `Content-Length`.
    LengthRequired,
    /// The `Expect` header is not supported.
    Expectation,
    /// No such path.
    NotFound,
    /// The path does not support this method.
    Method,
    /// `Idempotency-Key` is missing or unusable.
    Key,
    /// The partner, team or class is not declared.
    Undeclared,
    /// The model or service is not declared, or no backend server serves it.
    NoBackend,
    /// The program does not exist.
    NoProgram,
    /// A program of this name exists with another specification.
    Exists,
    /// The program has ended.
    Ended,
    /// The call does not have the next number.
    OutOfOrder,
    /// An earlier call is still open.
    CallOpen,
    /// The budget is too small.
    Budget,
    /// The program has reached its limit on calls.
    Turns,
    /// Servers ended under the request.
    Suspect,
    /// The key was used for another request.
    KeyReused,
    /// Sub-agents have not ended.
    Children,
    /// The state of the call does not allow the request.
    WrongState,
    /// Another attempt of the request is running.
    InProgress,
    /// It is unknown whether the request ran; an operator can resolve it.
    InDoubt,
    /// The scheduler is overloaded.
    Overload,
    /// The deadline can't be met.
    Deadline,
    /// The program repeated the same call too often.
    Runaway,
    /// No backend server could be reached.
    Unreachable,
    /// The backend server did not return a complete answer.
    Lost,
    /// The stream was interrupted; a retry with the same key gets the whole answer.
    BrokeOff,
    /// The ledger did not commit or reply.
    Ledger,
    /// The node is starting.
    Starting,
    /// The node has lost contact with the control group.
    Isolated,
    /// The node is stopping.
    Stopping,
    /// The limit on connections is reached.
    Connections,
}

/// A refusal with everything that its response contains.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Problem {
    /// HTTP status.
    pub status: u16,
    /// Whether the request ran.
    pub outcome: RunOutcome,
    /// Machine-readable reason.
    pub reason: ProblemReason,
    /// Human-readable explanation.
    pub detail: Arc<str>,
    /// Delay before a retry makes sense.
    pub retry_after: Option<Duration>,
    /// The expected call number, for calls out of order.
    pub next_call: Option<CallNumber>,
}

#[derive(Serialize)]
struct ProblemBody<'a> {
    r#type: &'static str,
    title: ProblemReason,
    status: u16,
    detail: &'a str,
    outcome: RunOutcome,
    reason: ProblemReason,
    #[serde(skip_serializing_if = "Option::is_none")]
    retry_after_ms: Option<u64>,
    #[serde(skip_serializing_if = "Option::is_none")]
    next_call: Option<CallNumber>,
}

impl Problem {
    /// Refuses a request that did not run.
    #[must_use]
    pub fn not_run(status: u16, reason: ProblemReason, detail: impl Into<Arc<str>>) -> Self {
        Self {
            status,
            outcome: RunOutcome::NotRun,
            reason,
            detail: detail.into(),
            retry_after: None,
            next_call: None,
        }
    }

    /// Refuses a request that may have run.
    #[must_use]
    pub fn unknown(status: u16, reason: ProblemReason, detail: impl Into<Arc<str>>) -> Self {
        Self { outcome: RunOutcome::Unknown, ..Self::not_run(status, reason, detail) }
    }

    /// Sets the delay before a retry.
    #[must_use]
    pub fn retry_after(self, delay: Duration) -> Self {
        Self { retry_after: Some(delay), ..self }
    }

    /// The JSON body of the response.
    #[must_use]
    pub fn json(&self) -> Vec<u8> {
        let body = ProblemBody {
            r#type: "about:blank",
            title: self.reason,
            status: self.status,
            detail: &self.detail,
            outcome: self.outcome,
            reason: self.reason,
            retry_after_ms: self
                .retry_after
                .map(|delay| u64::try_from(delay.as_millis()).unwrap_or(u64::MAX)),
            next_call: self.next_call,
        };
        serde_json::to_vec(&body).unwrap_or_default()
    }

    /// The HTTP response.
    #[must_use]
    pub fn response(&self) -> Response {
        let status = StatusCode::try_from(self.status).unwrap_or(StatusCode::InternalServerError);
        let mut response = Response::new(status);
        response.set_body(self.json());
        response.insert_header("Content-Type", PROBLEM_MEDIA_TYPE);
        if let Some(delay) = self.retry_after {
            let seconds = delay.as_millis().div_ceil(1000).max(1);
            response.insert_header("Retry-After", seconds.to_string());
        }
        response
    }

    /// The server-sent event that ends an interrupted stream.
    #[must_use]
    pub fn stream_event(&self) -> Vec<u8> {
        let mut event = b"event: error\ndata: ".to_vec();
        event.extend(self.json());
        event.extend(b"\n\n");
        event
    }

    /// Name of the reason, for metrics.
    #[must_use]
    pub fn label(&self) -> &'static str {
        self.reason.label()
    }
}

impl ProblemReason {
    /// Name of the reason in responses and metrics.
    #[must_use]
    pub fn label(self) -> &'static str {
        match self {
            Self::Malformed => "malformed",
            Self::HeadTooLarge => "head_too_large",
            Self::BodyTooLarge => "body_too_large",
            Self::TooSlow => "too_slow",
            Self::LengthRequired => "length_required",
            Self::Expectation => "expectation",
            Self::NotFound => "not_found",
            Self::Method => "method",
            Self::Key => "key",
            Self::Undeclared => "undeclared",
            Self::NoBackend => "no_backend",
            Self::NoProgram => "no_program",
            Self::Exists => "exists",
            Self::Ended => "ended",
            Self::OutOfOrder => "out_of_order",
            Self::CallOpen => "call_open",
            Self::Budget => "budget",
            Self::Turns => "turns",
            Self::Suspect => "suspect",
            Self::KeyReused => "key_reused",
            Self::Children => "children",
            Self::WrongState => "wrong_state",
            Self::InProgress => "in_progress",
            Self::InDoubt => "in_doubt",
            Self::Overload => "overload",
            Self::Deadline => "deadline",
            Self::Runaway => "runaway",
            Self::Unreachable => "unreachable",
            Self::Lost => "lost",
            Self::BrokeOff => "broke_off",
            Self::Ledger => "ledger",
            Self::Starting => "starting",
            Self::Isolated => "isolated",
            Self::Stopping => "stopping",
            Self::Connections => "connections",
        }
    }
}

impl From<NotTakingWork> for Problem {
    fn from(cause: NotTakingWork) -> Self {
        let reason = match cause {
            NotTakingWork::Starting => ProblemReason::Starting,
            NotTakingWork::Isolated => ProblemReason::Isolated,
            NotTakingWork::Stopping => ProblemReason::Stopping,
        };
        Self::not_run(503, reason, cause.to_string()).retry_after(Duration::from_secs(1))
    }
}

impl From<Refusal> for Problem {
    fn from(refusal: Refusal) -> Self {
        let (status, reason, detail): (u16, ProblemReason, Arc<str>) = match &refusal {
            Refusal::NoProgram => (404, ProblemReason::NoProgram, "there is no such program".into()),
            Refusal::Exists => (409, ProblemReason::Exists, "a program of this name exists already".into()),
            Refusal::Ended => (409, ProblemReason::Ended, "the program has ended".into()),
            Refusal::OutOfOrder { next } => {
                (409, ProblemReason::OutOfOrder, format!("the next call has number {}", next.0).into())
            }
            Refusal::CallOpen { call } => {
                (409, ProblemReason::CallOpen, format!("call {} is open or in doubt", call.0).into())
            }
            Refusal::Budget { left } => {
                (409, ProblemReason::Budget, format!("{left} tokens are left").into())
            }
            Refusal::Turns => (409, ProblemReason::Turns, "the program may make no further call".into()),
            Refusal::ServersLost => {
                (409, ProblemReason::Suspect, "too many servers ended under the request".into())
            }
            Refusal::KeyReused => {
                (422, ProblemReason::KeyReused, "the key was used for another request".into())
            }
            Refusal::NotYourAttempt => {
                (409, ProblemReason::WrongState, "another attempt holds the call".into())
            }
            Refusal::WrongState => {
                (409, ProblemReason::WrongState, "the call does not allow this now".into())
            }
            Refusal::Children => (409, ProblemReason::Children, "sub-agents are still live".into()),
            // The call ran and only its answer can't be read, so the outcome must not be `not_run`.
            Refusal::HistoryUnreadable => {
                let detail = "the stored answer can't be read on this replica";
                return Self::unknown(503, ProblemReason::WrongState, detail)
                    .retry_after(Duration::from_secs(1));
            }
        };
        let next_call = match refusal {
            Refusal::OutOfOrder { next } => Some(next),
            _ => None,
        };
        Self { next_call, ..Self::not_run(status, reason, detail) }
    }
}

impl From<RefusalReason> for ProblemReason {
    fn from(reason: RefusalReason) -> Self {
        match reason {
            RefusalReason::NoBackend => Self::NoBackend,
            RefusalReason::Overload => Self::Overload,
            RefusalReason::Deadline => Self::Deadline,
            RefusalReason::Runaway => Self::Runaway,
        }
    }
}
