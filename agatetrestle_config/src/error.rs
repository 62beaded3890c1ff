//! Errors of reading settings and declarations.

use std::path::PathBuf;
use std::sync::Arc;

use snafu::Snafu;

/// Error for a rejected settings file or declaration document.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub))]
pub enum ConfigError {
    /// The file can't be read.
    #[snafu(display("{}: can't be read: {source}", file.display()))]
    Read {
        /// Path of the file.
        file: PathBuf,
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// The text is not valid YAML or doesn't match the schema; the message names line, key and expected type.
    #[snafu(display("{origin}: {source}"))]
    Parse {
        /// Name of the file or document.
        origin: Arc<str>,
        /// Error of the parser, with the position in the text.
        source: serde_norway::Error,
    },
    /// The text matches the schema but a value is invalid.
    #[snafu(display("{origin}:{line}: {key}: expected {expected}"))]
    Invalid {
        /// Name of the file or document.
        origin: Arc<str>,
        /// Line of the value, starting at 1.
        line: usize,
        /// Dotted path of the key.
        key: Arc<str>,
        /// Description of accepted values.
        expected: Arc<str>,
    },
}
