//! Models what control sends to the processes of a fleet, with the product's own lists, relays and codecs.
//!
//! Counts reports, items and bytes in the situations that grow with a fleet, by its size. It models no processor time and
//! no queues; docs/CAPACITY.md sets its figures beside measured ones.

use std::collections::BTreeMap;
use std::fmt::Write;
use std::net::Ipv4Addr;
use std::net::SocketAddrV4;
use std::sync::Arc;

use agatetrestle::backends::BackendChange;
use agatetrestle::backends::Instance;
use agatetrestle::cluster::message::EntryCapacity;
use agatetrestle::cluster::message::ListVersion;
use agatetrestle::cluster::message::Member;
use agatetrestle::cluster::relays;
use agatetrestle::cluster::versioned::ListChange;
use agatetrestle::cluster::versioned::Scope;
use agatetrestle::cluster::versioned::VersionedList;
use agatetrestle::codec::Compressed;
use agatetrestle::ids::NodeId;
use agatetrestle_config::deployment::Role;
use serde::Serialize;

use crate::random::Random;

const ZONES: u64 = 5;
/// Shares of the VMs in parts of a thousand; the rest are entries.
const STORES_PER_THOUSAND: u64 = 123;
const CONTROL_REPLICAS_PER_THOUSAND: u64 = 9;
/// Control replicas and stores of a small fleet.
const MIN_CONTROL_REPLICAS: u64 = 5;
const SERVERS_PER_VM: u64 = 10;
const REPORTS_PER_SECOND: u64 = 2;
/// Seconds of the rolling replacement of servers, and how many are replaced in each.
const REPLACEMENT_SECONDS: u64 = 20;
const REPLACED_PER_SECOND: u64 = 5;
/// Control replicas that are lost together, in parts of a hundred.
const LOST_REPLICAS_PERCENT: usize = 55;

/// What control does for a fleet of one size.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct ControlTraffic {
    /// VMs of the fleet.
    pub vms: u64,
    /// Backend servers.
    pub servers: u64,
    /// Control replicas.
    pub replicas: u64,
    /// Reports a second at the leader if all processes reported to it.
    pub star_reports: u64,
    /// Reports a second at the leader.
    pub leader_reports: u64,
    /// Reports a second at the busiest relay.
    pub relay_reports: u64,
    /// Reports a second at the busiest relay after the loss of [`LOST_REPLICAS_PERCENT`] of control.
    pub relay_reports_after_loss: u64,
    /// Bytes of the full list of servers.
    pub full_list_bytes: u64,
    /// Bytes of full lists that the busiest replica sends when all processes start.
    pub start_bytes: u64,
    /// Bytes that all processes together get when a new leader sends every list in full.
    pub whole_after_election_bytes: u64,
    /// Bytes that all processes together get from a new leader.
    pub election_bytes: u64,
    /// Bytes that one process gets during a rolling replacement of servers.
    pub replacement_bytes: u64,
    /// Items that a process handles during it.
    pub replacement_items: u64,
}

/// A fleet with random IDs, since those determine how well a list can be compressed.
struct Fleet {
    entries: Vec<Member>,
    followers: Vec<Member>,
    stores: u64,
    servers: Vec<Instance>,
}

impl Fleet {
    fn new(vms: u64, random: &mut Random) -> Self {
        let replicas = (vms * CONTROL_REPLICAS_PER_THOUSAND / 1_000).max(MIN_CONTROL_REPLICAS);
        let stores = (vms * STORES_PER_THOUSAND / 1_000).max(MIN_CONTROL_REPLICAS);
        let member = |number: u64, role: Role| Member {
            node: NodeId(number),
            vm: format!("vm-{number}").into(),
            role,
            zone: format!("zone-{}", number % ZONES).into(),
            peer: SocketAddrV4::new(address(number), 7_380),
            callers: None,
            ready: true,
            group: None,
            entry: (role == Role::Entry).then_some(EntryCapacity {
                millicores: Some(120),
                memory_mb: 88,
                load: 0,
            }),
        };
        let entries = (replicas + stores..vms).map(|number| member(number, Role::Entry)).collect();
        // The first replica leads.
        let followers = (1..replicas).map(|number| member(number, Role::Control)).collect();
        let servers = (0..vms * SERVERS_PER_VM).map(|number| server(number, random)).collect();
        Self { entries, followers, stores, servers }
    }

    /// Entries of the busiest relay.
    fn busiest_relay(&self, followers: &[Member]) -> u64 {
        let mut loads: BTreeMap<SocketAddrV4, u64> = BTreeMap::new();
        for entry in &self.entries {
            if let Some(relay) = relays::assign(entry, followers.iter(), None) {
                *loads.entry(relay).or_default() += 1;
            }
        }
        loads.into_values().max().unwrap_or(0)
    }
}

fn address(number: u64) -> Ipv4Addr {
    Ipv4Addr::from_bits(0x0a00_0000 | u32::try_from(number).unwrap_or(0x00ff_ffff))
}

fn server(number: u64, random: &mut Random) -> Instance {
    Instance {
        id: format!("i-{:010x}", random.next_u64() >> 24).into(),
        service: if number.is_multiple_of(2) { "engines".into() } else { "tools".into() },
        version: "v1".into(),
        address: SocketAddrV4::new(address(number), 8_080),
        zone: format!("zone-{}", number % ZONES).into(),
        slots: 6,
        leaving: false,
        born: Some(1_700_000_000_000 + u64::from(random.between(0, 1_000_000))),
    }
}

/// Models a fleet of `vms` VMs before ten times as many backend servers.
#[must_use]
pub fn model(vms: u64, seed: u64) -> ControlTraffic {
    let mut random = Random::new(seed, 0);
    let fleet = Fleet::new(vms, &mut random);
    let followers = fleet.followers.len() as u64;
    let processes = fleet.entries.len() as u64 + fleet.stores + followers;
    let uses_relays = relays::are_needed(usize::try_from(processes).unwrap_or(usize::MAX));
    let relayed = if uses_relays { fleet.busiest_relay(&fleet.followers) } else { 0 };
    let lost_replicas = fleet.followers.len() * LOST_REPLICAS_PERCENT / 100;
    let relayed_after_loss =
        if uses_relays { fleet.busiest_relay(&fleet.followers[lost_replicas..]) } else { 0 };
    let direct = if uses_relays { fleet.stores + followers } else { processes };
    let mut list = VersionedList::default();
    list.replace(1, fleet.servers.clone());
    let (_, full_list_bytes) = size(&list.change_since(ListVersion::default(), Scope::Public));
    let (election_items, election_bytes) = change_of_leader(&list, &fleet.servers);
    debug_assert_eq!(election_items, 1, "one server changed");
    let (replacement_items, replacement_bytes) = rolling_replacement(&mut list, fleet.servers, &mut random);
    ControlTraffic {
        vms,
        servers: vms * SERVERS_PER_VM,
        replicas: followers + 1,
        star_reports: processes * REPORTS_PER_SECOND,
        leader_reports: direct * REPORTS_PER_SECOND,
        relay_reports: relayed * REPORTS_PER_SECOND,
        relay_reports_after_loss: relayed_after_loss * REPORTS_PER_SECOND,
        full_list_bytes,
        start_bytes: relayed.max(direct) * full_list_bytes,
        whole_after_election_bytes: processes * full_list_bytes,
        election_bytes: processes * election_bytes,
        replacement_bytes,
        replacement_items,
    }
}

/// The items and bytes that a process gets from a new leader that finds one server changed.
fn change_of_leader(list: &VersionedList<Instance>, servers: &[Instance]) -> (u64, u64) {
    let (mut successor, known) = (list.clone(), list.version(Scope::Public));
    successor.start_term(2);
    let mut current = servers.to_vec();
    if let Some(server) = current.first_mut() {
        server.leaving = true;
    }
    successor.replace(2, current);
    size(&successor.change_since(known, Scope::Public))
}

/// The items and bytes that a process gets while servers are replaced one after the other.
fn rolling_replacement(
    list: &mut VersionedList<Instance>,
    mut servers: Vec<Instance>,
    random: &mut Random,
) -> (u64, u64) {
    let (mut items, mut bytes) = (0, 0);
    let mut next = 0;
    for _ in 0..REPLACEMENT_SECONDS {
        let known = list.version(Scope::Public);
        for _ in 0..REPLACED_PER_SECOND {
            let number = u64::try_from(next).unwrap_or_default();
            servers[next] = server(number, random);
            next = (next + 1) % servers.len();
        }
        list.replace(1, servers.clone());
        let (more_items, more_bytes) = size(&list.change_since(known, Scope::Public));
        items += more_items;
        bytes += more_bytes;
    }
    (items, bytes)
}

/// Items and encoded bytes of a change.
fn size(change: &BackendChange) -> (u64, u64) {
    let items = match change {
        ListChange::Whole(items) => items.len(),
        ListChange::Since { gone, put, .. } => gone.len() + put.len(),
    };
    (items as u64, Compressed::new(change).size() as u64)
}

/// Formats models side by side as a table.
#[must_use]
pub fn table(models: &[ControlTraffic]) -> String {
    type Figure = fn(&ControlTraffic) -> u64;
    let rows: [(&str, Figure); 13] = [
        ("VMs", |m| m.vms),
        ("backend servers", |m| m.servers),
        ("control replicas", |m| m.replicas),
        ("reports/s to the leader, all direct", |m| m.star_reports),
        ("reports/s to the leader", |m| m.leader_reports),
        ("reports/s to the busiest relay", |m| m.relay_reports),
        ("the same, 55 % of control lost", |m| m.relay_reports_after_loss),
        ("full list, bytes", |m| m.full_list_bytes),
        ("start, KB of the busiest replica", |m| m.start_bytes / 1_000),
        ("new leader, KB, lists in full", |m| m.whole_after_election_bytes / 1_000),
        ("new leader, KB", |m| m.election_bytes / 1_000),
        ("replacement, bytes a process", |m| m.replacement_bytes),
        ("replacement, items a process", |m| m.replacement_items),
    ];
    let mut text = String::new();
    for (name, figure) in rows {
        let cells: Vec<Arc<str>> =
            models.iter().map(|model| format!("{:>12}", figure(model)).into()).collect();
        // Writing to a `String` can't fail.
        let _ = writeln!(text, "{name:<38}{}", cells.concat());
    }
    text
}
