//! Choice of the server on which a request is expected to complete first.
//!
//! See docs/design/019-performance-model-of-servers.md.

use std::sync::Arc;
use std::time::Duration;

use agatetrestle_config::deployment::Decisions;

use crate::clock::Timestamp;
use crate::dispatch::Dispatch;
use crate::dispatch::LOAD_TTL_RANGE;
use crate::dispatch::Request;
use crate::dispatch::ServerKey;
use crate::dispatch::model::READ_TOKEN_US;
use crate::dispatch::model::ServiceModel;
use crate::dispatch::model::to_f64;
use crate::dispatch::pool::Candidates;
use crate::dispatch::server::Run;
use crate::dispatch::server::Server;
use crate::dispatch::server::rendezvous_score;

/// Most servers that [`Dispatch::candidates`] returns.
const MAX_CANDIDATES: usize = 8;
/// Those of them that are chosen at random, so that a server that was slow or loaded is found again after it has recovered.
const RANDOM_CANDIDATES: usize = 3;
/// Servers of which the expected time is computed for a choice. Services of this size or smaller are compared as a whole.
const MAX_TIMED: usize = 64;
/// Time of the network beyond that within the failure domain: failure domains are 0.9 to 1.4 ms apart one way.
const REMOTE_US: f64 = 2_500.0;
/// Time to open a connection, which takes one round trip.
const CONNECT_US: f64 = 800.0;
/// Time that each request in service adds to another one on the same server, as a share of its time.
const SHARED_SERVICE_RATIO: f64 = 0.02;
/// Prompt tokens that a turn adds to those of the turns before, which are not cached anywhere.
const NEW_TOKENS: f64 = 500.0;
/// Share of the service time that a cached prompt saves if its length is unknown.
const UNKNOWN_PROMPT_RATIO: f64 = 0.25;
/// Share of the run time by which a random choice may be slower than the best candidate. Nodes decide on old figures, so
/// a smaller difference is no reason for all of them to choose the same server.
const TOLERANCE_RATIO: f64 = 0.1;
/// Part of the memory over which the risk of a preemption rises, since the tokens of other nodes' requests are estimated.
const MEMORY_UNCERTAINTY_RATIO: f64 = 0.08;
/// Weight of the server's own load reports against the mean of the service, after a report has become too old.
const OWN_REPORTS_WEIGHT: f64 = 0.5;
/// Interval at which [`Dispatch::capacity`] is computed.
const CAPACITY_INTERVAL: Duration = Duration::from_millis(250);
/// Most that a server counts beyond its slots if it is faster than usual ones.
const MAX_CAPACITY_RATIO: f64 = 1.5;

/// Expected times of one request.
struct Estimate<'a> {
    now: Timestamp,
    request: &'a Request,
    model: &'a ServiceModel,
    /// Failure domain of the node.
    zone: &'a str,
    load_ttl: Duration,
    mean_other_load: f64,
    service_time: Duration,
    /// Time on a usual server, without reading the prompt.
    run_us: f64,
    own_tokens: f64,
}

impl Estimate<'_> {
    /// Microseconds until the response is complete if no other request were on the server.
    fn idle_us(&self, server: &Server, cached_tokens: f64) -> f64 {
        let slowness = self.slowness(server);
        let prompt = to_f64(self.request.profile.prompt_tokens.unwrap_or(0));
        let read = READ_TOKEN_US * (prompt - cached_tokens).max(0.0);
        let remote = if *server.instance.zone == *self.zone { 0.0 } else { REMOTE_US };
        let connect = if server.has_warm_connection(self.now) { 0.0 } else { CONNECT_US + remote };
        (self.run_us + read) * slowness + remote + connect
    }

    /// Microseconds that the load of the server adds.
    fn load_us(&self, server: &Server) -> f64 {
        let (load, variance) =
            server.expected_load(self.now, self.mean_other_load, self.load_ttl, OWN_REPORTS_WEIGHT);
        let run = self.run_us * self.slowness(server);
        let slots = f64::from(server.instance.slots.max(1));
        let deviation = (variance + 0.05).sqrt() * 0.6;
        let excess = softplus((load + 1.0 - slots) / deviation) * deviation;
        let mut total = run * (excess / slots + SHARED_SERVICE_RATIO * load);
        if let Some(memory) = self.model.memory_tokens {
            let memory = to_f64(memory.max(1));
            let others = (load - f64::from(server.in_flight)).max(0.0) * self.model.usual_tokens();
            let held = server.held_tokens(self.request.profile.shared_prefix) + others + self.own_tokens;
            let risk = logistic((held - memory) / (memory * MEMORY_UNCERTAINTY_RATIO));
            let prompt = to_f64(self.request.profile.prompt_tokens.unwrap_or(0));
            total += risk * (run + READ_TOKEN_US * prompt * self.slowness(server));
        }
        total
    }

    fn slowness(&self, server: &Server) -> f64 {
        let overdue = server.overdue(self.now, self.model, self.service_time);
        let known = self.model.slowness(self.now, &server.speed) * server.speed.contention(self.now);
        known.max(overdue)
    }
}

/// The preferred servers that are among some, and others of them at equal distances from a random start.
pub(super) fn sample(keys: &[ServerKey], draw: u64, preferred: [Option<ServerKey>; 2]) -> Vec<ServerKey> {
    let start = usize::try_from(draw % keys.len() as u64).unwrap_or_default();
    let step = keys.len().div_ceil(MAX_TIMED);
    let mut sampled: Vec<ServerKey> =
        keys[start..].iter().chain(&keys[..start]).step_by(step).copied().collect();
    for key in preferred.into_iter().flatten() {
        if keys.contains(&key) && !sampled.contains(&key) {
            sampled.push(key);
        }
    }
    sampled
}

fn softplus(x: f64) -> f64 {
    if x > 30.0 { x } else { x.exp().ln_1p() }
}

fn logistic(x: f64) -> f64 {
    1.0 / (1.0 + (-x).exp())
}

impl Dispatch {
    /// Whether requests of a service are sent where they are expected to complete first.
    #[must_use]
    pub fn is_modelled(&self, now: Timestamp, service: &Arc<str>) -> bool {
        let Some(model) = self.models.get(service) else {
            return false;
        };
        match self.policy {
            Decisions::RequestCounts | Decisions::RoundRobin | Decisions::LeastLoad => false,
            Decisions::ExpectedTime => model.is_active(now),
            _ => model.reports_contention(now),
        }
    }

    /// Sets the tokens that one server of each service holds in its memory, by the services that declare it.
    pub fn set_memory(&mut self, declared: impl IntoIterator<Item = (Arc<str>, u64)>) {
        for model in self.models.values_mut() {
            model.memory_tokens = None;
        }
        for (service, tokens) in declared {
            self.models.entry(service).or_default().memory_tokens = Some(tokens);
        }
    }

    /// What the servers of a service that accept requests are worth by their speeds, in hundredths of slots. A server that
    /// is ejected or backs off counts as zero. Computed a few times a second while requests are dispatched.
    #[must_use]
    pub fn capacity(&self, service: &Arc<str>) -> u32 {
        let computed = self.capacities.get(service).map(|(capacity, _)| *capacity);
        computed.unwrap_or_else(|| self.total_slots(service).saturating_mul(100))
    }

    /// Updates the capacity of a service if it is due.
    pub(super) fn update_capacity(&mut self, now: Timestamp, service: &Arc<str>) {
        let computed_at = self.capacities.get(service).map(|(_, computed_at)| *computed_at);
        if computed_at.is_some_and(|at| now.since(at) < CAPACITY_INTERVAL) || !self.is_modelled(now, service)
        {
            return;
        }
        let Some(model) = self.models.get(service) else {
            return;
        };
        let usable = self.servers_of(service).map(|(_, server)| server);
        let usable = usable.filter(|server| server.is_available(now) && !server.is_ejected(now));
        let worth = usable.map(|server| {
            let slowness = model.slowness(now, &server.speed) * server.speed.contention(now);
            f64::from(server.instance.slots) * (1.0 / slowness).min(MAX_CAPACITY_RATIO)
        });
        #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "clamped to the range")]
        let capacity = (worth.sum::<f64>() * 100.0).clamp(0.0, f64::from(u32::MAX)) as u32;
        self.capacities.insert(service.clone(), (capacity, now));
    }

    /// At most 8 servers for a request, each with the expected time on it without the load of other requests: those on which
    /// it is expected to complete first, and some at random.
    #[must_use]
    pub fn candidates(&self, now: Timestamp, request: &Request) -> Vec<(ServerKey, Duration)> {
        let Some(pool) = self.pools.get(&request.service) else {
            return Vec::new();
        };
        let candidates = pool.candidates(request.affinity.unwrap_or(request.ticket));
        let queue = self.queues.get(&request.service);
        let service_time = queue.map_or(crate::dispatch::INITIAL_SERVICE_TIME, |queue| queue.service_time);
        let default_model = ServiceModel::default();
        let model = self.models.get(&request.service).unwrap_or(&default_model);
        let estimate = self.estimate(now, request, model, service_time);
        let keys = self.usable(now, &candidates.keys(), request, estimate.load_ttl);
        let cached = self.cached(&keys, &candidates, &estimate);
        let mut timed: Vec<(f64, f64, ServerKey)> = keys
            .iter()
            .map(|key| {
                let server = &self.servers[*key];
                let idle = estimate.idle_us(server, cached.tokens(*key));
                (idle + estimate.load_us(server), idle, *key)
            })
            .collect();
        timed.sort_unstable_by(|a, b| a.0.total_cmp(&b.0));
        let mut others = timed.split_off(timed.len().min(MAX_CANDIDATES - RANDOM_CANDIDATES));
        let seed = request.ticket ^ now.0;
        others.sort_by_cached_key(|(.., key)| rendezvous_score(seed, &self.servers[*key].instance.id));
        timed.extend(others.into_iter().take(RANDOM_CANDIDATES));
        timed.sort_unstable_by(|a, b| a.1.total_cmp(&b.1));
        timed.into_iter().map(|(_, idle, key)| (key, Duration::from_secs_f64(idle.max(0.0) / 1e6))).collect()
    }

    /// Moves a request that was assigned to a server, and has not been sent, to another one. Returns whether the other
    /// server accepts requests; if not, nothing changes.
    pub fn reassign(&mut self, now: Timestamp, from: ServerKey, to: ServerKey) -> bool {
        let accepts = self.servers.get(to).is_some_and(|server| server.is_available(now));
        if from == to || !accepts {
            return accepts;
        }
        let Some(run) = self.servers.get_mut(from).and_then(Server::take_last_run) else {
            return false;
        };
        let prompt = run.affinity.map(|affinity| (affinity, to_f64(run.profile.prompt_tokens.unwrap_or(0))));
        let server = &mut self.servers[to];
        server.start_run(run);
        crate::dispatch::mark_in_use(&mut self.pools, to, server);
        if let Some((affinity, tokens)) = prompt {
            self.prompts.record(now, affinity, to, tokens);
        }
        true
    }

    /// Counts a request as in flight at the server that it is sent to.
    pub(super) fn assign(&mut self, now: Timestamp, key: ServerKey, request: &Request) {
        let server = &mut self.servers[key];
        server.start_run(Run {
            ticket: request.ticket,
            assigned_at: now,
            affinity: request.affinity,
            profile: request.profile,
            isolated: request.isolated,
            held_tokens: self.models.get(&request.service).map_or(0.0, |m| m.own_tokens(&request.profile)),
        });
        self.isolated_runs += usize::from(request.isolated);
        crate::dispatch::mark_in_use(&mut self.pools, key, server);
        if let Some(affinity) = request.affinity {
            let tokens = to_f64(request.profile.prompt_tokens.unwrap_or(0));
            self.prompts.record(now, affinity, key, tokens);
        }
    }

    fn estimate<'a>(
        &'a self,
        now: Timestamp,
        request: &'a Request,
        model: &'a ServiceModel,
        service_time: Duration,
    ) -> Estimate<'a> {
        let load_ttl = service_time.clamp(LOAD_TTL_RANGE.0, LOAD_TTL_RANGE.1);
        Estimate {
            now,
            request,
            model,
            zone: &self.zone,
            load_ttl,
            mean_other_load: self.mean_other_load(now, &request.service, load_ttl),
            service_time,
            run_us: model.run_time_us(&request.profile, service_time),
            own_tokens: model.own_tokens(&request.profile),
        }
    }

    /// The servers that accept a request and are not known to be full. Ejected ones are among them only if no other is.
    fn usable(
        &self,
        now: Timestamp,
        keys: &[ServerKey],
        request: &Request,
        load_ttl: Duration,
    ) -> Vec<ServerKey> {
        let eligible = |key: &ServerKey| self.accepts(now, *key, request);
        let any_healthy = keys.iter().any(|key| eligible(key) && !self.servers[*key].is_ejected(now));
        let usable = keys.iter().copied().filter(|key| {
            let server = &self.servers[*key];
            let full = server.is_full(now, load_ttl, self.policy != Decisions::Places);
            eligible(key) && (!any_healthy || !server.is_ejected(now)) && !full
        });
        usable.collect()
    }

    /// Where the prompt of a request is likely to be cached.
    fn cached(&self, keys: &[ServerKey], candidates: &Candidates, estimate: &Estimate<'_>) -> CachedPrompt {
        let request = estimate.request;
        let profile = &request.profile;
        let shared = profile.shared_prefix.map_or(0.0, |(_, tokens)| to_f64(tokens));
        let Some(affinity) = request.affinity else {
            return CachedPrompt { shared, ..CachedPrompt::default() };
        };
        let last = self.prompts.get(affinity).filter(|_| profile.prompt_tokens.is_some());
        // The estimates of the nodes differ, so a home that depended on them would not be the same on every node.
        let preferred = |in_window: &dyn Fn(&ServerKey) -> bool| {
            let in_window = keys.iter().copied().filter(in_window);
            in_window.max_by_key(|key| rendezvous_score(affinity, &self.servers[*key].instance.id))
        };
        let home = preferred(&|key| candidates.local.contains(key))
            .or_else(|| preferred(&|key| candidates.all.contains(key)));
        let earlier = profile.prompt_tokens.map_or(0.0, |tokens| (to_f64(tokens) - NEW_TOKENS).max(0.0));
        CachedPrompt { shared, home, earlier, last }
    }

    /// Chooses the server on which a request is expected to complete first, or one of two random ones that is not expected
    /// to be much slower. `keys` are the candidates.
    pub(super) fn choose_by_time(
        &mut self,
        now: Timestamp,
        request: &Request,
        service_time: Duration,
        keys: &[ServerKey],
        candidates: &Candidates,
    ) -> Option<ServerKey> {
        let draws = [self.rng.below(u64::MAX), self.rng.below(u64::MAX)];
        let model = self.models.get(&request.service)?;
        let estimate = self.estimate(now, request, model, service_time);
        let mut keys = self.usable(now, keys, request, estimate.load_ttl);
        let cached = self.cached(&keys, candidates, &estimate);
        if keys.len() > MAX_TIMED {
            keys = sample(&keys, draws[0], [cached.home, cached.last.map(|(server, _)| server)]);
        }
        let unknown_prompt = request.affinity.is_some() && request.profile.prompt_tokens.is_none();
        let time = |key: ServerKey| {
            let server = &self.servers[key];
            let mut time = estimate.idle_us(server, cached.tokens(key)) + estimate.load_us(server);
            if cached.home == Some(key) {
                // The next turn finds there what this one adds.
                time -= READ_TOKEN_US * NEW_TOKENS;
                time -= if unknown_prompt { estimate.run_us * UNKNOWN_PROMPT_RATIO } else { 0.0 };
            }
            time
        };
        let timed: Vec<(ServerKey, f64)> = keys.iter().map(|key| (*key, time(*key))).collect();
        let first = timed.iter().min_by(|a, b| a.1.total_cmp(&b.1))?;
        if cached.home == Some(first.0) {
            return Some(first.0);
        }
        let pick = |draw: u64| &timed[usize::try_from(draw % timed.len() as u64).unwrap_or_default()];
        let [one, two] = draws.map(pick);
        let random = if one.1 <= two.1 { one } else { two };
        let tolerated = first.1 + estimate.run_us * TOLERANCE_RATIO;
        Some(if random.1 <= tolerated { random.0 } else { first.0 })
    }
}

/// Where how much of a prompt is likely to be cached.
#[derive(Clone, Copy, Debug, Default)]
struct CachedPrompt {
    /// Tokens of a prefix that all servers are likely to have cached.
    shared: f64,
    /// The server that all nodes prefer for the prompt.
    home: Option<ServerKey>,
    /// Tokens of the earlier turns.
    earlier: f64,
    /// The server that this node sent the last turn to, and the tokens of that turn's prompt.
    last: Option<(ServerKey, f64)>,
}

impl CachedPrompt {
    fn tokens(&self, key: ServerKey) -> f64 {
        // If this node sent the last turn elsewhere, at most older ones are cached at the home.
        let own = match self.last {
            Some((server, tokens)) => (server == key).then_some(tokens),
            None => (self.home == Some(key)).then_some(self.earlier),
        };
        own.unwrap_or(0.0).max(self.shared)
    }
}
