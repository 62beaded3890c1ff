//! Tests of the control group's state machine and of configuration leases.

use std::time::Duration;

use crate::agreement::StateMachine;
use crate::clock::Timestamp;
use crate::control::command::Configuration;
use crate::control::command::ControlCommand;
use crate::control::command::ControlReply;
use crate::control::lease::LeasedConfig;
use crate::control::state::ControlState;
use crate::ids::NodeId;
use crate::ports::NotTakingWork;

fn apply(scope: &str, text: &str, expected: u64, change_id: &str) -> ControlCommand {
    ControlCommand::Apply { scope: scope.into(), text: text.into(), expected, change_id: change_id.into() }
}

#[test]
fn accepts_one_of_two_concurrent_changes() {
    let mut state = ControlState::default();
    let first = state.execute(apply("vrsta", "one", 0, "anna"));
    assert_eq!(first, ControlReply::Accepted { version: 1, revision: 1 });
    let second = state.execute(apply("vrsta", "two", 0, "boris"));
    assert_eq!(second, ControlReply::Conflict { version: 1, text: "one".into() });
}

#[test]
fn retry_returns_first_result_after_later_changes() {
    let mut state = ControlState::default();
    let first = state.execute(apply("vrsta", "one", 0, "anna"));
    state.execute(apply("vrsta", "two", 1, "boris"));
    assert_eq!(state.execute(apply("vrsta", "one", 0, "anna")), first);
    assert_eq!(&*state.configuration().documents["vrsta"].text, "two");
    assert_eq!(state.execute(apply("vrsta", "other", 0, "anna")), ControlReply::Refused);
}

#[test]
fn partners_do_not_conflict_with_each_other() {
    let mut state = ControlState::default();
    state.execute(apply("vrsta", "one", 0, "same-id"));
    let other = state.execute(apply("lernwerk", "two", 0, "same-id"));
    assert_eq!(other, ControlReply::Accepted { version: 1, revision: 2 });
}

#[test]
fn leaving_incarnation_never_decreases() {
    let mut state = ControlState::default();
    let leave = |incarnation| ControlCommand::Leave { name: "vm-3".into(), incarnation };
    assert_eq!(state.execute(leave(5)), ControlReply::Leaving { incarnation: 5 });
    assert_eq!(state.execute(leave(4)), ControlReply::Leaving { incarnation: 5 });
    assert_eq!(state.configuration().revision, 1, "a stale mark is ignored");
}

#[test]
fn fencing_tokens_increase_and_reject_old_leaders() {
    let mut state = ControlState::default();
    let fence = |node, term| ControlCommand::Fence { node: NodeId(node), term };
    assert_eq!(state.execute(fence(1, 3)), ControlReply::Fenced(1));
    assert_eq!(state.execute(fence(1, 3)), ControlReply::Fenced(1));
    assert_eq!(state.execute(fence(2, 5)), ControlReply::Fenced(2));
    assert_eq!(state.execute(fence(1, 3)), ControlReply::Refused);
}

#[test]
fn snapshot_restores_all_changes() {
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

const LEASE_DURATION: Duration = Duration::from_secs(4);
const MAX_CLOCK_DRIFT: Duration = Duration::from_millis(30);

#[test]
fn rejects_work_before_revision_is_confirmed() {
    let mut leased = LeasedConfig::default();
    assert_eq!(leased.check_lease(Timestamp(0)), Err(NotTakingWork::Starting));
    leased.renew(Timestamp(0), LEASE_DURATION, MAX_CLOCK_DRIFT, 3);
    assert_eq!(
        leased.check_lease(Timestamp(1)),
        Err(NotTakingWork::Starting),
        "revision 3 is not adopted yet"
    );
    assert!(leased.adopt(revision(3)));
    leased.renew(Timestamp(0), LEASE_DURATION, MAX_CLOCK_DRIFT, 3);
    assert_eq!(leased.check_lease(Timestamp(1)), Ok(()));
}

#[test]
fn rejects_work_after_lease_expires() {
    let mut leased = LeasedConfig::default();
    leased.renew(Timestamp(0), LEASE_DURATION, MAX_CLOCK_DRIFT, 0);
    assert_eq!(leased.check_lease(Timestamp(3_969_999)), Ok(()));
    assert_eq!(leased.check_lease(Timestamp(3_970_000)), Err(NotTakingWork::Isolated));
}

#[test]
fn revision_never_decreases() {
    let mut leased = LeasedConfig::default();
    assert!(leased.adopt(revision(7)));
    assert!(!leased.adopt(revision(6)));
    assert_eq!(leased.configuration().revision, 7);
}

#[test]
fn adopts_only_changed_documents() {
    let mut state = ControlState::default();
    state.execute(apply("vrsta", "one", 0, "a"));
    state.execute(apply("lernwerk", "one", 0, "b"));
    let mut leased = LeasedConfig::default();
    leased.adopt(Configuration::clone(&state.configuration()));
    state.execute(apply("vrsta", "two", 1, "c"));
    let complete = state.configuration();
    let newer = complete.documents.iter().filter(|(_, document)| document.revision > 2);
    let newer: std::collections::BTreeMap<_, _> = newer.map(|(k, v)| (k.clone(), v.clone())).collect();
    assert_eq!(newer.len(), 1);
    let changes = Configuration { revision: 3, documents: newer, ..Configuration::default() };
    assert!(leased.adopt_changes(changes));
    assert_eq!(*leased.configuration(), *complete);
}

fn publish(version: u64, text: &str) -> ControlCommand {
    ControlCommand::Publish { version, text: text.into() }
}

#[test]
fn highest_published_version_wins_in_any_order() {
    let mut state = ControlState::default();
    assert_eq!(state.execute(publish(7, "seven")), ControlReply::Published { version: 7 });
    assert_eq!(state.execute(publish(3, "three")), ControlReply::Published { version: 7 });
    assert_eq!(state.execute(publish(7, "other")), ControlReply::Published { version: 7 });
    assert_eq!(
        state.routes().map(|document| &*document.text),
        Some("seven"),
        "a published version is immutable"
    );
    assert_eq!(state.configuration().revision, 1);
    assert_eq!(state.execute(publish(12, "twelve")), ControlReply::Published { version: 12 });
    assert_eq!(state.routes().map(|document| &*document.text), Some("twelve"));
}

#[test]
fn initial_voters_are_set_once() {
    let mut state = ControlState::default();
    let found = |nodes: [u64; 3]| ControlCommand::Found { groups: vec![nodes.map(NodeId).into()] };
    state.execute(found([1, 2, 3]));
    let again = state.execute(found([4, 5, 6]));
    assert_eq!(again, ControlReply::Founded { groups: vec![[1, 2, 3].map(NodeId).into()] });
}
