//! Checks that the operators' pages list every key with its default and that their examples are valid.

use agatetrestle_config::Declarations;
use agatetrestle_config::Settings;
use serde::Serialize;
use serde_norway::Value;

const SETTINGS: &str = include_str!("../../docs/operators/settings.md");
const DECLARATIONS: &str = include_str!("../../docs/operators/declarations.md");

/// A document in which every map has one entry with only its required keys.
const MINIMAL_DOCUMENT: &str = "
format: 1
teams: {x: {}}
classes: {x: {priority: 1, budget: 1}}
services: {x: {}}
models: {x: {weights: 1B}}
backend_servers: {x: {kind: engine, address: '10.0.0.1:1', serves: x, vm: x, failure_domain: x}}
weight_store: {rate: 1B}
";

/// Settings with one peer; an empty list has no keys to check.
const ONE_PEER: &str = "peers: [{id: 2, address: '10.0.0.1:7401'}]";

/// Keys without a default, for which the page says `none`.
const REQUIRED_KEYS: [&str; 12] = [
    "format",
    "peers.id",
    "peers.address",
    "classes.priority",
    "classes.budget",
    "models.weights",
    "backend_servers.kind",
    "backend_servers.address",
    "backend_servers.serves",
    "backend_servers.vm",
    "backend_servers.failure_domain",
    "weight_store.rate",
];

fn to_value<T: Serialize>(document: &T) -> Value {
    serde_norway::to_value(document).unwrap()
}

/// Dotted keys with their values; lists and maps by name contribute the keys of one entry, without its index or name.
fn keys(prefix: &str, value: &Value) -> Vec<(String, String)> {
    match value {
        Value::Mapping(map) if !map.is_empty() => {
            map.iter().flat_map(|(key, value)| keys(&join(prefix, key.as_str().unwrap()), value)).collect()
        }
        Value::Sequence(list) if !list.is_empty() => keys(prefix, &list[0]),
        Value::Mapping(_) => vec![(prefix.to_owned(), "{}".to_owned())],
        Value::Sequence(_) => vec![(prefix.to_owned(), "[]".to_owned())],
        scalar => vec![(prefix.to_owned(), serde_norway::to_string(scalar).unwrap().trim().to_owned())],
    }
}

fn join(prefix: &str, key: &str) -> String {
    match (prefix, key) {
        ("", key) => key.to_owned(),
        (prefix, "x") => prefix.to_owned(),
        (prefix, key) => format!("{prefix}.{key}"),
    }
}

fn assert_listed(page: &str, keys: &[(String, String)]) {
    assert!(!keys.is_empty());
    for (key, default) in keys {
        let row = page.lines().find(|line| line.starts_with(&format!("| `{key}` |")));
        let row = row.unwrap_or_else(|| panic!("the page lists no key {key}"));
        let listed = row.split(" | ").nth(1).unwrap();
        let expected =
            if REQUIRED_KEYS.contains(&key.as_str()) { "none".to_owned() } else { format!("`{default}`") };
        assert_eq!(listed, expected, "{key}");
    }
}

#[test]
fn page_lists_every_setting_with_default() {
    let settings = Settings::parse("page", ONE_PEER).unwrap();
    assert_listed(SETTINGS, &keys("", &to_value(&settings)));
}

#[test]
fn page_lists_every_declaration_key_with_default() {
    let document = Declarations::parse_unchecked("shared", MINIMAL_DOCUMENT).unwrap();
    assert_listed(DECLARATIONS, &keys("", &to_value(&document)));
    let empty = Declarations::parse("shared", "format: 1").unwrap();
    assert_listed(DECLARATIONS, &keys("", &to_value(&empty)));
}

#[test]
fn page_lists_no_unknown_key() {
    let settings = Settings::parse("page", ONE_PEER).unwrap();
    let known = keys("", &to_value(&settings));
    let listed = SETTINGS.lines().filter_map(|line| line.strip_prefix("| `")?.split('`').next());
    let unknown: Vec<&str> = listed.filter(|key| !known.iter().any(|(name, _)| name == key)).collect();
    assert!(unknown.is_empty(), "{unknown:?}");
}

#[test]
fn page_examples_are_valid() {
    let blocks: Vec<&str> = DECLARATIONS.split("```yaml\n").skip(1).collect();
    assert_eq!(blocks.len(), 2);
    for (scope, block) in ["shared", "vrsta"].iter().zip(blocks) {
        let text = block.split("```").next().unwrap();
        Declarations::parse(scope, text).unwrap();
    }
}
