//! Errors of the tool and their exit codes.

use std::path::PathBuf;
use std::sync::Arc;

use serde::Serialize;
use snafu::Snafu;

use crate::rows::NodeRow;

/// Exit codes, documented for operators in docs/operators/README.md.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[repr(u8)]
pub enum Exit {
    /// The command succeeded.
    Done = 0,
    /// The output could not be written.
    Output = 1,
    /// The command line is invalid.
    Usage = 2,
    /// The input was rejected; a retry would fail the same way.
    Invalid = 3,
    /// The document has another version than expected.
    Conflict = 4,
    /// No node accepted the call; nothing was changed.
    Unavailable = 5,
    /// It is unknown whether the change was accepted.
    Unknown = 6,
    /// The change was accepted but is not yet in force on every node.
    Lagging = 7,
}

/// Error of a command.
#[derive(Debug, Serialize, Snafu)]
#[serde(rename_all = "snake_case", tag = "error")]
pub enum ToolError {
    /// A file argument can't be used.
    #[snafu(display("{}: {reason}", file.display()))]
    File {
        /// Path of the file.
        file: PathBuf,
        /// Description of the error.
        reason: Arc<str>,
    },
    /// The input was rejected.
    #[snafu(display("refused: {reason}"))]
    Invalid {
        /// Reason of the rejection.
        reason: Arc<str>,
    },
    /// The document has another version than expected.
    #[snafu(display("conflict: {scope} is at version {current_version}{}", against(difference)))]
    Conflict {
        /// Name of the document.
        scope: Arc<str>,
        /// Current version of the document.
        current_version: u64,
        /// Lines that the offered text removes from and adds to the current text.
        difference: Arc<str>,
    },
    /// No node accepted the call.
    #[snafu(display("not accepted: {reason}"))]
    Unavailable {
        /// Errors by address.
        reason: Arc<str>,
    },
    /// It is unknown whether the change was accepted.
    #[snafu(display("unknown whether it was accepted: {reason}"))]
    Unknown {
        /// Errors by address.
        reason: Arc<str>,
    },
    /// The change was accepted but was not in force on every node before the timeout.
    #[snafu(display(
        "accepted as version {version}, but these nodes have not confirmed it:{}",
        names(nodes)
    ))]
    Lagging {
        /// New version of the document.
        version: u64,
        /// Revision of the configuration with the change.
        revision: u64,
        /// Nodes with an older revision.
        nodes: Vec<NodeRow>,
    },
}

fn names(nodes: &[NodeRow]) -> String {
    let line = |node: &NodeRow| {
        format!("\n  {} (node {}, {}, at {})", node.vm, node.node, node.state, node.revision)
    };
    nodes.iter().map(line).collect()
}

fn against(difference: &str) -> Arc<str> {
    if difference.is_empty() {
        return ", which has the same text as this change".into();
    }
    format!("; relative to that version, this change is\n{}", difference.trim_end()).into()
}

impl ToolError {
    /// Returns the exit code of the error.
    #[must_use]
    pub fn exit(&self) -> Exit {
        match self {
            Self::File { .. } | Self::Invalid { .. } => Exit::Invalid,
            Self::Conflict { .. } => Exit::Conflict,
            Self::Unavailable { .. } => Exit::Unavailable,
            Self::Unknown { .. } => Exit::Unknown,
            Self::Lagging { .. } => Exit::Lagging,
        }
    }
}
