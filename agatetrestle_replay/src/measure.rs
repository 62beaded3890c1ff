//! What a replay measured, in whole numbers so that two runs give the same bytes.

use std::collections::BTreeMap;
use std::sync::Arc;

use serde::Serialize;

/// Percentiles of a set of microseconds.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize)]
pub struct Percentiles {
    /// Median.
    pub p50: u64,
    /// 95 in 100 are at most this.
    pub p95: u64,
    /// 99 in 100 are at most this.
    pub p99: u64,
}

impl Percentiles {
    /// Takes the nearest-rank percentiles.
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
    /// Programs that got their final answer.
    pub programs: usize,
    /// First call to final answer in microseconds.
    pub whole: Percentiles,
    /// The same with the pauses taken out.
    pub served: Percentiles,
}

/// Promises that were broken; each must be 0.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize)]
pub struct Broken {
    /// A call was dispatched that was not waiting, or while another of its program was in service.
    pub order: u64,
    /// A non-repeatable call was sent again after it may have run.
    pub at_most_once: u64,
    /// Blocks held by a gone program's own prefix one keepalive and ten seconds after its last call.
    pub cache_for_the_gone: u64,
    /// A call was refused that had been sent.
    pub refused_after_send: u64,
    /// New calls to a leaving backend server later than three seconds after the first sign.
    pub to_leaving: u64,
}

impl Broken {
    /// All of them.
    #[must_use]
    pub fn sum(&self) -> u64 {
        self.order + self.at_most_once + self.cache_for_the_gone + self.refused_after_send + self.to_leaving
    }
}

/// Everything that one replay measured.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize)]
pub struct Measures {
    /// Policy that decided.
    pub policy: Arc<str>,
    /// Seed of the fakes.
    pub seed: u64,
    /// Programs of the trace that are no sub-agents.
    pub programs: usize,
    /// Of those, how many got their final answer.
    pub completed: usize,
    /// Of those, how many were turned away for good.
    pub refused_programs: usize,
    /// Of those, how many ended with a failed call.
    pub failed_programs: usize,
    /// Latency of all programs that are no sub-agents.
    pub all: ClassLatency,
    /// The same by `partner/class`.
    pub classes: BTreeMap<Arc<str>, ClassLatency>,
    /// Call arrival to first token.
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
    /// Of those, tokens of blocks that had been computed before.
    pub recomputed_tokens: u64,
    /// Tokens that entered prefix caches.
    pub inserted_tokens: u64,
    /// Of those, tokens that were never read again.
    pub unread_tokens: u64,
    /// Unread and recomputed tokens over inserted tokens, in parts of 10,000.
    pub wasted_cache: u64,
    /// Share of time that engines ran at least one request, in parts of 10,000.
    pub engines_busy: u64,
    /// Microseconds from start to the last answer.
    pub makespan: u64,
    /// Promises broken.
    pub broken: Broken,
}
