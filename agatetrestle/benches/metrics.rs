//! Time of a record and of a scrape at several numbers of label pairs; see docs/MEASUREMENTS.md.

use std::hint::black_box;
use std::time::Duration;

use agatetrestle::metrics::Metrics;
use agatetrestle::ports::Labels;
use agatetrestle::ports::Measurement;
use agatetrestle::ports::Recorder;
use criterion::BenchmarkId;
use criterion::Criterion;
use criterion::criterion_group;
use criterion::criterion_main;

const LABEL_PAIR_COUNTS: [usize; 3] = [1, 16, 256];

fn class_labels(count: usize) -> Vec<Labels> {
    (0..count).map(|i| Labels { partner: "lernwerk".into(), class: format!("class-{i}").into() }).collect()
}

/// Records what the entry records for each streamed token.
fn record_streamed_token(metrics: &Metrics, labels: &Labels) {
    metrics.record(labels, &Measurement::BetweenTokens(Duration::from_millis(20)));
    metrics.record(labels, &Measurement::Tokens(1));
}

fn bench_token(c: &mut Criterion) {
    let mut group = c.benchmark_group("metrics/token");
    for count in LABEL_PAIR_COUNTS {
        let metrics = Metrics::new().expect("the exporter can be registered");
        let labels = class_labels(count);
        let mut next = 0;
        group.bench_function(BenchmarkId::from_parameter(count), |b| {
            b.iter(|| {
                record_streamed_token(&metrics, black_box(&labels[next % count]));
                next += 1;
            });
        });
    }
    group.finish();
}

fn bench_refusal(c: &mut Criterion) {
    let metrics = Metrics::new().expect("the exporter can be registered");
    let labels = class_labels(1);
    c.bench_function("metrics/refusal", |b| {
        b.iter(|| metrics.record(black_box(&labels[0]), &Measurement::Refused("overload")));
    });
}

fn bench_scrape(c: &mut Criterion) {
    let mut group = c.benchmark_group("metrics/scrape");
    group.sample_size(20);
    for count in LABEL_PAIR_COUNTS {
        let metrics = Metrics::new().expect("the exporter can be registered");
        for labels in &class_labels(count) {
            record_all(&metrics, labels);
        }
        group.bench_function(BenchmarkId::from_parameter(count), |b| {
            b.iter(|| metrics.render().expect("the series can be encoded"));
        });
    }
    group.finish();
}

fn record_all(metrics: &Metrics, labels: &Labels) {
    let time = Duration::from_millis(20);
    for measurement in [
        Measurement::ProgramLatency(time),
        Measurement::FirstToken(time),
        Measurement::BetweenTokens(time),
        Measurement::QueueWait(time),
        Measurement::AddedTime(time),
        Measurement::Commit(time),
        Measurement::Refused("overload"),
        Measurement::Retried("timeout"),
        Measurement::UnknownOutcome,
        Measurement::Tokens(1),
    ] {
        metrics.record(labels, &measurement);
    }
}

criterion_group!(benches, bench_token, bench_refusal, bench_scrape);
criterion_main!(benches);
