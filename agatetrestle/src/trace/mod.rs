//! Trace format: a JSON line for each call of a program, without the texts of prompts and responses.
//!
//! The daemon records traces and the replay evaluates scheduling policies on them; see docs/TRACE.md.

pub mod recorder;

use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;
use snafu::ResultExt;
use snafu::Snafu;

/// Kind of backend server that a call is sent to.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum CallKind {
    /// A model engine.
    Model,
    /// A replica of a tool service or plain service.
    Service,
}

/// The call of a parent program that started a sub-agent.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Parent {
    /// Name of the parent within the same partner.
    pub program: Arc<str>,
    /// Number of the parent's call after which the sub-agent starts. The next call waits for the sub-agent.
    pub call: u32,
}

/// The pause between the previous response of a program and a call.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Pause {
    /// Name of the tool or person that the program waited for.
    pub tool: Arc<str>,
    /// Length in microseconds.
    pub micros: u64,
}

/// One call of a program.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct TraceCall {
    /// Partner of the program.
    pub partner: Arc<str>,
    /// Name of the program within the partner.
    pub program: Arc<str>,
    /// Team within the partner.
    pub team: Arc<str>,
    /// Declared class.
    pub class: Arc<str>,
    /// The call that started the program, if it is a sub-agent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub parent: Option<Parent>,
    /// Number of the call within its program, from 1.
    pub call: u32,
    /// Whether this is the last call of the program.
    #[serde(default)]
    pub last: bool,
    /// Kind of its backend server.
    pub kind: CallKind,
    /// Name of the model or service.
    pub serves: Arc<str>,
    /// Whether it may be retried after bytes were sent.
    pub repeatable: bool,
    /// Hash chain over the full blocks of the prompt.
    #[serde(default)]
    pub blocks: Arc<[u64]>,
    /// Tokens in one block.
    #[serde(default)]
    pub block_tokens: u32,
    /// Tokens of the prompt.
    #[serde(default)]
    pub prompt_tokens: u32,
    /// Tokens of the response, or microseconds of service time for a service.
    pub output: u32,
    /// The pause before the call, unless it is the first.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub pause: Option<Pause>,
    /// Microseconds after arrival at which the caller discards the response.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub deadline: Option<u64>,
    /// Microseconds since the start of the trace. A replay uses it for first calls only.
    pub arrival: u64,
    /// Whether the end of the program was reported; false if it was evicted without one.
    #[serde(default)]
    pub ended: bool,
}

/// Error of reading a trace.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub))]
pub enum TraceError {
    /// A line does not have the format of docs/TRACE.md.
    #[snafu(display("line {line}: {source}"))]
    Line {
        /// Line number, from 1.
        line: usize,
        /// The parser error.
        source: serde_json::Error,
    },
}

/// Parses a trace and skips empty lines.
///
/// # Errors
///
/// Fails on the first line that is not a [`TraceCall`].
pub fn parse(text: &str) -> Result<Vec<TraceCall>, TraceError> {
    text.lines()
        .enumerate()
        .filter(|(_, line)| !line.is_empty())
        .map(|(index, line)| serde_json::from_str(line).context(LineSnafu { line: index + 1 }))
        .collect()
}

/// Formats calls as lines of JSON.
///
/// # Errors
///
/// Fails if a call cannot be serialized.
pub fn format(calls: &[TraceCall]) -> Result<String, serde_json::Error> {
    let mut text = String::new();
    for call in calls {
        text.push_str(&serde_json::to_string(call)?);
        text.push('\n');
    }
    Ok(text)
}
