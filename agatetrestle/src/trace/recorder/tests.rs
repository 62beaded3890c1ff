//! Tests of the recorder.

use std::cell::Cell;

use super::*;
use crate::ports::Labels;
use crate::ports::Measurement;
use crate::scheduler::event::RefusalReason;
use crate::trace::parse;

/// Dispatches every call at once, or refuses every one; a tick releases what `dawn` holds.
struct Inner {
    refuse: bool,
}

#[derive(Default)]
struct Account(Cell<(u64, u64)>);

impl Recorder for Account {
    fn record(&self, _: &Labels, _: &Measurement) {}

    fn record_cache(&self, held: u64, wasted: u64) {
        self.0.set((held, wasted));
    }
}

impl Scheduler for Inner {
    fn step(&mut self, _: Timestamp, event: Event) -> Decisions {
        let order = CacheCommand::Release { program: named("dawn"), backend: BackendKey::default() };
        let call = match event {
            Event::Submit(call) => call,
            Event::Tick => return Decisions { cache_commands: vec![order], ..Decisions::default() },
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

struct Rig {
    recording: RecordingScheduler,
    log: Rc<TraceLog>,
    account: Rc<Account>,
    now: u64,
    calls: u64,
}

impl Rig {
    fn new(refuse: bool) -> Self {
        let log = Rc::new(TraceLog::default());
        let account = Rc::new(Account::default());
        let recorder: Rc<dyn Recorder> = account.clone();
        let recording = RecordingScheduler::new(Box::new(Inner { refuse }), Rc::clone(&log), recorder);
        Self { recording, log, account, now: 0, calls: 0 }
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
            program: named(program),
            root: named(root),
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

fn named(name: &str) -> ProgramId {
    ProgramId { partner: "vrsta".into(), name: name.into() }
}

fn model() -> Work {
    Work::Model { model: "assistant".into(), blocks: [1, 2].into(), prompt_tokens: 130, max_tokens: 20 }
}

fn service() -> Work {
    Work::Service { service: "rota".into() }
}

#[test]
fn a_program_is_recorded_with_pauses_a_sub_agent_and_its_end() {
    let mut rig = Rig::new(false);
    let first = rig.submit(100, "dawn", "dawn", model());
    rig.finish(50, first);
    rig.step(0, Event::Paused { program: named("dawn"), tool: "calendar".into() });
    let child = rig.submit(5, "search", "dawn", model());
    rig.finish(20, child);
    rig.step(0, Event::Ended(named("search")));
    let second = rig.submit(30, "dawn", "dawn", service());
    rig.finish(40, second);
    assert_eq!(rig.calls().len(), 2, "the last call is held back until the end is told");
    rig.step(0, Event::Ended(named("dawn")));
    insta::assert_snapshot!(rig.log.recent(u32::MAX).join("\n"));
}

#[test]
fn the_account_of_caches_follows_answers_releases_and_ends() {
    let mut rig = Rig::new(false);
    let call = rig.submit(1, "dawn", "dawn", model());
    rig.finish(1, call);
    assert_eq!(rig.account.0.get(), (137, 0));
    rig.step(1, Event::Tick);
    assert_eq!(rig.account.0.get(), (0, 0));
    let call = rig.submit(1, "dawn", "dawn", model());
    rig.finish(1, call);
    assert_eq!(rig.account.0.get(), (137, 130));
    rig.step(0, Event::Ended(named("dawn")));
    assert_eq!(rig.account.0.get(), (0, 267));
}

#[test]
fn calls_without_an_answer_leave_no_line() {
    let mut refused = Rig::new(true);
    let call = refused.submit(1, "dawn", "dawn", model());
    refused.finish(1, call);
    refused.step(0, Event::Ended(named("dawn")));
    let mut cancelled = Rig::new(false);
    let call = cancelled.submit(1, "dawn", "dawn", model());
    cancelled.step(1, Event::Cancelled(call));
    cancelled.step(0, Event::Ended(named("dawn")));
    assert!(refused.calls().is_empty());
    assert!(cancelled.calls().is_empty());
}

#[test]
fn programs_that_never_end_are_written_once_there_are_too_many() {
    let mut rig = Rig::new(false);
    for i in 0..=MAX_PROGRAMS {
        let name = format!("dawn-{i}");
        let call = rig.submit(1, &name, &name, service());
        rig.finish(1, call);
    }
    let calls = rig.calls();
    assert_eq!(calls.len(), 1);
    assert_eq!((&*calls[0].program, calls[0].last, calls[0].ended), ("dawn-0", true, false));
}

#[test]
fn lines_are_bounded_in_bytes_and_the_newest_stay() {
    let log = TraceLog::default();
    let line = "x".repeat(MAX_BYTES / 4);
    for _ in 0..6 {
        log.push(&line);
    }
    log.push("newest");
    assert_eq!(log.recent(u32::MAX).len(), 4);
    assert_eq!(log.recent(1), ["newest".into()]);
}
