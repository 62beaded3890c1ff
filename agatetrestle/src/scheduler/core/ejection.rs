//! Ejection of backend servers that fail more than they should, and their return.

use std::time::Duration;

use crate::clock::Timestamp;
use crate::health::OutlierDetector;
use crate::health::max_ejected;
use crate::health::sequential::SequentialTest;
use crate::scheduler::core::Core;
use crate::scheduler::core::Entry;
use crate::scheduler::event::BackendKey;
use crate::scheduler::event::Work;

const ODDS_RATIO: f64 = 4.0;
const FALSE_ALARM: f64 = 0.001;
const FIRST_EJECTION: Duration = Duration::from_secs(20);
const MOST_DOUBLINGS: u32 = 4;

impl Core {
    /// Takes in the outcome of an attempt that was sent, and ejects the server if that was too much.
    pub(super) fn judge(&mut self, now: Timestamp, entry: &Entry, key: BackendKey, failed: bool) {
        if !self.parts.health {
            return;
        }
        let tokens = match &entry.call.work {
            Work::Model { prompt_tokens, .. } => u64::from(*prompt_tokens) + entry.expected_output,
            Work::Service { .. } => 0,
        };
        let risk = self.risk.rate(tokens);
        let Some(server) = self.fleet.servers.get_mut(key) else {
            return;
        };
        let watched = self.fleet.pools[server.pool].members.len();
        let watched = f64::from(u32::try_from(watched).unwrap_or(u32::MAX)).max(1.0);
        let fresh = || -> Box<dyn OutlierDetector> {
            Box::new(SequentialTest::new(ODDS_RATIO, FALSE_ALARM / watched))
        };
        let watch = server.watch.get_or_insert_with(fresh);
        watch.record(failed, risk);
        let (alarm, calm) = (watch.should_eject(), watch.is_healthy());
        if calm {
            self.risk.record(tokens, failed);
            server.ejections = 0;
        }
        if alarm {
            self.eject(now, key);
        }
    }

    /// Lets ejected servers back whose time is over, on probation.
    pub(super) fn readmit(&mut self, now: Timestamp) {
        while let Some((until, key)) = self.ejected.first().copied().filter(|(until, _)| *until <= now) {
            self.ejected.remove(&(until, key));
            if let Some(server) = self.fleet.servers.get_mut(key) {
                server.ejected = false;
                if let Some(watch) = server.watch.as_mut() {
                    watch.start_probation();
                }
            }
            self.fleet.refresh(key);
        }
    }

    /// Ejects a server unless too many of its pool are out already.
    fn eject(&mut self, now: Timestamp, key: BackendKey) {
        let pool = self.fleet.servers[key].pool;
        let members = &self.fleet.pools[pool].members;
        let out = members.iter().filter(|key| self.fleet.servers[**key].ejected).count();
        let server = &self.fleet.servers[key];
        if server.ejected || out >= max_ejected(members.len()) {
            return;
        }
        let doublings = server.ejections.min(MOST_DOUBLINGS);
        let until = now + FIRST_EJECTION * 2u32.pow(doublings);
        let server = &mut self.fleet.servers[key];
        server.ejected = true;
        server.ejections += 1;
        self.ejected.insert((until, key));
        self.fleet.refresh(key);
    }
}
