//! Seeded random numbers for reproducible traces and replays.

/// The `SplitMix64` generator.
#[derive(Clone, Copy, Debug)]
pub struct Random {
    state: u64,
}

impl Random {
    /// Creates a generator; streams of the same seed are independent.
    #[must_use]
    pub fn new(seed: u64, stream: u64) -> Self {
        Self { state: mix(seed ^ mix(stream)) }
    }

    /// Returns 64 random bits.
    pub fn next_u64(&mut self) -> u64 {
        self.state = self.state.wrapping_add(0x9e37_79b9_7f4a_7c15);
        mix(self.state)
    }

    /// Returns a uniform value in `[0, 1)`.
    pub fn next_f64(&mut self) -> f64 {
        let high = u32::try_from(self.next_u64() >> 32).unwrap_or_default();
        f64::from(high) / 4_294_967_296.0
    }

    /// Returns an integer from `low` to `high`, both included.
    pub fn between(&mut self, low: u32, high: u32) -> u32 {
        let span = u64::from(high.saturating_sub(low)) + 1;
        low + u32::try_from(self.next_u64() % span).unwrap_or_default()
    }

    /// Returns true with the given probability.
    pub fn bernoulli(&mut self, probability: f64) -> bool {
        self.next_f64() < probability
    }

    /// Returns a log-normal value with the given median and standard deviation of the logarithm.
    pub fn lognormal(&mut self, median: f64, sigma: f64) -> f64 {
        let radius = (-2.0 * (1.0 - self.next_f64()).ln()).sqrt();
        let angle = std::f64::consts::TAU * self.next_f64();
        median * (sigma * radius * angle.cos()).exp()
    }

    /// Returns a Pareto value with minimum `low` and shape `alpha`, capped at `high`.
    pub fn pareto(&mut self, low: f64, high: f64, alpha: f64) -> f64 {
        (low / (1.0 - self.next_f64()).powf(1.0 / alpha)).min(high)
    }
}

/// Mixes 64 bits with the `SplitMix64` finaliser; also derives block hashes.
#[must_use]
pub fn mix(value: u64) -> u64 {
    let value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}

/// Rounds a number down to an integer, clamped to 0 through 4e9.
#[must_use]
pub fn floor_to_u32(value: f64) -> u32 {
    let integer = std::time::Duration::from_secs_f64(value.clamp(0.0, 4e9)).as_secs();
    u32::try_from(integer).unwrap_or(u32::MAX)
}
