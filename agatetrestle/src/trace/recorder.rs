//! Records the calls of this node in a bounded trace log, and tracks the usage of engine caches.
//!
//! The line of a call is written when the next call of its program has finished or the program has ended, because
//! it states whether the call was the last. Refused, cancelled and given-up calls are not recorded.

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

/// Maximum size of the trace log; the oldest lines are evicted first.
pub const MAX_TRACE_BYTES: usize = 8 << 20;

/// Maximum number of tracked programs; the one with the oldest response is evicted first.
pub const MAX_TRACED_PROGRAMS: usize = 1_000;

/// Tool of a pause for which none was reported.
const UNKNOWN_TOOL: &str = "unknown";

/// The newest trace lines, shared by the recorder and the operator RPC.
#[derive(Default)]
pub struct TraceLog(RefCell<Lines>);

#[derive(Default)]
struct Lines {
    lines: VecDeque<Arc<str>>,
    bytes: usize,
}

impl TraceLog {
    fn push(&self, line: &str) {
        let mut log = self.0.borrow_mut();
        log.bytes += line.len();
        log.lines.push_back(line.into());
        while log.bytes > MAX_TRACE_BYTES {
            let oldest = log.lines.pop_front();
            log.bytes -= oldest.map_or(0, |line| line.len());
        }
    }
}

impl Traces for TraceLog {
    fn recent(&self, limit: u32) -> Vec<Arc<str>> {
        let log = self.0.borrow();
        let skipped = log.lines.len().saturating_sub(limit as usize);
        log.lines.iter().skip(skipped).cloned().collect()
    }
}

/// Wraps a scheduler and records its events.
pub struct RecordingScheduler {
    inner: Box<dyn Scheduler>,
    log: Rc<TraceLog>,
    recorder: Rc<dyn Recorder>,
    cache_usage: CacheUsage,
    open_calls: HashMap<CallId, OpenCall>,
    programs: HashMap<ProgramId, ProgramTrace>,
}

/// A call in progress.
struct OpenCall {
    call: Call,
    arrived: Timestamp,
    sent: Timestamp,
}

#[derive(Default)]
struct ProgramTrace {
    call_count: u32,
    parent: Option<Parent>,
    last_response: Option<Timestamp>,
    tool: Option<Arc<str>>,
    /// The latest finished call, not yet written.
    unwritten: Option<TraceCall>,
    cache_usage: ProgramCacheUsage,
}

impl RecordingScheduler {
    /// Creates a scheduler that records the events of `inner` in `log` and its cache usage in `recorder`.
    #[must_use]
    pub fn new(inner: Box<dyn Scheduler>, log: Rc<TraceLog>, recorder: Rc<dyn Recorder>) -> Self {
        Self {
            inner,
            log,
            recorder,
            cache_usage: CacheUsage::default(),
            open_calls: HashMap::new(),
            programs: HashMap::new(),
        }
    }

    fn report_cache_usage(&self) {
        self.recorder.record_cache(self.cache_usage.held_tokens, self.cache_usage.wasted_tokens);
    }

    fn record_event(&mut self, now: Timestamp, event: &Event) {
        match event {
            Event::Submit(call) => {
                let open = OpenCall { call: call.clone(), arrived: now, sent: now };
                self.open_calls.insert(call.id, open);
            }
            Event::Finished { call, output_tokens, cached_tokens } => {
                self.record_finished(now, *call, *output_tokens, *cached_tokens);
            }
            Event::Cancelled(call) => drop(self.open_calls.remove(call)),
            Event::Paused { program, tool } => {
                if let Some(trace) = self.programs.get_mut(program) {
                    trace.tool = Some(tool.clone());
                }
            }
            Event::Ended(program) => self.end_program(program, true),
            _ => {}
        }
    }

    fn record_action(&mut self, now: Timestamp, action: &Action) {
        match action {
            Action::Dispatch { call, .. } => {
                if let Some(open) = self.open_calls.get_mut(call) {
                    open.sent = now;
                }
            }
            Action::Refuse { call, .. } | Action::GiveUp { call, .. } => drop(self.open_calls.remove(call)),
        }
    }

    fn record_cache_command(&mut self, command: &CacheCommand) {
        let (CacheCommand::Release { program, .. } | CacheCommand::Export { program, .. }) = command else {
            return;
        };
        if let Some(trace) = self.programs.get_mut(program) {
            self.cache_usage.record_release(&mut trace.cache_usage);
            self.report_cache_usage();
        }
    }

    fn record_finished(&mut self, now: Timestamp, id: CallId, output_tokens: u32, cached_tokens: u32) {
        let Some(open) = self.open_calls.remove(&id) else {
            return;
        };
        let program = open.call.program.clone();
        let mut trace = self.programs.remove(&program).unwrap_or_else(|| self.begin_program(&open.call));
        if let Some(previous) = trace.unwritten.take() {
            self.write(&previous);
        }
        trace.call_count += 1;
        let pause = trace.last_response.map(|at| Pause {
            tool: trace.tool.take().unwrap_or_else(|| UNKNOWN_TOOL.into()),
            micros: micros(open.arrived.since(at)),
        });
        if let Work::Model { prompt_tokens, .. } = open.call.work {
            let (prompt, cached) = (prompt_tokens.into(), cached_tokens.into());
            self.cache_usage.record_call(&mut trace.cache_usage, prompt, cached, output_tokens.into());
            self.report_cache_usage();
        }
        let service_time = now.since(open.sent);
        trace.unwritten = Some(trace_call(
            open,
            trace.call_count,
            trace.parent.clone(),
            pause,
            output_tokens,
            service_time,
        ));
        trace.last_response = Some(now);
        self.programs.insert(program, trace);
    }

    fn begin_program(&mut self, call: &Call) -> ProgramTrace {
        if self.programs.len() >= MAX_TRACED_PROGRAMS {
            self.evict_oldest();
        }
        let is_sub_agent = call.root != call.program;
        let parent = is_sub_agent.then(|| Parent {
            program: call.root.name.clone(),
            call: self.programs.get(&call.root).map_or(0, |trace| trace.call_count),
        });
        ProgramTrace { parent, ..ProgramTrace::default() }
    }

    fn evict_oldest(&mut self) {
        let oldest = self.programs.iter().min_by_key(|(_, trace)| trace.last_response);
        if let Some(program) = oldest.map(|(program, _)| program.clone()) {
            self.end_program(&program, false);
        }
    }

    fn end_program(&mut self, program: &ProgramId, reported: bool) {
        let Some(trace) = self.programs.remove(program) else {
            return;
        };
        self.cache_usage.record_end(trace.cache_usage);
        self.report_cache_usage();
        if let Some(last) = trace.unwritten {
            self.write(&TraceCall { last: true, ended: reported, ..last });
        }
    }

    fn write(&self, call: &TraceCall) {
        match format(std::slice::from_ref(call)) {
            Ok(line) => self.log.push(line.trim_end()),
            Err(e) => log::warn!(
                "Trace line of a call of {}/{} could not be serialized: {e}.",
                call.partner,
                call.program
            ),
        }
    }
}

fn trace_call(
    open: OpenCall,
    number: u32,
    parent: Option<Parent>,
    pause: Option<Pause>,
    output_tokens: u32,
    service_time: Duration,
) -> TraceCall {
    let OpenCall { call, arrived, .. } = open;
    let (kind, serves, blocks, prompt_tokens, output) = match call.work {
        Work::Model { model, blocks, prompt_tokens, .. } => {
            (CallKind::Model, model, blocks, prompt_tokens, output_tokens)
        }
        Work::Service { service } => {
            let micros = u32::try_from(micros(service_time)).unwrap_or(u32::MAX);
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
        self.record_event(now, &event);
        let decisions = self.inner.step(now, event);
        for action in &decisions.actions {
            self.record_action(now, action);
        }
        for command in &decisions.cache_commands {
            self.record_cache_command(command);
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
