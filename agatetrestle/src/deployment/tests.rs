//! Tests of the answers to callers that ask for addresses, and of the founding of state groups.

use std::collections::BTreeSet;
use std::net::SocketAddrV4;

use agatetrestle_config::deployment::Role;

use crate::cluster::message::Member;
use crate::cluster::voters::Candidate;
use crate::deployment::control::founders;
use crate::deployment::directory::addresses;
use crate::deployment::turns::home;
use crate::deployment::turns::part;
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
    }
}

fn last_octets(members: &[Member], zone: &str) -> Vec<u8> {
    addresses(members, zone).iter().map(|address| address.ip().octets()[3]).collect()
}

#[test]
fn callers_stay_in_their_failure_domain_while_two_entries_serve_there() {
    let members = [entry(1, "a", true), entry(2, "a", true), entry(3, "b", true), entry(4, "b", false)];
    assert_eq!(last_octets(&members, "a"), [1, 2]);
    assert_eq!(
        last_octets(&members, "b"),
        [1, 2, 3],
        "one is not enough, and one that is not ready gets nobody"
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

#[test]
fn groups_share_no_store_and_lie_in_all_domains() {
    for (count, wanted, groups) in [(3, 3, 1), (7, 3, 1), (8, 3, 2), (10, 5, 1), (36, 5, 6), (400, 5, 32)] {
        let founded = founders(stores(count, 5), wanted);
        assert_eq!(founded.len(), groups, "{count} stores");
        let all: BTreeSet<NodeId> = founded.iter().flatten().copied().collect();
        assert_eq!(all.len(), groups * wanted);
        for voters in founded {
            let zones: BTreeSet<u64> = voters.iter().map(|node| node.0 % 5).collect();
            assert_eq!(zones.len(), wanted.min(5));
        }
    }
}

#[test]
fn programs_spread_evenly_over_groups_and_stay_where_they_are() {
    let mut counts = [0; 6];
    for number in 0..6_000 {
        let program = format!("{number:x}");
        counts[home(&program, 6)] += 1;
        assert_eq!(home(&program, 6), home(&program, 6));
    }
    assert!(counts.iter().all(|count| (900..1_100).contains(count)), "{counts:?}");
}

#[test]
fn each_group_reckons_with_its_part_of_the_places_and_with_one_at_least() {
    assert_eq!(
        [(288, 1), (462, 6), (5, 6), (0, 6)].map(|(places, groups)| part(places, groups)),
        [288, 77, 1, 0]
    );
}
