//! Limits the programs that are active on a service at once.
//!
//! When more programs run than the servers have slots for, all of them slow down until none meets its deadline, and the
//! overload outlasts the burst that caused it. The leader of a state group sees every turn of its programs begin and end,
//! through any entry, and so knows the slots that active programs need. Alternatives are compared in
//! docs/design/014-teams-and-whole-programs.md.

use std::collections::BTreeSet;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64;

use crate::clock::Timestamp;
use crate::turns::command::TurnId;

/// Part of a service's slots that active programs may need together. Above 1, since a short queue keeps servers busy and
/// programs have a third of their time as slack.
const MAX_UTILIZATION: f64 = 1.1;
/// The same for a program that has waited long. It would likely miss its deadline while it takes slots from newer programs.
const MAX_UTILIZATION_AFTER_WAIT: f64 = 0.8;
/// Part of a program's total time after which it counts as having waited long. The shortest retry delay is as long for a
/// program of a few seconds.
const LONG_WAIT_RATIO: f64 = 0.03;
/// Time without an open turn for which a program still counts as active. Longer than most pauses between turns; a longer
/// timeout counts more programs that have ended.
const PROGRAM_IDLE_TIMEOUT: Duration = Duration::from_millis(700);
/// Time after which a rejected program is dropped. Callers retry within a few seconds or not at all.
const REJECTED_EXPIRY: Duration = Duration::from_secs(10);
/// Time beyond its caller's timeout after which a turn counts as ended without a report, as when its entry was lost. The
/// turns of 9 entries of 57 that lost power would otherwise take an eighth of the slots until then.
const LOST_TURN_GRACE: Duration = Duration::from_millis(200);
/// Time constant of the moving averages. Longer than most programs last, since programs that began together need fewer slots
/// at first than later.
const LOAD_TIME_CONSTANT: Duration = Duration::from_secs(8);
/// Slots that a program is assumed to need before any measurement.
const PRIOR_SLOTS_PER_PROGRAM: f64 = 0.5;
/// Weight of that assumption, in programs, so that the first few don't set it.
const PRIOR_PROGRAMS: f64 = 8.0;
/// Weight of the assumption that turns spend all their time on a server, in seconds.
const PRIOR_TURN_SECONDS: f64 = 2.0;
/// Minimum retry delay of a rejected program, and the range of the jitter added to it, so that programs do not return
/// together. A program has a third to a half of its time as slack, some 0.5 s and more.
const RETRY_DELAY_MS: (u64, u64) = (200, 300);

#[derive(Debug)]
struct OpenTurn {
    service: Arc<str>,
    program: Arc<str>,
    begun: Timestamp,
    expires: Timestamp,
}

#[derive(Debug)]
struct Program {
    route: Arc<str>,
    open_turns: u32,
    last_active: Timestamp,
}

/// Load of one route's programs, which need more similar numbers of slots than programs of different routes.
#[derive(Debug, Default)]
struct RouteLoad {
    programs: u32,
    open_turns: u32,
    mean_open_turns: f64,
    mean_programs: f64,
}

/// Load of one service.
#[derive(Debug, Default)]
struct ServiceLoad {
    routes: HashMap<Arc<str>, RouteLoad>,
    programs: HashMap<Arc<str>, Program>,
    /// Programs without an open turn, by the end of their last one.
    idle: BTreeSet<(Timestamp, Arc<str>)>,
    /// Decaying sums over completed turns: time that they were open, and the part of it spent on a server.
    turn_seconds: f64,
    server_seconds: f64,
    updated: Timestamp,
}

/// A program that asks to begin.
#[derive(Clone, Copy, Debug)]
pub struct ProgramStart<'a> {
    /// The service that its first turn is sent to.
    pub service: &'a Arc<str>,
    /// The route that its first turn arrived on.
    pub route: &'a Arc<str>,
    /// Requests that the service's servers run concurrently.
    pub slots: u32,
    /// The program's key.
    pub program: &'a Arc<str>,
    /// Its first turn, which seeds the jitter of the retry delay.
    pub turn: &'a TurnId,
    /// Time until its deadline; `None` without a deadline.
    pub finish_in: Option<Duration>,
}

/// A turn that begins.
#[derive(Clone, Copy, Debug)]
pub struct TurnStart<'a> {
    /// The service that it is sent to.
    pub service: &'a Arc<str>,
    /// The route that it arrived on.
    pub route: &'a Arc<str>,
    /// The program that it belongs to.
    pub program: &'a Arc<str>,
    /// The turn's identifier.
    pub turn: &'a TurnId,
    /// Time that the caller waits for the answer.
    pub timeout: Duration,
}

impl ProgramStart<'_> {
    fn has_waited_long(&self, waited: Duration) -> bool {
        self.finish_in.is_some_and(|left| waited > (left + waited).mul_f64(LONG_WAIT_RATIO))
    }
}

/// Limits active programs on each service, by the turns of one state group.
#[derive(Debug, Default)]
pub struct ProgramLimiter {
    services: HashMap<Arc<str>, ServiceLoad>,
    open_turns: HashMap<TurnId, OpenTurn>,
    turns_by_expiry: BTreeSet<(Timestamp, TurnId)>,
    /// Rejected programs with the time of their first rejection.
    rejected: HashMap<Arc<str>, Timestamp>,
    rejected_by_time: BTreeSet<(Timestamp, Arc<str>)>,
}

impl ProgramLimiter {
    /// Decides whether a program may begin.
    ///
    /// # Errors
    ///
    /// The retry delay in milliseconds if it may not.
    pub fn admit(&mut self, now: Timestamp, start: ProgramStart<'_>) -> Result<(), u64> {
        self.expire(now);
        let ProgramStart { service, route, slots, program, turn, .. } = start;
        let load = self.services.entry(service.clone()).or_default();
        load.advance(now);
        load.routes.entry(route.clone()).or_default();
        let waited_long =
            self.rejected.get(program).is_some_and(|first| start.has_waited_long(now.since(*first)));
        let utilization = if waited_long { MAX_UTILIZATION_AFTER_WAIT } else { MAX_UTILIZATION };
        if load.required_slots(route) <= f64::from(slots) * utilization {
            self.remove_rejected(program);
            return Ok(());
        }
        if !self.rejected.contains_key(program) {
            self.rejected.insert(program.clone(), now);
            self.rejected_by_time.insert((now, program.clone()));
        }
        let (delay, jitter) = RETRY_DELAY_MS;
        Err(delay + xxh3_64(turn.as_bytes()) % jitter)
    }

    fn remove_rejected(&mut self, program: &Arc<str>) {
        if let Some(first) = self.rejected.remove(program) {
            self.rejected_by_time.remove(&(first, program.clone()));
        }
    }

    /// Records that a turn began.
    pub fn begin(&mut self, now: Timestamp, turn: TurnStart<'_>) {
        let TurnStart { service, route, program, turn, timeout } = turn;
        self.expire(now);
        if self.open_turns.contains_key(turn) {
            return;
        }
        let expires = now + timeout + LOST_TURN_GRACE;
        let open = OpenTurn { service: service.clone(), program: program.clone(), begun: now, expires };
        self.open_turns.insert(turn.clone(), open);
        self.turns_by_expiry.insert((expires, turn.clone()));
        let load = self.services.entry(service.clone()).or_default();
        load.advance(now);
        load.begin(now, program, route);
    }

    /// Records that a turn ended, with its time on a server if one completed it.
    pub fn finish(&mut self, now: Timestamp, turn: &TurnId, server_time: Option<Duration>) {
        if let Some(open) = self.open_turns.remove(turn)
            && let Some(load) = self.services.get_mut(&open.service)
        {
            self.turns_by_expiry.remove(&(open.expires, turn.clone()));
            load.advance(now);
            load.finish(now, &open.program);
            if let Some(server_time) = server_time {
                load.turn_seconds += now.since(open.begun).as_secs_f64();
                load.server_seconds += server_time.as_secs_f64();
            }
        }
    }

    /// Open turns and active programs on all services.
    #[must_use]
    pub fn counts(&self) -> (usize, usize) {
        (self.open_turns.len(), self.services.values().map(|load| load.programs.len()).sum())
    }

    /// Drops old rejections and ends turns whose caller has timed out.
    fn expire(&mut self, now: Timestamp) {
        while let Some((first, _)) = self.rejected_by_time.first()
            && now.since(*first) > REJECTED_EXPIRY
            && let Some((_, program)) = self.rejected_by_time.pop_first()
        {
            self.rejected.remove(&program);
        }
        while let Some((expires, _)) = self.turns_by_expiry.first()
            && *expires < now
            && let Some((_, turn)) = self.turns_by_expiry.pop_first()
        {
            self.finish(now, &turn, None);
        }
    }
}

impl ServiceLoad {
    /// Slots that the active programs and one more on this route need.
    fn required_slots(&self, new_route: &str) -> f64 {
        let added = |route: &str| u32::from(route == new_route);
        let slots = self.routes.iter().map(|(name, route)| route.required_slots(added(name))).sum::<f64>();
        let server_share =
            (self.server_seconds + PRIOR_TURN_SECONDS) / (self.turn_seconds + PRIOR_TURN_SECONDS);
        slots * server_share.min(1.0)
    }

    fn begin(&mut self, now: Timestamp, name: &Arc<str>, route: &Arc<str>) {
        let new_program = || Program { route: route.clone(), open_turns: 0, last_active: now };
        let program = self.programs.entry(name.clone()).or_insert_with(new_program);
        let route = self.routes.entry(program.route.clone()).or_default();
        route.open_turns += 1;
        // An idle program is already counted.
        if program.open_turns == 0 && !self.idle.remove(&(program.last_active, name.clone())) {
            route.programs += 1;
        }
        program.open_turns += 1;
    }

    fn finish(&mut self, now: Timestamp, name: &Arc<str>) {
        let Some(program) = self.programs.get_mut(name) else {
            return;
        };
        if let Some(route) = self.routes.get_mut(&program.route) {
            route.open_turns = route.open_turns.saturating_sub(1);
        }
        program.open_turns = program.open_turns.saturating_sub(1);
        if program.open_turns == 0 {
            program.last_active = now;
            self.idle.insert((now, name.clone()));
        }
    }

    /// Removes programs that have been idle too long and updates the moving averages.
    fn advance(&mut self, now: Timestamp) {
        while let Some((last_active, _)) = self.idle.first()
            && now.since(*last_active) > PROGRAM_IDLE_TIMEOUT
            && let Some((_, name)) = self.idle.pop_first()
        {
            let ended = self.programs.remove(&name);
            if let Some(route) = ended.and_then(|program| self.routes.get_mut(&program.route)) {
                route.programs = route.programs.saturating_sub(1);
            }
        }
        let elapsed = now.since(self.updated).as_secs_f64() / LOAD_TIME_CONSTANT.as_secs_f64();
        let decay = (-elapsed).exp();
        self.updated = now;
        self.turn_seconds *= decay;
        self.server_seconds *= decay;
        for route in self.routes.values_mut() {
            route.mean_open_turns =
                route.mean_open_turns * decay + f64::from(route.open_turns) * (1.0 - decay);
            route.mean_programs = route.mean_programs * decay + f64::from(route.programs) * (1.0 - decay);
        }
    }
}

impl RouteLoad {
    /// Slots that its programs and some added ones need.
    fn required_slots(&self, added: u32) -> f64 {
        let per_program = (self.mean_open_turns + PRIOR_SLOTS_PER_PROGRAM * PRIOR_PROGRAMS)
            / (self.mean_programs + PRIOR_PROGRAMS);
        f64::from(self.programs + added) * per_program
    }
}
