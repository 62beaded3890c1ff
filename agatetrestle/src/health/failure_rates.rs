//! How often calls of a size fail on servers against which nothing speaks.

const BUCKETS: usize = 24;
const PRIOR: f64 = 0.01;
const WEIGHT: f64 = 0.005;

/// Failure rates by the size of a call in tokens, in doublings.
#[derive(Clone, Copy, Debug)]
pub struct FailureRates {
    rates: [f64; BUCKETS],
}

impl Default for FailureRates {
    fn default() -> Self {
        Self { rates: [PRIOR; BUCKETS] }
    }
}

impl FailureRates {
    /// The probability that a call of this size fails.
    #[must_use]
    pub fn rate(&self, tokens: u64) -> f64 {
        self.rates[bucket(tokens)]
    }

    /// Takes in an outcome.
    pub fn record(&mut self, tokens: u64, failed: bool) {
        let outcome = if failed { 1.0 } else { 0.0 };
        let rate = &mut self.rates[bucket(tokens)];
        *rate += WEIGHT * (outcome - *rate);
    }
}

fn bucket(tokens: u64) -> usize {
    usize::try_from(tokens.max(1).ilog2()).unwrap_or(BUCKETS).min(BUCKETS - 1)
}
