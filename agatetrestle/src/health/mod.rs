//! Detection of backend servers that fail more requests than expected; see docs/design/008-health.md.

pub mod average;
pub mod consecutive;
pub mod failure_rates;
pub mod sequential;

use std::fmt;

const MAX_EJECTED_PERCENT: usize = 30;

/// Maximum number of servers that may be ejected at once, out of `servers`. A fault common to all of them would
/// otherwise move the whole load to a few. At least one may be ejected, but never the last.
#[must_use]
pub fn max_ejected(servers: usize) -> usize {
    (servers * MAX_EJECTED_PERCENT / 100).max(1).min(servers.saturating_sub(1))
}

/// Decides from the outcomes of one backend server whether to eject it.
pub trait OutlierDetector: fmt::Debug {
    /// Records an outcome; `expected_rate` is the probability that a healthy backend server fails such a call.
    fn record(&mut self, failed: bool, expected_rate: f64);

    /// Whether the evidence suffices to eject the backend server.
    fn should_eject(&self) -> bool;

    /// Whether there is little evidence against the backend server, so that its outcomes count towards the expected rates.
    fn is_healthy(&self) -> bool;

    /// Resets the evidence after an ejection to a level from which few failures eject the server again.
    fn start_probation(&mut self);
}
