//! Health: which backend servers fail more calls than they should; see docs/design/008-health.md.

pub mod average;
pub mod consecutive;
pub mod risk;
pub mod sequential;

use std::fmt;

/// Watches the outcomes of one backend server.
pub trait Watch: fmt::Debug {
    /// Takes in an outcome; `risk` is the probability with which such a call fails on a healthy
    /// backend server.
    fn record(&mut self, failed: bool, risk: f64);

    /// Whether the backend server is to be ejected.
    fn alarm(&self) -> bool;

    /// Whether nothing speaks against the backend server, so that its outcomes may be learned from.
    fn calm(&self) -> bool;

    /// Starts again after an ejection, on probation.
    fn rejoin(&mut self);
}
