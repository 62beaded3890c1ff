//! Options and commands of the command line.

mod parser;

use std::net::SocketAddr;
use std::path::PathBuf;

use serde::Serialize;

/// Output format.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Format {
    /// JSON, for scripts.
    Json,
    /// Plain-text tables.
    Table,
}

/// The parsed command line.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Options {
    /// Operator addresses of nodes, in the order in which they are tried.
    pub addresses: Vec<SocketAddr>,
    /// Output format.
    pub format: Format,
    /// Command to execute.
    pub command: Command,
}

/// Command with its arguments.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Command {
    /// Apply a change of a document.
    Apply(Apply),
    /// Show the difference that a change would make.
    Plan {
        /// Name of the document.
        scope: String,
        /// File with the declarations.
        file: PathBuf,
    },
    /// Show the nodes and groups.
    Status,
    /// List programs.
    Programs {
        /// Partner whose programs are listed; empty for all.
        partner: String,
        /// Maximum number of rows.
        limit: u32,
    },
    /// List backend servers.
    Backends,
    /// Mark a VM or backend server as leaving.
    Drain {
        /// Name of the VM or backend server.
        name: String,
    },
    /// Show the documents in force.
    Config {
        /// Document to print as plain text; all are listed if absent.
        scope: Option<String>,
    },
    /// Print trace lines.
    Trace {
        /// Maximum number of lines.
        limit: u32,
    },
    /// Resolve a call of unknown outcome.
    Resolve(Resolve),
    /// Change the replicas of a group.
    Replicas(Replicas),
    /// Sum failed and slow requests by cause.
    Account {
        /// Length of the intervals, in seconds.
        span: u64,
        /// Log files of entries.
        logs: Vec<PathBuf>,
    },
    /// Print the completion script of a shell.
    Completions(Shell),
}

/// Arguments of `apply`.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Apply {
    /// Version of the document that the change is based on.
    pub expected_version: u64,
    /// Change id; derived from the change if absent.
    pub change_id: Option<String>,
    /// Whether to wait until the change is in force on every node.
    pub wait: bool,
    /// Timeout of the wait, in seconds.
    pub wait_seconds: u64,
    /// Name of the document.
    pub scope: String,
    /// File with the declarations.
    pub file: PathBuf,
}

/// Arguments of `resolve`.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Resolve {
    /// Whether the call ran.
    pub ran: bool,
    /// Justification that is stored with the call.
    pub note: String,
    /// Id of the program, `partner/name`.
    pub program: String,
    /// Number of the call.
    pub call: u32,
}

/// Arguments of `replicas`.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Replicas {
    /// Number of the group; 0 is the control group.
    pub group: u32,
    /// Membership change.
    pub change: ReplicaChange,
    /// Number of the node.
    pub node: u64,
}

/// A single-step change of the replicas of a group.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ReplicaChange {
    /// Adds the node as a learner, which receives the log but does not vote.
    Add,
    /// Makes the learner a voter; rejected while it lags.
    Promote,
    /// Removes the node from the group.
    Remove,
}

/// Shell with completion support.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Shell {
    /// GNU Bash.
    Bash,
    /// The fish shell.
    Fish,
    /// The Z shell.
    Zsh,
}

#[cfg(test)]
mod tests;
