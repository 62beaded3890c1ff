//! Order of service: which waiting call goes first; see docs/design/005-order-of-service.md.

use std::fmt;

use crate::clock::Timestamp;
use crate::clock::micros;
use crate::scheduler::config::SchedulerConfig;

/// What a rank is made from.
#[derive(Clone, Copy, Debug)]
pub struct Candidate {
    /// When the call was submitted.
    pub submitted: Timestamp,
    /// Service that the program, counted with its sub-agents, has attained, in microseconds of
    /// engine time.
    pub attained: u64,
    /// Engine time that the call is expected to take, in microseconds.
    pub expected: u64,
    /// Priority of its class, higher first.
    pub priority: u8,
}

/// Ranks calls; the lowest rank goes first. A rank never changes while a call waits, so that the
/// wait of any call is bounded by the spread of ranks.
pub trait Order: fmt::Debug {
    /// The rank of a call.
    fn rank(&self, candidate: &Candidate) -> u64;
}

/// First come first served.
#[derive(Clone, Copy, Debug)]
pub struct FirstCome;

impl Order for FirstCome {
    fn rank(&self, candidate: &Candidate) -> u64 {
        candidate.submitted.0
    }
}

/// Shortest call first, which starves long ones; a baseline only.
#[derive(Clone, Copy, Debug)]
pub struct ShortestCall;

impl Order for ShortestCall {
    fn rank(&self, candidate: &Candidate) -> u64 {
        candidate.expected
    }
}

/// Least attained service with aging, ahead of it the priority of the class.
#[derive(Clone, Copy, Debug)]
pub struct Attained {
    factor: u64,
    bound: u64,
    step: u64,
}

impl Attained {
    /// Takes factor, bound and step from the configuration.
    #[must_use]
    pub fn new(cfg: &SchedulerConfig) -> Self {
        Self { factor: cfg.attained_factor, bound: micros(cfg.aging_bound), step: micros(cfg.priority_step) }
    }
}

impl Order for Attained {
    fn rank(&self, candidate: &Candidate) -> u64 {
        let behind = u64::from(u8::MAX - candidate.priority) * self.step;
        let delay = candidate.attained.saturating_mul(self.factor).saturating_add(behind);
        candidate.submitted.0.saturating_add(delay.min(self.bound + u64::from(u8::MAX) * self.step))
    }
}
