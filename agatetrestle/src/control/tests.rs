//! Tests of the control group's state.

use std::time::Duration;

use crate::agreement::StateMachine;
use crate::clock::Timestamp;
use crate::control::command::Configuration;
use crate::control::command::ControlCommand;
use crate::control::command::ControlReply;
use crate::control::lease::LeasedConfig;
use crate::control::state::ControlState;
use crate::ids::NodeId;
use crate::ports::NotTaking;

fn apply(scope: &str, text: &str, expected: u64, change_id: &str) -> ControlCommand {
    ControlCommand::Apply { scope: scope.into(), text: text.into(), expected, change_id: change_id.into() }
}

#[test]
fn of_two_operators_with_equal_versions_exactly_one_wins() {
    let mut state = ControlState::default();
    let first = state.execute(apply("vrsta", "one", 0, "anna"));
    assert_eq!(first, ControlReply::Accepted { version: 1, revision: 1 });
    let second = state.execute(apply("vrsta", "two", 0, "boris"));
    assert_eq!(second, ControlReply::Conflict { version: 1, text: "one".into() });
}

#[test]
fn a_resend_returns_the_first_result_even_after_later_changes() {
    let mut state = ControlState::default();
    let first = state.execute(apply("vrsta", "one", 0, "anna"));
    state.execute(apply("vrsta", "two", 1, "boris"));
    assert_eq!(state.execute(apply("vrsta", "one", 0, "anna")), first);
    assert_eq!(&*state.configuration().documents["vrsta"].text, "two");
    assert_eq!(state.execute(apply("vrsta", "other", 0, "anna")), ControlReply::Refused);
}

#[test]
fn partners_race_only_within_their_own_document() {
    let mut state = ControlState::default();
    state.execute(apply("vrsta", "one", 0, "same-id"));
    let other = state.execute(apply("lernwerk", "two", 0, "same-id"));
    assert_eq!(other, ControlReply::Accepted { version: 1, revision: 2 });
}

#[test]
fn a_leaving_mark_never_falls_back() {
    let mut state = ControlState::default();
    let leave = |incarnation| ControlCommand::Leave { name: "vm-3".into(), incarnation };
    assert_eq!(state.execute(leave(5)), ControlReply::Leaving { incarnation: 5 });
    assert_eq!(state.execute(leave(4)), ControlReply::Leaving { incarnation: 5 });
    assert_eq!(state.configuration().revision, 1, "a lagging sign changes nothing");
}

#[test]
fn fencing_numbers_rise_with_the_term_and_old_leaders_get_none() {
    let mut state = ControlState::default();
    let fence = |node, term| ControlCommand::Fence { node: NodeId(node), term };
    assert_eq!(state.execute(fence(1, 3)), ControlReply::Fenced(1));
    assert_eq!(state.execute(fence(1, 3)), ControlReply::Fenced(1));
    assert_eq!(state.execute(fence(2, 5)), ControlReply::Fenced(2));
    assert_eq!(state.execute(fence(1, 3)), ControlReply::Refused);
}

#[test]
fn five_hundred_changes_survive_a_snapshot() {
    let mut state = ControlState::default();
    for version in 0..500 {
        state.execute(apply("vrsta", &format!("text {version}"), version, &format!("change-{version}")));
    }
    let mut restored = ControlState::default();
    restored.restore(&state.snapshot()).unwrap();
    assert_eq!(restored, state);
    assert_eq!(restored.configuration().documents["vrsta"].version, 500);
}

fn revision(revision: u64) -> Configuration {
    Configuration { revision, ..Configuration::default() }
}

const LEASE: Duration = Duration::from_secs(4);
const DRIFT: Duration = Duration::from_millis(30);

#[test]
fn a_node_takes_no_work_before_the_revision_is_confirmed() {
    let mut in_force = LeasedConfig::default();
    assert_eq!(in_force.check_lease(Timestamp(0)), Err(NotTaking::Starting));
    in_force.renew(Timestamp(0), LEASE, DRIFT, 3);
    assert_eq!(in_force.check_lease(Timestamp(1)), Err(NotTaking::Starting), "revision 3 is not here yet");
    assert!(in_force.adopt(revision(3)));
    in_force.renew(Timestamp(0), LEASE, DRIFT, 3);
    assert_eq!(in_force.check_lease(Timestamp(1)), Ok(()));
}

#[test]
fn an_isolated_node_stops_taking_work_when_its_lease_runs_out() {
    let mut in_force = LeasedConfig::default();
    in_force.renew(Timestamp(0), LEASE, DRIFT, 0);
    assert_eq!(in_force.check_lease(Timestamp(3_969_999)), Ok(()));
    assert_eq!(in_force.check_lease(Timestamp(3_970_000)), Err(NotTaking::Isolated));
}

#[test]
fn a_configuration_never_reverts() {
    let mut in_force = LeasedConfig::default();
    assert!(in_force.adopt(revision(7)));
    assert!(!in_force.adopt(revision(6)));
    assert_eq!(in_force.configuration().revision, 7);
}

#[test]
fn a_node_fetches_only_the_documents_that_changed() {
    let mut state = ControlState::default();
    state.execute(apply("vrsta", "one", 0, "a"));
    state.execute(apply("lernwerk", "one", 0, "b"));
    let mut in_force = LeasedConfig::default();
    in_force.adopt(Configuration::clone(&state.configuration()));
    state.execute(apply("vrsta", "two", 1, "c"));
    let whole = state.configuration();
    let newer = whole.documents.iter().filter(|(_, document)| document.revision > 2);
    let newer: std::collections::BTreeMap<_, _> = newer.map(|(k, v)| (k.clone(), v.clone())).collect();
    assert_eq!(newer.len(), 1);
    let changes = Configuration { revision: 3, documents: newer, ..Configuration::default() };
    assert!(in_force.adopt_changes(changes));
    assert_eq!(*in_force.configuration(), *whole);
}

fn publish(version: u64, text: &str) -> ControlCommand {
    ControlCommand::Publish { version, text: text.into() }
}

#[test]
fn the_highest_table_of_routes_is_in_force_whatever_the_order() {
    let mut state = ControlState::default();
    assert_eq!(state.execute(publish(7, "seven")), ControlReply::Published { version: 7 });
    assert_eq!(state.execute(publish(3, "three")), ControlReply::Published { version: 7 });
    assert_eq!(state.execute(publish(7, "other")), ControlReply::Published { version: 7 });
    assert_eq!(state.routes().map(|document| &*document.text), Some("seven"), "a number keeps its content");
    assert_eq!(state.configuration().revision, 1);
    assert_eq!(state.execute(publish(12, "twelve")), ControlReply::Published { version: 12 });
    assert_eq!(state.routes().map(|document| &*document.text), Some("twelve"));
}

#[test]
fn the_first_voters_of_the_state_group_are_named_once() {
    let mut state = ControlState::default();
    let found = |nodes: [u64; 3]| ControlCommand::Found { groups: vec![nodes.map(NodeId).into()] };
    state.execute(found([1, 2, 3]));
    let again = state.execute(found([4, 5, 6]));
    assert_eq!(again, ControlReply::Founded { groups: vec![[1, 2, 3].map(NodeId).into()] });
}
