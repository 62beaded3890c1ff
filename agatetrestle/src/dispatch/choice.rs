//! Choice of the server for a request.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use agatetrestle_config::deployment::Decisions;

use crate::clock::Timestamp;
use crate::dispatch::Dispatch;
use crate::dispatch::LOAD_TTL_RANGE;
use crate::dispatch::Request;
use crate::dispatch::ServerKey;
use crate::dispatch::pool::Candidates;
use crate::dispatch::pool::Pool;
use crate::dispatch::server::rendezvous_score;

/// Load added for a server in another failure domain, in requests. Bytes between domains cost, but less than to wait behind
/// one more request, so requests cross domains rather than queue.
const REMOTE_ZONE_PENALTY: f64 = 0.25;
/// Load added for a server to which no connection is likely to be open, in requests. Less than one for the same reason.
const NEW_CONNECTION_PENALTY: f64 = 0.3;
/// Requests by which the load of the server that has the prompt cached may exceed the least load. Reading a prompt again
/// costs as much as some two requests of a batch slow the others.
const AFFINITY_LOAD_SLACK: f64 = 7.0;

/// A candidate with its estimated load, and a number that breaks ties.
type Scored = (ServerKey, f64, u64);

impl Dispatch {
    /// Mean load that other nodes put on a server of a service, by recent reports.
    pub(super) fn mean_other_load(&self, now: Timestamp, service: &Arc<str>, load_ttl: Duration) -> f64 {
        let in_use = self.pools.get(service).into_iter().flat_map(Pool::in_use);
        let (mut sum, mut count) = (0.0, 0.0);
        for load in in_use.filter_map(|key| self.servers[key].recent_other_load(now, load_ttl)) {
            sum += load;
            count += 1.0;
        }
        if count > 0.0 { sum / count } else { 0.0 }
    }

    /// Chooses the least loaded server that is not full, or the one that has the prompt cached if its load is not much
    /// higher. Ejected servers are used only if no other accepts the request, even if all others are full. Ties are
    /// broken at random, so that nodes don't all choose the same free slot.
    ///
    /// Looks at the candidates of the pool, and at all servers only if no candidate has a free slot.
    pub(super) fn choose(
        &mut self,
        now: Timestamp,
        request: &Request,
        service_time: Duration,
    ) -> Option<ServerKey> {
        let tie_seed = self.rng.below(u64::MAX);
        let load_ttl = service_time.clamp(LOAD_TTL_RANGE.0, LOAD_TTL_RANGE.1);
        if request.isolated {
            return self.choose_isolated(now, request, load_ttl, tie_seed);
        }
        let pool = self.pools.get_mut(&request.service)?;
        pool.retain_in_use(|key| self.servers[key].is_in_use(now, load_ttl));
        let position = request.affinity.unwrap_or(tie_seed);
        let candidates = pool.candidates(position);
        let mut keys = candidates.keys();
        let is_partial = keys.len() < pool.len();
        if request.version.is_some() {
            keys = self.servers_of_version(now, request);
        } else if is_partial && !keys.iter().any(|key| self.has_free_slot(now, *key, request, load_ttl)) {
            keys = self.pools[&request.service].all().collect();
        }
        keys = self.without_isolated(now, request, keys);
        if self.is_modelled(now, &request.service) {
            return self.choose_by_time(now, request, service_time, &keys, &candidates);
        }
        let scored = self.score(now, &keys, request, load_ttl, tie_seed);
        let best = scored.iter().min_by(|a, b| a.1.total_cmp(&b.1).then(a.2.cmp(&b.2)))?;
        if self.policy == Decisions::RoundRobin {
            self.round_robin += 1;
            return Some(scored[self.round_robin % scored.len()].0);
        }
        let Some(affinity) = request.affinity.filter(|_| self.policy != Decisions::LeastLoad) else {
            return Some(best.0);
        };
        Some(self.with_cached_prompt(&scored, &candidates, affinity, best.1).unwrap_or(best.0))
    }

    /// Whether a server accepts the request and, by what is known of it, runs it at once.
    fn has_free_slot(&self, now: Timestamp, key: ServerKey, request: &Request, load_ttl: Duration) -> bool {
        let server = &self.servers[key];
        let usable = self.accepts(now, key, request) && !server.is_ejected(now);
        usable && !server.is_full(now, load_ttl, false)
    }

    /// Estimates the load of the candidates that accept the request.
    fn score(
        &self,
        now: Timestamp,
        keys: &[ServerKey],
        request: &Request,
        load_ttl: Duration,
        tie_seed: u64,
    ) -> Vec<Scored> {
        let mean_other_load = self.mean_other_load(now, &request.service, load_ttl);
        let eligible = |key: &ServerKey| self.accepts(now, *key, request);
        let any_healthy = keys.iter().any(|key| eligible(key) && !self.servers[*key].is_ejected(now));
        let allowed = |key: &&ServerKey| {
            let server = &self.servers[**key];
            let full = server.is_full(now, load_ttl, self.policy != Decisions::Places);
            eligible(key) && (!any_healthy || !server.is_ejected(now)) && !full
        };
        let scored = keys.iter().filter(allowed).map(|key| {
            let server = &self.servers[*key];
            let remote = if server.instance.zone == self.zone { 0.0 } else { REMOTE_ZONE_PENALTY };
            let connect = if server.has_warm_connection(now) { 0.0 } else { NEW_CONNECTION_PENALTY };
            let tie_break = rendezvous_score(tie_seed, &server.instance.id);
            (*key, server.load(now, mean_other_load, load_ttl) + remote + connect, tie_break)
        });
        scored.collect()
    }

    /// The server that has a prompt cached, if its load is not much above the least one. The requests of a program normally
    /// arrive in one failure domain, so its prompt is cached there. Servers outside the windows don't count, since other
    /// nodes don't look for the prompt there.
    fn with_cached_prompt(
        &self,
        scored: &[Scored],
        candidates: &Candidates,
        affinity: u64,
        least_load: f64,
    ) -> Option<ServerKey> {
        let preferred = |window: &BTreeSet<ServerKey>| {
            let in_window = scored.iter().filter(|(key, ..)| window.contains(key));
            in_window
                .max_by_key(|(key, ..)| rendezvous_score(affinity, &self.servers[*key].instance.id))
                .copied()
        };
        let preferences = [preferred(&candidates.local), preferred(&candidates.all)];
        let acceptable =
            preferences.into_iter().flatten().find(|server| server.1 <= least_load + AFFINITY_LOAD_SLACK);
        acceptable.map(|server| server.0)
    }
}
