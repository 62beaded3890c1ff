//! Processor time that the leader of a state group spends on the commands of a turn, by part.
//!
//! Run it with `cargo run --release -p agatetrestle --example leader_cost`. Each row is the lowest mean of several batches,
//! since other load on the machine only adds to it. Networking and storage are not included.

use std::hint::black_box;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use agatetrestle::agreement::StateMachine;
use agatetrestle::agreement::message::Position;
use agatetrestle::clock::Timestamp;
use agatetrestle::codec::Blob;
use agatetrestle::codec::decode;
use agatetrestle::codec::encode;
use agatetrestle::ids::NodeId;
use agatetrestle::routing::RateLimit;
use agatetrestle::routing::Team;
use agatetrestle::suspects::Fingerprint;
use agatetrestle::turns::admission::TurnAdmission;
use agatetrestle::turns::command::AdmissionParams;
use agatetrestle::turns::command::Begin;
use agatetrestle::turns::command::BeginQuery;
use agatetrestle::turns::command::Candidate;
use agatetrestle::turns::command::Finish;
use agatetrestle::turns::command::RecordStream;
use agatetrestle::turns::command::RequestOrigin;
use agatetrestle::turns::command::RetainedTurn;
use agatetrestle::turns::command::Take;
use agatetrestle::turns::command::TimedCommand;
use agatetrestle::turns::command::TurnCommand;
use agatetrestle::turns::command::TurnReply;
use agatetrestle::turns::state::LogProgress;
use agatetrestle::turns::state::PendingCommands;
use agatetrestle::turns::state::TurnState;
use agatetrestle::turns::streams::StreamOrigin;
use agatetrestle::turns::streams::StreamStart;
use agatetrestle_config::deployment::AllowanceBounds;

const PROGRAMS: usize = 2_000;
const TEAMS: usize = 77;
const SERVERS: usize = 64;
const CANDIDATES: usize = 8;
const CHAIN_TURNS: usize = 4;
const TEXT_BYTES: usize = 1_200;
const RETENTION_MS: u64 = 300_000;
const ELAPSED: Duration = Duration::from_millis(1);
const PENDING_COUNTS: [usize; 4] = [1, 10, 100, 1_000];
const BATCHES: usize = 100;
const BATCH_CALLS: usize = 200;

fn main() {
    let mut leader = Leader::new();
    leader.warm_up();
    print_codec(&mut leader);
    print_admission(&mut leader);
    print_pending(&leader);
    print_apply(&mut leader);
    print_snapshot(&leader);
}

/// Prints the lowest mean time of a call over several batches, each with newly made inputs.
fn print_time<T, R>(label: &str, mut inputs: impl FnMut(usize) -> Vec<T>, mut call: impl FnMut(T) -> R) {
    let mut lowest = f64::INFINITY;
    for batch in 0..BATCHES {
        let inputs = inputs(batch);
        let count = inputs.len();
        let mut results = Vec::with_capacity(count);
        let start = Instant::now();
        for input in inputs {
            results.push(black_box(call(black_box(input))));
        }
        let elapsed = start.elapsed();
        drop(results);
        lowest = lowest.min(micros(elapsed) / f64::from(u32::try_from(count).unwrap_or(u32::MAX)));
    }
    println!("{label:<60} {lowest:>9.2} us");
}

fn micros(duration: Duration) -> f64 {
    duration.as_secs_f64() * 1e6
}

/// As [`print_time`], for calls that consume no input.
fn print_repeated<R>(label: &str, mut call: impl FnMut() -> R) {
    print_time(label, |_| vec![(); BATCH_CALLS], |()| call());
}

/// The state machine and admission of a leader with programs under way.
struct Leader {
    state: TurnState,
    admission: TurnAdmission,
    now: Timestamp,
    next: usize,
}

impl Leader {
    fn new() -> Self {
        let mut admission = TurnAdmission::new(AllowanceBounds::default());
        let rate_limit = Some(RateLimit { per_second: 1e6, burst: 1e6 });
        let teams: Vec<Arc<Team>> = (0..TEAMS)
            .map(|team| Team { name: team_name(team), keys: Vec::new(), priority: 0, rate_limit })
            .map(Arc::new)
            .collect();
        admission.set_teams(Timestamp(0), &teams);
        // The first charge of a term starts to fill the rate limits.
        admission.take(Timestamp(0), 1, &Take::default());
        Self { state: TurnState::default(), admission, now: Timestamp(1_000_000), next: 0 }
    }

    /// Runs the turns of all programs but one each, so that every next turn continues a chain.
    fn warm_up(&mut self) {
        for turn in 0..CHAIN_TURNS {
            for program in 0..PROGRAMS {
                let begin = begin_of(program, turn);
                let finish = finish_of(&begin);
                self.run(&TurnCommand::Begin(begin));
                self.run(&TurnCommand::Finish(finish));
            }
        }
    }

    fn run(&mut self, command: &TurnCommand) {
        self.now = self.now + Duration::from_micros(200);
        let admitted = self.admission.check(self.now, 1, command, &self.state);
        assert!(admitted.is_ok(), "the capacity holds all programs");
        self.admission.place(self.now, command);
        self.state.execute(timed(command.clone(), Duration::ZERO));
        self.admission.record_applied(self.now, command, &self.state);
    }

    /// Begins of different programs, none of them begun before.
    fn next_begins(&mut self, count: usize) -> Vec<Begin> {
        let first = self.next;
        self.next += count;
        (first..first + count)
            .map(|number| {
                let begin = begin_of(number % PROGRAMS, CHAIN_TURNS);
                Begin { turn: format!("turn-{number:011}").into(), ..begin }
            })
            .collect()
    }
}

fn begin_of(program: usize, turn: usize) -> Begin {
    let previous = turn.checked_sub(1).map(|previous| turn_name(program, previous));
    let candidates = (0..CANDIDATES).map(|number| Candidate {
        server: format!("engine-{:09}", (program + turn + number * 7) % SERVERS).into(),
        expected_us: 180_000,
        slots: 6,
    });
    Begin {
        stream: Some(start()),
        program: format!("program-{program:08}").into(),
        team: team_name(program % TEAMS),
        turn: turn_name(program, turn),
        budget: Some(1_000_000),
        most: 500,
        previous,
        carried: Vec::new(),
        opening: Some(AdmissionParams {
            service: "service-00000001".into(),
            route: "route-0000000001".into(),
            places: 100_000,
            charge: true,
            patience: 30_000,
            finish_in: Some(60_000),
            begins: turn == 0,
            capacity: Some(10_000_000),
            candidates: candidates.collect(),
            priority: 1,
            entry: Some(NodeId(17)),
            cached: true,
            origin: Some(RequestOrigin { request: Fingerprint(7), entry: NodeId(17), reported: false }),
        }),
    }
}

/// The start of a stream that callers may resume.
fn start() -> StreamStart {
    let origin = StreamOrigin { service: "service-00000001".into(), version: "v1.12".into() };
    StreamStart { origin, resumable_ms: 4_000, revision: 0, request: Some(Fingerprint(7)) }
}

fn team_name(number: usize) -> Arc<str> {
    format!("team-{number:011}").into()
}

fn turn_name(program: usize, turn: usize) -> Arc<str> {
    format!("turn-{program:08}-{turn:02}").into()
}

fn finish_of(begin: &Begin) -> Finish {
    Finish {
        program: begin.program.clone(),
        team: begin.team.clone(),
        turn: begin.turn.clone(),
        spent: 90,
        ran: Some(180),
        server: Some("engine-000000001".into()),
        load: Some((4, 0)),
        failed: false,
        kept: Some(RetainedTurn {
            previous: begin.previous.clone(),
            text: Blob::from(&[b't'; TEXT_BYTES][..]),
            retention: RETENTION_MS,
        }),
    }
}

fn timed(command: TurnCommand, elapsed: Duration) -> TimedCommand {
    TimedCommand { elapsed, command }
}

fn payload(command: &TurnCommand) -> Arc<[u8]> {
    command.encode(ELAPSED).into()
}

fn print_codec(leader: &mut Leader) {
    let begin = leader.next_begins(1).remove(0);
    let finish = TurnCommand::Finish(finish_of(&begin));
    let query = encode(&BeginQuery::from(&begin));
    let take = Take { team: begin.team.clone(), program: Some(begin.program.clone()), begins: false };
    let begin = TurnCommand::Begin(begin);
    let logged = begin.without_candidates().unwrap_or_else(|| begin.clone());
    let record = TurnCommand::RecordStream(RecordStream {
        program: begin.program().into(),
        turn: turn_name(0, 0),
        start: start(),
    });
    let encoded = [&begin, &logged, &finish, &TurnCommand::Take(take), &record].map(payload);
    println!(
        "bytes: begin {}, logged begin {}, finish {}, take {}, record of a stream {}",
        encoded[0].len(),
        encoded[1].len(),
        encoded[2].len(),
        encoded[3].len(),
        encoded[4].len()
    );
    print_repeated("begin: decode", || TimedCommand::decode(&encoded[0]));
    print_repeated("begin: remove candidates and encode", || {
        begin.without_candidates().map(|logged| logged.encode(ELAPSED))
    });
    print_repeated("begin: decode of the logged command", || TimedCommand::decode(&encoded[1]));
    print_repeated("finish: decode", || TimedCommand::decode(&encoded[2]));
    print_repeated("take: decode", || TimedCommand::decode(&encoded[3]));
    print_repeated("record of a stream: encode", || record.encode(ELAPSED));
    print_repeated("record of a stream: decode", || TimedCommand::decode(&encoded[4]));
    print_repeated("query: decode", || decode::<BeginQuery>(&query));
    let texts = vec![Blob::from(&[b't'; TEXT_BYTES][..]); CHAIN_TURNS];
    let reply = TurnReply::Begun { chain: texts, server: None };
    let encoded = encode(&reply);
    print_repeated("reply with texts: encode", || reply.encode());
    print_repeated("reply with texts: decode", || decode::<TurnReply>(&encoded));
    print_repeated("reply with texts: encode and add server", || {
        let mut encoded = reply.encode();
        TurnReply::add_server(&mut encoded, 3);
        encoded
    });
}

fn print_admission(leader: &mut Leader) {
    let now = leader.now;
    let mut begins = leader.next_begins(BATCHES * BATCH_CALLS).into_iter().map(TurnCommand::Begin);
    let mut kept = Vec::new();
    let Leader { state, admission, .. } = leader;
    let inputs = |_| begins.by_ref().take(BATCH_CALLS).collect();
    print_time("begin: admission check, program under way", inputs, |begin: TurnCommand| {
        let checked = admission.check(now, 1, &begin, state);
        kept.push(begin);
        checked
    });
    let mut placed = kept.iter();
    print_time(
        "begin: place",
        |_| placed.by_ref().take(BATCH_CALLS).collect(),
        |begin: &TurnCommand| admission.place(now, begin),
    );
    for begin in &kept {
        admission.abandon(begin);
    }
    let take = Take { team: team_name(3), program: Some("program-00000003".into()), begins: false };
    print_repeated("take: charge", || admission.take(now, 1, &take));
    let mut number = 0;
    let new_programs = |_| {
        number += 1;
        let new = |program: usize| {
            let begin = kept_begin(&kept, program);
            let program = format!("new-{number:04}-{program:07}").into();
            TurnCommand::Begin(Begin { program, previous: None, ..begin })
        };
        (0..BATCH_CALLS).map(new).collect()
    };
    print_time("begin: admission check, new program", new_programs, |begin: TurnCommand| {
        let checked = admission.check(now, 1, &begin, state);
        (begin, checked)
    });
}

fn kept_begin(kept: &[TurnCommand], index: usize) -> Begin {
    match &kept[index] {
        TurnCommand::Begin(begin) => begin.clone(),
        _ => unreachable!("only begins were kept"),
    }
}

/// Begins and finishes in turns, of which none is applied.
fn pending_commands(count: usize) -> Vec<TurnCommand> {
    let command = |number: usize| {
        let program = number / 2 % PROGRAMS;
        let begin = begin_of(program, CHAIN_TURNS);
        let begin = Begin { turn: format!("turn-{:011}", number / 2).into(), ..begin };
        if number % 2 == 1 { TurnCommand::Begin(begin) } else { TurnCommand::Finish(finish_of(&begin)) }
    };
    (0..count).map(command).collect()
}

fn print_pending(leader: &Leader) {
    for count in PENDING_COUNTS {
        let mut pending = PendingCommands::default();
        let mut progress = LogProgress { term: 1, last: 0, applied: 0 };
        let mut commands = pending_commands(count - 1);
        let last = begin_of(PROGRAMS - 1, CHAIN_TURNS);
        let query = BeginQuery::from(&last);
        commands.push(TurnCommand::Begin(last));
        for command in commands {
            progress.last += 1;
            pending.push(progress, Duration::ZERO, Rc::new(command));
        }
        let missing = BeginQuery { turn: "turn-is-missing-".into(), ..query.clone() };
        print_repeated(&format!("query: contains, missing, {count} unapplied"), || {
            pending.contains(&missing)
        });
        assert!(pending.granted_chain(progress, &leader.state, &query).is_some());
        print_repeated(&format!("query: granted chain, {count} unapplied"), || {
            pending.granted_chain(progress, &leader.state, &query)
        });
    }
    let command = Rc::new(TurnCommand::Begin(begin_of(0, CHAIN_TURNS)));
    let mut pending = PendingCommands::default();
    let mut progress = LogProgress { term: 1, last: 100, applied: 0 };
    print_repeated("begin: push and advance with 100 unapplied", || {
        progress.last += 1;
        progress.applied = progress.last - 100;
        pending.push(progress, Duration::ZERO, command.clone());
    });
}

fn print_apply(leader: &mut Leader) {
    for proposed in [true, false] {
        let begins = leader.next_begins(BATCHES * BATCH_CALLS);
        let finishes: Vec<TurnCommand> = begins.iter().map(finish_of).map(TurnCommand::Finish).collect();
        let begins: Vec<TurnCommand> = begins.into_iter().map(TurnCommand::Begin).collect();
        print_apply_of("begin", leader, &begins, proposed);
        print_apply_of("finish", leader, &finishes, proposed);
        let records = (0..BATCHES * BATCH_CALLS).map(|number| {
            let (program, turn) = (Arc::from("program"), turn_name(number, 0));
            TurnCommand::RecordStream(RecordStream { program, turn, start: start() })
        });
        print_apply_of("record of a stream", leader, &records.collect::<Vec<_>>(), proposed);
    }
}

/// Applies commands as the leader that proposed them, or as a follower.
fn print_apply_of(kind: &str, leader: &mut Leader, commands: &[TurnCommand], proposed: bool) {
    let Leader { state, admission, now, .. } = leader;
    let mut entries = Vec::new();
    for (index, command) in (1..).zip(commands) {
        admission.place(*now, command);
        let logged = command.without_candidates().unwrap_or_else(|| command.clone());
        let position = Position { term: 1, index };
        entries.push((position, payload(&logged)));
        if proposed {
            state.expect_proposal(position, timed(logged, ELAPSED));
        }
    }
    let mut entries = entries.into_iter();
    let role = if proposed { "leader" } else { "follower" };
    print_time(
        &format!("{kind}: apply, {role}"),
        |_| entries.by_ref().take(BATCH_CALLS).collect(),
        |(position, payload): (Position, Arc<[u8]>)| state.apply(position, &payload),
    );
    if proposed {
        let mut applied = commands.iter();
        print_time(
            &format!("{kind}: record applied"),
            |_| applied.by_ref().take(BATCH_CALLS).collect(),
            |command: &TurnCommand| admission.record_applied(*now, command, state),
        );
    }
}

fn print_snapshot(leader: &Leader) {
    let usage = leader.state.usage();
    println!("state: {} turns, {} programs, {} bytes", usage.turns, usage.programs, usage.bytes);
    print_time("snapshot: encoder, on the main thread", |_| vec![()], |()| leader.state.snapshot_encoder());
    print_time("snapshot: encode, on another thread", |_| vec![()], |()| leader.state.snapshot());
}
