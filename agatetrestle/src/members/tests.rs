//! Tests of heartbeats, leaving and caller addresses.

use std::time::Duration;

use crate::clock::Timestamp;
use crate::ids::NodeId;
use crate::ids::ProgramId;
use crate::members::message::Digest;
use crate::members::message::DigestPosition;
use crate::members::message::Heartbeat;
use crate::members::message::LeaveNotice;
use crate::members::message::MemberState;
use crate::members::roster::Roster;
use crate::members::table::MemberTable;
use crate::members::vm_list;
use crate::members::vm_list::VmChange;
use crate::members::vm_list::VmListReader;

const INTERVAL: Duration = Duration::from_secs(1);
const LEADER: NodeId = NodeId(1);

fn beat(node: u64, incarnation: u64) -> Heartbeat {
    Heartbeat {
        node: NodeId(node),
        vm: format!("vm-{node}").into(),
        failure_domain: format!("domain-{}", node % 3).into(),
        incarnation,
        caller_address: format!("10.0.0.{node}:7400").into(),
        ..Heartbeat::default()
    }
}

fn seconds(count: u64) -> Timestamp {
    Timestamp(count * 1_000_000)
}

fn table() -> MemberTable {
    let mut table = MemberTable::new(1, INTERVAL);
    for node in 1..=9 {
        table.record(seconds(0), beat(node, 5));
    }
    table
}

fn state(table: &mut MemberTable, now: u64, node: u64) -> MemberState {
    let members = table.digest(seconds(now), DigestPosition::default()).members;
    members.iter().find(|member| member.heartbeat.node == NodeId(node)).unwrap().state
}

fn digest(table: &mut MemberTable, now: u64, position: DigestPosition) -> Digest {
    Digest { lease: INTERVAL, ..table.digest(seconds(now), position) }
}

fn sign(name: &str, incarnation: u64) -> LeaveNotice {
    LeaveNotice { name: name.into(), incarnation }
}

#[test]
fn a_node_is_silent_after_three_missed_heartbeats() {
    let mut table = table();
    table.record(seconds(4), beat(2, 5));
    assert_eq!(state(&mut table, 4, 1), MemberState::Silent);
    assert_eq!(state(&mut table, 4, 2), MemberState::Live);
}

#[test]
fn a_late_heartbeat_of_an_older_incarnation_changes_nothing() {
    let mut table = table();
    table.record(seconds(1), beat(1, 6));
    table.record(seconds(2), Heartbeat { stopping: true, ..beat(1, 5) });
    assert_eq!(state(&mut table, 2, 1), MemberState::Live);
}

#[test]
fn a_lagging_list_does_not_bring_back_what_another_sign_removed() {
    let mut table = table();
    table.add_notice(&sign("vm-4", 5));
    table.add_notice(&sign("vm-4", 3));
    table.record(seconds(1), beat(4, 5));
    assert_eq!(state(&mut table, 1, 4), MemberState::Leaving);
    table.record(seconds(2), beat(4, 6));
    assert_eq!(state(&mut table, 2, 4), MemberState::Live, "a newer incarnation is live again");
}

#[test]
fn addresses_spread_over_failure_domains_and_are_the_same_everywhere() {
    let mut table = table();
    let digest = digest(&mut table, 1, DigestPosition::default());
    let program = ProgramId::parse("vrsta/dawn-17").unwrap();
    let mut first = Roster::default();
    first.apply_digest(LEADER, &digest);
    let mut second = Roster::default();
    second.apply_digest(LEADER, &digest);
    let addresses = first.addresses(Some(&program));
    assert_eq!(second.addresses(Some(&program)), addresses);
    insta::assert_json_snapshot!(addresses);
    let domains: std::collections::BTreeSet<_> = first
        .views()
        .into_iter()
        .filter(|view| addresses.contains(&view.caller_address))
        .map(|view| view.failure_domain)
        .collect();
    assert_eq!(domains.len(), 3);
}

#[test]
fn a_leaving_vm_is_in_no_answer_as_soon_as_any_sign_is_seen() {
    let mut table = table();
    let digest = digest(&mut table, 1, DigestPosition::default());
    let mut roster = Roster::default();
    roster.apply_digest(LEADER, &digest);
    assert!(roster.add_notice(&sign("vm-7", 5)));
    roster.apply_digest(LEADER, &digest);
    for _ in 0..100 {
        assert!(!roster.addresses(None).iter().any(|address| &**address == "10.0.0.7:7400"));
    }
}

#[test]
fn a_replica_that_was_cut_off_does_not_change_the_picture() {
    let mut full = table();
    let mut roster = Roster::default();
    roster.apply_digest(LEADER, &digest(&mut full, 1, DigestPosition::default()));
    let mut cut_off = MemberTable::new(2, INTERVAL);
    cut_off.record(seconds(1), beat(1, 5));
    roster.apply_digest(
        NodeId(2),
        &Digest { lease: Duration::ZERO, ..cut_off.digest(seconds(1), DigestPosition::default()) },
    );
    assert_eq!(roster.views().len(), 9);
}

#[test]
fn a_node_is_told_only_what_changed() {
    let mut table = table();
    let mut roster = Roster::default();
    roster.apply_digest(LEADER, &digest(&mut table, 1, roster.position(LEADER)));
    assert_eq!(roster.views().len(), 9);
    let quiet = digest(&mut table, 1, roster.position(LEADER));
    assert!(quiet.members.is_empty() && !quiet.full);
    table.record(seconds(2), Heartbeat { revision: 7, ..beat(3, 5) });
    let changed = digest(&mut table, 2, roster.position(LEADER));
    assert_eq!(changed.members.len(), 1);
    roster.apply_digest(LEADER, &changed);
    assert_eq!(roster.views().iter().find(|view| view.node == NodeId(3)).unwrap().revision, 7);
    let silent = digest(&mut table, 4, roster.position(LEADER));
    assert_eq!(silent.members.len(), 8, "all but node 3 fell silent");
}

#[test]
fn another_replica_tells_everything_again() {
    let mut first = table();
    let mut roster = Roster::default();
    roster.apply_digest(LEADER, &digest(&mut first, 1, DigestPosition::default()));
    assert_eq!(roster.position(NodeId(2)), DigestPosition::default());
    let mut second = MemberTable::new(2, INTERVAL);
    second.record(seconds(1), beat(1, 5));
    let everything = digest(&mut second, 1, roster.position(NodeId(2)));
    assert!(everything.full);
    roster.apply_digest(NodeId(2), &everything);
    assert_eq!(roster.views().len(), 1);
}

#[test]
fn a_sign_that_a_node_saw_is_told_until_a_leader_tells_it_back() {
    let mut table = table();
    let mut roster = Roster::default();
    roster.add_notice(&sign("vm-7", 5));
    assert_eq!(roster.pending_notices(), vec![sign("vm-7", 5)]);
    table.record(seconds(1), Heartbeat { leaving: roster.pending_notices(), ..beat(1, 5) });
    roster.apply_digest(LEADER, &digest(&mut table, 1, roster.position(LEADER)));
    assert!(roster.pending_notices().is_empty());
    assert_eq!(state(&mut table, 1, 7), MemberState::Leaving);
}

fn vm(state: &str, incarnation: u64) -> String {
    format!(r#"{{"vms":[{{"name":"gpu-1","state":"{state}","incarnation":{incarnation},"zone":"x"}}]}}"#)
}

#[test]
fn the_vm_list_tells_only_the_moment_of_leaving() {
    let mut reader = VmListReader::default();
    let mut read = |text: String| reader.update(vm_list::parse(text.as_bytes()).unwrap());
    assert!(matches!(read(vm("live", 1))[..], [VmChange::Live(_)]));
    assert!(matches!(read(vm("leaving", 1))[..], [VmChange::Leaving(_)]));
    assert!(read(vm("leaving", 1)).is_empty(), "a lagging list says it again and again");
    assert!(matches!(&read(vm("live", 2))[..], [VmChange::Live(vm)] if vm.incarnation == 2));
    assert!(vm_list::parse(b"{\"vms\":[{\"name\":1}]}").is_err());
}
