//! Retry budgets: a partner's retries are a share of its recent successes, so that failing backend
//! servers don't multiply the load.

use std::collections::HashMap;
use std::sync::Arc;

const PERCENT: u64 = 100;
const MOST_SAVED: u64 = 20 * PERCENT;
const AT_START: u64 = 5 * PERCENT;

/// Retries that each partner may still make, in hundredths.
#[derive(Debug)]
pub struct RetryBudgets {
    earned: u64,
    saved: HashMap<Arc<str>, u64>,
}

impl RetryBudgets {
    /// Budgets that earn so many retries by a hundred successes.
    #[must_use]
    pub fn new(percent: u64) -> Self {
        Self { earned: percent, saved: HashMap::new() }
    }

    /// Counts a success.
    pub fn record_success(&mut self, partner: &Arc<str>) {
        let earned = self.earned;
        if let Some(saved) = self.saved.get_mut(partner) {
            *saved = (*saved + earned).min(MOST_SAVED);
            return;
        }
        self.saved.insert(partner.clone(), AT_START + earned);
    }

    /// Takes one retry from the budget, if there is one.
    pub fn take(&mut self, partner: &Arc<str>) -> bool {
        let saved = self.saved.entry(partner.clone()).or_insert(AT_START);
        let Some(left) = saved.checked_sub(PERCENT) else {
            return false;
        };
        *saved = left;
        true
    }

    /// Retries left, in hundredths.
    #[must_use]
    pub fn remaining(&self, partner: &Arc<str>) -> u64 {
        self.saved.get(partner).copied().unwrap_or(AT_START)
    }
}
