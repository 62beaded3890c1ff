//! The sliding window of one team's requests.
//!
//! A window of length `span` holds at most `burst + slope * span` requests, and any shorter time `t` at most
//! `burst + slope * t`. The second bound is what allows a new leader, which does not know the requests that the previous one
//! granted, to grant `slope` requests a second from its first moment: it assumes that `burst` were granted just before. See
//! docs/design/022-rate-limits-and-entry-selection.md for the proof.

use std::collections::VecDeque;
use std::time::Duration;

use agatetrestle_config::deployment::AllowanceBounds;

use crate::clock::Timestamp;
use crate::routing::RateLimit;

/// Part of the permitted overrun of a window that is granted. The rest covers requests that are sent long after they were
/// granted, as by a paused entry.
const USABLE_OVERRUN_RATIO: f64 = 0.9;
/// Part of a team's rate that a new leader grants at once. A higher value refuses more requests that arrive together: all
/// requests of a team that are granted at the same moment are at most `rate * window * (1 - ratio) + burst` and the overrun.
const FAILOVER_RATE_RATIO: f64 = 0.5;
/// A request stays in the window for this part of the window's length longer, at most [`MAX_SEND_DELAY`], since it is sent
/// some time after it was granted. Without it, two bursts exactly one window apart could reach servers within one window.
const SEND_DELAY_RATIO: f64 = 0.1;
/// Time between a grant and the request to the server that is expected at most, as while a leader fails to answer for less
/// than its lease.
const MAX_SEND_DELAY: Duration = Duration::from_millis(500);
/// Slices that a window is divided into. Requests within a slice count as granted at its last one, so the error is at most
/// 0.4 in 100 of the window and always on the side of refusing.
const SLICES_PER_WINDOW: u32 = 256;

/// Requests that were granted within a short time.
#[derive(Clone, Copy, Debug)]
struct Slice {
    first: Timestamp,
    last: Timestamp,
    granted: u32,
    /// Requests that count against the present limit: fewer than were granted after the limit was lowered.
    counted: f64,
}

/// The bounds of a team's requests at one limit.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct Line {
    burst: f64,
    /// Requests per second.
    slope: f64,
}

impl Line {
    fn at(self, time: Duration) -> f64 {
        self.burst + self.slope * time.as_secs_f64()
    }
}

#[derive(Clone, Debug)]
pub(super) struct Window {
    line: Line,
    span: Duration,
    /// Oldest first.
    slices: VecDeque<Slice>,
}

impl Window {
    /// A window that grants nothing before its limit is set.
    pub(super) fn new() -> Self {
        Self { line: Line::default(), span: Duration::ZERO, slices: VecDeque::new() }
    }

    /// Sets the limit. Requests granted under a higher limit count as many as the lower one would have granted, so that the
    /// team is not refused everything until they have left the window.
    pub(super) fn set_limit(&mut self, limit: RateLimit, bounds: AllowanceBounds, now: Timestamp) {
        let RateLimit { per_second, burst } = limit;
        let permitted = per_second * bounds.window.as_secs_f64() + burst;
        let overrun = permitted * bounds.overrun + f64::from(bounds.slack);
        let usable = permitted + overrun * USABLE_OVERRUN_RATIO;
        let span = bounds.window + bounds.window.mul_f64(SEND_DELAY_RATIO).min(MAX_SEND_DELAY);
        // A limit below a few requests per window must still allow one.
        let steady = (per_second * FAILOVER_RATE_RATIO * span.as_secs_f64()).min((usable - 1.0).max(0.0));
        let line = Line { burst: usable - steady, slope: steady / span.as_secs_f64() };
        if (line, span) == (self.line, self.span) {
            return;
        }
        let is_lower = line.burst <= self.line.burst && line.slope <= self.line.slope;
        (self.line, self.span) = (line, span);
        self.advance(now);
        let mut counted = 0.0;
        for slice in self.slices.iter_mut().rev() {
            let granted = f64::from(slice.granted);
            let room = line.at(now.since(slice.last)) - counted;
            slice.counted = if is_lower { granted.min(room.max(0.0)) } else { granted };
            counted += slice.counted;
        }
    }

    /// Assumes that another leader granted as many requests as the bounds allow until now.
    pub(super) fn fill(&mut self, now: Timestamp) {
        self.slices.clear();
        let counted = self.line.burst;
        // `as` saturates; a limit of billions of requests is not reached.
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        let granted = counted.ceil() as u32;
        self.slices.push_back(Slice { first: now, last: now, granted, counted });
    }

    /// Removes requests that have left the window.
    pub(super) fn advance(&mut self, now: Timestamp) {
        while self.slices.front().is_some_and(|slice| now.since(slice.last) >= self.span) {
            self.slices.pop_front();
        }
    }

    /// Time until another request fits, zero if it does now.
    pub(super) fn wait(&self, now: Timestamp) -> Duration {
        let mut counted = 0.0;
        let mut wait = Duration::ZERO;
        for slice in self.slices.iter().rev() {
            counted += slice.counted;
            let elapsed = now.since(slice.last);
            let missing = counted + 1.0 - self.line.at(elapsed);
            if missing > 0.0 {
                let until_expired = self.span.saturating_sub(elapsed);
                let grown = Duration::try_from_secs_f64(missing / self.line.slope.max(f64::MIN_POSITIVE));
                wait = wait.max(grown.unwrap_or(until_expired).min(until_expired));
            }
        }
        // A limit of less than one request per window never fits.
        if self.line.at(self.span) < 1.0 { self.span } else { wait }
    }

    /// Records a granted request.
    pub(super) fn record(&mut self, now: Timestamp) {
        match self.slices.back_mut() {
            Some(slice) if now.since(slice.first) <= self.span / SLICES_PER_WINDOW => {
                slice.last = slice.last.max(now);
                slice.granted = slice.granted.saturating_add(1);
                slice.counted += 1.0;
            }
            _ => self.slices.push_back(Slice { first: now, last: now, granted: 1, counted: 1.0 }),
        }
    }

    /// Requests that the window will grant within each of these times from now, ascending and at most the window's length.
    pub(super) fn room<const N: usize>(&self, now: Timestamp, horizons: &[Duration; N]) -> [f64; N] {
        let mut room = horizons.map(|horizon| self.line.at(horizon));
        let mut counted = 0.0;
        for slice in self.slices.iter().rev() {
            counted += slice.counted;
            for (room, horizon) in room.iter_mut().zip(horizons) {
                let age = now.since(slice.last) + *horizon;
                if age < self.span {
                    *room = room.min(self.line.at(age) - counted);
                }
            }
        }
        room
    }

    /// Number of slices, which decides the memory of a window.
    #[cfg(test)]
    pub(super) fn slices(&self) -> usize {
        self.slices.len()
    }

    /// Time for which a request stays in the window.
    pub(super) fn span(&self) -> Duration {
        self.span
    }
}
