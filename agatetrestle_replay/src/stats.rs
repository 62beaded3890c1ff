//! Statistics of a replay, as integers so that the output is reproducible byte for byte.

use std::collections::BTreeMap;
use std::sync::Arc;

use serde::Serialize;

/// Percentiles of a set of durations in microseconds.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize)]
pub struct Percentiles {
    /// Median.
    pub p50: u64,
    /// 95th percentile.
    pub p95: u64,
    /// 99th percentile.
    pub p99: u64,
}

impl Percentiles {
    /// Computes nearest-rank percentiles.
    #[must_use]
    pub fn of(mut values: Vec<u64>) -> Self {
        values.sort_unstable();
        let rank = |percent: usize| {
            let at = (values.len() * percent).div_ceil(100).max(1) - 1;
            values.get(at).copied().unwrap_or_default()
        };
        Self { p50: rank(50), p95: rank(95), p99: rank(99) }
    }
}

/// Latency of the programs of one partner and class.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize)]
pub struct ClassLatency {
    /// Completed programs.
    pub programs: usize,
    /// Time from first call to final answer.
    pub whole: Percentiles,
    /// Time from first call to final answer without pauses.
    pub served: Percentiles,
}

/// Violations of the scheduler's guarantees; each count must be 0.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize)]
pub struct Violations {
    /// Calls dispatched while not waiting or while another call of the program was in service.
    pub order: u64,
    /// Non-repeatable calls that were sent again after they may have run.
    pub at_most_once: u64,
    /// Exclusive cache blocks of programs that made no call for their keepalive and ten more seconds.
    pub cache_for_the_gone: u64,
    /// Calls refused after they had been sent.
    pub refused_after_send: u64,
    /// Calls sent to a leaving backend server more than three seconds after the first notice.
    pub to_leaving: u64,
}

impl Violations {
    /// Total number of violations.
    #[must_use]
    pub fn sum(&self) -> u64 {
        self.order + self.at_most_once + self.cache_for_the_gone + self.refused_after_send + self.to_leaving
    }
}

/// Statistics of one replay.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize)]
pub struct ReplayStats {
    /// Name of the policy.
    pub policy: Arc<str>,
    /// Seed of the simulation.
    pub seed: u64,
    /// Root programs of the trace.
    pub programs: usize,
    /// Root programs that completed.
    pub completed: usize,
    /// Root programs that gave up after repeated refusals.
    pub refused_programs: usize,
    /// Root programs that ended with a failed call.
    pub failed_programs: usize,
    /// Latency of all completed root programs.
    pub all: ClassLatency,
    /// Latency by `partner/class`.
    pub classes: BTreeMap<Arc<str>, ClassLatency>,
    /// Time from the submission of a call to its first token.
    pub first_token: Percentiles,
    /// Calls that were answered.
    pub calls: u64,
    /// Calls that were sent at least once.
    pub sent: u64,
    /// Attempts at calls.
    pub attempts: u64,
    /// Refusals of calls.
    pub refusals: u64,
    /// Tokens generated in completed programs.
    pub useful_tokens: u64,
    /// Prompt tokens of all calls.
    pub prompt_tokens: u64,
    /// Prompt tokens that were computed.
    pub computed_tokens: u64,
    /// Computed tokens of blocks that had been computed before.
    pub recomputed_tokens: u64,
    /// Tokens inserted into prefix caches.
    pub inserted_tokens: u64,
    /// Inserted tokens that were never read.
    pub unread_tokens: u64,
    /// Ratio of unread and recomputed tokens to inserted tokens in basis points.
    pub wasted_cache: u64,
    /// Share of time in which engines ran at least one request, in basis points.
    pub engines_busy: u64,
    /// Microseconds from start to the last answer.
    pub makespan: u64,
    /// Violated guarantees.
    pub broken: Violations,
}
