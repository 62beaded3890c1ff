//! Counters of a replay in progress.

use std::collections::BTreeMap;
use std::sync::Arc;

use crate::fleet::SimFleet;
use crate::stats::ClassLatency;
use crate::stats::Percentiles;
use crate::stats::ReplayStats;
use crate::stats::Violations;

const BASIS_POINTS: u64 = 10_000;

/// Counts events during a replay; [`Counters::into_stats`] summarises them.
#[derive(Debug, Default)]
pub struct Counters {
    /// Violated guarantees.
    pub violations: Violations,
    /// Calls answered.
    pub calls: u64,
    /// Calls that were sent at least once.
    pub sent: u64,
    /// Attempts at calls.
    pub attempts: u64,
    /// Refusals of calls.
    pub refusals: u64,
    /// Programs that gave up after repeated refusals.
    pub refused_programs: usize,
    /// Programs that ended with a failed call.
    pub failed_programs: usize,
    /// Tokens generated in completed programs.
    pub useful_tokens: u64,
    /// Prompt tokens of answered calls.
    pub prompt_tokens: u64,
    /// Prompt tokens computed.
    pub computed_tokens: u64,
    /// Prompt tokens computed again.
    pub recomputed_tokens: u64,
    /// Virtual time of the last answer in microseconds.
    pub last_answer: u64,
    /// Time from submission to first token of each call in microseconds.
    pub first_tokens: Vec<u64>,
    latencies: BTreeMap<Arc<str>, Vec<(u64, u64)>>,
}

impl Counters {
    /// Records a completed program: its latency with and without pauses.
    pub fn record_completed(&mut self, class: Arc<str>, latency: u64, served: u64) {
        self.latencies.entry(class).or_default().push((latency, served));
    }

    /// Combines the counters with those of the engines.
    #[must_use]
    pub fn into_stats(self, fleet: &SimFleet, block_tokens: u32) -> ReplayStats {
        let makespan = self.last_answer;
        let engines = || fleet.servers.iter().filter_map(|server| server.engine.as_ref());
        let tokens = u64::from(block_tokens);
        let inserted: u64 = engines().map(|e| e.cache.counts().inserted).sum();
        let unread: u64 = engines().map(|e| e.cache.counts().unread + e.cache.unread_resident()).sum();
        let unread = unread + fleet.host.unread();
        let busy: u64 = engines().map(|e| e.busy_micros).sum();
        let count = u64::try_from(engines().count()).unwrap_or(u64::MAX);
        let wasted = unread * tokens + self.recomputed_tokens;
        let all: Vec<(u64, u64)> = self.latencies.values().flatten().copied().collect();
        let latency = |pairs: &[(u64, u64)]| ClassLatency {
            programs: pairs.len(),
            whole: Percentiles::of(pairs.iter().map(|pair| pair.0).collect()),
            served: Percentiles::of(pairs.iter().map(|pair| pair.1).collect()),
        };
        ReplayStats {
            completed: all.len(),
            refused_programs: self.refused_programs,
            failed_programs: self.failed_programs,
            all: latency(&all),
            classes: self.latencies.iter().map(|(class, pairs)| (class.clone(), latency(pairs))).collect(),
            first_token: Percentiles::of(self.first_tokens),
            calls: self.calls,
            sent: self.sent,
            attempts: self.attempts,
            refusals: self.refusals,
            useful_tokens: self.useful_tokens,
            prompt_tokens: self.prompt_tokens,
            computed_tokens: self.computed_tokens,
            recomputed_tokens: self.recomputed_tokens,
            inserted_tokens: inserted * tokens,
            unread_tokens: unread * tokens,
            wasted_cache: wasted * BASIS_POINTS / (inserted * tokens).max(1),
            engines_busy: busy * BASIS_POINTS / (makespan * count).max(1),
            makespan,
            broken: self.violations,
            ..ReplayStats::default()
        }
    }
}
