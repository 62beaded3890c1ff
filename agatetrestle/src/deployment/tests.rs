//! Tests of the answers to callers that ask for addresses.

use std::net::SocketAddrV4;

use agatetrestle_config::deployment::Role;

use crate::cluster::message::Member;
use crate::deployment::directory::addresses;
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
