//! Linear fits of measured costs over size.

use std::hint::black_box;
use std::time::Instant;

/// Unit of a measured quantity.
#[derive(Clone, Copy, Debug)]
pub enum Unit {
    Bytes,
    Nanoseconds,
}

/// A quantity measured at several sizes and extrapolated to another size.
#[derive(Clone, Debug)]
pub struct ScalingFit {
    pub quantity: &'static str,
    pub unit: Unit,
    /// Unit of size, such as `program`.
    pub per: &'static str,
    /// Pairs of size and measured value.
    pub samples: Vec<(f64, f64)>,
    pub extrapolated_to: f64,
}

impl ScalingFit {
    /// Slope and intercept by least squares.
    pub fn fit(&self) -> (f64, f64) {
        let count = self.samples.len() as f64;
        let mean_x = self.samples.iter().map(|(x, _)| x).sum::<f64>() / count;
        let mean_y = self.samples.iter().map(|(_, y)| y).sum::<f64>() / count;
        let covariance: f64 = self.samples.iter().map(|(x, y)| (x - mean_x) * (y - mean_y)).sum();
        let variance: f64 = self.samples.iter().map(|(x, _)| (x - mean_x).powi(2)).sum();
        let slope = covariance / variance;
        (slope, mean_y - slope * mean_x)
    }

    /// Largest deviation of a sample from the fit, relative to the largest sample.
    pub fn residual(&self) -> f64 {
        let (slope, intercept) = self.fit();
        let deviation =
            self.samples.iter().map(|(x, y)| (y - slope * x - intercept).abs()).fold(0.0, f64::max);
        let largest = self.samples.iter().map(|(_, y)| *y).fold(f64::MIN_POSITIVE, f64::max);
        deviation / largest
    }

    /// The fit as a row of a Markdown table.
    pub fn row(&self) -> String {
        let (slope, intercept) = self.fit();
        let sizes: Vec<String> = self.samples.iter().map(|(size, _)| format!("{size}")).collect();
        let extrapolated = slope * self.extrapolated_to + intercept;
        format!(
            "| {} | {} | {} a {} | {} | {:.1} % | {} | {} |",
            self.quantity,
            sizes.join(", "),
            self.format_value(slope),
            self.per,
            self.format_value(intercept),
            self.residual() * 100.0,
            self.extrapolated_to,
            self.format_value(extrapolated)
        )
    }

    fn format_value(&self, value: f64) -> String {
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

/// Nanoseconds per call in the fastest of several rounds, which is the least disturbed by other load.
pub fn measure_nanoseconds<T>(rounds: u32, calls: u32, mut call: impl FnMut(u32) -> T) -> f64 {
    let mut best = f64::MAX;
    for round in 0..rounds {
        let started = Instant::now();
        for index in 0..calls {
            black_box(call(round * calls + index));
        }
        best = best.min(started.elapsed().as_nanos() as f64 / f64::from(calls));
    }
    best
}

/// Resident memory of this process in bytes.
pub fn resident_bytes() -> f64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find(|line| line.starts_with("VmRSS:")).unwrap_or_default();
    let kibibytes: f64 = line.split_whitespace().nth(1).and_then(|text| text.parse().ok()).unwrap_or(0.0);
    kibibytes * 1_024.0
}
