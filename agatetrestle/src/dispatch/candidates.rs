//! Candidates for the server of a request, for a leader that knows the load of servers better than this node.

use std::time::Duration;

use crate::clock::Timestamp;
use crate::dispatch::Dispatch;
use crate::dispatch::INITIAL_SERVICE_TIME;
use crate::dispatch::LOAD_TTL_RANGE;
use crate::dispatch::Request;
use crate::dispatch::ServerKey;
use crate::dispatch::mark_in_use;
use crate::turns::command::MAX_CANDIDATES;

/// Candidates with the least load by what this node knows, its own choice included. The others are random, so that a server
/// that was slow or loaded is found again after it has recovered.
const LEAST_LOADED_CANDIDATES: usize = 5;
/// Time added for a server in another failure domain: two network latencies between failure domains.
const REMOTE_ZONE_COST: Duration = Duration::from_millis(3);
/// Time added for a server to which no connection is likely to be open: one round trip.
const NEW_CONNECTION_COST: Duration = Duration::from_millis(2);
/// Divisor of the mean service time that is added for reading a prompt that another server has cached. An assumption, as
/// this node does not measure the time to read a prompt.
const COLD_PROMPT_DIVISOR: u32 = 8;

impl Dispatch {
    /// At most [`MAX_CANDIDATES`] servers that accept a request, the choice of this node first, each with the time that it is
    /// expected to take there without the load of other requests.
    pub fn candidates(&mut self, now: Timestamp, request: &Request) -> Vec<(ServerKey, Duration)> {
        let service_time =
            self.queues.get(&request.service).map_or(INITIAL_SERVICE_TIME, |queue| queue.service_time);
        let load_ttl = service_time.clamp(LOAD_TTL_RANGE.0, LOAD_TTL_RANGE.1);
        let Some(own) = self.choose(now, request, service_time) else {
            return Vec::new();
        };
        let position = self.rng.below(u64::MAX);
        let Some(pool) = self.pools.get(&request.service) else {
            return Vec::new();
        };
        let mut others: Vec<(ServerKey, f64)> = pool
            .candidates(position)
            .keys()
            .into_iter()
            .filter(|key| *key != own && self.accepts(now, *key, request))
            .map(|key| (key, self.servers[key].load(now, 0.0, load_ttl)))
            .collect();
        // The order of servers with the same load must not be the same on every node.
        for index in (1..others.len()).rev() {
            others.swap(index, self.rng.index(index + 1));
        }
        others.sort_by(|a, b| a.1.total_cmp(&b.1));
        let random = others.split_off(others.len().min(LEAST_LOADED_CANDIDATES - 1));
        let step = random.len().div_ceil(MAX_CANDIDATES - LEAST_LOADED_CANDIDATES).max(1);
        let offset = self.rng.index(step.min(random.len()));
        others.extend(random.into_iter().skip(offset).step_by(step));
        let keys = std::iter::once(own).chain(others.into_iter().map(|(key, _)| key));
        let expected = |key| (key, self.expected_time(now, key, service_time, request, own));
        keys.take(MAX_CANDIDATES).map(expected).collect()
    }

    /// Moves a request that has not been sent to another server. Returns whether that server accepts it; if not, nothing
    /// changes.
    pub fn reassign(&mut self, now: Timestamp, from: ServerKey, to: ServerKey) -> bool {
        let accepts =
            self.servers.get(to).is_some_and(|server| server.is_available(now) && !server.is_ejected(now));
        if !accepts || from == to {
            return accepts;
        }
        if let Some(server) = self.servers.get_mut(from) {
            server.in_flight = server.in_flight.saturating_sub(1);
        }
        self.servers[to].in_flight += 1;
        mark_in_use(&mut self.pools, to, &self.servers[to]);
        true
    }

    fn accepts(&self, now: Timestamp, key: ServerKey, request: &Request) -> bool {
        let server = &self.servers[key];
        server.is_available(now) && !server.is_ejected(now) && !request.excluded.contains(&key)
    }

    fn expected_time(
        &self,
        now: Timestamp,
        key: ServerKey,
        service_time: Duration,
        request: &Request,
        own: ServerKey,
    ) -> Duration {
        let server = &self.servers[key];
        let remote = if server.instance.zone == self.zone { Duration::ZERO } else { REMOTE_ZONE_COST };
        let connect = if server.has_warm_connection(now) { Duration::ZERO } else { NEW_CONNECTION_COST };
        let is_cold = request.affinity.is_some() && key != own;
        let prompt = if is_cold { service_time / COLD_PROMPT_DIVISOR } else { Duration::ZERO };
        service_time + remote + connect + prompt
    }
}
