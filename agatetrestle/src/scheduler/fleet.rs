//! The backend servers with all that is known of their load, by pool of equal service.

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

const UNDECLARED_CACHE: u64 = 1 << 40;
const NORMAL_PACE: u64 = 100;
const PACE_WEIGHT: u64 = 8;

/// One backend server and what this node has to do with it.
#[derive(Debug)]
pub struct Server {
    /// As declared.
    pub backend: Backend,
    /// Its pool.
    pub pool: PoolKey,
    /// This node's calls in service there.
    pub running: u32,
    /// Calls in service and waiting there on behalf of other nodes, by its last report.
    pub foreign: u32,
    /// Most calls that this node sends at once.
    pub limit: u32,
    /// Tokens of prompts and expected answers in service, shared prefixes not counted.
    pub pinned_tokens: u64,
    /// Tokens held for programs in a pause, shared prefixes not counted.
    pub idle_tokens: u64,
    /// Programs in a pause by when they are expected back.
    pub idle: BTreeSet<(Timestamp, ProgramKey)>,
    /// Prompt tokens to compute before the last one sent has its first token.
    pub pending_prefill: u64,
    /// Waiting calls that were held back for this server in the last passes.
    pub deferred_calls: u32,
    /// Blocks believed to be in its prefix cache.
    pub residency: Residency,
    /// Time of a generated token against what is expected, in percent.
    pub slowdown_percent: u64,
    /// No new call before this time.
    pub resting_until: Timestamp,
    /// The watch over its outcomes.
    pub watch: Option<Box<dyn OutlierDetector>>,
    /// How often it was ejected in a row.
    pub ejections: u32,
    /// Whether it was found unhealthy.
    pub ejected: bool,
    /// Whether it is about to leave.
    pub leaving: bool,
    open_at: Option<usize>,
}

impl Server {
    /// Calls there as far as is known.
    #[must_use]
    pub fn load(&self) -> u32 {
        self.running + self.foreign
    }

    /// Whether a call may be sent to it now.
    #[must_use]
    pub fn is_open(&self) -> bool {
        self.open_at.is_some()
    }

    /// Whether it is an engine.
    #[must_use]
    pub fn is_engine(&self) -> bool {
        self.backend.kind == BackendKind::Engine
    }

    /// Tokens that its prefix cache may hold for programs, at this share in percent. A size that is not
    /// declared bounds nothing.
    #[must_use]
    pub fn cache_budget(&self, percent: u64) -> u64 {
        match self.backend.cache_tokens {
            0 => UNDECLARED_CACHE,
            tokens => tokens * percent / 100,
        }
    }

    /// Takes in the time of a generated token against what was expected, in percent.
    pub fn observe_pace(&mut self, percent: u64) {
        self.slowdown_percent = ((self.slowdown_percent * (PACE_WEIGHT - 1) + percent) / PACE_WEIGHT).max(1);
    }

    /// Whether it takes calls at all.
    #[must_use]
    pub fn usable(&self) -> bool {
        !self.leaving && !self.ejected && self.resting_until == Timestamp(0)
    }
}

/// Backend servers that serve the same.
#[derive(Debug, Default)]
pub struct Pool {
    /// All of them, in declared order.
    pub members: Vec<BackendKey>,
    /// Those that may be sent a call now.
    pub open: Vec<BackendKey>,
    /// This node's calls in service at all members.
    pub running: u64,
    /// Calls in service of programs that attained far more than is usual for their class.
    pub outliers: u64,
}

/// All backend servers.
#[derive(Debug, Default)]
pub struct Fleet {
    /// The servers.
    pub servers: SlotMap<BackendKey, Server>,
    /// The pools.
    pub pools: SlotMap<PoolKey, Pool>,
    names: HashMap<Arc<str>, BackendKey>,
    by_service: HashMap<(bool, Arc<str>), PoolKey>,
    leaving: HashSet<Arc<str>>,
}

impl Fleet {
    /// Takes in the declarations; returns the keys that are gone.
    pub fn declare(&mut self, catalog: &Catalog) -> Vec<BackendKey> {
        let declared: HashSet<&Arc<str>> = catalog.backends.iter().map(|b| &b.name).collect();
        let mut gone = Vec::new();
        self.names.retain(|name, key| {
            let stays = declared.contains(name);
            if !stays {
                gone.push(*key);
            }
            stays
        });
        gone.sort_unstable();
        for key in &gone {
            self.remove(*key);
        }
        for backend in &catalog.backends {
            self.declare_one(backend);
        }
        gone
    }

    /// The pool that serves some work.
    #[must_use]
    pub fn pool_for(&self, work: &Work) -> Option<PoolKey> {
        let wanted = match work {
            Work::Model { model, .. } => (true, model.clone()),
            Work::Service { service } => (false, service.clone()),
        };
        let pool = self.by_service.get(&wanted).copied()?;
        (!self.pools[pool].members.is_empty()).then_some(pool)
    }

    /// The server of this name.
    #[must_use]
    pub fn named(&self, name: &Arc<str>) -> Option<BackendKey> {
        self.names.get(name).copied()
    }

    /// Counts a call that is sent.
    pub fn acquire(&mut self, key: BackendKey) {
        if let Some(server) = self.servers.get_mut(key) {
            server.running += 1;
            self.pools[server.pool].running += 1;
        }
        self.refresh(key);
    }

    /// Counts a call that is no longer in service.
    pub fn release(&mut self, key: BackendKey) {
        if let Some(server) = self.servers.get_mut(key) {
            server.running = server.running.saturating_sub(1);
            let pool = &mut self.pools[server.pool];
            pool.running = pool.running.saturating_sub(1);
        }
        self.refresh(key);
    }

    /// Takes in a load report.
    pub fn report(&mut self, key: BackendKey, load: Load) {
        if let Some(server) = self.servers.get_mut(key) {
            server.foreign = load.running.saturating_add(load.waiting).saturating_sub(server.running);
        }
        self.refresh(key);
    }

    /// Marks a VM or backend server as leaving or back; returns the servers concerned.
    pub fn leave(&mut self, name: &Arc<str>, leaving: bool) -> Vec<BackendKey> {
        if leaving {
            self.leaving.insert(name.clone());
        } else {
            self.leaving.remove(name);
        }
        let concerned: Vec<BackendKey> = self
            .servers
            .iter()
            .filter(|(_, server)| server.backend.name == *name || server.backend.vm == *name)
            .map(|(key, _)| key)
            .collect();
        for key in &concerned {
            let backend = &self.servers[*key].backend;
            let marked = self.leaving.contains(&backend.name) || self.leaving.contains(&backend.vm);
            self.servers[*key].leaving = marked;
            self.refresh(*key);
        }
        concerned
    }

    /// Brings the list of open servers up to date with one server.
    pub fn refresh(&mut self, key: BackendKey) {
        let Some(server) = self.servers.get_mut(key) else {
            return;
        };
        let open = server.usable() && server.running < server.limit;
        let pool = &mut self.pools[server.pool];
        match (open, server.open_at) {
            (true, None) => {
                server.open_at = Some(pool.open.len());
                pool.open.push(key);
            }
            (false, Some(at)) => {
                server.open_at = None;
                pool.open.swap_remove(at);
                if let Some(moved) = pool.open.get(at) {
                    self.servers[*moved].open_at = Some(at);
                }
            }
            _ => {}
        }
    }

    fn declare_one(&mut self, backend: &Backend) {
        let leaving = self.leaving.contains(&backend.name) || self.leaving.contains(&backend.vm);
        let key = match self.names.get(&backend.name) {
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
        self.refresh(key);
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
            foreign: 0,
            limit: backend.slots,
            pinned_tokens: 0,
            idle_tokens: 0,
            idle: BTreeSet::new(),
            pending_prefill: 0,
            deferred_calls: 0,
            residency: Residency::default(),
            slowdown_percent: NORMAL_PACE,
            resting_until: Timestamp(0),
            watch: None,
            ejections: 0,
            ejected: false,
            leaving: false,
            open_at: None,
        });
        self.pools[pool].members.push(key);
        self.names.insert(backend.name.clone(), key);
        key
    }

    fn remove(&mut self, key: BackendKey) {
        if let Some(server) = self.servers.get_mut(key) {
            server.limit = 0;
        }
        self.refresh(key);
        if let Some(server) = self.servers.remove(key) {
            let pool = &mut self.pools[server.pool];
            pool.running = pool.running.saturating_sub(server.running.into());
            pool.members.retain(|member| *member != key);
        }
    }
}
