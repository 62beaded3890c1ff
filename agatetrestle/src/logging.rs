//! Initializes logging. Each line starts with the name of the module that logged it, taken from the log target; see
//! docs/operators/metrics-and-logs.md.

mod queue;

use std::io;
use std::io::Write;

use agatetrestle_config::settings::Logging;
use flexi_logger::Cleanup;
use flexi_logger::Criterion;
use flexi_logger::DeferredNow;
use flexi_logger::FileSpec;
use flexi_logger::FlexiLoggerError;
use flexi_logger::FormatFunction;
use flexi_logger::Logger;
use flexi_logger::LoggerHandle;
use flexi_logger::Naming;
use log::Record;
use serde::Serialize;
use snafu::ResultExt;
use snafu::Snafu;

use crate::logging::queue::QueueWriter;

/// Why logging can't be initialized.
#[derive(Debug, Snafu)]
pub enum LoggingError {
    /// The level specification is invalid.
    #[snafu(display("logging.level: {source}"))]
    Level {
        /// Error of the logging library.
        source: FlexiLoggerError,
    },
    /// The writer thread can't be started.
    #[snafu(display("logging: failed to start the writer thread: {source}"))]
    Thread {
        /// Error of the operating system.
        source: io::Error,
    },
    /// The folder is not writable, or a logger is already running.
    #[snafu(display("logging: {source}"))]
    Start {
        /// Error of the logging library.
        source: FlexiLoggerError,
    },
}

/// Starts the logger, which is flushed when the handle is dropped.
///
/// # Errors
///
/// Fails if the levels are invalid, the folder is not writable or a logger is already running.
pub fn init(logging: &Logging) -> Result<LoggerHandle, LoggingError> {
    let format: FormatFunction = if logging.json { json_line } else { text_line };
    let logger = Logger::try_with_str(&logging.level).context(LevelSnafu)?.format(format);
    let logger = match &logging.folder {
        Some(folder) => logger
            .log_to_file(FileSpec::default().directory(folder).basename("agatetrestled"))
            .rotate(Criterion::Size(logging.rotate), Naming::Timestamps, Cleanup::KeepLogFiles(logging.keep))
            .cleanup_in_background_thread(false)
            .append(),
        None => logger.log_to_stderr(),
    };
    logger.start().context(StartSnafu)
}

/// Starts a logger that writes lines to standard output and never blocks the process; see [`queue`].
///
/// # Errors
///
/// Fails if the levels are invalid, the writer thread can't be started or a logger is already running.
pub fn init_on_stdout(level: &str) -> Result<LoggerHandle, LoggingError> {
    let writer = QueueWriter::start(Box::new(io::stdout())).context(ThreadSnafu)?;
    let logger = Logger::try_with_str(level).context(LevelSnafu)?.log_to_writer(Box::new(writer));
    logger.start().context(StartSnafu)
}

/// Top-level module of the daemon that a log target belongs to, or the name of a library.
fn module_name(target: &str) -> &str {
    let mut names = target.split("::");
    match (names.next(), names.next()) {
        (Some("agatetrestle"), Some(module)) => module,
        (Some(library), _) => library,
        (None, _) => target,
    }
}

const TIME_FORMAT: &str = "%Y-%m-%dT%H:%M:%S%.6fZ";

fn text_line(w: &mut dyn Write, now: &mut DeferredNow, record: &Record<'_>) -> io::Result<()> {
    let time = now.now_utc_owned().format(TIME_FORMAT);
    write!(w, "{time} {:5} {}: {}", record.level(), module_name(record.target()), record.args())
}

#[derive(Serialize)]
struct JsonLine<'a> {
    time: &'a str,
    level: &'a str,
    part: &'a str,
    message: &'a str,
}

fn json_line(w: &mut dyn Write, now: &mut DeferredNow, record: &Record<'_>) -> io::Result<()> {
    let line = JsonLine {
        time: &now.now_utc_owned().format(TIME_FORMAT).to_string(),
        level: record.level().as_str(),
        part: module_name(record.target()),
        message: &record.args().to_string(),
    };
    serde_json::to_writer(w, &line).map_err(io::Error::from)
}

#[cfg(test)]
mod tests;
