//! Sticky sessions: a program stays with the server that was least loaded when it began.

use crate::placing::Choice;
use crate::placing::Fetch;
use crate::placing::Placer;
use crate::placing::Wanted;
use crate::placing::least_load::LeastLoad;
use crate::scheduler::fleet::Fleet;
use crate::scheduler::fleet::PoolKey;

/// Keeps a program and its sub-agents on one server as long as that takes calls at all.
#[derive(Clone, Copy, Debug)]
pub struct Sticky;

impl Placer for Sticky {
    fn place(&mut self, fleet: &Fleet, pool: PoolKey, wanted: &Wanted<'_>) -> Choice {
        let usable = |key: &_| fleet.servers.get(*key).is_some_and(|s| s.usable() && s.pool == pool);
        let Some(home) = wanted.home.or(wanted.near).filter(usable) else {
            return LeastLoad.place(fleet, pool, wanted);
        };
        let server = &fleet.servers[home];
        if server.running < server.limit {
            Choice::Send { to: home, fetch: Fetch::Nothing }
        } else {
            Choice::Hold(home)
        }
    }
}
