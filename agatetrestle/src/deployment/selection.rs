//! Which entries a caller is told of; see docs/design/022-rate-limits-and-entry-selection.md.
//!
//! Pure: time and the caller's identifier come in as arguments.

use std::collections::BTreeMap;
use std::net::SocketAddrV4;
use std::sync::Arc;
use std::time::Duration;

use agatetrestle_config::deployment::Role;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::clock::Timestamp;
use crate::cluster::message::Member;

/// Addresses in an answer, which keeps it below 2 KB.
pub(super) const MAX_ENTRY_ADDRESSES: usize = 64;
/// Addresses in an answer at least, if there are so many, whatever the sizes of the entries: a caller must have others when
/// one is lost.
const MIN_ENTRY_ADDRESSES: usize = 4;
/// Callers stay in their failure domain if it has this many ready entries, so that the loss of one leaves another.
const MIN_LOCAL_ENTRIES: usize = 2;
/// Percent of its limits from which an entry reports load level 1, 2 and 3.
const LEVEL_STARTS: [u32; 3] = [50, 70, 85];
/// Percent by which the use of the limits must fall below the start of a level to leave it, so that the lists of members
/// change seldom.
const LEVEL_HYSTERESIS: u32 = 10;
/// Percent of its limits that an entry of each load level is assumed to use.
const LEVEL_UTILIZATION: [u64; 4] = [25, 60, 78, 93];
/// Weight of an entry of each load level, in percent of its size. The steps are small because all callers act on the same
/// levels at once.
const LEVEL_WEIGHTS: [u64; 4] = [100, 85, 60, 35];
/// Percent of its limits from which a failure domain sends more callers to others, and below which it takes them back.
const SPILL_START: u64 = 75;
const SPILL_STOP: u64 = 65;
/// Percent of its limits by which another domain must use less for more callers to be sent there.
const SPILL_MARGIN: u64 = 10;
/// Percent of the callers by which a domain's share of spilled callers grows or shrinks at a time, and the maximum.
const SPILL_STEP: u32 = 10;
const MAX_SPILL: u32 = 60;
/// Time between two steps. Answers are cached for up to 9 s, so the effect of a step is seen only after that.
const SPILL_INTERVAL: Duration = Duration::from_secs(9);

/// The load level of an entry that uses this percent of its limits.
pub(super) fn load_level(previous: u8, percent: u32) -> u8 {
    let level = |percent: u32| LEVEL_STARTS.iter().filter(|start| percent >= **start).count();
    let (rising, falling) = (level(percent), level(percent.saturating_add(LEVEL_HYSTERESIS)));
    u8::try_from(usize::from(previous).clamp(rising, falling)).unwrap_or_default()
}

/// A ready entry with what decides how many callers it gets.
#[derive(Clone, Copy, Debug)]
struct Candidate<'a> {
    member: &'a Member,
    address: SocketAddrV4,
    /// Its VM's size relative to others.
    size: u64,
    level: usize,
}

impl Candidate<'_> {
    fn weight(&self) -> u64 {
        (self.size * LEVEL_WEIGHTS[self.level]).max(1)
    }
}

/// The ready entries. Sizes are cores if all entries report them, else memory if all do, else equal.
fn candidates(members: &[Member]) -> Vec<Candidate<'_>> {
    let ready = || {
        members
            .iter()
            .filter(|member| member.role == Role::Entry && member.ready)
            .filter_map(|member| Some((member, member.callers?)))
    };
    let all = |size: fn(&Member) -> Option<u64>| ready().all(|(member, _)| size(member).is_some());
    let cores = |member: &Member| member.entry.and_then(|entry| entry.millicores).map(u64::from);
    let memory = |member: &Member| member.entry.map(|entry| u64::from(entry.memory_mb));
    let size: fn(&Member) -> Option<u64> = if all(cores) {
        cores
    } else if all(memory) {
        memory
    } else {
        |_| Some(1)
    };
    let candidate = |(member, address): (_, _)| Candidate {
        member,
        address,
        size: size(member).unwrap_or(1).max(1),
        level: member.entry.map_or(0, |entry| usize::from(entry.load)).min(LEVEL_WEIGHTS.len() - 1),
    };
    ready().map(candidate).collect()
}

/// Load of a failure domain at the last step.
#[derive(Clone, Copy, Debug, Default)]
struct DomainLoad {
    /// Percent of its callers that are sent to other domains.
    share: u32,
    /// Percent of its entries' limits that is used.
    utilization: u64,
    /// Sum of the sizes of its entries.
    size: u64,
}

impl DomainLoad {
    fn free(&self) -> f64 {
        to_f64(self.size * 100_u64.saturating_sub(self.utilization))
    }
}

/// The part of the callers of each failure domain that is sent to other domains.
#[derive(Debug, Default)]
pub(super) struct Spill {
    domains: BTreeMap<Arc<str>, DomainLoad>,
    updated: Option<Timestamp>,
}

impl Spill {
    /// Adapts the shares to the members' load. Returns the domains whose share changed, with their new share in percent.
    pub(super) fn update(&mut self, now: Timestamp, members: &[Member]) -> Vec<(Arc<str>, u32)> {
        if self.updated.is_some_and(|updated| now.since(updated) < SPILL_INTERVAL) {
            return Vec::new();
        }
        self.updated = Some(now);
        let entries = candidates(members);
        let load = |(zone, entries): (Arc<str>, Vec<Candidate<'_>>)| {
            let size = entries.iter().map(|entry| entry.size).sum();
            (zone, DomainLoad { share: 0, utilization: utilization(&entries), size })
        };
        let zones = by_zone(&entries).into_iter().filter(|(_, entries)| entries.len() >= MIN_LOCAL_ENTRIES);
        let loads: BTreeMap<Arc<str>, DomainLoad> = zones.map(load).collect();
        let mut changed = Vec::new();
        let mut updated = loads.clone();
        for (zone, load) in &mut updated {
            let previous = self.domains.get(zone).map_or(0, |domain| domain.share);
            let others = loads.iter().filter(|(other, _)| *other != zone);
            let least_used = others.map(|(_, other)| other.utilization).min();
            let has_target = least_used.is_some_and(|used| used + SPILL_MARGIN <= load.utilization);
            load.share = if load.utilization < SPILL_STOP {
                previous.saturating_sub(SPILL_STEP)
            } else if load.utilization >= SPILL_START && has_target {
                (previous + SPILL_STEP).min(MAX_SPILL)
            } else {
                previous
            };
            if load.share != previous {
                changed.push((zone.clone(), load.share));
            }
        }
        self.domains = updated;
        changed
    }

    /// The domain whose entries a caller gets if it is one of those that are sent elsewhere.
    fn target(&self, zone: &str, caller: u64) -> Option<&Arc<str>> {
        let share = self.domains.get(zone)?.share;
        if hash(caller, zone.as_bytes()) % 100 >= u64::from(share) {
            return None;
        }
        // Weighted rendezvous hashing by free capacity: when it changes, few callers change their domain.
        let draw = |other: &Arc<str>, load: &DomainLoad| {
            -uniform(hash(caller, other.as_bytes())).ln() / load.free().max(f64::MIN_POSITIVE)
        };
        let others = self.domains.iter().filter(|(other, _)| &***other != zone);
        others
            .min_by(|(a, a_load), (b, b_load)| draw(a, a_load).total_cmp(&draw(b, b_load)))
            .map(|(zone, _)| zone)
    }
}

/// The addresses for a caller in a failure domain: the same for the same caller as long as the members do not change.
pub(super) fn select(members: &[Member], spill: &Spill, zone: &str, caller: u64) -> Vec<SocketAddrV4> {
    let entries = candidates(members);
    let in_zone = |zone: &str| -> Option<Vec<Candidate<'_>>> {
        let local = entries.iter().filter(|entry| &*entry.member.zone == zone).copied();
        Some(local.collect()).filter(|local: &Vec<_>| local.len() >= MIN_LOCAL_ENTRIES)
    };
    let Some(local) = in_zone(zone) else {
        return sample(&entries, caller);
    };
    // A domain whose entries were lost since the last step is not used.
    let target = spill.target(zone, caller).and_then(|target| in_zone(target));
    sample(&target.unwrap_or(local), caller)
}

/// Entries of one caller, in random order. Each entry is contained with a probability in proportion to its weight, and all
/// positions are equally probable, so it does not matter in which order callers use them.
///
/// The size of the sample is the sum of the weights divided by the largest: with equal weights all entries are contained.
fn sample(entries: &[Candidate<'_>], caller: u64) -> Vec<SocketAddrV4> {
    let total: u64 = entries.iter().map(Candidate::weight).sum();
    let largest = entries.iter().map(Candidate::weight).max().unwrap_or(1);
    let count = usize::try_from(total / largest).unwrap_or(usize::MAX);
    let count = count.clamp(MIN_ENTRY_ADDRESSES, MAX_ENTRY_ADDRESSES).min(entries.len());
    // Sequential Poisson sampling: of entries with a uniform number divided by the weight, the smallest. An entry that is
    // added or removed changes one place of the sample.
    let mut ranked: Vec<(f64, u64, SocketAddrV4)> = entries
        .iter()
        .map(|entry| {
            let draw = hash(caller, &entry.member.node.0.to_le_bytes());
            (uniform(draw) / to_f64(entry.weight()), draw, entry.address)
        })
        .collect();
    ranked.sort_by(|a, b| a.0.total_cmp(&b.0));
    ranked.truncate(count);
    // The rank favours heavy entries, so the order is drawn anew.
    ranked.sort_by_key(|(_, draw, _)| hash(caller, &draw.to_le_bytes()));
    ranked.into_iter().map(|(_, _, address)| address).collect()
}

fn by_zone<'a>(entries: &[Candidate<'a>]) -> BTreeMap<Arc<str>, Vec<Candidate<'a>>> {
    let mut zones: BTreeMap<Arc<str>, Vec<Candidate<'a>>> = BTreeMap::new();
    for entry in entries {
        zones.entry(entry.member.zone.clone()).or_default().push(*entry);
    }
    zones
}

/// Percent of their limits that entries use together.
fn utilization(entries: &[Candidate<'_>]) -> u64 {
    let size: u64 = entries.iter().map(|entry| entry.size).sum();
    let used: u64 = entries.iter().map(|entry| entry.size * LEVEL_UTILIZATION[entry.level]).sum();
    used / size.max(1)
}

fn hash(caller: u64, data: &[u8]) -> u64 {
    xxh3_64_with_seed(data, caller)
}

/// A number above 0 and at most 1.
fn uniform(draw: u64) -> f64 {
    let bits = u32::try_from(draw >> 32).unwrap_or(u32::MAX);
    (f64::from(bits) + 1.0) / (f64::from(u32::MAX) + 1.0)
}

fn to_f64(value: u64) -> f64 {
    f64::from(u32::try_from(value).unwrap_or(u32::MAX))
}

#[cfg(test)]
mod tests;
