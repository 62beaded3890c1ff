//! Compares outlier detectors for backend servers at an equal rate of false ejections.
//!
//! Calls differ in their baseline failure failure rate. The threshold of each detector is calibrated on even seeds to a
//! target rate of ejecting a healthy server. Odd seeds then give the number of calls that a failing server receives
//! before it is ejected.

use std::fmt::Write;

use agatetrestle::health::OutlierDetector;
use agatetrestle::health::average::MovingAverage;
use agatetrestle::health::consecutive::ConsecutiveFailures;
use agatetrestle::health::sequential::SequentialTest;

use crate::random::Random;

const HEALTHY_CALLS: u32 = 400_000;
const SEEDS_PER_MODE: u64 = 201;
const MAX_DELAY_CALLS: u32 = 20_000;
const BISECTION_STEPS: u32 = 24;
const AVERAGE_WEIGHT: f64 = 0.05;
const ODDS_RATIO: f64 = 4.0;
const CALL_FAILURE_RATES: [(f64, f64); 4] = [(0.55, 0.002), (0.3, 0.008), (0.1, 0.03), (0.05, 0.08)];

/// How a failing server raises the failure rate of its calls.
#[derive(Clone, Copy, Debug)]
struct FailureMode {
    name: &'static str,
    odds: f64,
    floor: f64,
}

const FAILURE_MODES: [FailureMode; 5] = [
    FailureMode { name: "odds of failure x3", odds: 3.0, floor: 0.0 },
    FailureMode { name: "odds of failure x6", odds: 6.0, floor: 0.0 },
    FailureMode { name: "a tenth of calls fail", odds: 1.0, floor: 0.1 },
    FailureMode { name: "half of calls fail", odds: 1.0, floor: 0.5 },
    FailureMode { name: "all calls fail", odds: 1.0, floor: 1.0 },
];

type MakeDetector = fn(f64) -> Box<dyn OutlierDetector>;

const DETECTORS: [(&str, MakeDetector, f64, f64); 3] = [
    (
        "consecutive",
        |limit| Box::new(ConsecutiveFailures::new(crate::random::floor_to_u32(limit))),
        1.0,
        40.0,
    ),
    ("moving average", |limit| Box::new(MovingAverage::new(AVERAGE_WEIGHT, limit)), 0.01, 0.99),
    ("sequential", |limit| Box::new(SequentialTest::with_threshold(ODDS_RATIO, limit)), 0.5, 20.0),
];

fn draw_failure_rate(rng: &mut Random) -> f64 {
    let mut draw = rng.next_f64();
    for (share, expected_rate) in CALL_FAILURE_RATES {
        if draw < share {
            return expected_rate;
        }
        draw -= share;
    }
    CALL_FAILURE_RATES[0].1
}

/// Counts the ejections of a healthy server in [`HEALTHY_CALLS`].
fn false_ejections(make: MakeDetector, limit: f64, seed: u64) -> u32 {
    let mut rng = Random::new(seed, 3);
    let mut detector = make(limit);
    let mut ejected = 0;
    for _ in 0..HEALTHY_CALLS {
        let expected_rate = draw_failure_rate(&mut rng);
        detector.record(rng.bernoulli(expected_rate), expected_rate);
        if detector.should_eject() {
            ejected += 1;
            detector = make(limit);
        }
    }
    ejected
}

/// Finds the lowest limit with at most `per_hundred_thousand` false ejections in 100,000 calls of a healthy server.
fn calibrate(make: MakeDetector, low: f64, high: f64, per_hundred_thousand: u32) -> f64 {
    let allowed = per_hundred_thousand * (HEALTHY_CALLS / 100_000) * 4;
    let (mut low, mut high) = (low, high);
    for _ in 0..BISECTION_STEPS {
        let limit = f64::midpoint(low, high);
        let ejected: u32 = [2, 4, 6, 8].iter().map(|seed| false_ejections(make, limit, *seed)).sum();
        if ejected > allowed {
            low = limit;
        } else {
            high = limit;
        }
    }
    high
}

/// Counts the calls until a failing server is ejected, at most [`MAX_DELAY_CALLS`].
fn detection_delay(make: MakeDetector, limit: f64, mode: FailureMode, seed: u64) -> u32 {
    let mut rng = Random::new(seed, 4);
    let mut detector = make(limit);
    for _ in 0..1_000 {
        let expected_rate = draw_failure_rate(&mut rng);
        detector.record(rng.bernoulli(expected_rate), expected_rate);
    }
    for call in 1..=MAX_DELAY_CALLS {
        let expected_rate = draw_failure_rate(&mut rng);
        let odds = mode.odds * expected_rate / (1.0 - expected_rate);
        let failure_rate = (odds / (1.0 + odds)).max(mode.floor);
        detector.record(rng.bernoulli(failure_rate), expected_rate);
        if detector.should_eject() {
            return call;
        }
    }
    MAX_DELAY_CALLS
}

/// Formats the median and 95th percentile detection delay of each detector and failure mode.
#[must_use]
pub fn table(per_hundred_thousand: u32) -> String {
    let mut text = String::new();
    for (name, make, low, high) in DETECTORS {
        let limit = calibrate(make, low, high, per_hundred_thousand);
        let ejected: u32 = [1, 3, 5, 7].iter().map(|seed| false_ejections(make, limit, *seed)).sum();
        let rate = ejected * 25 / (HEALTHY_CALLS / 100_000);
        // Writing to a `String` can't fail.
        let _ = writeln!(text, "{name}: limit {limit:.3}, false ejections in 10,000,000 calls {rate}");
        for mode in FAILURE_MODES {
            let mut delays: Vec<u32> =
                (0..SEEDS_PER_MODE).map(|run| detection_delay(make, limit, mode, 2 * run + 1)).collect();
            delays.sort_unstable();
            let p50 = delays[delays.len() / 2];
            let p95 = delays[delays.len() * 95 / 100];
            let _ = writeln!(text, "  {:<24} p50 {p50:>6} p95 {p95:>6} calls", mode.name);
        }
    }
    text
}
