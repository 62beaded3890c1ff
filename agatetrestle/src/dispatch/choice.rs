//! Which of the servers that take requests gets one.

use std::sync::Arc;
use std::time::Duration;

use agatetrestle_config::deployment::Decisions;

use crate::clock::Timestamp;
use crate::dispatch::Dispatch;
use crate::dispatch::MEMORY;
use crate::dispatch::Request;
use crate::dispatch::ServerKey;
use crate::dispatch::server::Server;
use crate::dispatch::server::affinity;

/// What a server in another failure domain, and one to which no connection is open, count as in requests: bytes between domains
/// and new connections cost, but less than to wait behind one more request.
const FAR: f64 = 0.25;
const COLD: f64 = 0.3;
/// Requests by which a server's load may exceed the least loaded one's before its cached prompts no longer
/// speak for it. Reading a prompt again costs as much as some two requests of a batch slow the others.
const AFFINITY_SLACK: f64 = 7.0;

impl Dispatch {
    /// Requests of other nodes at one server of a service, by what answers told lately.
    fn usual_others(&self, now: Timestamp, service: &Arc<str>, memory: Duration) -> f64 {
        let servers = self.servers.values().filter(|server| server.serves(service));
        let (mut sum, mut count) = (0.0, 0.0);
        for others in servers.filter_map(|server| server.recent_others(now, memory)) {
            sum += others;
            count += 1.0;
        }
        if count > 0.0 { sum / count } else { 0.0 }
    }

    /// The server with the least load, unless the one that has the prompt is hardly worse; `mean` is the time that a
    /// request of the service takes. Servers against which much speaks are left out if there is another that takes
    /// requests, even one that is full now. Among equals the own failure domain and open connections go first; the rest
    /// is drawn by lot, so that many nodes don't all see the same free place.
    pub(super) fn choose(&mut self, now: Timestamp, request: &Request, mean: Duration) -> Option<ServerKey> {
        let draw = self.rng.below(u64::MAX);
        let memory = mean.clamp(MEMORY.0, MEMORY.1);
        let usual = self.usual_others(now, &request.service, memory);
        let able = |key: &ServerKey, server: &Server| {
            server.serves(&request.service) && server.usable(now) && !request.excluded.contains(key)
        };
        let trusted = self.servers.iter().any(|(key, server)| able(&key, server) && !server.is_out(now));
        let open = self.servers.iter().filter(|(key, server)| {
            let wanted = able(key, server) && (!trusted || !server.is_out(now));
            wanted && !server.is_full(now, memory, self.rules != Decisions::Places)
        });
        let scored: Vec<(ServerKey, f64, u64)> = open
            .map(|(key, server)| {
                let far = if server.instance.zone == self.zone { 0.0 } else { FAR };
                let cold = if server.is_warm(now) { 0.0 } else { COLD };
                let lot = affinity(draw, &server.instance.id);
                (key, server.load(now, usual, memory) + far + cold, lot)
            })
            .collect();
        let best = scored.iter().min_by(|a, b| a.1.total_cmp(&b.1).then(a.2.cmp(&b.2)))?;
        if self.rules == Decisions::RoundRobin {
            self.turns += 1;
            return Some(scored[self.turns % scored.len()].0);
        }
        let Some(shared) = request.affinity.filter(|_| self.rules != Decisions::LeastLoad) else {
            return Some(best.0);
        };
        let home = |near: bool| {
            let able =
                scored.iter().filter(|(key, ..)| !near || self.servers[*key].instance.zone == self.zone);
            able.max_by_key(|(key, ..)| affinity(shared, &self.servers[*key].instance.id))
        };
        // A program comes through the entries of one failure domain as long as they serve, so its home is there too.
        let homes = [home(true), home(false)];
        let fit = homes.into_iter().flatten().find(|home| home.1 <= best.1 + AFFINITY_SLACK);
        Some(fit.unwrap_or(best).0)
    }
}
