//! How much new work a busy leader refuses, as one router sees it, and when refused callers should return.
//!
//! Callers that return before a busy leader has worked off its load are refused again, which costs it processor time. The delay
//! therefore grows with the part that is refused, and is spread so that callers do not return together; see
//! docs/design/024-overload-of-the-leader.md.

use std::time::Duration;

use crate::clock::Timestamp;

/// Mean delay while hardly anything is refused.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(300);
/// What is added to it while everything is refused. A caller gives a turn up after 3 s.
const MAX_ADDED_DELAY: Duration = Duration::from_millis(600);
/// Part of the mean delay by which it is shortened or lengthened at random.
const SPREAD_RATIO: f64 = 0.5;
/// Time constant of the counts. Bursts begin within a second.
const TIME_CONSTANT: Duration = Duration::from_secs(1);
/// Values that a random number is reduced to.
const STEPS: u32 = 1_024;

/// Decaying counts of new work that leaders of a group took and refused.
#[derive(Clone, Copy, Debug, Default)]
pub struct RefusalRate {
    taken: f64,
    refused: f64,
    updated: Timestamp,
}

impl RefusalRate {
    /// Counts a request.
    pub fn record(&mut self, now: Timestamp, refused: bool) {
        let decay = (-now.since(self.updated).as_secs_f64() / TIME_CONSTANT.as_secs_f64()).exp();
        self.updated = now;
        self.taken *= decay;
        self.refused *= decay;
        *(if refused { &mut self.refused } else { &mut self.taken }) += 1.0;
    }

    /// When the caller of a request that was refused just now should return; `random` selects within the spread.
    #[must_use]
    pub fn retry_after(&self, random: u64) -> Duration {
        let refused = self.refused / (self.taken + self.refused).max(1.0);
        let mean = MIN_RETRY_AFTER + MAX_ADDED_DELAY.mul_f64(refused);
        let step = u32::try_from(random % u64::from(STEPS)).unwrap_or_default();
        mean.mul_f64(1.0 - SPREAD_RATIO + 2.0 * SPREAD_RATIO * f64::from(step) / f64::from(STEPS))
    }
}
