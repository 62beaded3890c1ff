//! Tests of the assignment of relays.

use std::collections::BTreeMap;
use std::net::SocketAddrV4;

use agatetrestle_config::deployment::Role;

use super::member;
use crate::clock::Timestamp;
use crate::cluster::message::Member;
use crate::cluster::message::ReportTarget;
use crate::cluster::relays::AssignedRelay;
use crate::cluster::relays::MAX_DIRECT_MEMBERS;
use crate::cluster::relays::are_needed;
use crate::cluster::relays::assign;
use crate::scheduler::random::Random;

const ZONES: u64 = 5;

fn at(node: u64, role: Role) -> Member {
    let mut member = member(node, role);
    let [_, _, high, low] = u32::try_from(node).unwrap().to_be_bytes();
    member.peer = SocketAddrV4::new([10, 0, high, low].into(), 7_240);
    member.zone = format!("zone-{}", node % ZONES).into();
    member
}

fn entries(count: u64) -> Vec<Member> {
    (1_000..1_000 + count).map(|node| at(node, Role::Entry)).collect()
}

fn followers(count: u64) -> Vec<Member> {
    (0..count).map(|node| at(node, Role::Control)).collect()
}

/// The number of entries of each relay.
fn loads(entries: &[Member], followers: &[Member]) -> BTreeMap<SocketAddrV4, usize> {
    let mut loads = BTreeMap::new();
    for entry in entries {
        *loads.entry(assign(entry, followers.iter(), None).unwrap()).or_insert(0) += 1;
    }
    loads
}

#[test]
fn reports_to_one_replica_stay_few_at_twice_the_size() {
    for (entry_count, follower_count) in [(900, 10), (1_800, 10), (1_800, 20)] {
        let loads = loads(&entries(entry_count), &followers(follower_count));
        assert_eq!(loads.len() as u64, follower_count);
        let mean = usize::try_from(entry_count / follower_count).unwrap();
        let most = *loads.values().max().unwrap();
        assert!(most * 2 <= mean * 3, "{most} entries report to one of {follower_count}, {mean} on average");
    }
}

#[test]
fn relay_is_in_the_failure_domain_if_possible() {
    let followers = followers(8);
    for entry in entries(50) {
        let relay = assign(&entry, followers.iter(), None).unwrap();
        let zone = &followers.iter().find(|follower| follower.peer == relay).unwrap().zone;
        assert_eq!(*zone, entry.zone);
    }
    let elsewhere: Vec<Member> = followers.into_iter().filter(|follower| follower.node.0 == 1).collect();
    assert_eq!(assign(&entries(1)[0], elsewhere.iter(), None), Some(elsewhere[0].peer));
    assert_eq!(assign(&entries(1)[0], [].iter(), None), None);
}

#[test]
fn entries_of_a_lost_relay_are_spread_and_others_stay() {
    let (entries, all) = (entries(900), followers(15));
    let lost = all[0].peer;
    let remaining = &all[1..];
    let mut moved: BTreeMap<SocketAddrV4, usize> = BTreeMap::new();
    for entry in &entries {
        let before = assign(entry, all.iter(), None).unwrap();
        let after = assign(entry, remaining.iter(), None).unwrap();
        assert_eq!(assign(entry, all.iter(), Some(lost)), Some(after), "as if the avoided relay were lost");
        if before == lost {
            *moved.entry(after).or_default() += 1;
        } else {
            assert_eq!(before, after);
        }
    }
    assert_eq!(moved.len(), 2, "both other relays of the failure domain take over entries");
}

#[test]
fn small_deployment_needs_no_relays() {
    assert_eq!([MAX_DIRECT_MEMBERS, MAX_DIRECT_MEMBERS + 1].map(are_needed), [false, true]);
}

#[test]
fn entries_that_start_together_renew_their_relays_apart() {
    const ENTRIES: u64 = 1_000;
    let relay = at(1, Role::Control).peer;
    let renewals = |second: u64| {
        let asks = |node: &u64| {
            let assigned = AssignedRelay::default();
            assigned.assign(Timestamp(0), Some(relay), &mut Random::new(*node));
            let current = |second: u64| assigned.current(Timestamp(second * 1_000_000)).is_some();
            current(second) && !current(second + 1)
        };
        (0..ENTRIES).filter(asks).count()
    };
    let most = (0..100).map(renewals).max().unwrap();
    assert!(most < 60, "{most} of {ENTRIES} entries ask within a second");
}

#[test]
fn failed_relay_is_avoided_until_another_is_assigned() {
    let relay = AssignedRelay::default();
    let [first, second] = [1, 2].map(|node| at(node, Role::Control).peer);
    let now = Timestamp(0);
    assert_eq!((relay.current(now), relay.target()), (None, ReportTarget::LeaderOrRelay { avoid: None }));
    relay.assign(now, Some(first), &mut Random::new(1));
    assert_eq!(relay.current(now), Some(first));
    relay.give_up(first);
    let avoiding = ReportTarget::LeaderOrRelay { avoid: Some(first) };
    assert_eq!((relay.current(now), relay.target()), (None, avoiding));
    relay.assign(now, Some(second), &mut Random::new(1));
    assert_eq!(relay.target(), ReportTarget::LeaderOrRelay { avoid: None });
    assert_eq!(relay.current(Timestamp(60_000_000)), None, "it is time to ask again");
}
