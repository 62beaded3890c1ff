//! Tests of the lookup of a value's line.

use super::*;

const TEXT: &str = "\
# budget: none
format: 1

classes:
  dawn:
    priority: 1
    budget: 2
  plan: { priority: 1, budget: 0 }
teams:
  dawn:
    weight: 0
";

#[test]
fn finds_line_of_dotted_path() {
    let lines = [
        ("format", 2),
        ("classes.dawn.budget", 7),
        ("classes.plan.budget", 8),
        ("teams.dawn.weight", 11),
        ("weight_store.rate", 1),
    ];
    for (key, line) in lines {
        assert_eq!(line_of(TEXT, key), line, "{key}");
    }
}
