//! The risk-adjusted sequential probability ratio test.
//!
//! After Spiegelhalter, Grigg, Kinsman and Treasure, "Risk-adjusted sequential probability ratio tests:
//! applications to Bristol, Shipman and adult cardiac surgery" (International Journal for Quality in
//! Health Care, 2003). Each outcome changes a log-likelihood ratio by an amount that depends on the expected
//! failure rate of the call, so a server is not ejected for receiving calls that often fail.

use crate::health::OutlierDetector;

/// Probability of missing a faulty server, from which the threshold is derived.
const MISS_PROBABILITY: f64 = 0.05;
/// Evidence at the start of probation, as a share of the threshold.
const PROBATION_SHARE: f64 = 0.5;
/// Evidence below which a server counts as healthy, as a share of the threshold.
const HEALTHY_SHARE: f64 = 0.5;
const MIN_EXPECTED_RATE: f64 = 1e-4;
const MAX_EXPECTED_RATE: f64 = 0.5;

/// Tests whether the odds of failure are at least a given multiple of the expected ones.
#[derive(Clone, Copy, Debug)]
pub struct SequentialTest {
    odds_ratio: f64,
    threshold: f64,
    evidence: f64,
}

impl SequentialTest {
    /// Creates a test for `odds_ratio` that ejects a healthy server with a probability of about `false_ejection`. If
    /// several servers are tested, the caller divides the probability by their number.
    #[must_use]
    pub fn new(odds_ratio: f64, false_ejection: f64) -> Self {
        Self { odds_ratio, threshold: ((1.0 - MISS_PROBABILITY) / false_ejection).ln(), evidence: 0.0 }
    }

    /// Creates a test with a given threshold, for comparisons.
    #[must_use]
    pub fn with_threshold(odds_ratio: f64, threshold: f64) -> Self {
        Self { odds_ratio, threshold, evidence: 0.0 }
    }
}

impl OutlierDetector for SequentialTest {
    fn record(&mut self, failed: bool, expected_rate: f64) {
        let rate = expected_rate.clamp(MIN_EXPECTED_RATE, MAX_EXPECTED_RATE);
        let success = -(1.0 - rate + self.odds_ratio * rate).ln();
        let step = if failed { success + self.odds_ratio.ln() } else { success };
        // Past successes must not delay the detection of a fault, so the evidence never falls below 0.
        self.evidence = (self.evidence + step).max(0.0);
    }

    fn should_eject(&self) -> bool {
        self.evidence >= self.threshold
    }

    fn is_healthy(&self) -> bool {
        self.evidence < self.threshold * HEALTHY_SHARE
    }

    fn start_probation(&mut self) {
        self.evidence = self.threshold * PROBATION_SHARE;
    }
}
