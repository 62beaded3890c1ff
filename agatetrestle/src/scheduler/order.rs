//! Order of service of waiting calls; see docs/design/005-order-of-service.md.

use std::fmt;
use std::time::Duration;

use crate::clock::Timestamp;
use crate::clock::micros;
use crate::scheduler::config::SchedulerConfig;

const PERCENT: u64 = 100;

/// Properties of a call that determine its rank.
#[derive(Clone, Copy, Debug)]
pub struct RankInput {
    /// Time of submission.
    pub submitted: Timestamp,
    /// Service attained by the program and its sub-agents, in microseconds of engine time.
    pub attained: u64,
    /// Expected remaining service of the program, in microseconds of engine time.
    pub remaining: u64,
    /// Total queue time of the calls of the program.
    pub queue_time: Duration,
    /// Expected service of the call, in microseconds of engine time.
    pub expected: u64,
    /// Priority of its class, higher first.
    pub priority: u8,
}

/// Ranks calls; the lowest rank is served first. A rank is fixed while a call waits, so the spread of ranks
/// bounds how long any call is overtaken.
pub trait Order: fmt::Debug {
    /// Computes the rank of a call.
    fn rank(&self, input: &RankInput) -> u64;
}

/// First come, first served.
#[derive(Clone, Copy, Debug)]
pub struct Fcfs;

impl Order for Fcfs {
    fn rank(&self, input: &RankInput) -> u64 {
        input.submitted.0
    }
}

/// Shortest call first. Starves long calls, so it serves only as a baseline.
#[derive(Clone, Copy, Debug)]
pub struct ShortestCall;

impl Order for ShortestCall {
    fn rank(&self, input: &RankInput) -> u64 {
        input.expected
    }
}

/// Least attained or remaining service of the program first, with class priorities and bounded aging.
#[derive(Clone, Copy, Debug)]
pub struct ProgramOrder {
    rank_by: RankBy,
    delay_factor: u64,
    max_delay: u64,
    priority_step: u64,
    wait_credit: u64,
}

/// The service of a program that [`ProgramOrder`] ranks by.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RankBy {
    /// Service attained so far.
    Attained,
    /// Expected remaining service.
    Remaining,
}

impl ProgramOrder {
    /// Creates an order with the parameters of a configuration.
    #[must_use]
    pub fn new(cfg: &SchedulerConfig, rank_by: RankBy) -> Self {
        Self {
            rank_by,
            delay_factor: match rank_by {
                RankBy::Attained => cfg.attained_factor,
                RankBy::Remaining => cfg.rest_factor,
            },
            max_delay: micros(cfg.aging_bound),
            priority_step: micros(cfg.priority_step),
            wait_credit: cfg.wait_credit,
        }
    }
}

impl Order for ProgramOrder {
    fn rank(&self, input: &RankInput) -> u64 {
        let service = match self.rank_by {
            RankBy::Attained => input.attained,
            RankBy::Remaining => input.remaining,
        };
        let credit = micros(input.queue_time).saturating_mul(self.wait_credit) / PERCENT;
        let delay = service.saturating_mul(self.delay_factor).saturating_sub(credit).min(self.max_delay);
        let priority_delay = u64::from(u8::MAX - input.priority) * self.priority_step;
        input.submitted.0.saturating_add(delay).saturating_add(priority_delay)
    }
}
