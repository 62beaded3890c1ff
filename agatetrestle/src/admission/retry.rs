//! Retry budgets: limits a partner's retries to a share of its successes, so that failing backend
//! servers don't multiply the load.

use std::collections::HashMap;
use std::sync::Arc;

const HUNDREDTHS_PER_RETRY: u64 = 100;
const MAX_BALANCE_HUNDREDTHS: u64 = 20 * HUNDREDTHS_PER_RETRY;
const INITIAL_BALANCE_HUNDREDTHS: u64 = 5 * HUNDREDTHS_PER_RETRY;

/// Retry balance of each partner, in hundredths of a retry.
#[derive(Debug)]
pub struct RetryBudgets {
    earned_per_success: u64,
    balances: HashMap<Arc<str>, u64>,
}

impl RetryBudgets {
    /// Creates budgets that earn `percent` retries per hundred successes.
    #[must_use]
    pub fn new(percent: u64) -> Self {
        Self { earned_per_success: percent, balances: HashMap::new() }
    }

    /// Credits a successful call.
    pub fn record_success(&mut self, partner: &Arc<str>) {
        let earned = self.earned_per_success;
        if let Some(balance) = self.balances.get_mut(partner) {
            *balance = (*balance + earned).min(MAX_BALANCE_HUNDREDTHS);
            return;
        }
        self.balances.insert(partner.clone(), INITIAL_BALANCE_HUNDREDTHS + earned);
    }

    /// Takes one retry from the budget; false if it is exhausted.
    pub fn take(&mut self, partner: &Arc<str>) -> bool {
        let balance = self.balances.entry(partner.clone()).or_insert(INITIAL_BALANCE_HUNDREDTHS);
        let Some(remaining) = balance.checked_sub(HUNDREDTHS_PER_RETRY) else {
            return false;
        };
        *balance = remaining;
        true
    }

    /// The partner's balance, in hundredths of a retry.
    #[must_use]
    pub fn remaining(&self, partner: &Arc<str>) -> u64 {
        self.balances.get(partner).copied().unwrap_or(INITIAL_BALANCE_HUNDREDTHS)
    }
}
