//! Figures as lines of text.

use std::time::Duration;

/// Durations of one kind.
#[derive(Debug, Default)]
pub struct Samples {
    all: Vec<Duration>,
}

impl Samples {
    /// Adds one.
    pub fn add(&mut self, sample: Duration) {
        self.all.push(sample);
    }

    /// The value below which so many of a hundred lie.
    fn percentile(&mut self, percent: usize) -> Duration {
        self.all.sort_unstable();
        let at = (self.all.len() * percent / 100).min(self.all.len().saturating_sub(1));
        self.all.get(at).copied().unwrap_or_default()
    }
}

fn millis(span: Duration) -> f64 {
    span.as_secs_f64() * 1000.0
}

/// Median and 99th percentile.
pub fn line(name: &str, samples: &mut Samples) {
    let (p50, p99) = (samples.percentile(50), samples.percentile(99));
    println!("  {name:32} p50 {:7.3} ms  p99 {:7.3} ms", millis(p50), millis(p99));
}

/// Two kinds with their difference and ratio.
pub fn compare(first: &str, one: &mut Samples, second: &str, other: &mut Samples) {
    line(first, one);
    line(second, other);
    for percent in [50, 99] {
        let (a, b) = (millis(one.percentile(percent)), millis(other.percentile(percent)));
        println!("  p{percent}: {:+.3} ms, ratio {:.2}", b - a, b / a);
    }
}

/// Rate of tokens and the processor time that they cost.
pub fn tokens(streams: u32, tokens: u64, elapsed: Duration, used: Duration) {
    let count = u32::try_from(tokens).unwrap_or(u32::MAX);
    let rate = f64::from(count) / elapsed.as_secs_f64();
    let cost = used.as_secs_f64() / f64::from(count);
    println!("streams: {streams} at a time, {tokens} tokens in {:.2} s", elapsed.as_secs_f64());
    println!(
        "  {rate:.0} tokens/s, {:.2} of a core, {:.1} us a token",
        used.as_secs_f64() / elapsed.as_secs_f64(),
        cost * 1e6
    );
    println!("  5,000 tokens/s would take {:.2} of a core", cost * 5000.0);
}

/// Resident memory with so many idle programs.
pub fn memory(programs: u32, before: u64, now: u64) {
    let each = now.saturating_sub(before) / u64::from(programs.max(1));
    println!("memory: {programs} idle programs, {} KiB resident, {each} bytes a program", now / 1024);
}
