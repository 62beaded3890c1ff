//! Detection of servers that fail a larger share of their requests than the rest of the service.
//!
//! Health checks and counts of consecutive failures miss a server that fails only some requests. The risk-adjusted
//! sequential test of [`crate::health`] finds it; see docs/design/008-health.md.

use std::time::Duration;

use crate::health::OutlierDetector;
use crate::health::sequential::SequentialTest;

/// Odds of failure, as a multiple of those of the service, that the test detects. A server that fails in part fails some ten
/// to forty times as often as the others, and each failure ends a program, so it is to be detected early.
const OUTLIER_ODDS_RATIO: f64 = 12.0;
/// Probability of ejecting a healthy server. An ejection is short, and a second without one server of ten or more costs
/// little, so false ones are cheap.
const FALSE_EJECTION_PROBABILITY: f64 = 0.02;
/// Lower bound of the expected failure rate. Some servers spoil 2 to 5 in 100 responses by chance, and where nearly nothing
/// fails, two failures far apart must not be evidence against a server.
const MIN_FAILURE_RATE: f64 = 0.02;
/// Length of the first ejection; each further one lasts twice as long as the one before.
const BASE_EJECTION_TIME: Duration = Duration::from_secs(2);
/// Bounds an ejection to 8 s, about as long as such a disturbance lasts.
const MAX_EJECTION_DOUBLINGS: u32 = 2;

/// Evidence that one server is an outlier.
#[derive(Debug)]
pub(super) struct OutlierState {
    test: SequentialTest,
    ejections: u32,
}

impl Default for OutlierState {
    fn default() -> Self {
        Self { test: SequentialTest::new(OUTLIER_ODDS_RATIO, FALSE_EJECTION_PROBABILITY), ejections: 0 }
    }
}

impl OutlierState {
    /// Records an outcome; `expected_rate` is the failure rate of the service.
    pub(super) fn record(&mut self, failed: bool, expected_rate: f64) {
        self.test.record(failed, expected_rate.max(MIN_FAILURE_RATE));
    }

    /// Whether the outcomes of the server count towards the failure rate of the service.
    pub(super) fn is_healthy(&self) -> bool {
        self.test.is_healthy()
    }

    /// Whether the evidence suffices for an ejection.
    pub(super) fn should_eject(&self) -> bool {
        self.test.should_eject()
    }

    /// Ejects the server if the evidence suffices, and returns for how long. It returns on probation, with part of the
    /// evidence kept.
    pub(super) fn eject(&mut self) -> Option<Duration> {
        if !self.test.should_eject() {
            return None;
        }
        let duration = BASE_EJECTION_TIME * 2_u32.pow(self.ejections.min(MAX_EJECTION_DOUBLINGS));
        self.ejections += 1;
        self.test.start_probation();
        Some(duration)
    }
}
