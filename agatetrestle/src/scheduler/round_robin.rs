//! First come, first served with round robin placement: the baseline for comparing policies.

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

const MAX_QUEUED_CALLS: usize = 10_000;
const MAX_ATTEMPTS: u32 = 3;
const RETRY_AFTER: Duration = Duration::from_secs(1);
const TICK_INTERVAL: Duration = Duration::from_secs(1);

#[derive(Debug)]
struct Running {
    call: Call,
    backend: BackendKey,
    attempts: u32,
}

#[derive(Debug)]
struct BackendEntry {
    backend: Backend,
    running: u32,
}

/// Sends calls in order of arrival to backend servers with a free slot, in turn.
#[derive(Debug, Default)]
pub struct RoundRobinScheduler {
    backends: SlotMap<BackendKey, BackendEntry>,
    by_name: HashMap<Arc<str>, BackendKey>,
    leaving: HashSet<Arc<str>>,
    queue: VecDeque<(Call, u32)>,
    running: HashMap<CallId, Running>,
    rotation: usize,
}

impl RoundRobinScheduler {
    fn set_catalog(&mut self, catalog: &Catalog) {
        let declared: HashSet<&Arc<str>> = catalog.backends.iter().map(|b| &b.name).collect();
        let removed: Vec<Arc<str>> =
            self.by_name.keys().filter(|name| !declared.contains(name)).cloned().collect();
        for name in removed {
            if let Some(key) = self.by_name.remove(&name) {
                self.backends.remove(key);
            }
        }
        for backend in &catalog.backends {
            if let Some(key) = self.by_name.get(&backend.name) {
                self.backends[*key].backend = backend.clone();
                continue;
            }
            let entry = BackendEntry { backend: backend.clone(), running: 0 };
            let key = self.backends.insert(entry);
            self.by_name.insert(backend.name.clone(), key);
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
            .filter(|(_, entry)| Self::serves(&entry.backend, work))
            .filter(|(_, entry)| !self.is_leaving(&entry.backend))
            .filter(|(_, entry)| entry.running < entry.backend.slots)
            .map(|(key, _)| key)
            .collect();
        if free.is_empty() {
            return None;
        }
        self.rotation = self.rotation.wrapping_add(1);
        Some(free[self.rotation % free.len()])
    }

    fn dispatch_waiting(&mut self, decisions: &mut Decisions) {
        let mut still_waiting = VecDeque::new();
        while let Some((call, attempts)) = self.queue.pop_front() {
            let Some(backend) = self.choose(&call.work) else {
                still_waiting.push_back((call, attempts));
                continue;
            };
            self.backends[backend].running += 1;
            decisions.actions.push(Action::Dispatch { call: call.id, backend, priority: 0 });
            self.running.insert(call.id, Running { call, backend, attempts: attempts + 1 });
        }
        self.queue = still_waiting;
    }

    fn submit(&mut self, call: Call, decisions: &mut Decisions) {
        let is_served = self.backends.values().any(|entry| Self::serves(&entry.backend, &call.work));
        let reason = match is_served {
            false => Some(RefusalReason::NoBackend),
            true if self.queue.len() >= MAX_QUEUED_CALLS => Some(RefusalReason::Overload),
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
        if let Some(entry) = self.backends.get_mut(running.backend) {
            entry.running -= 1;
        }
        Some(running)
    }

    fn handle_failure(&mut self, call: CallId, failure: Failure, decisions: &mut Decisions) {
        let Some(running) = self.release(call) else {
            return;
        };
        let is_unsent = matches!(failure, Failure::Connect | Failure::Refused);
        let can_retry = is_unsent || running.call.repeatable == Repeatable::Yes;
        if can_retry && failure != Failure::Error && running.attempts < MAX_ATTEMPTS {
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
            Event::Catalog(catalog) => self.set_catalog(&catalog),
            Event::Submit(call) => self.submit(call, &mut decisions),
            Event::Finished { call, .. } => {
                self.release(call);
            }
            Event::Failed { call, failure } => self.handle_failure(call, failure, &mut decisions),
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
        self.backends.get(key).map(|entry| &entry.backend)
    }

    fn tick_interval(&self) -> Duration {
        TICK_INTERVAL
    }

    fn backend_states(&self) -> Vec<BackendState> {
        let state = |entry: &BackendEntry| {
            if self.is_leaving(&entry.backend) { "leaving" } else { "ready" }
        };
        let listing = |(key, entry): (BackendKey, &BackendEntry)| BackendState {
            key,
            running: entry.running,
            state: state(entry),
        };
        self.backends.iter().map(listing).collect()
    }
}
