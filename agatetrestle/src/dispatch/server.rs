//! The state of one backend server as seen by this node.

use std::time::Duration;

use slotmap::new_key_type;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::backends::Instance;
use crate::clock::Timestamp;
use crate::dispatch::RequestProfile;
use crate::dispatch::model::ServiceModel;
use crate::dispatch::model::to_f64;
use crate::dispatch::outlier::OutlierState;
use crate::dispatch::speed::SpeedEstimate;

/// Requests sent to a server beyond its slots, as a share of the slots. They take a freed slot at once, while requests
/// queued at a node wait for its next response. A server that is full rejects a request without running it.
const OVERCOMMIT_RATIO: f64 = 1.0;
/// Weight of a new report in the average of a server's reports.
const USUAL_LOAD_RATE: f64 = 0.3;
/// Age up to which reported loads count towards the mean of the service, in multiples of the load TTL. It is as long as a
/// node that sends now and then needs to receive some.
const MEAN_LOAD_TTL_FACTOR: u32 = 4;
/// Time after a response for which its connection is likely to be open; servers close idle ones after some 10 s.
const WARM_CONNECTION_TIME: Duration = Duration::from_secs(5);
/// First backoff after failures of a server; doubled with each further failure in a row.
const BASE_BACKOFF: Duration = Duration::from_millis(250);
/// Bounds the backoff to 4 s, since a crashed server stays listed only for some seconds.
const MAX_BACKOFF_DOUBLINGS: u32 = 4;
/// Bad responses in a row without a backoff. Some servers spoil 2 to 5 in 100 responses, so three in a row are chance once
/// in 8,000.
const TOLERATED_FAILURES: u32 = 2;

/// Time for which streams may still be resumed at a server that is leaving, if none of their version stays. Platforms let a
/// leaving server serve for some seconds, of which the list takes up to one to arrive.
const LEAVING_RESUME_TIME: Duration = Duration::from_secs(1);

new_key_type! {
    /// Key of a known backend server.
    pub struct ServerKey;
}

/// Load of a server, from all nodes together, as reported in its responses.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ServerLoad {
    /// Requests in service.
    pub running: u32,
    /// Requests queued in the server.
    pub waiting: u32,
    /// How long work takes on the server's machine at the moment, in percent of the usual time.
    pub percent: Option<u32>,
}

/// How a request to a server ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RequestOutcome {
    /// The response was complete after this time.
    Completed(Duration),
    /// The response was complete after this time and reports a failure of the server.
    ServerError(Duration),
    /// No response started within the expected time, so the node gave up on the server.
    Unresponsive,
    /// No connection could be made.
    Unreachable,
    /// The server rejected the request because it is full.
    Full,
    /// The response was cut off or malformed.
    BadResponse,
    /// The caller disconnected, or the node gave up for a reason that is not the server's.
    Cancelled,
}

/// A request of this node at a server.
#[derive(Clone, Copy, Debug)]
pub(super) struct Run {
    pub(super) ticket: u64,
    pub(super) assigned_at: Timestamp,
    pub(super) affinity: Option<u64>,
    pub(super) profile: RequestProfile,
    /// Whether it is an isolated request.
    pub(super) isolated: bool,
    /// Tokens in the server's memory, without those of a shared prefix.
    pub(super) held_tokens: f64,
}

/// A server and what this node knows about it.
#[derive(Debug)]
pub(super) struct Server {
    pub(super) instance: Instance,
    pub(super) listed: bool,
    /// When the list first showed that it is leaving, if this node knew it before.
    leaving_since: Option<Timestamp>,
    /// Whether its removal from the list has been reported.
    pub(super) removal_reported: bool,
    /// This node's requests in flight.
    pub(super) in_flight: u32,
    /// Requests of other nodes, as last reported.
    other_load: f64,
    load_reported_at: Timestamp,
    /// Moving average of the reported requests of other nodes.
    usual_other_load: Option<f64>,
    /// This node's requests there, in the order in which they were assigned.
    runs: Vec<Run>,
    pub(super) speed: SpeedEstimate,
    backoff_until: Timestamp,
    consecutive_failures: u32,
    outlier: OutlierState,
    /// End of the ejection, during which other servers are preferred.
    ejected_until: Timestamp,
    /// When the last complete response left a reusable connection.
    last_response_at: Option<Timestamp>,
}

impl Server {
    pub(super) fn new(instance: &Instance) -> Self {
        Self {
            instance: instance.clone(),
            listed: true,
            leaving_since: None,
            removal_reported: false,
            in_flight: 0,
            other_load: 0.0,
            load_reported_at: Timestamp(0),
            usual_other_load: None,
            runs: Vec::new(),
            speed: SpeedEstimate::default(),
            backoff_until: Timestamp(0),
            consecutive_failures: 0,
            outlier: OutlierState::default(),
            ejected_until: Timestamp(0),
            last_response_at: None,
        }
    }

    pub(super) fn update(&mut self, now: Timestamp, instance: &Instance) {
        self.listed = true;
        self.removal_reported = false;
        if self.instance.is_newer_than(instance) && instance.born.is_some() {
            // The list is stale and names an earlier instance.
            return;
        }
        if instance.leaving && !self.instance.leaving {
            self.leaving_since = Some(now);
        }
        let leaving = self.instance.leaving || instance.leaving;
        let born = self.instance.born.max(instance.born);
        self.instance = Instance { leaving, born, ..instance.clone() };
    }

    /// Time until its backoff ends; `None` if it accepts no more requests.
    pub(super) fn backoff_left(&self, now: Timestamp) -> Option<Duration> {
        (self.listed && !self.instance.leaving).then(|| self.backoff_until.since(now))
    }

    /// Whether it accepts requests now. An ejected server does.
    pub(super) fn is_available(&self, now: Timestamp) -> bool {
        self.backoff_left(now) == Some(Duration::ZERO)
    }

    /// Like [`Self::backoff_left`], for streams of its version that no other server can go on with.
    pub(super) fn backoff_left_while_leaving(&self, now: Timestamp) -> Option<Duration> {
        let is_serving = self.leaving_since.is_some_and(|since| now.since(since) < LEAVING_RESUME_TIME);
        (self.listed && is_serving).then(|| self.backoff_until.since(now))
    }

    /// Estimated requests there. Over the TTL, the reported load of other nodes is replaced gradually by the mean of the
    /// service.
    pub(super) fn load(&self, now: Timestamp, mean_other_load: f64, load_ttl: Duration) -> f64 {
        let age = now.since(self.load_reported_at).as_secs_f64() / load_ttl.as_secs_f64();
        let weight = (1.0 - age).max(0.0);
        f64::from(self.in_flight) + self.other_load * weight + mean_other_load * (1.0 - weight)
    }

    /// Whether it is known to be full, with `overcommit` beyond its slots. An expired load report is ignored: a node that
    /// relied on it would send nothing and never receive a newer one.
    pub(super) fn is_full(&self, now: Timestamp, load_ttl: Duration, overcommit: bool) -> bool {
        let slots = f64::from(self.instance.slots);
        self.known_load(now, load_ttl) >= if overcommit { slots * (1.0 + OVERCOMMIT_RATIO) } else { slots }
    }

    /// Expected queueing delay of one more request, by the known load.
    pub(super) fn known_wait(&self, now: Timestamp, load_ttl: Duration, service_time: Duration) -> Duration {
        let slots = f64::from(self.instance.slots.max(1));
        let excess = self.known_load(now, load_ttl) + 1.0 - slots;
        service_time.mul_f64((excess / slots).max(0.0))
    }

    fn known_load(&self, now: Timestamp, load_ttl: Duration) -> f64 {
        let other_load = if now.since(self.load_reported_at) < load_ttl { self.other_load } else { 0.0 };
        f64::from(self.in_flight) + other_load
    }

    /// Requests of other nodes there, if reported recently enough to count towards the mean of the service.
    pub(super) fn recent_other_load(&self, now: Timestamp, load_ttl: Duration) -> Option<f64> {
        let recent = now.since(self.load_reported_at) < load_ttl * MEAN_LOAD_TTL_FACTOR;
        (self.load_reported_at > Timestamp(0) && recent).then_some(self.other_load)
    }

    pub(super) fn record_load(&mut self, now: Timestamp, load: ServerLoad) {
        let total = f64::from(load.running.saturating_add(load.waiting));
        self.other_load = (total - f64::from(self.in_flight)).max(0.0);
        self.load_reported_at = now;
        let usual = self.usual_other_load.unwrap_or(self.other_load);
        self.usual_other_load = Some(usual + (self.other_load - usual) * USUAL_LOAD_RATE);
    }

    /// Counts a request as in flight here.
    pub(super) fn start_run(&mut self, run: Run) {
        self.in_flight += 1;
        self.runs.push(run);
    }

    /// Removes the request with a ticket, or the oldest one. The caller reports its end by [`Server::finish`].
    pub(super) fn end_run(&mut self, ticket: Option<u64>) -> Option<Run> {
        let index = ticket.and_then(|ticket| self.runs.iter().position(|run| run.ticket == ticket));
        (!self.runs.is_empty()).then(|| self.runs.remove(index.unwrap_or(0)))
    }

    /// This node's isolated requests in flight here.
    pub(super) fn isolated_runs(&self) -> usize {
        self.runs.iter().filter(|run| run.isolated).count()
    }

    /// Takes back the request that was assigned last.
    pub(super) fn take_last_run(&mut self) -> Option<Run> {
        let run = self.runs.pop();
        self.in_flight -= u32::from(run.is_some());
        run
    }

    /// Factor by which it is slower than usual ones at least, since its oldest request is still in flight.
    pub(super) fn overdue(&self, now: Timestamp, model: &ServiceModel, service_time: Duration) -> f64 {
        let age = |run: &Run| model.overdue(now.since(run.assigned_at), &run.profile, service_time);
        self.runs.first().map_or(1.0, age)
    }

    /// Tokens that this node's requests hold in the server's memory, with the prefix of one more request. Requests with the
    /// same prefix share it.
    pub(super) fn held_tokens(&self, prefix: Option<(u64, u64)>) -> f64 {
        let own: f64 = self.runs.iter().map(|run| run.held_tokens).sum();
        let mut prefixes: Vec<(u64, u64)> =
            self.runs.iter().filter_map(|run| run.profile.shared_prefix).chain(prefix).collect();
        prefixes.sort_unstable();
        prefixes.dedup_by_key(|(hash, _)| *hash);
        own + prefixes.iter().map(|(_, tokens)| to_f64(*tokens)).sum::<f64>()
    }

    /// Expected requests there and the variance of that number. Over the TTL a report loses its weight to an average of
    /// the server's reports and of the service's.
    pub(super) fn expected_load(
        &self,
        now: Timestamp,
        mean_other_load: f64,
        load_ttl: Duration,
        own_weight: f64,
    ) -> (f64, f64) {
        let age = now.since(self.load_reported_at).as_secs_f64() / load_ttl.as_secs_f64();
        let weight = (1.0 - age).max(0.0);
        let usual = self.usual_other_load.unwrap_or(mean_other_load);
        let expected = usual * own_weight + mean_other_load * (1.0 - own_weight);
        let load = f64::from(self.in_flight) + self.other_load * weight + expected * (1.0 - weight);
        (load, expected * (1.0 - weight))
    }

    pub(super) fn finish(&mut self, now: Timestamp, outcome: RequestOutcome) {
        self.in_flight = self.in_flight.saturating_sub(1);
        match outcome {
            RequestOutcome::Completed(_) | RequestOutcome::ServerError(_) => {
                self.consecutive_failures = 0;
                self.last_response_at = Some(now);
            }
            RequestOutcome::Cancelled | RequestOutcome::Unresponsive => {}
            RequestOutcome::Full => self.backoff_until = now + BASE_BACKOFF / 4,
            RequestOutcome::Unreachable => self.back_off(now, 0),
            RequestOutcome::BadResponse => self.back_off(now, TOLERATED_FAILURES),
        }
    }

    /// Records an outcome for outlier detection. Returns whether the request failed if the outcome counts towards the
    /// failure rate of the service.
    pub(super) fn record_outcome(
        &mut self,
        now: Timestamp,
        outcome: RequestOutcome,
        expected_rate: f64,
    ) -> Option<bool> {
        if self.is_ejected(now) {
            // Most likely sent before the ejection, so it is no new evidence.
            return None;
        }
        let failed = match outcome {
            RequestOutcome::Completed(_) => false,
            RequestOutcome::ServerError(_) | RequestOutcome::BadResponse | RequestOutcome::Unresponsive => {
                true
            }
            RequestOutcome::Cancelled | RequestOutcome::Full | RequestOutcome::Unreachable => return None,
        };
        self.outlier.record(failed, expected_rate);
        self.outlier.is_healthy().then_some(failed)
    }

    /// Whether the evidence suffices to eject the server.
    pub(super) fn should_eject(&self) -> bool {
        self.outlier.should_eject()
    }

    /// Ejects the server if the evidence suffices, and returns until when. Requests that no other server accepts are
    /// still sent to it.
    pub(super) fn eject_outlier(&mut self, now: Timestamp) -> Option<Timestamp> {
        let until = now + self.outlier.eject()?;
        self.ejected_until = until;
        Some(until)
    }

    pub(super) fn is_ejected(&self, now: Timestamp) -> bool {
        now < self.ejected_until
    }

    /// Whether its state differs from that of a server which this node has not used lately.
    pub(super) fn is_in_use(&self, now: Timestamp, load_ttl: Duration) -> bool {
        self.in_flight > 0 || self.has_warm_connection(now) || self.recent_other_load(now, load_ttl).is_some()
    }

    /// Whether a connection to it is likely to be open.
    pub(super) fn has_warm_connection(&self, now: Timestamp) -> bool {
        self.last_response_at.is_some_and(|at| now.since(at) < WARM_CONNECTION_TIME)
    }

    fn back_off(&mut self, now: Timestamp, tolerated: u32) {
        self.consecutive_failures += 1;
        if self.consecutive_failures > tolerated {
            let doublings = (self.consecutive_failures - tolerated - 1).min(MAX_BACKOFF_DOUBLINGS);
            self.backoff_until = now + BASE_BACKOFF * 2_u32.pow(doublings);
        }
    }
}

/// Rendezvous hash: the server with the highest score for a seed is the same on every node, so requests that share a
/// prompt reach the same server.
pub(super) fn rendezvous_score(seed: u64, id: &str) -> u64 {
    xxh3_64_with_seed(id.as_bytes(), seed)
}
