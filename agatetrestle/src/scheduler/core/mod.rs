//! The scheduler that all policies except plain round robin configure.

mod admission;
mod cache;
mod dispatch;
mod ejection;
mod housekeeping;
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

/// Components in which policies differ.
#[derive(Debug)]
pub struct Components {
    /// Order of service.
    pub order: Box<dyn Order>,
    /// Placement of calls on servers.
    pub placer: Box<dyn Placer>,
    /// Whether prefixes are exported, imported and released by command.
    pub retention: bool,
    /// Whether unhealthy backend servers are ejected.
    pub health: bool,
    /// Whether shares of partners and teams are enforced, new programs wait for cache memory and outliers are
    /// limited.
    pub shares: bool,
}

#[derive(Debug)]
struct InService {
    server: BackendKey,
    first_token: Option<Timestamp>,
    prefill_tokens: u64,
    pinned_tokens: u64,
    charged_service: u64,
    is_outlier: bool,
}

#[derive(Debug)]
enum CallPhase {
    AwaitingAdmission(QueuedCall),
    Queued(QueuedCall),
    Delayed(Timestamp),
    InService(InService),
}

#[derive(Debug)]
struct CallEntry {
    call: Call,
    owner: Owner,
    pool: PoolKey,
    program: ProgramKey,
    root: ProgramKey,
    submitted: Timestamp,
    expected_output: u64,
    attempts: u32,
    phase: CallPhase,
}

/// A scheduler assembled from [`Components`].
#[derive(Debug)]
pub struct Core {
    cfg: SchedulerConfig,
    components: Components,
    catalog: Arc<Catalog>,
    fleet: Fleet,
    programs: Programs,
    classes: Classes,
    calls: SlotMap<CallKey, CallEntry>,
    keys_by_id: HashMap<CallId, CallKey>,
    queues: SecondaryMap<PoolKey, FairQueue>,
    outlier_queues: SecondaryMap<PoolKey, FairQueue>,
    admissions: SecondaryMap<PoolKey, TokenAdmission>,
    admission_timeouts: BTreeSet<(Timestamp, CallKey)>,
    delayed: BTreeSet<(Timestamp, CallKey)>,
    backoffs: BTreeSet<(Timestamp, BackendKey)>,
    ejected: BTreeSet<(Timestamp, BackendKey)>,
    failure_rates: FailureRates,
    pauses: PauseHistograms,
    retries: RetryBudgets,
    rng: Random,
    sequence: u64,
}

impl Core {
    /// Creates a scheduler without declarations, which refuses all calls until it gets a catalog.
    #[must_use]
    pub fn new(components: Components, cfg: SchedulerConfig, seed: u64) -> Self {
        Self {
            retries: RetryBudgets::new(cfg.retry_percent),
            cfg,
            components,
            catalog: Arc::default(),
            fleet: Fleet::default(),
            programs: Programs::default(),
            classes: Classes::default(),
            calls: SlotMap::with_key(),
            keys_by_id: HashMap::new(),
            queues: SecondaryMap::new(),
            outlier_queues: SecondaryMap::new(),
            admissions: SecondaryMap::new(),
            admission_timeouts: BTreeSet::new(),
            delayed: BTreeSet::new(),
            backoffs: BTreeSet::new(),
            ejected: BTreeSet::new(),
            failure_rates: FailureRates::default(),
            pauses: PauseHistograms::default(),
            rng: Random::new(seed),
            sequence: 0,
        }
    }

    /// Number of calls and programs in memory, for tests.
    #[must_use]
    pub fn tracked_counts(&self) -> (usize, usize) {
        (self.calls.len(), self.programs.len())
    }

    fn apply_catalog(&mut self, now: Timestamp, catalog: &Arc<Catalog>, decisions: &mut Decisions) {
        self.catalog = catalog.clone();
        self.classes.set_catalog(catalog);
        self.fleet.set_catalog(catalog);
        self.dispatch_all(now, decisions);
    }

    fn apply_cache_change(&mut self, backend: &Arc<str>, change: &CacheChange) {
        let Some(key) = self.fleet.find(backend) else {
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
            Event::Catalog(catalog) => self.apply_catalog(now, &catalog, &mut decisions),
            Event::Submit(call) => self.submit(now, call, &mut decisions),
            Event::FirstToken(call) => self.first_token(now, call),
            Event::Finished { call, output_tokens, cached_tokens } => {
                self.finished(now, call, output_tokens.into(), cached_tokens.into(), &mut decisions);
            }
            Event::Failed { call, failure } => self.failed(now, call, failure, &mut decisions),
            Event::Cancelled(call) => self.cancelled(now, call, &mut decisions),
            Event::Load { backend, load } => {
                if let Some(key) = self.fleet.find(&backend) {
                    self.fleet.update_load(key, load);
                }
            }
            Event::Cache { backend, change } => self.apply_cache_change(&backend, &change),
            Event::Leaving { name, leaving } => {
                self.fleet.set_leaving(&name, leaving);
                self.dispatch_all(now, &mut decisions);
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
