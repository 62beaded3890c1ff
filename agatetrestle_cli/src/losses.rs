//! Sums failed and slow requests from the logs of entries by time, service and cause.
//!
//! An entry logs the outcome and timing of each request; see docs/operators/metrics-and-logs.md.

use std::collections::BTreeMap;
use std::collections::HashMap;

use serde::Serialize;

use crate::table::Row;

/// Requests that waited longer at the entry count as [`Cause::Held`].
const MAX_NORMAL_WAIT_US: u64 = 40_000;
/// Requests whose commit took longer count as [`Cause::SlowCommit`].
const MAX_NORMAL_COMMIT_US: u64 = 100_000;

/// Why a request failed or was slow.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Cause {
    /// The entry rejected it for lack of capacity.
    TurnedAway,
    /// The entry had no routes, or the state group had no leader.
    NotReady,
    /// It waited too long at the entry.
    Held,
    /// Its commit to the state group was slow.
    SlowCommit,
    /// The backend server closed the connection or sent an invalid response.
    ServerFailed,
    /// The backend server did not respond in time.
    ServerSilent,
    /// The caller disconnected before the response was complete.
    CallerLeft,
}

impl Cause {
    /// Whether the cause lies in this system rather than in a backend server or the caller.
    #[must_use]
    pub fn is_internal(self) -> bool {
        matches!(self, Self::TurnedAway | Self::NotReady | Self::Held | Self::SlowCommit)
    }

    fn name(self) -> &'static str {
        match self {
            Self::TurnedAway => "turned away",
            Self::NotReady => "not ready",
            Self::Held => "held here",
            Self::SlowCommit => "slow commit",
            Self::ServerFailed => "server failed",
            Self::ServerSilent => "server silent",
            Self::CallerLeft => "caller left",
        }
    }
}

/// Requests of one service that one cause affected in one interval.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct Loss {
    /// Start of the interval, in seconds since midnight.
    pub second: u64,
    /// Name of the service.
    pub service: String,
    /// Number of all requests of the service in the interval.
    pub requests: u64,
    /// Cause of the failures or delays.
    pub cause: Cause,
    /// Whether the cause is internal; see [`Cause::is_internal`].
    pub ours: bool,
    /// Number of affected requests.
    pub struck: u64,
}

impl Row for Loss {
    const HEADERS: &'static [&'static str] = &["TIME", "SERVICE", "REQUESTS", "STRUCK", "CAUSE", "WHOSE"];

    fn cells(&self) -> Vec<String> {
        let (minutes, seconds) = (self.second / 60, self.second % 60);
        vec![
            format!("{:02}:{:02}:{seconds:02}", minutes / 60, minutes % 60),
            self.service.clone(),
            self.requests.to_string(),
            self.struck.to_string(),
            self.cause.name().to_owned(),
            if self.ours { "ours" } else { "the world's" }.to_owned(),
        ]
    }
}

/// Accumulates the losses of log lines.
#[derive(Debug)]
pub struct LossSummary {
    interval_s: u64,
    requests: HashMap<(u64, String), u64>,
    affected: BTreeMap<(u64, String, Cause), u64>,
}

impl LossSummary {
    /// Creates an empty summary with intervals of `interval_s` seconds, at least 1.
    #[must_use]
    pub fn new(interval_s: u64) -> Self {
        Self { interval_s: interval_s.max(1), requests: HashMap::new(), affected: BTreeMap::new() }
    }

    /// Adds a log line; lines that don't describe a request are ignored.
    pub fn add(&mut self, line: &str) {
        let Some((second, fields)) = parse_line(line) else {
            return;
        };
        let Some(service) = fields.get("service").filter(|service| !service.is_empty()) else {
            return;
        };
        let key = (second / self.interval_s * self.interval_s, (*service).to_owned());
        *self.requests.entry(key.clone()).or_default() += 1;
        if let Some(cause) = classify(&fields, outcome(line)) {
            *self.affected.entry((key.0, key.1, cause)).or_default() += 1;
        }
    }

    /// Returns the losses, ordered by time, service and cause.
    #[must_use]
    pub fn losses(&self) -> Vec<Loss> {
        let loss = |((second, service, cause), affected): (&(u64, String, Cause), &u64)| Loss {
            second: *second,
            service: service.clone(),
            requests: self.requests.get(&(*second, service.clone())).copied().unwrap_or(0),
            cause: *cause,
            ours: cause.is_internal(),
            struck: *affected,
        };
        self.affected.iter().map(loss).collect()
    }
}

/// Parses the time, in seconds since midnight, and the fields of a line that describes a request.
fn parse_line(line: &str) -> Option<(u64, HashMap<&str, &str>)> {
    let (prefix, rest) = line.split_once(" request=")?;
    let time = prefix.split(' ').find_map(|word| word.split_once('T').map(|(_, time)| time))?;
    let mut parts = time.split(':');
    let (hours, minutes) = (parts.next()?.parse::<u64>().ok()?, parts.next()?.parse::<u64>().ok()?);
    let seconds = parts.next()?.get(..2)?.parse::<u64>().ok()?;
    let fields = rest.split(' ').filter_map(|word| word.split_once('=')).collect();
    Some(((hours * 60 + minutes) * 60 + seconds, fields))
}

fn outcome(line: &str) -> &str {
    line.split_once("outcome=\"")
        .and_then(|(_, rest)| rest.split_once('"'))
        .map_or("", |(outcome, _)| outcome)
}

fn classify(fields: &HashMap<&str, &str>, outcome: &str) -> Option<Cause> {
    let micros = |name: &str| fields.get(name).and_then(|value| value.parse::<u64>().ok()).unwrap_or(0);
    match *fields.get("status")? {
        "0" => Some(Cause::CallerLeft),
        "502" if outcome.contains("silent") || outcome.contains("says nothing") => Some(Cause::ServerSilent),
        "502" if outcome.starts_with("the turn is not committed") => Some(Cause::NotReady),
        "502" => Some(Cause::ServerFailed),
        "504" if outcome != "whole" => Some(Cause::ServerSilent),
        "503" if ["NoServer", "TooLate", "QueueFull"].contains(&outcome) => Some(Cause::TurnedAway),
        "503" => Some(Cause::NotReady),
        _ if outcome.starts_with("the server broke off") => Some(Cause::ServerFailed),
        _ if outcome.starts_with("the caller left") => Some(Cause::CallerLeft),
        _ if micros("wait_us") > MAX_NORMAL_WAIT_US => Some(Cause::Held),
        _ if micros("begin_us").max(micros("commit_us")) > MAX_NORMAL_COMMIT_US => Some(Cause::SlowCommit),
        _ => None,
    }
}

#[cfg(test)]
mod tests;
