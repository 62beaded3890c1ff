//! What the leader tells operators about the placement of turns.

use std::collections::BTreeMap;
use std::fmt;
use std::sync::Arc;
use std::time::Duration;

use crate::clock::Timestamp;
use crate::turns::placement::Placement;

/// Time between two reports.
const REPORT_INTERVAL: Duration = Duration::from_secs(5);
/// Servers of a service that a report names.
const MAX_NAMED_SERVERS: usize = 3;

/// State of one service: what the turns of this group take there, and its slowest servers.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ServiceReport {
    /// The service.
    pub service: Arc<str>,
    /// Servers that this group used within the last minute.
    pub servers: usize,
    /// Turns of this group that are open at them.
    pub in_flight: u32,
    /// Turns placed since the last report.
    pub placed: u32,
    /// How many of them were moved from the entry's own choice.
    pub moved: u32,
    /// The slowest servers with the time that a turn takes there, relative to a server of average speed.
    pub slowest: Vec<(Arc<str>, f64)>,
}

impl fmt::Display for ServiceReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { service, servers, in_flight, placed, moved, slowest } = self;
        write!(
            f,
            "placement service={service} in_flight={in_flight} servers={servers} placed={placed} moved={moved} slowest="
        )?;
        for (index, (server, speed)) in slowest.iter().enumerate() {
            let separator = if index == 0 { "" } else { "," };
            write!(f, "{separator}{server}:{speed:.2}")?;
        }
        Ok(())
    }
}

impl Placement {
    /// Reports on each service in use, in the order of their names, once every few seconds; empty in between.
    pub fn take_report(&mut self, now: Timestamp) -> Vec<ServiceReport> {
        if now.since(self.reported_at) < REPORT_INTERVAL {
            return Vec::new();
        }
        self.reported_at = now;
        self.expire(now);
        self.forget_idle(now);
        let mut reports: BTreeMap<Arc<str>, ServiceReport> = BTreeMap::new();
        for (id, server) in &self.servers {
            let service = server.service.clone();
            let report = reports
                .entry(service.clone())
                .or_insert_with(|| ServiceReport { service, ..ServiceReport::default() });
            report.servers += 1;
            report.slowest.push((id.clone(), server.speed(now, None)));
        }
        for (name, report) in &mut reports {
            report.slowest.sort_by(|a, b| b.1.total_cmp(&a.1).then_with(|| a.0.cmp(&b.0)));
            report.slowest.truncate(MAX_NAMED_SERVERS);
            if let Some(service) = self.services.get_mut(name) {
                report.in_flight = service.in_flight;
                (report.placed, report.moved) = (service.placed, service.moved);
                (service.placed, service.moved) = (0, 0);
            }
        }
        reports.into_values().collect()
    }
}
