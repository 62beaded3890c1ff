//! What the scheduler is told and what it decides.
//!
//! The same events come from the daemon and from a recorded trace, so that a replay runs the very
//! code that serves; see docs/TRACE.md.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use agatetrestle_config::declarations::BackendKind;
use slotmap::new_key_type;

use crate::clock::Timestamp;
use crate::ids::ProgramId;
use crate::programs::command::Repeatable;

new_key_type! {
    /// Key of a backend server in the catalog; it stays the same while the name is declared.
    pub struct BackendKey;
}

/// Number of a call attempt series, chosen by the driver and unique within the process.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct CallId(pub u64);

/// What a call asks for.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Work {
    /// A model call.
    Model {
        /// The model.
        model: Arc<str>,
        /// Hashes of the prompt's blocks, each over all before it, so that equal hashes mean equal prefixes.
        blocks: Arc<[u64]>,
        /// Tokens of the prompt.
        prompt_tokens: u32,
        /// Most tokens of the answer.
        max_tokens: u32,
    },
    /// A call to a tool service or plain service.
    Service {
        /// The service.
        service: Arc<str>,
    },
}

/// A call that wants to be sent.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Call {
    /// Its number.
    pub id: CallId,
    /// The program that makes it.
    pub program: ProgramId,
    /// The outermost program of which this is a sub-agent, or the program itself.
    pub root: ProgramId,
    /// Team within the partner.
    pub team: Arc<str>,
    /// Declared class.
    pub class: Arc<str>,
    /// What it asks for.
    pub work: Work,
    /// Whether it may be sent more than once.
    pub repeatable: Repeatable,
    /// When the caller no longer wants the answer.
    pub deadline: Option<Timestamp>,
}

/// A backend server as the scheduler knows it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Backend {
    /// Declared name.
    pub name: Arc<str>,
    /// Engine or service replica.
    pub kind: BackendKind,
    /// The model or service it serves.
    pub serves: Arc<str>,
    /// Its VM.
    pub vm: Arc<str>,
    /// Its failure domain.
    pub failure_domain: Arc<str>,
    /// Requests it takes at once.
    pub slots: u32,
    /// Prefix cache in tokens.
    pub cache_tokens: u64,
}

/// A class as the scheduler knows it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ClassRule {
    /// Higher goes first.
    pub priority: u8,
    /// Wished time from first call to final answer.
    pub deadline: Option<Duration>,
    /// Time without a call after which cache is released.
    pub keepalive: Duration,
}

/// What the declarations in force say to the scheduler. Names of teams and classes are qualified
/// by the partner.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Catalog {
    /// Backend servers in declared order.
    pub backends: Vec<Backend>,
    /// Share of each partner.
    pub shares: BTreeMap<Arc<str>, u32>,
    /// Weight of each team by partner and name.
    pub teams: BTreeMap<(Arc<str>, Arc<str>), u32>,
    /// Rule of each class by partner and name.
    pub classes: BTreeMap<(Arc<str>, Arc<str>), ClassRule>,
}

/// A load report; it lags.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Load {
    /// Requests in service.
    pub running: u32,
    /// Requests waiting inside the backend server.
    pub waiting: u32,
    /// Age of the report when it arrived.
    pub age: Duration,
}

/// Change of an engine's prefix cache; events come late and with gaps.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum CacheChange {
    /// Blocks that were stored.
    Stored(Arc<[u64]>),
    /// Blocks that were evicted.
    Evicted(Arc<[u64]>),
    /// The engine lost or cleared everything.
    Cleared,
}

/// How an attempt failed.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum Failure {
    /// No connection could be made, so nothing was sent.
    Connect,
    /// The backend server said that it did not start the call.
    Refused,
    /// Bytes were sent and no progress was seen in time, or the connection broke.
    Lost,
    /// A whole answer came that reports an error.
    Error,
}

/// Something the scheduler must know.
#[derive(Clone, Debug)]
pub enum Event {
    /// The declarations in force changed.
    Catalog(Arc<Catalog>),
    /// A call wants to be sent.
    Submit(Call),
    /// The first token of an answer came.
    FirstToken(CallId),
    /// A whole answer came.
    Finished {
        /// The call.
        call: CallId,
        /// Tokens generated, 0 for services.
        output_tokens: u32,
        /// Prompt tokens that the engine found in its cache.
        cached_tokens: u32,
    },
    /// An attempt failed; the answer is a new dispatch or a [`Action::GiveUp`].
    Failed {
        /// The call.
        call: CallId,
        /// How.
        failure: Failure,
    },
    /// The caller is gone; nothing more is dispatched for this call.
    Cancelled(CallId),
    /// A load report came.
    Load {
        /// Name of the backend server.
        backend: Arc<str>,
        /// What it says.
        load: Load,
    },
    /// A cache event came.
    Cache {
        /// Name of the backend server.
        backend: Arc<str>,
        /// What it says.
        change: CacheChange,
    },
    /// A backend server, or all on a VM, is leaving; `false` where a newer incarnation is back.
    Leaving {
        /// Name of the VM or backend server.
        name: Arc<str>,
        /// Whether it leaves.
        leaving: bool,
    },
    /// The answer that a program just got asks for a tool, as far as the driver can tell. Telling
    /// this is optional; it lets the expected length of the pause be learned by tool.
    Paused {
        /// The program.
        program: ProgramId,
        /// The tool.
        tool: Arc<str>,
    },
    /// A program has ended.
    Ended(ProgramId),
    /// Time passed.
    Tick,
}

/// Why a call was turned away before anything was sent.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum RefusalReason {
    /// No declared backend server serves the model or service.
    NoBackend,
    /// The queue for the call's partner or class is full or too slow.
    Overload,
    /// The deadline can't be met.
    Deadline,
    /// The program repeats itself beyond what the rules allow.
    Runaway,
}

/// What the driver must do.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Action {
    /// Send the call to this backend server.
    Dispatch {
        /// The call.
        call: CallId,
        /// Where to.
        backend: BackendKey,
        /// Priority for an engine, higher first.
        priority: u8,
    },
    /// Turn the call away; it did not run.
    Refuse {
        /// The call.
        call: CallId,
        /// Why.
        reason: RefusalReason,
        /// When the caller may come back.
        retry_after: Duration,
    },
    /// No further attempt; the last failure stands.
    GiveUp {
        /// The call.
        call: CallId,
        /// When the caller may come back.
        retry_after: Duration,
    },
}

/// An order about an engine's cache, told apart from [`Action`] because losing one is harmless.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum CacheCommand {
    /// Drop what the program holds beyond shared prefixes.
    Release {
        /// The program.
        program: ProgramId,
        /// The engine.
        backend: BackendKey,
    },
    /// Move what the program holds out of engine memory until it is needed.
    Export {
        /// The program.
        program: ProgramId,
        /// The engine.
        backend: BackendKey,
    },
    /// Bring it back, perhaps to another engine.
    Import {
        /// The program.
        program: ProgramId,
        /// The engine.
        backend: BackendKey,
    },
}

/// Everything one step decided.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Decisions {
    /// About calls, in order.
    pub actions: Vec<Action>,
    /// About caches.
    pub cache_commands: Vec<CacheCommand>,
}
