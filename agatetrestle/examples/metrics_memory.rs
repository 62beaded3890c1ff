//! Prints what the series of many label pairs take in resident memory and in one scrape.

use std::time::Duration;

use agatetrestle::metrics::Metrics;
use agatetrestle::ports::Labels;
use agatetrestle::ports::Measurement;
use agatetrestle::ports::Recorder;

const PAIRS: usize = 256;
const PAGE: u64 = 4096;

fn resident() -> u64 {
    let statm = std::fs::read_to_string("/proc/self/statm").expect("Linux tells the memory of a process");
    let pages = statm.split(' ').nth(1).and_then(|field| field.parse::<u64>().ok());
    pages.expect("the second field is a number") * PAGE
}

fn record_all(metrics: &Metrics, labels: &Labels) {
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

fn main() {
    let metrics = Metrics::new().expect("the exporter is set up once");
    record_all(&metrics, &Labels { partner: "lernwerk".into(), class: "first".into() });
    let before = resident();
    for i in 1..PAIRS {
        record_all(&metrics, &Labels { partner: "lernwerk".into(), class: format!("class-{i}").into() });
    }
    let after = resident();
    let scrape = metrics.render().expect("the series can be written").len();
    let pairs = u64::try_from(PAIRS - 1).expect("small");
    println!("{} bytes resident a label pair", (after - before) / pairs);
    println!("{} bytes a label pair in one scrape", scrape / PAIRS);
    println!("{} KiB resident after one scrape of {PAIRS} pairs", resident() / 1024);
}
