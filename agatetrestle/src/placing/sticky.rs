//! Sticky sessions: a program stays with the server that was least loaded when it began.

use crate::placing::Fetch;
use crate::placing::Placement;
use crate::placing::PlacementRequest;
use crate::placing::Placer;
use crate::placing::least_load::LeastLoad;
use crate::scheduler::fleet::Fleet;
use crate::scheduler::fleet::PoolKey;

/// Keeps a program and its sub-agents on one server as long as that takes calls at all.
#[derive(Clone, Copy, Debug)]
pub struct Sticky;

impl Placer for Sticky {
    fn place(&mut self, fleet: &Fleet, pool: PoolKey, wanted: &PlacementRequest<'_>) -> Placement {
        let usable = |key: &_| fleet.servers.get(*key).is_some_and(|s| s.usable() && s.pool == pool);
        let Some(home) = wanted.last_server.or(wanted.root_server).filter(usable) else {
            return LeastLoad.place(fleet, pool, wanted);
        };
        let server = &fleet.servers[home];
        if server.running < server.limit {
            Placement::Send { to: home, fetch: Fetch::None }
        } else {
            Placement::WaitFor(home)
        }
    }
}
