//! Simulates a burst of programs in virtual time, with the real dispatch of each entry and the real program limiter.
//!
//! Programs have 1 to 13 turns, some followed by sub-agents, and a deadline relative to their duration on idle engines.
//! Rejected programs retry after the returned delay. Engines may differ in speed, and the leaders of the state groups may place
//! the turns.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::BinaryHeap;
use std::collections::HashMap;
use std::collections::HashSet;
use std::sync::Arc;
use std::time::Duration;

use crate::clock::Timestamp;
use crate::dispatch::Decision;
use crate::dispatch::Dispatch;
use crate::dispatch::Instance;
use crate::dispatch::Request;
use crate::dispatch::RequestOutcome;
use crate::dispatch::RequestProfile;
use crate::dispatch::ServerKey;
use crate::dispatch::ServerLoad;
use crate::ids::NodeId;
use crate::scheduler::random::Random;
use crate::turns::command::AdmissionParams;
use crate::turns::command::Begin;
use crate::turns::command::Candidate;
use crate::turns::command::Finish;
use crate::turns::command::MAX_CANDIDATES;
use crate::turns::limiter::ProgramLimiter;
use crate::turns::limiter::ProgramStart;
use crate::turns::limiter::TurnStart;
use crate::turns::placement::Placement;
use crate::turns::placement::ServiceReport;

const ENTRIES: usize = 57;
const ENGINES: usize = 48;
const SLOTS_PER_ENGINE: u32 = 6;
const MAX_QUEUE_PER_ENGINE: usize = 18;
const SERVICE: &str = "engines";
/// Times of the simulation are in microseconds.
const MILLISECOND: u64 = 1_000;
const SECOND: u64 = 1_000_000;
const NETWORK_DELAY_US: u64 = MILLISECOND;
const COMMIT_DELAY_US: u64 = 8 * MILLISECOND;
const SERVICE_TIME_US: u64 = 200 * MILLISECOND;
const TURN_PAUSE_US: u64 = 250 * MILLISECOND;
const TURN_TIMEOUT_US: u64 = 3 * SECOND;
/// Attempts at a turn before its program fails.
const MAX_TURN_ATTEMPTS: u32 = 6;
/// Programs per second: the capacity of the engines, the load outside the burst and the load of the burst.
const ENGINE_CAPACITY_PER_SECOND: u32 = 86;
const BASE_LOAD_PER_SECOND: u64 = 56;
const BURST_LOAD_PER_SECOND: u64 = 138;
/// Sub-agents that run concurrently after some turns, and the turns of each.
const SUBAGENTS: u64 = 5;
const TURNS_PER_SUBAGENT: u64 = 2;
const BURST_START_SECOND: u64 = 6;
const BURST_END_SECOND: u64 = 12;
const SIMULATED_SECONDS: u64 = 22;
/// Percentage by which each other running turn slows a turn down on engines of uneven speed.
const CONCURRENCY_SLOWDOWN_PERCENT: u64 = 3;
/// Speeds of uneven engines: the time of a turn in hundredths of the average.
const UNEVEN_SPEED_PERCENT: (u64, u64) = (60, 144);
/// Each fifth engine is five times slower in these seconds of a scenario with slow engines.
const SLOW_SECONDS: std::ops::Range<u64> = 3..7;
/// Time for which an engine is slowed down by other workloads on its machine.
const CONTENTION_US: u64 = 600 * MILLISECOND;
/// Time without placement after the leaders are lost.
const ELECTION_US: u64 = SECOND;

#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Event {
    Arrive {
        program: usize,
        attempts: u32,
        subagent_turns: u64,
    },
    /// The reservation is committed and the entry dispatches the turn.
    Dispatch {
        ticket: u64,
    },
    Tick {
        entry: usize,
    },
    Deliver {
        engine: usize,
        ticket: u64,
    },
    Complete {
        engine: usize,
        ticket: u64,
    },
    Respond {
        engine: usize,
        ticket: u64,
        load: (u32, u32),
        full: bool,
    },
    Timeout {
        ticket: u64,
    },
    /// The end of the turn is committed.
    Settle {
        ticket: u64,
    },
}

/// Speeds of the engines.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Speeds {
    /// Each turn takes [`SERVICE_TIME_US`].
    Even,
    /// Turns differ in size, and engines differ by a factor of 2.4.
    Uneven,
    /// Turns differ in size, and a fifth of the engines is five times slower in [`SLOW_SECONDS`].
    FifthSlow,
    /// Turns differ in size, and 15 in 100 engines are 2.5 times slower for [`CONTENTION_US`] at a time, others each time.
    Contended,
}

/// Parameters of a simulation.
#[derive(Clone, Copy, Debug)]
pub(super) struct Scenario {
    pub(super) with_limiter: bool,
    pub(super) seconds: u64,
    /// Programs that start in a second of the burst, and in any other.
    pub(super) burst_load: u64,
    pub(super) base_load: u64,
    pub(super) speeds: Speeds,
    /// State groups whose leaders place turns; 0 leaves the choice to each entry.
    pub(super) groups: usize,
    /// Time at which all leaders are lost.
    pub(super) leaders_lost_at: Option<u64>,
    /// Whether the first entry reports each of its turns as failed, and the second one ten times their run time.
    pub(super) wrong_reports: bool,
}

#[derive(Default)]
struct Engine {
    running: u32,
    queue: BTreeSet<(u8, u64)>,
}

struct Program {
    started_at: u64,
    deadline: u64,
    remaining_turns: u64,
    /// Numbers of remaining turns at which sub-agents start.
    fork_points: Vec<u64>,
    open_subagents: u64,
    begun: bool,
}

struct Turn {
    program: usize,
    attempts: u32,
    /// Remaining turns of its sub-agent, including this one; 0 for a turn of the program itself.
    subagent_turns: u64,
    entry: usize,
    expires: u64,
    sent_at: u64,
    excluded: Vec<ServerKey>,
    arrived_at: u64,
    engine: Option<usize>,
    /// Load of the engine when it started the turn.
    load: Option<(u32, u32)>,
}

/// Outcomes of the programs that started in one second.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct SecondStats {
    pub(super) begun: u32,
    pub(super) on_time: u32,
    rejected: u32,
}

/// Results of a simulation.
pub(super) struct Results {
    pub(super) seconds: Vec<SecondStats>,
    /// Sorted times of completed turns from their arrival, in microseconds.
    pub(super) latencies: Vec<u64>,
    /// Reports of the leaders, the first group first.
    pub(super) reports: Vec<ServiceReport>,
}

struct Simulation {
    scenario: Scenario,
    leaders: Vec<Placement>,
    /// Ends of turns that are not committed yet, by ticket.
    settling: HashMap<u64, (usize, Finish)>,
    latencies: Vec<u64>,
    reports: Vec<ServiceReport>,
    rng: Random,
    limiter: Option<ProgramLimiter>,
    events: BinaryHeap<Reverse<(u64, u64, Event)>>,
    sequence: u64,
    entries: Vec<Dispatch>,
    server_keys: Vec<Vec<ServerKey>>,
    scheduled_ticks: HashSet<usize>,
    engines: Vec<Engine>,
    programs: Vec<Program>,
    turns: HashMap<u64, Turn>,
    stats: BTreeMap<u64, SecondStats>,
}

fn name(number: u64) -> Arc<str> {
    number.to_string().into()
}

fn simulate(with_limiter: bool, seed: u64) -> Vec<SecondStats> {
    let scenario = Scenario {
        with_limiter,
        seconds: SIMULATED_SECONDS,
        burst_load: BURST_LOAD_PER_SECOND,
        base_load: BASE_LOAD_PER_SECOND,
        speeds: Speeds::Even,
        groups: 0,
        leaders_lost_at: None,
        wrong_reports: false,
    };
    simulate_scenario(scenario, seed).seconds
}

pub(super) fn simulate_scenario(scenario: Scenario, seed: u64) -> Results {
    let instance = |number: usize| Instance {
        id: format!("e-{number}").into(),
        service: SERVICE.into(),
        version: "v1".into(),
        address: "10.0.0.1:80".parse().unwrap(),
        zone: format!("z-{}", number % 3).into(),
        slots: SLOTS_PER_ENGINE,
        leaving: false,
        born: None,
    };
    let instances: Vec<Instance> = (0..ENGINES).map(instance).collect();
    let mut simulation = Simulation {
        rng: Random::new(seed),
        limiter: scenario.with_limiter.then(ProgramLimiter::default),
        leaders: (0..scenario.groups).map(|_| Placement::default()).collect(),
        settling: HashMap::new(),
        latencies: Vec::new(),
        reports: Vec::new(),
        scenario,
        events: BinaryHeap::new(),
        sequence: 0,
        entries: Vec::new(),
        server_keys: Vec::new(),
        scheduled_ticks: HashSet::new(),
        engines: (0..ENGINES).map(|_| Engine::default()).collect(),
        programs: Vec::new(),
        turns: HashMap::new(),
        stats: BTreeMap::new(),
    };
    for number in 0..ENTRIES {
        let zone = format!("z-{}", number % 3);
        let mut entry = Dispatch::new(zone.into(), seed ^ (number as u64) << 8);
        entry.replace_instances(Timestamp(0), &instances);
        let key = |id: &str| {
            entry.instances_by_key().find(|(_, known)| &*known.id == id).map(|(key, _)| key).unwrap()
        };
        simulation.server_keys.push(instances.iter().map(|instance| key(&instance.id)).collect());
        simulation.entries.push(entry);
    }
    simulation.run();
    simulation.latencies.sort_unstable();
    Results {
        seconds: simulation.stats.into_values().collect(),
        latencies: simulation.latencies,
        reports: simulation.reports,
    }
}

impl Simulation {
    fn run(&mut self) {
        for second in 0..self.scenario.seconds {
            let rate = if (BURST_START_SECOND..BURST_END_SECOND).contains(&second) {
                self.scenario.burst_load
            } else {
                self.scenario.base_load
            };
            for _ in 0..rate {
                let start = second * SECOND + self.rng.below(SECOND);
                self.add_program(start);
            }
        }
        while let Some(Reverse((now, _, event))) = self.events.pop() {
            self.step(now, event);
        }
    }

    fn add_program(&mut self, start: u64) {
        let turns = 1 + self.rng.below(13);
        let fork_points: Vec<u64> = (1..turns).filter(|_| self.rng.below(100) < 15).collect();
        let total = turns + fork_points.len() as u64 * TURNS_PER_SUBAGENT;
        let unloaded = total * (SERVICE_TIME_US + 2 * COMMIT_DELAY_US + 2 * NETWORK_DELAY_US)
            + (total - 1) * TURN_PAUSE_US;
        let deadline = start + unloaded * 135 / 100 + 200 * MILLISECOND;
        let program = self.programs.len();
        self.programs.push(Program {
            started_at: start,
            deadline,
            remaining_turns: turns,
            fork_points,
            open_subagents: 0,
            begun: false,
        });
        self.stats.entry(start / SECOND).or_default().begun += 1;
        self.schedule(start, Event::Arrive { program, attempts: 0, subagent_turns: 0 });
    }

    fn schedule(&mut self, time: u64, event: Event) {
        self.sequence += 1;
        self.events.push(Reverse((time, self.sequence, event)));
    }

    fn step(&mut self, now: u64, event: Event) {
        match event {
            Event::Arrive { program, attempts, subagent_turns } => {
                self.arrive(now, program, attempts, subagent_turns);
            }
            Event::Dispatch { ticket } => self.dispatch(now, ticket),
            Event::Tick { entry } => {
                self.scheduled_ticks.remove(&entry);
                let decisions = self.entries[entry].tick(Timestamp(now));
                self.apply(now, entry, decisions);
            }
            Event::Deliver { engine, ticket } => self.deliver(now, engine, ticket),
            Event::Complete { engine, ticket } => self.complete(now, engine, ticket),
            Event::Respond { engine, ticket, load, full } => self.respond(now, engine, ticket, load, full),
            Event::Timeout { ticket } => self.timeout(now, ticket),
            Event::Settle { ticket } => self.settle(now, ticket),
        }
    }

    fn arrive(&mut self, now: u64, program: usize, attempts: u32, subagent_turns: u64) {
        self.sequence += 1;
        let ticket = self.sequence;
        let begun = self.programs[program].begun;
        let service: Arc<str> = SERVICE.into();
        if let Some(limiter) = &mut self.limiter {
            let slots = u32::try_from(ENGINES).unwrap() * SLOTS_PER_ENGINE;
            let program_name = name(program as u64);
            let finish_in = self.programs[program].deadline.saturating_sub(now);
            let start = ProgramStart {
                service: &service,
                route: &service,
                slots,
                program: &program_name,
                turn: &name(ticket),
                finish_in: Some(Duration::from_micros(finish_in)),
            };
            if !begun && let Err(millis) = limiter.admit(Timestamp(now), start) {
                self.retry(now, program, attempts, subagent_turns, millis * MILLISECOND);
                return;
            }
            let turn = &name(ticket);
            let timeout = Duration::from_micros(TURN_TIMEOUT_US);
            let start =
                TurnStart { service: &service, route: &service, program: &program_name, turn, timeout };
            limiter.begin(Timestamp(now), start);
        }
        self.programs[program].begun = true;
        let entry = self.rng.index(ENTRIES);
        self.turns.insert(
            ticket,
            Turn {
                program,
                attempts,
                subagent_turns,
                entry,
                expires: now + TURN_TIMEOUT_US,
                sent_at: now,
                excluded: Vec::new(),
                arrived_at: now,
                engine: None,
                load: None,
            },
        );
        self.schedule(now + COMMIT_DELAY_US, Event::Dispatch { ticket });
        self.schedule(now + TURN_TIMEOUT_US, Event::Timeout { ticket });
    }

    /// Schedules another attempt at a failed turn, up to the limit.
    fn retry(&mut self, now: u64, program: usize, attempts: u32, subagent_turns: u64, delay: u64) {
        let state = &self.programs[program];
        if attempts + 1 < MAX_TURN_ATTEMPTS {
            self.schedule(now + delay, Event::Arrive { program, attempts: attempts + 1, subagent_turns });
        } else if !state.begun {
            let second = state.started_at / SECOND;
            self.stats.entry(second).or_default().rejected += 1;
        }
    }

    fn dispatch(&mut self, now: u64, ticket: u64) {
        let Some(turn) = self.turns.get(&ticket) else {
            return;
        };
        let (entry, request) = (turn.entry, self.request(ticket, turn));
        let decisions = self.entries[entry].submit(Timestamp(now), request);
        self.apply(now, entry, decisions);
    }

    fn request(&self, ticket: u64, turn: &Turn) -> Request {
        let program = &self.programs[turn.program];
        Request {
            version: None,
            ticket,
            service: SERVICE.into(),
            priority: 1,
            started: program.begun,
            max_wait: Duration::from_millis(100),
            deadline: Timestamp(turn.expires),
            finish_by: Timestamp(program.deadline),
            affinity: Some(turn.program as u64),
            excluded: turn.excluded.clone(),
            isolated: false,
            profile: RequestProfile::default(),
        }
    }

    /// Lets the leader of the program's group choose the server of a turn, and moves the turn there.
    fn place(&mut self, now: u64, ticket: u64, own: ServerKey) -> ServerKey {
        let Some(turn) = self.turns.get(&ticket) else {
            return own;
        };
        let lost = |at: u64| (at..at + ELECTION_US).contains(&now);
        if self.leaders.is_empty()
            || !turn.excluded.is_empty()
            || self.scenario.leaders_lost_at.is_some_and(lost)
        {
            return own;
        }
        let request = self.request(ticket, turn);
        let entry = &mut self.entries[turn.entry];
        let mut candidates = entry.candidates(Timestamp(now), &request);
        let expected =
            candidates.iter().find(|(key, _)| *key == own).map_or(candidates[0].1, |found| found.1);
        candidates.retain(|(key, _)| *key != own);
        candidates.insert(0, (own, expected));
        candidates.truncate(MAX_CANDIDATES);
        let candidate = |(key, expected): &(ServerKey, Duration)| Candidate {
            server: entry.instance(*key).unwrap().id.clone(),
            expected_us: u32::try_from(expected.as_micros()).unwrap(),
            slots: SLOTS_PER_ENGINE,
        };
        let opening = AdmissionParams {
            service: SERVICE.into(),
            route: SERVICE.into(),
            patience: (turn.expires - now) / MILLISECOND,
            candidates: candidates.iter().map(candidate).collect(),
            entry: Some(NodeId(turn.entry as u64 + 1)),
            ..AdmissionParams::default()
        };
        let begin = Begin {
            stream: None,
            program: name(turn.program as u64),
            team: "".into(),
            turn: name(ticket),
            budget: None,
            most: 0,
            previous: None,
            carried: Vec::new(),
            opening: Some(opening),
        };
        let leader = &mut self.leaders[turn.program % self.scenario.groups];
        self.reports.extend(leader.take_report(Timestamp(now)));
        let chosen = leader.place(Timestamp(now), &begin).map_or(own, |index| candidates[index as usize].0);
        if entry.reassign(Timestamp(now), own, chosen) { chosen } else { own }
    }

    /// What the entry reports at the end of a turn.
    fn report(&mut self, now: u64, ticket: u64, turn: &Turn, completed: bool) {
        if self.leaders.is_empty() {
            return;
        }
        let wrong = |entry: usize| self.scenario.wrong_reports && turn.entry == entry;
        let factor = if wrong(1) { 10 } else { 1 };
        let finish = Finish {
            program: name(turn.program as u64),
            turn: name(ticket),
            ran: (completed && !wrong(0)).then(|| (now - turn.sent_at) / MILLISECOND * factor),
            server: turn.engine.map(|engine| format!("e-{engine}").into()),
            load: turn.load,
            failed: wrong(0),
            ..Finish::default()
        };
        self.settling.insert(ticket, (turn.program % self.scenario.groups, finish));
        self.schedule(now + COMMIT_DELAY_US, Event::Settle { ticket });
    }

    fn settle(&mut self, now: u64, ticket: u64) {
        let (group, finish) = self.settling.remove(&ticket).unwrap();
        if let Some(at) = self.scenario.leaders_lost_at.filter(|at| *at <= now) {
            for leader in &mut self.leaders {
                *leader = Placement::default();
            }
            // The next leaders start without evidence, and learn nothing before they lead.
            self.scenario.leaders_lost_at = (now < at + ELECTION_US).then_some(at);
        }
        self.leaders[group].finish(Timestamp(now), &finish);
    }

    fn apply(&mut self, now: u64, entry: usize, decisions: Vec<Decision>) {
        for decision in decisions {
            match decision {
                Decision::Send { ticket, server } => {
                    let server = self.place(now, ticket, server);
                    let engine = self.server_keys[entry].iter().position(|key| *key == server).unwrap();
                    if let Some(turn) = self.turns.get_mut(&ticket) {
                        turn.sent_at = now;
                        turn.engine = Some(engine);
                    }
                    self.schedule(now + NETWORK_DELAY_US, Event::Deliver { engine, ticket });
                }
                Decision::Reject { ticket, retry_after, .. } => {
                    if let Some(turn) = self.fail_turn(now, ticket) {
                        let delay = u64::try_from(retry_after.as_micros()).unwrap();
                        self.retry(now, turn.program, turn.attempts, turn.subagent_turns, delay);
                    }
                }
                Decision::DropConnections { .. } | Decision::Eject { .. } => {}
            }
        }
        if self.entries[entry].waiting() > 0 && self.scheduled_ticks.insert(entry) {
            self.schedule(now + 20 * MILLISECOND, Event::Tick { entry });
        }
    }

    fn fail_turn(&mut self, now: u64, ticket: u64) -> Option<Turn> {
        self.end_turn(now, ticket, false)
    }

    fn end_turn(&mut self, now: u64, ticket: u64, completed: bool) -> Option<Turn> {
        let turn = self.turns.remove(&ticket)?;
        if let Some(limiter) = &mut self.limiter {
            let server_time = completed.then(|| Duration::from_micros(now - turn.sent_at));
            limiter.finish(Timestamp(now + COMMIT_DELAY_US), &name(ticket), server_time);
        }
        if completed {
            self.latencies.push(now - turn.arrived_at);
        }
        self.report(now, ticket, &turn, completed);
        Some(turn)
    }

    fn deliver(&mut self, now: u64, engine: usize, ticket: u64) {
        let state = &mut self.engines[engine];
        if state.running < SLOTS_PER_ENGINE {
            state.running += 1;
            self.start_service(now, engine, ticket);
        } else if state.queue.len() < MAX_QUEUE_PER_ENGINE {
            state.queue.insert((1, ticket));
        } else {
            let load = (state.running, u32::try_from(state.queue.len()).unwrap());
            self.schedule(now + NETWORK_DELAY_US, Event::Respond { engine, ticket, load, full: true });
        }
    }

    fn start_service(&mut self, now: u64, engine: usize, ticket: u64) {
        let state = &self.engines[engine];
        if let Some(turn) = self.turns.get_mut(&ticket) {
            turn.load = Some((state.running, u32::try_from(state.queue.len()).unwrap()));
        }
        let others = u64::from(state.running - 1);
        let service_time = self.service_time(now, engine, ticket, others);
        self.schedule(now + service_time, Event::Complete { engine, ticket });
    }

    fn service_time(&self, now: u64, engine: usize, ticket: u64, others: u64) -> u64 {
        let (fastest, slowest) = UNEVEN_SPEED_PERCENT;
        let percent = match self.scenario.speeds {
            Speeds::Even => return SERVICE_TIME_US,
            Speeds::Uneven => fastest + (slowest - fastest) * (engine as u64 * 7 % 48) / 47,
            Speeds::FifthSlow => {
                let is_slow = engine.is_multiple_of(5) && SLOW_SECONDS.contains(&(now / SECOND));
                if is_slow { 500 } else { 100 }
            }
            Speeds::Contended => {
                let period = (now + engine as u64 * 97 * MILLISECOND) / CONTENTION_US;
                if Random::new(period << 8 | engine as u64).below(100) < 15 { 250 } else { 100 }
            }
        };
        let size_percent = 50 + Random::new(ticket).below(101);
        let time = SERVICE_TIME_US * size_percent / 100 * percent / 100;
        time * (100 + CONCURRENCY_SLOWDOWN_PERCENT * others) / 100
    }

    fn complete(&mut self, now: u64, engine: usize, ticket: u64) {
        let state = &mut self.engines[engine];
        state.running -= 1;
        let load = (state.running, u32::try_from(state.queue.len()).unwrap());
        // Queued turns whose callers have timed out are skipped.
        while let Some((_, next)) = state.queue.pop_first() {
            if self.turns.contains_key(&next) {
                state.running += 1;
                self.start_service(now, engine, next);
                break;
            }
        }
        self.schedule(now + NETWORK_DELAY_US, Event::Respond { engine, ticket, load, full: false });
    }

    fn respond(&mut self, now: u64, engine: usize, ticket: u64, load: (u32, u32), full: bool) {
        let Some(turn) = self.turns.get_mut(&ticket) else {
            return;
        };
        let (entry, sent_at) = (turn.entry, turn.sent_at);
        let key = self.server_keys[entry][engine];
        turn.excluded.push(key);
        let load = ServerLoad { running: load.0, waiting: load.1, percent: None };
        self.entries[entry].record_load(Timestamp(now), key, load);
        let outcome = if full {
            RequestOutcome::Full
        } else if self.scenario.speeds == Speeds::Even {
            RequestOutcome::Completed(Duration::from_micros(SERVICE_TIME_US + 2 * NETWORK_DELAY_US))
        } else {
            RequestOutcome::Completed(Duration::from_micros(now - sent_at))
        };
        let decisions = self.entries[entry].finish(Timestamp(now), key, outcome);
        self.apply(now, entry, decisions);
        if full {
            self.reject(now, ticket);
        } else {
            self.advance_program(now, ticket);
        }
    }

    fn reject(&mut self, now: u64, ticket: u64) {
        let Some(turn) = self.turns.get(&ticket) else {
            return;
        };
        if turn.excluded.len() < 4 {
            self.dispatch(now, ticket);
        } else if let Some(turn) = self.fail_turn(now, ticket) {
            self.retry(now, turn.program, turn.attempts, turn.subagent_turns, 300 * MILLISECOND);
        }
    }

    fn advance_program(&mut self, now: u64, ticket: u64) {
        let Some(turn) = self.end_turn(now, ticket, true) else {
            return;
        };
        let program = &mut self.programs[turn.program];
        let next = now + COMMIT_DELAY_US + TURN_PAUSE_US;
        let arrive = |subagent_turns| Event::Arrive { program: turn.program, attempts: 0, subagent_turns };
        if turn.subagent_turns > 1 {
            self.schedule(next, arrive(turn.subagent_turns - 1));
            return;
        }
        if turn.subagent_turns == 1 {
            program.open_subagents -= 1;
            if program.open_subagents == 0 {
                self.schedule(next, arrive(0));
            }
            return;
        }
        program.remaining_turns -= 1;
        let (remaining_turns, ended) = (program.remaining_turns, now + COMMIT_DELAY_US);
        if program.fork_points.contains(&remaining_turns) {
            program.open_subagents = SUBAGENTS;
            for _ in 0..SUBAGENTS {
                self.schedule(next, arrive(TURNS_PER_SUBAGENT));
            }
        } else if remaining_turns > 0 {
            self.schedule(next, arrive(0));
        } else if ended <= program.deadline {
            let second = program.started_at / SECOND;
            self.stats.entry(second).or_default().on_time += 1;
        }
    }

    fn timeout(&mut self, now: u64, ticket: u64) {
        if let Some(turn) = self.fail_turn(now, ticket) {
            let entry = turn.entry;
            let before = self.entries[entry].waiting();
            self.entries[entry].cancel(ticket);
            if before == self.entries[entry].waiting()
                && let Some(key) = turn.excluded.last()
            {
                let decisions = self.entries[entry].finish(Timestamp(now), *key, RequestOutcome::Cancelled);
                self.apply(now, entry, decisions);
            }
            self.retry(now, turn.program, turn.attempts, turn.subagent_turns, 250 * MILLISECOND);
        }
    }
}

pub(super) fn on_time_ratio(seconds: &[SecondStats]) -> f64 {
    let begun: u32 = seconds.iter().map(|second| second.begun).sum();
    let on_time: u32 = seconds.iter().map(|second| second.on_time).sum();
    f64::from(on_time) / f64::from(begun)
}

#[test]
fn recovers_two_seconds_after_burst() {
    for seed in [3, 5, 7] {
        let unlimited = simulate(false, seed);
        let limited = simulate(true, seed);
        let (burst, just_after, recovered) = (6..12, 12..16, 14..22);
        assert!(
            on_time_ratio(&unlimited[just_after.clone()]) < 0.5,
            "the scenario must overload the engines: {}",
            on_time_ratio(&unlimited[just_after])
        );
        assert!(on_time_ratio(&limited[recovered.clone()]) >= 0.95, "{}", on_time_ratio(&limited[recovered]));
        let on_time = |seconds: &[SecondStats]| seconds.iter().map(|second| second.on_time).sum::<u32>();
        assert!(
            on_time(&limited[burst.clone()]) * 10 >= ENGINE_CAPACITY_PER_SECOND * 6 * 8,
            "{}",
            on_time(&limited[burst])
        );
    }
}
