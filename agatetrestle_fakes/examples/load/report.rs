//! Prints the results of the benchmark.

use std::time::Duration;

/// Samples of one measured duration.
#[derive(Debug, Default)]
pub struct Samples {
    durations: Vec<Duration>,
}

impl Samples {
    /// Adds a sample.
    pub fn add(&mut self, sample: Duration) {
        self.durations.push(sample);
    }

    fn percentile(&mut self, percent: usize) -> Duration {
        self.durations.sort_unstable();
        let at = (self.durations.len() * percent / 100).min(self.durations.len().saturating_sub(1));
        self.durations.get(at).copied().unwrap_or_default()
    }
}

fn millis(duration: Duration) -> f64 {
    duration.as_secs_f64() * 1000.0
}

/// Prints the median and 99th percentile.
pub fn print_percentiles(name: &str, samples: &mut Samples) {
    let (p50, p99) = (samples.percentile(50), samples.percentile(99));
    println!("  {name:32} p50 {:7.3} ms  p99 {:7.3} ms", millis(p50), millis(p99));
}

/// Prints two sets of samples with their difference and ratio.
pub fn print_comparison(base_name: &str, base: &mut Samples, name: &str, samples: &mut Samples) {
    print_percentiles(base_name, base);
    print_percentiles(name, samples);
    for percent in [50, 99] {
        let (base, other) = (millis(base.percentile(percent)), millis(samples.percentile(percent)));
        println!("  p{percent}: {:+.3} ms, ratio {:.2}", other - base, other / base);
    }
}

/// Prints the rate of tokens and the processor time per token.
pub fn print_token_rate(streams: u32, tokens: u64, elapsed: Duration, cpu_time: Duration) {
    let count = u32::try_from(tokens).unwrap_or(u32::MAX);
    let rate = f64::from(count) / elapsed.as_secs_f64();
    let cost = cpu_time.as_secs_f64() / f64::from(count);
    println!("streams: {streams} at a time, {tokens} tokens in {:.2} s", elapsed.as_secs_f64());
    println!(
        "  {rate:.0} tokens/s, {:.2} of a core, {:.1} us a token",
        cpu_time.as_secs_f64() / elapsed.as_secs_f64(),
        cost * 1e6
    );
    println!("  5,000 tokens/s would take {:.2} of a core", cost * 5000.0);
}

/// Prints the resident memory with a number of idle programs.
pub fn print_memory(programs: u32, before: u64, now: u64) {
    let each = now.saturating_sub(before) / u64::from(programs.max(1));
    println!("memory: {programs} idle programs, {} KiB resident, {each} bytes a program", now / 1024);
}
