//! Faults to inject into a replay, read from JSON lines.

use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;
use snafu::ResultExt;
use snafu::Snafu;

/// A fault of one backend server.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "snake_case", tag = "kind")]
pub enum FaultKind {
    /// Scales the duration of each engine step; 100 restores it.
    Pace {
        /// Percent of the normal duration.
        percent: u64,
    },
    /// Loses all requests and cached blocks and refuses connections.
    Die,
    /// Accepts connections again after [`FaultKind::Die`].
    Recover,
    /// Reports a scaled load; 100 restores it.
    Lie {
        /// Percent of the true load.
        percent: u32,
    },
    /// Loses a share of its cache events.
    DropEvents {
        /// Percent of the events.
        percent: u32,
    },
    /// Fails a share of its calls; 0 restores it.
    Fail {
        /// Percent of the calls.
        percent: u32,
    },
    /// Starts to leave and refuses new calls.
    Leave {
        /// Delay in microseconds until the list of VMs shows it.
        lag: u64,
    },
}

/// A fault with its time and target.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Fault {
    /// Microseconds since the start of the trace.
    pub at: u64,
    /// Name of the backend server, such as `engine-3`.
    pub backend: Arc<str>,
    /// Kind of the fault.
    #[serde(flatten)]
    pub kind: FaultKind,
}

/// Failure to parse a list of faults.
#[derive(Debug, Snafu)]
pub enum FaultError {
    /// A line is not a valid fault.
    #[snafu(display("line {line}: {source}"))]
    FaultLine {
        /// Line number, from 1.
        line: usize,
        /// Error of the JSON parser.
        source: serde_json::Error,
    },
}

/// Parses faults from JSON lines; empty lines are skipped.
///
/// # Errors
///
/// Fails on the first invalid line.
pub fn parse(text: &str) -> Result<Vec<Fault>, FaultError> {
    text.lines()
        .enumerate()
        .filter(|(_, line)| !line.is_empty())
        .map(|(at, line)| serde_json::from_str(line).context(FaultLineSnafu { line: at + 1 }))
        .collect()
}
