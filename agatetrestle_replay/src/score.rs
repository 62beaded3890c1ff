//! Policies side by side over many seeds: medians, and ratios against the best baseline.

use std::collections::BTreeMap;
use std::fmt::Write;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;

use agatetrestle::scheduler::Policy;
use agatetrestle::scheduler::SchedulerConfig;

use crate::catalog::Pool;
use crate::faults::Fault;
use crate::measure::Measures;
use crate::replay_with;
use crate::synth::Synth;
use crate::synth::synthesise;
use crate::world::Options;

/// What to run: each policy on the trace of each seed.
#[derive(Clone, Debug)]
pub struct Score {
    /// The traces, of which the seed is replaced.
    pub synth: Synth,
    /// Seeds of traces, fakes and policies.
    pub seeds: Vec<u64>,
    /// The policies.
    pub policies: Vec<Policy>,
    /// Constants of the decisions.
    pub cfg: SchedulerConfig,
    /// What goes wrong.
    pub faults: Vec<Fault>,
    /// Threads to use.
    pub jobs: usize,
}

/// Names of policies that count as baselines.
pub const BASELINES: [&str; 4] = ["round_robin", "least_load", "sticky", "shortest"];

type Measured = Vec<Option<Measures>>;

/// Runs everything; measures come in the order of policies, then seeds.
///
/// # Panics
///
/// Panics if one of the replays does.
#[must_use]
pub fn run(score: &Score) -> Vec<Measures> {
    let count = score.policies.len() * score.seeds.len();
    let next = AtomicUsize::new(0);
    let measured: Mutex<Measured> = Mutex::new(vec![None; count]);
    std::thread::scope(|scope| {
        for _ in 0..score.jobs.max(1) {
            scope.spawn(|| work(score, &next, &measured));
        }
    });
    let measured = measured.into_inner().expect("no replay panicked");
    measured.into_iter().flatten().collect()
}

fn work(score: &Score, next: &AtomicUsize, measured: &Mutex<Measured>) {
    loop {
        let at = next.fetch_add(1, Ordering::Relaxed);
        let Some(policy) = score.policies.get(at / score.seeds.len()) else {
            return;
        };
        let seed = score.seeds[at % score.seeds.len()];
        let calls = synthesise(&Synth { seed, ..score.synth });
        let engines = usize::try_from(score.synth.engines).unwrap_or_default();
        let pool = Pool { engines, ..Pool::default() };
        let options = Options { seed, pool, faults: score.faults.clone() };
        let outcome = replay_with(&calls, *policy, &score.cfg, &options);
        measured.lock().expect("no replay panicked")[at] = Some(outcome);
    }
}

/// A figure taken from measures.
type Figure = fn(&Measures) -> u64;

const FIGURES: [(&str, Figure); 14] = [
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

/// Writes medians over the seeds, one column for each policy, each with its ratio in percent to the
/// least of the baselines.
#[must_use]
pub fn table(score: &Score, measures: &[Measures]) -> String {
    let mut by_policy: BTreeMap<Arc<str>, Vec<&Measures>> = BTreeMap::new();
    for measure in measures {
        by_policy.entry(measure.policy.clone()).or_default().push(measure);
    }
    let columns: Vec<(Arc<str>, Vec<&Measures>)> = score
        .policies
        .iter()
        .map(|policy| Arc::from(policy.name()))
        .map(|name: Arc<str>| (name.clone(), by_policy.remove(&name).unwrap_or_default()))
        .collect();
    let mut text = String::new();
    header(&mut text, &columns);
    for (name, figure) in FIGURES {
        line(&mut text, name, &columns, |m| Some(figure(m)));
    }
    let classes: std::collections::BTreeSet<&Arc<str>> =
        measures.iter().flat_map(|m| m.classes.keys()).collect();
    for class in classes {
        let of = |m: &Measures| m.classes.get(class).copied();
        line(&mut text, &format!("{class} p50"), &columns, |m| Some(of(m)?.served.p50 / 1_000));
        line(&mut text, &format!("{class} p95"), &columns, |m| Some(of(m)?.served.p95 / 1_000));
        line(&mut text, &format!("{class} p99"), &columns, |m| Some(of(m)?.served.p99 / 1_000));
    }
    text
}

fn header(text: &mut String, columns: &[(Arc<str>, Vec<&Measures>)]) {
    // Writing into a string can't fail.
    let _ = write!(text, "{:<24}", "");
    for (name, _) in columns {
        let _ = write!(text, " {name:>18}");
    }
    text.push('\n');
}

fn line(
    text: &mut String,
    name: &str,
    columns: &[(Arc<str>, Vec<&Measures>)],
    figure: impl Fn(&Measures) -> Option<u64>,
) {
    let medians: Vec<u64> = columns
        .iter()
        .map(|(_, measures)| median(measures.iter().filter_map(|m| figure(m)).collect()))
        .collect();
    let baselines = columns.iter().zip(&medians).filter(|((name, _), _)| BASELINES.contains(&name.as_ref()));
    let least = baselines.map(|(_, median)| *median).min();
    let _ = write!(text, "{name:<24}");
    for value in medians {
        let ratio = least.and_then(|least| (value * 100).checked_div(least));
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
