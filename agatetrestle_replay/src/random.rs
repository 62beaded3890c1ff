//! Seeded random numbers, so that a seed decides every byte of a synthetic trace and of a replay.

/// The `SplitMix64` generator.
#[derive(Clone, Copy, Debug)]
pub struct Random {
    state: u64,
}

impl Random {
    /// A generator for one purpose under a seed; different streams don't repeat each other.
    #[must_use]
    pub fn new(seed: u64, stream: u64) -> Self {
        Self { state: mix(seed ^ mix(stream)) }
    }

    /// The next 64 bits.
    pub fn bits(&mut self) -> u64 {
        self.state = self.state.wrapping_add(0x9e37_79b9_7f4a_7c15);
        mix(self.state)
    }

    /// A number from 0 up to but not including 1.
    pub fn unit(&mut self) -> f64 {
        let high = u32::try_from(self.bits() >> 32).unwrap_or_default();
        f64::from(high) / 4_294_967_296.0
    }

    /// A whole number from `low` to `high`, both included.
    pub fn between(&mut self, low: u32, high: u32) -> u32 {
        let span = u64::from(high.saturating_sub(low)) + 1;
        low + u32::try_from(self.bits() % span).unwrap_or_default()
    }

    /// Whether an event of this probability happens.
    pub fn happens(&mut self, probability: f64) -> bool {
        self.unit() < probability
    }

    /// A log-normal value with this median and spread.
    pub fn lognormal(&mut self, median: f64, sigma: f64) -> f64 {
        let radius = (-2.0 * (1.0 - self.unit()).ln()).sqrt();
        let angle = std::f64::consts::TAU * self.unit();
        median * (sigma * radius * angle.cos()).exp()
    }

    /// A Pareto value from `low` up to `high`.
    pub fn pareto(&mut self, low: f64, high: f64, alpha: f64) -> f64 {
        (low / (1.0 - self.unit()).powf(1.0 / alpha)).min(high)
    }
}

/// Scrambles 64 bits; also used to derive block hashes.
#[must_use]
pub fn mix(value: u64) -> u64 {
    let value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}

/// Rounds a small non-negative number down to a whole one.
#[must_use]
pub fn whole(value: f64) -> u32 {
    let seconds = std::time::Duration::from_secs_f64(value.clamp(0.0, 4e9)).as_secs();
    u32::try_from(seconds).unwrap_or(u32::MAX)
}
