//! Dispatch of queued requests to backend servers, and rejection of those that can't be served in time.
//!
//! Every node decides on its own, from the requests that it has sent and the loads that responses report. The module
//! does no I/O and takes the time as an argument. The rules are described in docs/design/012-a-deployment-of-three-roles.md.

mod choice;
mod completion;
mod decision;
mod expected;
mod instances;
mod isolation;
mod model;
mod outlier;
mod pool;
mod prompts;
mod queue;
mod response_starts;
mod server;
mod speed;
#[cfg(test)]
mod tests;
mod versions;

pub use self::decision::Decision;
pub use self::decision::RejectReason;
pub use self::decision::Request;
pub use self::decision::RequestProfile;
pub use self::decision::RunProgress;
pub use self::server::RequestOutcome;
pub use self::server::ServerKey;
pub use self::server::ServerLoad;
pub use crate::backends::Instance;

use std::collections::BTreeSet;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use agatetrestle_config::deployment::Decisions;
use slotmap::SlotMap;

use crate::clock::Timestamp;
use crate::dispatch::model::ServiceModel;
use crate::dispatch::pool::Pool;
use crate::dispatch::prompts::SentPrompts;
use crate::dispatch::queue::Queue;
use crate::dispatch::server::Server;
use crate::scheduler::random::Random;

/// Requests that may wait for one service on one node. Bounds the memory for their bodies: 512 of some 20 KB are 10 MB.
const MAX_QUEUED_REQUESTS: usize = 512;
/// Assumed service time until requests have completed.
const INITIAL_SERVICE_TIME: Duration = Duration::from_millis(200);
/// Bounds of the time for which a reported load is used. Within them it is the mean service time, after which the
/// requests that were reported have been replaced by others.
const LOAD_TTL_RANGE: (Duration, Duration) = (Duration::from_millis(10), Duration::from_secs(1));
/// Bounds of the retry delay: shorter ones cost more than they gain, longer ones exceed the callers' deadlines.
const RETRY_AFTER_RANGE: (Duration, Duration) = (Duration::from_millis(100), Duration::from_secs(2));

/// The dispatch state of one node.
#[derive(Debug)]
pub struct Dispatch {
    servers: SlotMap<ServerKey, Server>,
    by_id: HashMap<Arc<str>, ServerKey>,
    /// The servers of each service.
    pools: HashMap<Arc<str>, Pool>,
    /// Servers that are no longer listed but still have requests of this node.
    unlisted: BTreeSet<ServerKey>,
    queues: HashMap<Arc<str>, Queue>,
    /// What is usual for each service.
    models: HashMap<Arc<str>, ServiceModel>,
    /// Capacity of each service in hundredths of slots, and when it was computed.
    capacities: HashMap<Arc<str>, (u32, Timestamp)>,
    prompts: SentPrompts,
    /// Isolated requests of this node in flight, at all servers.
    isolated_runs: usize,
    zone: Arc<str>,
    rng: Random,
    policy: Decisions,
    /// Position of the round-robin policy.
    round_robin: usize,
}

impl Dispatch {
    /// Creates the state for a node in the failure domain `zone`.
    #[must_use]
    pub fn new(zone: Arc<str>, seed: u64) -> Self {
        Self {
            servers: SlotMap::default(),
            by_id: HashMap::new(),
            pools: HashMap::new(),
            unlisted: BTreeSet::new(),
            queues: HashMap::new(),
            models: HashMap::new(),
            capacities: HashMap::new(),
            prompts: SentPrompts::default(),
            isolated_runs: 0,
            zone,
            rng: Random::new(seed),
            policy: Decisions::Own,
            round_robin: 0,
        }
    }

    /// Replaces one of the rules by a baseline, for comparisons.
    #[must_use]
    pub fn with_policy(self, policy: Decisions) -> Self {
        Self { policy, ..self }
    }

    /// The instance behind a key.
    #[must_use]
    pub fn instance(&self, key: ServerKey) -> Option<&Instance> {
        self.servers.get(key).map(|server| &server.instance)
    }

    /// All known instances, each with the number of this node's requests in flight there.
    pub fn instances(&self) -> impl Iterator<Item = (&Instance, u32)> {
        self.servers.values().map(|server| (&server.instance, server.in_flight))
    }

    /// All known instances with their keys.
    pub fn instances_by_key(&self) -> impl Iterator<Item = (ServerKey, &Instance)> {
        self.servers.iter().map(|(key, server)| (key, &server.instance))
    }

    /// Number of known instances, and how many of them are leaving.
    #[must_use]
    pub fn instance_counts(&self) -> (usize, usize) {
        let leaving = self.servers.values().filter(|server| server.instance.leaving).count();
        (self.servers.len(), leaving)
    }

    /// Total slots of the servers of a service that accept requests.
    #[must_use]
    pub fn total_slots(&self, service: &Arc<str>) -> u32 {
        self.pools.get(service).map_or(0, Pool::slots)
    }

    /// Number of known servers of a service.
    #[must_use]
    pub fn server_count(&self, service: &Arc<str>) -> usize {
        self.pools.get(service).map_or(0, Pool::len)
    }

    /// Number of queued requests of all services.
    #[must_use]
    pub fn waiting(&self) -> usize {
        self.queues.values().map(|queue| queue.waiting.len()).sum()
    }

    /// Adds a request, which is sent, rejected or queued.
    pub fn submit(&mut self, now: Timestamp, request: Request) -> Vec<Decision> {
        let service = request.service.clone();
        self.update_capacity(now, &service);
        let served = self.time_until_accepted(now, &request).is_some();
        let queue = self.queues.entry(service.clone()).or_default();
        let ticket = request.ticket;
        let retry_after = queue.service_time.clamp(RETRY_AFTER_RANGE.0, RETRY_AFTER_RANGE.1);
        if !served {
            return vec![Decision::Reject { ticket, retry_after, reason: RejectReason::NoServer }];
        }
        if queue.waiting.len() >= MAX_QUEUED_REQUESTS {
            return vec![Decision::Reject { ticket, retry_after, reason: RejectReason::QueueFull }];
        }
        let late = request.finish_by < now + queue.service_time;
        let rank = match self.policy {
            Decisions::FirstCome => (false, 0, false, Timestamp(0), ticket),
            _ => (late, request.priority, !request.started, request.finish_by, ticket),
        };
        queue.waiting.insert(rank, request);
        self.dispatch_queue(now, &service, Some(ticket))
    }

    /// Removes a queued request whose caller has disconnected.
    pub fn cancel(&mut self, ticket: u64) {
        for queue in self.queues.values_mut() {
            queue.waiting.retain(|_, request| request.ticket != ticket);
        }
    }

    /// Marks a server that has announced its shutdown, or at whose address another instance answers.
    pub fn mark_leaving(&mut self, key: ServerKey) {
        self.update_server(key, |server| server.instance.leaving = true);
    }

    /// Dispatches to servers whose backoff has ended and rejects requests that can no longer be served in time.
    pub fn tick(&mut self, now: Timestamp) -> Vec<Decision> {
        self.dispatch_all(now)
    }

    /// Time until a server accepts a request; `None` if none does.
    fn time_until_accepted(&self, now: Timestamp, request: &Request) -> Option<Duration> {
        if request.version.is_some() {
            let keys = self.servers_of_version(now, request);
            return keys.iter().filter_map(|key| self.accepts_in(now, *key, request)).min();
        }
        let mut shortest = None;
        for (key, _) in self.servers_of(&request.service) {
            match self.accepts_in(now, key, request) {
                Some(Duration::ZERO) => return Some(Duration::ZERO),
                left => shortest = left.into_iter().chain(shortest).min(),
            }
        }
        shortest
    }

    /// This node's requests in flight at all servers of a service.
    fn in_flight(&self, service: &Arc<str>) -> u32 {
        let in_use = self.pools.get(service).into_iter().flat_map(Pool::in_use);
        in_use.map(|key| self.servers[key].in_flight).sum()
    }

    /// All servers of a service.
    fn servers_of(&self, service: &Arc<str>) -> impl Iterator<Item = (ServerKey, &Server)> {
        let keys = self.pools.get(service).into_iter().flat_map(Pool::all);
        keys.map(|key| (key, &self.servers[key]))
    }
}

fn mark_in_use(pools: &mut HashMap<Arc<str>, Pool>, key: ServerKey, server: &Server) {
    if let Some(pool) = pools.get_mut(&server.instance.service) {
        pool.mark_in_use(key);
    }
}
