//! Recording: a scheduler that writes down what it is told, so that the day can be replayed.

use std::collections::HashMap;
use std::collections::VecDeque;
use std::fmt;
use std::sync::Arc;
use std::time::Duration;

use crate::clock::Timestamp;
use crate::clock::micros;
use crate::ids::ProgramId;
use crate::ports::Traces;
use crate::programs::command::Repeatable;
use crate::scheduler::BackendState;
use crate::scheduler::Scheduler;
use crate::scheduler::event::Action;
use crate::scheduler::event::Backend;
use crate::scheduler::event::BackendKey;
use crate::scheduler::event::Call;
use crate::scheduler::event::CallId;
use crate::scheduler::event::Decisions;
use crate::scheduler::event::Event;
use crate::scheduler::event::Work;
use crate::trace::CallKind;
use crate::trace::Parent;
use crate::trace::Pause;
use crate::trace::TraceCall;

const UNKNOWN_TOOL: &str = "unknown";

#[derive(Debug, Default)]
struct Recorded {
    calls: u32,
    answered: Timestamp,
    tool: Option<Arc<str>>,
    last: Option<TraceCall>,
}

/// Passes everything on to a scheduler and keeps the newest answered calls, at most so many. The
/// newest call of a program is held back until it is known whether it was the last one.
pub struct Recording {
    inner: Box<dyn Scheduler>,
    capacity: usize,
    lines: VecDeque<TraceCall>,
    open: HashMap<CallId, (Timestamp, Call)>,
    programs: HashMap<ProgramId, Recorded>,
    order: VecDeque<ProgramId>,
}

impl fmt::Debug for Recording {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Recording").field("lines", &self.lines.len()).finish_non_exhaustive()
    }
}

impl Recording {
    /// Records in front of a scheduler; a capacity of 0 records nothing.
    #[must_use]
    pub fn new(inner: Box<dyn Scheduler>, capacity: usize) -> Self {
        Self {
            inner,
            capacity,
            lines: VecDeque::new(),
            open: HashMap::new(),
            programs: HashMap::new(),
            order: VecDeque::new(),
        }
    }

    fn note(&mut self, now: Timestamp, event: &Event) {
        match event {
            Event::Submit(call) => {
                self.open.insert(call.id, (now, call.clone()));
            }
            Event::Finished { call, output_tokens, .. } => self.answered(now, *call, *output_tokens),
            Event::Cancelled(call) => {
                self.open.remove(call);
            }
            Event::Paused { program, tool } => {
                if let Some(recorded) = self.programs.get_mut(program) {
                    recorded.tool = Some(tool.clone());
                }
            }
            Event::Ended(program) => self.ended(program),
            _ => {}
        }
    }

    fn answered(&mut self, now: Timestamp, id: CallId, output_tokens: u32) {
        let Some((arrival, call)) = self.open.remove(&id) else {
            return;
        };
        let parent = (call.root != call.program).then(|| Parent {
            program: call.root.name.clone(),
            call: self.programs.get(&call.root).map_or(0, |root| root.calls),
        });
        if !self.programs.contains_key(&call.program) {
            self.make_room();
            self.order.push_back(call.program.clone());
        }
        let recorded = self.programs.entry(call.program.clone()).or_default();
        let pause = (recorded.calls > 0).then(|| Pause {
            tool: recorded.tool.take().unwrap_or_else(|| UNKNOWN_TOOL.into()),
            micros: micros(arrival.since(recorded.answered)),
        });
        recorded.calls += 1;
        recorded.answered = now;
        let line = line(&call, recorded.calls, parent, pause, arrival, now, output_tokens);
        if let Some(before) = recorded.last.replace(line) {
            self.keep(before);
        }
    }

    fn ended(&mut self, program: &ProgramId) {
        let Some(recorded) = self.programs.remove(program) else {
            return;
        };
        self.order.retain(|known| known != program);
        if let Some(line) = recorded.last {
            self.keep(TraceCall { last: true, ended: true, ..line });
        }
    }

    /// Gives up the program that was entered first, so that programs that never end take no room.
    fn make_room(&mut self) {
        if self.programs.len() < self.capacity {
            return;
        }
        let first = self.order.pop_front();
        let recorded = first.and_then(|program| self.programs.remove(&program));
        if let Some(line) = recorded.and_then(|recorded| recorded.last) {
            self.keep(TraceCall { last: true, ..line });
        }
    }

    fn keep(&mut self, line: TraceCall) {
        if self.lines.len() >= self.capacity {
            self.lines.pop_front();
        }
        self.lines.push_back(line);
    }

    fn drop_turned_away(&mut self, decisions: &Decisions) {
        for action in &decisions.actions {
            if let Action::Refuse { call, .. } | Action::GiveUp { call, .. } = action {
                self.open.remove(call);
            }
        }
    }
}

impl Scheduler for Recording {
    fn step(&mut self, now: Timestamp, event: Event) -> Decisions {
        if self.capacity == 0 {
            return self.inner.step(now, event);
        }
        self.note(now, &event);
        let decisions = self.inner.step(now, event);
        self.drop_turned_away(&decisions);
        decisions
    }

    fn backend(&self, key: BackendKey) -> Option<&Backend> {
        self.inner.backend(key)
    }

    fn tick_within(&self) -> Duration {
        self.inner.tick_within()
    }

    fn loads(&self) -> Vec<BackendState> {
        self.inner.loads()
    }
}

impl Traces for Recording {
    fn recent(&self, limit: u32) -> Vec<Arc<str>> {
        let limit = usize::try_from(limit).unwrap_or(usize::MAX);
        let skipped = self.lines.len().saturating_sub(limit);
        let newest = self.lines.iter().skip(skipped);
        newest.filter_map(|line| serde_json::to_string(line).ok()).map(Arc::from).collect()
    }
}

fn line(
    call: &Call,
    number: u32,
    parent: Option<Parent>,
    pause: Option<Pause>,
    arrival: Timestamp,
    now: Timestamp,
    output_tokens: u32,
) -> TraceCall {
    let (kind, serves, blocks, prompt_tokens) = match &call.work {
        Work::Model { model, blocks, prompt_tokens, .. } => {
            (CallKind::Model, model.clone(), blocks.clone(), *prompt_tokens)
        }
        Work::Service { service } => (CallKind::Service, service.clone(), Arc::default(), 0),
    };
    let service_time = u32::try_from(micros(now.since(arrival))).unwrap_or(u32::MAX);
    let count = u32::try_from(blocks.len()).unwrap_or(u32::MAX);
    TraceCall {
        partner: call.program.partner.clone(),
        program: call.program.name.clone(),
        team: call.team.clone(),
        class: call.class.clone(),
        parent,
        call: number,
        last: false,
        kind,
        serves,
        repeatable: call.repeatable == Repeatable::Yes,
        block_tokens: prompt_tokens.checked_div(count).unwrap_or(0),
        blocks,
        prompt_tokens,
        output: if kind == CallKind::Model { output_tokens } else { service_time },
        pause,
        deadline: call.deadline.map(|deadline| micros(deadline.since(arrival))),
        arrival: arrival.0,
        ended: false,
    }
}

#[cfg(test)]
#[path = "tests.rs"]
mod tests;
