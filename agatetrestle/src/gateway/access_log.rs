//! Access log: one line for each request with its outcome and timings; docs/OPERATIONS.md explains the fields.

use std::fmt;
use std::sync::Arc;
use std::time::Duration;

use http::StatusCode;
use log::info;

use crate::gateway::Gateway;
use crate::ports::Labels;
use crate::ports::Measurement;
use crate::transport::body_end::BodyEnd;

/// Logged as the status if the caller received no response.
pub(super) const NO_STATUS: u16 = 0;
/// Outcome logged if the caller disconnected before the end of the response.
pub(super) const CALLER_DISCONNECTED: &str = "the caller left";

/// The fields and timings of a request that are logged when it ends.
#[derive(Clone, Debug, Default)]
pub(super) struct AccessLogEntry {
    pub(super) attempt_id: Arc<str>,
    /// Version of the route table that the request was matched against.
    pub(super) version: u64,
    pub(super) route: Arc<str>,
    pub(super) service: Arc<str>,
    /// Name of the caller's team; empty if no team is declared or the key is unknown.
    pub(super) team: Arc<str>,
    pub(super) server: Arc<str>,
    /// Version of the server's software.
    pub(super) software: Arc<str>,
    /// The attempt that brought the first event of the resumed stream; empty for other requests.
    pub(super) resumes: Arc<str>,
    /// The software version at which the resumed stream has to go on; empty for other requests.
    pub(super) origin: Arc<str>,
    /// Attempts to send the request to a backend server.
    pub(super) tries: u32,
    /// How the body of the server's response ended; `None` if there was none or the caller left before.
    pub(super) body_end: Option<BodyEnd>,
    /// Bytes of a stream after its last whole event.
    pub(super) rest_bytes: usize,
    /// Whether the request was refused since servers ended under it.
    pub(super) is_suspect: bool,
    /// Time to reserve the turn, after which the request is sent.
    pub(super) reserve_time: Duration,
    /// Time to commit the reservation; longer than `reserve_time` after an early answer.
    pub(super) commit_time: Duration,
    /// Time in the dispatch queue.
    pub(super) queue_time: Duration,
    /// Time from arrival to the response head.
    pub(super) head_time: Duration,
    /// Time to commit the end of the turn.
    pub(super) finish_time: Duration,
}

impl AccessLogEntry {
    /// Writes the log line and records the metrics of a finished request.
    pub(super) fn finish(
        &self,
        gateway: &Gateway,
        status: u16,
        outcome: impl fmt::Display,
        total_time: Duration,
    ) {
        let Self { attempt_id, version, route, service, team, server, software, resumes, origin, .. } = self;
        let end = self.body_end.map_or("", BodyEnd::name);
        let (tries, rest_bytes) = (self.tries, self.rest_bytes);
        self.record_metrics(gateway, status);
        info!(
            "request={attempt_id} version={version} route={route} service={service} team={team} \
             server={server} software={software} resumes={resumes} origin={origin} tries={tries} status={status} end={end} \
             rest_bytes={rest_bytes} outcome=\"{outcome}\" wait_us={} begin_us={} commit_us={} head_us={} finish_us={} total_us={}",
            self.queue_time.as_micros(),
            self.reserve_time.as_micros(),
            self.commit_time.as_micros(),
            self.head_time.as_micros(),
            self.finish_time.as_micros(),
            total_time.as_micros(),
        );
    }

    /// Records a measurement. Shares its series with the entry for calls: the service is recorded as the partner and the
    /// route as the class.
    pub(super) fn record(&self, gateway: &Gateway, measurement: &Measurement) {
        let labels = Labels { partner: self.service.clone(), class: self.route.clone() };
        gateway.recorder.record(&labels, measurement);
    }

    fn record_metrics(&self, gateway: &Gateway, status: u16) {
        let record = |measurement| self.record(gateway, &measurement);
        record(Measurement::QueueWait(self.queue_time));
        if !self.commit_time.is_zero() {
            record(Measurement::Commit(self.commit_time));
        }
        if !self.head_time.is_zero() {
            record(Measurement::FirstToken(self.head_time));
        }
        for _ in 1..self.tries {
            record(Measurement::Retried("failed"));
        }
        match StatusCode::from_u16(status) {
            Ok(StatusCode::SERVICE_UNAVAILABLE) if self.is_suspect => record(Measurement::Refused("suspect")),
            Ok(StatusCode::SERVICE_UNAVAILABLE) => record(Measurement::Refused("overload")),
            Ok(StatusCode::TOO_MANY_REQUESTS) => record(Measurement::Refused("allowance")),
            Ok(StatusCode::UNAUTHORIZED) => record(Measurement::Refused("key")),
            Ok(StatusCode::PAYMENT_REQUIRED) => record(Measurement::Refused("budget")),
            Ok(StatusCode::BAD_GATEWAY | StatusCode::GATEWAY_TIMEOUT) => record(Measurement::UnknownOutcome),
            _ => {}
        }
    }
}
