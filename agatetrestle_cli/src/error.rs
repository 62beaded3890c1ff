//! Failures of the tool and the exit code of each kind.

use std::path::PathBuf;
use std::sync::Arc;

use serde::Serialize;
use snafu::Snafu;

use crate::rows::NodeRow;

/// Exit codes; docs/operators/README.md lists them for people.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[repr(u8)]
pub enum Exit {
    /// All went well.
    Done = 0,
    /// The result could not be written out.
    Output = 1,
    /// The command line can't be read.
    Usage = 2,
    /// The input was refused; sending it again changes nothing.
    Invalid = 3,
    /// Another change came first.
    Conflict = 4,
    /// No node took the call; nothing was changed.
    Unavailable = 5,
    /// Nobody can tell whether the change was taken.
    Unknown = 6,
    /// The change was accepted but not every node has it in force.
    Lagging = 7,
}

/// Why a command did not succeed.
#[derive(Debug, Serialize, Snafu)]
#[serde(rename_all = "snake_case", tag = "error")]
pub enum ToolError {
    /// A file that the command names can't be read.
    #[snafu(display("{}: {reason}", file.display()))]
    File {
        /// The file.
        file: PathBuf,
        /// What the operating system said.
        reason: Arc<str>,
    },
    /// The node refused the input.
    #[snafu(display("refused: {reason}"))]
    Invalid {
        /// What would have been accepted.
        reason: Arc<str>,
    },
    /// Another change of the document came first.
    #[snafu(display("conflict: {scope} is at version {current_version}{}", against(difference)))]
    Conflict {
        /// The document.
        scope: Arc<str>,
        /// Version in force.
        current_version: u64,
        /// Lines that the offered text removes from and adds to the text in force.
        difference: Arc<str>,
    },
    /// No node took the call.
    #[snafu(display("not accepted: {reason}"))]
    Unavailable {
        /// What each address answered.
        reason: Arc<str>,
    },
    /// The answer was lost.
    #[snafu(display("unknown whether it was accepted: {reason}"))]
    Unknown {
        /// What each address answered.
        reason: Arc<str>,
    },
    /// Accepted, but not in force everywhere within the time given.
    #[snafu(display(
        "accepted as version {version}, but these nodes have not confirmed it:{}",
        names(nodes)
    ))]
    Lagging {
        /// Version that was accepted.
        version: u64,
        /// Revision that the nodes lack.
        revision: u64,
        /// The nodes that lag behind.
        nodes: Vec<NodeRow>,
    },
}

fn names(nodes: &[NodeRow]) -> String {
    let one = |node: &NodeRow| {
        format!("\n  {} (node {}, {}, at {})", node.vm, node.node, node.state, node.revision)
    };
    nodes.iter().map(one).collect()
}

fn against(difference: &str) -> Arc<str> {
    if difference.is_empty() {
        return ", and its text is the offered one".into();
    }
    format!("; against it, this change is\n{}", difference.trim_end()).into()
}

impl ToolError {
    /// The exit code of this kind of failure.
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
