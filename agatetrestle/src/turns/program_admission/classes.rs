//! Use and demand of each priority class, and the shares of its teams.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use crate::clock::Timestamp;
use crate::turns::program_admission::estimates::DecayingSum;
use crate::turns::program_admission::estimates::decay;
use crate::turns::program_admission::shares::Claim;
use crate::turns::program_admission::shares::Shares;

/// How often shares are computed anew. Between, a team's use changes by few programs, and a computation for 2,200 teams
/// takes some hundred microseconds.
const SHARES_INTERVAL: Duration = Duration::from_millis(100);
/// Demand in slots below which an idle team is dropped.
const NEGLIGIBLE_DEMAND: f64 = 0.01;
/// Standard deviations of the demand that are kept free of teams which ask for more than their share.
const HEADROOM_DEVIATIONS: f64 = 3.0;
/// Shortest time from which demand is extrapolated. All callers come back at once after the loss of all VMs; extrapolated
/// from that second, demand was six times the capacity, and programs were refused for ten seconds beside idle servers.
const MIN_KNOWN_TIME: Duration = Duration::from_secs(4);

/// Counts of active programs by route.
#[derive(Debug, Default)]
struct ProgramCounts(Vec<(usize, u32)>);

impl ProgramCounts {
    fn add(&mut self, route: usize) {
        match self.0.iter_mut().find(|(known, _)| *known == route) {
            Some((_, count)) => *count += 1,
            None => self.0.push((route, 1)),
        }
    }

    fn remove(&mut self, route: usize) {
        if let Some(index) = self.0.iter().position(|(known, _)| *known == route) {
            self.0[index].1 -= 1;
            if self.0[index].1 == 0 {
                self.0.swap_remove(index);
            }
        }
    }

    fn slots(&self, per_program: &[f64]) -> f64 {
        self.0.iter().map(|(route, count)| f64::from(*count) * per_program[*route]).sum()
    }
}

/// Programs of one team in one class.
#[derive(Debug, Default)]
struct TeamLoad {
    demand: DecayingSum,
    programs: ProgramCounts,
}

/// Programs of one priority class.
#[derive(Debug)]
struct ClassLoad {
    /// Seconds of a slot that programs which arrived need, refused ones included.
    demand: DecayingSum,
    programs: ProgramCounts,
    teams: HashMap<Arc<str>, TeamLoad>,
    shares: Shares,
    shared_at: Option<Timestamp>,
}

impl Default for ClassLoad {
    fn default() -> Self {
        Self {
            demand: DecayingSum::default(),
            programs: ProgramCounts::default(),
            teams: HashMap::new(),
            shares: Shares::Spare(0.0),
            shared_at: None,
        }
    }
}

/// Slots in use and kept free, as seen by one class.
#[derive(Clone, Copy, Debug)]
pub(super) struct ClassView {
    /// Slots that active programs of all classes need.
    pub(super) used: f64,
    /// Slots that more urgent classes needed recently and do not use now.
    pub(super) kept_for_urgent: f64,
    /// Slots that more urgent classes use or have kept for them.
    pub(super) urgent: f64,
    /// Slots that active programs of less urgent classes need.
    pub(super) less_urgent: f64,
}

/// A team's part of the capacity of its class.
#[derive(Clone, Copy, Debug)]
pub(super) struct TeamShare {
    /// Slots that it may use.
    pub(super) slots: f64,
    /// Whether it asks for less than its share while others of its class ask for more than theirs.
    pub(super) guaranteed: bool,
}

/// All classes of one service, by priority.
#[derive(Debug, Default)]
pub(super) struct Classes {
    by_priority: BTreeMap<u8, ClassLoad>,
    /// The first arrival, since which demand is known.
    started: Option<Timestamp>,
}

impl Classes {
    /// Records that a program arrived that needs this many seconds of a slot.
    pub(super) fn record_arrival(&mut self, now: Timestamp, class: u8, team: &Arc<str>, slot_seconds: f64) {
        self.started = Some(self.started.map_or(now, |started| started.min(now)));
        let load = self.by_priority.entry(class).or_default();
        load.demand.add(now, slot_seconds);
        load.teams.entry(team.clone()).or_default().demand.add(now, slot_seconds);
    }

    /// Corrects sums for the time before the first arrival, which would otherwise count as one without demand.
    fn correction(&self, now: Timestamp) -> f64 {
        let known = self.started.map_or(Duration::ZERO, |started| now.since(started)).max(MIN_KNOWN_TIME);
        1.0 / (1.0 - decay(known))
    }

    /// Takes back an arrival.
    pub(super) fn withdraw_arrival(&mut self, at: Timestamp, class: u8, team: &Arc<str>, slot_seconds: f64) {
        self.record_arrival(at, class, team, -slot_seconds);
    }

    pub(super) fn add_program(&mut self, class: u8, team: &Arc<str>, route: usize) {
        let load = self.by_priority.entry(class).or_default();
        load.programs.add(route);
        load.teams.entry(team.clone()).or_default().programs.add(route);
    }

    pub(super) fn remove_program(&mut self, class: u8, team: &Arc<str>, route: usize) {
        if let Some(load) = self.by_priority.get_mut(&class) {
            load.programs.remove(route);
            if let Some(team) = load.teams.get_mut(team) {
                team.programs.remove(route);
            }
        }
    }

    /// The use of all classes as seen by one of them. Demand fluctuates, so a more urgent class has its mean and one
    /// standard deviation kept free.
    pub(super) fn view(&self, now: Timestamp, class: u8, per_program: &[f64]) -> ClassView {
        let mut view = ClassView { used: 0.0, kept_for_urgent: 0.0, urgent: 0.0, less_urgent: 0.0 };
        let correction = self.correction(now);
        for (priority, load) in &self.by_priority {
            let used = load.programs.slots(per_program);
            view.used += used;
            if *priority < class {
                let demand = load.demand.per_second(now) * correction;
                let needed = if demand < NEGLIGIBLE_DEMAND { 0.0 } else { demand + demand.sqrt() };
                view.kept_for_urgent += (needed - used).max(0.0);
                view.urgent += needed.max(used);
            } else if *priority > class {
                view.less_urgent += used;
            }
        }
        view
    }

    /// Slots that a team uses in a class.
    pub(super) fn team_use(&self, class: u8, team: &Arc<str>, per_program: &[f64]) -> f64 {
        let team = self.by_priority.get(&class).and_then(|load| load.teams.get(team));
        team.map_or(0.0, |team| team.programs.slots(per_program))
    }

    /// What a team may use of the capacity that is left for its class.
    pub(super) fn team_share(
        &mut self,
        now: Timestamp,
        class: u8,
        team: &Arc<str>,
        capacity: f64,
        weights: &HashMap<Arc<str>, f64>,
    ) -> TeamShare {
        let weight = |team: &Arc<str>| weights.get(team).copied().unwrap_or(1.0);
        let correction = self.correction(now);
        let load = self.by_priority.entry(class).or_default();
        if load.shared_at.is_none_or(|at| now.since(at) >= SHARES_INTERVAL) {
            load.teams.retain(|_, team| {
                !team.programs.0.is_empty() || team.demand.per_second(now) >= NEGLIGIBLE_DEMAND
            });
            let claim = |(name, team): (&Arc<str>, &TeamLoad)| Claim {
                weight: weight(name),
                demand: team.demand.per_second(now) * correction,
            };
            let mut claims: Vec<Claim> = load.teams.iter().map(claim).collect();
            // What all teams but the largest need fluctuates around their demand.
            let demands = || claims.iter().map(|claim| claim.demand);
            let of_others = demands().sum::<f64>() - demands().fold(0.0, f64::max);
            let headroom = HEADROOM_DEVIATIONS * of_others.clamp(0.0, capacity.max(0.0)).sqrt();
            load.shares = Shares::new(capacity - headroom, &mut claims);
            load.shared_at = Some(now);
        }
        let demand = load.teams.get(team).map_or(0.0, |team| team.demand.per_second(now) * correction);
        let claim = Claim { weight: weight(team), demand };
        TeamShare { slots: load.shares.allowed(claim), guaranteed: load.shares.is_guaranteed(claim) }
    }

    /// Slots that the programs which arrived recently need.
    pub(super) fn demand(&self, now: Timestamp) -> f64 {
        self.by_priority.values().map(|load| load.demand.per_second(now)).sum::<f64>() * self.correction(now)
    }

    /// Programs per second that end, times their slots.
    pub(super) fn release_rate(&self, per_program: &[f64], seconds: &[f64]) -> f64 {
        let counts = self.by_priority.values().flat_map(|load| &load.programs.0);
        counts.map(|(route, count)| f64::from(*count) * per_program[*route] / seconds[*route]).sum()
    }
}
