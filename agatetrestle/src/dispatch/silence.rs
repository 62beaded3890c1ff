//! Requests to which a server says nothing though others answer what was sent later.
//!
//! A server that takes requests and never answers costs a caller its patience, some two seconds, while an answer from
//! another server takes a tenth of one. Whether a silence means that, or only a full pool, the node tells by the answers
//! that began meanwhile: in a full pool all of them are late.

use std::collections::VecDeque;
use std::time::Duration;

use crate::clock::Timestamp;

/// How far back answers tell how long a beginning takes now.
const SPAN: Duration = Duration::from_secs(1);
/// A silence this many times as long as nine in ten beginnings take is none of the pool.
const TIMES_USUAL: u32 = 3;
/// Requests that were sent later and answered earlier. Servers differ in speed and prompts in length, so a few overtake by
/// chance.
const OVERTAKEN: usize = 4;
/// Most beginnings that are kept; a node sends a few hundred requests a second at the most.
const KEPT: usize = 512;

#[derive(Clone, Copy, Debug)]
struct Beginning {
    sent: Timestamp,
    at: Timestamp,
}

/// The answers of one service that began lately.
#[derive(Debug, Default)]
pub(super) struct Beginnings(VecDeque<Beginning>);

impl Beginnings {
    /// Notes that the answer to a request begins.
    pub(super) fn note(&mut self, sent: Timestamp, now: Timestamp) {
        while self.0.len() >= KEPT || self.0.front().is_some_and(|old| now.since(old.at) > SPAN) {
            self.0.pop_front();
        }
        self.0.push_back(Beginning { sent, at: now });
    }

    /// Whether the answer to a request is missing in a way that tells of its server; `least` is what any may take.
    pub(super) fn miss(&self, sent: Timestamp, now: Timestamp, least: Duration) -> bool {
        let age = now.since(sent);
        if age < least {
            return false;
        }
        let recent = || self.0.iter().filter(|beginning| now.since(beginning.at) <= SPAN);
        let overtaken = recent().filter(|beginning| beginning.sent >= sent).count();
        if overtaken < OVERTAKEN {
            return false;
        }
        let mut took: Vec<Duration> = recent().map(|beginning| beginning.at.since(beginning.sent)).collect();
        let ninth = took.len() * 9 / 10;
        let (_, usual, _) = took.select_nth_unstable(ninth);
        age >= *usual * TIMES_USUAL
    }
}
