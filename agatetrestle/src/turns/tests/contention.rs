//! Replays contention between teams and routes in virtual time through the leader's admission and the replicated state.
//!
//! Programs of an urgent route have about 3 turns, those of a less urgent one about 9, some of which start sub-agents. One
//! team sends a multiple of its usual load for 6 s. Engines are chosen as the less loaded of two, so the replay shows the
//! admission and not the dispatch of the entries. A caller retries a refused request once, after the returned delay but at
//! most a third of the time that is left, and sends a failed turn again twice.

mod alternatives;
mod leader;
mod scenarios;

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::collections::HashMap;
use std::collections::VecDeque;
use std::sync::Arc;

use crate::clock::Timestamp;
use crate::scheduler::random::Random;

const ENGINES: usize = 48;
const SLOTS_PER_ENGINE: u32 = 6;
const SLOTS: u32 = 288;
/// Times are in microseconds.
const MILLISECOND: u64 = 1_000;
const SECOND: u64 = 1_000_000;
const COMMIT_US: u64 = 8 * MILLISECOND;
const SERVICE_US: u64 = 200 * MILLISECOND;
const PAUSE_US: u64 = 250 * MILLISECOND;
const REQUEST_TIMEOUT_US: u64 = 3 * SECOND;
/// Times that a failed turn is sent again.
const MAX_RESENDS: u32 = 2;
const TEAMS: usize = 20;
/// The team that sends more, and its part of the usual load of the less urgent route in hundredths.
const BURST_TEAM: usize = 0;
const BURST_TEAM_PART: u64 = 20;
/// Programs per second of the urgent route and of the other one, three quarters of what the engines can do together.
const URGENT_PER_SECOND: u64 = 92;
const OTHER_PER_SECOND: u64 = 62;
const BURST: std::ops::Range<u64> = 5..11;
const SIMULATED_SECONDS: u64 = 13;
const URGENT: usize = 0;
const OTHER: usize = 1;

/// What an admission knows of a program.
pub(super) struct Program {
    name: Arc<str>,
    team: usize,
    route: usize,
    start: u64,
    deadline: u64,
    remaining_turns: u64,
    fork_points: Vec<u64>,
    open_subagents: u64,
    begun: bool,
    /// Responses 503 and the outcome.
    refusals: u32,
    on_time: bool,
}

/// A rule that decides which programs may begin.
pub(super) trait Admission {
    /// Returns the retry delay in milliseconds if a program may not begin.
    fn admit(&mut self, now: u64, program: &Program, turn: &Arc<str>, patience: u64) -> Result<(), u64>;
    fn begin(&mut self, now: u64, program: &Program, turn: &Arc<str>, patience: u64);
    fn finish(&mut self, now: u64, program: &Program, turn: &Arc<str>, server_us: u64);
    /// Replaces the leader.
    fn replace_leader(&mut self) {}
}

#[derive(Clone, Copy, Debug)]
pub(super) struct Load {
    pub(super) seed: u64,
    /// Multiple of the burst team's usual load during the burst, in tenths.
    pub(super) burst_tenths: u64,
    /// Second at which the leader is replaced.
    pub(super) leader_lost: Option<u64>,
    /// Engines that are slower by a factor of five during the burst.
    pub(super) slow_engines: usize,
    /// Whether a caller that is told to wait for longer than it will gives the request up at once.
    pub(super) strict_patience: bool,
}

#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Event {
    /// A turn is requested: its program, the turns left of its sub-agent, how often it failed, and the time at which its
    /// first request was refused.
    Request {
        program: usize,
        subagent_turns: u64,
        resends: u32,
        refused_at: Option<u64>,
    },
    Deliver {
        turn: u64,
    },
    Complete {
        turn: u64,
    },
    ReplaceLeader,
}

struct Turn {
    program: usize,
    subagent_turns: u64,
    name: Arc<str>,
    engine: usize,
    sent: u64,
}

struct Engine {
    running: u32,
    queue: VecDeque<u64>,
}

struct Replay<'a> {
    admission: &'a mut dyn Admission,
    rng: Random,
    events: BinaryHeap<Reverse<(u64, u64, Event)>>,
    sequence: u64,
    programs: Vec<Program>,
    turns: HashMap<u64, Turn>,
    engines: Vec<Engine>,
    max_open_turns: usize,
    slow_engines: usize,
    strict_patience: bool,
}

/// What became of the programs, and the most turns that were open at once.
pub(super) struct Outcome {
    programs: Vec<Program>,
    pub(super) max_open_turns: usize,
}

impl Outcome {
    /// Part of the chosen programs that started during the burst and ended in time.
    pub(super) fn on_time(&self, chosen: impl Fn(&Program) -> bool) -> f64 {
        let in_burst = |program: &&Program| BURST.contains(&(program.start / SECOND)) && chosen(program);
        let programs: Vec<&Program> = self.programs.iter().filter(in_burst).collect();
        let on_time = programs.iter().filter(|program| program.on_time).count();
        ratio(on_time, programs.len())
    }

    fn on_time_of_team(&self, team: usize) -> f64 {
        self.on_time(|program| program.team == team)
    }

    pub(super) fn worst_other_team(&self) -> f64 {
        let teams = (0..TEAMS).filter(|team| *team != BURST_TEAM);
        teams.map(|team| self.on_time_of_team(team)).fold(1.0, f64::min)
    }

    pub(super) fn other_teams(&self) -> f64 {
        self.on_time(|program| program.team != BURST_TEAM)
    }

    /// Part of a route's programs of the burst that began.
    pub(super) fn begun_of_route(&self, route: usize) -> f64 {
        let chosen = |program: &&Program| BURST.contains(&(program.start / SECOND)) && program.route == route;
        let programs: Vec<&Program> = self.programs.iter().filter(chosen).collect();
        ratio(programs.iter().filter(|program| program.begun).count(), programs.len())
    }

    /// Responses 503 for each refused program of the other teams.
    pub(super) fn refusals_of_other_teams(&self) -> f64 {
        let refused = |program: &&Program| program.team != BURST_TEAM && program.refusals > 0;
        let refusals: Vec<u32> =
            self.programs.iter().filter(refused).map(|program| program.refusals).collect();
        ratio(usize::try_from(refusals.iter().sum::<u32>()).unwrap(), refusals.len())
    }

    pub(super) fn on_time_of_route(&self, route: usize) -> f64 {
        self.on_time(|program| program.route == route)
    }

    /// Responses 503 for each program that received one, and for each that never began.
    pub(super) fn refusals(&self) -> (f64, f64) {
        let total: u32 = self.programs.iter().map(|program| program.refusals).sum();
        let refused = self.programs.iter().filter(|program| program.refusals > 0).count();
        let rejected: Vec<&Program> = self.programs.iter().filter(|program| !program.begun).collect();
        let of_rejected: u32 = rejected.iter().map(|program| program.refusals).sum();
        let total = ratio(usize::try_from(total).unwrap(), refused);
        (total, ratio(usize::try_from(of_rejected).unwrap(), rejected.len()))
    }

    pub(super) fn total_on_time(&self) -> usize {
        let in_burst = |program: &&Program| BURST.contains(&(program.start / SECOND)) && program.on_time;
        self.programs.iter().filter(in_burst).count()
    }
}

fn ratio(part: usize, whole: usize) -> f64 {
    #[expect(clippy::cast_precision_loss)]
    let ratio = part as f64 / whole.max(1) as f64;
    ratio
}

pub(super) fn replay(load: Load, admission: &mut dyn Admission) -> Outcome {
    let engine = || Engine { running: 0, queue: VecDeque::new() };
    let mut replay = Replay {
        admission,
        rng: Random::new(load.seed),
        events: BinaryHeap::new(),
        sequence: 0,
        programs: Vec::new(),
        turns: HashMap::new(),
        engines: std::iter::repeat_with(engine).take(ENGINES).collect(),
        max_open_turns: 0,
        slow_engines: load.slow_engines,
        strict_patience: load.strict_patience,
    };
    for second in 0..SIMULATED_SECONDS {
        for number in 0..URGENT_PER_SECOND + OTHER_PER_SECOND {
            let route = if number < URGENT_PER_SECOND { URGENT } else { OTHER };
            let team = replay.pick_team(route);
            replay.add_program(second, route, team);
        }
    }
    // The additional programs come last, so that all others are the same with and without them.
    for second in BURST {
        for _ in 0..OTHER_PER_SECOND * BURST_TEAM_PART * load.burst_tenths.saturating_sub(10) / 1_000 {
            replay.add_program(second, OTHER, BURST_TEAM);
        }
    }
    if let Some(second) = load.leader_lost {
        replay.schedule(second * SECOND, Event::ReplaceLeader);
    }
    while let Some(Reverse((now, _, event))) = replay.events.pop() {
        replay.step(now, event);
    }
    Outcome { programs: replay.programs, max_open_turns: replay.max_open_turns }
}

impl Replay<'_> {
    fn pick_team(&mut self, route: usize) -> usize {
        if route == OTHER && self.rng.below(100) < BURST_TEAM_PART {
            BURST_TEAM
        } else {
            1 + self.rng.index(TEAMS - 1)
        }
    }

    fn add_program(&mut self, second: u64, route: usize, team: usize) {
        let start = second * SECOND + self.rng.below(SECOND);
        let turns = if route == URGENT { 2 + self.rng.below(3) } else { 6 + self.rng.below(7) };
        let forks = route == OTHER;
        let fork_points: Vec<u64> = (1..turns).filter(|_| self.rng.below(100) < 5 && forks).collect();
        let total = turns + fork_points.len() as u64 * 2;
        let unloaded = total * (SERVICE_US + 2 * COMMIT_US) + (total - 1) * PAUSE_US;
        let (factor, margin) = (120 + self.rng.below(31), 200 + self.rng.below(201));
        self.programs.push(Program {
            name: format!("p-{}", self.programs.len()).into(),
            team,
            route,
            start,
            deadline: start + unloaded * factor / 100 + margin * MILLISECOND,
            remaining_turns: turns,
            fork_points,
            open_subagents: 0,
            begun: false,
            refusals: 0,
            on_time: false,
        });
        let program = self.programs.len() - 1;
        let event = Event::Request { program, subagent_turns: 0, resends: 0, refused_at: None };
        self.schedule(start, event);
    }

    fn schedule(&mut self, time: u64, event: Event) {
        self.sequence += 1;
        self.events.push(Reverse((time, self.sequence, event)));
    }

    fn step(&mut self, now: u64, event: Event) {
        match event {
            Event::Request { program, subagent_turns, resends, refused_at } => {
                self.request(now, program, subagent_turns, resends, refused_at);
            }
            Event::Deliver { turn } => self.deliver(now, turn),
            Event::Complete { turn } => self.complete(now, turn),
            Event::ReplaceLeader => self.admission.replace_leader(),
        }
    }

    fn request(
        &mut self,
        now: u64,
        index: usize,
        subagent_turns: u64,
        resends: u32,
        refused_at: Option<u64>,
    ) {
        self.sequence += 1;
        let ticket = self.sequence;
        let name: Arc<str> = ticket.to_string().into();
        let patience = REQUEST_TIMEOUT_US - refused_at.map_or(0, |at| now - at);
        let program = &mut self.programs[index];
        if !program.begun
            && let Err(millis) = self.admission.admit(now, program, &name, patience)
        {
            program.refusals += 1;
            let gives_up = self.strict_patience && millis * MILLISECOND > patience / 3;
            if refused_at.is_none() && !gives_up {
                let delay = (millis * MILLISECOND).min(patience / 3);
                let retry = Event::Request { program: index, subagent_turns, resends, refused_at: Some(now) };
                self.schedule(now + delay, retry);
            } else if resends < MAX_RESENDS {
                let delay = (100 + self.rng.below(301)) * MILLISECOND;
                let resend =
                    Event::Request { program: index, subagent_turns, resends: resends + 1, refused_at: None };
                self.schedule(now + delay, resend);
            }
            return;
        }
        program.begun = true;
        self.admission.begin(now, program, &name, patience);
        let (a, b) = (self.rng.index(ENGINES), self.rng.index(ENGINES));
        let load = |engine: usize| self.engines[engine].queue.len() + self.engines[engine].running as usize;
        let engine = if load(a) <= load(b) { a } else { b };
        let sent = now + COMMIT_US;
        self.turns.insert(ticket, Turn { program: index, subagent_turns, name, engine, sent });
        self.max_open_turns = self.max_open_turns.max(self.turns.len());
        self.schedule(sent, Event::Deliver { turn: ticket });
    }

    fn service_time(&self, now: u64, turn: u64) -> u64 {
        let slow = self.turns[&turn].engine < self.slow_engines && BURST.contains(&(now / SECOND));
        if slow { SERVICE_US * 5 } else { SERVICE_US }
    }

    fn deliver(&mut self, now: u64, turn: u64) {
        let engine = &mut self.engines[self.turns[&turn].engine];
        if engine.running < SLOTS_PER_ENGINE {
            engine.running += 1;
            self.schedule(now + self.service_time(now, turn), Event::Complete { turn });
        } else {
            engine.queue.push_back(turn);
        }
    }

    fn complete(&mut self, now: u64, ticket: u64) {
        let turn = self.turns.remove(&ticket).unwrap();
        let engine = &mut self.engines[turn.engine];
        match engine.queue.pop_front() {
            Some(next) => {
                let ends = now + self.service_time(now, next);
                self.schedule(ends, Event::Complete { turn: next });
            }
            None => engine.running -= 1,
        }
        let ended = now + COMMIT_US;
        let program = &mut self.programs[turn.program];
        self.admission.finish(ended, program, &turn.name, now - turn.sent);
        let next = |subagent_turns| Event::Request {
            program: turn.program,
            subagent_turns,
            resends: 0,
            refused_at: None,
        };
        let at = ended + PAUSE_US;
        if turn.subagent_turns > 1 {
            return self.schedule(at, next(turn.subagent_turns - 1));
        }
        if turn.subagent_turns == 1 {
            program.open_subagents -= 1;
            if program.open_subagents == 0 {
                self.schedule(at, next(0));
            }
            return;
        }
        program.remaining_turns -= 1;
        if program.fork_points.contains(&program.remaining_turns) {
            program.open_subagents = 5;
            for _ in 0..5 {
                self.schedule(at, next(2));
            }
        } else if program.remaining_turns > 0 {
            self.schedule(at, next(0));
        } else {
            program.on_time = ended <= program.deadline;
        }
    }
}

fn at(micros: u64) -> Timestamp {
    Timestamp(micros)
}
