//! Set-up of the logs: one line an event, with a fixed prefix for the part of the daemon it comes from.
//!
//! The prefix is the slice's name, taken from the log target, so that no call has to repeat it; see
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

/// Why the logs could not be set up.
#[derive(Debug, Snafu)]
pub enum LoggingError {
    /// The specification of levels can't be read.
    #[snafu(display("logging.level: {source}"))]
    Level {
        /// What the library expected.
        source: FlexiLoggerError,
    },
    /// No thread can be started to write the lines.
    #[snafu(display("logging: no thread can be started: {source}"))]
    Thread {
        /// What the operating system said.
        source: io::Error,
    },
    /// The folder can't be written, or a logger was started before.
    #[snafu(display("logging: {source}"))]
    Start {
        /// What the library said.
        source: FlexiLoggerError,
    },
}

/// Starts the logs; they are flushed when the handle is dropped.
///
/// # Errors
///
/// Fails if the levels can't be read, the folder can't be written or logs were started before.
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

/// Starts the logs of a deployment's process, as lines on the standard output stream. They never hold up the process;
/// see [`queue`].
///
/// # Errors
///
/// Fails as [`init`] does, and if no thread can be started.
pub fn init_on_stdout(level: &str) -> Result<LoggerHandle, LoggingError> {
    let writer = QueueWriter::start(Box::new(io::stdout())).context(ThreadSnafu)?;
    let logger = Logger::try_with_str(level).context(LevelSnafu)?.log_to_writer(Box::new(writer));
    logger.start().context(StartSnafu)
}

/// The part that a log target belongs to: the slice of the daemon, or the name of a library.
fn part(target: &str) -> &str {
    let mut names = target.split("::");
    match (names.next(), names.next()) {
        (Some("agatetrestle"), Some(slice)) => slice,
        (Some(library), _) => library,
        (None, _) => target,
    }
}

const TIME: &str = "%Y-%m-%dT%H:%M:%S%.6fZ";

fn text_line(w: &mut dyn Write, now: &mut DeferredNow, record: &Record<'_>) -> io::Result<()> {
    let time = now.now_utc_owned().format(TIME);
    write!(w, "{time} {:5} {}: {}", record.level(), part(record.target()), record.args())
}

#[derive(Serialize)]
struct Line<'a> {
    time: &'a str,
    level: &'a str,
    part: &'a str,
    message: &'a str,
}

fn json_line(w: &mut dyn Write, now: &mut DeferredNow, record: &Record<'_>) -> io::Result<()> {
    let line = Line {
        time: &now.now_utc_owned().format(TIME).to_string(),
        level: record.level().as_str(),
        part: part(record.target()),
        message: &record.args().to_string(),
    };
    serde_json::to_writer(w, &line).map_err(io::Error::from)
}

#[cfg(test)]
mod tests;
