//! Rate limiting of model loads from the weight store.

use std::time::Duration;

use crate::clock::Timestamp;

const MICROS_PER_SECOND: u128 = 1_000_000;

/// Spaces loads so that their bytes stay within a rate. Loads run one at a time: concurrent ones would share the rate,
/// so no engine would be ready sooner.
#[derive(Clone, Copy, Debug)]
pub struct LoadPacer {
    /// Bytes per second; 0 for no limit.
    rate: u64,
    next_start: Timestamp,
}

impl LoadPacer {
    /// Creates a pacer for `rate` bytes per second; 0 means no limit.
    #[must_use]
    pub fn new(rate: u64, now: Timestamp) -> Self {
        Self { rate, next_start: now }
    }

    /// Sets the rate for subsequent loads.
    pub fn set_rate(&mut self, rate: u64) {
        self.rate = rate;
    }

    /// Whether a load may start.
    #[must_use]
    pub fn is_ready(&self, now: Timestamp) -> bool {
        now >= self.next_start
    }

    /// Records the start of a load of `bytes`.
    pub fn start(&mut self, now: Timestamp, bytes: u64) {
        let start = self.next_start.max(now);
        self.next_start = start + self.load_time(bytes);
    }

    fn load_time(&self, bytes: u64) -> Duration {
        if self.rate == 0 {
            return Duration::ZERO;
        }
        let micros = u128::from(bytes) * MICROS_PER_SECOND / u128::from(self.rate);
        Duration::from_micros(u64::try_from(micros).unwrap_or(u64::MAX))
    }
}
