//! The cases 4 to 8 of the review as one test, for the list of known failures. It is no part of the workspace:
//! `rustc --edition 2024 --test -o target/review-cases review/standin-2/cases.rs && target/review-cases`,
//! in the root of the repository after the build of the deploy file.

use std::path::Path;
use std::process::Command;

/// Passes once every case holds.
#[test]
fn cases_of_the_second_review_hold() {
    let broken: Vec<u8> = (4..=8).filter(|case| Path::new(&script(*case)).exists() && !holds(*case)).collect();
    assert!(broken.is_empty(), "broken or not run: {broken:?}");
}

fn script(case: u8) -> String {
    format!("review/{case}/run.sh")
}

fn holds(case: u8) -> bool {
    Command::new(script(case)).status().is_ok_and(|status| status.success())
}
