//! Choice of the server for a request.

use std::sync::Arc;
use std::time::Duration;

use agatetrestle_config::deployment::Decisions;

use crate::clock::Timestamp;
use crate::dispatch::Dispatch;
use crate::dispatch::LOAD_TTL_RANGE;
use crate::dispatch::Request;
use crate::dispatch::ServerKey;
use crate::dispatch::server::Server;
use crate::dispatch::server::rendezvous_score;

/// Load added for a server in another failure domain, in requests. Less than one, so that requests cross domains rather
/// than queue.
const REMOTE_ZONE_PENALTY: f64 = 0.25;
/// Load added for a server to which no connection is likely to be open, in requests.
const NEW_CONNECTION_PENALTY: f64 = 0.3;
/// Requests by which the load of the server that has the prompt cached may exceed the least load.
const AFFINITY_LOAD_SLACK: f64 = 7.0;

impl Dispatch {
    /// Mean load that other nodes put on a server of a service, by recent reports.
    fn mean_other_load(&self, now: Timestamp, service: &Arc<str>, load_ttl: Duration) -> f64 {
        let servers = self.servers.values().filter(|server| server.serves(service));
        let (mut sum, mut count) = (0.0, 0.0);
        for load in servers.filter_map(|server| server.recent_other_load(now, load_ttl)) {
            sum += load;
            count += 1.0;
        }
        if count > 0.0 { sum / count } else { 0.0 }
    }

    /// Chooses the least loaded server that is not full, or the one that has the prompt cached if its load is not much
    /// higher. Ejected servers are used only if no other accepts the request, even if all others are full. Ties are
    /// broken at random, so that nodes don't all choose the same free slot.
    pub(super) fn choose(
        &mut self,
        now: Timestamp,
        request: &Request,
        service_time: Duration,
    ) -> Option<ServerKey> {
        let tie_seed = self.rng.below(u64::MAX);
        let load_ttl = service_time.clamp(LOAD_TTL_RANGE.0, LOAD_TTL_RANGE.1);
        let mean_other_load = self.mean_other_load(now, &request.service, load_ttl);
        let eligible = |key: &ServerKey, server: &Server| {
            server.serves(&request.service) && server.is_available(now) && !request.excluded.contains(key)
        };
        let any_healthy =
            self.servers.iter().any(|(key, server)| eligible(&key, server) && !server.is_ejected(now));
        let candidates = self.servers.iter().filter(|(key, server)| {
            let allowed = eligible(key, server) && (!any_healthy || !server.is_ejected(now));
            allowed && !server.is_full(now, load_ttl, self.policy != Decisions::Places)
        });
        let scored: Vec<(ServerKey, f64, u64)> = candidates
            .map(|(key, server)| {
                let remote = if server.instance.zone == self.zone { 0.0 } else { REMOTE_ZONE_PENALTY };
                let connect = if server.has_warm_connection(now) { 0.0 } else { NEW_CONNECTION_PENALTY };
                let tie_break = rendezvous_score(tie_seed, &server.instance.id);
                (key, server.load(now, mean_other_load, load_ttl) + remote + connect, tie_break)
            })
            .collect();
        let best = scored.iter().min_by(|a, b| a.1.total_cmp(&b.1).then(a.2.cmp(&b.2)))?;
        if self.policy == Decisions::RoundRobin {
            self.round_robin += 1;
            return Some(scored[self.round_robin % scored.len()].0);
        }
        let Some(affinity) = request.affinity.filter(|_| self.policy != Decisions::LeastLoad) else {
            return Some(best.0);
        };
        let preferred = |same_zone: bool| {
            let in_scope =
                scored.iter().filter(|(key, ..)| !same_zone || self.servers[*key].instance.zone == self.zone);
            in_scope.max_by_key(|(key, ..)| rendezvous_score(affinity, &self.servers[*key].instance.id))
        };
        // The requests of a program normally arrive in one failure domain, so its prompt is cached there.
        let preferences = [preferred(true), preferred(false)];
        let acceptable =
            preferences.into_iter().flatten().find(|server| server.1 <= best.1 + AFFINITY_LOAD_SLACK);
        Some(acceptable.unwrap_or(best).0)
    }
}
