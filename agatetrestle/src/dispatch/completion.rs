//! What responses and their ends tell about a server.

use std::sync::Arc;
use std::time::Duration;

use agatetrestle_config::deployment::Decisions;

use crate::clock::Timestamp;
use crate::dispatch::Decision;
use crate::dispatch::Dispatch;
use crate::dispatch::INITIAL_SERVICE_TIME;
use crate::dispatch::RequestOutcome;
use crate::dispatch::RunProgress;
use crate::dispatch::ServerKey;
use crate::dispatch::ServerLoad;
use crate::dispatch::mark_in_use;
use crate::dispatch::server::Run;
use crate::health::max_ejected;

/// A completed request contributes this fraction of its time to the moving average: 16 requests are a fraction of a second
/// under load.
const SERVICE_TIME_DIVISOR: u32 = 16;
/// Size for which failure rates are kept; they don't depend on the size of a request here.
const UNIFORM_SIZE_TOKENS: u64 = 1;

impl Dispatch {
    /// Records the load that a response header reports for a server.
    pub fn record_load(&mut self, now: Timestamp, key: ServerKey, load: ServerLoad) {
        let Some(server) = self.servers.get_mut(key) else {
            return;
        };
        server.record_load(now, load);
        if let Some(percent) = load.percent {
            server.speed.record_contention(now, percent);
            self.models.entry(server.instance.service.clone()).or_default().record_contention(now, percent);
        }
        mark_in_use(&mut self.pools, key, server);
    }

    /// Records that the response to a request has started.
    pub fn record_response_start(&mut self, now: Timestamp, service: &Arc<str>, sent_at: Timestamp) {
        if let Some(queue) = self.queues.get_mut(service) {
            queue.response_starts.record(sent_at, now);
        }
    }

    /// Whether the response to a request is so late, compared with others of its service, that the server counts as
    /// unresponsive. Never true before `min_age`.
    #[must_use]
    pub fn is_unresponsive(
        &self,
        now: Timestamp,
        service: &Arc<str>,
        sent_at: Timestamp,
        min_age: Duration,
    ) -> bool {
        self.policy != Decisions::Patient
            && self
                .queues
                .get(service)
                .is_some_and(|queue| queue.response_starts.is_overdue(sent_at, now, min_age))
    }

    /// Records how a request ended, and dispatches queued requests to the freed slot. The request is the oldest one there;
    /// use [`Dispatch::finish_request`] if it is known.
    pub fn finish(&mut self, now: Timestamp, key: ServerKey, outcome: RequestOutcome) -> Vec<Decision> {
        let run = self.servers.get_mut(key).and_then(|server| server.end_run(None));
        self.end_request(now, key, outcome, run, RunProgress::default())
    }

    /// Like [`Dispatch::finish`] for the request with a ticket, of which `progress` was observed.
    pub fn finish_request(
        &mut self,
        now: Timestamp,
        key: ServerKey,
        ticket: u64,
        outcome: RequestOutcome,
        progress: RunProgress,
    ) -> Vec<Decision> {
        let run = self.servers.get_mut(key).and_then(|server| server.end_run(Some(ticket)));
        self.end_request(now, key, outcome, run, progress)
    }

    fn end_request(
        &mut self,
        now: Timestamp,
        key: ServerKey,
        outcome: RequestOutcome,
        run: Option<Run>,
        progress: RunProgress,
    ) -> Vec<Decision> {
        let Some(server) = self.servers.get_mut(key) else {
            return Vec::new();
        };
        let service = server.instance.service.clone();
        self.isolated_runs -= usize::from(run.is_some_and(|run| run.isolated));
        server.finish(now, outcome);
        let queue = self.queues.entry(service.clone()).or_default();
        if let RequestOutcome::Completed(elapsed) = outcome {
            queue.service_time =
                (queue.service_time * (SERVICE_TIME_DIVISOR - 1) + elapsed) / SERVICE_TIME_DIVISOR;
        }
        if let Some(failed) =
            server.record_outcome(now, outcome, queue.failure_rates.rate(UNIFORM_SIZE_TOKENS))
        {
            queue.failure_rates.record(UNIFORM_SIZE_TOKENS, failed);
        }
        let failure_rate = queue.failure_rates.rate(UNIFORM_SIZE_TOKENS);
        if let (RequestOutcome::Completed(elapsed), Some(run)) = (outcome, run) {
            self.record_run(now, key, elapsed, run, progress);
        }
        let ejected =
            self.eject_outlier(now, key).map(|until| Decision::Eject { server: key, until, failure_rate });
        let mut decisions: Vec<Decision> = ejected.into_iter().collect();
        decisions.extend(self.dispatch_queue(now, &service, None));
        decisions
    }

    /// Learns from a completed request how fast its server is.
    fn record_run(
        &mut self,
        now: Timestamp,
        key: ServerKey,
        elapsed: Duration,
        run: Run,
        progress: RunProgress,
    ) {
        let server = &mut self.servers[key];
        let service = server.instance.service.clone();
        let model = self.models.entry(service.clone()).or_default();
        model.record(now, &mut server.speed, &run.profile, elapsed, progress);
        if model.is_comparison_due(now)
            && let Some(pool) = self.pools.get(&service)
        {
            let service_time =
                self.queues.get(&service).map_or(INITIAL_SERVICE_TIME, |queue| queue.service_time);
            let overdue = pool.in_use().map(|key| self.servers[key].overdue(now, model, service_time));
            let overdue: Vec<f64> = overdue.collect();
            model.compare(now, pool.in_use().map(|key| &self.servers[key].speed).zip(overdue));
        }
    }

    /// Ejects a server if the evidence suffices and not too many servers of its service are ejected already.
    fn eject_outlier(&mut self, now: Timestamp, key: ServerKey) -> Option<Timestamp> {
        let service = self.servers.get(key).filter(|server| server.should_eject())?.instance.service.clone();
        let listed = || self.servers_of(&service).filter(|(_, server)| server.listed);
        let ejected = listed().filter(|(_, server)| server.is_ejected(now)).count();
        if ejected >= max_ejected(listed().count()) {
            return None;
        }
        self.servers.get_mut(key)?.eject_outlier(now)
    }
}
