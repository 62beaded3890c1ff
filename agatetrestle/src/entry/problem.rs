//! Refusals as callers see them.

use std::sync::Arc;
use std::time::Duration;

use http_types::Response;
use http_types::StatusCode;
use serde::Serialize;

use crate::ids::CallNumber;
use crate::ports::NotTaking;
use crate::programs::command::Refusal;
use crate::scheduler::event::RefusalReason;

/// Media type of a refusal.
pub const MEDIA_TYPE: &str = "application/problem+json";

/// What is true of the request that was refused.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Told {
    /// It did not run, and will not on account of this request.
    NotRun,
    /// It may have run, or may yet have an answer.
    Unknown,
}

/// Why a request was refused.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Reason {
    /// The request is malformed.
    Malformed,
    /// The head is too large.
    HeadTooLarge,
    /// The body is too large.
    BodyTooLarge,
    /// The request did not arrive in time.
    TooSlow,
    /// A body without `Content-Length`.
    LengthRequired,
    /// An expectation that is not met.
    Expectation,
    /// No such path.
    NotFound,
    /// The path does not take this method.
    Method,
    /// `Idempotency-Key` is missing or unusable.
    Key,
    /// The partner, team or class is not declared.
    Undeclared,
    /// The model or service is not declared, or nothing serves it.
    NoBackend,
    /// There is no such program.
    NoProgram,
    /// A program of this name exists with another specification.
    Exists,
    /// The program has ended.
    Ended,
    /// Calls must come in order.
    OutOfOrder,
    /// An earlier call is open or in doubt.
    CallOpen,
    /// The budget does not allow it.
    Budget,
    /// The program has made as many calls as it may.
    Turns,
    /// The key was used for another request.
    KeyReused,
    /// Sub-agents are still live.
    Children,
    /// The ledger is in another state than this allows.
    WrongState,
    /// The request is being worked on.
    InProgress,
    /// Nobody can tell whether the request ran; an operator can find out.
    InDoubt,
    /// Too much work.
    Overload,
    /// The deadline can't be met.
    Deadline,
    /// The program repeats itself beyond what the rules allow.
    Runaway,
    /// No backend server could be reached.
    Unreachable,
    /// The backend server gave no whole answer.
    Lost,
    /// The stream broke off; ask again with the same key for the whole answer.
    BrokeOff,
    /// No quorum took the command.
    Ledger,
    /// The node has just started.
    Starting,
    /// The node is cut off from the control group.
    Isolated,
    /// The node is about to stop.
    Stopping,
    /// Too many connections.
    Connections,
}

/// One refusal.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Problem {
    /// HTTP status.
    pub status: u16,
    /// What is true of the request.
    pub outcome: Told,
    /// Why.
    pub reason: Reason,
    /// For people.
    pub detail: Arc<str>,
    /// When the caller may come back.
    pub retry_after: Option<Duration>,
    /// The number that the next call must have, where that is the matter.
    pub next_call: Option<CallNumber>,
}

#[derive(Serialize)]
struct Form<'a> {
    r#type: &'static str,
    title: Reason,
    status: u16,
    detail: &'a str,
    outcome: Told,
    reason: Reason,
    #[serde(skip_serializing_if = "Option::is_none")]
    retry_after_ms: Option<u64>,
    #[serde(skip_serializing_if = "Option::is_none")]
    next_call: Option<CallNumber>,
}

impl Problem {
    /// A refusal of a request that did not run.
    #[must_use]
    pub fn not_run(status: u16, reason: Reason, detail: impl Into<Arc<str>>) -> Self {
        Self {
            status,
            outcome: Told::NotRun,
            reason,
            detail: detail.into(),
            retry_after: None,
            next_call: None,
        }
    }

    /// A refusal of a request that may have run.
    #[must_use]
    pub fn unknown(status: u16, reason: Reason, detail: impl Into<Arc<str>>) -> Self {
        Self { outcome: Told::Unknown, ..Self::not_run(status, reason, detail) }
    }

    /// Tells the caller when to come back.
    #[must_use]
    pub fn retry_after(self, span: Duration) -> Self {
        Self { retry_after: Some(span), ..self }
    }

    /// The body.
    #[must_use]
    pub fn json(&self) -> Vec<u8> {
        let form = Form {
            r#type: "about:blank",
            title: self.reason,
            status: self.status,
            detail: &self.detail,
            outcome: self.outcome,
            reason: self.reason,
            retry_after_ms: self.retry_after.map(|s| u64::try_from(s.as_millis()).unwrap_or(u64::MAX)),
            next_call: self.next_call,
        };
        serde_json::to_vec(&form).unwrap_or_default()
    }

    /// The whole answer.
    #[must_use]
    pub fn response(&self) -> Response {
        let status = StatusCode::try_from(self.status).unwrap_or(StatusCode::InternalServerError);
        let mut response = Response::new(status);
        response.set_body(self.json());
        response.insert_header("Content-Type", MEDIA_TYPE);
        if let Some(span) = self.retry_after {
            let seconds = span.as_millis().div_ceil(1000).max(1);
            response.insert_header("Retry-After", seconds.to_string());
        }
        response
    }

    /// The refusal as the last event of a stream that can't be completed.
    #[must_use]
    pub fn event(&self) -> Vec<u8> {
        let mut event = b"event: error\ndata: ".to_vec();
        event.extend(self.json());
        event.extend(b"\n\n");
        event
    }

    /// Name of the reason, for measures.
    #[must_use]
    pub fn label(&self) -> &'static str {
        self.reason.label()
    }
}

impl Reason {
    /// Its name as callers see it.
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

impl From<NotTaking> for Problem {
    fn from(why: NotTaking) -> Self {
        let reason = match why {
            NotTaking::Starting => Reason::Starting,
            NotTaking::Isolated => Reason::Isolated,
            NotTaking::Stopping => Reason::Stopping,
        };
        Self::not_run(503, reason, why.to_string()).retry_after(Duration::from_secs(1))
    }
}

impl From<Refusal> for Problem {
    fn from(refusal: Refusal) -> Self {
        let (status, reason, detail): (u16, Reason, Arc<str>) = match &refusal {
            Refusal::NoProgram => (404, Reason::NoProgram, "there is no such program".into()),
            Refusal::Exists => (409, Reason::Exists, "a program of this name exists already".into()),
            Refusal::Ended => (409, Reason::Ended, "the program has ended".into()),
            Refusal::OutOfOrder { next } => {
                (409, Reason::OutOfOrder, format!("the next call has number {}", next.0).into())
            }
            Refusal::CallOpen { call } => {
                (409, Reason::CallOpen, format!("call {} is open or in doubt", call.0).into())
            }
            Refusal::Budget { left } => (409, Reason::Budget, format!("{left} tokens are left").into()),
            Refusal::Turns => (409, Reason::Turns, "the program may make no further call".into()),
            Refusal::KeyReused => (422, Reason::KeyReused, "the key was used for another request".into()),
            Refusal::NotYourAttempt => (409, Reason::WrongState, "another attempt holds the call".into()),
            Refusal::WrongState => (409, Reason::WrongState, "the call does not allow this now".into()),
            Refusal::Children => (409, Reason::Children, "sub-agents are still live".into()),
            // The call ran; only its answer can't be read here, so this is no "not run".
            Refusal::HistoryUnreadable => {
                let detail = "the stored answer can't be read on this replica";
                return Self::unknown(503, Reason::WrongState, detail).retry_after(Duration::from_secs(1));
            }
        };
        let next_call = match refusal {
            Refusal::OutOfOrder { next } => Some(next),
            _ => None,
        };
        Self { next_call, ..Self::not_run(status, reason, detail) }
    }
}

impl From<RefusalReason> for Reason {
    fn from(reason: RefusalReason) -> Self {
        match reason {
            RefusalReason::NoBackend => Self::NoBackend,
            RefusalReason::Overload => Self::Overload,
            RefusalReason::Deadline => Self::Deadline,
            RefusalReason::Runaway => Self::Runaway,
        }
    }
}
