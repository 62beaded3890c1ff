//! Tests of the validation of settings.

use std::fmt::Write;

use super::*;

const INVALID_SETTINGS: [&str; 20] = [
    "node:\n  id: 0",
    "node:\n  vm: ''",
    "node:\n  failure_domain: a b",
    "node:\n  idd: 1",
    "listen:\n  callers: 127.0.0.1:1\n  peers: 127.0.0.1:1",
    "listen:\n  callers: 0.0.0.0:7402",
    "listen:\n  callers: localhost:1",
    "peers:\n  - { id: 1, address: '10.0.0.1:1' }\n  - { id: 1, address: '10.0.0.2:1' }",
    "peers:\n  - { id: 1, address: '10.0.0.1:1' }\n  - { id: 2, address: '10.0.0.1:1' }",
    "peers:\n  - { id: 2, address: '10.0.0.1:1', control: true }\n  - { id: 3, address: '10.0.0.2:1', control: true }",
    "peers:\n  - { id: 1, address: '10.0.0.1:1', state_groups: [1] }",
    "timing:\n  election_timeout: 100ms",
    "timing:\n  heartbeat: 3s",
    "timing:\n  peer_call: 0s",
    "storage:\n  segment: 1GiB",
    "storage:\n  segment: 12",
    "callers:\n  head: 1B",
    "callers:\n  connections: 0",
    "callers:\n  idle: 5",
    "platform:\n  interval: 0s",
];

#[test]
fn names_line_and_key_of_invalid_setting() {
    let mut text = String::new();
    for invalid in INVALID_SETTINGS {
        writeln!(text, "{}", Settings::parse("node.yaml", invalid).unwrap_err()).unwrap();
    }
    insta::assert_snapshot!(text);
}

#[test]
fn accepts_port_0_for_several_listeners() {
    let text = "listen:\n  callers: 127.0.0.1:0\n  peers: 127.0.0.1:0";
    assert!(Settings::parse("node.yaml", text).is_ok());
}
