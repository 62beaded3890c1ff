//! A number of failures in a row, the usual baseline.

use crate::health::Watch;

/// Ejects after so many failures in a row.
#[derive(Clone, Copy, Debug)]
pub struct Consecutive {
    limit: u32,
    failures: u32,
}

impl Consecutive {
    /// Takes the number of failures.
    #[must_use]
    pub fn new(limit: u32) -> Self {
        Self { limit, failures: 0 }
    }
}

impl Watch for Consecutive {
    fn record(&mut self, failed: bool, _risk: f64) {
        self.failures = if failed { self.failures + 1 } else { 0 };
    }

    fn alarm(&self) -> bool {
        self.failures >= self.limit
    }

    fn calm(&self) -> bool {
        self.failures == 0
    }

    fn rejoin(&mut self) {
        self.failures = self.limit / 2;
    }
}
