//! The trace: one JSON line for each call of a program, without any text of prompts or answers.
//!
//! The daemon records it and the replay drives the scheduler with it, so that a policy is judged
//! on what really arrived; see docs/TRACE.md.

pub mod recorder;

use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;
use snafu::ResultExt;
use snafu::Snafu;

/// What kind of backend server a call goes to.
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
    /// The parent's call after which the sub-agent starts; the next one waits for the sub-agent.
    pub call: u32,
}

/// What came before a call since the program's last answer.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Pause {
    /// The tool that ran or the person who thought, by name.
    pub tool: Arc<str>,
    /// Length in microseconds.
    pub micros: u64,
}

/// One call of a program.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct TraceCall {
    /// Partner that the program belongs to.
    pub partner: Arc<str>,
    /// Name of the program within the partner.
    pub program: Arc<str>,
    /// Team within the partner.
    pub team: Arc<str>,
    /// Declared class.
    pub class: Arc<str>,
    /// Where the program is a sub-agent, what started it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub parent: Option<Parent>,
    /// Number of the call within its program, counting from 1.
    pub call: u32,
    /// Whether this is the last call that the program made.
    #[serde(default)]
    pub last: bool,
    /// What it goes to.
    pub kind: CallKind,
    /// Name of the model or service.
    pub serves: Arc<str>,
    /// Whether it may be sent more than once.
    pub repeatable: bool,
    /// Hashes of the full blocks of the prompt, each over all before it.
    #[serde(default)]
    pub blocks: Arc<[u64]>,
    /// Tokens in one block.
    #[serde(default)]
    pub block_tokens: u32,
    /// Tokens of the prompt.
    #[serde(default)]
    pub prompt_tokens: u32,
    /// Tokens of the answer, or microseconds of service time for a service.
    pub output: u32,
    /// What came between the previous answer and this call.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub pause: Option<Pause>,
    /// Microseconds after arrival at which the caller no longer wants the answer.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub deadline: Option<u64>,
    /// Microseconds since the start of the trace; a replay takes it from first calls only.
    pub arrival: u64,
    /// Whether the end of the program was told; a program that died leaves this unset.
    #[serde(default)]
    pub ended: bool,
}

/// Why a trace could not be read.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub))]
pub enum TraceError {
    /// A line is not what docs/TRACE.md describes.
    #[snafu(display("line {line}: {source}"))]
    Line {
        /// Number of the line, from 1.
        line: usize,
        /// What the parser expected.
        source: serde_json::Error,
    },
}

/// Reads a whole trace; empty lines are skipped.
///
/// # Errors
///
/// Fails at the first line that is not a [`TraceCall`].
pub fn parse(text: &str) -> Result<Vec<TraceCall>, TraceError> {
    text.lines()
        .enumerate()
        .filter(|(_, line)| !line.is_empty())
        .map(|(at, line)| serde_json::from_str(line).context(LineSnafu { line: at + 1 }))
        .collect()
}

/// Writes calls as lines of JSON.
///
/// # Errors
///
/// Fails only if a value can't be written as JSON.
pub fn format(calls: &[TraceCall]) -> Result<String, serde_json::Error> {
    let mut text = String::new();
    for call in calls {
        text.push_str(&serde_json::to_string(call)?);
        text.push('\n');
    }
    Ok(text)
}
