//! Placement by the least expected cost among a bounded number of candidates.
//!
//! The cost is the expected time to the end of the response, plus the time by which the call delays others on the same
//! engine; see docs/design/006-placing-and-retention.md.

use crate::placing::Fetch;
use crate::placing::Placement;
use crate::placing::PlacementRequest;
use crate::placing::Placer;
use crate::placing::least_load::LeastLoad;
use crate::scheduler::config::SchedulerConfig;
use crate::scheduler::event::BackendKey;
use crate::scheduler::fleet::Fleet;
use crate::scheduler::fleet::PoolKey;
use crate::scheduler::fleet::Server;
use crate::scheduler::programs::PrefixLocation;
use crate::scheduler::random::Random;

/// With at most this many open servers, all of them are candidates.
const MAX_SMALL_POOL: usize = 8;
const RANDOM_CANDIDATES: usize = 2;
const ADJACENT_CANDIDATES: usize = 2;
const MAX_CANDIDATES: usize = MAX_SMALL_POOL + 2;
const PERCENT: u64 = 100;

/// Places calls on the server with the least expected cost.
#[derive(Debug)]
pub struct CostPlacer {
    cfg: SchedulerConfig,
    imports: bool,
    rng: Random,
}

#[derive(Clone, Copy, Debug)]
struct Candidate {
    key: BackendKey,
    cost: u64,
    fetch: Fetch,
}

impl CostPlacer {
    /// Creates a placer with the costs of a configuration. `imports` says whether prefixes may be imported.
    #[must_use]
    pub fn new(cfg: &SchedulerConfig, imports: bool, seed: u64) -> Self {
        Self { cfg: cfg.clone(), imports, rng: Random::new(seed) }
    }

    /// The servers of the program and of its root, some adjacent in declared order from a random start, and some random
    /// ones. All open servers of a small pool.
    fn candidates(
        &mut self,
        fleet: &Fleet,
        pool: PoolKey,
        request: &PlacementRequest<'_>,
    ) -> Vec<BackendKey> {
        let pool = &fleet.pools[pool];
        if pool.open.len() <= MAX_SMALL_POOL {
            return pool.open.clone();
        }
        let mut chosen = Vec::with_capacity(MAX_CANDIDATES);
        for key in [request.last_server, request.root_server].into_iter().flatten() {
            push_open(&mut chosen, fleet, key);
        }
        let first = self.rng.index(pool.open.len());
        for offset in 0..ADJACENT_CANDIDATES {
            push_open(&mut chosen, fleet, pool.open[(first + offset) % pool.open.len()]);
        }
        for _ in 0..RANDOM_CANDIDATES {
            push_open(&mut chosen, fleet, pool.open[self.rng.index(pool.open.len())]);
        }
        chosen
    }

    /// The cost of a server, assuming that it has capacity.
    fn estimate(&self, server: &Server, key: BackendKey, request: &PlacementRequest<'_>) -> Candidate {
        let cfg = &self.cfg;
        let cached_blocks = server.residency.prefix_len(request.blocks);
        let missing = missing_tokens(request, cached_blocks);
        let (fetch, fetched) = self.fetch(key, request, missing);
        let computed = missing - fetched;
        let divisor = match fetch {
            Fetch::Move(_) => (cfg.import_divisor / 2).max(1),
            Fetch::Import | Fetch::None => cfg.import_divisor.max(1),
        };
        let prefill = (computed + fetched / divisor) * cfg.prefill_per_token;
        let queue = server.pending_prefill * cfg.prefill_per_token;
        let load = u64::from(server.load());
        let step = (cfg.step_base + cfg.step_per_request * (load + 1)) * server.slowdown_percent / PERCENT;
        let delay_to_others = prefill * load * cfg.externality / PERCENT;
        let eviction = self.eviction_cost(server, request);
        let cost = queue + prefill + delay_to_others + eviction + step * request.output_tokens;
        Candidate { key, cost, fetch }
    }

    fn fetch(&self, key: BackendKey, request: &PlacementRequest<'_>, missing: u64) -> (Fetch, u64) {
        if !self.imports {
            return (Fetch::None, 0);
        }
        match request.prefix_location {
            PrefixLocation::Cached(from) if from != key => {
                (Fetch::Move(from), request.own_tokens.min(missing))
            }
            _ if request.exported_tokens > 0 => (Fetch::Import, request.exported_tokens.min(missing)),
            _ => (Fetch::None, 0),
        }
    }

    /// The cost of importing again later what has to be evicted for the call.
    fn eviction_cost(&self, server: &Server, request: &PlacementRequest<'_>) -> u64 {
        let used = server.pinned_tokens + server.idle_tokens + required_tokens(request);
        let excess = used.saturating_sub(server.cache_budget(self.cfg.cache_fill));
        excess.min(required_tokens(request)) * self.cfg.prefill_per_token / self.cfg.import_divisor.max(1)
    }

    fn has_memory(&self, server: &Server, request: &PlacementRequest<'_>) -> bool {
        let budget = server.cache_budget(self.cfg.cache_fill);
        server.running == 0 || server.pinned_tokens + required_tokens(request) <= budget
    }

    /// The cost of waiting until the last server of the program, or of its root, has capacity.
    fn waiting_cost(
        &self,
        fleet: &Fleet,
        pool: PoolKey,
        request: &PlacementRequest<'_>,
    ) -> Option<Candidate> {
        if request.waited > self.cfg.hold_bound {
            return None;
        }
        let key = request.last_server.or(request.root_server)?;
        let server = fleet.servers.get(key).filter(|s| s.usable() && s.pool == pool)?;
        if server.running < server.limit && self.has_memory(server, request) {
            return None;
        }
        let candidate = self.estimate(server, key, request);
        let step = self.cfg.step_base + self.cfg.step_per_request * u64::from(server.load());
        let service_time = step * request.output_tokens;
        let ahead = u64::from(server.deferred_calls) + 1;
        let wait = service_time * ahead / u64::from(server.limit.max(1));
        Some(Candidate { cost: candidate.cost + wait, ..candidate })
    }
}

impl Placer for CostPlacer {
    fn place(&mut self, fleet: &Fleet, pool: PoolKey, request: &PlacementRequest<'_>) -> Placement {
        if request.blocks.is_empty() {
            return LeastLoad.place(fleet, pool, request);
        }
        let best = self
            .candidates(fleet, pool, request)
            .into_iter()
            .map(|key| (key, &fleet.servers[key]))
            .filter(|(_, server)| self.has_memory(server, request))
            .map(|(key, server)| self.estimate(server, key, request))
            .min_by_key(|candidate| (candidate.cost, candidate.key));
        let waiting = self.waiting_cost(fleet, pool, request);
        match (best, waiting) {
            (Some(best), Some(waiting)) if waiting.cost < best.cost => Placement::WaitFor(waiting.key),
            (Some(best), _) => Placement::Send { to: best.key, fetch: best.fetch },
            (None, Some(waiting)) => Placement::WaitFor(waiting.key),
            (None, None) => Placement::NoCapacity,
        }
    }
}

/// Tokens that a call adds to the cache of its engine, which already holds shared prefixes.
#[must_use]
pub fn required_tokens(request: &PlacementRequest<'_>) -> u64 {
    let shared = request.shared_tokens.min(request.prompt_tokens);
    request.prompt_tokens - shared + request.output_tokens
}

/// Estimated prompt tokens beyond the leading `cached_blocks`.
#[must_use]
pub fn missing_tokens(request: &PlacementRequest<'_>, cached_blocks: usize) -> u64 {
    let count = u64::try_from(request.blocks.len()).unwrap_or(u64::MAX).max(1);
    let cached_blocks = u64::try_from(cached_blocks).unwrap_or(u64::MAX);
    request.prompt_tokens - (request.prompt_tokens / count * cached_blocks).min(request.prompt_tokens)
}

fn push_open(chosen: &mut Vec<BackendKey>, fleet: &Fleet, key: BackendKey) {
    let open = fleet.servers.get(key).is_some_and(Server::is_open);
    if open && !chosen.contains(&key) {
        chosen.push(key);
    }
}
