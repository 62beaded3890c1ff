//! A burst of programs before engines, in virtual time: blind entries that run the real decisions, and the real door.
//!
//! 57 entries, 48 engines of 6 places with a queue of 18. A program has 1 to 13 turns of 200 ms, pauses of 250 ms, after 15 in
//! 100 turns five sub-agents of two turns each, and 1.35 times as long as it takes on idle engines. One that may not begin comes
//! back when it is told to.

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
use crate::dispatch::ServerKey;
use crate::dispatch::ServerLoad;
use crate::scheduler::random::Random;
use crate::turns::limiter::ProgramLimiter;
use crate::turns::limiter::ProgramStart;
use crate::turns::limiter::TurnStart;

const ENTRIES: usize = 57;
const ENGINES: usize = 48;
const PLACES: u32 = 6;
const QUEUE: usize = 18;
const SERVICE: &str = "engines";
/// All times in microseconds.
const MILLI: u64 = 1_000;
const SECOND: u64 = 1_000_000;
const WAY: u64 = MILLI;
const COMMIT: u64 = 8 * MILLI;
const WORK: u64 = 200 * MILLI;
const PAUSE: u64 = 250 * MILLI;
/// Time of a caller for one turn.
const PATIENCE: u64 = 3 * SECOND;
/// How often one turn is tried before its program has failed.
const TRIES: u32 = 6;
/// Programs a second: what the engines can do, 0.65 of that, and in the burst 1.6 of it.
const CAPACITY: u32 = 86;
const USUAL: u64 = 56;
const BURST: u64 = 138;
/// Sub-agents that work at the same time after a turn, and the turns of each.
const CHILDREN: u64 = 5;
const CHILD_TURNS: u64 = 2;
const BURST_FROM: u64 = 6;
const BURST_TO: u64 = 12;
const LASTS: u64 = 22;

#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Event {
    /// A turn of a program comes to an entry.
    Come {
        program: usize,
        tries: u32,
        child: u64,
    },
    /// The turn is reserved, and its entry looks for an engine.
    Place {
        ticket: u64,
    },
    Tick {
        entry: usize,
    },
    Reach {
        engine: usize,
        ticket: u64,
    },
    Done {
        engine: usize,
        ticket: u64,
    },
    Answer {
        engine: usize,
        ticket: u64,
        told: (u32, u32),
        full: bool,
    },
    /// The caller gives up.
    Late {
        ticket: u64,
    },
}

#[derive(Default)]
struct Engine {
    running: u32,
    queue: BTreeSet<(u8, u64)>,
}

struct Program {
    begun_at: u64,
    deadline: u64,
    left: u64,
    /// After which of its turns to come sub-agents work, counted from its end.
    forks: Vec<u64>,
    children: u64,
    begun: bool,
}

struct Turn {
    program: usize,
    tries: u32,
    /// Turns that its sub-agent still has, this one included; 0 for a turn of the program itself.
    child: u64,
    entry: usize,
    until: u64,
    /// When it was sent to a server for the last time.
    sent: u64,
    avoid: Vec<ServerKey>,
}

/// Programs that began in one second, and those of them that ended in time.
#[derive(Clone, Copy, Debug, Default)]
struct Second {
    begun: u32,
    in_time: u32,
    refused: u32,
}

struct World {
    rng: Random,
    door: Option<ProgramLimiter>,
    events: BinaryHeap<Reverse<(u64, u64, Event)>>,
    count: u64,
    entries: Vec<Dispatch>,
    keys: Vec<Vec<ServerKey>>,
    ticking: HashSet<usize>,
    engines: Vec<Engine>,
    programs: Vec<Program>,
    turns: HashMap<u64, Turn>,
    seconds: BTreeMap<u64, Second>,
}

fn name(number: u64) -> Arc<str> {
    number.to_string().into()
}

fn play(door: bool, seed: u64) -> Vec<Second> {
    let instance = |number: usize| Instance {
        id: format!("e-{number}").into(),
        service: SERVICE.into(),
        address: "10.0.0.1:80".parse().unwrap(),
        zone: format!("z-{}", number % 3).into(),
        slots: PLACES,
        leaving: false,
        born: None,
    };
    let instances: Vec<Instance> = (0..ENGINES).map(instance).collect();
    let mut world = World {
        rng: Random::new(seed),
        door: door.then(ProgramLimiter::default),
        events: BinaryHeap::new(),
        count: 0,
        entries: Vec::new(),
        keys: Vec::new(),
        ticking: HashSet::new(),
        engines: (0..ENGINES).map(|_| Engine::default()).collect(),
        programs: Vec::new(),
        turns: HashMap::new(),
        seconds: BTreeMap::new(),
    };
    for number in 0..ENTRIES {
        let zone = format!("z-{}", number % 3);
        let mut entry = Dispatch::new(zone.into(), seed ^ (number as u64) << 8);
        entry.replace_instances(Timestamp(0), &instances);
        let key = |id: &str| {
            entry.instances_by_key().find(|(_, known)| &*known.id == id).map(|(key, _)| key).unwrap()
        };
        world.keys.push(instances.iter().map(|instance| key(&instance.id)).collect());
        world.entries.push(entry);
    }
    world.run();
    world.seconds.into_values().collect()
}

impl World {
    fn run(&mut self) {
        for second in 0..LASTS {
            let rate = if (BURST_FROM..BURST_TO).contains(&second) { BURST } else { USUAL };
            for _ in 0..rate {
                let at = second * SECOND + self.rng.below(SECOND);
                self.add_program(at);
            }
        }
        while let Some(Reverse((now, _, event))) = self.events.pop() {
            self.step(now, event);
        }
    }

    fn add_program(&mut self, at: u64) {
        let turns = 1 + self.rng.below(13);
        let forks: Vec<u64> = (1..turns).filter(|_| self.rng.below(100) < 15).collect();
        let all = turns + forks.len() as u64 * CHILD_TURNS;
        let idle = all * (WORK + 2 * COMMIT + 2 * WAY) + (all - 1) * PAUSE;
        let deadline = at + idle * 135 / 100 + 200 * MILLI;
        let program = self.programs.len();
        self.programs.push(Program { begun_at: at, deadline, left: turns, forks, children: 0, begun: false });
        self.seconds.entry(at / SECOND).or_default().begun += 1;
        self.at(at, Event::Come { program, tries: 0, child: 0 });
    }

    fn at(&mut self, time: u64, event: Event) {
        self.count += 1;
        self.events.push(Reverse((time, self.count, event)));
    }

    fn step(&mut self, now: u64, event: Event) {
        match event {
            Event::Come { program, tries, child } => self.come(now, program, tries, child),
            Event::Place { ticket } => self.place(now, ticket),
            Event::Tick { entry } => {
                self.ticking.remove(&entry);
                let decisions = self.entries[entry].tick(Timestamp(now));
                self.carry_out(now, entry, decisions);
            }
            Event::Reach { engine, ticket } => self.reach(now, engine, ticket),
            Event::Done { engine, ticket } => self.done(now, engine, ticket),
            Event::Answer { engine, ticket, told, full } => self.answer(now, engine, ticket, told, full),
            Event::Late { ticket } => self.late(now, ticket),
        }
    }

    fn come(&mut self, now: u64, program: usize, tries: u32, child: u64) {
        self.count += 1;
        let ticket = self.count;
        let begun = self.programs[program].begun;
        let service: Arc<str> = SERVICE.into();
        if let Some(door) = &mut self.door {
            let places = u32::try_from(ENGINES).unwrap() * PLACES;
            let owner = name(program as u64);
            let finish_in = self.programs[program].deadline.saturating_sub(now);
            let coming = ProgramStart {
                service: &service,
                kind: &service,
                places,
                program: &owner,
                turn: &name(ticket),
                finish_in: Some(Duration::from_micros(finish_in)),
            };
            if !begun && let Err(millis) = door.admit(Timestamp(now), coming) {
                self.again(now, program, tries, child, millis * MILLI);
                return;
            }
            let turn = &name(ticket);
            let patience = Duration::from_micros(PATIENCE);
            let beginning = TurnStart { service: &service, kind: &service, program: &owner, turn, patience };
            door.begin(Timestamp(now), beginning);
        }
        self.programs[program].begun = true;
        let entry = self.rng.index(ENTRIES);
        self.turns.insert(
            ticket,
            Turn { program, tries, child, entry, until: now + PATIENCE, sent: now, avoid: Vec::new() },
        );
        self.at(now + COMMIT, Event::Place { ticket });
        self.at(now + PATIENCE, Event::Late { ticket });
    }

    /// A turn came to nothing and is tried once more, unless it has been too often.
    fn again(&mut self, now: u64, program: usize, tries: u32, child: u64, after: u64) {
        let state = &self.programs[program];
        if tries + 1 < TRIES {
            self.at(now + after, Event::Come { program, tries: tries + 1, child });
        } else if !state.begun {
            let second = state.begun_at / SECOND;
            self.seconds.entry(second).or_default().refused += 1;
        }
    }

    fn place(&mut self, now: u64, ticket: u64) {
        let Some(turn) = self.turns.get(&ticket) else {
            return;
        };
        let (entry, program) = (turn.entry, &self.programs[turn.program]);
        let request = Request {
            ticket,
            service: SERVICE.into(),
            priority: 1,
            started: program.begun,
            max_wait: Duration::from_millis(100),
            deadline: Timestamp(turn.until),
            finish_by: Timestamp(program.deadline),
            affinity: Some(turn.program as u64),
            excluded: turn.avoid.clone(),
        };
        let decisions = self.entries[entry].submit(Timestamp(now), request);
        self.carry_out(now, entry, decisions);
    }

    fn carry_out(&mut self, now: u64, entry: usize, decisions: Vec<Decision>) {
        for decision in decisions {
            match decision {
                Decision::Send { ticket, server } => {
                    if let Some(turn) = self.turns.get_mut(&ticket) {
                        turn.sent = now;
                    }
                    let engine = self.keys[entry].iter().position(|key| *key == server).unwrap();
                    self.at(now + WAY, Event::Reach { engine, ticket });
                }
                Decision::Reject { ticket, retry_after, .. } => {
                    if let Some(turn) = self.end_turn(now, ticket) {
                        let after = u64::try_from(retry_after.as_micros()).unwrap();
                        self.again(now, turn.program, turn.tries, turn.child, after);
                    }
                }
                Decision::DropConnections { .. } | Decision::Eject { .. } => {}
            }
        }
        if self.entries[entry].waiting() > 0 && self.ticking.insert(entry) {
            self.at(now + 20 * MILLI, Event::Tick { entry });
        }
    }

    fn end_turn(&mut self, now: u64, ticket: u64) -> Option<Turn> {
        self.end(now, ticket, false)
    }

    fn end(&mut self, now: u64, ticket: u64, whole: bool) -> Option<Turn> {
        let turn = self.turns.remove(&ticket)?;
        if let Some(door) = &mut self.door {
            let ran = whole.then(|| Duration::from_micros(now - turn.sent));
            door.finish(Timestamp(now + COMMIT), &name(ticket), ran);
        }
        Some(turn)
    }

    fn reach(&mut self, now: u64, engine: usize, ticket: u64) {
        let state = &mut self.engines[engine];
        if state.running < PLACES {
            state.running += 1;
            self.at(now + WORK, Event::Done { engine, ticket });
        } else if state.queue.len() < QUEUE {
            state.queue.insert((1, ticket));
        } else {
            let told = (state.running, u32::try_from(state.queue.len()).unwrap());
            self.at(now + WAY, Event::Answer { engine, ticket, told, full: true });
        }
    }

    fn done(&mut self, now: u64, engine: usize, ticket: u64) {
        let state = &mut self.engines[engine];
        state.running -= 1;
        let told = (state.running, u32::try_from(state.queue.len()).unwrap());
        // Of what waits, the callers of some have left, and their places are free at once.
        while let Some((_, next)) = state.queue.pop_first() {
            if self.turns.contains_key(&next) {
                state.running += 1;
                self.at(now + WORK, Event::Done { engine, ticket: next });
                break;
            }
        }
        self.at(now + WAY, Event::Answer { engine, ticket, told, full: false });
    }

    fn answer(&mut self, now: u64, engine: usize, ticket: u64, told: (u32, u32), full: bool) {
        let Some(turn) = self.turns.get_mut(&ticket) else {
            return;
        };
        let entry = turn.entry;
        let key = self.keys[entry][engine];
        turn.avoid.push(key);
        let load = ServerLoad { running: told.0, waiting: told.1 };
        self.entries[entry].record_load(Timestamp(now), key, load);
        let outcome = if full {
            RequestOutcome::Full
        } else {
            RequestOutcome::Completed(Duration::from_micros(WORK + 2 * WAY))
        };
        let decisions = self.entries[entry].finish(Timestamp(now), key, outcome);
        self.carry_out(now, entry, decisions);
        if full {
            self.full(now, ticket);
        } else {
            self.whole(now, ticket);
        }
    }

    fn full(&mut self, now: u64, ticket: u64) {
        let Some(turn) = self.turns.get(&ticket) else {
            return;
        };
        if turn.avoid.len() < 4 {
            self.place(now, ticket);
        } else if let Some(turn) = self.end_turn(now, ticket) {
            self.again(now, turn.program, turn.tries, turn.child, 300 * MILLI);
        }
    }

    fn whole(&mut self, now: u64, ticket: u64) {
        let Some(turn) = self.end(now, ticket, true) else {
            return;
        };
        let program = &mut self.programs[turn.program];
        let next = now + COMMIT + PAUSE;
        let come = |child| Event::Come { program: turn.program, tries: 0, child };
        if turn.child > 1 {
            self.at(next, come(turn.child - 1));
            return;
        }
        if turn.child == 1 {
            program.children -= 1;
            if program.children == 0 {
                self.at(next, come(0));
            }
            return;
        }
        program.left -= 1;
        let (left, ended) = (program.left, now + COMMIT);
        if program.forks.contains(&left) {
            program.children = CHILDREN;
            for _ in 0..CHILDREN {
                self.at(next, come(CHILD_TURNS));
            }
        } else if left > 0 {
            self.at(next, come(0));
        } else if ended <= program.deadline {
            let second = program.begun_at / SECOND;
            self.seconds.entry(second).or_default().in_time += 1;
        }
    }

    fn late(&mut self, now: u64, ticket: u64) {
        if let Some(turn) = self.end_turn(now, ticket) {
            let entry = turn.entry;
            let before = self.entries[entry].waiting();
            self.entries[entry].cancel(ticket);
            if before == self.entries[entry].waiting()
                && let Some(key) = turn.avoid.last()
            {
                let decisions = self.entries[entry].finish(Timestamp(now), *key, RequestOutcome::Cancelled);
                self.carry_out(now, entry, decisions);
            }
            self.again(now, turn.program, turn.tries, turn.child, 250 * MILLI);
        }
    }
}

fn share(seconds: &[Second]) -> f64 {
    let begun: u32 = seconds.iter().map(|second| second.begun).sum();
    let in_time: u32 = seconds.iter().map(|second| second.in_time).sum();
    f64::from(in_time) / f64::from(begun)
}

#[test]
fn after_a_burst_programs_are_in_time_within_two_seconds() {
    for seed in [3, 5, 7] {
        let open = play(false, seed);
        let held = play(true, seed);
        let (during, just_after, after) = (6..12, 12..16, 14..22);
        assert!(share(&open[just_after.clone()]) < 0.5, "the check can fail: {}", share(&open[just_after]));
        assert!(share(&held[after.clone()]) >= 0.95, "{}", share(&held[after]));
        let in_time = |seconds: &[Second]| seconds.iter().map(|second| second.in_time).sum::<u32>();
        assert!(in_time(&held[during.clone()]) * 10 >= CAPACITY * 6 * 8, "{}", in_time(&held[during]));
    }
}
