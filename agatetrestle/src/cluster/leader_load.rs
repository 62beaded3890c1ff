//! Load of the leader of a state group, logged once a second.
//!
//! The lines tell an overloaded leader from slow disks and from work that its callers send again; see docs/OPERATIONS.md. The
//! module is free of I/O and takes the time as an argument.

use std::fmt;
use std::time::Duration;

use hdrhistogram::Histogram;

use crate::clock::Timestamp;
use crate::clock::micros;
use crate::turns::command::TurnCommand;

/// Interval that one line covers.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);
/// Longest commit that is told apart, in microseconds.
const MAX_COMMIT_US: u64 = 60_000_000;
/// Significant digits of the recorded times.
const PRECISION: u8 = 2;

/// How a request to the leader ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RequestEnd {
    /// The log holds the command, or the leader answered it without the log.
    Done,
    /// Admission or a rate limit refused it.
    Denied,
    /// The leader was busy, so nothing entered the log.
    Busy,
    /// The leader was replaced or its outcome is unknown.
    Lost,
}

/// Requests of one kind since the last line.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
struct Requests {
    received: u64,
    denied: u64,
    busy: u64,
    lost: u64,
}

impl Requests {
    fn record(&mut self, end: RequestEnd) {
        self.received += 1;
        match end {
            RequestEnd::Done => {}
            RequestEnd::Denied => self.denied += 1,
            RequestEnd::Busy => self.busy += 1,
            RequestEnd::Lost => self.lost += 1,
        }
    }
}

impl fmt::Display for Requests {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { received, denied, busy, lost } = self;
        write!(f, "{received}/{denied}/{busy}/{lost}")
    }
}

/// Requests, commit times and delays of the event loop since the last line.
#[derive(Debug)]
pub struct LeaderLoad {
    since: Timestamp,
    begins: Requests,
    finishes: Requests,
    charges: Requests,
    repeats: u64,
    queries: u64,
    early_answers: u64,
    commits: Histogram<u64>,
    max_loop_delay: Duration,
}

impl LeaderLoad {
    /// Starts without requests.
    ///
    /// # Panics
    ///
    /// Never, since the histogram's bounds are valid.
    #[must_use]
    pub fn new(now: Timestamp) -> Self {
        Self {
            since: now,
            begins: Requests::default(),
            finishes: Requests::default(),
            charges: Requests::default(),
            repeats: 0,
            queries: 0,
            early_answers: 0,
            commits: Histogram::new_with_max(MAX_COMMIT_US, PRECISION).expect("the bounds are valid"),
            max_loop_delay: Duration::ZERO,
        }
    }

    /// Records how a command ended, and how long it took if it was committed.
    pub fn record(&mut self, command: &TurnCommand, end: RequestEnd, took: Duration) {
        match command {
            TurnCommand::Begin(_) => self.begins.record(end),
            TurnCommand::Finish(_) => self.finishes.record(end),
            TurnCommand::Take(_) => self.charges.record(end),
            TurnCommand::Chain(_)
            | TurnCommand::RecordStream(_)
            | TurnCommand::ReadStream(_)
            | TurnCommand::RecordEvents(_)
            | TurnCommand::ReadEvents(_)
            | TurnCommand::Suspect(_) => {}
        }
        if end == RequestEnd::Done && matches!(command, TurnCommand::Begin(_) | TurnCommand::Finish(_)) {
            self.commits.saturating_record(micros(took));
        }
    }

    /// Records that a copy of a command arrived while the command was in flight.
    pub fn record_repeat(&mut self) {
        self.repeats += 1;
    }

    /// Records a query for an early answer, and whether there was one.
    pub fn record_query(&mut self, answered: bool) {
        self.queries += 1;
        self.early_answers += u64::from(answered);
    }

    /// Records how late a timer of the process fired. Each task that is ready waits about as long.
    pub fn record_loop_delay(&mut self, delay: Duration) {
        self.max_loop_delay = self.max_loop_delay.max(delay);
    }

    /// Returns the line of an interval that is over and starts the next one; `None` for an interval without requests.
    pub fn take_report(&mut self, now: Timestamp) -> Option<String> {
        if now.since(self.since) < REPORT_INTERVAL {
            return None;
        }
        let Self {
            since,
            begins,
            finishes,
            charges,
            repeats,
            queries,
            early_answers,
            commits,
            max_loop_delay,
        } = std::mem::replace(self, Self::new(now));
        if begins.received + finishes.received + charges.received == 0 {
            return None;
        }
        Some(format!(
            "ms={} begins={begins} finishes={finishes} charges={charges} repeats={repeats} queries={queries} \
             early={early_answers} commit_us_p50={} commit_us_max={} loop_delay_ms={}",
            now.since(since).as_millis(),
            commits.value_at_quantile(0.5),
            commits.max(),
            max_loop_delay.as_millis(),
        ))
    }
}

#[cfg(test)]
mod tests;
