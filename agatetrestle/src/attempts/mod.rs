//! Attempts at calls: the scheduler's decisions carried out on connections to backend servers.
//!
//! A [`Dispatcher`] hands each call to the scheduler, sends it where the scheduler says and reports
//! back. The pure [`delivery`] alone decides what may be said about the outcome of a call. Why a call
//! that may not be repeated gets a connection of its own, and what happens on silence, stands in
//! docs/design/009-silent-connections.md.
//!
//! Engines receive a chat-completions request with the header `Agatetrestle-Priority` (a decimal
//! number, higher first), and every backend server receives `Agatetrestle-Program`,
//! `Agatetrestle-Call` and the caller's `Idempotency-Key`. A backend server that answers with
//! `Agatetrestle-Outcome: not_run` says that it did not start the call.
//!
//! Beside calls, engines take `POST /admin/cache` with `{"program": "partner/name", "order": "release"}` (or
//! `export`, `import`) and answer `GET /admin/report?after=N` with `{"running": 1, "waiting": 0, "age_ms": 0,
//! "position": 7, "changes": [{"stored": [1, 2]}, {"evicted": [3]}, "cleared"]}`, where a number stands for a
//! block as [`prefix`] hashes it. Services that are declared with `reports_load` answer the same without changes.

mod admin;
pub mod call;
pub mod catalog;
pub mod delivery;
pub mod dispatcher;
pub mod http;
pub mod prefix;
mod run;
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

/// Header by which a backend server says that it did not start a call.
pub const OUTCOME_HEADER: &str = "Agatetrestle-Outcome";

/// Header of the request key.
pub const IDEMPOTENCY_KEY_HEADER: &str = "Idempotency-Key";

/// A request as it goes to a backend server.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct BackendRequest {
    /// The program that makes the call.
    pub program: ProgramId,
    /// Number of the call.
    pub call: CallNumber,
    /// The caller's key, for backend servers that recognise resends.
    pub key: RequestKey,
    /// Path and query on the backend server.
    pub path: Arc<str>,
    /// Media type of the body.
    pub content_type: Arc<str>,
    /// The body.
    pub body: Arc<[u8]>,
    /// Whether the request may be sent again.
    pub repeatable: Repeatable,
    /// Whether the answer is wanted as server-sent events.
    pub stream: bool,
    /// Time without progress after which the connection counts as silent.
    pub idle_timeout: Duration,
}

/// What an exchange reports while it runs.
pub trait ExchangeObserver {
    /// The first byte of the request is about to be written: from here on the call may have run.
    fn on_write(&self);

    /// A further part of the answer came.
    fn on_event(&self, bytes: &[u8]);
}

/// A whole answer with what its sender said about tokens.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct BackendReply {
    /// The answer, whole.
    pub answer: Answer,
    /// Tokens generated and read.
    pub usage: TokenUsage,
    /// The tool that the answer asks for, if it is a model's and asks for one.
    pub tool: Option<Arc<str>>,
}

/// Token counts of an answer; zeros for services.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct TokenUsage {
    /// Tokens of the prompt.
    pub prompt: u64,
    /// Tokens generated.
    pub output: u64,
    /// Prompt tokens that the engine found in its cache.
    pub cached: u64,
}

/// An exchange that gave no usable answer.
#[derive(Clone, Debug, Eq, PartialEq, Snafu)]
#[snafu(visibility(pub), display("{failure:?}: {detail}"))]
pub struct ExchangeError {
    /// How it failed.
    pub failure: Failure,
    /// What happened, for logs and problem details.
    pub detail: Arc<str>,
    /// The whole answer, where the failure is [`Failure::Error`].
    pub reply: Option<BackendReply>,
}

/// An order about what an engine holds for a program.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum EngineCommand {
    /// Drop it, but for prefixes that other programs share.
    Release,
    /// Move it out of the engine's memory.
    Export,
    /// Bring it back.
    Import,
}

/// What a backend server reports of itself.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct BackendReport {
    /// Its load.
    pub load: Load,
    /// Changes of its prefix cache since the position that was asked for.
    pub changes: Vec<CacheChange>,
    /// Position to ask from next time.
    pub position: u64,
}

/// The model engines at the border of this slice.
pub trait EngineClient {
    /// Sends one chat-completions request. Dropping the future closes the connection, which cancels
    /// the request at the engine.
    fn chat<'a>(
        &'a self,
        address: SocketAddr,
        priority: u8,
        request: &'a BackendRequest,
        progress: &'a dyn ExchangeObserver,
    ) -> LocalBoxFuture<'a, Result<BackendReply, ExchangeError>>;

    /// Gives an order about a cache. Losing one is harmless.
    fn order<'a>(
        &'a self,
        address: SocketAddr,
        program: &'a ProgramId,
        order: EngineCommand,
    ) -> LocalBoxFuture<'a, Result<(), ExchangeError>>;

    /// Asks a backend server for its load and for cache changes after a position; none where it gives no
    /// reports.
    fn report(
        &self,
        address: SocketAddr,
        after: u64,
    ) -> LocalBoxFuture<'_, Result<Option<BackendReport>, ExchangeError>>;
}

/// The tool services and plain services at the border of this slice.
pub trait ServiceClient {
    /// Sends one request.
    fn call<'a>(
        &'a self,
        address: SocketAddr,
        request: &'a BackendRequest,
        progress: &'a dyn ExchangeObserver,
    ) -> LocalBoxFuture<'a, Result<BackendReply, ExchangeError>>;
}
