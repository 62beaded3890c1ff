//! Counts that grow during a replay and are summed up at its end.

use std::collections::BTreeMap;
use std::sync::Arc;

use crate::fleet::Fleet;
use crate::measure::Broken;
use crate::measure::ClassLatency;
use crate::measure::Measures;
use crate::measure::Percentiles;

const PARTS: u64 = 10_000;

/// The counts.
#[derive(Debug, Default)]
pub struct Tally {
    /// Promises broken.
    pub broken: Broken,
    /// Calls answered.
    pub calls: u64,
    /// Calls that were sent at least once.
    pub sent: u64,
    /// Attempts at calls.
    pub attempts: u64,
    /// Refusals of calls.
    pub refusals: u64,
    /// Programs turned away for good.
    pub refused_programs: usize,
    /// Programs that ended with a failed call.
    pub failed_programs: usize,
    /// Tokens generated in completed programs.
    pub useful: u64,
    /// Prompt tokens of answered calls.
    pub prompts: u64,
    /// Prompt tokens computed.
    pub computed: u64,
    /// Prompt tokens computed again.
    pub recomputed: u64,
    /// When the last answer came.
    pub last_answer: u64,
    /// Call arrival to first token.
    pub first_tokens: Vec<u64>,
    latencies: BTreeMap<Arc<str>, Vec<(u64, u64)>>,
}

impl Tally {
    /// Counts a program with its final answer.
    pub fn completed(&mut self, class: Arc<str>, whole: u64, served: u64) {
        self.latencies.entry(class).or_default().push((whole, served));
    }

    /// Sums up.
    #[must_use]
    pub fn close(self, fleet: &Fleet, block_tokens: u32) -> Measures {
        let now = self.last_answer;
        let engines = || fleet.servers.iter().filter_map(|server| server.engine.as_ref());
        let tokens = u64::from(block_tokens);
        let inserted: u64 = engines().map(|e| e.cache.counts().inserted).sum();
        let unread: u64 = engines().map(|e| e.cache.counts().unread + e.cache.unread_held()).sum();
        let unread = unread + fleet.host.unread();
        let busy: u64 = engines().map(|e| e.busy).sum();
        let count = u64::try_from(engines().count()).unwrap_or(u64::MAX);
        let wasted = unread * tokens + self.recomputed;
        let every: Vec<(u64, u64)> = self.latencies.values().flatten().copied().collect();
        let latency = |pairs: &[(u64, u64)]| ClassLatency {
            programs: pairs.len(),
            whole: Percentiles::of(pairs.iter().map(|pair| pair.0).collect()),
            served: Percentiles::of(pairs.iter().map(|pair| pair.1).collect()),
        };
        Measures {
            completed: every.len(),
            refused_programs: self.refused_programs,
            failed_programs: self.failed_programs,
            all: latency(&every),
            classes: self.latencies.iter().map(|(class, pairs)| (class.clone(), latency(pairs))).collect(),
            first_token: Percentiles::of(self.first_tokens),
            calls: self.calls,
            sent: self.sent,
            attempts: self.attempts,
            refusals: self.refusals,
            useful_tokens: self.useful,
            prompt_tokens: self.prompts,
            computed_tokens: self.computed,
            recomputed_tokens: self.recomputed,
            inserted_tokens: inserted * tokens,
            unread_tokens: unread * tokens,
            wasted_cache: wasted * PARTS / (inserted * tokens).max(1),
            engines_busy: busy * PARTS / (now * count).max(1),
            makespan: now,
            broken: self.broken,
            ..Measures::default()
        }
    }
}
