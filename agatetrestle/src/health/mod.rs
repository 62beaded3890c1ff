//! Health: which backend servers fail more calls than they should; see docs/design/008-health.md.

pub mod average;
pub mod consecutive;
pub mod failure_rates;
pub mod sequential;

use std::fmt;

/// Servers of a pool, in a hundred, that may be out at once for what speaks against them.
const MOST_OUT_PERCENT: usize = 30;

/// How many of so many servers may be out at once: a fault that all share is not mended by sending everything to the
/// few that are left. One may always go, but for the last.
#[must_use]
pub fn max_ejected(servers: usize) -> usize {
    (servers * MOST_OUT_PERCENT / 100).max(1).min(servers.saturating_sub(1))
}

/// Watches the outcomes of one backend server.
pub trait OutlierDetector: fmt::Debug {
    /// Takes in an outcome; `risk` is the probability with which such a call fails on a healthy
    /// backend server.
    fn record(&mut self, failed: bool, risk: f64);

    /// Whether the backend server is to be ejected.
    fn should_eject(&self) -> bool;

    /// Whether nothing speaks against the backend server, so that its outcomes may be learned from.
    fn is_healthy(&self) -> bool;

    /// Starts again after an ejection, on probation.
    fn start_probation(&mut self);
}
