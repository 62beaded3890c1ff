//! Outcomes of the reports to each control replica, logged while no leader is found.
//!
//! For the meaning of the lines see docs/OPERATIONS.md.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::fmt;
use std::net::SocketAddrV4;
use std::time::Duration;

use log::info;

use crate::clock::Timestamp;
use crate::cluster::message::KnownVersions;
use crate::node::peer_link::LinkError;

/// The outcome of a report.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ReportOutcome {
    /// The leader answered, confirmed by a quorum after it received the report.
    Confirmed,
    /// The control replica that answered is not the leader.
    NotLeader,
    /// No connection could be made.
    Unreachable,
    /// The connection broke.
    Broken,
    /// No answer arrived in time.
    Timeout,
    /// The answer could not be decoded.
    Unreadable,
}

impl ReportOutcome {
    /// The name in logs and metrics.
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
    fn from(error: &LinkError) -> Self {
        match error {
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
    /// When the oldest unanswered report was sent.
    unanswered_since: Option<Timestamp>,
    last_outcome: Option<ReportOutcome>,
}

/// The reports to each control replica since the leader last answered.
#[derive(Debug, Default)]
pub struct ReportLog {
    reports: RefCell<BTreeMap<SocketAddrV4, Reports>>,
}

impl ReportLog {
    /// Records that a report is sent.
    pub fn record_sent(&self, now: Timestamp, contact: SocketAddrV4) {
        let mut reports = self.reports.borrow_mut();
        let empty = Reports { sent: 0, unanswered_since: None, last_outcome: None };
        let entry = reports.entry(contact).or_insert(empty);
        entry.sent += 1;
        entry.unanswered_since.get_or_insert(now);
    }

    /// Records the outcome of a report; a confirmed one clears the log.
    pub fn record_outcome(&self, contact: SocketAddrV4, outcome: ReportOutcome) {
        if outcome == ReportOutcome::Confirmed {
            self.reports.borrow_mut().clear();
            return;
        }
        if let Some(entry) = self.reports.borrow_mut().get_mut(&contact) {
            entry.last_outcome = Some(outcome);
            if matches!(outcome, ReportOutcome::NotLeader | ReportOutcome::Unreadable) {
                entry.unanswered_since = None;
            }
        }
    }

    /// Logs a line for each control replica that a report was sent to. Call it once per search to bound the volume.
    pub fn write(&self, now: Timestamp, known: KnownVersions, confirmed_at: Option<Timestamp>) {
        for line in self.lines(now, known, confirmed_at) {
            info!("{line}");
        }
    }

    /// A line for each control replica that a report was sent to: the last outcome, the age of the oldest unanswered report,
    /// and the age of the last confirmed update.
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
            let Reports { sent, unanswered_since, last_outcome } = reports;
            let outcome = last_outcome.map_or("none", ReportOutcome::name);
            let unanswered = Millis(unanswered_since.map(|since| now.since(since)));
            format!(
                "reports contact={contact} sent={sent} outcome={outcome} unanswered_ms={unanswered} \
                 revision={revision} confirmed_ms={age}"
            )
        };
        self.reports.borrow().iter().map(line).collect()
    }
}

/// A duration in whole milliseconds; none prints nothing.
struct Millis(Option<Duration>);

impl fmt::Display for Millis {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.map_or(Ok(()), |duration| write!(f, "{}", duration.as_millis()))
    }
}
