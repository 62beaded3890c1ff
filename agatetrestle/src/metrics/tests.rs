//! Tests of the metrics and of the scrape endpoint.

use std::cell::Cell;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use futures::AsyncReadExt;
use futures::AsyncWriteExt;
use futures::future::LocalBoxFuture;
use smol::LocalExecutor;
use smol::net::TcpListener;
use smol::net::TcpStream;

use super::*;
use crate::control::command::Configuration;
use crate::control::command::ControlCommand;
use crate::control::command::ControlReply;
use crate::metrics::series::MAX_LABEL_PAIRS;
use crate::ports::GroupError;
use crate::ports::NotTakingWork;

fn labels(partner: &str, class: &str) -> Labels {
    Labels { partner: partner.into(), class: class.into() }
}

fn rendered(metrics: &Metrics) -> String {
    String::from_utf8(metrics.render().unwrap()).unwrap()
}

struct FixedFreshness;

impl Freshness for FixedFreshness {
    fn revision(&self) -> u64 {
        57
    }

    fn age(&self) -> Option<Duration> {
        Some(Duration::from_millis(2_500))
    }
}

fn lines_of(text: &str, name: &str) -> Vec<String> {
    text.lines().filter(|line| line.starts_with(name)).map(str::to_owned).collect()
}

#[test]
fn exports_all_series() {
    let metrics = Metrics::new().unwrap();
    let dawn = labels("vrsta", "dawn");
    let time = Duration::from_millis(48);
    for measurement in [
        Measurement::ProgramLatency(time),
        Measurement::FirstToken(time),
        Measurement::BetweenTokens(time),
        Measurement::QueueWait(time),
        Measurement::AddedTime(time),
        Measurement::Commit(time),
        Measurement::Refused("overload"),
        Measurement::Retried("timeout"),
        Measurement::BrokenResponse("cut"),
        Measurement::UnknownOutcome,
        Measurement::Tokens(7),
    ] {
        metrics.record(&dawn, &measurement);
    }
    metrics.record_cache(100, 3);
    metrics.record_malformed(2);
    metrics.record_missing_voters(2);
    metrics.record_report("timeout", time);
    metrics.observe_freshness(Rc::new(FixedFreshness));
    let text = rendered(&metrics);
    let kept = text.lines().filter(|line| !line.contains("_bucket{"));
    insta::assert_snapshot!(kept.collect::<Vec<_>>().join("\n"));
}

#[test]
fn counts_gap_at_target_in_target_bucket() {
    let metrics = Metrics::new().unwrap();
    metrics.record(&labels("vrsta", "dawn"), &Measurement::BetweenTokens(Duration::from_millis(48)));
    let buckets = lines_of(&rendered(&metrics), "agatetrestle_between_tokens_seconds_bucket");
    let count_at = |bound: &str| {
        let bound = format!("le=\"{bound}\"");
        buckets.iter().find(|line| line.contains(&bound)).unwrap().ends_with(" 1")
    };
    assert!(count_at("0.048"));
    assert!(!count_at("0.04"));
}

#[test]
fn labels_beyond_limit_share_one_series() {
    let metrics = Metrics::new().unwrap();
    for i in 0..MAX_LABEL_PAIRS + 50 {
        metrics.record(&labels("lernwerk", &format!("class-{i}")), &Measurement::UnknownOutcome);
    }
    let series = lines_of(&rendered(&metrics), "agatetrestle_unknown_total");
    assert_eq!(series.len(), MAX_LABEL_PAIRS + 1);
    let other = series.iter().find(|line| line.contains("class=\"other\"")).unwrap();
    assert!(other.ends_with(" 50"), "{other}");
}

#[test]
fn reasons_beyond_limit_share_one_series() {
    const NAMES: [&str; 20] =
        ["a", "b", "c", "d", "e", "f", "g", "h", "i", "j", "k", "l", "m", "n", "o", "p", "q", "r", "s", "t"];
    let metrics = Metrics::new().unwrap();
    for name in NAMES {
        metrics.record(&labels("vrsta", "dawn"), &Measurement::Refused(name));
    }
    let series = lines_of(&rendered(&metrics), "agatetrestle_refused_total");
    assert_eq!(series.len(), series::MAX_REASONS_PER_PAIR + 1);
    let other = series.iter().find(|line| line.contains("reason=\"other\"")).unwrap();
    assert!(other.ends_with(" 4"), "{other}");
}

/// A control group without a configuration, which takes no work until it is confirmed.
#[derive(Default)]
struct FakeControl {
    confirmed: Cell<bool>,
}

impl Control for FakeControl {
    fn commit(&self, _: ControlCommand) -> LocalBoxFuture<'_, Result<ControlReply, GroupError>> {
        Box::pin(async {
            Err(GroupError::NotProposed { reason: "not supported by the fake".into(), retry_after: None })
        })
    }

    fn configuration(&self) -> Arc<Configuration> {
        let revision = if self.confirmed.get() { 7 } else { 0 };
        Arc::new(Configuration { revision, ..Configuration::default() })
    }

    fn taking_work(&self) -> Result<(), NotTakingWork> {
        if self.confirmed.get() { Ok(()) } else { Err(NotTakingWork::Starting) }
    }
}

#[test]
fn scrape_reports_revision_and_readiness() {
    let metrics = Metrics::new().unwrap();
    let control = Rc::new(FakeControl::default());
    metrics.observe_control(control.clone());
    let gauges = |metrics: &Metrics| {
        let text = rendered(metrics);
        let names = ["agatetrestle_configuration_revision", "agatetrestle_taking_work"];
        names.map(|name| lines_of(&text, name).concat())
    };
    assert_eq!(gauges(&metrics), ["agatetrestle_configuration_revision 0", "agatetrestle_taking_work 0"]);
    control.confirmed.set(true);
    assert_eq!(gauges(&metrics), ["agatetrestle_configuration_revision 7", "agatetrestle_taking_work 1"]);
}

fn exchange(request: &[u8]) -> String {
    let executor = Rc::new(LocalExecutor::new());
    smol::block_on(executor.run(async {
        let metrics = Rc::new(Metrics::new().unwrap());
        metrics.record(&labels("vrsta", "dawn"), &Measurement::UnknownOutcome);
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        executor.spawn(serve(metrics, listener, Rc::clone(&executor))).detach();
        let mut stream = TcpStream::connect(address).await.unwrap();
        stream.write_all(request).await.ok();
        let mut response = Vec::new();
        stream.read_to_end(&mut response).await.ok();
        String::from_utf8(response).unwrap()
    }))
}

#[test]
fn scrape_returns_series_and_closes_connection() {
    let response = exchange(b"GET /metrics HTTP/1.1\r\nHost: node\r\n\r\n");
    assert!(response.starts_with("HTTP/1.1 200 OK\r\n"), "{response}");
    assert!(response.contains("text/plain; version=0.0.4"), "{response}");
    assert!(response.contains("agatetrestle_unknown_total{"), "{response}");
}

#[test]
fn rejects_other_paths_and_methods() {
    assert!(exchange(b"GET / HTTP/1.1\r\nHost: node\r\n\r\n").starts_with("HTTP/1.1 404"));
    assert!(exchange(b"DELETE /metrics HTTP/1.1\r\nHost: node\r\n\r\n").starts_with("HTTP/1.1 405"));
}

#[test]
fn rejects_malformed_head() {
    assert!(exchange(b"no head at all\r\n\r\n").starts_with("HTTP/1.1 400"));
}

#[test]
fn closes_connection_on_endless_line() {
    let response = exchange(&vec![b'a'; 64 << 10]);
    assert!(response.is_empty() || response.starts_with("HTTP/1.1 400"), "{response}");
}
