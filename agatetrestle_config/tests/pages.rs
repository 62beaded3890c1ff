//! The operators' pages name every key with its default, and their examples are valid.

use agatetrestle_config::Declarations;
use agatetrestle_config::Settings;
use serde::Serialize;
use serde_norway::Value;

const SETTINGS: &str = include_str!("../../docs/operators/settings.md");
const DECLARATIONS: &str = include_str!("../../docs/operators/declarations.md");

/// A document in which every list and map has one entry with only what is required.
const SMALLEST: &str = "
format: 1
teams: {x: {}}
classes: {x: {priority: 1, budget: 1}}
services: {x: {}}
models: {x: {weights: 1B}}
backend_servers: {x: {kind: engine, address: '10.0.0.1:1', serves: x, vm: x, failure_domain: x}}
weight_store: {rate: 1B}
";

/// Settings with one peer, since an empty list would show no keys.
const ONE_PEER: &str = "peers: [{id: 2, address: '10.0.0.1:7401'}]";

/// Values that have no default and so stand in the page as `none`.
const REQUIRED: [&str; 12] = [
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

fn value<T: Serialize>(document: &T) -> Value {
    serde_norway::to_value(document).unwrap()
}

/// Dotted keys with their values; the entries of a list, and of a map of names, stand for all.
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

fn assert_named(page: &str, keys: &[(String, String)]) {
    assert!(!keys.is_empty());
    for (key, default) in keys {
        let row = page.lines().find(|line| line.starts_with(&format!("| `{key}` |")));
        let row = row.unwrap_or_else(|| panic!("the page has no row for {key}"));
        let told = row.split(" | ").nth(1).unwrap();
        let expected =
            if REQUIRED.contains(&key.as_str()) { "none".to_owned() } else { format!("`{default}`") };
        assert_eq!(told, expected, "{key}");
    }
}

#[test]
fn the_page_names_every_setting_with_its_default() {
    let settings = Settings::parse("page", ONE_PEER).unwrap();
    assert_named(SETTINGS, &keys("", &value(&settings)));
}

#[test]
fn the_page_names_every_field_of_a_declaration_with_its_default() {
    let document = Declarations::parse_unchecked("shared", SMALLEST).unwrap();
    assert_named(DECLARATIONS, &keys("", &value(&document)));
    let empty = Declarations::parse("shared", "format: 1").unwrap();
    assert_named(DECLARATIONS, &keys("", &value(&empty)));
}

#[test]
fn the_page_names_no_key_that_does_not_exist() {
    let settings = Settings::parse("page", ONE_PEER).unwrap();
    let known = keys("", &value(&settings));
    let named = SETTINGS.lines().filter_map(|line| line.strip_prefix("| `")?.split('`').next());
    let unknown: Vec<&str> = named.filter(|key| !known.iter().any(|(name, _)| name == key)).collect();
    assert!(unknown.is_empty(), "{unknown:?}");
}

#[test]
fn the_examples_on_the_page_are_valid() {
    let blocks: Vec<&str> = DECLARATIONS.split("```yaml\n").skip(1).collect();
    assert_eq!(blocks.len(), 2);
    for (scope, block) in ["shared", "vrsta"].iter().zip(blocks) {
        let text = block.split("```").next().unwrap();
        Declarations::parse(scope, text).unwrap();
    }
}
