//! Replays a burst of programs against a leader of bounded processor speed, in virtual time.
//!
//! The log's check for load, admission, the state and the order of refusals are the real ones. Entries and callers follow their
//! retry policies. All costs are those of a process with 0.3 of a core.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::BinaryHeap;
use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use agatetrestle_config::deployment::AllowanceBounds;

use crate::agreement::ALL_PROPOSALS;
use crate::agreement::Input;
use crate::agreement::Output;
use crate::agreement::Replicas;
use crate::agreement::Ticket;
use crate::agreement::replica::PersistentState;
use crate::agreement::replica::Replica;
use crate::agreement::replica::ReplicaConfig;
use crate::clock::Timestamp;
use crate::clock::micros;
use crate::ids::GroupId;
use crate::ids::NodeId;
use crate::node::refusal_rate::RefusalRate;
use crate::routing::Team;
use crate::scheduler::random::Random;
use crate::turns::admission::Admitted;
use crate::turns::admission::TurnAdmission;
use crate::turns::clock::LeaderClock;
use crate::turns::command::AdmissionParams;
use crate::turns::command::Begin;
use crate::turns::command::Finish;
use crate::turns::command::TimedCommand;
use crate::turns::command::TurnCommand;
use crate::turns::command::TurnReply;
use crate::turns::shedding::EARLY_ANSWER_TOLERANCE;
use crate::turns::shedding::tolerance;
use crate::turns::state::TurnState;

const MS: u64 = 1_000;
const SECOND: u64 = 1_000 * MS;
/// Processor time of the leader to read and answer a request, to admit and encode a begin, to replicate and apply a command,
/// and to process the completion of a write.
const READ_US: u64 = 200;
const ADMIT_US: u64 = 200;
const PROPOSE_US: u64 = 300;
const WRITTEN_US: u64 = 150;
const TICK_US: u64 = 20;
/// Turns that the leader can carry in a second: a begin, its query, a finish and two writes each.
const CAPACITY: u64 = SECOND / (3 * READ_US + ADMIT_US + 2 * PROPOSE_US + 2 * WRITTEN_US);
const NETWORK_US: u64 = MS;
const COMMIT_US: u64 = 3 * MS;
const TURNS: u32 = 5;
const RUN_US: u64 = 100 * MS;
const PAUSE_US: u64 = 20 * MS;
/// Slots of the servers, several times what the turns of a burst need.
const SLOTS: u32 = 400;
const ENTRIES: u64 = 57;
const ATTEMPT_US: u64 = 400 * MS;
const REQUEST_US: u64 = 1_800 * MS;
const RETRY_AFTER_US: u64 = 300 * MS;
const QUERY_PAUSE_US: u64 = 500 * MS;
/// Time in which a caller needs the answer, and after which it gives a turn up.
const IN_TIME_US: u64 = 300 * MS;
const TURN_DEADLINE_US: u64 = 3 * SECOND;
const MAX_TRIES: u32 = 6;
/// Load in percent of the leader's capacity, outside of the burst and in it.
const LOAD_PERCENT: u64 = 70;
const BURST_LOAD_PERCENT: u64 = 160;
/// A heavier burst, in which most of what is sent must be refused.
const HEAVY_LOAD_PERCENT: u64 = 300;
const BURST: std::ops::Range<u64> = 5..11;
const RECOVERED: std::ops::Range<u64> = 13..20;

/// A measure against overload; all of them are on in the daemon.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Measure {
    /// The leader checks the load before it admits.
    CheckFirst,
    /// It refuses new programs and early answers first.
    Order,
    /// It takes back what admission counted.
    Withdraw,
    /// It appends a repeated command once, and entries wait on instead of repeating it.
    Once,
    /// Entries send nothing to settle a refused begin.
    Discard,
    /// Entries back off with jitter, and pause queries for early answers.
    Backoff,
    /// Callers return when the rate of refusals says, else after [`RETRY_AFTER_US`].
    MeasuredRetry,
}

#[derive(Clone, Copy, Debug)]
struct Policy {
    without: &'static [Measure],
    burst_percent: u64,
}

impl Policy {
    fn has(self, measure: Measure) -> bool {
        !self.without.contains(&measure)
    }
}

const ALL: Policy = Policy { without: &[], burst_percent: BURST_LOAD_PERCENT };
const NONE: Policy = Policy {
    without: &[
        Measure::CheckFirst,
        Measure::Order,
        Measure::Withdraw,
        Measure::Once,
        Measure::Discard,
        Measure::Backoff,
        Measure::MeasuredRetry,
    ],
    ..ALL
};

#[derive(Clone, Copy, Debug)]
enum Work {
    Request(usize),
    Query(usize),
    Written(u64),
    Tick,
}

#[derive(Clone, Copy, Debug)]
enum Answer {
    Applied,
    Early,
    Busy,
    RetryAfter(u64),
}

#[derive(Clone, Copy, Debug)]
enum Event {
    Arrive,
    Try(usize),
    Receive(Work),
    Ready,
    Answer { attempt: usize, answer: Answer },
    AttemptTimeout(usize),
    RequestTimeout(usize),
    Resend(usize),
    RunEnd(usize),
    NextTurn(usize),
}

#[derive(Default)]
struct Program {
    turn: u32,
    tries: u32,
    asked_at: u64,
    begun: bool,
    committed: bool,
    ran: bool,
}

struct Command {
    request: TurnCommand,
    program: usize,
    /// Whether the program goes on with the reply; not if it only settles a refused begin.
    continues: bool,
    retries: u32,
    done: bool,
    /// Attempts that wait for the proposal in flight.
    waiting: Vec<usize>,
    admitted: Admitted,
}

#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
struct Second {
    offered: u64,
    in_time: u64,
    refused: u64,
    requests: u64,
}

struct Simulation {
    policy: Policy,
    now: u64,
    rng: Random,
    number: u64,
    events: BinaryHeap<Reverse<(u64, u64)>>,
    by_number: BTreeMap<u64, Event>,
    replica: Replica,
    admission: TurnAdmission,
    state: TurnState,
    clock: LeaderClock,
    queue: VecDeque<Work>,
    busy: bool,
    syncing_until: u64,
    programs: Vec<Program>,
    commands: Vec<Command>,
    /// The command of each attempt, and whether its answer is still waited for.
    attempts: Vec<(usize, bool)>,
    no_queries_until: Vec<u64>,
    rates: Vec<RefusalRate>,
    seconds: Vec<Second>,
    longest_queue: usize,
}

impl Simulation {
    fn new(policy: Policy, seed: u64) -> Self {
        let node = NodeId(1);
        let cfg = ReplicaConfig {
            group: GroupId(1),
            node,
            leader_interval: Duration::from_millis(60),
            election_timeout: Duration::from_millis(250),
            clock_drift: Duration::from_millis(20),
            seed,
            max_in_flight: 4_096,
            max_commit_wait: Duration::from_millis(100),
            max_batch_bytes: 1 << 20,
        };
        let replicas = Replicas { voters: [node].into(), ..Replicas::default() };
        let team = Team { name: "team".into(), keys: Vec::new(), priority: 1, rate_limit: None };
        let mut admission = TurnAdmission::new(AllowanceBounds::default());
        admission.set_teams(Timestamp(0), &[Arc::new(team)]);
        Self {
            policy,
            now: 0,
            rng: Random::new(seed),
            number: 0,
            events: BinaryHeap::new(),
            by_number: BTreeMap::new(),
            replica: Replica::new(cfg, replicas, PersistentState::default(), Timestamp(0)),
            admission,
            state: TurnState::default(),
            clock: LeaderClock::default(),
            queue: VecDeque::new(),
            busy: false,
            syncing_until: 0,
            programs: Vec::new(),
            commands: Vec::new(),
            attempts: Vec::new(),
            no_queries_until: vec![0; usize::try_from(ENTRIES).unwrap()],
            rates: vec![RefusalRate::default(); usize::try_from(ENTRIES).unwrap()],
            seconds: vec![Second::default(); 40],
            longest_queue: 0,
        }
    }

    fn schedule(&mut self, time: u64, event: Event) {
        self.number += 1;
        self.events.push(Reverse((time, self.number)));
        self.by_number.insert(self.number, event);
    }

    fn second(&mut self, time: u64) -> &mut Second {
        &mut self.seconds[usize::try_from(time / SECOND).unwrap()]
    }

    fn run(mut self) -> Self {
        for time in (0..RECOVERED.end * SECOND).step_by(15_000) {
            self.schedule(time, Event::Receive(Work::Tick));
        }
        self.schedule(SECOND, Event::Arrive);
        while let Some(Reverse((time, number))) = self.events.pop()
            && time < RECOVERED.end * SECOND
        {
            self.now = time;
            let event = self.by_number.remove(&number).expect("each event is stored by its number");
            self.handle(event);
        }
        self
    }

    fn handle(&mut self, event: Event) {
        let now = self.now;
        match event {
            Event::Arrive => {
                let percent =
                    if BURST.contains(&(now / SECOND)) { self.policy.burst_percent } else { LOAD_PERCENT };
                let mean = SECOND * 100 * u64::from(TURNS) / (CAPACITY * percent);
                let gap = mean * self.rng.below(201) / 100;
                self.schedule(now + gap, Event::Arrive);
                self.programs.push(Program::default());
                self.ask(self.programs.len() - 1);
            }
            Event::NextTurn(program) => self.ask(program),
            Event::Try(program) => self.try_begin(program),
            Event::Receive(work) => {
                self.queue.push_back(work);
                self.longest_queue = self.longest_queue.max(self.queue.len());
                if !self.busy {
                    self.work();
                }
            }
            Event::Ready => self.work(),
            Event::Answer { attempt, answer } => self.answered(attempt, answer),
            Event::AttemptTimeout(attempt) => {
                let (command, waiting) = self.attempts[attempt];
                if waiting && !self.commands[command].done {
                    self.attempts[attempt].1 = false;
                    self.schedule(now + 20 * MS, Event::Resend(command));
                }
            }
            Event::RequestTimeout(command) => {
                if !std::mem::replace(&mut self.commands[command].done, true) && self.is_begin(command) {
                    self.refused(self.commands[command].program, RETRY_AFTER_US, true);
                }
            }
            Event::Resend(command) => {
                if !self.commands[command].done {
                    self.send(command);
                }
            }
            Event::RunEnd(program) => {
                self.programs[program].ran = true;
                self.finish_if_complete(program);
            }
        }
    }

    fn is_begin(&self, command: usize) -> bool {
        matches!(self.commands[command].request, TurnCommand::Begin(_))
    }

    /// A caller asks for the next turn of its program.
    fn ask(&mut self, program: usize) {
        let now = self.now;
        self.second(now).offered += 1;
        self.programs[program] =
            Program { turn: self.programs[program].turn, asked_at: now, ..Program::default() };
        self.try_begin(program);
    }

    fn try_begin(&mut self, program: usize) {
        let Program { turn, tries, .. } = self.programs[program];
        let begin = Begin {
            stream: None,
            program: program.to_string().into(),
            team: "team".into(),
            turn: format!("{program}-{turn}-{tries}").into(),
            budget: None,
            most: 1,
            previous: None,
            carried: Vec::new(),
            opening: Some(AdmissionParams {
                service: "engines".into(),
                route: "chat".into(),
                places: SLOTS,
                patience: TURN_DEADLINE_US / MS,
                begins: turn == 0,
                ..AdmissionParams::default()
            }),
        };
        self.submit(TurnCommand::Begin(begin), program, true);
    }

    fn submit(&mut self, command: TurnCommand, program: usize, continues: bool) {
        let index = self.commands.len();
        self.commands.push(Command {
            request: command,
            program,
            continues,
            retries: 0,
            done: false,
            waiting: Vec::new(),
            admitted: Admitted::default(),
        });
        self.schedule(self.now + REQUEST_US, Event::RequestTimeout(index));
        self.send(index);
    }

    fn entry_of(&self, command: usize) -> usize {
        self.commands[command].program % self.no_queries_until.len()
    }

    fn send(&mut self, command: usize) {
        let attempt = self.attempts.len();
        self.attempts.push((command, true));
        self.schedule(self.now + NETWORK_US, Event::Receive(Work::Request(attempt)));
        if !self.policy.has(Measure::Once) {
            self.schedule(self.now + ATTEMPT_US, Event::AttemptTimeout(attempt));
        }
        if self.is_begin(command) && self.no_queries_until[self.entry_of(command)] <= self.now {
            self.schedule(self.now + NETWORK_US, Event::Receive(Work::Query(attempt)));
        }
    }

    fn answered(&mut self, attempt: usize, answer: Answer) {
        let (index, waiting) = self.attempts[attempt];
        if !waiting || self.commands[index].done {
            return;
        }
        let program = self.commands[index].program;
        let is_begin = self.is_begin(index);
        match answer {
            Answer::Early => self.begun(program),
            Answer::Applied => {
                self.commands[index].done = true;
                if is_begin {
                    let entry = self.entry_of(index);
                    self.rates[entry].record(Timestamp(self.now), false);
                    self.programs[program].committed = true;
                    self.begun(program);
                    self.finish_if_complete(program);
                } else if self.commands[index].continues {
                    self.programs[program].turn += 1;
                    if self.programs[program].turn < TURNS {
                        self.schedule(self.now + PAUSE_US, Event::NextTurn(program));
                    }
                }
            }
            Answer::RetryAfter(micros) => {
                self.commands[index].done = true;
                self.refused(program, micros, false);
            }
            Answer::Busy => {
                if self.policy.has(Measure::Backoff) {
                    let entry = self.entry_of(index);
                    self.no_queries_until[entry] = self.now + QUERY_PAUSE_US;
                }
                if is_begin {
                    self.commands[index].done = true;
                    let entry = self.entry_of(index);
                    self.rates[entry].record(Timestamp(self.now), true);
                    let random = self.rng.below(SECOND);
                    let measured = micros(self.rates[entry].retry_after(random));
                    let delay =
                        if self.policy.has(Measure::MeasuredRetry) { measured } else { RETRY_AFTER_US };
                    self.refused(program, delay, !self.policy.has(Measure::Discard));
                } else {
                    let doublings = if self.policy.has(Measure::Backoff) { 4 } else { 2 };
                    let delay = 20 * MS * (1 << self.commands[index].retries.min(doublings));
                    self.commands[index].retries += 1;
                    let jitter = if self.policy.has(Measure::Backoff) { self.rng.below(50) } else { 0 };
                    self.schedule(self.now + delay * (100 - jitter) / 100, Event::Resend(index));
                }
            }
        }
    }

    fn begun(&mut self, program: usize) {
        let now = self.now;
        let Program { asked_at, .. } = self.programs[program];
        if !std::mem::replace(&mut self.programs[program].begun, true) {
            self.second(asked_at).in_time += u64::from(now - asked_at <= IN_TIME_US);
            self.schedule(now + RUN_US, Event::RunEnd(program));
        }
    }

    fn finish_if_complete(&mut self, program: usize) {
        let Program { committed, ran, turn, tries, .. } = self.programs[program];
        if committed && ran {
            self.submit(finish(program, turn, tries), program, true);
        }
    }

    /// A caller gets 503 for a turn.
    fn refused(&mut self, program: usize, retry_after: u64, settle: bool) {
        let now = self.now;
        self.second(now).refused += 1;
        let Program { turn, tries, asked_at, begun, .. } = self.programs[program];
        if settle {
            self.submit(finish(program, turn, tries), program, false);
        }
        // A run that began on an early answer ends with an error.
        if !begun && tries + 1 < MAX_TRIES && now + retry_after < asked_at + TURN_DEADLINE_US {
            self.programs[program].tries += 1;
            self.schedule(now + retry_after, Event::Try(program));
        }
    }

    /// Processes the oldest work in the leader's queue.
    fn work(&mut self) {
        let Some(work) = self.queue.pop_front() else {
            self.busy = false;
            return;
        };
        self.busy = true;
        let cost = match work {
            Work::Request(attempt) => self.process(attempt),
            Work::Query(attempt) => {
                let tolerated =
                    if self.policy.has(Measure::Order) { EARLY_ANSWER_TOLERANCE } else { u32::MAX };
                let allowed = tolerated == u32::MAX
                    || self.replica.check_accepts_proposals(Timestamp(self.now), tolerated).is_ok();
                if allowed && !self.commands[self.attempts[attempt].0].waiting.is_empty() {
                    self.reply(attempt, Answer::Early, READ_US);
                }
                READ_US
            }
            Work::Written(sequence) => {
                self.step(Input::Written(sequence), WRITTEN_US);
                WRITTEN_US
            }
            Work::Tick => {
                self.step(Input::Tick, TICK_US);
                TICK_US
            }
        };
        self.schedule(self.now + cost, Event::Ready);
    }

    fn reply(&mut self, attempt: usize, answer: Answer, cost: u64) {
        self.schedule(self.now + cost + NETWORK_US, Event::Answer { attempt, answer });
    }

    /// Processes a request as the service of a state group does, and returns its cost.
    fn process(&mut self, attempt: usize) -> u64 {
        let now = Timestamp(self.now);
        self.second(now.0).requests += 1;
        let (index, _) = self.attempts[attempt];
        if self.policy.has(Measure::Once) && !self.commands[index].waiting.is_empty() {
            self.commands[index].waiting.push(attempt);
            return READ_US;
        }
        let command = self.commands[index].request.clone();
        let tolerated =
            if self.policy.has(Measure::Order) { tolerance(&command, &self.state) } else { ALL_PROPOSALS };
        if self.policy.has(Measure::CheckFirst)
            && self.replica.check_accepts_proposals(now, tolerated).is_err()
        {
            self.reply(attempt, Answer::Busy, READ_US);
            return READ_US;
        }
        let cost = READ_US + if self.is_begin(index) { ADMIT_US } else { 0 };
        let admitted = match self.admission.check(now, 1, &command, &self.state) {
            Ok(admitted) => admitted,
            Err(TurnReply::Crowded(millis) | TurnReply::Over(millis)) => {
                self.reply(attempt, Answer::RetryAfter(millis * MS), cost);
                return cost;
            }
            Err(reply) => panic!("{reply:?}"),
        };
        if self.replica.check_accepts_proposals(now, ALL_PROPOSALS).is_err() {
            if self.policy.has(Measure::Withdraw) {
                self.admission.withdraw(1, &command, admitted);
            }
            self.reply(attempt, Answer::Busy, cost);
            return cost;
        }
        self.commands[index].admitted = admitted;
        self.commands[index].waiting.push(attempt);
        let payload: Arc<[u8]> = index.to_le_bytes().into();
        self.step(Input::Propose { ticket: Ticket(attempt as u64), payload }, cost + PROPOSE_US);
        cost + PROPOSE_US
    }

    fn step(&mut self, input: Input, cost: u64) {
        for output in self.replica.step(Timestamp(self.now), input) {
            match output {
                Output::Write(write) => {
                    let start = self.now + cost;
                    let done = self.syncing_until.max(start) + COMMIT_US;
                    // Writes that arrive during a sync share the next one.
                    self.syncing_until = done.min(start + 2 * COMMIT_US);
                    self.schedule(self.syncing_until, Event::Receive(Work::Written(write.sequence)));
                }
                Output::Apply { payload, ticket: Some(ticket), .. } => {
                    let index = usize::from_le_bytes(payload[..].try_into().unwrap());
                    let now = Timestamp(self.now);
                    let command = self.commands[index].request.clone();
                    let elapsed = self.clock.advance(1, now);
                    self.state.execute(TimedCommand { elapsed, command: command.clone() });
                    self.admission.record_applied(now, &command, &self.state);
                    let first = usize::try_from(ticket.0).unwrap();
                    let waiting = std::mem::take(&mut self.commands[index].waiting);
                    let waiting = if self.policy.has(Measure::Once) { waiting } else { vec![first] };
                    for attempt in waiting {
                        self.reply(attempt, Answer::Applied, cost);
                    }
                }
                _ => {}
            }
        }
    }

    fn sum(&self, seconds: std::ops::Range<u64>) -> Second {
        let range = usize::try_from(seconds.start).unwrap()..usize::try_from(seconds.end).unwrap();
        self.seconds[range].iter().fold(Second::default(), |sum, second| Second {
            offered: sum.offered + second.offered,
            in_time: sum.in_time + second.in_time,
            refused: sum.refused + second.refused,
            requests: sum.requests + second.requests,
        })
    }

    /// In-time turns of the burst in percent of the leader's capacity, and of those asked for later in percent.
    fn goodput(&self) -> (u64, u64) {
        let (burst, later) = (self.sum(BURST), self.sum(RECOVERED.start..RECOVERED.end - 1));
        (
            burst.in_time * 100 / (CAPACITY * (BURST.end - BURST.start)),
            later.in_time * 100 / later.offered.max(1),
        )
    }
}

fn finish(program: usize, turn: u32, tries: u32) -> TurnCommand {
    TurnCommand::Finish(Finish {
        program: program.to_string().into(),
        team: "team".into(),
        turn: format!("{program}-{turn}-{tries}").into(),
        ran: Some(RUN_US / MS),
        ..Finish::default()
    })
}

const SEEDS: [u64; 3] = [3, 5, 7];

fn run(policy: Policy, seed: u64) -> (u64, u64) {
    let simulation = Simulation::new(policy, seed).run();
    let (in_burst, later) = (simulation.sum(BURST), simulation.sum(RECOVERED));
    let goodput = simulation.goodput();
    println!(
        "{policy:?} seed {seed}: goodput {goodput:?}, requests {} and {}, refused {} and {}, queue {}",
        in_burst.requests, later.requests, in_burst.refused, later.refused, simulation.longest_queue
    );
    goodput
}

/// Guards against an overload that outlives its burst.
#[test]
fn leader_recovers_from_a_burst_of_programs() {
    for seed in SEEDS {
        let (burst, after) = run(ALL, seed);
        assert!(burst >= 80, "{burst}% of the capacity in the burst");
        assert!(after >= 95, "{after}% in time after it");
        let (burst, _) = run(Policy { burst_percent: HEAVY_LOAD_PERCENT, ..ALL }, seed);
        assert!(burst >= 80, "{burst}% of the capacity at three times the load");
    }
    let (burst, after) = run(NONE, SEEDS[0]);
    assert!(burst < 80 && after < 95, "the scenario must overload the leader: {burst}%, {after}%");
}

/// Guards against a measure that no longer helps.
#[test]
fn each_measure_against_overload_is_needed() {
    let without: [&[Measure]; 5] = [
        &[Measure::CheckFirst, Measure::Order],
        &[Measure::Order],
        &[Measure::Discard],
        &[Measure::Backoff],
        &[Measure::MeasuredRetry],
    ];
    for without in without {
        let (burst, _) = run(Policy { without, burst_percent: HEAVY_LOAD_PERCENT }, SEEDS[0]);
        assert!(burst < 80, "{burst}% without {without:?}");
    }
}
