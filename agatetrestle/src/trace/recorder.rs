//! Records the calls of this node as they pass the scheduler, in a bounded memory, and keeps the
//! account of what they hold and waste of the engines' caches.
//!
//! A line is written when the program's next call has an answer or the program has ended, because only
//! then is known whether the call was its last. Refused, cancelled and given-up calls leave no line.

use std::cell::RefCell;
use std::collections::HashMap;
use std::collections::VecDeque;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use crate::attempts::prefix::BLOCK_BYTES;
use crate::attempts::prefix::BYTES_PER_TOKEN;
use crate::clock::Timestamp;
use crate::clock::micros;
use crate::ids::ProgramId;
use crate::ports::Recorder;
use crate::ports::Traces;
use crate::programs::command::Repeatable;
use crate::retention::cache_usage::CacheUsage;
use crate::retention::cache_usage::ProgramCacheUsage;
use crate::scheduler::BackendState;
use crate::scheduler::Scheduler;
use crate::scheduler::event::Action;
use crate::scheduler::event::Backend;
use crate::scheduler::event::BackendKey;
use crate::scheduler::event::CacheCommand;
use crate::scheduler::event::Call;
use crate::scheduler::event::CallId;
use crate::scheduler::event::Decisions;
use crate::scheduler::event::Event;
use crate::scheduler::event::Work;
use crate::trace::CallKind;
use crate::trace::Parent;
use crate::trace::Pause;
use crate::trace::TraceCall;
use crate::trace::format;

/// Bytes of lines that are kept; the oldest go first.
pub const MAX_BYTES: usize = 8 << 20;

/// Programs whose last call is held back; the one that was answered longest ago goes first.
pub const MAX_PROGRAMS: usize = 1_000;

/// Name of a pause whose tool nobody told.
const UNKNOWN_TOOL: &str = "unknown";

/// The newest lines, shared by the recorder and the RPC for operators.
#[derive(Default)]
pub struct TraceLog(RefCell<Lines>);

#[derive(Default)]
struct Lines {
    lines: VecDeque<Arc<str>>,
    bytes: usize,
}

impl TraceLog {
    fn push(&self, line: &str) {
        let mut kept = self.0.borrow_mut();
        kept.bytes += line.len();
        kept.lines.push_back(line.into());
        while kept.bytes > MAX_BYTES {
            let oldest = kept.lines.pop_front();
            kept.bytes -= oldest.map_or(0, |line| line.len());
        }
    }
}

impl Traces for TraceLog {
    fn recent(&self, limit: u32) -> Vec<Arc<str>> {
        let kept = self.0.borrow();
        let skipped = kept.lines.len().saturating_sub(limit as usize);
        kept.lines.iter().skip(skipped).cloned().collect()
    }
}

/// A scheduler that records what another one is told.
pub struct RecordingScheduler {
    inner: Box<dyn Scheduler>,
    log: Rc<TraceLog>,
    recorder: Rc<dyn Recorder>,
    account: CacheUsage,
    open: HashMap<CallId, Open>,
    programs: HashMap<ProgramId, Story>,
}

/// A call without an answer.
struct Open {
    call: Call,
    arrived: Timestamp,
    sent: Timestamp,
}

/// What is known of a program so far.
#[derive(Default)]
struct Story {
    calls: u32,
    parent: Option<Parent>,
    answered: Option<Timestamp>,
    tool: Option<Arc<str>>,
    held: Option<TraceCall>,
    cache: ProgramCacheUsage,
}

impl RecordingScheduler {
    /// Records what `inner` is told into `log`, and the account of caches by `recorder`.
    #[must_use]
    pub fn new(inner: Box<dyn Scheduler>, log: Rc<TraceLog>, recorder: Rc<dyn Recorder>) -> Self {
        let account = CacheUsage::default();
        Self { inner, log, recorder, account, open: HashMap::new(), programs: HashMap::new() }
    }

    fn tell_account(&self) {
        self.recorder.record_cache(self.account.held_tokens, self.account.wasted_tokens);
    }

    fn note_event(&mut self, now: Timestamp, event: &Event) {
        match event {
            Event::Submit(call) => {
                let open = Open { call: call.clone(), arrived: now, sent: now };
                self.open.insert(call.id, open);
            }
            Event::Finished { call, output_tokens, cached_tokens } => {
                self.finish(now, *call, *output_tokens, *cached_tokens);
            }
            Event::Cancelled(call) => drop(self.open.remove(call)),
            Event::Paused { program, tool } => {
                if let Some(story) = self.programs.get_mut(program) {
                    story.tool = Some(tool.clone());
                }
            }
            Event::Ended(program) => self.end(program, true),
            _ => {}
        }
    }

    fn note_action(&mut self, now: Timestamp, action: &Action) {
        match action {
            Action::Dispatch { call, .. } => {
                if let Some(open) = self.open.get_mut(call) {
                    open.sent = now;
                }
            }
            Action::Refuse { call, .. } | Action::GiveUp { call, .. } => drop(self.open.remove(call)),
        }
    }

    fn note_order(&mut self, order: &CacheCommand) {
        let (CacheCommand::Release { program, .. } | CacheCommand::Export { program, .. }) = order else {
            return;
        };
        if let Some(story) = self.programs.get_mut(program) {
            self.account.record_release(&mut story.cache);
            self.tell_account();
        }
    }

    fn finish(&mut self, now: Timestamp, id: CallId, output_tokens: u32, cached_tokens: u32) {
        let Some(open) = self.open.remove(&id) else {
            return;
        };
        let program = open.call.program.clone();
        let mut story = self.programs.remove(&program).unwrap_or_else(|| self.begin(&open.call));
        if let Some(earlier) = story.held.take() {
            self.write(&earlier);
        }
        story.calls += 1;
        let pause = story.answered.map(|at| Pause {
            tool: story.tool.take().unwrap_or_else(|| UNKNOWN_TOOL.into()),
            micros: micros(open.arrived.since(at)),
        });
        if let Work::Model { prompt_tokens, .. } = open.call.work {
            let (prompt, cached) = (prompt_tokens.into(), cached_tokens.into());
            self.account.record_call(&mut story.cache, prompt, cached, output_tokens.into());
            self.tell_account();
        }
        let span = now.since(open.sent);
        story.held = Some(line(open, story.calls, story.parent.clone(), pause, output_tokens, span));
        story.answered = Some(now);
        self.programs.insert(program, story);
    }

    fn begin(&mut self, call: &Call) -> Story {
        if self.programs.len() >= MAX_PROGRAMS {
            self.forget_oldest();
        }
        let is_child = call.root != call.program;
        let parent = is_child.then(|| Parent {
            program: call.root.name.clone(),
            call: self.programs.get(&call.root).map_or(0, |story| story.calls),
        });
        Story { parent, ..Story::default() }
    }

    fn forget_oldest(&mut self) {
        let oldest = self.programs.iter().min_by_key(|(_, story)| story.answered);
        if let Some(program) = oldest.map(|(program, _)| program.clone()) {
            self.end(&program, false);
        }
    }

    fn end(&mut self, program: &ProgramId, told: bool) {
        let Some(story) = self.programs.remove(program) else {
            return;
        };
        self.account.record_end(story.cache);
        self.tell_account();
        if let Some(last) = story.held {
            self.write(&TraceCall { last: true, ended: told, ..last });
        }
    }

    fn write(&self, call: &TraceCall) {
        match format(std::slice::from_ref(call)) {
            Ok(line) => self.log.push(line.trim_end()),
            Err(e) => log::warn!("A call could not be recorded: {e}."),
        }
    }
}

fn line(
    open: Open,
    number: u32,
    parent: Option<Parent>,
    pause: Option<Pause>,
    output_tokens: u32,
    span: Duration,
) -> TraceCall {
    let Open { call, arrived, .. } = open;
    let (kind, serves, blocks, prompt_tokens, output) = match call.work {
        Work::Model { model, blocks, prompt_tokens, .. } => {
            (CallKind::Model, model, blocks, prompt_tokens, output_tokens)
        }
        Work::Service { service } => {
            let micros = u32::try_from(micros(span)).unwrap_or(u32::MAX);
            (CallKind::Service, service, Arc::default(), 0, micros)
        }
    };
    TraceCall {
        partner: call.program.partner,
        program: call.program.name,
        team: call.team,
        class: call.class,
        parent,
        call: number,
        last: false,
        kind,
        serves,
        repeatable: call.repeatable == Repeatable::Yes,
        blocks,
        block_tokens: u32::try_from(BLOCK_BYTES / BYTES_PER_TOKEN).unwrap_or(u32::MAX),
        prompt_tokens,
        output,
        pause,
        deadline: call.deadline.map(|at| micros(at.since(arrived))),
        arrival: arrived.0,
        ended: false,
    }
}

impl Scheduler for RecordingScheduler {
    fn step(&mut self, now: Timestamp, event: Event) -> Decisions {
        self.note_event(now, &event);
        let decisions = self.inner.step(now, event);
        for action in &decisions.actions {
            self.note_action(now, action);
        }
        for order in &decisions.cache_commands {
            self.note_order(order);
        }
        decisions
    }

    fn backend(&self, key: BackendKey) -> Option<&Backend> {
        self.inner.backend(key)
    }

    fn tick_interval(&self) -> Duration {
        self.inner.tick_interval()
    }

    fn backend_states(&self) -> Vec<BackendState> {
        self.inner.backend_states()
    }
}

#[cfg(test)]
mod tests;
