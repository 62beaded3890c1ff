//! Output of a command.

use serde::Serialize;

use crate::error::Exit;
use crate::error::ToolError;
use crate::options::Format;

/// Output streams and exit code of a command.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Report {
    /// Text for the standard output.
    pub stdout: String,
    /// Text for the standard error.
    pub stderr: String,
    /// Exit code of the process.
    pub exit: Exit,
}

impl Report {
    /// Creates the report of a result, as JSON or as rendered by `to_text`.
    #[must_use]
    pub fn result<T: Serialize>(format: Format, value: &T, to_text: impl FnOnce(&T) -> String) -> Self {
        let stdout = match format {
            Format::Json => json(value),
            Format::Table => to_text(value),
        };
        Self { stdout, stderr: String::new(), exit: Exit::Done }
    }

    /// Creates the report of an error; as JSON it goes to the standard output.
    #[must_use]
    pub fn failure(format: Format, error: &ToolError) -> Self {
        let message = format!("agatetrestle: {error}\n");
        let (stdout, stderr) = match format {
            Format::Json => (json(error), String::new()),
            Format::Table => (String::new(), message),
        };
        Self { stdout, stderr, exit: error.exit() }
    }
}

fn json<T: Serialize>(value: &T) -> String {
    let text = serde_json::to_string_pretty(value).expect("rows are representable in JSON");
    text + "\n"
}
