//! Placing by the least expected cost, over a bounded choice of candidates.
//!
//! The cost is the time until the answer is expected, plus the time that the call takes from the
//! others on that engine; see docs/design/006-placing-and-retention.md.

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
use crate::scheduler::programs::Place;
use crate::scheduler::random::Random;

/// Up to this many open servers all are candidates.
const SMALL_POOL: usize = 8;
const RANDOM_CANDIDATES: usize = 2;
const PEER_CANDIDATES: usize = 2;
const MAX_CANDIDATES: usize = SMALL_POOL + 2;
const PERCENT: u64 = 100;

/// Chooses the server of the least expected cost.
#[derive(Debug)]
pub struct CostPlacer {
    cfg: SchedulerConfig,
    moves: bool,
    rng: Random,
}

#[derive(Clone, Copy, Debug)]
struct Priced {
    key: BackendKey,
    cost: u64,
    fetch: Fetch,
}

impl CostPlacer {
    /// Takes the costs from the configuration; `moves` says whether prefixes may be moved.
    #[must_use]
    pub fn new(cfg: &SchedulerConfig, moves: bool, seed: u64) -> Self {
        Self { cfg: cfg.clone(), moves, rng: Random::new(seed) }
    }

    /// The holder of the prefix, its peers in declared order and random others; all if they are few.
    fn candidates(&mut self, fleet: &Fleet, pool: PoolKey, wanted: &PlacementRequest<'_>) -> Vec<BackendKey> {
        let pool = &fleet.pools[pool];
        if pool.open.len() <= SMALL_POOL {
            return pool.open.clone();
        }
        let mut chosen = Vec::with_capacity(MAX_CANDIDATES);
        for key in [wanted.last_server, wanted.root_server].into_iter().flatten() {
            push_open(&mut chosen, fleet, key);
        }
        let first = self.rng.index(pool.open.len());
        for offset in 0..PEER_CANDIDATES {
            push_open(&mut chosen, fleet, pool.open[(first + offset) % pool.open.len()]);
        }
        for _ in 0..RANDOM_CANDIDATES {
            push_open(&mut chosen, fleet, pool.open[self.rng.index(pool.open.len())]);
        }
        chosen
    }

    /// Prices a server as if it had room.
    fn price(&self, server: &Server, key: BackendKey, wanted: &PlacementRequest<'_>) -> Priced {
        let cfg = &self.cfg;
        let held = server.residency.prefix_len(wanted.blocks);
        let missing = missing_tokens(wanted, held);
        let (fetch, fetched) = self.fetch(key, wanted, missing);
        let computed = missing - fetched;
        let divisor = match fetch {
            Fetch::Move(_) => (cfg.import_divisor / 2).max(1),
            Fetch::Import | Fetch::None => cfg.import_divisor.max(1),
        };
        let prefill = (computed + fetched / divisor) * cfg.prefill_per_token;
        let queue = server.pending_prefill * cfg.prefill_per_token;
        let load = u64::from(server.load());
        let step = (cfg.step_base + cfg.step_per_request * (load + 1)) * server.pace / PERCENT;
        let others = prefill * load * cfg.externality / PERCENT;
        let pressure = self.pressure(server, wanted);
        let cost = queue + prefill + others + pressure + step * wanted.output_tokens;
        Priced { key, cost, fetch }
    }

    fn fetch(&self, key: BackendKey, wanted: &PlacementRequest<'_>, missing: u64) -> (Fetch, u64) {
        if !self.moves {
            return (Fetch::None, 0);
        }
        match wanted.place {
            Place::Held(from) if from != key => (Fetch::Move(from), wanted.own_tokens.min(missing)),
            _ if wanted.exported_tokens > 0 => (Fetch::Import, wanted.exported_tokens.min(missing)),
            _ => (Fetch::None, 0),
        }
    }

    /// What it costs to bring back later what has to make room now.
    fn pressure(&self, server: &Server, wanted: &PlacementRequest<'_>) -> u64 {
        let held = server.pinned_tokens + server.idle_tokens + required_tokens(wanted);
        let over = held.saturating_sub(server.cache_budget(self.cfg.cache_fill));
        over.min(required_tokens(wanted)) * self.cfg.prefill_per_token / self.cfg.import_divisor.max(1)
    }

    fn has_memory(&self, server: &Server, wanted: &PlacementRequest<'_>) -> bool {
        let budget = server.cache_budget(self.cfg.cache_fill);
        server.running == 0 || server.pinned_tokens + required_tokens(wanted) <= budget
    }

    /// The price of waiting until the home of the program, or of the one that started it, has room.
    fn price_of_holding(
        &self,
        fleet: &Fleet,
        pool: PoolKey,
        wanted: &PlacementRequest<'_>,
    ) -> Option<Priced> {
        if wanted.waited > self.cfg.hold_bound {
            return None;
        }
        let home = wanted.last_server.or(wanted.root_server)?;
        let server = fleet.servers.get(home).filter(|s| s.usable() && s.pool == pool)?;
        if server.running < server.limit && self.has_memory(server, wanted) {
            return None;
        }
        let priced = self.price(server, home, wanted);
        let step = self.cfg.step_base + self.cfg.step_per_request * u64::from(server.load());
        let service = step * wanted.output_tokens;
        let ahead = u64::from(server.held_back) + 1;
        let wait = service * ahead / u64::from(server.limit.max(1));
        Some(Priced { cost: priced.cost + wait, ..priced })
    }
}

impl Placer for CostPlacer {
    fn place(&mut self, fleet: &Fleet, pool: PoolKey, wanted: &PlacementRequest<'_>) -> Placement {
        if wanted.blocks.is_empty() {
            return LeastLoad.place(fleet, pool, wanted);
        }
        let best = self
            .candidates(fleet, pool, wanted)
            .into_iter()
            .map(|key| (key, &fleet.servers[key]))
            .filter(|(_, server)| self.has_memory(server, wanted))
            .map(|(key, server)| self.price(server, key, wanted))
            .min_by_key(|priced| (priced.cost, priced.key));
        let holding = self.price_of_holding(fleet, pool, wanted);
        match (best, holding) {
            (Some(best), Some(holding)) if holding.cost < best.cost => Placement::WaitFor(holding.key),
            (Some(best), _) => Placement::Send { to: best.key, fetch: best.fetch },
            (None, Some(holding)) => Placement::WaitFor(holding.key),
            (None, None) => Placement::NoCapacity,
        }
    }
}

/// Tokens that the call adds to what its engine must keep: shared prefixes are there anyhow.
#[must_use]
pub fn required_tokens(wanted: &PlacementRequest<'_>) -> u64 {
    let shared = wanted.shared_tokens.min(wanted.prompt_tokens);
    wanted.prompt_tokens - shared + wanted.output_tokens
}

/// Prompt tokens beyond the blocks that are held.
#[must_use]
pub fn missing_tokens(wanted: &PlacementRequest<'_>, held: usize) -> u64 {
    let count = u64::try_from(wanted.blocks.len()).unwrap_or(u64::MAX).max(1);
    let held = u64::try_from(held).unwrap_or(u64::MAX);
    wanted.prompt_tokens - (wanted.prompt_tokens / count * held).min(wanted.prompt_tokens)
}

fn push_open(chosen: &mut Vec<BackendKey>, fleet: &Fleet, key: BackendKey) {
    let open = fleet.servers.get(key).is_some_and(Server::is_open);
    if open && !chosen.contains(&key) {
        chosen.push(key);
    }
}
