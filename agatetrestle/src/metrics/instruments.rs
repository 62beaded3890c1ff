//! The instruments with their names, units and bounds.
//!
//! Bounds lie densest around the targets: 0.79 s to the first token, 48 ms between tokens, 1 ms added.

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

const PROGRAM_SECONDS: &[f64] =
    &[0.25, 0.5, 1.0, 2.0, 5.0, 10.0, 20.0, 30.0, 60.0, 120.0, 300.0, 600.0, 1200.0, 3600.0];
const FIRST_TOKEN_SECONDS: &[f64] =
    &[0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.4, 0.5, 0.6, 0.7, 0.79, 0.9, 1.0, 1.5, 2.0, 5.0, 10.0, 30.0];
const TOKEN_GAP_SECONDS: &[f64] =
    &[0.002, 0.005, 0.01, 0.015, 0.02, 0.03, 0.04, 0.048, 0.06, 0.08, 0.1, 0.2, 0.5, 1.0, 5.0];
const WAIT_SECONDS: &[f64] =
    &[0.0005, 0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0, 10.0, 30.0, 60.0];
const ADDED_SECONDS: &[f64] =
    &[0.00005, 0.0001, 0.0002, 0.0003, 0.0005, 0.0007, 0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.5, 1.0];
const COMMIT_SECONDS: &[f64] = &[
    0.0002, 0.0005, 0.001, 0.002, 0.003, 0.005, 0.008, 0.012, 0.02, 0.03, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0,
];

/// One instrument a measure.
pub(super) struct Instruments {
    program_latency: Histogram<f64>,
    first_token: Histogram<f64>,
    between_tokens: Histogram<f64>,
    queue_wait: Histogram<f64>,
    added_time: Histogram<f64>,
    commit: Histogram<f64>,
    refused: Counter<u64>,
    retried: Counter<u64>,
    unknown: Counter<u64>,
    tokens: Counter<u64>,
    cache_held: Gauge<u64>,
    cache_wasted: Gauge<u64>,
    revision: Gauge<u64>,
    taking_work: Gauge<u64>,
    unreadable: Counter<u64>,
    reports: Histogram<f64>,
    confirmed_age: Gauge<f64>,
}

impl Instruments {
    pub(super) fn new(meter: &Meter) -> Self {
        let seconds = |name, help, bounds: &[f64]| {
            let builder = meter.f64_histogram(name).with_unit("s").with_description(help);
            builder.with_boundaries(bounds.to_vec()).build()
        };
        let count = |name, help| meter.u64_counter(name).with_description(help).build();
        let gauge = |name, help| meter.u64_gauge(name).with_description(help).build();
        Self {
            program_latency: seconds(
                "agatetrestle_program_latency",
                "First call to final answer of a program.",
                PROGRAM_SECONDS,
            ),
            first_token: seconds(
                "agatetrestle_first_token",
                "Arrival of a call to its first token or byte.",
                FIRST_TOKEN_SECONDS,
            ),
            between_tokens: seconds(
                "agatetrestle_between_tokens",
                "Time between two tokens of an answer.",
                TOKEN_GAP_SECONDS,
            ),
            queue_wait: seconds(
                "agatetrestle_queue_wait",
                "Arrival of a call to its dispatch.",
                WAIT_SECONDS,
            ),
            added_time: seconds(
                "agatetrestle_added_time",
                "Time of a call in this process beyond waiting for the backend server.",
                ADDED_SECONDS,
            ),
            commit: seconds("agatetrestle_commit", "One commit through a state group.", COMMIT_SECONDS),
            refused: count("agatetrestle_refused", "Calls refused before they ran, by reason."),
            retried: count("agatetrestle_retried", "Further attempts at a call, by what failed before."),
            unknown: count("agatetrestle_unknown", "Calls of which nobody can tell whether they ran."),
            tokens: count("agatetrestle_tokens", "Tokens generated."),
            cache_held: gauge("agatetrestle_cache_held_tokens", "Prefix cache that live programs hold."),
            revision: gauge("agatetrestle_configuration_revision", "Configuration revision in force here."),
            taking_work: gauge("agatetrestle_taking_work", "1 if this node takes new work, else 0."),
            unreadable: count(
                "agatetrestle_unreadable_entries",
                "Entries of the platform's list that name no server, since they can't be read.",
            ),
            reports: seconds(
                "agatetrestle_control_report",
                "One report to a control replica, by what became of it.",
                COMMIT_SECONDS,
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

    pub(super) fn record(&self, series: &mut Series, measure: &Measurement) {
        match measure {
            Measurement::ProgramLatency(time) => time_in(&self.program_latency, series, *time),
            Measurement::FirstToken(time) => time_in(&self.first_token, series, *time),
            Measurement::BetweenTokens(time) => time_in(&self.between_tokens, series, *time),
            Measurement::QueueWait(time) => time_in(&self.queue_wait, series, *time),
            Measurement::AddedTime(time) => time_in(&self.added_time, series, *time),
            Measurement::Commit(time) => time_in(&self.commit, series, *time),
            Measurement::Refused(reason) => self.refused.add(1, series.with_reason(reason)),
            Measurement::Retried(reason) => self.retried.add(1, series.with_reason(reason)),
            Measurement::UnknownOutcome => self.unknown.add(1, &series.attributes),
            Measurement::Tokens(count) => self.tokens.add(*count, &series.attributes),
        }
    }

    pub(super) fn control(&self, control: &dyn Control) {
        self.revision.record(control.configuration().revision, &[]);
        self.taking_work.record(u64::from(control.taking_work().is_ok()), &[]);
    }

    pub(super) fn freshness(&self, freshness: &dyn Freshness) {
        self.revision.record(freshness.revision(), &[]);
        if let Some(age) = freshness.age() {
            self.confirmed_age.record(age.as_secs_f64(), &[]);
        }
    }

    pub(super) fn record_report(&self, outcome: &'static str, took: Duration) {
        self.reports.record(took.as_secs_f64(), &[KeyValue::new("outcome", outcome)]);
    }

    pub(super) fn record_malformed(&self, entries: u64) {
        self.unreadable.add(entries, &[]);
    }

    pub(super) fn record_cache(&self, held: u64, wasted: u64) {
        self.cache_held.record(held, &[]);
        self.cache_wasted.record(wasted, &[]);
    }
}

fn time_in(histogram: &Histogram<f64>, series: &Series, time: Duration) {
    histogram.record(time.as_secs_f64(), &series.attributes);
}
