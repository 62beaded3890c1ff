//! The risk-adjusted sequential probability ratio test.
//!
//! After Spiegelhalter, Grigg, Kinsman and Treasure, "FailureRates-adjusted sequential probability ratio tests:
//! applications to Bristol, Shipman and adult cardiac surgery" (International Journal for Quality in
//! Health Care, 2003): each outcome moves a log-likelihood ratio by an amount that depends on how
//! likely the failure was for that call, so that a server is not blamed for getting the hard calls.

use crate::health::OutlierDetector;

const MISSED: f64 = 0.05;
const PROBATION: f64 = 0.5;
const CALM: f64 = 0.5;
const LEAST_RISK: f64 = 1e-4;
const MOST_RISK: f64 = 0.5;

/// Tests whether the odds of failure are at least a given multiple of the expected ones.
#[derive(Clone, Copy, Debug)]
pub struct SequentialTest {
    odds_ratio: f64,
    threshold: f64,
    evidence: f64,
}

impl SequentialTest {
    /// A test for this multiple of the odds, which ejects a healthy server with about this
    /// probability. The caller divides the probability by the number of servers watched.
    #[must_use]
    pub fn new(odds_ratio: f64, false_alarm: f64) -> Self {
        Self { odds_ratio, threshold: ((1.0 - MISSED) / false_alarm).ln(), evidence: 0.0 }
    }

    /// A test with the threshold itself, for comparisons.
    #[must_use]
    pub fn with_threshold(odds_ratio: f64, threshold: f64) -> Self {
        Self { odds_ratio, threshold, evidence: 0.0 }
    }
}

impl OutlierDetector for SequentialTest {
    fn record(&mut self, failed: bool, risk: f64) {
        let risk = risk.clamp(LEAST_RISK, MOST_RISK);
        let success = -(1.0 - risk + self.odds_ratio * risk).ln();
        let step = if failed { success + self.odds_ratio.ln() } else { success };
        // Evidence for health is not saved up: a server that was well for a day may fail now.
        self.evidence = (self.evidence + step).max(0.0);
    }

    fn should_eject(&self) -> bool {
        self.evidence >= self.threshold
    }

    fn is_healthy(&self) -> bool {
        self.evidence < self.threshold * CALM
    }

    fn start_probation(&mut self) {
        self.evidence = self.threshold * PROBATION;
    }
}
