//! Traits between modules, so that each can be tested with fakes of the others.

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

/// Why a replicated group returned no reply.
#[derive(Clone, Debug, Snafu)]
#[snafu(visibility(pub))]
pub enum GroupError {
    /// The command is not in the log and will not be applied.
    #[snafu(display("no quorum took the command: {reason}"))]
    NotProposed {
        /// Cause, for logs.
        reason: Arc<str>,
        /// When to retry, if a leader was too busy.
        retry_after: Option<Duration>,
    },
    /// The outcome is unknown: the command may still be applied.
    #[snafu(display("the command may yet be applied: {reason}"))]
    Unknown {
        /// Cause, for logs.
        reason: Arc<str>,
    },
}

/// The program ledger, which is replicated by the state group of each program.
pub trait Ledger {
    /// Commits a command and returns the ledger's reply.
    fn commit(&self, command: ProgramCommand) -> LocalBoxFuture<'_, Result<ProgramReply, GroupError>>;

    /// Answers a query with a linearizable read.
    fn query(&self, query: ProgramQuery) -> LocalBoxFuture<'_, Result<QueryReply, GroupError>>;
}

/// Access to the control group for operators and members.
pub trait Control {
    /// Commits a command and returns its reply.
    fn commit(&self, command: ControlCommand) -> LocalBoxFuture<'_, Result<ControlReply, GroupError>>;

    /// The configuration in force on this node.
    fn configuration(&self) -> Arc<Configuration>;

    /// Whether this node may take new work.
    ///
    /// # Errors
    ///
    /// Fails with the reason why not.
    fn taking_work(&self) -> Result<(), NotTakingWork>;
}

/// Why a node takes no new work.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Snafu)]
pub enum NotTakingWork {
    /// No quorum has confirmed the configuration since the start.
    #[snafu(display("the configuration has not been confirmed since the start"))]
    Starting,
    /// The lease on the configuration has expired.
    #[snafu(display("the lease on the configuration has run out"))]
    Isolated,
    /// The node is shutting down.
    #[snafu(display("the node is stopping"))]
    Stopping,
}

/// A node in listings.
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
    /// Increases with each restart.
    pub incarnation: u64,
    /// Address for callers.
    pub caller_address: Arc<str>,
    /// Whether it is believed to take new work.
    pub live: bool,
    /// State for display: `live`, `stopping`, `silent` or `leaving`.
    pub state: Arc<str>,
    /// Latest control revision in force on it.
    pub revision: u64,
}

/// Access to the membership for the entry and operators.
pub trait Members {
    /// All known nodes.
    fn members(&self) -> Vec<MemberView>;

    /// A short list of caller addresses in order of preference, for a program or for a new one.
    fn addresses(&self, program: Option<&ProgramId>) -> Vec<Arc<str>>;
}

/// A backend server in listings.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct BackendView {
    /// Declared name.
    pub name: Arc<str>,
    /// `engine` or `service`.
    pub kind: Arc<str>,
    /// IP address and port.
    pub address: Arc<str>,
    /// `ready`, `leaving` or `ejected`.
    pub state: Arc<str>,
    /// Calls of this node that it is serving.
    pub running: u32,
    /// Calls in its queue by its last report.
    pub waiting: u32,
}

/// Access to the backend servers for operators.
pub trait Backends {
    /// All declared backend servers.
    fn backends(&self) -> Vec<BackendView>;
}

/// A replicated group in listings.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct GroupView {
    /// The group.
    pub group: GroupId,
    /// Its leader, if known.
    pub leader: Option<NodeId>,
    /// Latest term seen.
    pub term: u64,
    /// Highest committed index known.
    pub commit: u64,
    /// Its voters.
    pub replicas: Vec<NodeId>,
}

/// Access to the groups that this node has replicas of, for operators.
pub trait Groups {
    /// All groups with a replica on this node.
    fn groups(&self) -> Vec<GroupView>;

    /// Changes the membership of a group, one change at a time. Only the group's leader can.
    fn change(&self, group: GroupId, _change: ReplicaChange) -> LocalBoxFuture<'_, Result<(), ChangeError>> {
        Box::pin(async move { Err(ChangeError::NoReplica { group }) })
    }
}

/// Why the replicas of a group were not changed.
#[derive(Clone, Debug, Eq, PartialEq, Snafu)]
#[snafu(visibility(pub))]
pub enum ChangeError {
    /// This node has no replica of the group.
    #[snafu(display("this node holds no replica of group {}", group.0))]
    NoReplica {
        /// The group.
        group: GroupId,
    },
    /// Another node leads the group; nothing was changed.
    #[snafu(display("node {} leads the group", leader.map_or(0, |node| node.0)))]
    NotLeader {
        /// The leader, if known.
        leader: Option<NodeId>,
    },
    /// Another change is in progress or the learner lags; nothing was changed.
    #[snafu(display("another change is under way, or the learner has not caught up"))]
    Pending,
    /// The change does not apply to the current replicas; nothing was changed.
    #[snafu(display("the change does not apply to the current replicas"))]
    Invalid,
    /// The change may still be committed; check the replicas before trying again.
    #[snafu(display("the change may yet be committed"))]
    Undecided,
}

/// Access to the most recent trace lines; see docs/TRACE.md.
pub trait Traces {
    /// At most `limit` lines, oldest first.
    fn recent(&self, limit: u32) -> Vec<Arc<str>>;
}

/// Labels of a measurement. Each has few values, so that the number of series is bounded.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct Labels {
    /// The partner.
    pub partner: Arc<str>,
    /// The declared class, or the service for calls outside a program.
    pub class: Arc<str>,
}

/// A measurement, with its value where it has one.
#[derive(Clone, Debug, PartialEq)]
pub enum Measurement {
    /// Time from the first call of a program to its final answer.
    ProgramLatency(Duration),
    /// Time from the arrival of a call to its first token or byte.
    FirstToken(Duration),
    /// Time between two tokens of an answer.
    BetweenTokens(Duration),
    /// Time from the arrival of a call to its dispatch.
    QueueWait(Duration),
    /// Time that a call spends in this process, other than waiting for the backend server.
    AddedTime(Duration),
    /// Time of one commit through a state group.
    Commit(Duration),
    /// A call that was refused before it ran, with the reason.
    Refused(&'static str),
    /// A retry of a call, with the reason why the last attempt failed.
    Retried(&'static str),
    /// A response that its server broke off, by the way it ended.
    BrokenResponse(&'static str),
    /// An attempt brought its caller no success, by its sign, and its server may have ended under it.
    LostServer(&'static str),
    /// A call that may or may not have run.
    UnknownOutcome,
    /// Generated tokens.
    Tokens(u64),
}

/// The revision in force on a process of a deployment, and how recently control confirmed it.
pub trait Freshness {
    /// Revision of the table of routes; 0 before there is one.
    fn revision(&self) -> u64;

    /// Time since the process sent the last report that the control leader confirmed; none before the first.
    fn age(&self) -> Option<Duration>;
}

/// Records measurements; cheap enough to call for every token.
pub trait Recorder {
    /// Adds a measurement to the series with these labels.
    fn record(&self, labels: &Labels, measurement: &Measurement);

    /// Sets the prefix cache tokens that live programs hold and those wasted since the start, both as estimated by this
    /// node; see [`crate::retention::cache_usage`].
    fn record_cache(&self, held: u64, wasted: u64);

    /// Records the duration of a report to control, by its outcome.
    fn record_report(&self, _outcome: &'static str, _duration: Duration) {}

    /// Counts malformed entries of the platform's list of backend servers.
    fn record_malformed(&self, _entries: u64) {}

    /// Sets the number of voters that all state groups together lack for the tolerance of the settings.
    fn record_missing_voters(&self, _missing: u64) {}
}
