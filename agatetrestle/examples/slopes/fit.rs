//! A straight line through measured sizes.

use std::hint::black_box;
use std::time::Instant;

/// Unit of what is measured.
#[derive(Clone, Copy, Debug)]
pub enum Unit {
    Bytes,
    Nanoseconds,
}

/// One quantity at several sizes, carried to another.
#[derive(Clone, Debug)]
pub struct Line {
    pub what: &'static str,
    pub unit: Unit,
    /// What is counted, such as `program`.
    pub per: &'static str,
    pub samples: Vec<(f64, f64)>,
    pub carried_to: f64,
}

impl Line {
    /// Slope and fixed part by least squares.
    pub fn fit(&self) -> (f64, f64) {
        let count = self.samples.len() as f64;
        let mean_x = self.samples.iter().map(|(x, _)| x).sum::<f64>() / count;
        let mean_y = self.samples.iter().map(|(_, y)| y).sum::<f64>() / count;
        let covariance: f64 = self.samples.iter().map(|(x, y)| (x - mean_x) * (y - mean_y)).sum();
        let variance: f64 = self.samples.iter().map(|(x, _)| (x - mean_x).powi(2)).sum();
        let slope = covariance / variance;
        (slope, mean_y - slope * mean_x)
    }

    /// Largest distance of a sample from the line, as a share of the largest sample.
    pub fn residual(&self) -> f64 {
        let (slope, fixed) = self.fit();
        let off = self.samples.iter().map(|(x, y)| (y - slope * x - fixed).abs()).fold(0.0, f64::max);
        let largest = self.samples.iter().map(|(_, y)| *y).fold(f64::MIN_POSITIVE, f64::max);
        off / largest
    }

    /// The line as a row of the table.
    pub fn row(&self) -> String {
        let (slope, fixed) = self.fit();
        let sizes: Vec<String> = self.samples.iter().map(|(size, _)| format!("{size}")).collect();
        let carried = slope * self.carried_to + fixed;
        format!(
            "| {} | {} | {} a {} | {} | {:.1} % | {} | {} |",
            self.what,
            sizes.join(", "),
            self.show(slope),
            self.per,
            self.show(fixed),
            self.residual() * 100.0,
            self.carried_to,
            self.show(carried)
        )
    }

    fn show(&self, value: f64) -> String {
        let (units, step): (&[&str], f64) = match self.unit {
            Unit::Bytes => (&["B", "KB", "MB", "GB"], 1_000.0),
            Unit::Nanoseconds => (&["ns", "µs", "ms", "s"], 1_000.0),
        };
        let mut scaled = value;
        let mut index = 0;
        while scaled.abs() >= step && index + 1 < units.len() {
            scaled /= step;
            index += 1;
        }
        format!("{scaled:.2} {}", units[index])
    }
}

/// Nanoseconds that one call takes: the fastest of several rounds, which is the one least disturbed.
pub fn nanoseconds<T>(rounds: u32, calls: u32, mut call: impl FnMut(u32) -> T) -> f64 {
    let mut best = f64::MAX;
    for round in 0..rounds {
        let begun = Instant::now();
        for index in 0..calls {
            black_box(call(round * calls + index));
        }
        best = best.min(begun.elapsed().as_nanos() as f64 / f64::from(calls));
    }
    best
}

/// Resident memory of this process in bytes.
pub fn resident() -> f64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find(|line| line.starts_with("VmRSS:")).unwrap_or_default();
    let kibibytes: f64 = line.split_whitespace().nth(1).and_then(|text| text.parse().ok()).unwrap_or(0.0);
    kibibytes * 1_024.0
}
