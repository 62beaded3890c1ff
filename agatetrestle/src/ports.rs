//! Traits at the borders between slices, so that each is tested with a small fake of the others.

use std::sync::Arc;
use std::time::Duration;

use futures::future::LocalBoxFuture;
use snafu::Snafu;

use crate::agreement::ReplicaChange;
use crate::control::command::Configuration;
use crate::control::command::ControlCommand;
use crate::control::command::ControlReply;
use crate::ids::GroupId;
use crate::ids::NodeId;
use crate::ids::ProgramId;
use crate::programs::command::ProgramCommand;
use crate::programs::command::ProgramQuery;
use crate::programs::command::ProgramReply;
use crate::programs::command::QueryReply;

/// Why a replicated group gave no reply.
#[derive(Clone, Debug, Snafu)]
#[snafu(visibility(pub))]
pub enum GroupError {
    /// The command did not enter the log and never will.
    #[snafu(display("no quorum took the command: {reason}"))]
    NotProposed {
        /// What stood in the way, for logs.
        reason: Arc<str>,
    },
    /// The command may yet be applied.
    #[snafu(display("the command may yet be applied: {reason}"))]
    Unknown {
        /// What happened, for logs.
        reason: Arc<str>,
    },
}

/// The ledger as the entry sees it: committed through the state group of the program.
pub trait Ledger {
    /// Commits a command and returns the reply of the ledger.
    fn commit(&self, command: ProgramCommand) -> LocalBoxFuture<'_, Result<ProgramReply, GroupError>>;

    /// Answers a query as of now.
    fn query(&self, query: ProgramQuery) -> LocalBoxFuture<'_, Result<QueryReply, GroupError>>;
}

/// The control group as operators and members see it.
pub trait Control {
    /// Commits a command and returns its reply.
    fn commit(&self, command: ControlCommand) -> LocalBoxFuture<'_, Result<ControlReply, GroupError>>;

    /// The configuration in force on this node.
    fn configuration(&self) -> Arc<Configuration>;

    /// Whether this node may take new work.
    ///
    /// # Errors
    ///
    /// Says why not.
    fn taking_work(&self) -> Result<(), NotTakingWork>;
}

/// Why a node takes no new work.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Snafu)]
pub enum NotTakingWork {
    /// No quorum confirmed the configuration since the start.
    #[snafu(display("the configuration has not been confirmed since the start"))]
    Starting,
    /// The lease on the configuration has run out.
    #[snafu(display("the lease on the configuration has run out"))]
    Isolated,
    /// The node is about to stop.
    #[snafu(display("the node is stopping"))]
    Stopping,
}

/// A node as other slices see it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct MemberView {
    /// The node.
    pub node: NodeId,
    /// Its VM.
    pub vm: Arc<str>,
    /// Its failure domain.
    pub failure_domain: Arc<str>,
    /// Its region.
    pub region: Arc<str>,
    /// Incarnation, higher after each restart.
    pub incarnation: u64,
    /// Where callers reach it.
    pub caller_address: Arc<str>,
    /// Whether it takes new work as far as is known.
    pub live: bool,
    /// State for people: `live`, `stopping`, `silent` or `leaving`.
    pub state: Arc<str>,
    /// Newest control revision in force on it.
    pub revision: u64,
}

/// The members as the entry and operators see them.
pub trait Members {
    /// All known nodes.
    fn members(&self) -> Vec<MemberView>;

    /// An ordered short list of caller addresses for a program, or for a new one.
    fn addresses(&self, program: Option<&ProgramId>) -> Vec<Arc<str>>;
}

/// A backend server in listings.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct BackendView {
    /// Declared name.
    pub name: Arc<str>,
    /// `engine` or `service`.
    pub kind: Arc<str>,
    /// IP number and port.
    pub address: Arc<str>,
    /// `ready`, `leaving` or `ejected`.
    pub state: Arc<str>,
    /// This node's calls in service there.
    pub running: u32,
    /// Calls waiting there by its last report.
    pub waiting: u32,
}

/// The backend servers as operators see them.
pub trait Backends {
    /// All declared backend servers.
    fn backends(&self) -> Vec<BackendView>;
}

/// A replicated group in listings.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct GroupView {
    /// The group.
    pub group: GroupId,
    /// Its leader if known.
    pub leader: Option<NodeId>,
    /// Newest term seen.
    pub term: u64,
    /// Highest committed index known.
    pub commit: u64,
    /// Its voters.
    pub replicas: Vec<NodeId>,
}

/// The groups of which this node holds a replica, as operators see them.
pub trait Groups {
    /// All of them.
    fn groups(&self) -> Vec<GroupView>;

    /// Changes who takes part in a group, one change at a time; only its leader can.
    fn change(&self, group: GroupId, _change: ReplicaChange) -> LocalBoxFuture<'_, Result<(), ChangeError>> {
        Box::pin(async move { Err(ChangeError::NoReplica { group }) })
    }
}

/// Why the replicas of a group were not changed.
#[derive(Clone, Debug, Eq, PartialEq, Snafu)]
#[snafu(visibility(pub))]
pub enum ChangeError {
    /// This node holds no replica of the group.
    #[snafu(display("this node holds no replica of group {}", group.0))]
    NoReplica {
        /// The group.
        group: GroupId,
    },
    /// Another node leads the group; nothing was changed.
    #[snafu(display("node {} leads the group", leader.map_or(0, |node| node.0)))]
    NotLeader {
        /// The leader if known.
        leader: Option<NodeId>,
    },
    /// Another change is under way or the learner lags; nothing was changed.
    #[snafu(display("another change is under way, or the learner has not caught up"))]
    Pending,
    /// The change makes no sense; nothing was changed.
    #[snafu(display("the change makes no sense for the present replicas"))]
    Invalid,
    /// The change may yet be committed; look at the replicas before trying again.
    #[snafu(display("the change may yet be committed"))]
    Undecided,
}

/// The newest recorded trace lines; see docs/TRACE.md.
pub trait Traces {
    /// At most `limit` lines, oldest first.
    fn recent(&self, limit: u32) -> Vec<Arc<str>>;
}

/// What a measure belongs to. Few values each, so that the number of series stays bounded.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct Labels {
    /// The partner.
    pub partner: Arc<str>,
    /// The declared class, or the service for calls outside a program.
    pub class: Arc<str>,
}

/// One thing that is counted or timed.
#[derive(Clone, Debug, PartialEq)]
pub enum Measurement {
    /// First call to final answer of a program.
    ProgramLatency(Duration),
    /// Arrival of a call to its first token or byte.
    FirstToken(Duration),
    /// Time between two tokens of an answer.
    BetweenTokens(Duration),
    /// Time between arrival of a call and its dispatch.
    QueueWait(Duration),
    /// Time that a call spent in this process beyond waiting for the backend server.
    AddedTime(Duration),
    /// Time of one commit through a state group.
    Commit(Duration),
    /// A refusal that did not run, by its reason.
    Refused(&'static str),
    /// A further attempt at a call, by what made the last one fail.
    Retried(&'static str),
    /// A call of which nobody can tell whether it ran.
    UnknownOutcome,
    /// Tokens generated.
    Tokens(u64),
}

/// What a process of a deployment holds to be in force, and how old that belief is.
pub trait Freshness {
    /// Revision of the table of routes; 0 before there is one.
    fn revision(&self) -> u64;

    /// Time since the report went out that the leader of control confirmed last; none before the first.
    fn age(&self) -> Option<Duration>;
}

/// Takes in measures; cheap enough for every token.
pub trait Recorder {
    /// Counts or times one thing.
    fn record(&self, labels: &Labels, measure: &Measurement);

    /// Sets the prefix cache that live programs hold on this node's account, and what was wasted of it
    /// since the start, in tokens; see [`crate::retention::cache_usage`].
    fn record_cache(&self, held: u64, wasted: u64);

    /// Counts a report to control by what became of it, and times it.
    fn record_report(&self, _outcome: &'static str, _took: Duration) {}

    /// Counts entries of the platform's list that name no server to use, since they can't be read.
    fn record_malformed(&self, _entries: u64) {}
}
