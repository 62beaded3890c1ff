//! Replays a trace written by a node's recorder, which is fed with the calls of a synthetic trace.

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
use agatetrestle_replay::catalog::PoolConfig;
use agatetrestle_replay::replay;
use agatetrestle_replay::simulation::ReplayOptions;
use agatetrestle_replay::synth::SynthOptions;
use agatetrestle_replay::synth::Workload;
use agatetrestle_replay::synth::synthesise;

const PROGRAMS: u32 = 30;

struct NoopRecorder;

impl Recorder for NoopRecorder {
    fn record(&self, _: &Labels, _: &Measurement) {}

    fn record_cache(&self, _: u64, _: u64) {}
}

/// A scheduler without decisions; the test supplies the answers.
struct NoopScheduler;

impl Scheduler for NoopScheduler {
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

fn program_id(call: &TraceCall) -> ProgramId {
    ProgramId { partner: call.partner.clone(), name: call.program.clone() }
}

fn submission(id: CallId, call: &TraceCall) -> Call {
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
        program: program_id(call),
        root: program_id(call),
        team: call.team.clone(),
        class: call.class.clone(),
        work,
        repeatable: if call.repeatable { Repeatable::Yes } else { Repeatable::No },
        deadline: None,
    }
}

/// Records the calls in order, with one millisecond between scheduler steps.
fn record(calls: &[TraceCall]) -> Vec<TraceCall> {
    let log = Rc::new(TraceLog::default());
    let mut recording = RecordingScheduler::new(Box::new(NoopScheduler), log.clone(), Rc::new(NoopRecorder));
    let mut now = 0;
    let mut step = |event| {
        now += 1_000;
        recording.step(Timestamp(now), event);
    };
    for (i, call) in (0..).zip(calls) {
        let id = CallId(i);
        step(Event::Submit(submission(id, call)));
        step(Event::Finished { call: id, output_tokens: call.output, cached_tokens: 0 });
        if call.last {
            step(Event::Ended(program_id(call)));
        }
    }
    trace::parse(&log.recent(u32::MAX).join("\n")).expect("the recorder writes what the parser reads")
}

/// Program, number and prompt size of every call, sorted.
fn call_keys(calls: &[TraceCall]) -> Vec<String> {
    let key = |call: &TraceCall| format!("{} {} {}", call.program, call.call, call.prompt_tokens);
    let mut keys: Vec<String> = calls.iter().map(key).collect();
    keys.sort();
    keys
}

#[test]
fn replays_a_recorded_trace() {
    let synth = SynthOptions { workload: Workload::Vrsta, programs: PROGRAMS, load: 50, engines: 2, seed: 5 };
    let mut calls = synthesise(&synth);
    calls.retain(|call| call.parent.is_none());
    let recorded = record(&calls);
    assert_eq!(call_keys(&recorded), call_keys(&calls));
    let pool = PoolConfig { engines: 2, ..PoolConfig::default() };
    let stats = replay(&recorded, Policy::LeastLoad, &ReplayOptions { seed: 5, pool, faults: Vec::new() });
    assert_eq!(stats.completed, stats.programs);
    assert_eq!(stats.broken.order, 0);
}
