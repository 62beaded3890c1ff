//! The pace of loads from the weight store.

use std::time::Duration;

use crate::clock::Timestamp;

const MICROS_PER_SECOND: u128 = 1_000_000;

/// Spaces loads so that their bytes stay within a rate. Loads go one after the other: two at once
/// would each take twice as long and neither engine would serve sooner.
#[derive(Clone, Copy, Debug)]
pub struct LoadPacer {
    rate: u64,
    free_at: Timestamp,
}

impl LoadPacer {
    /// A pace of `rate` bytes a second; a rate of 0 stands for no limit.
    #[must_use]
    pub fn new(rate: u64, now: Timestamp) -> Self {
        Self { rate, free_at: now }
    }

    /// Changes the rate from the next load on.
    pub fn set_rate(&mut self, rate: u64) {
        self.rate = rate;
    }

    /// Whether a load may begin.
    #[must_use]
    pub fn is_free(&self, now: Timestamp) -> bool {
        now >= self.free_at
    }

    /// Notes a load of so many bytes that begins now.
    pub fn begin(&mut self, now: Timestamp, bytes: u64) {
        let begin = self.free_at.max(now);
        self.free_at = begin + self.span(bytes);
    }

    fn span(&self, bytes: u64) -> Duration {
        if self.rate == 0 {
            return Duration::ZERO;
        }
        let micros = u128::from(bytes) * MICROS_PER_SECOND / u128::from(self.rate);
        Duration::from_micros(u64::try_from(micros).unwrap_or(u64::MAX))
    }
}
