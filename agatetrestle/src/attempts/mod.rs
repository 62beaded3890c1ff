//! Attempts at calls: carries out the scheduler's decisions on connections to backend servers.
//!
//! A [`Dispatcher`] submits each call to the scheduler, sends it to the chosen backend server and reports
//! the result. The state machine in [`delivery`] alone decides whether a call may have run. Connection use
//! and timeouts are described in docs/design/009-silent-connections.md.
//!
//! Engines receive a chat-completions request with the header `Agatetrestle-Priority` (a decimal
//! number, higher first), and every backend server receives `Agatetrestle-Program`,
//! `Agatetrestle-Call` and the caller's `Idempotency-Key`. A backend server that answers with
//! `Agatetrestle-Outcome: not_run` states that it did not start the call.
//!
//! Apart from calls, engines accept `POST /admin/cache` with `{"program": "partner/name", "order": "release"}` (or
//! `export`, `import`) and answer `GET /admin/report?after=N` with `{"running": 1, "waiting": 0, "age_ms": 0,
//! "position": 7, "changes": [{"stored": [1, 2]}, {"evicted": [3]}, "cleared"]}`, where a number is the
//! hash of a block, computed as in [`prefix`]. Services declared with `reports_load` answer without changes.

mod admin;
pub mod call;
mod call_driver;
pub mod catalog;
pub mod delivery;
pub mod dispatcher;
pub mod http;
pub mod prefix;
pub mod sse;
pub mod timer;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use futures::future::LocalBoxFuture;
use serde::Serialize;
use snafu::Snafu;

use crate::ids::CallNumber;
use crate::ids::ProgramId;
use crate::ids::RequestKey;
use crate::programs::command::Answer;
use crate::programs::command::Repeatable;
use crate::scheduler::event::CacheChange;
use crate::scheduler::event::Failure;
use crate::scheduler::event::Load;

pub use call::CallOutcome;
pub use call::CallStats;
pub use call::Caller;
pub use call::OutgoingCall;
pub use delivery::ExecutionStatus;
pub use dispatcher::Dispatcher;
pub use timer::SystemTimer;
pub use timer::Timer;

/// Header that tells an engine the priority of a request, higher first.
pub const PRIORITY_HEADER: &str = "Agatetrestle-Priority";

/// Header that names the program of a call.
pub const PROGRAM_HEADER: &str = "Agatetrestle-Program";

/// Header that holds the number of a call.
pub const CALL_HEADER: &str = "Agatetrestle-Call";

/// Response header with which a backend server states that it did not start a call.
pub const OUTCOME_HEADER: &str = "Agatetrestle-Outcome";

/// Header that holds the caller's request key.
pub const IDEMPOTENCY_KEY_HEADER: &str = "Idempotency-Key";

/// A request to a backend server.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct BackendRequest {
    /// The calling program.
    pub program: ProgramId,
    /// Number of the call within the program.
    pub call: CallNumber,
    /// The caller's idempotency key, for backend servers that deduplicate requests.
    pub key: RequestKey,
    /// Path and query on the backend server.
    pub path: Arc<str>,
    /// Media type of the body.
    pub content_type: Arc<str>,
    /// Request body.
    pub body: Arc<[u8]>,
    /// Whether the request may be sent again.
    pub repeatable: Repeatable,
    /// Whether the caller asked for a stream of server-sent events.
    pub stream: bool,
    /// Time without progress after which the exchange fails.
    pub idle_timeout: Duration,
}

/// Receives the progress of an exchange.
pub trait ExchangeObserver {
    /// Called before the first byte of the request is written; from then on the call may have run.
    fn on_write(&self);

    /// Called for each server-sent event of the answer except the last.
    fn on_event(&self, bytes: &[u8]);
}

/// A complete answer with its token usage.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct BackendReply {
    /// The complete answer.
    pub answer: Answer,
    /// Token counts that the backend server reported.
    pub usage: TokenUsage,
    /// The first tool that a model's answer calls.
    pub tool: Option<Arc<str>>,
}

/// Token counts of an answer; zero for services.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct TokenUsage {
    /// Prompt tokens.
    pub prompt: u64,
    /// Generated tokens.
    pub output: u64,
    /// Prompt tokens served from the engine's cache.
    pub cached: u64,
}

/// An exchange that returned no usable answer.
#[derive(Clone, Debug, Eq, PartialEq, Snafu)]
#[snafu(visibility(pub), display("{failure:?}: {detail}"))]
pub struct ExchangeError {
    /// Kind of failure.
    pub failure: Failure,
    /// Description for logs and problem details.
    pub detail: Arc<str>,
    /// The complete answer if the failure is [`Failure::Error`].
    pub reply: Option<BackendReply>,
    /// Whether the connection broke after the request was sent, so that the server may have ended under it.
    pub server_lost: bool,
}

/// A command about a program's prefix cache in an engine.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum EngineCommand {
    /// Free it, except for prefixes shared with other programs.
    Release,
    /// Offload it from the engine's memory.
    Export,
    /// Load it back into the engine's memory.
    Import,
}

/// A backend server's status report.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct BackendReport {
    /// Current load.
    pub load: Load,
    /// Changes of the prefix cache after the requested position.
    pub changes: Vec<CacheChange>,
    /// Position to request next time.
    pub position: u64,
}

/// Client interface to model engines.
pub trait EngineClient {
    /// Sends a chat-completions request. Dropping the future closes the connection, which cancels
    /// the request at the engine.
    fn chat<'a>(
        &'a self,
        address: SocketAddr,
        priority: u8,
        request: &'a BackendRequest,
        observer: &'a dyn ExchangeObserver,
    ) -> LocalBoxFuture<'a, Result<BackendReply, ExchangeError>>;

    /// Sends a cache command. Losing one is harmless.
    fn cache_command<'a>(
        &'a self,
        address: SocketAddr,
        program: &'a ProgramId,
        command: EngineCommand,
    ) -> LocalBoxFuture<'a, Result<(), ExchangeError>>;

    /// Requests a backend server's load and its cache changes after a position; `None` if it does not
    /// provide reports.
    fn report(
        &self,
        address: SocketAddr,
        after: u64,
    ) -> LocalBoxFuture<'_, Result<Option<BackendReport>, ExchangeError>>;
}

/// Client interface to services.
pub trait ServiceClient {
    /// Sends a request.
    fn call<'a>(
        &'a self,
        address: SocketAddr,
        request: &'a BackendRequest,
        observer: &'a dyn ExchangeObserver,
    ) -> LocalBoxFuture<'a, Result<BackendReply, ExchangeError>>;
}
