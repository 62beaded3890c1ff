//! What goes wrong in a replay, and when: JSON lines, one for each fault.

use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;
use snafu::ResultExt;
use snafu::Snafu;

/// What goes wrong with one engine.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "snake_case", tag = "kind")]
pub enum FaultKind {
    /// Each step takes this many percent of the normal time; 100 mends it.
    Pace {
        /// Percent of the normal time.
        percent: u64,
    },
    /// Loses everything and takes no connection.
    Die,
    /// Is back after having died.
    Recover,
    /// Reports this share of its load, in percent; 100 mends it.
    Lie {
        /// Percent of the true load.
        percent: u32,
    },
    /// Loses this share of its cache events, in percent.
    DropEvents {
        /// Percent of the events.
        percent: u32,
    },
    /// Fails this share of its calls, in percent; 0 mends it.
    Fail {
        /// Percent of the calls.
        percent: u32,
    },
    /// Is about to leave; the list of VMs says so this much later.
    Leave {
        /// Lag of the list in microseconds.
        lag: u64,
    },
}

/// One fault.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Fault {
    /// Microseconds since the start of the trace.
    pub at: u64,
    /// Name of the backend server, such as `engine-3`.
    pub backend: Arc<str>,
    /// What happens.
    #[serde(flatten)]
    pub kind: FaultKind,
}

/// Why faults could not be read.
#[derive(Debug, Snafu)]
pub enum FaultError {
    /// A line is no fault.
    #[snafu(display("line {line}: {source}"))]
    FaultLine {
        /// Number of the line, from 1.
        line: usize,
        /// What the parser expected.
        source: serde_json::Error,
    },
}

/// Reads faults.
///
/// # Errors
///
/// Fails at the first line that is no fault.
pub fn parse(text: &str) -> Result<Vec<Fault>, FaultError> {
    text.lines()
        .enumerate()
        .filter(|(_, line)| !line.is_empty())
        .map(|(at, line)| serde_json::from_str(line).context(FaultLineSnafu { line: at + 1 }))
        .collect()
}
