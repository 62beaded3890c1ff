//! Decides which programs may begin in a deployment that declares teams.
//!
//! The leader of a state group sees every turn of its programs begin and end, and so knows the capacity that active programs
//! need. More urgent classes have what they needed recently kept free, teams of one class share the rest by weighted max-min
//! fairness, and a refused program that can still end in time is told when to return and finds capacity reserved. Without
//! teams [`crate::turns::limiter`] decides. Alternatives are compared in
//! docs/design/018-admission-by-class-and-team.md. The module is free of I/O and takes the time as an argument.

mod classes;
mod estimates;
mod programs;
mod reservations;
mod service;
mod shares;
#[cfg(test)]
mod tests;

use std::collections::BTreeSet;
use std::collections::HashMap;
use std::fmt;
use std::sync::Arc;
use std::time::Duration;

use crate::clock::Timestamp;
use crate::routing::Team;
use crate::turns::command::TurnId;
use crate::turns::program_admission::service::RebuiltProgram;
use crate::turns::program_admission::service::ServiceAdmission;
use crate::turns::recent::RecentPrograms;

/// Time beyond its caller's timeout after which a turn counts as ended without a report, as when its entry was lost.
const LOST_TURN_GRACE: Duration = Duration::from_millis(200);
/// Services that programs are limited on. Programs of further services begin without a limit.
const MAX_SERVICES: usize = 256;
/// Programs that are remembered on one service. Further ones begin without being counted; it is beyond the 310,000 programs
/// of the whole design size.
const MAX_PROGRAMS: usize = 400_000;
/// Age in milliseconds beyond which a program without an open turn has ended.
const ENDED_AGE_MS: u64 = 2_500;
/// Weight of a team that declares no rate limit.
const DEFAULT_WEIGHT: f64 = 1.0;
/// Least weight, so that a team with a rate limit of zero divides nothing by zero.
const MIN_WEIGHT: f64 = 0.01;

/// A program that asks to begin.
#[derive(Clone, Copy, Debug)]
pub struct ProgramStart<'a> {
    /// The service that its first turn is sent to.
    pub service: &'a Arc<str>,
    /// The route that its first turn arrived on.
    pub route: &'a Arc<str>,
    /// The team that owns it; empty if none.
    pub team: &'a Arc<str>,
    /// The program's key, distinct between teams.
    pub program: &'a Arc<str>,
    /// Priority of its team, then of its route; 0 is the most urgent.
    pub class: u8,
    /// Slots that the service's servers are worth at present.
    pub capacity: f64,
    /// Time until its deadline; `None` without a deadline.
    pub finish_in: Option<Duration>,
    /// Time that the caller waits for the answer to this request.
    pub patience: Duration,
}

/// A turn that begins.
#[derive(Clone, Copy, Debug)]
pub struct TurnStart<'a> {
    /// The service that it is sent to.
    pub service: &'a Arc<str>,
    /// The route that it arrived on.
    pub route: &'a Arc<str>,
    /// The team that owns its program; empty if none.
    pub team: &'a Arc<str>,
    /// The key of the program that it belongs to.
    pub program: &'a Arc<str>,
    /// The turn's identifier.
    pub turn: &'a TurnId,
    /// Priority of the team, then of the route.
    pub class: u8,
    /// Time that the caller waits for the answer.
    pub timeout: Duration,
}

/// Why a program may not begin.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RefusalReason {
    /// It cannot end within its deadline at the present speed, and the capacity is in use.
    Infeasible,
    /// More urgent classes recently needed the capacity that is free.
    Priority,
    /// Its team uses its share, and others need the rest.
    Share,
    /// All capacity is in use or reserved.
    Capacity,
    /// Capacity is in use and is reserved for when the program returns.
    Reserved,
}

impl fmt::Display for RefusalReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Infeasible => "infeasible",
            Self::Priority => "priority",
            Self::Share => "share",
            Self::Capacity => "capacity",
            Self::Reserved => "reserved",
        })
    }
}

/// A program may not begin now.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Refusal {
    /// The reason.
    pub reason: RefusalReason,
    /// When the caller may try again.
    pub retry_after: Duration,
    /// Slots that the service's servers are worth.
    pub capacity: f64,
    /// Slots that the programs which arrived recently need.
    pub demand: f64,
}

#[derive(Clone, Debug)]
struct OpenTurn {
    service: Arc<str>,
    program: Arc<str>,
    begun: Timestamp,
    expires: Timestamp,
}

/// Admits programs to all services, by the turns of one state group.
#[derive(Debug, Default)]
pub struct ProgramAdmission {
    /// Weights of the declared teams.
    weights: HashMap<Arc<str>, f64>,
    services: HashMap<Arc<str>, ServiceAdmission>,
    open_turns: HashMap<TurnId, OpenTurn>,
    turns_by_expiry: BTreeSet<(Timestamp, TurnId)>,
}

impl ProgramAdmission {
    /// Replaces the declared teams, whose rate limits are their weights.
    pub fn set_teams(&mut self, teams: &[Arc<Team>]) {
        let weight = |team: &Team| team.rate_limit.map_or(DEFAULT_WEIGHT, |limit| limit.per_second);
        let weights = teams.iter().map(|team| (team.name.clone(), weight(team).max(MIN_WEIGHT)));
        self.weights = weights.collect();
    }

    /// Decides whether a program may begin. A program that may counts as active at once.
    ///
    /// # Errors
    ///
    /// The reason and the retry delay if it may not.
    pub fn check(&mut self, now: Timestamp, start: &ProgramStart<'_>) -> Result<(), Refusal> {
        self.expire(now);
        if self.services.len() >= MAX_SERVICES && !self.services.contains_key(start.service) {
            return Ok(());
        }
        let service = self.services.entry(start.service.clone()).or_default();
        if service.remembered() >= MAX_PROGRAMS {
            return Ok(());
        }
        service.check(now, start, &self.weights)
    }

    /// Takes back that a program may begin, since its turn is refused for another reason.
    pub fn withdraw(&mut self, service: &Arc<str>, program: &Arc<str>) {
        if let Some(service) = self.services.get_mut(service) {
            service.withdraw(program);
        }
    }

    /// Records that a turn began.
    pub fn begin(&mut self, now: Timestamp, turn: TurnStart<'_>) {
        let TurnStart { service, route, team, program, turn, class, timeout } = turn;
        self.expire(now);
        if self.open_turns.contains_key(turn) {
            return;
        }
        if self.services.len() >= MAX_SERVICES && !self.services.contains_key(service) {
            return;
        }
        let load = self.services.entry(service.clone()).or_default();
        if load.remembered() >= MAX_PROGRAMS {
            return;
        }
        load.begin(now, program, class, team, route);
        let open = OpenTurn {
            service: service.clone(),
            program: program.clone(),
            begun: now,
            expires: now + timeout + LOST_TURN_GRACE,
        };
        self.insert_open(turn, open);
    }

    /// Records that a turn ended, with its time on a server if one completed it.
    pub fn finish(&mut self, now: Timestamp, turn: &TurnId, server_time: Option<Duration>) {
        if let Some(open) = self.open_turns.remove(turn)
            && let Some(service) = self.services.get_mut(&open.service)
        {
            self.turns_by_expiry.remove(&(open.expires, turn.clone()));
            service.finish(now, &open.program, now.since(open.begun), server_time);
        }
    }

    /// Forgets all programs, before those of the log are added with [`Self::reconcile`]. Reservations are lost, which costs
    /// their programs one retry.
    pub fn clear(&mut self) {
        self.services.clear();
        self.open_turns.clear();
        self.turns_by_expiry.clear();
    }

    /// Adds programs and open turns that the log holds and this replica does not know, and ends those turns that the log has
    /// ended.
    pub fn reconcile(&mut self, now: Timestamp, recent: &RecentPrograms) {
        let at = |millis: u64| Timestamp(now.0.saturating_sub(recent.age(millis).saturating_mul(1_000)));
        let ended = |(turn, open): &(&TurnId, &OpenTurn)| !recent.is_open(&open.program, turn);
        let ended: Vec<TurnId> = self.open_turns.iter().filter(ended).map(|(turn, _)| turn.clone()).collect();
        for turn in ended {
            self.finish(now, &turn, None);
        }
        let first = self.services.is_empty();
        for (name, program) in recent.programs() {
            // What can be learnt from programs that ended was learnt the first time.
            if !first && program.open.is_empty() && recent.age(program.last_used) > ENDED_AGE_MS {
                continue;
            }
            if self.services.len() >= MAX_SERVICES && !self.services.contains_key(&program.service) {
                continue;
            }
            let load = self.services.entry(program.service.clone()).or_default();
            if !load.knows(name) {
                let rebuilt = RebuiltProgram {
                    class: program.priority,
                    team: program.team.clone(),
                    route: program.route.clone(),
                    began: at(program.began),
                    finish_in: program.finish_in.map(Duration::from_millis),
                    last_active: at(program.last_used),
                    slot_time: Duration::from_millis(program.ran),
                };
                load.rebuild(now, name, rebuilt);
            }
            for (turn, open) in &program.open {
                if self.open_turns.contains_key(turn) {
                    continue;
                }
                if let Some(load) = self.services.get_mut(&program.service) {
                    load.begin_known(name);
                }
                let open = OpenTurn {
                    service: program.service.clone(),
                    program: name.clone(),
                    begun: at(open.began),
                    expires: now + Duration::from_millis(recent.left(open.until)) + LOST_TURN_GRACE,
                };
                self.insert_open(turn, open);
            }
        }
        for service in self.services.values_mut() {
            service.complete_rebuild(now);
        }
    }

    /// Open turns, active programs and reservations on all services.
    #[must_use]
    pub fn counts(&self) -> (u32, u32, usize) {
        let counts = self.services.values().map(ServiceAdmission::counts);
        counts.fold((0, 0, 0), |sum, next| (sum.0 + next.0, sum.1 + next.1, sum.2 + next.2))
    }

    fn insert_open(&mut self, turn: &TurnId, open: OpenTurn) {
        self.turns_by_expiry.insert((open.expires, turn.clone()));
        self.open_turns.insert(turn.clone(), open);
    }

    /// Ends turns whose caller has timed out.
    fn expire(&mut self, now: Timestamp) {
        while let Some((expires, _)) = self.turns_by_expiry.first()
            && *expires < now
            && let Some((_, turn)) = self.turns_by_expiry.pop_first()
        {
            if let Some(open) = self.open_turns.remove(&turn)
                && let Some(service) = self.services.get_mut(&open.service)
            {
                service.lose_turn(now, &open.program, now.since(open.begun));
            }
        }
    }
}
