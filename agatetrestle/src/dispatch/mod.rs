//! Which waiting request goes next to which backend server, and which is turned away.
//!
//! Every node decides alone, with what it sends itself and what answers tell of the load by others. The slice is
//! pure: time comes in as an argument. What each rule answers stands in docs/design/012-a-deployment-of-three-roles.md.

mod choice;
mod decision;
mod server;
mod silence;
mod suspicion;
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
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use agatetrestle_config::deployment::Decisions;
use slotmap::SlotMap;

use crate::clock::Timestamp;
use crate::dispatch::server::Server;
use crate::dispatch::silence::Beginnings;
use crate::health::failure_rates::FailureRates;
use crate::health::max_ejected;
use crate::scheduler::random::Random;

/// Requests that may wait for one service on one node. Each holds its body in memory; 512 of some 20 KB stay
/// within a tenth of the smallest VM.
const QUEUE_LIMIT: usize = 512;
/// The time a request is expected to take at a server before any was measured.
const FIRST_ESTIMATE: Duration = Duration::from_millis(200);
/// Share of a new time in the running mean, as a divisor: 16 requests are a fraction of a second under load.
const MEAN_WEIGHT: u32 = 16;
/// Shortest and longest time for which what answers told of others' load is believed. Between them it is the time that a
/// request of the service takes, in which the load of a server is another one.
const MEMORY: (Duration, Duration) = (Duration::from_millis(10), Duration::from_secs(1));
/// Shortest and longest wait that a caller is told. Below, coming back costs more than it gains; above, the caller's
/// own deadline ends first.
const RETRY_AFTER: (Duration, Duration) = (Duration::from_millis(100), Duration::from_secs(2));
/// Size by which the risk of a request is looked up; sizes are not told apart here.
const ANY_SIZE: u64 = 1;
/// Order of service: what is lost already goes last, urgent kinds first, then programs that have begun, then the least
/// time left. A program whose time is up earns little, and each one that goes before others makes them late as well.
type Rank = (bool, u8, bool, Timestamp, u64);

#[derive(Debug)]
struct Queue {
    waiting: BTreeMap<Rank, Request>,
    mean: Duration,
    /// How often requests fail at servers against which nothing speaks.
    failure_rates: FailureRates,
    /// Answers that began lately.
    beginnings: Beginnings,
}

impl Default for Queue {
    fn default() -> Self {
        Self {
            waiting: BTreeMap::new(),
            mean: FIRST_ESTIMATE,
            failure_rates: FailureRates::default(),
            beginnings: Beginnings::default(),
        }
    }
}

/// The decisions of one node.
#[derive(Debug)]
pub struct Dispatch {
    servers: SlotMap<ServerKey, Server>,
    by_id: HashMap<Arc<str>, ServerKey>,
    queues: HashMap<Arc<str>, Queue>,
    zone: Arc<str>,
    rng: Random,
    rules: Decisions,
    /// Counts what was sent, for servers in turn.
    turns: usize,
}

impl Dispatch {
    /// Decisions for a node in a failure domain.
    #[must_use]
    pub fn new(zone: Arc<str>, seed: u64) -> Self {
        Self {
            servers: SlotMap::default(),
            by_id: HashMap::new(),
            queues: HashMap::new(),
            zone,
            rng: Random::new(seed),
            rules: Decisions::Own,
            turns: 0,
        }
    }

    /// The same node with a baseline in place of one of its decisions, for comparisons.
    #[must_use]
    pub fn with_policy(self, rules: Decisions) -> Self {
        Self { rules, ..self }
    }

    /// Takes in the list of backend servers. One that is not in it any more gets nothing, and neither does one that
    /// once was told to leave: the list lags, so only signs of leaving are believed.
    pub fn replace_instances(&mut self, now: Timestamp, instances: &[Instance]) -> Vec<Decision> {
        for server in self.servers.values_mut() {
            server.listed = false;
        }
        for instance in instances {
            self.list(instance);
        }
        let mut decisions = self.drop_unlisted();
        decisions.extend(self.pass_all(now));
        decisions
    }

    /// Takes in one server of the list. A later life under the same id is another server, of which nothing is known:
    /// neither load nor suspicion nor an open connection, and that the earlier one was leaving says nothing.
    fn list(&mut self, instance: &Instance) {
        let known = self.by_id.get(&instance.id).copied();
        match known.and_then(|key| self.servers.get_mut(key)) {
            Some(server) if !instance.is_newer_than(&server.instance) => server.update(instance),
            _ => {
                let key = self.servers.insert(Server::new(instance));
                self.by_id.insert(instance.id.clone(), key);
            }
        }
    }

    /// Drops the servers that are not listed, once this node has nothing in service there.
    fn drop_unlisted(&mut self) -> Vec<Decision> {
        let mut ended = Vec::new();
        let by_id = &mut self.by_id;
        self.servers.retain(|key, server| {
            if !server.listed && !std::mem::replace(&mut server.ended, true) {
                ended.push(Decision::DropConnections { address: server.instance.address });
            }
            let stays = server.listed || server.running > 0;
            if !stays && by_id.get(&server.instance.id) == Some(&key) {
                by_id.remove(&server.instance.id);
            }
            stays
        });
        ended
    }

    /// The instance behind a key.
    #[must_use]
    pub fn instance(&self, key: ServerKey) -> Option<&Instance> {
        self.servers.get(key).map(|server| &server.instance)
    }

    /// All known instances with this node's requests in service there.
    pub fn instances(&self) -> impl Iterator<Item = (&Instance, u32)> {
        self.servers.values().map(|server| (&server.instance, server.running))
    }

    /// The keys of all known instances.
    pub fn instances_by_key(&self) -> impl Iterator<Item = (ServerKey, &Instance)> {
        self.servers.iter().map(|(key, server)| (key, &server.instance))
    }

    /// Requests that the servers of a service run at once, of those that take any.
    #[must_use]
    pub fn total_slots(&self, service: &Arc<str>) -> u32 {
        let taking = |server: &&Server| server.listed && !server.instance.leaving && server.serves(service);
        self.servers.values().filter(taking).map(|server| server.instance.slots).sum()
    }

    /// Requests that wait.
    #[must_use]
    pub fn waiting(&self) -> usize {
        self.queues.values().map(|queue| queue.waiting.len()).sum()
    }

    /// Takes in a request: it is sent, turned away at once, or waits for a later decision.
    pub fn submit(&mut self, now: Timestamp, request: Request) -> Vec<Decision> {
        let service = request.service.clone();
        let served = self.ready_in(now, &service, &request.excluded).is_some();
        let queue = self.queues.entry(service.clone()).or_default();
        let ticket = request.ticket;
        let retry_after = queue.mean.clamp(RETRY_AFTER.0, RETRY_AFTER.1);
        if !served {
            return vec![Decision::Reject { ticket, retry_after, reason: RejectReason::NoServer }];
        }
        if queue.waiting.len() >= QUEUE_LIMIT {
            return vec![Decision::Reject { ticket, retry_after, reason: RejectReason::QueueFull }];
        }
        let lost = request.finish_by < now + queue.mean;
        let rank = match self.rules {
            Decisions::FirstCome => (false, 0, false, Timestamp(0), ticket),
            _ => (lost, request.priority, !request.started, request.finish_by, ticket),
        };
        queue.waiting.insert(rank, request);
        self.pass(now, &service, Some(ticket))
    }

    /// Drops a request whose caller is gone.
    pub fn cancel(&mut self, ticket: u64) {
        for queue in self.queues.values_mut() {
            queue.waiting.retain(|_, request| request.ticket != ticket);
        }
    }

    /// Takes in what the head of an answer tells of a server's load.
    pub fn record_load(&mut self, now: Timestamp, key: ServerKey, load: ServerLoad) {
        if let Some(server) = self.servers.get_mut(key) {
            server.observe(now, load);
        }
    }

    /// Takes in that the answer to a request begins.
    pub fn record_response_start(&mut self, now: Timestamp, service: &Arc<str>, sent: Timestamp) {
        if let Some(queue) = self.queues.get_mut(service) {
            queue.beginnings.note(sent, now);
        }
    }

    /// Whether the answer to a request that was sent then is missing in a way that tells of its server, not of the
    /// service; `least` is what any may take.
    #[must_use]
    pub fn is_unresponsive(
        &self,
        now: Timestamp,
        service: &Arc<str>,
        sent: Timestamp,
        least: Duration,
    ) -> bool {
        self.rules != Decisions::Patient
            && self.queues.get(service).is_some_and(|queue| queue.beginnings.miss(sent, now, least))
    }

    /// Takes in that a server said it leaves or is another one.
    pub fn mark_leaving(&mut self, key: ServerKey) {
        if let Some(server) = self.servers.get_mut(key) {
            server.instance.leaving = true;
        }
    }

    /// Takes in that a request is no longer in service.
    pub fn finish(&mut self, now: Timestamp, key: ServerKey, outcome: RequestOutcome) -> Vec<Decision> {
        let Some(server) = self.servers.get_mut(key) else {
            return Vec::new();
        };
        let service = server.instance.service.clone();
        server.finish(now, outcome);
        let queue = self.queues.entry(service.clone()).or_default();
        if let RequestOutcome::Completed(took) = outcome {
            queue.mean = (queue.mean * (MEAN_WEIGHT - 1) + took) / MEAN_WEIGHT;
        }
        if let Some(failed) = server.weigh(now, outcome, queue.failure_rates.rate(ANY_SIZE)) {
            queue.failure_rates.record(ANY_SIZE, failed);
        }
        let usual = queue.failure_rates.rate(ANY_SIZE);
        let suspected =
            self.suspect(now, key).map(|until| Decision::Eject { server: key, until, failure_rate: usual });
        let mut decisions: Vec<Decision> = suspected.into_iter().collect();
        decisions.extend(self.pass(now, &service, None));
        decisions
    }

    /// Takes a server out for which the evidence suffices, unless too many of its service are out.
    fn suspect(&mut self, now: Timestamp, key: ServerKey) -> Option<Timestamp> {
        let service = self.servers.get(key)?.instance.service.clone();
        let of_service = || self.servers.values().filter(|server| server.serves(&service) && server.listed);
        let out = of_service().filter(|server| server.is_out(now)).count();
        if out >= max_ejected(of_service().count()) {
            return None;
        }
        self.servers.get_mut(key)?.suspect(now)
    }

    /// Lets time pass: rests end, and what can no longer be served is turned away.
    pub fn tick(&mut self, now: Timestamp) -> Vec<Decision> {
        self.pass_all(now)
    }

    fn pass_all(&mut self, now: Timestamp) -> Vec<Decision> {
        let services: Vec<Arc<str>> = self.queues.keys().cloned().collect();
        services.iter().flat_map(|service| self.pass(now, service, None)).collect()
    }

    /// Sends what can be sent in the order of service, then turns away what would come too late.
    fn pass(&mut self, now: Timestamp, service: &Arc<str>, newcomer: Option<u64>) -> Vec<Decision> {
        let mut decisions = Vec::new();
        let Some(mut queue) = self.queues.remove(service) else {
            return decisions;
        };
        let mut left = BTreeMap::new();
        while let Some((rank, request)) = queue.waiting.pop_first() {
            if request.deadline <= now {
                decisions.push(reject(&request, queue.mean, RejectReason::TooLate));
                continue;
            }
            match self.choose(now, &request, queue.mean) {
                Some(server) if self.comes_too_late(now, server, &request, queue.mean) => {
                    decisions.push(reject(&request, queue.mean, RejectReason::TooLate));
                }
                Some(server) => {
                    self.servers[server].running += 1;
                    decisions.push(Decision::Send { ticket: request.ticket, server });
                }
                None if request.excluded.is_empty() => {
                    left.insert(rank, request);
                    left.append(&mut queue.waiting);
                }
                None => {
                    left.insert(rank, request);
                }
            }
        }
        queue.waiting = left;
        decisions.extend(self.turn_away(now, service, &mut queue, newcomer));
        self.queues.insert(service.clone(), queue);
        decisions
    }

    /// Whether a request would wait at a server for so long that its answer is of no use.
    fn comes_too_late(&self, now: Timestamp, server: ServerKey, request: &Request, mean: Duration) -> bool {
        let wait = self.servers[server].known_wait(now, mean.clamp(MEMORY.0, MEMORY.1), mean);
        !wait.is_zero() && now + wait + mean > request.deadline
    }

    /// Turns away at once what would wait beyond its deadline at the present pace. What was let in before is kept
    /// until the pace has fallen to half of what it was let in by, since answers that come in waves make the pace
    /// look slower for a moment; but never beyond the time at which it could still be served.
    fn turn_away(
        &self,
        now: Timestamp,
        service: &Arc<str>,
        queue: &mut Queue,
        newcomer: Option<u64>,
    ) -> Vec<Decision> {
        if queue.waiting.is_empty() || self.rules == Decisions::NoRejection {
            return Vec::new();
        }
        let places = self.running(service).max(1);
        let ready = self.ready_in(now, service, &[]);
        let mut decisions = Vec::new();
        let mut ahead = 0_u32;
        queue.waiting.retain(|_, request| {
            let retried = !request.excluded.is_empty();
            let ready = if retried { self.ready_in(now, service, &request.excluded) } else { ready };
            let Some(rest) = ready else {
                decisions.push(reject(request, queue.mean, RejectReason::NoServer));
                return false;
            };
            let turn = queue.mean * (ahead + 1) / places;
            let wait = rest + turn;
            let newcomer = Some(request.ticket) == newcomer;
            let expected = if newcomer { wait } else { rest + turn / 2 };
            let in_time = now + expected + queue.mean <= request.deadline;
            let worth_waiting = request.started || !newcomer || wait <= request.max_wait;
            if in_time && worth_waiting {
                ahead += 1;
                return true;
            }
            decisions.push(reject(request, wait, RejectReason::TooLate));
            false
        });
        decisions
    }

    /// How long it takes until a server of a service other than some takes requests again; none if there is no such
    /// server. Servers that rest for longer than a request has time are as good as none.
    fn ready_in(&self, now: Timestamp, service: &Arc<str>, avoid: &[ServerKey]) -> Option<Duration> {
        let servers =
            self.servers.iter().filter(|(key, server)| server.serves(service) && !avoid.contains(key));
        servers.filter_map(|(_, server)| server.rest_left(now)).min()
    }

    /// This node's requests in service at all servers of a service.
    fn running(&self, service: &Arc<str>) -> u32 {
        self.servers.values().filter(|server| server.serves(service)).map(|server| server.running).sum()
    }
}

fn reject(request: &Request, wait: Duration, reason: RejectReason) -> Decision {
    let retry_after = wait.clamp(RETRY_AFTER.0, RETRY_AFTER.1);
    Decision::Reject { ticket: request.ticket, retry_after, reason }
}
