//! Regression bounds on scheduling quality, checked on small traces in virtual time; see docs/MEASUREMENTS.md.

use agatetrestle::scheduler::Policy;
use agatetrestle_replay::catalog::PoolConfig;
use agatetrestle_replay::faults;
use agatetrestle_replay::faults::Fault;
use agatetrestle_replay::faults::FaultKind;
use agatetrestle_replay::replay;
use agatetrestle_replay::simulation::ReplayOptions;
use agatetrestle_replay::stats::ReplayStats;
use agatetrestle_replay::synth::SynthOptions;
use agatetrestle_replay::synth::Workload;
use agatetrestle_replay::synth::synthesise;

const ENGINES: u32 = 3;

/// Median latency without pauses relative to the best baseline.
const MAX_P50_PERCENT: u64 = 73;
/// 95th percentile latency without pauses relative to the best baseline.
const MAX_P95_PERCENT: u64 = 49;
/// Wasted cache relative to the best baseline.
const MAX_WASTED_PERCENT: u64 = 16;
/// Recomputed tokens relative to the best baseline.
const MAX_RECOMPUTED_PERCENT: u64 = 4;
/// 99th percentile latency of each class relative to its best baseline.
const MAX_CLASS_P99_PERCENT: u64 = 72;
/// 95th percentile latency of replacements under ten times the other partner's load relative to running alone.
const MAX_ISOLATION_PERCENT: u64 = 182;
/// Rate of useful tokens at 300% load relative to 100% load.
const MIN_OVERLOAD_PERCENT: u64 = 90;
/// Share of programs completed while one of three engines fails 60% of its calls.
const MIN_COMPLETED_PERCENT: usize = 98;

fn replay_workload(
    workload: Workload,
    load: u32,
    programs: u32,
    policy: Policy,
    faults: Vec<Fault>,
) -> ReplayStats {
    let calls = synthesise(&SynthOptions { workload, programs, load, engines: ENGINES, seed: 5 });
    let pool = PoolConfig { engines: usize::try_from(ENGINES).expect("small"), ..PoolConfig::default() };
    replay(&calls, policy, &ReplayOptions { seed: 5, pool, faults })
}

fn percent(value: u64, of: u64) -> u64 {
    value * 100 / of.max(1)
}

fn assert_at_most(name: &str, value: u64, bound: u64) {
    assert!(value <= bound, "{name}: {value} is above the bound of {bound}");
}

#[test]
fn adaptive_outperforms_baselines_under_overload() {
    let run = |policy| replay_workload(Workload::Shared, 120, 500, policy, Vec::new());
    let adaptive = run(Policy::Adaptive);
    let baselines = [run(Policy::Sticky), run(Policy::Shortest)];
    let best_baseline = |metric: fn(&ReplayStats) -> u64| baselines.iter().map(metric).min().expect("two");
    let ratio = |metric: fn(&ReplayStats) -> u64| percent(metric(&adaptive), best_baseline(metric));
    assert_at_most("p50", ratio(|m| m.all.served.p50), MAX_P50_PERCENT);
    assert_at_most("p95", ratio(|m| m.all.served.p95), MAX_P95_PERCENT);
    assert_at_most("wasted cache", ratio(|m| m.wasted_cache), MAX_WASTED_PERCENT);
    assert_at_most("recomputed", ratio(|m| m.recomputed_tokens), MAX_RECOMPUTED_PERCENT);
    for (class, latency) in &adaptive.classes {
        let p99 = |m: &ReplayStats| m.classes[class].served.p99;
        let best = baselines.iter().map(p99).min().expect("two");
        assert_at_most(class, percent(latency.served.p99, best), MAX_CLASS_P99_PERCENT);
    }
    assert_eq!(adaptive.broken.sum(), 0, "{:?}", adaptive.broken);
    assert_eq!(adaptive.completed, adaptive.programs);
}

#[test]
fn isolates_a_partner_from_tenfold_load_of_the_other() {
    let alone = replay_workload(Workload::TenfoldAlone, 300, 600, Policy::Adaptive, Vec::new());
    let shared = replay_workload(Workload::Tenfold, 300, 600, Policy::Adaptive, Vec::new());
    let p95 = |m: &ReplayStats| m.classes["vrsta/replacement"].served.p95;
    assert_at_most("replacement p95", percent(p95(&shared), p95(&alone)), MAX_ISOLATION_PERCENT);
    assert_eq!(shared.broken.sum(), 0, "{:?}", shared.broken);
}

#[test]
fn throughput_holds_at_three_times_the_capacity() {
    let rate = |load| {
        let m = replay_workload(Workload::Shared, load, 500, Policy::Adaptive, Vec::new());
        assert_eq!(m.broken.sum(), 0, "{:?}", m.broken);
        m.useful_tokens * 1_000_000 / m.makespan
    };
    let ratio = percent(rate(300), rate(100));
    assert!(ratio >= MIN_OVERLOAD_PERCENT, "rate of useful tokens at 300% load is {ratio}% of that at 100%");
}

#[test]
fn retries_stay_within_their_budget() {
    let fault = |at| Fault {
        at: 0,
        backend: format!("shared-model-{at}").into(),
        kind: FaultKind::Fail { percent: 50 },
    };
    let faults = (0..ENGINES).map(fault).collect();
    let m = replay_workload(Workload::Shared, 85, 300, Policy::Adaptive, faults);
    assert_at_most("attempts", percent(m.attempts, m.sent), 110);
    assert_eq!(m.broken.sum(), 0, "{:?}", m.broken);
}

#[test]
fn ejects_a_failing_engine() {
    let text = "{\"at\":60000000,\"backend\":\"shared-model-1\",\"kind\":\"fail\",\"percent\":60}\n";
    let faults = faults::parse(text).expect("faults");
    let m = replay_workload(Workload::Shared, 60, 300, Policy::Adaptive, faults);
    assert!(m.completed * 100 >= m.programs * MIN_COMPLETED_PERCENT, "{} of {}", m.completed, m.programs);
    assert_eq!(m.broken.sum(), 0, "{:?}", m.broken);
}

#[test]
fn faulty_engines_violate_no_guarantee() {
    let texts = [
        "{\"at\":50000000,\"backend\":\"shared-model-1\",\"kind\":\"leave\",\"lag\":30000000}\n",
        "{\"at\":50000000,\"backend\":\"shared-model-1\",\"kind\":\"die\"}\n\
         {\"at\":90000000,\"backend\":\"shared-model-1\",\"kind\":\"recover\"}\n",
        "{\"at\":0,\"backend\":\"shared-model-1\",\"kind\":\"lie\",\"percent\":10}\n\
         {\"at\":0,\"backend\":\"shared-model-2\",\"kind\":\"drop_events\",\"percent\":60}\n",
    ];
    for text in texts {
        let faults = faults::parse(text).expect("faults");
        let m = replay_workload(Workload::Shared, 60, 200, Policy::Adaptive, faults);
        assert_eq!(m.broken.sum(), 0, "{text} {:?}", m.broken);
        assert_eq!(m.completed, m.programs, "{text}");
    }
}

#[test]
fn releases_cache_of_looping_and_dead_programs() {
    let m = replay_workload(Workload::Runaway, 60, 200, Policy::Adaptive, Vec::new());
    assert_eq!(m.broken.sum(), 0, "{:?}", m.broken);
    let baseline = replay_workload(Workload::Runaway, 60, 200, Policy::Sticky, Vec::new());
    assert!(baseline.broken.cache_for_the_gone > 0, "the baseline policy must violate the cache guarantee");
}
