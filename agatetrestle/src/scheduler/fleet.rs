//! Backend servers with their load, grouped into pools that serve the same model or service.

use std::collections::BTreeSet;
use std::collections::HashMap;
use std::collections::HashSet;
use std::sync::Arc;

use agatetrestle_config::declarations::BackendKind;
use slotmap::SlotMap;
use slotmap::new_key_type;

use crate::clock::Timestamp;
use crate::health::OutlierDetector;
use crate::placing::residency::Residency;
use crate::scheduler::event::Backend;
use crate::scheduler::event::BackendKey;
use crate::scheduler::event::Catalog;
use crate::scheduler::event::Load;
use crate::scheduler::event::Work;
use crate::scheduler::programs::ProgramKey;

new_key_type! {
    /// Key of a pool of backend servers that serve the same model or service.
    pub struct PoolKey;
}

const UNDECLARED_CACHE_TOKENS: u64 = 1 << 40;
const INITIAL_SLOWDOWN_PERCENT: u64 = 100;
const SLOWDOWN_SAMPLES: u64 = 8;

/// A backend server and its state on this node.
#[derive(Debug)]
pub struct Server {
    /// Its declaration.
    pub backend: Backend,
    /// Its pool.
    pub pool: PoolKey,
    /// This node's calls in service on it.
    pub running: u32,
    /// Calls of other nodes, in service or waiting, by its last load report.
    pub remote_calls: u32,
    /// Maximum number of this node's concurrent calls.
    pub limit: u32,
    /// Tokens of prompts and expected responses in service, without shared prefixes.
    pub pinned_tokens: u64,
    /// Cached tokens of paused programs, without shared prefixes.
    pub idle_tokens: u64,
    /// Paused programs, ordered by the expected time of their next call.
    pub idle_programs: BTreeSet<(Timestamp, ProgramKey)>,
    /// Prompt tokens in service that are still to be computed.
    pub pending_prefill: u64,
    /// Waiting calls that the current dispatch pass keeps for this server.
    pub deferred_calls: u32,
    /// Estimated content of its prefix cache.
    pub residency: Residency,
    /// Time per generated token as a percentage of the expected time.
    pub slowdown_percent: u64,
    /// It gets no new call before this time; 0 without a backoff.
    pub backoff_until: Timestamp,
    /// Detector of failures, created at its first outcome.
    pub outlier_detector: Option<Box<dyn OutlierDetector>>,
    /// Consecutive ejections.
    pub ejections: u32,
    /// Whether it is ejected as unhealthy.
    pub ejected: bool,
    /// Whether it, or its VM, is leaving.
    pub leaving: bool,
    open_index: Option<usize>,
}

impl Server {
    /// Known calls on it, of this node and others.
    #[must_use]
    pub fn load(&self) -> u32 {
        self.running + self.remote_calls
    }

    /// Whether it accepts a call and has a free slot.
    #[must_use]
    pub fn is_open(&self) -> bool {
        self.open_index.is_some()
    }

    /// Whether it is an engine.
    #[must_use]
    pub fn is_engine(&self) -> bool {
        self.backend.kind == BackendKind::Engine
    }

    /// `percent` of its prefix cache in tokens. An undeclared size counts as unlimited.
    #[must_use]
    pub fn cache_budget(&self, percent: u64) -> u64 {
        match self.backend.cache_tokens {
            0 => UNDECLARED_CACHE_TOKENS,
            tokens => tokens * percent / 100,
        }
    }

    /// Records the time per generated token as a percentage of the expected time.
    pub fn record_token_time(&mut self, percent: u64) {
        self.slowdown_percent =
            ((self.slowdown_percent * (SLOWDOWN_SAMPLES - 1) + percent) / SLOWDOWN_SAMPLES).max(1);
    }

    /// Whether it accepts calls, free slots aside.
    #[must_use]
    pub fn usable(&self) -> bool {
        !self.leaving && !self.ejected && self.backoff_until == Timestamp(0)
    }
}

/// Backend servers that serve the same model or service.
#[derive(Debug, Default)]
pub struct Pool {
    /// All members, in order of insertion.
    pub members: Vec<BackendKey>,
    /// Members that accept a call now.
    pub open: Vec<BackendKey>,
    /// This node's calls in service on all members.
    pub running: u64,
    /// Calls in service of programs that have attained far more service than the mean of their class.
    pub outlier_calls: u64,
}

/// All backend servers and pools.
#[derive(Debug, Default)]
pub struct Fleet {
    /// Servers by key.
    pub servers: SlotMap<BackendKey, Server>,
    /// Pools by key.
    pub pools: SlotMap<PoolKey, Pool>,
    by_name: HashMap<Arc<str>, BackendKey>,
    by_service: HashMap<(bool, Arc<str>), PoolKey>,
    leaving: HashSet<Arc<str>>,
}

impl Fleet {
    /// Applies the declarations and returns the keys of removed servers.
    pub fn set_catalog(&mut self, catalog: &Catalog) -> Vec<BackendKey> {
        let declared: HashSet<&Arc<str>> = catalog.backends.iter().map(|b| &b.name).collect();
        let mut removed = Vec::new();
        self.by_name.retain(|name, key| {
            let retained = declared.contains(name);
            if !retained {
                removed.push(*key);
            }
            retained
        });
        removed.sort_unstable();
        for key in &removed {
            self.remove(*key);
        }
        for backend in &catalog.backends {
            self.set_backend(backend);
        }
        removed
    }

    /// Looks up the pool for a request.
    #[must_use]
    pub fn pool_for(&self, work: &Work) -> Option<PoolKey> {
        let service = match work {
            Work::Model { model, .. } => (true, model.clone()),
            Work::Service { service } => (false, service.clone()),
        };
        let pool = self.by_service.get(&service).copied()?;
        (!self.pools[pool].members.is_empty()).then_some(pool)
    }

    /// Looks up a server by name.
    #[must_use]
    pub fn find(&self, name: &Arc<str>) -> Option<BackendKey> {
        self.by_name.get(name).copied()
    }

    /// Counts a call as sent to a server.
    pub fn acquire(&mut self, key: BackendKey) {
        if let Some(server) = self.servers.get_mut(key) {
            server.running += 1;
            self.pools[server.pool].running += 1;
        }
        self.update_open(key);
    }

    /// Counts a call as no longer in service on a server.
    pub fn release(&mut self, key: BackendKey) {
        if let Some(server) = self.servers.get_mut(key) {
            server.running = server.running.saturating_sub(1);
            let pool = &mut self.pools[server.pool];
            pool.running = pool.running.saturating_sub(1);
        }
        self.update_open(key);
    }

    /// Applies a load report.
    pub fn update_load(&mut self, key: BackendKey, load: Load) {
        if let Some(server) = self.servers.get_mut(key) {
            server.remote_calls = load.running.saturating_add(load.waiting).saturating_sub(server.running);
        }
        self.update_open(key);
    }

    /// Marks a VM or backend server as leaving or returned, and returns the affected servers.
    pub fn set_leaving(&mut self, name: &Arc<str>, leaving: bool) -> Vec<BackendKey> {
        if leaving {
            self.leaving.insert(name.clone());
        } else {
            self.leaving.remove(name);
        }
        let affected: Vec<BackendKey> = self
            .servers
            .iter()
            .filter(|(_, server)| server.backend.name == *name || server.backend.vm == *name)
            .map(|(key, _)| key)
            .collect();
        for key in &affected {
            let backend = &self.servers[*key].backend;
            let is_leaving = self.leaving.contains(&backend.name) || self.leaving.contains(&backend.vm);
            self.servers[*key].leaving = is_leaving;
            self.update_open(*key);
        }
        affected
    }

    /// Updates the membership of a server in its pool's list of open servers.
    pub fn update_open(&mut self, key: BackendKey) {
        let Some(server) = self.servers.get_mut(key) else {
            return;
        };
        let open = server.usable() && server.running < server.limit;
        let pool = &mut self.pools[server.pool];
        match (open, server.open_index) {
            (true, None) => {
                server.open_index = Some(pool.open.len());
                pool.open.push(key);
            }
            (false, Some(index)) => {
                server.open_index = None;
                pool.open.swap_remove(index);
                if let Some(moved) = pool.open.get(index) {
                    self.servers[*moved].open_index = Some(index);
                }
            }
            _ => {}
        }
    }

    fn set_backend(&mut self, backend: &Backend) {
        let leaving = self.leaving.contains(&backend.name) || self.leaving.contains(&backend.vm);
        let key = match self.by_name.get(&backend.name) {
            Some(key) if self.same_service(*key, backend) => *key,
            known => {
                if let Some(key) = known.copied() {
                    self.remove(key);
                }
                self.insert(backend)
            }
        };
        let server = &mut self.servers[key];
        server.limit = backend.slots;
        server.leaving = leaving;
        server.backend = backend.clone();
        self.update_open(key);
    }

    fn same_service(&self, key: BackendKey, backend: &Backend) -> bool {
        let known = &self.servers[key].backend;
        known.serves == backend.serves && known.kind == backend.kind
    }

    fn insert(&mut self, backend: &Backend) -> BackendKey {
        let service = (backend.kind == BackendKind::Engine, backend.serves.clone());
        let pools = &mut self.pools;
        let pool = *self.by_service.entry(service).or_insert_with(|| pools.insert(Pool::default()));
        let key = self.servers.insert(Server {
            backend: backend.clone(),
            pool,
            running: 0,
            remote_calls: 0,
            limit: backend.slots,
            pinned_tokens: 0,
            idle_tokens: 0,
            idle_programs: BTreeSet::new(),
            pending_prefill: 0,
            deferred_calls: 0,
            residency: Residency::default(),
            slowdown_percent: INITIAL_SLOWDOWN_PERCENT,
            backoff_until: Timestamp(0),
            outlier_detector: None,
            ejections: 0,
            ejected: false,
            leaving: false,
            open_index: None,
        });
        self.pools[pool].members.push(key);
        self.by_name.insert(backend.name.clone(), key);
        key
    }

    fn remove(&mut self, key: BackendKey) {
        if let Some(server) = self.servers.get_mut(key) {
            server.limit = 0;
        }
        self.update_open(key);
        if let Some(server) = self.servers.remove(key) {
            let pool = &mut self.pools[server.pool];
            pool.running = pool.running.saturating_sub(server.running.into());
            pool.members.retain(|member| *member != key);
        }
    }
}
