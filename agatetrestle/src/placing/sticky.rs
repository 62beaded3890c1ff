//! Sticky sessions: a program stays on the server that was least loaded when it started.

use crate::placing::Fetch;
use crate::placing::Placement;
use crate::placing::PlacementRequest;
use crate::placing::Placer;
use crate::placing::least_load::LeastLoad;
use crate::scheduler::fleet::Fleet;
use crate::scheduler::fleet::PoolKey;

/// Keeps a program and its sub-agents on one server while that server accepts calls.
#[derive(Clone, Copy, Debug)]
pub struct Sticky;

impl Placer for Sticky {
    fn place(&mut self, fleet: &Fleet, pool: PoolKey, request: &PlacementRequest<'_>) -> Placement {
        let usable = |key: &_| fleet.servers.get(*key).is_some_and(|s| s.usable() && s.pool == pool);
        let Some(key) = request.last_server.or(request.root_server).filter(usable) else {
            return LeastLoad.place(fleet, pool, request);
        };
        let server = &fleet.servers[key];
        if server.running < server.limit {
            Placement::Send { to: key, fetch: Fetch::None }
        } else {
            Placement::WaitFor(key)
        }
    }
}
