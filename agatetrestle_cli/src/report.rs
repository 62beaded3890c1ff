//! What a command hands to the terminal.

use serde::Serialize;

use crate::error::Exit;
use crate::error::ToolError;
use crate::options::Format;

/// Text for both streams and the exit code.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Report {
    /// For the standard output stream.
    pub out: String,
    /// For the standard error stream.
    pub err: String,
    /// The exit code.
    pub exit: Exit,
}

impl Report {
    /// A result, as JSON or in the form for people.
    #[must_use]
    pub fn result<T: Serialize>(format: Format, value: &T, people: impl FnOnce(&T) -> String) -> Self {
        let out = match format {
            Format::Json => json(value),
            Format::Table => people(value),
        };
        Self { out, err: String::new(), exit: Exit::Done }
    }

    /// A failure; in JSON it goes to the standard output stream too, so that programs find it there.
    #[must_use]
    pub fn failure(format: Format, error: &ToolError) -> Self {
        let message = format!("agatetrestle: {error}\n");
        let (out, err) = match format {
            Format::Json => (json(error), String::new()),
            Format::Table => (String::new(), message),
        };
        Self { out, err, exit: error.exit() }
    }
}

fn json<T: Serialize>(value: &T) -> String {
    let text = serde_json::to_string_pretty(value).expect("rows hold nothing that JSON lacks");
    text + "\n"
}
