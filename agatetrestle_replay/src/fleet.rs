//! The simulated backend servers and their active faults.

use std::collections::HashMap;
use std::sync::Arc;

use agatetrestle::scheduler::event::Catalog;
use agatetrestle_config::declarations::BackendKind;

use crate::catalog::PoolConfig;
use crate::engine::SimEngine;
use crate::faults::FaultKind;
use crate::host::HostStore;

const EVENT_LOSS_PERCENT: u32 = 2;

/// A simulated backend server.
#[derive(Debug)]
pub struct SimServer {
    /// Name from the declarations.
    pub name: Arc<str>,
    /// VM that it runs on.
    pub vm: Arc<str>,
    /// The engine; services have none.
    pub engine: Option<SimEngine>,
    /// Incremented on each rescheduling, so that outdated wake-ups are ignored.
    pub wake_generation: u64,
    /// Whether it refuses connections.
    pub dead: bool,
    /// Reported load in percent of the true load.
    pub reported_load_percent: u32,
    /// Percent of cache events that are lost.
    pub event_loss_percent: u32,
    /// Percent of calls that fail.
    pub failure_percent: u32,
    /// When it started to leave.
    pub leaving_since: Option<u64>,
    /// When the scheduler first learned that it is leaving.
    pub leaving_noticed: Option<u64>,
}

/// All simulated servers and the host memory for exported blocks.
#[derive(Debug)]
pub struct SimFleet {
    /// The servers in the order of the catalog.
    pub servers: Vec<SimServer>,
    /// Position in `servers` by name.
    pub index: HashMap<Arc<str>, usize>,
    /// Host memory for exported cache blocks.
    pub host: HostStore,
}

impl SimFleet {
    /// Creates the servers of a catalog; engines use blocks of `block_tokens`.
    #[must_use]
    pub fn new(catalog: &Catalog, pool: &PoolConfig, block_tokens: u32) -> Self {
        let blocks = |tokens: u32| usize::try_from(tokens / block_tokens.max(1)).unwrap_or_default();
        let mut servers = Vec::new();
        let mut host_blocks = 0;
        for backend in &catalog.backends {
            let engine = (backend.kind == BackendKind::Engine).then(|| {
                host_blocks += blocks(pool.host_tokens);
                let slots = usize::try_from(backend.slots).unwrap_or_default();
                SimEngine::new(slots, blocks(pool.cache_tokens), block_tokens)
            });
            servers.push(SimServer {
                name: backend.name.clone(),
                vm: backend.vm.clone(),
                engine,
                wake_generation: 0,
                dead: false,
                reported_load_percent: 100,
                event_loss_percent: EVENT_LOSS_PERCENT,
                failure_percent: 0,
                leaving_since: None,
                leaving_noticed: None,
            });
        }
        let index = servers.iter().enumerate().map(|(at, s)| (s.name.clone(), at)).collect();
        Self { servers, index, host: HostStore::new(host_blocks) }
    }

    /// Counts cached blocks on all engines that only this program uses.
    #[must_use]
    pub fn exclusive_blocks(&self, program: u32) -> usize {
        self.servers.iter().filter_map(|s| s.engine.as_ref()).map(|e| e.cache.exclusive_blocks(program)).sum()
    }

    /// Applies a fault and returns the calls that it aborts.
    pub fn apply_fault(&mut self, server: usize, kind: FaultKind, now: u64) -> Vec<u64> {
        let server = &mut self.servers[server];
        match kind {
            FaultKind::Pace { percent } => {
                if let Some(engine) = server.engine.as_mut() {
                    engine.pace_percent = percent.max(1);
                }
            }
            FaultKind::Die => {
                server.dead = true;
                server.wake_generation += 1;
                return server.engine.as_mut().map(SimEngine::crash).unwrap_or_default();
            }
            FaultKind::Recover => server.dead = false,
            FaultKind::Lie { percent } => server.reported_load_percent = percent,
            FaultKind::DropEvents { percent } => server.event_loss_percent = percent,
            FaultKind::Fail { percent } => server.failure_percent = percent,
            FaultKind::Leave { .. } => server.leaving_since = Some(now),
        }
        Vec::new()
    }
}
