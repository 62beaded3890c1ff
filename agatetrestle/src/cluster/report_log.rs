//! What became of the reports to each control replica, so that a process that is behind can say why.
//!
//! docs/OPERATIONS.md tells how to read the lines.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::fmt;
use std::net::SocketAddrV4;
use std::time::Duration;

use log::info;

use crate::clock::Timestamp;
use crate::cluster::message::KnownVersions;
use crate::node::peer_link::LinkError;

/// What became of one report.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ReportOutcome {
    /// The leader answered, and proved itself after the report came.
    Confirmed,
    /// A control replica answered that does not lead.
    NotLeader,
    /// No connection could be made.
    Unreachable,
    /// The connection broke.
    Broken,
    /// Nothing was answered in time.
    Timeout,
    /// The answer can't be read.
    Unreadable,
}

impl ReportOutcome {
    /// Its name in logs and metrics.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::Confirmed => "confirmed",
            Self::NotLeader => "not_leader",
            Self::Unreachable => "unreachable",
            Self::Broken => "broken",
            Self::Timeout => "timeout",
            Self::Unreadable => "unreadable",
        }
    }
}

impl From<&LinkError> for ReportOutcome {
    fn from(failure: &LinkError) -> Self {
        match failure {
            LinkError::Connect { .. } | LinkError::ConnectTimeout => Self::Unreachable,
            LinkError::Broken { .. } => Self::Broken,
            LinkError::Timeout => Self::Timeout,
        }
    }
}

/// The reports to one control replica since the leader last answered.
#[derive(Clone, Copy, Debug)]
struct Reports {
    sent: u64,
    /// When the first one was sent of those that have had no answer since.
    unanswered_since: Option<Timestamp>,
    last: Option<ReportOutcome>,
}

/// The reports to each control replica since the leader last answered.
#[derive(Debug, Default)]
pub struct ReportLog {
    reports: RefCell<BTreeMap<SocketAddrV4, Reports>>,
}

impl ReportLog {
    /// Notes that a report goes out.
    pub fn begin(&self, now: Timestamp, contact: SocketAddrV4) {
        let mut reports = self.reports.borrow_mut();
        let first = Reports { sent: 0, unanswered_since: None, last: None };
        let entry = reports.entry(contact).or_insert(first);
        entry.sent += 1;
        entry.unanswered_since.get_or_insert(now);
    }

    /// Notes what became of a report.
    pub fn end(&self, contact: SocketAddrV4, outcome: ReportOutcome) {
        if outcome == ReportOutcome::Confirmed {
            self.reports.borrow_mut().clear();
            return;
        }
        if let Some(entry) = self.reports.borrow_mut().get_mut(&contact) {
            entry.last = Some(outcome);
            if matches!(outcome, ReportOutcome::NotLeader | ReportOutcome::Unreadable) {
                entry.unanswered_since = None;
            }
        }
    }

    /// Writes a line for each control replica that was asked. Called once a search, which bounds the lines.
    pub fn write(&self, now: Timestamp, known: KnownVersions, confirmed_at: Option<Timestamp>) {
        for line in self.lines(now, known, confirmed_at) {
            info!("{line}");
        }
    }

    /// A line for each control replica that was asked: what became of the last report, for how long none has been
    /// answered, and how old what the process knows is.
    #[must_use]
    pub fn lines(
        &self,
        now: Timestamp,
        known: KnownVersions,
        confirmed_at: Option<Timestamp>,
    ) -> Vec<String> {
        let age = Millis(confirmed_at.map(|at| now.since(at)));
        let revision = known.revision;
        let line = |(contact, reports): (&SocketAddrV4, &Reports)| {
            let Reports { sent, unanswered_since, last } = reports;
            let outcome = last.map_or("none", ReportOutcome::name);
            let unanswered = Millis(unanswered_since.map(|since| now.since(since)));
            format!(
                "reports contact={contact} sent={sent} outcome={outcome} unanswered_ms={unanswered} \
                 revision={revision} confirmed_ms={age}"
            )
        };
        self.reports.borrow().iter().map(line).collect()
    }
}

/// A span in whole milliseconds, or nothing.
struct Millis(Option<Duration>);

impl fmt::Display for Millis {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.map_or(Ok(()), |span| write!(f, "{}", span.as_millis()))
    }
}
