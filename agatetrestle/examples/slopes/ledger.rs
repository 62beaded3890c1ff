//! The ledger: memory, call time and snapshot size by programs, with the history on disk.

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

use crate::fit::ScalingFit;
use crate::fit::Unit;
use crate::fit::measure_nanoseconds;
use crate::fit::resident_bytes;

const PROGRAM_COUNTS: [u32; 4] = [10_000, 20_000, 40_000, 80_000];
const CALLS_PER_PROGRAM: u32 = 10;
const BODY_BYTES: usize = 256;
const SEGMENT_BYTES: u64 = 16 << 20;
/// Live programs in the whole system.
const TARGET_PROGRAMS: f64 = 310_000.0;
/// Calls timed at each number of programs; each is a `Begin` and a `Finish`.
const TIMED_CALLS: u32 = 20_000;

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
    assert!(matches!(reply, ProgramReply::Done(_)), "unexpected reply to a command: {reply:?}");
}

/// Memory by programs and by calls, size and time of a snapshot, and time of a `Begin` with its `Finish`.
pub fn measure() -> Vec<ScalingFit> {
    let folder = std::env::temp_dir().join(format!("agatetrestle-slopes-{}", std::process::id()));
    let history = FileHistory::open(&folder, SEGMENT_BYTES).expect("the temporary folder can be used");
    let mut ledger = LedgerState::new(Box::new(history));
    let body: Arc<[u8]> = vec![b'x'; BODY_BYTES].into();
    let mut program_memory = Vec::new();
    let mut snapshot = Vec::new();
    let mut snapshot_time = Vec::new();
    let mut program_count = 0;
    let base = resident_bytes();
    for programs in PROGRAM_COUNTS {
        for number in program_count..programs {
            execute(&mut ledger, open(number));
        }
        program_count = programs;
        program_memory.push((f64::from(programs), resident_bytes() - base));
        snapshot.push((f64::from(programs), ledger.snapshot().len() as f64));
        snapshot_time.push((f64::from(programs), measure_nanoseconds(3, 1, |_| ledger.snapshot().len())));
    }
    let call_memory = measure_call_memory(&mut ledger, program_count, &body);
    let call_time = measure_call_time(&mut ledger, program_count, &body);
    // Leftover files in the temporary folder are not a failure of the measurement.
    let _ = std::fs::remove_dir_all(&folder);
    let fit = |quantity, unit, per, samples, extrapolated_to| ScalingFit {
        quantity,
        unit,
        per,
        samples,
        extrapolated_to,
    };
    vec![
        fit(
            "state replica: memory of programs without calls",
            Unit::Bytes,
            "program",
            program_memory,
            TARGET_PROGRAMS,
        ),
        fit(
            "state replica: memory of finished calls",
            Unit::Bytes,
            "call",
            call_memory,
            TARGET_PROGRAMS * 20.0,
        ),
        fit("state replica: snapshot", Unit::Bytes, "program", snapshot, TARGET_PROGRAMS),
        fit(
            "state replica: time to code a snapshot",
            Unit::Nanoseconds,
            "program",
            snapshot_time,
            TARGET_PROGRAMS,
        ),
        fit(
            "state replica: a begin and its finish, by programs known",
            Unit::Nanoseconds,
            "program",
            call_time,
            TARGET_PROGRAMS,
        ),
    ]
}

/// Runs [`CALLS_PER_PROGRAM`] calls of every program and samples the memory by number of calls.
fn measure_call_memory(ledger: &mut LedgerState, programs: u32, body: &Arc<[u8]>) -> Vec<(f64, f64)> {
    let mut samples = Vec::new();
    let base = resident_bytes();
    for call in 1..=CALLS_PER_PROGRAM {
        for number in 0..programs {
            execute(ledger, begin(number, call, body));
            execute(ledger, finish(number, call, body));
        }
        if call % 2 == 0 {
            samples.push((f64::from(call * programs), resident_bytes() - base));
        }
    }
    samples
}

fn measure_call_time(ledger: &mut LedgerState, program_count: u32, body: &Arc<[u8]>) -> Vec<(f64, f64)> {
    let mut samples = Vec::new();
    let mut call = CALLS_PER_PROGRAM;
    for programs in PROGRAM_COUNTS.into_iter().filter(|programs| *programs <= program_count) {
        call += 1;
        let count = TIMED_CALLS.min(programs);
        // The timed programs are spread evenly over the map; the others run the same call untimed.
        let step = programs / count;
        let time = measure_nanoseconds(1, count, |index| {
            execute(ledger, begin(index * step, call, body));
            execute(ledger, finish(index * step, call, body));
        });
        samples.push((f64::from(programs), time));
        for index in (0..program_count).filter(|index| *index % step != 0 || *index / step >= count) {
            execute(ledger, begin(index, call, body));
            execute(ledger, finish(index, call, body));
        }
    }
    samples
}
