//! Failure rates of healthy servers by size of call.

/// Number of size classes; each covers twice the sizes of the one before.
const SIZE_CLASSES: usize = 24;
const INITIAL_FAILURE_RATE: f64 = 0.01;
/// Weight of one outcome in the moving average.
const OUTCOME_WEIGHT: f64 = 0.005;

/// Moving averages of the failure rate by size class.
#[derive(Clone, Copy, Debug)]
pub struct FailureRates {
    rates: [f64; SIZE_CLASSES],
}

impl Default for FailureRates {
    fn default() -> Self {
        Self { rates: [INITIAL_FAILURE_RATE; SIZE_CLASSES] }
    }
}

impl FailureRates {
    /// The estimated probability that a call of this size fails.
    #[must_use]
    pub fn rate(&self, tokens: u64) -> f64 {
        self.rates[size_class(tokens)]
    }

    /// Updates the rate of a size class with an outcome.
    pub fn record(&mut self, tokens: u64, failed: bool) {
        let outcome = if failed { 1.0 } else { 0.0 };
        let rate = &mut self.rates[size_class(tokens)];
        *rate += OUTCOME_WEIGHT * (outcome - *rate);
    }
}

fn size_class(tokens: u64) -> usize {
    usize::try_from(tokens.max(1).ilog2()).unwrap_or(SIZE_CLASSES).min(SIZE_CLASSES - 1)
}
