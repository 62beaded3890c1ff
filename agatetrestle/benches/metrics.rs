//! Cost of one record and of one scrape, at several numbers of label pairs; see docs/MEASUREMENTS.md.

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

const PAIRS: [usize; 3] = [1, 16, 256];

fn labels(count: usize) -> Vec<Labels> {
    (0..count).map(|i| Labels { partner: "lernwerk".into(), class: format!("class-{i}").into() }).collect()
}

/// What one streamed token records.
fn token(metrics: &Metrics, labels: &Labels) {
    metrics.record(labels, &Measurement::BetweenTokens(Duration::from_millis(20)));
    metrics.record(labels, &Measurement::Tokens(1));
}

fn record_token(c: &mut Criterion) {
    let mut group = c.benchmark_group("metrics/token");
    for count in PAIRS {
        let metrics = Metrics::new().expect("the exporter is set up once");
        let labels = labels(count);
        let mut next = 0;
        group.bench_function(BenchmarkId::from_parameter(count), |b| {
            b.iter(|| {
                token(&metrics, black_box(&labels[next % count]));
                next += 1;
            });
        });
    }
    group.finish();
}

fn record_refusal(c: &mut Criterion) {
    let metrics = Metrics::new().expect("the exporter is set up once");
    let labels = labels(1);
    c.bench_function("metrics/refusal", |b| {
        b.iter(|| metrics.record(black_box(&labels[0]), &Measurement::Refused("overload")));
    });
}

fn scrape(c: &mut Criterion) {
    let mut group = c.benchmark_group("metrics/scrape");
    group.sample_size(20);
    for count in PAIRS {
        let metrics = Metrics::new().expect("the exporter is set up once");
        for labels in &labels(count) {
            all_measures(&metrics, labels);
        }
        group.bench_function(BenchmarkId::from_parameter(count), |b| {
            b.iter(|| metrics.render().expect("the series can be written"));
        });
    }
    group.finish();
}

fn all_measures(metrics: &Metrics, labels: &Labels) {
    let time = Duration::from_millis(20);
    for measure in [
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
        metrics.record(labels, &measure);
    }
}

criterion_group!(benches, record_token, record_refusal, scrape);
criterion_main!(benches);
