//! The ledger: memory, time and snapshot by programs, with a history of realistic length on disk.

use std::sync::Arc;

use agatetrestle::agreement::StateMachine;
use agatetrestle::history::file::FileHistory;
use agatetrestle::ids::AttemptId;
use agatetrestle::ids::CallNumber;
use agatetrestle::ids::NodeId;
use agatetrestle::ids::ProgramId;
use agatetrestle::ids::RequestKey;
use agatetrestle::programs::command::Answer;
use agatetrestle::programs::command::ProgramCommand;
use agatetrestle::programs::command::ProgramReply;
use agatetrestle::programs::command::ProgramSpec;
use agatetrestle::programs::command::Repeatable;
use agatetrestle::programs::ledger::LedgerState;

use crate::fit::Line;
use crate::fit::Unit;
use crate::fit::nanoseconds;
use crate::fit::resident;

const SIZES: [u32; 4] = [10_000, 20_000, 40_000, 80_000];
const CALLS: u32 = 10;
const BODY: usize = 256;
const SEGMENT: u64 = 16 << 20;
/// Programs under way in the whole system.
const PROGRAMS: f64 = 310_000.0;
/// Requests a second in the whole system; each is a begin and a finish.
const TIMED: u32 = 20_000;

fn program(number: u32) -> ProgramId {
    ProgramId { partner: "vrsta".into(), name: format!("program-{number:08}").into() }
}

fn open(number: u32) -> ProgramCommand {
    let spec = ProgramSpec {
        team: "dawn".into(),
        class: "replacement".into(),
        budget: 1 << 20,
        turns: 580,
        parent: None,
    };
    ProgramCommand::Open {
        program: program(number),
        key: RequestKey("open".into()),
        spec,
        at: u64::from(number),
    }
}

fn attempt(number: u32, call: u32) -> AttemptId {
    AttemptId { node: NodeId(1), incarnation: 1, sequence: u64::from(number) * 1_000 + u64::from(call) }
}

fn begin(number: u32, call: u32, body: &Arc<[u8]>) -> ProgramCommand {
    ProgramCommand::Begin {
        program: program(number),
        call: CallNumber(call),
        key: RequestKey(format!("key-{number}-{call}").into()),
        attempt: attempt(number, call),
        reserve: 10,
        repeatable: Repeatable::Yes,
        request: body.clone(),
        digest: u64::from(call),
    }
}

fn finish(number: u32, call: u32, body: &Arc<[u8]>) -> ProgramCommand {
    let answer = Answer { status: 200, content_type: "application/json".into(), body: body.clone() };
    let attempt = attempt(number, call);
    ProgramCommand::Finish { program: program(number), call: CallNumber(call), attempt, answer, spent: 5 }
}

fn execute(ledger: &mut LedgerState, command: ProgramCommand) {
    let reply = ledger.execute(command);
    assert!(matches!(reply, ProgramReply::Done(_)), "a command was answered by {reply:?}");
}

/// Memory and snapshots by programs without calls and with some; time of a begin and its finish.
pub fn measure() -> Vec<Line> {
    let folder = std::env::temp_dir().join(format!("agatetrestle-slopes-{}", std::process::id()));
    let history = FileHistory::open(&folder, SEGMENT).expect("the temporary folder can be used");
    let mut ledger = LedgerState::new(Box::new(history));
    let body: Arc<[u8]> = vec![b'x'; BODY].into();
    let mut idle = Vec::new();
    let mut snapshot = Vec::new();
    let mut snapshot_time = Vec::new();
    let mut known = 0;
    let base = resident();
    for size in SIZES {
        for number in known..size {
            execute(&mut ledger, open(number));
        }
        known = size;
        idle.push((f64::from(size), resident() - base));
        snapshot.push((f64::from(size), ledger.snapshot().len() as f64));
        snapshot_time.push((f64::from(size), nanoseconds(3, 1, |_| ledger.snapshot().len())));
    }
    let with_calls = calls(&mut ledger, known, &body);
    let pair = pairs(&mut ledger, known, &body);
    // Files that stay behind in the temporary folder are no failure of the measurement.
    let _ = std::fs::remove_dir_all(&folder);
    let of = |what, unit, per, samples, carried_to| Line { what, unit, per, samples, carried_to };
    vec![
        of("state replica: memory of programs without calls", Unit::Bytes, "program", idle, PROGRAMS),
        of("state replica: memory of finished calls", Unit::Bytes, "call", with_calls, PROGRAMS * 20.0),
        of("state replica: snapshot", Unit::Bytes, "program", snapshot, PROGRAMS),
        of("state replica: time to code a snapshot", Unit::Nanoseconds, "program", snapshot_time, PROGRAMS),
        of(
            "state replica: a begin and its finish, by programs known",
            Unit::Nanoseconds,
            "program",
            pair,
            PROGRAMS,
        ),
    ]
}

/// Gives every program some calls and returns the memory by calls.
fn calls(ledger: &mut LedgerState, programs: u32, body: &Arc<[u8]>) -> Vec<(f64, f64)> {
    let mut samples = Vec::new();
    let base = resident();
    for call in 1..=CALLS {
        for number in 0..programs {
            execute(ledger, begin(number, call, body));
            execute(ledger, finish(number, call, body));
        }
        if call % 2 == 0 {
            samples.push((f64::from(call * programs), resident() - base));
        }
    }
    samples
}

fn pairs(ledger: &mut LedgerState, known: u32, body: &Arc<[u8]>) -> Vec<(f64, f64)> {
    let mut samples = Vec::new();
    let mut next = CALLS;
    for size in SIZES.into_iter().filter(|size| *size <= known) {
        next += 1;
        let count = TIMED.min(size);
        // Programs spread over the whole map, each one call further.
        let step = size / count;
        let time = nanoseconds(1, count, |index| {
            execute(ledger, begin(index * step, next, body));
            execute(ledger, finish(index * step, next, body));
        });
        samples.push((f64::from(size), time));
        for index in (0..known).filter(|index| *index % step != 0 || *index / step >= count) {
            execute(ledger, begin(index, next, body));
            execute(ledger, finish(index, next, body));
        }
    }
    samples
}
