//! Events that the scheduler processes and the decisions that it returns.
//!
//! The daemon and the replay of a recorded trace send the same events; see docs/TRACE.md.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use agatetrestle_config::declarations::BackendKind;
use slotmap::new_key_type;

use crate::clock::Timestamp;
use crate::ids::ProgramId;
use crate::programs::command::Repeatable;

new_key_type! {
    /// Key of a backend server, stable while its name is declared with the same kind and service.
    pub struct BackendKey;
}

/// Identifier of a call over all of its attempts, assigned by the driver and unique within the process.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct CallId(pub u64);

/// The request of a call.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Work {
    /// A model call.
    Model {
        /// The model.
        model: Arc<str>,
        /// Hash chain over the blocks of the prompt, so that equal hashes mean equal prefixes.
        blocks: Arc<[u64]>,
        /// Length of the prompt.
        prompt_tokens: u32,
        /// Maximum length of the response.
        max_tokens: u32,
    },
    /// A call to a tool service or plain service.
    Service {
        /// The service.
        service: Arc<str>,
    },
}

/// A call submitted to the scheduler.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Call {
    /// Its identifier.
    pub id: CallId,
    /// The program that makes it.
    pub program: ProgramId,
    /// The outermost ancestor of a sub-agent, or the program itself.
    pub root: ProgramId,
    /// Team within the partner.
    pub team: Arc<str>,
    /// Declared class.
    pub class: Arc<str>,
    /// The request.
    pub work: Work,
    /// Whether it may be retried after bytes were sent.
    pub repeatable: Repeatable,
    /// Time after which the caller discards the response.
    pub deadline: Option<Timestamp>,
}

/// A declared backend server.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Backend {
    /// Declared name.
    pub name: Arc<str>,
    /// Whether it is an engine or a service replica.
    pub kind: BackendKind,
    /// The model or service it serves.
    pub serves: Arc<str>,
    /// Its VM.
    pub vm: Arc<str>,
    /// Its failure domain.
    pub failure_domain: Arc<str>,
    /// Maximum number of concurrent requests.
    pub slots: u32,
    /// Size of its prefix cache in tokens, 0 if undeclared.
    pub cache_tokens: u64,
}

/// Declared rule of a class.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ClassRule {
    /// Higher priorities are served first.
    pub priority: u8,
    /// Target time from the first call to the final response.
    pub deadline: Option<Duration>,
    /// Time without a call after which a prefix is released.
    pub keepalive: Duration,
}

/// Declarations in force. Names of teams and classes are qualified by the partner.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Catalog {
    /// Backend servers in declared order.
    pub backends: Vec<Backend>,
    /// Share by partner.
    pub shares: BTreeMap<Arc<str>, u32>,
    /// Weight of each team by partner and name.
    pub teams: BTreeMap<(Arc<str>, Arc<str>), u32>,
    /// Rule of each class by partner and name.
    pub classes: BTreeMap<(Arc<str>, Arc<str>), ClassRule>,
}

/// A delayed load report of a backend server.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Load {
    /// Requests in service.
    pub running: u32,
    /// Requests waiting inside the backend server.
    pub waiting: u32,
    /// Age of the report when it arrived.
    pub age: Duration,
}

/// Change of an engine's prefix cache. Changes arrive late, and some are lost.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum CacheChange {
    /// Blocks were stored.
    Stored(Arc<[u64]>),
    /// Blocks were evicted.
    Evicted(Arc<[u64]>),
    /// The cache was lost or cleared.
    Cleared,
}

/// How an attempt failed.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum Failure {
    /// The connection failed, so nothing was sent.
    Connect,
    /// The backend server rejected the call before starting it.
    Refused,
    /// After bytes were sent, the call timed out without progress or the connection was lost.
    Lost,
    /// A complete response reported an error.
    Error,
}

/// An input of the scheduler.
#[derive(Clone, Debug)]
pub enum Event {
    /// The declarations in force changed.
    Catalog(Arc<Catalog>),
    /// A call was submitted.
    Submit(Call),
    /// The first token of a response arrived.
    FirstToken(CallId),
    /// A complete response arrived.
    Finished {
        /// The call.
        call: CallId,
        /// Generated tokens, 0 for services.
        output_tokens: u32,
        /// Prompt tokens that the engine read from its cache.
        cached_tokens: u32,
    },
    /// An attempt failed. The call is dispatched again or ends with [`Action::GiveUp`].
    Failed {
        /// The call.
        call: CallId,
        /// How it failed.
        failure: Failure,
    },
    /// The caller disconnected. The call is not dispatched again.
    Cancelled(CallId),
    /// A load report arrived.
    Load {
        /// Name of the backend server.
        backend: Arc<str>,
        /// The report.
        load: Load,
    },
    /// A cache change was reported.
    Cache {
        /// Name of the backend server.
        backend: Arc<str>,
        /// The change.
        change: CacheChange,
    },
    /// A backend server, or all on a VM, is leaving or has returned.
    Leaving {
        /// Name of the VM or backend server.
        name: Arc<str>,
        /// Whether it is leaving; `false` for a newer incarnation.
        leaving: bool,
    },
    /// The latest response of a program requests a tool. Optional: it improves the estimate of the pause.
    Paused {
        /// The program.
        program: ProgramId,
        /// The tool.
        tool: Arc<str>,
    },
    /// A program has ended.
    Ended(ProgramId),
    /// Periodic tick.
    Tick,
}

/// Why a call was refused before anything was sent.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum RefusalReason {
    /// No declared backend server serves the model or service.
    NoBackend,
    /// The queue is full, or the call waited too long for admission.
    Overload,
    /// The deadline has passed.
    Deadline,
    /// The program repeated the same prompt too often.
    Runaway,
}

/// A decision about a call, carried out by the driver.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Action {
    /// Send the call to this backend server.
    Dispatch {
        /// The call.
        call: CallId,
        /// The backend server.
        backend: BackendKey,
        /// Priority within the engine; higher ones are served first.
        priority: u8,
    },
    /// Refuse the call, of which nothing was sent.
    Refuse {
        /// The call.
        call: CallId,
        /// The reason.
        reason: RefusalReason,
        /// Minimum delay before the caller retries.
        retry_after: Duration,
    },
    /// Make no further attempt and report the last failure.
    GiveUp {
        /// The call.
        call: CallId,
        /// Minimum delay before the caller retries.
        retry_after: Duration,
    },
}

/// A command about an engine's prefix cache. Unlike an [`Action`], it may be lost.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum CacheCommand {
    /// Drop the program's prefix, except for shared blocks.
    Release {
        /// The program.
        program: ProgramId,
        /// The engine.
        backend: BackendKey,
    },
    /// Move the program's prefix from engine memory to external storage.
    Export {
        /// The program.
        program: ProgramId,
        /// The engine.
        backend: BackendKey,
    },
    /// Load an exported prefix, possibly into another engine.
    Import {
        /// The program.
        program: ProgramId,
        /// The engine.
        backend: BackendKey,
    },
}

/// The decisions of one step.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Decisions {
    /// Actions on calls, in order.
    pub actions: Vec<Action>,
    /// Commands to engine caches.
    pub cache_commands: Vec<CacheCommand>,
}
