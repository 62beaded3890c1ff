//! Dispatch of queued requests to backend servers, and rejection of those that can't be served in time.
//!
//! Every node decides on its own, from the requests that it has sent and the loads that responses report. The module
//! does no I/O and takes the time as an argument. The rules are described in docs/design/012-a-deployment-of-three-roles.md.

mod candidates;
mod choice;
mod decision;
mod outlier;
mod pool;
mod response_starts;
mod server;
#[cfg(test)]
mod tests;

pub use self::decision::Decision;
pub use self::decision::RejectReason;
pub use self::decision::Request;
pub use self::server::Instance;
pub use self::server::RequestOutcome;
pub use self::server::ServerKey;
pub use self::server::ServerLoad;

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use agatetrestle_config::deployment::Decisions;
use slotmap::SlotMap;

use crate::clock::Timestamp;
use crate::cluster::versioned::BackendChange;
use crate::dispatch::pool::Pool;
use crate::dispatch::response_starts::ResponseStarts;
use crate::dispatch::server::Server;
use crate::health::failure_rates::FailureRates;
use crate::health::max_ejected;
use crate::scheduler::random::Random;

/// Requests that may wait for one service on one node. Bounds the memory for their bodies.
const MAX_QUEUED_REQUESTS: usize = 512;
/// Assumed service time until requests have completed.
const INITIAL_SERVICE_TIME: Duration = Duration::from_millis(200);
/// A completed request contributes this fraction of its time to the moving average.
const SERVICE_TIME_DIVISOR: u32 = 16;
/// Bounds of the time for which a reported load is used. Within them it is the mean service time, after which the
/// requests that were reported have been replaced by others.
const LOAD_TTL_RANGE: (Duration, Duration) = (Duration::from_millis(10), Duration::from_secs(1));
/// Bounds of the retry delay: shorter ones cost more than they gain, longer ones exceed the callers' deadlines.
const RETRY_AFTER_RANGE: (Duration, Duration) = (Duration::from_millis(100), Duration::from_secs(2));
/// Size for which failure rates are kept; they don't depend on the size of a request here.
const UNIFORM_SIZE_TOKENS: u64 = 1;
/// Queue order: requests that already miss their `finish_by` last, then by priority, requests of started programs
/// first, then by `finish_by` and ticket.
type QueueRank = (bool, u8, bool, Timestamp, u64);

#[derive(Debug)]
struct Queue {
    waiting: BTreeMap<QueueRank, Request>,
    /// Moving average of the time from sending a request to the end of its response.
    service_time: Duration,
    /// Failure rates of the healthy servers.
    failure_rates: FailureRates,
    response_starts: ResponseStarts,
}

impl Default for Queue {
    fn default() -> Self {
        Self {
            waiting: BTreeMap::new(),
            service_time: INITIAL_SERVICE_TIME,
            failure_rates: FailureRates::default(),
            response_starts: ResponseStarts::default(),
        }
    }
}

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

    /// Updates the servers from a list. Servers that are missing from it get no more requests, and neither do servers
    /// once known to be leaving: the list may be stale, so it can't revoke that.
    pub fn replace_instances(&mut self, now: Timestamp, instances: &[Instance]) -> Vec<Decision> {
        let known: Vec<ServerKey> = self.servers.keys().collect();
        for key in known {
            self.unlist(key);
        }
        for instance in instances {
            self.update_instance(instance);
        }
        self.finish_update(now)
    }

    /// Updates the servers from a change of the list, at the cost of the change.
    pub fn apply_change(&mut self, now: Timestamp, change: &BackendChange) -> Vec<Decision> {
        match change {
            BackendChange::Whole(instances) => self.replace_instances(now, instances),
            BackendChange::Since { gone, put, .. } => {
                for id in gone.iter().chain(put.iter().map(|instance| &instance.id)) {
                    if let Some(key) = self.by_id.get(id) {
                        self.unlist(*key);
                    }
                }
                for instance in put {
                    self.update_instance(instance);
                }
                self.finish_update(now)
            }
        }
    }

    fn finish_update(&mut self, now: Timestamp) -> Vec<Decision> {
        let mut decisions = self.remove_unlisted();
        decisions.extend(self.dispatch_all(now));
        decisions
    }

    fn unlist(&mut self, key: ServerKey) {
        self.update_server(key, |server| server.listed = false);
        self.unlisted.insert(key);
    }

    /// Changes what the pool of a server depends on.
    fn update_server(&mut self, key: ServerKey, update: impl FnOnce(&mut Server)) {
        let Some(server) = self.servers.get_mut(key) else {
            return;
        };
        let used = self.pools.get_mut(&server.instance.service).is_some_and(|pool| pool.remove(key, server));
        update(server);
        let pool = self.pools.entry(server.instance.service.clone()).or_default();
        pool.insert(key, server, server.instance.zone == self.zone);
        if used {
            pool.mark_in_use(key);
        }
    }

    /// Adds or updates a listed server. A newer instance under a known id is added as another server, which takes over
    /// nothing from the earlier one.
    fn update_instance(&mut self, instance: &Instance) {
        let known = self.by_id.get(&instance.id).copied();
        if let Some(key) = known.filter(|key| !instance.is_newer_than(&self.servers[*key].instance)) {
            self.update_server(key, |server| server.update(instance));
            self.unlisted.remove(&key);
            return;
        }
        let key = self.servers.insert(Server::new(instance));
        self.by_id.insert(instance.id.clone(), key);
        let pool = self.pools.entry(instance.service.clone()).or_default();
        pool.insert(key, &self.servers[key], instance.zone == self.zone);
    }

    /// Reports unlisted servers once, and removes them when none of this node's requests is in flight there.
    fn remove_unlisted(&mut self) -> Vec<Decision> {
        let mut decisions = Vec::new();
        for key in std::mem::take(&mut self.unlisted) {
            let server = &mut self.servers[key];
            if !std::mem::replace(&mut server.removal_reported, true) {
                decisions.push(Decision::DropConnections { address: server.instance.address });
            }
            if server.in_flight > 0 {
                self.unlisted.insert(key);
            } else {
                self.remove_server(key);
            }
        }
        decisions
    }

    fn remove_server(&mut self, key: ServerKey) {
        let Some(server) = self.servers.remove(key) else {
            return;
        };
        if self.by_id.get(&server.instance.id) == Some(&key) {
            self.by_id.remove(&server.instance.id);
        }
        if let Some(pool) = self.pools.get_mut(&server.instance.service) {
            pool.remove(key, &server);
            if pool.len() == 0 {
                self.pools.remove(&server.instance.service);
            }
        }
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

    /// Number of queued requests of all services.
    #[must_use]
    pub fn waiting(&self) -> usize {
        self.queues.values().map(|queue| queue.waiting.len()).sum()
    }

    /// Adds a request, which is sent, rejected or queued.
    pub fn submit(&mut self, now: Timestamp, request: Request) -> Vec<Decision> {
        let service = request.service.clone();
        let served = self.time_until_available(now, &service, &request.excluded).is_some();
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

    /// Records the load that a response header reports for a server.
    pub fn record_load(&mut self, now: Timestamp, key: ServerKey, load: ServerLoad) {
        if let Some(server) = self.servers.get_mut(key) {
            server.record_load(now, load);
            mark_in_use(&mut self.pools, key, server);
        }
    }

    /// Records that the response to a request has started.
    pub fn record_response_start(&mut self, now: Timestamp, service: &Arc<str>, sent_at: Timestamp) {
        if let Some(queue) = self.queues.get_mut(service) {
            queue.response_starts.record(sent_at, now);
        }
    }

    /// Whether the response to a request is so late, compared with others of its service, that the server counts as
    /// unresponsive. Never true before `min_age`.
    #[must_use]
    pub fn is_unresponsive(
        &self,
        now: Timestamp,
        service: &Arc<str>,
        sent_at: Timestamp,
        min_age: Duration,
    ) -> bool {
        self.policy != Decisions::Patient
            && self
                .queues
                .get(service)
                .is_some_and(|queue| queue.response_starts.is_overdue(sent_at, now, min_age))
    }

    /// Marks a server that has announced its shutdown, or at whose address another instance answers.
    pub fn mark_leaving(&mut self, key: ServerKey) {
        self.update_server(key, |server| server.instance.leaving = true);
    }

    /// Records how a request ended, and dispatches queued requests to the freed slot.
    pub fn finish(&mut self, now: Timestamp, key: ServerKey, outcome: RequestOutcome) -> Vec<Decision> {
        let Some(server) = self.servers.get_mut(key) else {
            return Vec::new();
        };
        let service = server.instance.service.clone();
        server.finish(now, outcome);
        let queue = self.queues.entry(service.clone()).or_default();
        if let RequestOutcome::Completed(elapsed) = outcome {
            queue.service_time =
                (queue.service_time * (SERVICE_TIME_DIVISOR - 1) + elapsed) / SERVICE_TIME_DIVISOR;
        }
        if let Some(failed) =
            server.record_outcome(now, outcome, queue.failure_rates.rate(UNIFORM_SIZE_TOKENS))
        {
            queue.failure_rates.record(UNIFORM_SIZE_TOKENS, failed);
        }
        let failure_rate = queue.failure_rates.rate(UNIFORM_SIZE_TOKENS);
        let ejected =
            self.eject_outlier(now, key).map(|until| Decision::Eject { server: key, until, failure_rate });
        let mut decisions: Vec<Decision> = ejected.into_iter().collect();
        decisions.extend(self.dispatch_queue(now, &service, None));
        decisions
    }

    /// Ejects a server if the evidence suffices and not too many servers of its service are ejected already.
    fn eject_outlier(&mut self, now: Timestamp, key: ServerKey) -> Option<Timestamp> {
        let service = self.servers.get(key)?.instance.service.clone();
        let listed = || self.servers_of(&service).filter(|(_, server)| server.listed);
        let ejected = listed().filter(|(_, server)| server.is_ejected(now)).count();
        if ejected >= max_ejected(listed().count()) {
            return None;
        }
        self.servers.get_mut(key)?.eject_outlier(now)
    }

    /// Dispatches to servers whose backoff has ended and rejects requests that can no longer be served in time.
    pub fn tick(&mut self, now: Timestamp) -> Vec<Decision> {
        self.dispatch_all(now)
    }

    fn dispatch_all(&mut self, now: Timestamp) -> Vec<Decision> {
        let services: Vec<Arc<str>> = self.queues.keys().cloned().collect();
        services.iter().flat_map(|service| self.dispatch_queue(now, service, None)).collect()
    }

    /// Sends as many requests of a service as possible in queue order, then rejects those that would be late. `added`
    /// is the request that has just been submitted.
    fn dispatch_queue(&mut self, now: Timestamp, service: &Arc<str>, added: Option<u64>) -> Vec<Decision> {
        let mut decisions = Vec::new();
        let Some(mut queue) = self.queues.remove(service) else {
            return decisions;
        };
        let mut remaining = BTreeMap::new();
        while let Some((rank, request)) = queue.waiting.pop_first() {
            if request.deadline <= now {
                decisions.push(reject(&request, queue.service_time, RejectReason::TooLate));
                continue;
            }
            match self.choose(now, &request, queue.service_time) {
                Some(server) if self.misses_deadline(now, server, &request, queue.service_time) => {
                    decisions.push(reject(&request, queue.service_time, RejectReason::TooLate));
                }
                Some(server) => {
                    self.servers[server].in_flight += 1;
                    mark_in_use(&mut self.pools, server, &self.servers[server]);
                    decisions.push(Decision::Send { ticket: request.ticket, server });
                }
                None if request.excluded.is_empty() => {
                    remaining.insert(rank, request);
                    remaining.append(&mut queue.waiting);
                }
                None => {
                    remaining.insert(rank, request);
                }
            }
        }
        queue.waiting = remaining;
        decisions.extend(self.reject_late(now, service, &mut queue, added));
        self.queues.insert(service.clone(), queue);
        decisions
    }

    /// Whether a request would wait at a server for so long that its response would miss the deadline.
    fn misses_deadline(
        &self,
        now: Timestamp,
        server: ServerKey,
        request: &Request,
        service_time: Duration,
    ) -> bool {
        let load_ttl = service_time.clamp(LOAD_TTL_RANGE.0, LOAD_TTL_RANGE.1);
        let wait = self.servers[server].known_wait(now, load_ttl, service_time);
        !wait.is_zero() && now + wait + service_time > request.deadline
    }

    /// Rejects queued requests that would miss their deadlines at the current rate of service. Requests accepted
    /// earlier count with half the queueing delay, since completions come in bursts and the rate may only seem low.
    fn reject_late(
        &self,
        now: Timestamp,
        service: &Arc<str>,
        queue: &mut Queue,
        added: Option<u64>,
    ) -> Vec<Decision> {
        if queue.waiting.is_empty() || self.policy == Decisions::NoRejection {
            return Vec::new();
        }
        let concurrency = self.in_flight(service).max(1);
        let available_in = self.time_until_available(now, service, &[]);
        let mut decisions = Vec::new();
        let mut ahead = 0_u32;
        queue.waiting.retain(|_, request| {
            let retried = !request.excluded.is_empty();
            let available_in = if retried {
                self.time_until_available(now, service, &request.excluded)
            } else {
                available_in
            };
            let Some(backoff) = available_in else {
                decisions.push(reject(request, queue.service_time, RejectReason::NoServer));
                return false;
            };
            let queue_delay = queue.service_time * (ahead + 1) / concurrency;
            let wait = backoff + queue_delay;
            let is_new = Some(request.ticket) == added;
            let expected_wait = if is_new { wait } else { backoff + queue_delay / 2 };
            let in_time = now + expected_wait + queue.service_time <= request.deadline;
            let wait_acceptable = request.started || !is_new || wait <= request.max_wait;
            if in_time && wait_acceptable {
                ahead += 1;
                return true;
            }
            decisions.push(reject(request, wait, RejectReason::TooLate));
            false
        });
        decisions
    }

    /// Time until a server of the service that is not excluded accepts requests; `None` if there is no such server.
    fn time_until_available(
        &self,
        now: Timestamp,
        service: &Arc<str>,
        excluded: &[ServerKey],
    ) -> Option<Duration> {
        let mut shortest = None;
        for (_, server) in self.servers_of(service).filter(|(key, _)| !excluded.contains(key)) {
            match server.backoff_left(now) {
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

fn reject(request: &Request, wait: Duration, reason: RejectReason) -> Decision {
    let retry_after = wait.clamp(RETRY_AFTER_RANGE.0, RETRY_AFTER_RANGE.1);
    Decision::Reject { ticket: request.ticket, retry_after, reason }
}
