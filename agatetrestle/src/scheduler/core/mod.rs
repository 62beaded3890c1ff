//! The scheduler proper: state and the order in which its parts are asked.

mod dispatch;
mod door;
mod ejection;
mod housekeeping;
mod memory;
mod outcome;
mod submit;

use std::collections::BTreeSet;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use slotmap::SecondaryMap;
use slotmap::SlotMap;

use crate::admission::queue::CallKey;
use crate::admission::queue::FairQueue;
use crate::admission::queue::Owner;
use crate::admission::queue::QueuedCall;
use crate::admission::retry::RetryBudgets;
use crate::admission::tokens::TokenAdmission;
use crate::clock::Timestamp;
use crate::health::failure_rates::FailureRates;
use crate::placing::Placer;
use crate::retention::pauses::PauseHistograms;
use crate::scheduler::BackendState;
use crate::scheduler::Scheduler;
use crate::scheduler::classes::Classes;
use crate::scheduler::config::SchedulerConfig;
use crate::scheduler::event::Backend;
use crate::scheduler::event::BackendKey;
use crate::scheduler::event::CacheChange;
use crate::scheduler::event::Call;
use crate::scheduler::event::CallId;
use crate::scheduler::event::Catalog;
use crate::scheduler::event::Decisions;
use crate::scheduler::event::Event;
use crate::scheduler::fleet::Fleet;
use crate::scheduler::fleet::PoolKey;
use crate::scheduler::order::Order;
use crate::scheduler::programs::ProgramKey;
use crate::scheduler::programs::Programs;
use crate::scheduler::random::Random;

/// The parts in which policies differ.
#[derive(Debug)]
pub struct Parts {
    /// Which call goes first.
    pub order: Box<dyn Order>,
    /// Where it goes.
    pub placer: Box<dyn Placer>,
    /// Whether cache is kept, exported and released by order.
    pub retention: bool,
    /// Whether failing backend servers are ejected.
    pub health: bool,
    /// Whether partners and teams are held to their shares, and new programs wait at the door while
    /// there is no memory for them.
    pub shares: bool,
}

#[derive(Debug)]
struct InService {
    server: BackendKey,
    first_token: Option<Timestamp>,
    uncached: u64,
    pinned: u64,
    charged: u64,
    outlier: bool,
}

#[derive(Debug)]
enum State {
    AtDoor(QueuedCall),
    Waiting(QueuedCall),
    Delayed(Timestamp),
    InService(InService),
}

#[derive(Debug)]
struct Entry {
    call: Call,
    owner: Owner,
    pool: PoolKey,
    program: ProgramKey,
    root: ProgramKey,
    submitted: Timestamp,
    expected_output: u64,
    attempts: u32,
    state: State,
}

/// Decides about calls by the parts that it was given.
#[derive(Debug)]
pub struct Core {
    cfg: SchedulerConfig,
    parts: Parts,
    catalog: Arc<Catalog>,
    fleet: Fleet,
    programs: Programs,
    classes: Classes,
    calls: SlotMap<CallKey, Entry>,
    ids: HashMap<CallId, CallKey>,
    queues: SecondaryMap<PoolKey, FairQueue>,
    outliers: SecondaryMap<PoolKey, FairQueue>,
    doors: SecondaryMap<PoolKey, TokenAdmission>,
    impatient: BTreeSet<(Timestamp, CallKey)>,
    delayed: BTreeSet<(Timestamp, CallKey)>,
    resting: BTreeSet<(Timestamp, BackendKey)>,
    ejected: BTreeSet<(Timestamp, BackendKey)>,
    risk: FailureRates,
    returns: PauseHistograms,
    retries: RetryBudgets,
    rng: Random,
    sequence: u64,
}

impl Core {
    /// A scheduler without declarations; it refuses everything until a catalog comes.
    #[must_use]
    pub fn new(parts: Parts, cfg: SchedulerConfig, seed: u64) -> Self {
        Self {
            retries: RetryBudgets::new(cfg.retry_percent),
            cfg,
            parts,
            catalog: Arc::default(),
            fleet: Fleet::default(),
            programs: Programs::default(),
            classes: Classes::default(),
            calls: SlotMap::with_key(),
            ids: HashMap::new(),
            queues: SecondaryMap::new(),
            outliers: SecondaryMap::new(),
            doors: SecondaryMap::new(),
            impatient: BTreeSet::new(),
            delayed: BTreeSet::new(),
            resting: BTreeSet::new(),
            ejected: BTreeSet::new(),
            risk: FailureRates::default(),
            returns: PauseHistograms::default(),
            rng: Random::new(seed),
            sequence: 0,
        }
    }

    /// Calls and programs that it remembers, for tests of what is freed.
    #[must_use]
    pub fn remembered(&self) -> (usize, usize) {
        (self.calls.len(), self.programs.len())
    }

    fn take_catalog(&mut self, now: Timestamp, catalog: &Arc<Catalog>, decisions: &mut Decisions) {
        self.catalog = catalog.clone();
        self.classes.declare(catalog);
        self.fleet.declare(catalog);
        self.pass_all(now, decisions);
    }

    fn take_cache_change(&mut self, backend: &Arc<str>, change: &CacheChange) {
        let Some(key) = self.fleet.named(backend) else {
            return;
        };
        let Some(server) = self.fleet.servers.get_mut(key) else {
            return;
        };
        match change {
            CacheChange::Stored(blocks) => server.residency.insert(blocks),
            CacheChange::Evicted(blocks) => server.residency.remove(blocks),
            CacheChange::Cleared => server.residency.clear(),
        }
    }
}

impl Scheduler for Core {
    fn step(&mut self, now: Timestamp, event: Event) -> Decisions {
        let mut decisions = Decisions::default();
        match event {
            Event::Catalog(catalog) => self.take_catalog(now, &catalog, &mut decisions),
            Event::Submit(call) => self.submit(now, call, &mut decisions),
            Event::FirstToken(call) => self.first_token(now, call),
            Event::Finished { call, output_tokens, cached_tokens } => {
                self.finished(now, call, output_tokens.into(), cached_tokens.into(), &mut decisions);
            }
            Event::Failed { call, failure } => self.failed(now, call, failure, &mut decisions),
            Event::Cancelled(call) => self.cancelled(now, call, &mut decisions),
            Event::Load { backend, load } => {
                if let Some(key) = self.fleet.named(&backend) {
                    self.fleet.report(key, load);
                }
            }
            Event::Cache { backend, change } => self.take_cache_change(&backend, &change),
            Event::Leaving { name, leaving } => {
                self.fleet.leave(&name, leaving);
                self.pass_all(now, &mut decisions);
            }
            Event::Paused { program, tool } => self.paused(&program, tool),
            Event::Ended(program) => self.ended(now, &program, &mut decisions),
            Event::Tick => self.tick(now, &mut decisions),
        }
        decisions
    }

    fn backend(&self, key: BackendKey) -> Option<&Backend> {
        self.fleet.servers.get(key).map(|server| &server.backend)
    }

    fn tick_interval(&self) -> Duration {
        self.cfg.tick
    }

    fn backend_states(&self) -> Vec<BackendState> {
        let listing = |(key, server): (BackendKey, &crate::scheduler::fleet::Server)| BackendState {
            key,
            running: server.running,
            state: match (server.leaving, server.ejected) {
                (true, _) => "leaving",
                (false, true) => "ejected",
                (false, false) => "ready",
            },
        };
        self.fleet.servers.iter().map(listing).collect()
    }
}

#[cfg(test)]
mod tests;
