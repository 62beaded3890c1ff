//! Placement on the least loaded open server, by this node's own calls and the last load report.

use crate::placing::Fetch;
use crate::placing::Placement;
use crate::placing::PlacementRequest;
use crate::placing::Placer;
use crate::scheduler::fleet::Fleet;
use crate::scheduler::fleet::PoolKey;

/// Places each call on the least loaded server.
#[derive(Clone, Copy, Debug)]
pub struct LeastLoad;

impl Placer for LeastLoad {
    fn place(&mut self, fleet: &Fleet, pool: PoolKey, _request: &PlacementRequest<'_>) -> Placement {
        let open = &fleet.pools[pool].open;
        let least = open.iter().min_by_key(|key| (fleet.servers[**key].load(), **key));
        least.map_or(Placement::NoCapacity, |to| Placement::Send { to: *to, fetch: Fetch::None })
    }
}
