//! Tests of the check that a change is in force on all nodes.

use crate::apply::is_in_force;
use crate::rows::NodeRow;
use crate::rows::Status;

fn node(number: u64, state: &str, revision: u64) -> NodeRow {
    NodeRow {
        node: number,
        vm: "vm".into(),
        failure_domain: "domain".into(),
        region: "region".into(),
        state: state.into(),
        revision,
        caller_address: "127.0.0.1:7400".into(),
    }
}

fn status(nodes: Vec<NodeRow>) -> Status {
    Status { node: 1, revision: 0, taking_work: false, reason: "".into(), nodes, groups: Vec::new() }
}

#[test]
fn requires_answering_node_in_its_own_list() {
    assert!(!is_in_force(&status(Vec::new()), 2));
    assert!(!is_in_force(&status(vec![node(2, "live", 2)]), 2));
    assert!(is_in_force(&status(vec![node(1, "live", 2), node(2, "leaving", 0)]), 2));
    assert!(!is_in_force(&status(vec![node(1, "live", 2), node(2, "silent", 1)]), 2));
}
