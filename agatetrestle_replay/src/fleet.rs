//! The fake backend servers of a replay and their present faults.

use std::collections::HashMap;
use std::sync::Arc;

use agatetrestle::scheduler::event::Catalog;
use agatetrestle_config::declarations::BackendKind;

use crate::catalog::Pool;
use crate::engine::Engine;
use crate::faults::FaultKind;
use crate::host::HostStore;

const USUAL_EVENT_LOSS: u32 = 2;

/// One fake backend server.
#[derive(Debug)]
pub struct Server {
    /// Declared name.
    pub name: Arc<str>,
    /// Its VM.
    pub vm: Arc<str>,
    /// The engine, if it is one.
    pub engine: Option<Engine>,
    /// Count of plans, so that a wake-up of an older plan is ignored.
    pub plan: u64,
    /// Whether it takes no connection.
    pub dead: bool,
    /// Percent of the load that it reports.
    pub honesty: u32,
    /// Percent of cache events that are lost.
    pub event_loss: u32,
    /// Percent of calls that fail.
    pub failing: u32,
    /// Since when it leaves.
    pub leaving: Option<u64>,
    /// When the scheduler was first told that it leaves.
    pub sign: Option<u64>,
}

/// All of them with the memory for exported cache.
#[derive(Debug)]
pub struct Fleet {
    /// The servers in declared order.
    pub servers: Vec<Server>,
    /// Index by name.
    pub index: HashMap<Arc<str>, usize>,
    /// Exported cache.
    pub host: HostStore,
}

impl Fleet {
    /// Servers for a catalog, of which engines keep blocks of this size.
    #[must_use]
    pub fn new(catalog: &Catalog, pool: &Pool, block_tokens: u32) -> Self {
        let blocks = |tokens: u32| usize::try_from(tokens / block_tokens.max(1)).unwrap_or_default();
        let mut servers = Vec::new();
        let mut host = 0;
        for backend in &catalog.backends {
            let engine = (backend.kind == BackendKind::Engine).then(|| {
                host += blocks(pool.host_tokens);
                let slots = usize::try_from(backend.slots).unwrap_or_default();
                Engine::new(slots, blocks(pool.cache_tokens), block_tokens)
            });
            servers.push(Server {
                name: backend.name.clone(),
                vm: backend.vm.clone(),
                engine,
                plan: 0,
                dead: false,
                honesty: 100,
                event_loss: USUAL_EVENT_LOSS,
                failing: 0,
                leaving: None,
                sign: None,
            });
        }
        let index = servers.iter().enumerate().map(|(at, s)| (s.name.clone(), at)).collect();
        Self { servers, index, host: HostStore::new(host) }
    }

    /// Blocks of a program that engines hold for it alone.
    #[must_use]
    pub fn held_alone(&self, program: u32) -> usize {
        self.servers.iter().filter_map(|s| s.engine.as_ref()).map(|e| e.cache.held_alone(program)).sum()
    }

    /// Brings a fault about; returns the calls that are lost by it.
    pub fn strike(&mut self, server: usize, kind: FaultKind, now: u64) -> Vec<u64> {
        let server = &mut self.servers[server];
        match kind {
            FaultKind::Pace { percent } => {
                if let Some(engine) = server.engine.as_mut() {
                    engine.pace = percent.max(1);
                }
            }
            FaultKind::Die => {
                server.dead = true;
                server.plan += 1;
                return server.engine.as_mut().map(Engine::die).unwrap_or_default();
            }
            FaultKind::Recover => server.dead = false,
            FaultKind::Lie { percent } => server.honesty = percent,
            FaultKind::DropEvents { percent } => server.event_loss = percent,
            FaultKind::Fail { percent } => server.failing = percent,
            FaultKind::Leave { .. } => server.leaving = Some(now),
        }
        Vec::new()
    }
}
