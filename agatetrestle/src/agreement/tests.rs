//! Tests of the replicated log: single cases, and random schedules with failures.

mod basics;
mod joining;
mod mutations;
mod node;
mod overload;
mod schedule;
mod simulation;

use proptest::test_runner::Config;
use proptest::test_runner::FileFailurePersistence;
use proptest::test_runner::RngSeed;
use proptest::test_runner::TestRunner;

/// Seed of all random tests, so that their results are reproducible.
const SEED: u64 = 20_261_202;

/// Returns a runner with a fixed seed that first replays the failures stored for `name`.
///
/// `PROPTEST_CASES` overrides the number of cases.
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

/// Returns a runner with the same seed that neither replays nor stores failures.
fn seeded_without_persistence() -> TestRunner {
    TestRunner::new(Config { failure_persistence: None, rng_seed: RngSeed::Fixed(SEED), ..Config::default() })
}
