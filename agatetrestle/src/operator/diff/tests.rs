//! Tests of the line diff.

use proptest::prelude::*;
use proptest::test_runner::RngSeed;

use super::*;

#[test]
fn reports_only_changed_lines() {
    let old = "format: 1\nclasses:\n  dawn: {priority: 9}\n  plan: {priority: 2}\n";
    let new = "format: 1\nclasses:\n  dawn: {priority: 8}\n  plan: {priority: 2}\n  extra: {priority: 1}\n";
    insta::assert_snapshot!(line_diff(old, new), @r"
    -  dawn: {priority: 9}
    +  dawn: {priority: 8}
    +  extra: {priority: 1}
    ");
}

#[test]
fn reports_long_texts_as_replaced() {
    let old = "a\n".repeat(MAX_DIFF_LINES + 1);
    let diff = line_diff(&old, "b\n");
    assert_eq!(diff.lines().filter(|line| *line == "-a").count(), MAX_DIFF_LINES + 1);
    assert_eq!(diff.lines().filter(|line| *line == "+b").count(), 1);
}

fn config() -> ProptestConfig {
    ProptestConfig { failure_persistence: None, rng_seed: RngSeed::Fixed(1), ..ProptestConfig::default() }
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn line_counts_match_new_text(old in lines(), new in lines()) {
        let diff = line_diff(&old, &new);
        let count = |sign| diff.lines().filter(|line| line.starts_with(sign)).count();
        prop_assert_eq!(old.lines().count() + count('+') - count('-'), new.lines().count());
        prop_assert_eq!(diff.is_empty(), old == new);
    }
}

fn lines() -> impl Strategy<Value = String> {
    prop::collection::vec("[abc]{1,2}\n", 0..12).prop_map(|lines| lines.concat())
}
