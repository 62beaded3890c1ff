//! Detectors of failing backend servers at an equal rate of false ejections.
//!
//! Calls differ in how likely they fail; the size decides. Each detector's threshold is set on even
//! seeds so that a healthy server is ejected as often as the target says, and odd seeds then show how
//! many calls a server serves after it has begun to fail before it is ejected.

use std::fmt::Write;

use agatetrestle::health::OutlierDetector;
use agatetrestle::health::average::MovingAverage;
use agatetrestle::health::consecutive::ConsecutiveFailures;
use agatetrestle::health::sequential::SequentialTest;

use crate::random::Random;

const HEALTHY_CALLS: u32 = 400_000;
const RUNS: u64 = 201;
const GIVE_UP: u32 = 20_000;
const STEPS: u32 = 24;
const AVERAGE_WEIGHT: f64 = 0.05;
const ODDS_RATIO: f64 = 4.0;
const CALL_RISKS: [(f64, f64); 4] = [(0.55, 0.002), (0.3, 0.008), (0.1, 0.03), (0.05, 0.08)];

/// What a failing server does.
#[derive(Clone, Copy, Debug)]
struct Trouble {
    name: &'static str,
    odds: f64,
    floor: f64,
}

const TROUBLES: [Trouble; 5] = [
    Trouble { name: "odds of failure x3", odds: 3.0, floor: 0.0 },
    Trouble { name: "odds of failure x6", odds: 6.0, floor: 0.0 },
    Trouble { name: "a tenth of calls fail", odds: 1.0, floor: 0.1 },
    Trouble { name: "half of calls fail", odds: 1.0, floor: 0.5 },
    Trouble { name: "all calls fail", odds: 1.0, floor: 1.0 },
];

type Make = fn(f64) -> Box<dyn OutlierDetector>;

const DETECTORS: [(&str, Make, f64, f64); 3] = [
    ("consecutive", |limit| Box::new(ConsecutiveFailures::new(crate::random::whole(limit))), 1.0, 40.0),
    ("moving average", |limit| Box::new(MovingAverage::new(AVERAGE_WEIGHT, limit)), 0.01, 0.99),
    ("sequential", |limit| Box::new(SequentialTest::with_threshold(ODDS_RATIO, limit)), 0.5, 20.0),
];

fn risk(rng: &mut Random) -> f64 {
    let mut dice = rng.unit();
    for (share, risk) in CALL_RISKS {
        if dice < share {
            return risk;
        }
        dice -= share;
    }
    CALL_RISKS[0].1
}

/// False ejections of a healthy server in [`HEALTHY_CALLS`].
fn false_ejections(make: Make, limit: f64, seed: u64) -> u32 {
    let mut rng = Random::new(seed, 3);
    let mut watch = make(limit);
    let mut ejected = 0;
    for _ in 0..HEALTHY_CALLS {
        let risk = risk(&mut rng);
        watch.record(rng.happens(risk), risk);
        if watch.should_eject() {
            ejected += 1;
            watch = make(limit);
        }
    }
    ejected
}

/// The least limit at which a healthy server is ejected at most so often in 100,000 calls.
fn calibrate(make: Make, low: f64, high: f64, per_hundred_thousand: u32) -> f64 {
    let allowed = per_hundred_thousand * (HEALTHY_CALLS / 100_000) * 4;
    let (mut low, mut high) = (low, high);
    for _ in 0..STEPS {
        let middle = f64::midpoint(low, high);
        let ejected: u32 = [2, 4, 6, 8].iter().map(|seed| false_ejections(make, middle, *seed)).sum();
        if ejected > allowed {
            low = middle;
        } else {
            high = middle;
        }
    }
    high
}

/// Calls until a failing server is ejected.
fn delay(make: Make, limit: f64, trouble: Trouble, seed: u64) -> u32 {
    let mut rng = Random::new(seed, 4);
    let mut watch = make(limit);
    for _ in 0..1_000 {
        let risk = risk(&mut rng);
        watch.record(rng.happens(risk), risk);
    }
    for call in 1..=GIVE_UP {
        let risk = risk(&mut rng);
        let odds = trouble.odds * risk / (1.0 - risk);
        let failing = (odds / (1.0 + odds)).max(trouble.floor);
        watch.record(rng.happens(failing), risk);
        if watch.should_eject() {
            return call;
        }
    }
    GIVE_UP
}

/// Writes the table of median and 95th percentile delays.
#[must_use]
pub fn table(per_hundred_thousand: u32) -> String {
    let mut text = String::new();
    for (name, make, low, high) in DETECTORS {
        let limit = calibrate(make, low, high, per_hundred_thousand);
        let held: u32 = [1, 3, 5, 7].iter().map(|seed| false_ejections(make, limit, *seed)).sum();
        let rate = held * 25 / (HEALTHY_CALLS / 100_000);
        // Writing into a string can't fail.
        let _ = writeln!(text, "{name}: limit {limit:.3}, false ejections in 10,000,000 calls {rate}");
        for trouble in TROUBLES {
            let mut delays: Vec<u32> =
                (0..RUNS).map(|run| delay(make, limit, trouble, 2 * run + 1)).collect();
            delays.sort_unstable();
            let middle = delays[delays.len() / 2];
            let late = delays[delays.len() * 95 / 100];
            let _ = writeln!(text, "  {:<24} p50 {middle:>6} p95 {late:>6} calls", trouble.name);
        }
    }
    text
}
