//! Servers for requests under which servers have ended.
//!
//! If another server ends under such a request, it should take few others along. The request therefore goes to the server with
//! the least load, beside another of its kind only if no other has room, and while it runs there, other requests go elsewhere if they can.

use std::time::Duration;

use crate::clock::Timestamp;
use crate::dispatch::Dispatch;
use crate::dispatch::Request;
use crate::dispatch::ServerKey;
use crate::dispatch::server::rendezvous_score;

impl Dispatch {
    /// Chooses the server for an isolated request: the least loaded of those that accept it. Servers that run another one come
    /// after others, and ejected ones last.
    pub(super) fn choose_isolated(
        &self,
        now: Timestamp,
        request: &Request,
        load_ttl: Duration,
        tie_seed: u64,
    ) -> Option<ServerKey> {
        let mean_other_load = self.mean_other_load(now, &request.service, load_ttl);
        let accepting = self.servers_of(&request.service).filter(|(key, server)| {
            self.accepts(now, *key, request) && !server.is_full(now, load_ttl, false)
        });
        let ranked = accepting.map(|(key, server)| {
            let load = server.load(now, mean_other_load, load_ttl);
            let tie_break = rendezvous_score(tie_seed, &server.instance.id);
            (key, (server.is_ejected(now), server.isolated_runs()), load, tie_break)
        });
        let first = ranked.min_by(|a, b| a.1.cmp(&b.1).then(a.2.total_cmp(&b.2)).then(a.3.cmp(&b.3)))?;
        Some(first.0)
    }

    /// Leaves out the servers that run an isolated request, unless no other one accepts the request.
    pub(super) fn without_isolated(
        &self,
        now: Timestamp,
        request: &Request,
        keys: Vec<ServerKey>,
    ) -> Vec<ServerKey> {
        if self.isolated_runs == 0 {
            return keys;
        }
        let is_clear = |key: &ServerKey| self.servers[*key].isolated_runs() == 0;
        if keys.iter().any(|key| is_clear(key) && self.accepts(now, *key, request)) {
            return keys.into_iter().filter(is_clear).collect();
        }
        keys
    }
}
