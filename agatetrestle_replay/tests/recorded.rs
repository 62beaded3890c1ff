//! What a node records drives a replay: the recorder is told the calls of a made-up trace, and the
//! replay runs what it wrote.

use std::rc::Rc;
use std::time::Duration;

use agatetrestle::clock::Timestamp;
use agatetrestle::ids::ProgramId;
use agatetrestle::ports::Labels;
use agatetrestle::ports::Measurement;
use agatetrestle::ports::Recorder;
use agatetrestle::ports::Traces;
use agatetrestle::programs::command::Repeatable;
use agatetrestle::scheduler::BackendState;
use agatetrestle::scheduler::Policy;
use agatetrestle::scheduler::Scheduler;
use agatetrestle::scheduler::event::Backend;
use agatetrestle::scheduler::event::BackendKey;
use agatetrestle::scheduler::event::Call;
use agatetrestle::scheduler::event::CallId;
use agatetrestle::scheduler::event::Decisions;
use agatetrestle::scheduler::event::Event;
use agatetrestle::scheduler::event::Work;
use agatetrestle::trace;
use agatetrestle::trace::CallKind;
use agatetrestle::trace::TraceCall;
use agatetrestle::trace::recorder::RecordingScheduler;
use agatetrestle::trace::recorder::TraceLog;
use agatetrestle_replay::catalog::Pool;
use agatetrestle_replay::replay;
use agatetrestle_replay::synth::Synth;
use agatetrestle_replay::synth::Workload;
use agatetrestle_replay::synth::synthesise;
use agatetrestle_replay::world::Options;

const PROGRAMS: u32 = 30;

struct NoMeasures;

impl Recorder for NoMeasures {
    fn record(&self, _: &Labels, _: &Measurement) {}

    fn record_cache(&self, _: u64, _: u64) {}
}

/// Decides nothing, since the test says itself when an answer comes.
struct Silent;

impl Scheduler for Silent {
    fn step(&mut self, _: Timestamp, _: Event) -> Decisions {
        Decisions::default()
    }

    fn backend(&self, _: BackendKey) -> Option<&Backend> {
        None
    }

    fn tick_interval(&self) -> Duration {
        Duration::MAX
    }

    fn backend_states(&self) -> Vec<BackendState> {
        Vec::new()
    }
}

fn named(call: &TraceCall) -> ProgramId {
    ProgramId { partner: call.partner.clone(), name: call.program.clone() }
}

fn submitted(id: CallId, call: &TraceCall) -> Call {
    let work = match call.kind {
        CallKind::Model => Work::Model {
            model: call.serves.clone(),
            blocks: call.blocks.clone(),
            prompt_tokens: call.prompt_tokens,
            max_tokens: call.output,
        },
        CallKind::Service => Work::Service { service: call.serves.clone() },
    };
    Call {
        id,
        program: named(call),
        root: named(call),
        team: call.team.clone(),
        class: call.class.clone(),
        work,
        repeatable: if call.repeatable { Repeatable::Yes } else { Repeatable::No },
        deadline: None,
    }
}

/// Tells the recorder every call in turn, a millisecond for each step.
fn record(calls: &[TraceCall]) -> Vec<TraceCall> {
    let log = Rc::new(TraceLog::default());
    let mut recording = RecordingScheduler::new(Box::new(Silent), log.clone(), Rc::new(NoMeasures));
    let mut now = 0;
    let mut step = |event| {
        now += 1_000;
        recording.step(Timestamp(now), event);
    };
    for (i, call) in (0..).zip(calls) {
        let id = CallId(i);
        step(Event::Submit(submitted(id, call)));
        step(Event::Finished { call: id, output_tokens: call.output, cached_tokens: 0 });
        if call.last {
            step(Event::Ended(named(call)));
        }
    }
    trace::parse(&log.recent(u32::MAX).join("\n")).expect("the recorder writes what the parser reads")
}

/// Program, number and size of every call, in order.
fn names(calls: &[TraceCall]) -> Vec<String> {
    let name = |call: &TraceCall| format!("{} {} {}", call.program, call.call, call.prompt_tokens);
    let mut names: Vec<String> = calls.iter().map(name).collect();
    names.sort();
    names
}

#[test]
fn a_recorded_trace_drives_the_replay() {
    let synth = Synth { workload: Workload::Vrsta, programs: PROGRAMS, load: 50, engines: 2, seed: 5 };
    let mut calls = synthesise(&synth);
    calls.retain(|call| call.parent.is_none());
    let recorded = record(&calls);
    assert_eq!(names(&recorded), names(&calls));
    let pool = Pool { engines: 2, ..Pool::default() };
    let measures = replay(&recorded, Policy::LeastLoad, &Options { seed: 5, pool, faults: Vec::new() });
    assert_eq!(measures.completed, measures.programs);
    assert_eq!(measures.broken.order, 0);
}
