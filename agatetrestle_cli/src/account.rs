//! Where requests were lost or late, summed from the logs of entries by moment, service and cause.
//!
//! Each line of a request tells what became of it and where its time went (docs/operators/metrics-and-logs.md). Added up, they
//! say what to look at first: a cause of ours, or what no entry can mend.

use std::collections::BTreeMap;
use std::collections::HashMap;

use serde::Serialize;

use crate::table::Row;

/// Waits at an entry from which a request counts as held up there; a look at what waits comes every 20 ms.
const HELD_US: u64 = 40_000;
/// Commits from which a turn counts as held up by its group; one over failure domains takes some 10 ms.
const SLOW_COMMIT_US: u64 = 100_000;

/// What cost a request its answer or its time.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Cause {
    /// The entry turned it away for want of a place.
    TurnedAway,
    /// The entry knew no routes, or the state group had no leader.
    NotReady,
    /// It waited at the entry.
    Held,
    /// Its commit took long.
    SlowCommit,
    /// The server broke off, or answered what is no answer.
    ServerFailed,
    /// The server said nothing.
    ServerSilent,
    /// The caller went away before the answer.
    CallerLeft,
}

impl Cause {
    /// Whether a decision or a part of the system itself is behind it.
    #[must_use]
    pub fn is_ours(self) -> bool {
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

/// Requests of one service in one span of time that one cause struck.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct Loss {
    /// Start of the span, in seconds of the day.
    pub second: u64,
    /// The service.
    pub service: String,
    /// All its requests in that span.
    pub requests: u64,
    /// The cause.
    pub cause: Cause,
    /// Whether it is ours.
    pub ours: bool,
    /// Requests that it struck.
    pub struck: u64,
}

impl Row for Loss {
    const HEADS: &'static [&'static str] = &["TIME", "SERVICE", "REQUESTS", "STRUCK", "CAUSE", "WHOSE"];

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

/// The sums over lines of logs.
#[derive(Debug)]
pub struct Account {
    span: u64,
    requests: HashMap<(u64, String), u64>,
    struck: BTreeMap<(u64, String, Cause), u64>,
}

impl Account {
    /// An account without requests, by spans of so many seconds.
    #[must_use]
    pub fn new(span: u64) -> Self {
        Self { span: span.max(1), requests: HashMap::new(), struck: BTreeMap::new() }
    }

    /// Adds a line; one that tells of no request adds nothing.
    pub fn add(&mut self, line: &str) {
        let Some((second, fields)) = read(line) else {
            return;
        };
        let Some(service) = fields.get("service").filter(|service| !service.is_empty()) else {
            return;
        };
        let place = (second / self.span * self.span, (*service).to_owned());
        *self.requests.entry(place.clone()).or_default() += 1;
        if let Some(cause) = cause(&fields, outcome(line)) {
            *self.struck.entry((place.0, place.1, cause)).or_default() += 1;
        }
    }

    /// The losses in order of time.
    #[must_use]
    pub fn losses(&self) -> Vec<Loss> {
        let loss = |((second, service, cause), struck): (&(u64, String, Cause), &u64)| Loss {
            second: *second,
            service: service.clone(),
            requests: self.requests.get(&(*second, service.clone())).copied().unwrap_or(0),
            cause: *cause,
            ours: cause.is_ours(),
            struck: *struck,
        };
        self.struck.iter().map(loss).collect()
    }
}

/// The second of the day and the fields of a line that tells of a request.
fn read(line: &str) -> Option<(u64, HashMap<&str, &str>)> {
    let (head, rest) = line.split_once(" request=")?;
    let time = head.split(' ').find_map(|word| word.split_once('T').map(|(_, time)| time))?;
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

fn cause(fields: &HashMap<&str, &str>, outcome: &str) -> Option<Cause> {
    let micros = |name: &str| fields.get(name).and_then(|value| value.parse::<u64>().ok()).unwrap_or(0);
    match *fields.get("status")? {
        "0" => Some(Cause::CallerLeft),
        "502" if outcome.contains("silent") || outcome.contains("says nothing") => Some(Cause::ServerSilent),
        "502" => Some(Cause::ServerFailed),
        "504" if outcome != "whole" => Some(Cause::ServerSilent),
        "503" if ["NoServer", "TooLate", "QueueFull"].contains(&outcome) => Some(Cause::TurnedAway),
        "503" => Some(Cause::NotReady),
        _ if outcome.starts_with("the server broke off") => Some(Cause::ServerFailed),
        _ if outcome.starts_with("the caller left") => Some(Cause::CallerLeft),
        _ if micros("wait_us") > HELD_US => Some(Cause::Held),
        _ if micros("begin_us") > SLOW_COMMIT_US => Some(Cause::SlowCommit),
        _ => None,
    }
}

#[cfg(test)]
mod tests;
