//! Detection of unresponsive servers by the responses to requests that were sent later.
//!
//! If the whole service is slow, all responses start late. A request whose response is overdue while later requests
//! are answered points at its server, so the caller need not wait for a timeout.

use std::collections::VecDeque;
use std::time::Duration;

use crate::clock::Timestamp;

/// Age up to which response starts are taken into account.
const RESPONSE_START_WINDOW: Duration = Duration::from_secs(1);
/// A response is overdue after this multiple of the 90th percentile of the time to response start, which a slow service as a
/// whole does not reach.
const OVERDUE_FACTOR: u32 = 3;
/// Requests sent later and answered earlier that make a response overdue. Servers and requests differ in speed, so
/// fewer are not significant.
const MIN_OVERTAKING_RESPONSES: usize = 4;
/// Bounds the memory for response starts; a node sends a few hundred requests a second at most.
const MAX_RESPONSE_STARTS: usize = 512;

#[derive(Clone, Copy, Debug)]
struct ResponseStart {
    sent_at: Timestamp,
    started_at: Timestamp,
}

/// Recent response starts of one service, oldest first.
#[derive(Debug, Default)]
pub(super) struct ResponseStarts(VecDeque<ResponseStart>);

impl ResponseStarts {
    pub(super) fn record(&mut self, sent_at: Timestamp, now: Timestamp) {
        let expired = |start: &ResponseStart| now.since(start.started_at) > RESPONSE_START_WINDOW;
        while self.0.len() >= MAX_RESPONSE_STARTS || self.0.front().is_some_and(expired) {
            self.0.pop_front();
        }
        self.0.push_back(ResponseStart { sent_at, started_at: now });
    }

    /// Whether the response to a request is so late, compared with others, that its server must be at fault. No
    /// response is overdue before `min_age`.
    pub(super) fn is_overdue(&self, sent_at: Timestamp, now: Timestamp, min_age: Duration) -> bool {
        let age = now.since(sent_at);
        if age < min_age {
            return false;
        }
        let recent = || self.0.iter().filter(|start| now.since(start.started_at) <= RESPONSE_START_WINDOW);
        let overtaking = recent().filter(|start| start.sent_at >= sent_at).count();
        if overtaking < MIN_OVERTAKING_RESPONSES {
            return false;
        }
        let mut latencies: Vec<Duration> =
            recent().map(|start| start.started_at.since(start.sent_at)).collect();
        let rank = latencies.len() * 9 / 10;
        let (_, p90, _) = latencies.select_nth_unstable(rank);
        age >= *p90 * OVERDUE_FACTOR
    }
}
