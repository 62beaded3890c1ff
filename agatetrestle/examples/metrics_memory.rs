//! Prints the resident memory and the scrape size of the series of many label pairs.

use std::time::Duration;

use agatetrestle::metrics::Metrics;
use agatetrestle::ports::Labels;
use agatetrestle::ports::Measurement;
use agatetrestle::ports::Recorder;

const LABEL_PAIRS: usize = 256;
const PAGE_BYTES: u64 = 4096;

fn resident_bytes() -> u64 {
    let statm = std::fs::read_to_string("/proc/self/statm").expect("Linux has /proc/self/statm");
    let pages = statm.split(' ').nth(1).and_then(|field| field.parse::<u64>().ok());
    pages.expect("the second field is the number of resident pages") * PAGE_BYTES
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

fn main() {
    let metrics = Metrics::new().expect("the exporter can be registered");
    record_all(&metrics, &Labels { partner: "lernwerk".into(), class: "first".into() });
    let before = resident_bytes();
    for i in 1..LABEL_PAIRS {
        record_all(&metrics, &Labels { partner: "lernwerk".into(), class: format!("class-{i}").into() });
    }
    let after = resident_bytes();
    let scrape = metrics.render().expect("the series can be encoded").len();
    let pairs = u64::try_from(LABEL_PAIRS - 1).expect("the number of pairs fits");
    println!("{} bytes resident a label pair", (after - before) / pairs);
    println!("{} bytes a label pair in one scrape", scrape / LABEL_PAIRS);
    println!("{} KiB resident after one scrape of {LABEL_PAIRS} pairs", resident_bytes() / 1024);
}
