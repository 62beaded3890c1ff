//! Tests of which processes count as live.

use std::time::Duration;

use agatetrestle_config::deployment::Role;

use super::member;
use crate::clock::Timestamp;
use crate::cluster::liveness::FAILURE_DETECTION_TIMEOUT;
use crate::cluster::liveness::Liveness;
use crate::cluster::liveness::RELAY_LOSS_TIMEOUT;
use crate::cluster::message::Member;
use crate::cluster::message::RelayedMembers;
use crate::ids::NodeId;

const START: Timestamp = Timestamp(0);
const RELAY: NodeId = NodeId(100);

fn entry(node: u64) -> Member {
    let mut entry = member(node, Role::Entry);
    entry.peer.set_port(u16::try_from(node).unwrap());
    entry
}

fn nodes(liveness: &Liveness) -> Vec<u64> {
    liveness.members().iter().map(|member| member.node.0).collect()
}

fn relayed(version: u64, members: Option<&[u64]>) -> RelayedMembers {
    RelayedMembers { version, members: members.map(|nodes| nodes.iter().copied().map(entry).collect()) }
}

#[test]
fn silent_reporter_expires() {
    let mut liveness = Liveness::default();
    assert!(liveness.record(START, &entry(1).into()));
    assert!(!liveness.record(START + Duration::from_millis(500), &entry(1).into()), "nothing changed");
    liveness.expire(START + FAILURE_DETECTION_TIMEOUT);
    assert_eq!(nodes(&liveness), [1]);
    liveness.expire(START + FAILURE_DETECTION_TIMEOUT + Duration::from_millis(500));
    assert_eq!(nodes(&liveness), [0; 0]);
}

#[test]
fn process_with_new_id_replaces_the_one_at_its_address() {
    let mut liveness = Liveness::default();
    liveness.record(START, &entry(1).into());
    let restarted = Member { node: NodeId(2), ..entry(1) };
    assert!(liveness.record(START, &restarted.into()));
    assert_eq!(nodes(&liveness), [2]);
}

#[test]
fn relay_keeps_its_entries_live_and_removes_them() {
    let mut liveness = Liveness::default();
    assert!(liveness.record_relayed(START, RELAY, &relayed(1, Some(&[1, 2]))));
    let later = START + Duration::from_secs(1);
    assert!(!liveness.record_relayed(later, RELAY, &relayed(1, None)));
    liveness.expire(START + RELAY_LOSS_TIMEOUT);
    assert_eq!(nodes(&liveness), [1, 2], "the relay has reported again");
    assert!(liveness.record_relayed(later, RELAY, &relayed(2, Some(&[2]))));
    assert_eq!(nodes(&liveness), [2]);
    assert_eq!(liveness.relayed_version(RELAY), Some(2));
    liveness.expire(later + RELAY_LOSS_TIMEOUT);
    assert_eq!((nodes(&liveness), liveness.relayed_version(RELAY)), (vec![], None), "the relay is lost");
}

#[test]
fn reference_to_an_unknown_list_asks_for_it() {
    let mut liveness = Liveness::default();
    assert!(!liveness.record_relayed(START, RELAY, &relayed(3, None)));
    assert_eq!(liveness.relayed_version(RELAY), None);
    liveness.record_relayed(START, RELAY, &relayed(3, Some(&[1])));
    liveness.record_relayed(START, RELAY, &relayed(4, None));
    assert_eq!(liveness.relayed_version(RELAY), Some(3));
}

#[test]
fn entry_that_changes_its_relay_stays_live() {
    let mut liveness = Liveness::default();
    let other = NodeId(101);
    liveness.record_relayed(START, RELAY, &relayed(1, Some(&[1, 2])));
    let later = START + RELAY_LOSS_TIMEOUT / 2;
    liveness.record_relayed(later, other, &relayed(1, Some(&[1])));
    liveness.expire(START + RELAY_LOSS_TIMEOUT);
    assert_eq!(nodes(&liveness), [1], "the other relay has it, and the lost relay's other entry is gone");
}

#[test]
fn new_leader_keeps_inherited_members_for_a_while() {
    let mut liveness = Liveness::default();
    liveness.inherit(START, vec![entry(1), entry(2)]);
    let restarted = Member { node: NodeId(9), ..entry(2) };
    liveness.record(START, &restarted.into());
    assert_eq!(nodes(&liveness), [1, 9], "a process at the address of an inherited one replaces it");
    for second in 1..=4 {
        liveness.record(START + Duration::from_secs(second), &entry(1).into());
    }
    liveness.expire(START + Duration::from_secs(4));
    assert_eq!(nodes(&liveness), [1]);
    liveness.inherit(START + Duration::from_secs(4), vec![entry(3)]);
    liveness.stop_leading();
    assert_eq!(nodes(&liveness), [1], "only a leader inherits");
}
