//! Failures of reading settings or declarations.

use std::path::PathBuf;
use std::sync::Arc;

use snafu::Snafu;

/// Why a settings file or a declaration document was refused.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub))]
pub enum ConfigError {
    /// The file could not be read at all.
    #[snafu(display("{}: can't be read: {source}", file.display()))]
    Read {
        /// The file that was asked for.
        file: PathBuf,
        /// What the operating system said.
        source: std::io::Error,
    },
    /// The text is no YAML of the expected shape; the message names line, key and expectation.
    #[snafu(display("{origin}: {source}"))]
    Parse {
        /// Name of the file or document.
        origin: Arc<str>,
        /// What the parser expected and where.
        source: serde_norway::Error,
    },
    /// The shape is right but a value can't be used.
    #[snafu(display("{origin}:{line}: {key}: expected {expected}"))]
    Invalid {
        /// Name of the file or document.
        origin: Arc<str>,
        /// Line of the value, counting from 1.
        line: usize,
        /// Dotted path of the offending key.
        key: Arc<str>,
        /// What would have been accepted.
        expected: Arc<str>,
    },
}
