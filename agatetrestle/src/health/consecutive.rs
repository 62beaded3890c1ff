//! Detection by consecutive failures, a baseline for comparisons.

use crate::health::OutlierDetector;

/// Ejects after `limit` failures in a row.
#[derive(Clone, Copy, Debug)]
pub struct ConsecutiveFailures {
    limit: u32,
    failures: u32,
}

impl ConsecutiveFailures {
    /// Creates a detector that has seen no failure.
    #[must_use]
    pub fn new(limit: u32) -> Self {
        Self { limit, failures: 0 }
    }
}

impl OutlierDetector for ConsecutiveFailures {
    fn record(&mut self, failed: bool, _expected_rate: f64) {
        self.failures = if failed { self.failures + 1 } else { 0 };
    }

    fn should_eject(&self) -> bool {
        self.failures >= self.limit
    }

    fn is_healthy(&self) -> bool {
        self.failures == 0
    }

    fn start_probation(&mut self) {
        self.failures = self.limit / 2;
    }
}
