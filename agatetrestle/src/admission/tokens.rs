//! Limits the programs on a pool by the cache tokens that they hold: new programs wait while the prefixes
//! of started ones fill the cache of the engines.
//!
//! Without a limit, an overloaded pool keeps recomputing evicted prefixes and completes few programs; see
//! docs/design/007-partner-isolation.md.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;

use crate::admission::queue::QueuedCall;

const PERCENT: u64 = 100;

#[derive(Debug, Default)]
struct Partner {
    share: u64,
    reserved: u64,
    waiting: BTreeSet<QueuedCall>,
}

/// Reserved tokens and waiting programs of one pool.
#[derive(Debug, Default)]
pub struct TokenAdmission {
    capacity: u64,
    shared_percent: u64,
    reserved: u64,
    partners: BTreeMap<Arc<str>, Partner>,
}

impl TokenAdmission {
    /// Sets the tokens that all programs may hold, and the percentage of them up to which partners may
    /// exceed their shares.
    pub fn set_capacity(&mut self, capacity: u64, shared_percent: u64) {
        self.capacity = capacity;
        self.shared_percent = shared_percent;
    }

    /// Sets the weight of a partner in the division of the capacity.
    pub fn set_share(&mut self, partner: &Arc<str>, share: u32) {
        self.partners.entry(partner.clone()).or_default().share = u64::from(share.max(1));
    }

    /// Whether a program expected to hold `tokens` may start, within the shared capacity or its partner's
    /// share. Its class may use `percent` of the capacity; the rest is reserved for more urgent classes.
    #[must_use]
    pub fn admits(&self, partner: &Arc<str>, tokens: u64, percent: u64) -> bool {
        let capacity = self.capacity * percent / PERCENT;
        if self.reserved + tokens <= capacity * self.shared_percent / PERCENT {
            return true;
        }
        let shares: u64 = self.partners.values().map(|partner| partner.share).sum();
        let Some(partner) = self.partners.get(partner) else {
            return false;
        };
        let partner_limit = capacity.saturating_mul(partner.share) / shares.max(1);
        partner.reserved + tokens <= partner_limit || partner.reserved == 0
    }

    /// Changes the reservation of one of the partner's programs.
    pub fn update_reservation(&mut self, partner: &Arc<str>, before: u64, after: u64) {
        self.reserved = (self.reserved + after).saturating_sub(before);
        let partner = self.partners.entry(partner.clone()).or_default();
        partner.reserved = (partner.reserved + after).saturating_sub(before);
    }

    /// Tokens reserved by all programs.
    #[must_use]
    pub fn reserved(&self) -> u64 {
        self.reserved
    }

    /// Adds a waiting program by its first call.
    pub fn enqueue(&mut self, partner: &Arc<str>, call: QueuedCall) {
        self.partners.entry(partner.clone()).or_default().waiting.insert(call);
    }

    /// Removes a program that no longer waits.
    pub fn dequeue(&mut self, partner: &Arc<str>, call: QueuedCall) {
        if let Some(partner) = self.partners.get_mut(partner) {
            partner.waiting.remove(&call);
        }
    }

    /// The first waiting program of the partner with the least reserved tokens per share.
    #[must_use]
    pub fn next(&self) -> Option<(Arc<str>, QueuedCall)> {
        let waiting = self.partners.iter().filter(|(_, partner)| !partner.waiting.is_empty());
        let (name, partner) = waiting.min_by_key(|(_, partner)| partner.reserved / partner.share.max(1))?;
        partner.waiting.first().map(|call| (name.clone(), *call))
    }
}
