//! Tests of trace recording and cache usage.

use std::cell::Cell;

use super::*;
use crate::ports::Labels;
use crate::ports::Measurement;
use crate::scheduler::event::RefusalReason;
use crate::trace::parse;

/// Dispatches or refuses every call. A tick releases the prefix of `dawn`.
struct StubScheduler {
    refuse: bool,
}

#[derive(Default)]
struct CacheRecorder(Cell<(u64, u64)>);

impl Recorder for CacheRecorder {
    fn record(&self, _: &Labels, _: &Measurement) {}

    fn record_cache(&self, held: u64, wasted: u64) {
        self.0.set((held, wasted));
    }
}

impl Scheduler for StubScheduler {
    fn step(&mut self, _: Timestamp, event: Event) -> Decisions {
        let release = CacheCommand::Release { program: program_id("dawn"), backend: BackendKey::default() };
        let call = match event {
            Event::Submit(call) => call,
            Event::Tick => return Decisions { cache_commands: vec![release], ..Decisions::default() },
            _ => return Decisions::default(),
        };
        let call = call.id;
        let retry_after = Duration::ZERO;
        let action = if self.refuse {
            Action::Refuse { call, reason: RefusalReason::Overload, retry_after }
        } else {
            Action::Dispatch { call, backend: BackendKey::default(), priority: 0 }
        };
        Decisions { actions: vec![action], ..Decisions::default() }
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

struct Fixture {
    recording: RecordingScheduler,
    log: Rc<TraceLog>,
    cache_recorder: Rc<CacheRecorder>,
    now: u64,
    calls: u64,
}

impl Fixture {
    fn new(refuse: bool) -> Self {
        let log = Rc::new(TraceLog::default());
        let cache_recorder = Rc::new(CacheRecorder::default());
        let recorder: Rc<dyn Recorder> = cache_recorder.clone();
        let recording =
            RecordingScheduler::new(Box::new(StubScheduler { refuse }), Rc::clone(&log), recorder);
        Self { recording, log, cache_recorder, now: 0, calls: 0 }
    }

    fn step(&mut self, micros: u64, event: Event) {
        self.now += micros;
        self.recording.step(Timestamp(self.now), event);
    }

    fn submit(&mut self, pause: u64, program: &str, root: &str, work: Work) -> CallId {
        self.calls += 1;
        let id = CallId(self.calls);
        let call = Call {
            id,
            program: program_id(program),
            root: program_id(root),
            team: "dispatch".into(),
            class: "dawn".into(),
            work,
            repeatable: Repeatable::Yes,
            deadline: Some(Timestamp(self.now + pause + 90)),
        };
        self.step(pause, Event::Submit(call));
        id
    }

    fn finish(&mut self, micros: u64, call: CallId) {
        self.step(micros, Event::Finished { call, output_tokens: 7, cached_tokens: 0 });
    }

    fn calls(&self) -> Vec<TraceCall> {
        let text = self.log.recent(u32::MAX).join("\n");
        parse(&text).unwrap()
    }
}

fn program_id(name: &str) -> ProgramId {
    ProgramId { partner: "vrsta".into(), name: name.into() }
}

fn model() -> Work {
    Work::Model { model: "assistant".into(), blocks: [1, 2].into(), prompt_tokens: 130, max_tokens: 20 }
}

fn service() -> Work {
    Work::Service { service: "rota".into() }
}

#[test]
fn records_pauses_sub_agents_and_ends_of_programs() {
    let mut fixture = Fixture::new(false);
    let first = fixture.submit(100, "dawn", "dawn", model());
    fixture.finish(50, first);
    fixture.step(0, Event::Paused { program: program_id("dawn"), tool: "calendar".into() });
    let child = fixture.submit(5, "search", "dawn", model());
    fixture.finish(20, child);
    fixture.step(0, Event::Ended(program_id("search")));
    let second = fixture.submit(30, "dawn", "dawn", service());
    fixture.finish(40, second);
    assert_eq!(fixture.calls().len(), 2, "the last call is not written before the end is reported");
    fixture.step(0, Event::Ended(program_id("dawn")));
    insta::assert_snapshot!(fixture.log.recent(u32::MAX).join("\n"));
}

#[test]
fn tracks_cache_usage_of_responses_releases_and_ends() {
    let mut fixture = Fixture::new(false);
    let call = fixture.submit(1, "dawn", "dawn", model());
    fixture.finish(1, call);
    assert_eq!(fixture.cache_recorder.0.get(), (137, 0));
    fixture.step(1, Event::Tick);
    assert_eq!(fixture.cache_recorder.0.get(), (0, 0));
    let call = fixture.submit(1, "dawn", "dawn", model());
    fixture.finish(1, call);
    assert_eq!(fixture.cache_recorder.0.get(), (137, 130));
    fixture.step(0, Event::Ended(program_id("dawn")));
    assert_eq!(fixture.cache_recorder.0.get(), (0, 267));
}

#[test]
fn skips_calls_without_a_response() {
    let mut refused = Fixture::new(true);
    let call = refused.submit(1, "dawn", "dawn", model());
    refused.finish(1, call);
    refused.step(0, Event::Ended(program_id("dawn")));
    let mut cancelled = Fixture::new(false);
    let call = cancelled.submit(1, "dawn", "dawn", model());
    cancelled.step(1, Event::Cancelled(call));
    cancelled.step(0, Event::Ended(program_id("dawn")));
    assert!(refused.calls().is_empty());
    assert!(cancelled.calls().is_empty());
}

#[test]
fn evicts_the_oldest_program_beyond_the_limit() {
    let mut fixture = Fixture::new(false);
    for i in 0..=MAX_TRACED_PROGRAMS {
        let name = format!("dawn-{i}");
        let call = fixture.submit(1, &name, &name, service());
        fixture.finish(1, call);
    }
    let calls = fixture.calls();
    assert_eq!(calls.len(), 1);
    assert_eq!((&*calls[0].program, calls[0].last, calls[0].ended), ("dawn-0", true, false));
}

#[test]
fn keeps_the_newest_lines_within_the_byte_limit() {
    let log = TraceLog::default();
    let line = "x".repeat(MAX_TRACE_BYTES / 4);
    for _ in 0..6 {
        log.push(&line);
    }
    log.push("newest");
    assert_eq!(log.recent(u32::MAX).len(), 4);
    assert_eq!(log.recent(1), ["newest".into()]);
}
