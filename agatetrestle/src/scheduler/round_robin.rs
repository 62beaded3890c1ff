//! First come first served over round robin: the baseline that every policy is measured against.

use std::collections::HashMap;
use std::collections::HashSet;
use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use slotmap::SlotMap;

use crate::clock::Timestamp;
use crate::programs::command::Repeatable;
use crate::scheduler::BackendState;
use crate::scheduler::Scheduler;
use crate::scheduler::event::Action;
use crate::scheduler::event::Backend;
use crate::scheduler::event::BackendKey;
use crate::scheduler::event::Call;
use crate::scheduler::event::CallId;
use crate::scheduler::event::Catalog;
use crate::scheduler::event::Decisions;
use crate::scheduler::event::Event;
use crate::scheduler::event::Failure;
use crate::scheduler::event::RefusalReason;
use crate::scheduler::event::Work;

const QUEUE_LIMIT: usize = 10_000;
const MAX_ATTEMPTS: u32 = 3;
const RETRY_AFTER: Duration = Duration::from_secs(1);
const TICK: Duration = Duration::from_secs(1);

#[derive(Debug)]
struct Running {
    call: Call,
    backend: BackendKey,
    attempts: u32,
}

#[derive(Debug)]
struct Slot {
    backend: Backend,
    running: u32,
}

/// Round robin over backend servers with a free slot; waiting calls go in order of arrival.
#[derive(Debug, Default)]
pub struct RoundRobinScheduler {
    backends: SlotMap<BackendKey, Slot>,
    names: HashMap<Arc<str>, BackendKey>,
    leaving: HashSet<Arc<str>>,
    queue: VecDeque<(Call, u32)>,
    running: HashMap<CallId, Running>,
    turn: usize,
}

impl RoundRobinScheduler {
    fn declare(&mut self, catalog: &Catalog) {
        let declared: HashSet<&Arc<str>> = catalog.backends.iter().map(|b| &b.name).collect();
        let gone: Vec<Arc<str>> =
            self.names.keys().filter(|name| !declared.contains(name)).cloned().collect();
        for name in gone {
            if let Some(key) = self.names.remove(&name) {
                self.backends.remove(key);
            }
        }
        for backend in &catalog.backends {
            if let Some(key) = self.names.get(&backend.name) {
                self.backends[*key].backend = backend.clone();
                continue;
            }
            let slot = Slot { backend: backend.clone(), running: 0 };
            let key = self.backends.insert(slot);
            self.names.insert(backend.name.clone(), key);
        }
    }

    fn is_leaving(&self, backend: &Backend) -> bool {
        self.leaving.contains(&backend.name) || self.leaving.contains(&backend.vm)
    }

    fn serves(backend: &Backend, work: &Work) -> bool {
        match work {
            Work::Model { model, .. } => backend.serves == *model,
            Work::Service { service } => backend.serves == *service,
        }
    }

    fn choose(&mut self, work: &Work) -> Option<BackendKey> {
        let free: Vec<BackendKey> = self
            .backends
            .iter()
            .filter(|(_, slot)| Self::serves(&slot.backend, work))
            .filter(|(_, slot)| !self.is_leaving(&slot.backend))
            .filter(|(_, slot)| slot.running < slot.backend.slots)
            .map(|(key, _)| key)
            .collect();
        if free.is_empty() {
            return None;
        }
        self.turn = self.turn.wrapping_add(1);
        Some(free[self.turn % free.len()])
    }

    fn dispatch_waiting(&mut self, decisions: &mut Decisions) {
        let mut kept = VecDeque::new();
        while let Some((call, attempts)) = self.queue.pop_front() {
            let Some(backend) = self.choose(&call.work) else {
                kept.push_back((call, attempts));
                continue;
            };
            self.backends[backend].running += 1;
            decisions.actions.push(Action::Dispatch { call: call.id, backend, priority: 0 });
            self.running.insert(call.id, Running { call, backend, attempts: attempts + 1 });
        }
        self.queue = kept;
    }

    fn submit(&mut self, call: Call, decisions: &mut Decisions) {
        let known = self.backends.values().any(|slot| Self::serves(&slot.backend, &call.work));
        let reason = match known {
            false => Some(RefusalReason::NoBackend),
            true if self.queue.len() >= QUEUE_LIMIT => Some(RefusalReason::Overload),
            true => None,
        };
        if let Some(reason) = reason {
            decisions.actions.push(Action::Refuse { call: call.id, reason, retry_after: RETRY_AFTER });
            return;
        }
        self.queue.push_back((call, 0));
    }

    fn release(&mut self, call: CallId) -> Option<Running> {
        let running = self.running.remove(&call)?;
        if let Some(slot) = self.backends.get_mut(running.backend) {
            slot.running -= 1;
        }
        Some(running)
    }

    fn fail(&mut self, call: CallId, failure: Failure, decisions: &mut Decisions) {
        let Some(running) = self.release(call) else {
            return;
        };
        let unsent = matches!(failure, Failure::Connect | Failure::Refused);
        let may_repeat = unsent || running.call.repeatable == Repeatable::Yes;
        if may_repeat && failure != Failure::Error && running.attempts < MAX_ATTEMPTS {
            self.queue.push_front((running.call, running.attempts));
            return;
        }
        decisions.actions.push(Action::GiveUp { call, retry_after: RETRY_AFTER });
    }
}

impl Scheduler for RoundRobinScheduler {
    fn step(&mut self, _now: Timestamp, event: Event) -> Decisions {
        let mut decisions = Decisions::default();
        match event {
            Event::Catalog(catalog) => self.declare(&catalog),
            Event::Submit(call) => self.submit(call, &mut decisions),
            Event::Finished { call, .. } => {
                self.release(call);
            }
            Event::Failed { call, failure } => self.fail(call, failure, &mut decisions),
            Event::Cancelled(call) => {
                self.queue.retain(|(waiting, _)| waiting.id != call);
                self.release(call);
            }
            Event::Leaving { name, leaving: true } => {
                self.leaving.insert(name);
            }
            Event::Leaving { name, leaving: false } => {
                self.leaving.remove(&name);
            }
            Event::FirstToken(_)
            | Event::Load { .. }
            | Event::Cache { .. }
            | Event::Paused { .. }
            | Event::Ended(_)
            | Event::Tick => {}
        }
        self.dispatch_waiting(&mut decisions);
        decisions
    }

    fn backend(&self, key: BackendKey) -> Option<&Backend> {
        self.backends.get(key).map(|slot| &slot.backend)
    }

    fn tick_interval(&self) -> Duration {
        TICK
    }

    fn backend_states(&self) -> Vec<BackendState> {
        let state = |slot: &Slot| {
            if self.is_leaving(&slot.backend) { "leaving" } else { "ready" }
        };
        let listing = |(key, slot): (BackendKey, &Slot)| BackendState {
            key,
            running: slot.running,
            state: state(slot),
        };
        self.backends.iter().map(listing).collect()
    }
}
