//! Detection by an exponentially weighted moving average of failures, a baseline for comparisons.

use crate::health::OutlierDetector;

/// Ejects while the average failure rate is at least `limit`.
#[derive(Clone, Copy, Debug)]
pub struct MovingAverage {
    weight: f64,
    limit: f64,
    rate: f64,
}

impl MovingAverage {
    /// Creates a detector; `weight` is the weight of one outcome in the average.
    #[must_use]
    pub fn new(weight: f64, limit: f64) -> Self {
        Self { weight, limit, rate: 0.0 }
    }
}

impl OutlierDetector for MovingAverage {
    fn record(&mut self, failed: bool, _expected_rate: f64) {
        let outcome = if failed { 1.0 } else { 0.0 };
        self.rate += self.weight * (outcome - self.rate);
    }

    fn should_eject(&self) -> bool {
        self.rate >= self.limit
    }

    fn is_healthy(&self) -> bool {
        self.rate < self.limit / 2.0
    }

    fn start_probation(&mut self) {
        self.rate = self.limit / 2.0;
    }
}
