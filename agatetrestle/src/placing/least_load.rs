//! The least loaded open server, by this node's own calls and the last load report.

use crate::placing::Choice;
use crate::placing::Fetch;
use crate::placing::Placer;
use crate::placing::Wanted;
use crate::scheduler::fleet::Fleet;
use crate::scheduler::fleet::PoolKey;

/// Sends each call to the least loaded server.
#[derive(Clone, Copy, Debug)]
pub struct LeastLoad;

impl Placer for LeastLoad {
    fn place(&mut self, fleet: &Fleet, pool: PoolKey, _wanted: &Wanted<'_>) -> Choice {
        let open = &fleet.pools[pool].open;
        let least = open.iter().min_by_key(|key| (fleet.servers[**key].load(), **key));
        least.map_or(Choice::Full, |to| Choice::Send { to: *to, fetch: Fetch::Nothing })
    }
}
