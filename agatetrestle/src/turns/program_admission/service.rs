//! Admission of programs to one service.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use crate::clock::Timestamp;
use crate::turns::program_admission::ProgramStart;
use crate::turns::program_admission::Refusal;
use crate::turns::program_admission::RefusalReason;
use crate::turns::program_admission::classes::Classes;
use crate::turns::program_admission::estimates::EndedProgram;
use crate::turns::program_admission::estimates::RouteEstimate;
use crate::turns::program_admission::estimates::ServerShare;
use crate::turns::program_admission::estimates::decay;
use crate::turns::program_admission::programs::FirstRequest;
use crate::turns::program_admission::programs::IDLE_TIMEOUT;
use crate::turns::program_admission::programs::Program;
use crate::turns::program_admission::programs::Programs;
use crate::turns::program_admission::programs::RefusedPrograms;
use crate::turns::program_admission::reservations::Reservations;

/// Part of a service's capacity that active programs may need together. Above 1, since a short queue keeps servers busy and
/// programs have some slack.
const MAX_UTILIZATION: f64 = 1.1;
/// The same for a program that is expected to end after its deadline. It earns a part of its value where nobody else needs the
/// capacity, and a wrong estimate of durations must not refuse the programs of a route beside idle servers.
const MAX_UTILIZATION_FOR_LATE: f64 = 0.8;
/// Part of the capacity up to which a team may use more than its share. The rest absorbs what others ask for next.
const MAX_UTILIZATION_FOR_LENT: f64 = 0.8;
/// Part of the capacity by which that limit may be exceeded by a returning program with a reservation, since the expected
/// time of its capacity is a mean, and by a program of a team that asks for less than its share.
const OVERRUN: f64 = 0.15;
/// The same for a program of a class that is more urgent than those which use as much.
const URGENT_OVERRUN: f64 = 0.3;
/// Longest expected wait for which capacity is reserved. Less than the 200 to 400 ms that even the shortest deadlines leave,
/// and than the third of 3 s for which callers wait.
pub(super) const MAX_RESERVED_WAIT: Duration = Duration::from_millis(250);
/// Part of the expected duration that must be left. Durations vary around their mean, so a program with slightly less time
/// often still ends in time.
const FEASIBLE_DURATION_RATIO: f64 = 0.85;
/// Least retry delay, so that a caller does not return before other commands of the moment are applied.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Least part of the released capacity that a class is assumed to receive.
const MIN_RELEASED_PART: f64 = 0.2;
/// Routes with estimates of their own; others share the last one.
const MAX_ROUTES: usize = 1_024;

/// Programs and estimates of one service.
#[derive(Debug, Default)]
pub(super) struct ServiceAdmission {
    routes: Vec<RouteEstimate>,
    route_indices: HashMap<Arc<str>, usize>,
    /// Slots that one program of each route needs, as of `updated`.
    slots_per_program: Vec<f64>,
    server_share: ServerShare,
    classes: Classes,
    programs: Programs,
    refused: RefusedPrograms,
    reservations: Reservations,
    updated: Timestamp,
}

/// A program that was rebuilt from the log.
#[derive(Clone, Debug)]
pub(super) struct RebuiltProgram {
    pub(super) class: u8,
    pub(super) team: Arc<str>,
    pub(super) route: Arc<str>,
    pub(super) began: Timestamp,
    pub(super) finish_in: Option<Duration>,
    pub(super) last_active: Timestamp,
    pub(super) slot_time: Duration,
}

impl ServiceAdmission {
    pub(super) fn check(
        &mut self,
        now: Timestamp,
        start: &ProgramStart<'_>,
        weights: &HashMap<Arc<str>, f64>,
    ) -> Result<(), Refusal> {
        self.advance(now);
        let route = self.route_index(start.route);
        if self.programs.contains(start.program) {
            // The command was sent again, as when its outcome was unknown.
            return Ok(());
        }
        let refused = self.refused.get(start.program);
        let first = refused.unwrap_or(FirstRequest { at: now, finish_in: start.finish_in });
        if refused.is_none() {
            let slot_seconds = self.routes[route].slot_seconds(first.finish_in);
            self.classes.record_arrival(now, start.class, start.team, slot_seconds);
        }
        let decision = self.decide(now, start, route, refused, weights);
        match &decision {
            Ok(()) => {
                self.refused.remove(start.program);
                self.reservations.remove(start.program);
                let program = Program {
                    class: start.class,
                    team: start.team.clone(),
                    route,
                    began: Some(now),
                    finish_in: start.finish_in,
                    open_turns: 0,
                    turns: 0,
                    lost_turn: false,
                    slot_time: Duration::ZERO,
                    last_active: now,
                    active: true,
                };
                self.add_active(start.class, start.team, route);
                self.programs.insert_idle(start.program, program);
            }
            Err(_) => self.refused.insert(start.program, first),
        }
        decision
    }

    fn decide(
        &mut self,
        now: Timestamp,
        start: &ProgramStart<'_>,
        route: usize,
        refused: Option<FirstRequest>,
        weights: &HashMap<Arc<str>, f64>,
    ) -> Result<(), Refusal> {
        let ProgramStart { class, team, program, capacity, .. } = *start;
        let slots = self.slots_per_program[route];
        let finish_in = refused.map_or(start.finish_in, |first| first.finish_in);
        let duration = self.routes[route].duration(finish_in);
        let slack =
            start.finish_in.map(|left| left.saturating_sub(duration.mul_f64(FEASIBLE_DURATION_RATIO)));
        let refuse = |this: &Self, reason, retry_after: Duration| {
            Err(Refusal { reason, retry_after, capacity, demand: this.classes.demand(now) })
        };
        let late = slack.is_some_and(|slack| slack.is_zero());
        let reserved = self.reservations.remove(program);
        // A service that is worth less than one program still runs one.
        let limit = if capacity > 0.0 { (capacity * MAX_UTILIZATION).max(slots) } else { 0.0 };
        let view = self.classes.view(now, class, &self.slots_per_program);
        let used = view.used + slots + view.kept_for_urgent;
        if reserved && !late && used <= limit + capacity * OVERRUN {
            return Ok(());
        }
        let ahead = used + self.reservations.slots_up_to(class);
        let share = self.classes.team_share(now, class, team, limit - view.urgent, weights);
        let team_use = self.classes.team_use(class, team, &self.slots_per_program)
            + self.reservations.slots_of_team(class, team);
        // Demand is known with a delay, so capacity that others leave free is lent whatever they asked for before.
        let lent = ahead <= capacity * MAX_UTILIZATION_FOR_LENT;
        let within_share = lent || team_use + slots <= share.slots.max(slots);
        if late {
            if within_share && ahead <= capacity * MAX_UTILIZATION_FOR_LATE {
                return Ok(());
            }
            return refuse(self, RefusalReason::Infeasible, start.patience);
        }
        // The overrun of others must not delay a team that keeps to its share, or a more urgent class.
        let for_share = if share.guaranteed { capacity * OVERRUN } else { 0.0 };
        let for_urgent = view.less_urgent.min(capacity * URGENT_OVERRUN);
        let overrun = for_share.max(for_urgent);
        if within_share && (ahead <= limit || overrun > 0.0 && used <= limit + overrun) {
            return Ok(());
        }
        let wait = self.time_until_free(ahead - limit, view.urgent / view.used.max(1.0));
        let over_share = (team_use + slots - share.slots).max(0.0);
        let of_others = 1.0 - team_use / view.used.max(1.0);
        let wait = wait.max(self.time_until_free(over_share, of_others));
        // Half of the slack is left for what may delay the program after it began.
        let latest = slack.map_or(MAX_RESERVED_WAIT, |slack| slack / 2).min(start.patience / 3);
        if wait <= MAX_RESERVED_WAIT.min(latest) {
            let delay = wait.max(MIN_RETRY_DELAY);
            self.reservations.insert(program, class, team, slots, now + delay);
            return refuse(self, RefusalReason::Reserved, delay);
        }
        let reason = match () {
            () if !within_share => RefusalReason::Share,
            () if ahead - view.kept_for_urgent <= limit => RefusalReason::Priority,
            () => RefusalReason::Capacity,
        };
        // No capacity is expected in time, and a caller that waits for the whole request does not retry it.
        refuse(self, reason, start.patience)
    }

    /// Expected time until programs that end have released a number of slots, of which a part is for others.
    fn time_until_free(&self, slots: f64, of_others: f64) -> Duration {
        if slots <= 0.0 {
            return Duration::ZERO;
        }
        let idle = IDLE_TIMEOUT.as_secs_f64();
        let seconds: Vec<f64> = self.routes.iter().map(|route| route.mean_seconds() + idle).collect();
        let rate = self.classes.release_rate(&self.slots_per_program, &seconds);
        let part = (1.0 - of_others).max(MIN_RELEASED_PART);
        Duration::try_from_secs_f64(slots / (rate * part)).unwrap_or(Duration::MAX)
    }

    /// Removes a program that was admitted but whose turn was not proposed. It counts as arriving anew when it returns.
    pub(super) fn withdraw(&mut self, program: &Arc<str>) {
        if let Some(program) = self.programs.remove_unstarted(program) {
            if program.active {
                self.remove_active(program.class, &program.team, program.route);
            }
            let slot_seconds = self.routes[program.route].slot_seconds(program.finish_in);
            self.classes.withdraw_arrival(program.last_active, program.class, &program.team, slot_seconds);
        }
    }

    /// Records that a turn began. A program that was not admitted here began before this replica led or on another service.
    pub(super) fn begin(
        &mut self,
        now: Timestamp,
        program: &Arc<str>,
        class: u8,
        team: &Arc<str>,
        route: &Arc<str>,
    ) {
        self.advance(now);
        if !self.programs.contains(program) {
            let route = self.route_index(route);
            let unknown = Program {
                class,
                team: team.clone(),
                route,
                began: None,
                finish_in: None,
                open_turns: 0,
                turns: 0,
                lost_turn: false,
                slot_time: Duration::ZERO,
                last_active: now,
                active: true,
            };
            self.programs.insert_idle(program, unknown);
            self.add_active(class, team, route);
        }
        self.begin_known(program);
    }

    /// Records that a turn of a known program began.
    pub(super) fn begin_known(&mut self, program: &Arc<str>) {
        if let Some((begun, activated)) = self.programs.begin_turn(program) {
            let (class, team, route) = (begun.class, begun.team.clone(), begun.route);
            self.routes[route].open_turns += 1;
            if activated {
                self.add_active(class, &team, route);
            }
        }
    }

    /// Records that a turn ended that was open for a time.
    pub(super) fn finish(
        &mut self,
        now: Timestamp,
        program: &Arc<str>,
        open: Duration,
        server_time: Option<Duration>,
    ) {
        self.advance(now);
        if let Some(program) = self.programs.finish_turn(now, program, server_time) {
            let route = &mut self.routes[program.route];
            route.open_turns = route.open_turns.saturating_sub(1);
        }
        if let Some(server_time) = server_time {
            self.server_share.record(open, server_time);
        }
    }

    /// Records that a turn ended without a report, as when its entry was lost.
    pub(super) fn lose_turn(&mut self, now: Timestamp, program: &Arc<str>, open: Duration) {
        self.programs.mark_lost_turn(program);
        self.finish(now, program, open, None);
    }

    /// Whether a program is known here.
    pub(super) fn knows(&self, program: &Arc<str>) -> bool {
        self.programs.contains(program)
    }

    /// Adds a program that the log holds.
    pub(super) fn rebuild(&mut self, now: Timestamp, name: &Arc<str>, rebuilt: RebuiltProgram) {
        let route = self.route_index(&rebuilt.route);
        let slot_seconds = self.routes[route].slot_seconds(rebuilt.finish_in);
        self.classes.record_arrival(rebuilt.began, rebuilt.class, &rebuilt.team, slot_seconds);
        let program = Program {
            class: rebuilt.class,
            team: rebuilt.team,
            route,
            began: Some(rebuilt.began),
            finish_in: rebuilt.finish_in,
            open_turns: 0,
            turns: 1,
            lost_turn: false,
            slot_time: rebuilt.slot_time,
            last_active: rebuilt.last_active,
            active: true,
        };
        self.add_active(program.class, &program.team, route);
        self.programs.insert_idle(name, program);
        self.updated = self.updated.max(now);
    }

    /// Drops what has ended and takes the counts of the rest as means.
    pub(super) fn complete_rebuild(&mut self, now: Timestamp) {
        self.advance(now);
        for route in &mut self.routes {
            route.seed_means();
        }
        self.advance(now);
    }

    /// Open turns, active programs and reservations.
    pub(super) fn counts(&self) -> (u32, u32, usize) {
        let sum = |count: fn(&RouteEstimate) -> u32| self.routes.iter().map(count).sum();
        (sum(|route| route.open_turns), sum(|route| route.programs), self.reservations.len())
    }

    /// Programs that are remembered.
    pub(super) fn remembered(&self) -> usize {
        self.programs.len()
    }

    fn route_index(&mut self, name: &Arc<str>) -> usize {
        if let Some(index) = self.route_indices.get(name) {
            return *index;
        }
        if self.routes.len() >= MAX_ROUTES {
            return MAX_ROUTES - 1;
        }
        let index = self.routes.len();
        self.routes.push(RouteEstimate::default());
        self.slots_per_program.push(self.slots_of(index));
        self.route_indices.insert(name.clone(), index);
        index
    }

    fn slots_of(&self, route: usize) -> f64 {
        self.routes[route].slots_per_program(self.server_share.value())
    }

    fn add_active(&mut self, class: u8, team: &Arc<str>, route: usize) {
        self.routes[route].programs += 1;
        self.classes.add_program(class, team, route);
    }

    fn remove_active(&mut self, class: u8, team: &Arc<str>, route: usize) {
        let estimate = &mut self.routes[route];
        estimate.programs = estimate.programs.saturating_sub(1);
        self.classes.remove_program(class, team, route);
    }

    /// Advances the estimates and removes what has expired.
    pub(super) fn advance(&mut self, now: Timestamp) {
        self.refused.expire(now);
        self.reservations.expire(now);
        while let Some(idle) = self.programs.pop_idle(now) {
            let (class, team, route) = (idle.class, idle.team.clone(), idle.route);
            self.remove_active(class, &team, route);
        }
        while let Some(ended) = self.programs.pop_ended(now) {
            if let Some(began) = ended.began.filter(|_| ended.turns > 0 && !ended.lost_turn) {
                self.routes[ended.route].record(EndedProgram {
                    duration: ended.last_active.since(began),
                    slot_time: ended.slot_time,
                    finish_in: ended.finish_in,
                });
            }
        }
        let decay = decay(now.since(self.updated));
        self.updated = now;
        self.server_share.advance(decay);
        for index in 0..self.routes.len() {
            self.routes[index].advance(decay);
            self.slots_per_program[index] = self.slots_of(index);
        }
    }
}
