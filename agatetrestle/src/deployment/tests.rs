//! Tests of address lookups, of the initial voters of state groups and of the routing of turns.

mod state_group;

use std::collections::BTreeSet;
use std::net::SocketAddrV4;
use std::time::Duration;

use agatetrestle_config::deployment::Role;

use crate::cluster::message::Member;
use crate::cluster::voters::Candidate;
use crate::deployment::control::StoreCount;
use crate::deployment::control::initial_voters;
use crate::deployment::selection::Spill;
use crate::deployment::selection::select;
use crate::deployment::turns::group_index;
use crate::deployment::turns::group_share;
use crate::ids::NodeId;

fn entry(number: u8, zone: &str, ready: bool) -> Member {
    Member {
        node: NodeId(number.into()),
        vm: format!("entry-{number}").into(),
        role: Role::Entry,
        zone: zone.into(),
        peer: SocketAddrV4::new([10, 0, 0, number].into(), 7380),
        callers: Some(SocketAddrV4::new([10, 0, 0, number].into(), 80)),
        ready,
        group: None,
        entry: None,
    }
}

fn last_octets(members: &[Member], zone: &str) -> Vec<u8> {
    let caller = 7;
    let addresses = select(members, &Spill::default(), zone, caller);
    let mut octets: Vec<u8> = addresses.iter().map(|address| address.ip().octets()[3]).collect();
    octets.sort_unstable();
    octets
}

#[test]
fn returns_local_entries_if_two_are_ready() {
    let members = [entry(1, "a", true), entry(2, "a", true), entry(3, "b", true), entry(4, "b", false)];
    assert_eq!(last_octets(&members, "a"), [1, 2]);
    assert_eq!(
        last_octets(&members, "b"),
        [1, 2, 3],
        "one ready entry is not enough, and entries that are not ready are left out"
    );
    assert_eq!(last_octets(&members, "elsewhere"), [1, 2, 3]);
}

fn stores(count: u64, zones: u64) -> Vec<Candidate> {
    let store = |number: u64| Candidate {
        node: NodeId(number),
        tie_break: number,
        zone: format!("zone-{}", number % zones).into(),
        leaving: false,
    };
    (1..=count).map(store).collect()
}

/// Seconds after which groups of five are created, if the number of stores is as given in each second.
fn created_after(stores: &[usize]) -> Option<usize> {
    let mut count = StoreCount::default();
    stores.iter().position(|stores| count.is_settled(*stores, 5, Duration::from_secs(1)))
}

#[test]
fn creates_groups_with_fewer_stores_after_a_longer_wait() {
    assert_eq!(created_after(&[0, 2, 6, 6, 6]), Some(3));
    assert_eq!(created_after(&[3; 4]), None, "more may come");
    assert_eq!(created_after(&[3; 9]), Some(5));
    assert_eq!(created_after(&[1, 2, 3, 4, 5, 5]), Some(5), "they start one after the other");
    assert_eq!(created_after(&[0; 30]), None);
}

#[test]
fn fewer_stores_than_a_group_needs_form_one() {
    let groups = initial_voters(stores(3, 3), 5);
    assert_eq!(groups, [[1, 2, 3].map(NodeId).into()]);
}

#[test]
fn spreads_disjoint_groups_over_failure_domains() {
    for (count, group_size, groups) in [(3, 3, 1), (7, 3, 1), (8, 3, 2), (10, 5, 1), (36, 5, 6), (400, 5, 32)]
    {
        let groups_of_voters = initial_voters(stores(count, 5), group_size);
        assert_eq!(groups_of_voters.len(), groups, "{count} stores");
        let all: BTreeSet<NodeId> = groups_of_voters.iter().flatten().copied().collect();
        assert_eq!(all.len(), groups * group_size);
        for voters in groups_of_voters {
            let zones: BTreeSet<u64> = voters.iter().map(|node| node.0 % 5).collect();
            assert_eq!(zones.len(), group_size.min(5));
        }
    }
}

#[test]
fn assigns_programs_to_groups_evenly() {
    let mut counts = [0; 6];
    for number in 0..6_000 {
        let program = format!("{number:x}");
        counts[group_index(&program, 6)] += 1;
        assert_eq!(group_index(&program, 6), group_index(&program, 6));
    }
    assert!(counts.iter().all(|count| (900..1_100).contains(count)), "{counts:?}");
}

#[test]
fn splits_slots_among_groups_rounding_up() {
    assert_eq!(
        [(288, 1), (462, 6), (5, 6), (0, 6)].map(|(slots, groups)| group_share(slots, groups)),
        [288, 77, 1, 0]
    );
}
