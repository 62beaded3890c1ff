//! Order of service: which waiting call goes first; see docs/design/005-order-of-service.md.

use std::fmt;
use std::time::Duration;

use crate::clock::Timestamp;
use crate::clock::micros;
use crate::scheduler::config::SchedulerConfig;

const PERCENT: u64 = 100;

/// What a rank is made from.
#[derive(Clone, Copy, Debug)]
pub struct Candidate {
    /// When the call was submitted.
    pub submitted: Timestamp,
    /// Service that the program, counted with its sub-agents, has attained, in microseconds of
    /// engine time.
    pub attained: u64,
    /// Service that the program is expected to need yet, in microseconds of engine time.
    pub rest: u64,
    /// Time that calls of the program have waited so far.
    pub waited: Duration,
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

/// By what makes a program likely to end soon, with aging and, ahead of it, the priority of the class.
#[derive(Clone, Copy, Debug)]
pub struct ByProgram {
    measure: Measure,
    factor: u64,
    bound: u64,
    step: u64,
    credit: u64,
}

/// What the order by program goes by.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Measure {
    /// Least attained service.
    Attained,
    /// Least expected rest of service.
    Rest,
}

impl ByProgram {
    /// Takes factor, bound, step and credit from the configuration.
    #[must_use]
    pub fn new(cfg: &SchedulerConfig, measure: Measure) -> Self {
        Self {
            measure,
            factor: match measure {
                Measure::Attained => cfg.attained_factor,
                Measure::Rest => cfg.rest_factor,
            },
            bound: micros(cfg.aging_bound),
            step: micros(cfg.priority_step),
            credit: cfg.wait_credit,
        }
    }
}

impl Order for ByProgram {
    fn rank(&self, candidate: &Candidate) -> u64 {
        let service = match self.measure {
            Measure::Attained => candidate.attained,
            Measure::Rest => candidate.rest,
        };
        let credit = micros(candidate.waited).saturating_mul(self.credit) / PERCENT;
        let delay = service.saturating_mul(self.factor).saturating_sub(credit).min(self.bound);
        let behind = u64::from(u8::MAX - candidate.priority) * self.step;
        candidate.submitted.0.saturating_add(delay).saturating_add(behind)
    }
}
