//! A number of failures in a row, the usual baseline.

use crate::health::OutlierDetector;

/// Ejects after so many failures in a row.
#[derive(Clone, Copy, Debug)]
pub struct ConsecutiveFailures {
    limit: u32,
    failures: u32,
}

impl ConsecutiveFailures {
    /// Takes the number of failures.
    #[must_use]
    pub fn new(limit: u32) -> Self {
        Self { limit, failures: 0 }
    }
}

impl OutlierDetector for ConsecutiveFailures {
    fn record(&mut self, failed: bool, _risk: f64) {
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
