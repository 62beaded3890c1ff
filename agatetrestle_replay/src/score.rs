//! Compares policies over many seeds by medians and by ratios to the best baseline.

use std::collections::BTreeMap;
use std::fmt::Write;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;

use agatetrestle::scheduler::Policy;
use agatetrestle::scheduler::SchedulerConfig;

use crate::catalog::PoolConfig;
use crate::faults::Fault;
use crate::replay_with;
use crate::simulation::ReplayOptions;
use crate::stats::ReplayStats;
use crate::synth::SynthOptions;
use crate::synth::synthesise;

/// Options of a comparison, which replays the trace of each seed under each policy.
#[derive(Clone, Debug)]
pub struct ScoreOptions {
    /// Options of the traces; the seed is replaced.
    pub synth: SynthOptions,
    /// Seeds of traces, simulations and policies.
    pub seeds: Vec<u64>,
    /// Policies to compare.
    pub policies: Vec<Policy>,
    /// Settings of the scheduler.
    pub cfg: SchedulerConfig,
    /// Faults to inject.
    pub faults: Vec<Fault>,
    /// Number of threads.
    pub jobs: usize,
}

/// Names of policies that count as baselines.
pub const BASELINES: [&str; 4] = ["round_robin", "least_load", "sticky", "shortest"];

type Results = Vec<Option<ReplayStats>>;

/// Runs all replays; returns their statistics ordered by policy, then seed.
///
/// # Panics
///
/// Panics if one of the replays does.
#[must_use]
pub fn run(score: &ScoreOptions) -> Vec<ReplayStats> {
    let count = score.policies.len() * score.seeds.len();
    let next = AtomicUsize::new(0);
    let results: Mutex<Results> = Mutex::new(vec![None; count]);
    std::thread::scope(|scope| {
        for _ in 0..score.jobs.max(1) {
            scope.spawn(|| run_worker(score, &next, &results));
        }
    });
    let results = results.into_inner().expect("no replay panicked");
    results.into_iter().flatten().collect()
}

fn run_worker(score: &ScoreOptions, next: &AtomicUsize, results: &Mutex<Results>) {
    loop {
        let at = next.fetch_add(1, Ordering::Relaxed);
        let Some(policy) = score.policies.get(at / score.seeds.len()) else {
            return;
        };
        let seed = score.seeds[at % score.seeds.len()];
        let calls = synthesise(&SynthOptions { seed, ..score.synth });
        let engines = usize::try_from(score.synth.engines).unwrap_or_default();
        let pool = PoolConfig { engines, ..PoolConfig::default() };
        let options = ReplayOptions { seed, pool, faults: score.faults.clone() };
        let outcome = replay_with(&calls, *policy, &score.cfg, &options);
        results.lock().expect("no replay panicked")[at] = Some(outcome);
    }
}

/// Extracts one number from the statistics of a replay.
type Metric = fn(&ReplayStats) -> u64;

const METRICS: [(&str, Metric); 14] = [
    ("served p50 ms", |m| m.all.served.p50 / 1_000),
    ("served p95 ms", |m| m.all.served.p95 / 1_000),
    ("served p99 ms", |m| m.all.served.p99 / 1_000),
    ("latency p50 ms", |m| m.all.whole.p50 / 1_000),
    ("latency p95 ms", |m| m.all.whole.p95 / 1_000),
    ("wasted cache /10000", |m| m.wasted_cache),
    ("recomputed ktokens", |m| m.recomputed_tokens / 1_000),
    ("computed ktokens", |m| m.computed_tokens / 1_000),
    ("completed", |m| u64::try_from(m.completed).unwrap_or_default()),
    ("attempts/sent /10000", |m| m.attempts * 10_000 / m.sent.max(1)),
    ("refusals", |m| m.refusals),
    ("useful tokens/s", |m| m.useful_tokens * 1_000_000 / m.makespan.max(1)),
    ("engines busy /10000", |m| m.engines_busy),
    ("promises broken", |m| m.broken.sum()),
];

/// Formats medians over the seeds with a column for each policy and its ratio in percent to the lowest baseline.
#[must_use]
pub fn table(score: &ScoreOptions, stats: &[ReplayStats]) -> String {
    let mut by_policy: BTreeMap<Arc<str>, Vec<&ReplayStats>> = BTreeMap::new();
    for run in stats {
        by_policy.entry(run.policy.clone()).or_default().push(run);
    }
    let columns: Vec<(Arc<str>, Vec<&ReplayStats>)> = score
        .policies
        .iter()
        .map(|policy| Arc::from(policy.name()))
        .map(|name: Arc<str>| (name.clone(), by_policy.remove(&name).unwrap_or_default()))
        .collect();
    let mut text = String::new();
    write_header(&mut text, &columns);
    for (name, metric) in METRICS {
        write_row(&mut text, name, &columns, |m| Some(metric(m)));
    }
    let classes: std::collections::BTreeSet<&Arc<str>> =
        stats.iter().flat_map(|m| m.classes.keys()).collect();
    for class in classes {
        let latency = |m: &ReplayStats| m.classes.get(class).copied();
        write_row(&mut text, &format!("{class} p50"), &columns, |m| Some(latency(m)?.served.p50 / 1_000));
        write_row(&mut text, &format!("{class} p95"), &columns, |m| Some(latency(m)?.served.p95 / 1_000));
        write_row(&mut text, &format!("{class} p99"), &columns, |m| Some(latency(m)?.served.p99 / 1_000));
    }
    text
}

fn write_header(text: &mut String, columns: &[(Arc<str>, Vec<&ReplayStats>)]) {
    // Writing to a `String` can't fail.
    let _ = write!(text, "{:<24}", "");
    for (name, _) in columns {
        let _ = write!(text, " {name:>18}");
    }
    text.push('\n');
}

fn write_row(
    text: &mut String,
    name: &str,
    columns: &[(Arc<str>, Vec<&ReplayStats>)],
    metric: impl Fn(&ReplayStats) -> Option<u64>,
) {
    let medians: Vec<u64> =
        columns.iter().map(|(_, stats)| median(stats.iter().filter_map(|m| metric(m)).collect())).collect();
    let baselines = columns.iter().zip(&medians).filter(|((name, _), _)| BASELINES.contains(&name.as_ref()));
    let best = baselines.map(|(_, median)| *median).min();
    let _ = write!(text, "{name:<24}");
    for value in medians {
        let ratio = best.and_then(|best| (value * 100).checked_div(best));
        let ratio = ratio.map(|percent| format!("{percent}%")).unwrap_or_default();
        let _ = write!(text, " {value:>11} {ratio:>6}");
    }
    text.push('\n');
}

fn median(mut values: Vec<u64>) -> u64 {
    values.sort_unstable();
    let upper = values.get(values.len() / 2).copied().unwrap_or_default();
    let lower = values.get(values.len().saturating_sub(1) / 2).copied().unwrap_or_default();
    u64::midpoint(lower, upper)
}
