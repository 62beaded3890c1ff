//! Tests of the choice by expected completion time, against the choice by numbers of requests.

use super::engines::EngineBehavior;
use super::engines::contended;
use super::engines::equal;
use super::engines::fifth_slow;
use super::engines::uneven;
use super::simulation::Scenario;
use super::simulation::Stats;
use super::simulation::simulate;
use super::*;

const SEEDS: [u64; 3] = [3, 5, 7];

/// 60 nodes send 720 turns per second of some 110 ms to 48 engines, so that each node sends one to a given engine every 4 s.
fn scenario(engines: EngineBehavior) -> Scenario {
    Scenario {
        nodes: 60,
        servers: 48,
        slots: 6,
        queue_limit: 24,
        rate: 720,
        duration: 20_000_000,
        service_time: 0,
        slowdown: 1,
        time_limit: 3_000_000,
        engines: Some(engines),
        resumed: None,
    }
}

fn engines() -> EngineBehavior {
    EngineBehavior {
        slowness: equal,
        contention: equal,
        reports_contention: false,
        memory_tokens: None,
        max_turns: 12,
    }
}

#[derive(Debug)]
struct Figures {
    /// Late or rejected requests in 10,000.
    late: usize,
    /// Turns that were preempted.
    preempted: usize,
    /// Latency in milliseconds that 1 in 100 exceeds.
    p99: u64,
}

fn figures(engines: EngineBehavior, policy: Decisions, seed: u64) -> Figures {
    let stats = simulate(scenario(engines), policy, seed);
    let rejected = stats.rejected_at_once + stats.rejected_late;
    let late = (stats.late + rejected) * 10_000 / (stats.completed + rejected);
    let figures =
        Figures { late, preempted: stats.preempted, p99: Stats::percentile(&stats.latencies, 99) / 1_000 };
    println!("{policy:?}, seed {seed}: {figures:?}");
    figures
}

/// Checks, as a guard against choices that follow noise or old figures, that the choice by expected time is late at most `late` and has a p99 of at most `p99` percent of what the choice
/// by numbers of requests has, and neither is worse with any seed.
fn assert_improves(engines: EngineBehavior, late: usize, p99: u64) {
    for seed in SEEDS {
        let baseline = figures(engines, Decisions::RequestCounts, seed);
        let model = figures(engines, Decisions::ExpectedTime, seed);
        assert!(model.late * 100 <= baseline.late * late, "seed {seed}: {model:?}, {baseline:?} before");
        assert!(model.preempted <= baseline.preempted, "seed {seed}: {model:?}, {baseline:?} before");
        assert!(model.p99 * 100 <= baseline.p99 * p99, "seed {seed}: {model:?}, {baseline:?} before");
    }
}

#[test]
fn avoids_engines_that_become_five_times_slower() {
    assert_improves(EngineBehavior { slowness: fifth_slow, ..engines() }, 55, 55);
}

#[test]
fn sends_less_to_slower_engines() {
    assert_improves(EngineBehavior { slowness: uneven, ..engines() }, 80, 80);
}

#[test]
fn brief_contention_with_delayed_reports_does_no_harm() {
    assert_improves(
        EngineBehavior { contention: contended, reports_contention: true, ..engines() },
        100,
        100,
    );
}

#[test]
fn avoids_engines_short_of_memory() {
    assert_improves(EngineBehavior { memory_tokens: Some(25_000), max_turns: 20, ..engines() }, 95, 100);
}
