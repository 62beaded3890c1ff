//! Tests of heartbeats, leave notices and caller addresses.

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

const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(1);
const LEADER: NodeId = NodeId(1);

fn heartbeat(node: u64, incarnation: u64) -> Heartbeat {
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
    let mut table = MemberTable::new(1, HEARTBEAT_INTERVAL);
    for node in 1..=9 {
        table.record(seconds(0), heartbeat(node, 5));
    }
    table
}

fn state(table: &mut MemberTable, now: u64, node: u64) -> MemberState {
    let members = table.digest(seconds(now), DigestPosition::default()).members;
    members.iter().find(|member| member.heartbeat.node == NodeId(node)).unwrap().state
}

fn digest(table: &mut MemberTable, now: u64, position: DigestPosition) -> Digest {
    Digest { lease: HEARTBEAT_INTERVAL, ..table.digest(seconds(now), position) }
}

fn notice(name: &str, incarnation: u64) -> LeaveNotice {
    LeaveNotice { name: name.into(), incarnation }
}

#[test]
fn node_is_silent_after_three_missed_heartbeats() {
    let mut table = table();
    table.record(seconds(4), heartbeat(2, 5));
    assert_eq!(state(&mut table, 4, 1), MemberState::Silent);
    assert_eq!(state(&mut table, 4, 2), MemberState::Live);
}

#[test]
fn ignores_heartbeat_of_older_incarnation() {
    let mut table = table();
    table.record(seconds(1), heartbeat(1, 6));
    table.record(seconds(2), Heartbeat { stopping: true, ..heartbeat(1, 5) });
    assert_eq!(state(&mut table, 2, 1), MemberState::Live);
}

#[test]
fn ignores_notice_of_older_incarnation() {
    let mut table = table();
    table.add_notice(&notice("vm-4", 5));
    table.add_notice(&notice("vm-4", 3));
    table.record(seconds(1), heartbeat(4, 5));
    assert_eq!(state(&mut table, 1, 4), MemberState::Leaving);
    table.record(seconds(2), heartbeat(4, 6));
    assert_eq!(state(&mut table, 2, 4), MemberState::Live, "a newer incarnation is live");
}

#[test]
fn selects_same_addresses_in_distinct_failure_domains() {
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
fn excludes_leaving_vm_from_addresses() {
    let mut table = table();
    let digest = digest(&mut table, 1, DigestPosition::default());
    let mut roster = Roster::default();
    roster.apply_digest(LEADER, &digest);
    assert!(roster.add_notice(&notice("vm-7", 5)));
    roster.apply_digest(LEADER, &digest);
    for _ in 0..100 {
        assert!(!roster.addresses(None).iter().any(|address| &**address == "10.0.0.7:7400"));
    }
}

#[test]
fn ignores_digest_without_lease() {
    let mut complete = table();
    let mut roster = Roster::default();
    roster.apply_digest(LEADER, &digest(&mut complete, 1, DigestPosition::default()));
    let mut partitioned = MemberTable::new(2, HEARTBEAT_INTERVAL);
    partitioned.record(seconds(1), heartbeat(1, 5));
    roster.apply_digest(
        NodeId(2),
        &Digest { lease: Duration::ZERO, ..partitioned.digest(seconds(1), DigestPosition::default()) },
    );
    assert_eq!(roster.views().len(), 9);
}

#[test]
fn digest_contains_only_changes() {
    let mut table = table();
    let mut roster = Roster::default();
    roster.apply_digest(LEADER, &digest(&mut table, 1, roster.position(LEADER)));
    assert_eq!(roster.views().len(), 9);
    let unchanged = digest(&mut table, 1, roster.position(LEADER));
    assert!(unchanged.members.is_empty() && !unchanged.full);
    table.record(seconds(2), Heartbeat { revision: 7, ..heartbeat(3, 5) });
    let changed = digest(&mut table, 2, roster.position(LEADER));
    assert_eq!(changed.members.len(), 1);
    roster.apply_digest(LEADER, &changed);
    assert_eq!(roster.views().iter().find(|view| view.node == NodeId(3)).unwrap().revision, 7);
    let silent = digest(&mut table, 4, roster.position(LEADER));
    assert_eq!(silent.members.len(), 8, "all nodes but node 3 became silent");
}

#[test]
fn other_replica_sends_full_digest() {
    let mut first = table();
    let mut roster = Roster::default();
    roster.apply_digest(LEADER, &digest(&mut first, 1, DigestPosition::default()));
    assert_eq!(roster.position(NodeId(2)), DigestPosition::default());
    let mut second = MemberTable::new(2, HEARTBEAT_INTERVAL);
    second.record(seconds(1), heartbeat(1, 5));
    let complete = digest(&mut second, 1, roster.position(NodeId(2)));
    assert!(complete.full);
    roster.apply_digest(NodeId(2), &complete);
    assert_eq!(roster.views().len(), 1);
}

#[test]
fn notice_is_pending_until_digest_contains_it() {
    let mut table = table();
    let mut roster = Roster::default();
    roster.add_notice(&notice("vm-7", 5));
    assert_eq!(roster.pending_notices(), vec![notice("vm-7", 5)]);
    table.record(seconds(1), Heartbeat { leaving: roster.pending_notices(), ..heartbeat(1, 5) });
    roster.apply_digest(LEADER, &digest(&mut table, 1, roster.position(LEADER)));
    assert!(roster.pending_notices().is_empty());
    assert_eq!(state(&mut table, 1, 7), MemberState::Leaving);
}

fn vm(state: &str, incarnation: u64) -> String {
    format!(r#"{{"vms":[{{"name":"gpu-1","state":"{state}","incarnation":{incarnation},"zone":"x"}}]}}"#)
}

#[test]
fn vm_list_reports_leaving_once() {
    let mut reader = VmListReader::default();
    let mut read = |text: String| reader.update(vm_list::parse(text.as_bytes()).unwrap());
    assert!(matches!(read(vm("live", 1))[..], [VmChange::Live(_)]));
    assert!(matches!(read(vm("leaving", 1))[..], [VmChange::Leaving(_)]));
    assert!(read(vm("leaving", 1)).is_empty(), "a lagging list repeats the state");
    assert!(matches!(&read(vm("live", 2))[..], [VmChange::Live(vm)] if vm.incarnation == 2));
    assert!(vm_list::parse(b"{\"vms\":[{\"name\":1}]}").is_err());
}
