//! Servers that fail part of their requests, found by their outcomes against those of the pool.
//!
//! A health check says nothing of them, and failures in a row are rare where four of ten requests fail. The test is the
//! risk-adjusted sequential one of [`crate::health`]; why, and what it is compared with: docs/design/008-health.md.

use std::time::Duration;

use crate::health::OutlierDetector;
use crate::health::sequential::SequentialTest;

/// The odds of failure, against those of the pool, that the test looks for. A server that fails in part fails some
/// ten to forty times as often as the others, and each failure ends a program, so the test is set to see that soon.
const ODDS_RATIO: f64 = 12.0;
/// Probability with which the test takes a sound server out. A second without one server of ten or more costs little,
/// so it may err more often than one that ejects for long.
const FALSE_ALARM: f64 = 0.02;
/// What is taken for usual at least: some servers spoil 2 to 5 in a hundred answers by chance, and where nearly nothing
/// fails, two failures far apart must not speak against a server.
const LEAST_USUAL: f64 = 0.02;
/// Time out after the first alarm; doubled with each further one.
const FIRST_REST: Duration = Duration::from_secs(2);
/// Doublings of it: 8 s at the most, about as long as such a disturbance lasts.
const MOST_DOUBLINGS: u32 = 2;

/// What speaks against one server.
#[derive(Debug)]
pub(super) struct Suspicion {
    watch: SequentialTest,
    alarms: u32,
}

impl Default for Suspicion {
    fn default() -> Self {
        Self { watch: SequentialTest::new(ODDS_RATIO, FALSE_ALARM), alarms: 0 }
    }
}

impl Suspicion {
    /// Takes in an outcome; `risk` is how often requests fail in the pool.
    pub(super) fn record(&mut self, failed: bool, risk: f64) {
        self.watch.record(failed, risk.max(LEAST_USUAL));
    }

    /// Whether nothing speaks against the server, so that its outcomes tell what is usual.
    pub(super) fn is_calm(&self) -> bool {
        self.watch.is_healthy()
    }

    /// For how long the server is to rest, if the evidence suffices. It comes back on probation: a single failure more
    /// sends it out again.
    pub(super) fn alarm(&mut self) -> Option<Duration> {
        if !self.watch.should_eject() {
            return None;
        }
        let rest = FIRST_REST * 2_u32.pow(self.alarms.min(MOST_DOUBLINGS));
        self.alarms += 1;
        self.watch.start_probation();
        Some(rest)
    }
}
