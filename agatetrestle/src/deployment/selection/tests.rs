//! Tests of the selection of entries for callers.

use std::collections::BTreeSet;

use super::*;
use crate::cluster::message::EntryCapacity;
use crate::ids::NodeId;
use crate::scheduler::random::Random;

fn entry(number: u32, zone: &str, millicores: Option<u32>) -> Member {
    let address = |port| SocketAddrV4::new(number.into(), port);
    Member {
        node: NodeId(number.into()),
        vm: format!("entry-{number}").into(),
        role: Role::Entry,
        zone: zone.into(),
        peer: address(7_380),
        callers: Some(address(80)),
        ready: true,
        group: None,
        entry: Some(EntryCapacity { millicores, memory_mb: 88, load: 0 }),
    }
}

fn selected(members: &[Member], caller: u64) -> Vec<usize> {
    let addresses = select(members, &Spill::default(), "a", caller);
    addresses.iter().map(|address| usize::try_from(address.ip().to_bits()).unwrap()).collect()
}

fn float(count: usize) -> f64 {
    f64::from(u32::try_from(count).unwrap())
}

/// Guards against a change for deployments of equal entries, and against an order that all callers share.
#[test]
fn equal_entries_are_all_returned_in_another_order_to_each_caller() {
    let members: Vec<Member> = (0..59).map(|number| entry(number, "a", Some(120))).collect();
    let all: BTreeSet<usize> = (0..59).collect();
    let mut first = BTreeSet::new();
    for caller in 0..1_000 {
        let entries = selected(&members, caller);
        assert_eq!(entries, selected(&members, caller), "the answer is stable");
        assert_eq!(entries.iter().copied().collect::<BTreeSet<_>>(), all);
        first.insert(entries[0]);
    }
    assert_eq!(first, all);
}

/// Guards against small entries that get as many callers as large ones, whether callers use the first address or any.
#[test]
fn entries_get_callers_in_proportion_to_their_cores() {
    let size = |number: usize| 90 + 3 * u32::try_from(number).unwrap();
    let members: Vec<Member> = (0..68).map(|number| entry(number, "a", Some(90 + 3 * number))).collect();
    let (mut any, mut first) = (vec![0.0; 68], vec![0.0; 68]);
    let callers = 40_000;
    for caller in 0..callers {
        let entries = selected(&members, caller);
        first[entries[0]] += 1.0;
        for number in &entries {
            any[*number] += 1.0 / float(entries.len());
        }
    }
    let total: u32 = (0..68).map(size).sum();
    for number in 0..68 {
        let expected = 40_000.0 * f64::from(size(number)) / f64::from(total);
        for count in [any[number], first[number]] {
            assert!((count / expected - 1.0).abs() < 0.2, "{number}: {count} of {expected}");
        }
    }
}

/// Guards against an answer that is a fixed part of the entries, as the first 64 by id are.
#[test]
fn spreads_callers_over_863_entries() {
    let zones = ["a", "b", "c", "d"];
    let members: Vec<Member> =
        (0..863).map(|number| entry(number, zones[number as usize % 4], Some(120))).collect();
    let mut counts = vec![0_u32; 863];
    for caller in 0..34_520 {
        let zone = usize::try_from(caller % 4).unwrap();
        let addresses = select(&members, &Spill::default(), zones[zone], caller);
        assert_eq!(addresses.len(), MAX_ENTRY_ADDRESSES);
        counts[usize::try_from(addresses[0].ip().to_bits()).unwrap()] += 1;
    }
    let (least, most) = (counts.iter().min().unwrap(), counts.iter().max().unwrap());
    println!("callers per entry: {least} to {most} of 40");
    assert!(*most <= 80 && *least >= 10, "{least} to {most}, each has a share of 40");
}

/// Guards against callers that lose their connections when one entry stops.
#[test]
fn loss_of_an_entry_replaces_one_address() {
    let members: Vec<Member> = (0..216).map(|number| entry(number, "a", Some(120))).collect();
    for caller in 0..200 {
        let before = selected(&members, caller);
        let remaining: Vec<Member> =
            members.iter().filter(|member| member.node != NodeId(before[0] as u64)).cloned().collect();
        let after: BTreeSet<usize> = selected(&remaining, caller).into_iter().collect();
        let replaced = before.iter().filter(|number| !after.contains(number)).count();
        assert_eq!(replaced, 1, "of caller {caller}");
    }
}

/// Guards against changes of the lists of members by entries whose load varies around a threshold.
#[test]
fn load_level_changes_only_beyond_the_hysteresis() {
    let mut level = 0;
    let mut levels = Vec::new();
    for percent in [40, 49, 50, 45, 51, 41, 39, 72, 65, 71, 90, 80, 74, 0, 200, u32::MAX] {
        level = load_level(level, percent);
        levels.push(level);
    }
    assert_eq!(levels, [0, 0, 1, 1, 1, 1, 0, 2, 2, 2, 3, 3, 2, 0, 3, 3]);
}

/// Requests that an entry holds at its limits.
const ENTRY_LIMIT: u32 = 10;

/// Runs callers with caches of 1 to 9 s for some minutes. Returns, for each second, the percent of its limits that each
/// domain uses, and its share of spilled callers.
fn simulate(counts: [u32; 4], callers_at: impl Fn(u64) -> [u32; 4], seconds: u64) -> Vec<[(u32, u32); 4]> {
    let zones = ["a", "b", "c", "d"];
    let mut members = Vec::new();
    for (zone, count) in zones.iter().zip(counts) {
        for _ in 0..count {
            members.push(entry(u32::try_from(members.len()).unwrap(), zone, Some(120)));
        }
    }
    let mut rng = Random::new(3);
    let mut spill = Spill::default();
    // By caller: its time to look up again and the entry that it uses.
    let mut callers: [Vec<(u64, usize)>; 4] = Default::default();
    let mut history = Vec::new();
    for now in 0..seconds {
        spill.update(Timestamp(now * 1_000_000), &members);
        let mut used = vec![0_u32; members.len()];
        for (zone, count) in callers_at(now).into_iter().enumerate() {
            callers[zone].resize(usize::try_from(count).unwrap(), (0, 0));
            for (number, (until, chosen)) in callers[zone].iter_mut().enumerate() {
                if *until <= now {
                    let caller = u64::try_from(zone * 1_000_000 + number).unwrap();
                    let address = select(&members, &spill, zones[zone], caller)[0];
                    *chosen = usize::try_from(address.ip().to_bits()).unwrap();
                    *until = now + 1 + rng.below(9);
                }
                used[*chosen] += 1;
            }
        }
        for (member, used) in members.iter_mut().zip(&used) {
            let capacity = member.entry.as_mut().unwrap();
            capacity.load = load_level(capacity.load, used * 100 / ENTRY_LIMIT);
        }
        let percent = |zone: &str, count: u32| {
            let used: u32 = members
                .iter()
                .zip(&used)
                .filter(|(member, _)| &*member.zone == zone)
                .map(|(_, used)| used)
                .sum();
            used * 100 / (count * ENTRY_LIMIT)
        };
        history.push([0, 1, 2, 3].map(|zone| {
            let share = spill.domains.get(zones[zone]).map_or(0, |domain| domain.share);
            (percent(zones[zone], counts[zone]), share)
        }));
    }
    history
}

/// Guards against a domain with half of its VMs that is overloaded while others have capacity, and against oscillation.
#[test]
fn domain_at_half_its_vms_spills_over_without_oscillation() {
    let history = simulate([18, 36, 36, 36], |_| [190; 4], 240);
    assert!(history[5][0].0 > 100, "without spill-over it is overloaded: {:?}", history[5]);
    println!("{:?} {:?} {:?} {:?}", history[5], history[45], history[90], history[239]);
    for second in &history[90..] {
        assert!(second.iter().all(|(used, _)| *used <= 90), "{second:?}");
    }
    for zone in 0..4 {
        let shares = || history[90..].iter().map(|second| second[zone].1);
        let (least, most) = (shares().min().unwrap(), shares().max().unwrap());
        assert!(most - least <= SPILL_STEP, "{zone}: {least} to {most}");
    }
}

/// Guards against spilled callers that do not return after their domain has capacity again, and against load that follows
/// the callers from domain to domain.
#[test]
fn spill_over_ends_when_load_moves() {
    let moving = |now: u64| if now < 120 { [360, 150, 150, 150] } else { [150, 150, 360, 150] };
    let history = simulate([36; 4], moving, 360);
    assert!(history[119][0].1 > 0 && history[119][0].0 <= 90, "{:?}", history[119]);
    let end = history[359];
    println!("{:?} {end:?}", history[119]);
    assert_eq!(end[0].1, 0, "{end:?}");
    assert!(end[2].1 > 0 && end[2].0 <= 90, "{end:?}");
}

/// Guards against spill-over in a deployment where all domains are loaded alike.
#[test]
fn domains_of_equal_load_keep_their_callers() {
    let history = simulate([36; 4], |_| [350; 4], 120);
    assert!(history.iter().flatten().all(|(_, share)| *share == 0), "{:?}", history[119]);
}
