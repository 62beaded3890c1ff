//! The command line as it was read.

mod parser;

use std::net::SocketAddr;
use std::path::PathBuf;

use serde::Serialize;

/// Form of the output.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Format {
    /// JSON for programs.
    Json,
    /// Tables for people.
    Table,
}

/// The whole command line.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Options {
    /// Addresses of nodes for operators, tried in this order.
    pub addresses: Vec<SocketAddr>,
    /// Form of the output.
    pub format: Format,
    /// What to do.
    pub command: Command,
}

/// What to do.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Command {
    /// Offer a change.
    Apply(Apply),
    /// Ask what a change would do.
    Plan {
        /// The document.
        scope: String,
        /// File with the declarations.
        file: PathBuf,
    },
    /// Show nodes and groups.
    Status,
    /// List programs.
    Programs {
        /// Only this partner's; empty for all.
        partner: String,
        /// Most rows.
        limit: u32,
    },
    /// List backend servers.
    Backends,
    /// Mark as leaving.
    Drain {
        /// VM or backend server.
        name: String,
    },
    /// Show what is in force.
    Config {
        /// Only this document, as plain text.
        scope: Option<String>,
    },
    /// Print trace lines.
    Trace {
        /// Most lines.
        limit: u32,
    },
    /// Settle a call of unknown outcome.
    Resolve(Resolve),
    /// Change who takes part in a group.
    Replicas(Replicas),
    /// Sum up where requests were lost or late.
    Account {
        /// Length of the spans, in seconds.
        span: u64,
        /// Logs of entries.
        logs: Vec<PathBuf>,
    },
    /// Print the completions of a shell.
    Completions(Shell),
}

/// Arguments of `apply`.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Apply {
    /// Version that the operator saw.
    pub expected_version: u64,
    /// Identity of the change, if not the derived one.
    pub change_id: Option<String>,
    /// Whether to wait until it is in force everywhere.
    pub wait: bool,
    /// How long to wait, in seconds.
    pub wait_seconds: u64,
    /// The document.
    pub scope: String,
    /// File with the declarations.
    pub file: PathBuf,
}

/// Arguments of `resolve`.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Resolve {
    /// Whether the call ran.
    pub ran: bool,
    /// Why the operator is sure.
    pub note: String,
    /// The program, `partner/name`.
    pub program: String,
    /// Number of the call.
    pub call: u32,
}

/// Arguments of `replicas`.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Replicas {
    /// The group; 0 is the control group.
    pub group: u32,
    /// What to do.
    pub change: ReplicaChange,
    /// The node.
    pub node: u64,
}

/// A single-step change of the replicas of a group.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ReplicaChange {
    /// The node receives the log but does not count yet.
    Add,
    /// The learner counts; refused while it lags.
    Promote,
    /// The node takes no part any more.
    Remove,
}

/// A shell that completions are made for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Shell {
    /// GNU Bash.
    Bash,
    /// The friendly interactive shell.
    Fish,
    /// The Z shell.
    Zsh,
}

#[cfg(test)]
mod tests;
