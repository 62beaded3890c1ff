//! Tests with load reports that are too rare for a node to know the load of a server.

use proptest::prelude::*;
use proptest::test_runner::RngSeed;

use super::simulation::Scenario;
use super::simulation::Stats;
use super::simulation::simulate;
use super::*;

/// Longest wait at a node while slots are free: the load TTL of at least 10 ms plus the interval of the ticks.
const MAX_WAIT_US: u64 = 40_000;

/// 2,200 requests per second of 12 ms from 53 nodes to seven servers, which occupy 63 % of the 42 slots.
fn many_nodes() -> Scenario {
    Scenario {
        nodes: 53,
        servers: 7,
        slots: 6,
        queue_limit: 24,
        rate: 2_200,
        duration: 4_000_000,
        service_time: 12_000,
        slowdown: 1,
        time_limit: 1_000_000,
        engines: None,
        resumed: None,
    }
}

#[test]
fn stale_load_does_not_block_server() {
    let stats = simulate(many_nodes(), Decisions::Own, 3);
    assert_eq!((stats.rejected_at_once, stats.rejected_late), (0, 0));
    assert!(*stats.waits.last().unwrap() <= MAX_WAIT_US, "{:?}", stats.waits.last());
    assert!(Stats::percentile(&stats.latencies, 99) < 100_000, "{}", Stats::percentile(&stats.latencies, 99));
}

#[test]
fn routes_around_slow_server() {
    // 270 requests per second of 12 ms to three servers with 6 slots, one of which takes four times as long.
    let scenario = Scenario { nodes: 6, servers: 3, rate: 270, slowdown: 4, ..many_nodes() };
    let stats = simulate(scenario, Decisions::Own, 5);
    assert_eq!((stats.rejected_at_once, stats.rejected_late), (0, 0));
    assert!(Stats::percentile(&stats.latencies, 99) < 150_000, "{}", Stats::percentile(&stats.latencies, 99));
}

#[test]
fn rejects_most_overload_on_arrival() {
    // 1.5 times the capacity for two seconds, with deadlines of 300 ms.
    let scenario = Scenario { rate: 5_250, duration: 2_000_000, time_limit: 300_000, ..many_nodes() };
    let stats = simulate(scenario, Decisions::Own, 7);
    let total = stats.completed + stats.rejected_at_once + stats.rejected_late;
    assert!(stats.completed * 100 >= total * 60, "{} of {total} completed", stats.completed);
    assert!(stats.rejected_late * 10 <= total, "{} of {total} rejected after a wait", stats.rejected_late);
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 48, failure_persistence: None, rng_seed: RngSeed::Fixed(11), ..ProptestConfig::default()
    })]

    /// However stale the load reports are, no request is rejected or waits long while half of the slots are free.
    #[test]
    fn waits_are_short_with_free_slots(
        nodes in 1..80_usize, servers in 2..12_usize, slots in 2..16_u32,
        service_time in 4_000..16_000_u64, seed in any::<u64>(),
    ) {
        let rate = (servers as u64 * u64::from(slots) * 1_000_000 / service_time / 2).clamp(20, 6_000);
        let scenario = Scenario { nodes, servers, slots, service_time, rate, duration: 500_000, ..many_nodes() };
        let stats = simulate(scenario, Decisions::Own, seed);
        prop_assert_eq!((stats.rejected_at_once, stats.rejected_late), (0, 0));
        prop_assert!(stats.waits.last().is_none_or(|wait| *wait <= MAX_WAIT_US), "{:?}", stats.waits.last());
    }
}
