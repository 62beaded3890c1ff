//! Ejection and readmission of backend servers with too many failures.

use std::time::Duration;

use crate::clock::Timestamp;
use crate::health::OutlierDetector;
use crate::health::max_ejected;
use crate::health::sequential::SequentialTest;
use crate::scheduler::core::CallEntry;
use crate::scheduler::core::Core;
use crate::scheduler::event::BackendKey;
use crate::scheduler::event::Work;

const ODDS_RATIO: f64 = 4.0;
/// Probability of ejecting a healthy server. An ejection is short, and a second without one server of ten or more costs
/// little, so false ones are cheap.
const FALSE_EJECTION_PROBABILITY: f64 = 0.001;
const BASE_EJECTION_TIME: Duration = Duration::from_secs(20);
/// Bounds an ejection to 8 s, about as long as such a disturbance lasts.
const MAX_EJECTION_DOUBLINGS: u32 = 4;

impl Core {
    /// Records the outcome of an attempt. Ejects the server if it fails more often than is usual for such calls.
    pub(super) fn record_outcome(
        &mut self,
        now: Timestamp,
        entry: &CallEntry,
        key: BackendKey,
        failed: bool,
    ) {
        if !self.components.health {
            return;
        }
        let tokens = match &entry.call.work {
            Work::Model { prompt_tokens, .. } => u64::from(*prompt_tokens) + entry.expected_output,
            Work::Service { .. } => 0,
        };
        let failure_rate = self.failure_rates.rate(tokens);
        let Some(server) = self.fleet.servers.get_mut(key) else {
            return;
        };
        let members = self.fleet.pools[server.pool].members.len();
        let members = f64::from(u32::try_from(members).unwrap_or(u32::MAX)).max(1.0);
        let new_detector = || -> Box<dyn OutlierDetector> {
            Box::new(SequentialTest::new(ODDS_RATIO, FALSE_EJECTION_PROBABILITY / members))
        };
        let detector = server.outlier_detector.get_or_insert_with(new_detector);
        detector.record(failed, failure_rate);
        let (should_eject, is_healthy) = (detector.should_eject(), detector.is_healthy());
        if is_healthy {
            self.failure_rates.record(tokens, failed);
            server.ejections = 0;
        }
        if should_eject {
            self.eject(now, key);
        }
    }

    /// Readmits servers, on probation, whose ejection time has elapsed.
    pub(super) fn readmit(&mut self, now: Timestamp) {
        while let Some((until, key)) = self.ejected.first().copied().filter(|(until, _)| *until <= now) {
            self.ejected.remove(&(until, key));
            if let Some(server) = self.fleet.servers.get_mut(key) {
                server.ejected = false;
                if let Some(detector) = server.outlier_detector.as_mut() {
                    detector.start_probation();
                }
            }
            self.fleet.update_open(key);
        }
    }

    /// Ejects a server unless too many servers of its pool are ejected.
    fn eject(&mut self, now: Timestamp, key: BackendKey) {
        let pool = self.fleet.servers[key].pool;
        let members = &self.fleet.pools[pool].members;
        let ejected = members.iter().filter(|key| self.fleet.servers[**key].ejected).count();
        let server = &self.fleet.servers[key];
        if server.ejected || ejected >= max_ejected(members.len()) {
            return;
        }
        let doublings = server.ejections.min(MAX_EJECTION_DOUBLINGS);
        let until = now + BASE_EJECTION_TIME * 2u32.pow(doublings);
        let server = &mut self.fleet.servers[key];
        server.ejected = true;
        server.ejections += 1;
        self.ejected.insert((until, key));
        self.fleet.update_open(key);
    }
}
