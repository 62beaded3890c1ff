//! Tests of the replicated log: plain cases first, then random schedules under failures.

mod basics;
mod joining;
mod mutations;
mod node;
mod overload;
mod schedule;
mod world;

use proptest::test_runner::Config;
use proptest::test_runner::FileFailurePersistence;
use proptest::test_runner::RngSeed;
use proptest::test_runner::TestRunner;

/// Seed of all random tests, so that they give the same verdict on every run.
const SEED: u64 = 20_261_202;

/// A runner with a fixed seed that replays the failures kept for `name` first.
///
/// `PROPTEST_CASES` sets another number of cases.
pub(super) fn seeded(name: &str, cases: u32) -> TestRunner {
    let cases = std::env::var("PROPTEST_CASES").ok().and_then(|text| text.parse().ok()).unwrap_or(cases);
    println!("{name}: {cases} cases from seed {SEED}");
    let path = format!("{}/proptest-regressions/{name}.txt", env!("CARGO_MANIFEST_DIR"));
    let persistence = FileFailurePersistence::Direct(Box::leak(path.into_boxed_str()));
    TestRunner::new(Config {
        cases,
        failure_persistence: Some(Box::new(persistence)),
        rng_seed: RngSeed::Fixed(SEED),
        ..Config::default()
    })
}

/// A runner with the same seed that neither replays nor keeps failures.
fn unkept() -> TestRunner {
    TestRunner::new(Config { failure_persistence: None, rng_seed: RngSeed::Fixed(SEED), ..Config::default() })
}
