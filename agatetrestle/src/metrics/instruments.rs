//! The instruments with their names, units and histogram buckets.
//!
//! Buckets are densest around the targets: 0.79 s to the first token, 48 ms between tokens, 1 ms of added time.

use std::time::Duration;

use opentelemetry::KeyValue;
use opentelemetry::metrics::Counter;
use opentelemetry::metrics::Gauge;
use opentelemetry::metrics::Histogram;
use opentelemetry::metrics::Meter;

use crate::metrics::series::Series;
use crate::ports::Control;
use crate::ports::Freshness;
use crate::ports::Measurement;

const PROGRAM_BUCKETS_SECONDS: &[f64] =
    &[0.25, 0.5, 1.0, 2.0, 5.0, 10.0, 20.0, 30.0, 60.0, 120.0, 300.0, 600.0, 1200.0, 3600.0];
const FIRST_TOKEN_BUCKETS_SECONDS: &[f64] =
    &[0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.4, 0.5, 0.6, 0.7, 0.79, 0.9, 1.0, 1.5, 2.0, 5.0, 10.0, 30.0];
const TOKEN_GAP_BUCKETS_SECONDS: &[f64] =
    &[0.002, 0.005, 0.01, 0.015, 0.02, 0.03, 0.04, 0.048, 0.06, 0.08, 0.1, 0.2, 0.5, 1.0, 5.0];
const QUEUE_WAIT_BUCKETS_SECONDS: &[f64] =
    &[0.0005, 0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0, 10.0, 30.0, 60.0];
const ADDED_TIME_BUCKETS_SECONDS: &[f64] =
    &[0.00005, 0.0001, 0.0002, 0.0003, 0.0005, 0.0007, 0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.5, 1.0];
const COMMIT_BUCKETS_SECONDS: &[f64] = &[
    0.0002, 0.0005, 0.001, 0.002, 0.003, 0.005, 0.008, 0.012, 0.02, 0.03, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0,
];

pub(super) struct Instruments {
    program_latency: Histogram<f64>,
    first_token: Histogram<f64>,
    between_tokens: Histogram<f64>,
    queue_wait: Histogram<f64>,
    added_time: Histogram<f64>,
    commit: Histogram<f64>,
    refused: Counter<u64>,
    retried: Counter<u64>,
    broken_responses: Counter<u64>,
    lost_servers: Counter<u64>,
    unknown_outcomes: Counter<u64>,
    tokens: Counter<u64>,
    cache_held: Gauge<u64>,
    cache_wasted: Gauge<u64>,
    revision: Gauge<u64>,
    taking_work: Gauge<u64>,
    malformed_entries: Counter<u64>,
    missing_voters: Gauge<u64>,
    control_reports: Histogram<f64>,
    confirmed_age: Gauge<f64>,
}

impl Instruments {
    pub(super) fn new(meter: &Meter) -> Self {
        let histogram = |name, help, buckets: &[f64]| {
            let builder = meter.f64_histogram(name).with_unit("s").with_description(help);
            builder.with_boundaries(buckets.to_vec()).build()
        };
        let counter = |name, help| meter.u64_counter(name).with_description(help).build();
        let gauge = |name, help| meter.u64_gauge(name).with_description(help).build();
        Self {
            program_latency: histogram(
                "agatetrestle_program_latency",
                "First call to final answer of a program.",
                PROGRAM_BUCKETS_SECONDS,
            ),
            first_token: histogram(
                "agatetrestle_first_token",
                "Arrival of a call to its first token or byte.",
                FIRST_TOKEN_BUCKETS_SECONDS,
            ),
            between_tokens: histogram(
                "agatetrestle_between_tokens",
                "Time between two tokens of an answer.",
                TOKEN_GAP_BUCKETS_SECONDS,
            ),
            queue_wait: histogram(
                "agatetrestle_queue_wait",
                "Arrival of a call to its dispatch.",
                QUEUE_WAIT_BUCKETS_SECONDS,
            ),
            added_time: histogram(
                "agatetrestle_added_time",
                "Time of a call in this process beyond waiting for the backend server.",
                ADDED_TIME_BUCKETS_SECONDS,
            ),
            commit: histogram(
                "agatetrestle_commit",
                "One commit through a state group.",
                COMMIT_BUCKETS_SECONDS,
            ),
            refused: counter("agatetrestle_refused", "Calls refused before they ran, by reason."),
            retried: counter("agatetrestle_retried", "Further attempts at a call, by what failed before."),
            broken_responses: counter(
                "agatetrestle_broken_responses",
                "Responses that servers broke off, by how they ended.",
            ),
            lost_servers: counter(
                "agatetrestle_lost_servers",
                "Attempts without success whose server may have ended under them, by their sign.",
            ),
            unknown_outcomes: counter(
                "agatetrestle_unknown",
                "Calls of which nobody can tell whether they ran.",
            ),
            tokens: counter("agatetrestle_tokens", "Tokens generated."),
            cache_held: gauge("agatetrestle_cache_held_tokens", "Prefix cache that live programs hold."),
            revision: gauge("agatetrestle_configuration_revision", "Configuration revision in force here."),
            taking_work: gauge("agatetrestle_taking_work", "1 if this node takes new work, else 0."),
            malformed_entries: counter(
                "agatetrestle_unreadable_entries",
                "Entries of the platform's list that name no server, since they can't be read.",
            ),
            missing_voters: gauge(
                "agatetrestle_missing_voters",
                "Voters that all state groups together lack for the tolerance of the settings.",
            ),
            control_reports: histogram(
                "agatetrestle_control_report",
                "One report to a control replica, by what became of it.",
                COMMIT_BUCKETS_SECONDS,
            ),
            confirmed_age: meter
                .f64_gauge("agatetrestle_control_confirmed_age")
                .with_unit("s")
                .with_description("Time since the leader of control last confirmed what is in force here.")
                .build(),
            cache_wasted: gauge(
                "agatetrestle_cache_wasted_tokens",
                "Prefix tokens computed again or left unread by ended programs, since the start.",
            ),
        }
    }

    pub(super) fn record(&self, series: &mut Series, measurement: &Measurement) {
        match measurement {
            Measurement::ProgramLatency(duration) => {
                record_duration(&self.program_latency, series, *duration);
            }
            Measurement::FirstToken(duration) => record_duration(&self.first_token, series, *duration),
            Measurement::BetweenTokens(duration) => record_duration(&self.between_tokens, series, *duration),
            Measurement::QueueWait(duration) => record_duration(&self.queue_wait, series, *duration),
            Measurement::AddedTime(duration) => record_duration(&self.added_time, series, *duration),
            Measurement::Commit(duration) => record_duration(&self.commit, series, *duration),
            Measurement::Refused(reason) => self.refused.add(1, series.with_reason(reason)),
            Measurement::Retried(reason) => self.retried.add(1, series.with_reason(reason)),
            Measurement::BrokenResponse(reason) => {
                self.broken_responses.add(1, series.with_reason(reason));
            }
            Measurement::LostServer(sign) => self.lost_servers.add(1, series.with_reason(sign)),
            Measurement::UnknownOutcome => self.unknown_outcomes.add(1, &series.attributes),
            Measurement::Tokens(count) => self.tokens.add(*count, &series.attributes),
        }
    }

    pub(super) fn record_control(&self, control: &dyn Control) {
        self.revision.record(control.configuration().revision, &[]);
        self.taking_work.record(u64::from(control.taking_work().is_ok()), &[]);
    }

    pub(super) fn record_freshness(&self, freshness: &dyn Freshness) {
        self.revision.record(freshness.revision(), &[]);
        if let Some(age) = freshness.age() {
            self.confirmed_age.record(age.as_secs_f64(), &[]);
        }
    }

    pub(super) fn record_report(&self, outcome: &'static str, duration: Duration) {
        self.control_reports.record(duration.as_secs_f64(), &[KeyValue::new("outcome", outcome)]);
    }

    pub(super) fn record_malformed(&self, entries: u64) {
        self.malformed_entries.add(entries, &[]);
    }

    pub(super) fn record_missing_voters(&self, missing: u64) {
        self.missing_voters.record(missing, &[]);
    }

    pub(super) fn record_cache(&self, held: u64, wasted: u64) {
        self.cache_held.record(held, &[]);
        self.cache_wasted.record(wasted, &[]);
    }
}

fn record_duration(histogram: &Histogram<f64>, series: &Series, duration: Duration) {
    histogram.record(duration.as_secs_f64(), &series.attributes);
}
