//! How many programs are under way on a pool: new ones wait at the door while the prefixes of those
//! that were started fill the memory of the engines and what they export to.
//!
//! Without it, an overloaded pool starts everything, computes evicted prefixes again and again, and
//! finishes little; see docs/design/007-partner-isolation.md.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;

use crate::admission::queue::QueuedCall;

const PERCENT: u64 = 100;

#[derive(Debug, Default)]
struct Partner {
    share: u64,
    booked: u64,
    waiting: BTreeSet<QueuedCall>,
}

/// The door of one pool.
#[derive(Debug, Default)]
pub struct TokenAdmission {
    capacity: u64,
    lent: u64,
    booked: u64,
    partners: BTreeMap<Arc<str>, Partner>,
}

impl TokenAdmission {
    /// Sets how many tokens programs may hold together, and up to which percentage of that a partner
    /// may go beyond its share.
    pub fn set_capacity(&mut self, capacity: u64, lent: u64) {
        self.capacity = capacity;
        self.lent = lent;
    }

    /// Sets the share of a partner.
    pub fn set_share(&mut self, partner: &Arc<str>, share: u32) {
        self.partners.entry(partner.clone()).or_default().share = u64::from(share.max(1));
    }

    /// Whether a program that is expected to hold so many tokens may start: if there is room, or if
    /// its partner holds less than its share. `percent` of the capacity is open to its class, so that
    /// the rest is left for more urgent ones.
    #[must_use]
    pub fn admits(&self, partner: &Arc<str>, tokens: u64, percent: u64) -> bool {
        let capacity = self.capacity * percent / PERCENT;
        if self.booked + tokens <= capacity * self.lent / PERCENT {
            return true;
        }
        let shares: u64 = self.partners.values().map(|partner| partner.share).sum();
        let Some(partner) = self.partners.get(partner) else {
            return false;
        };
        let own = capacity.saturating_mul(partner.share) / shares.max(1);
        partner.booked + tokens <= own || partner.booked == 0
    }

    /// Changes what a program of this partner holds.
    pub fn update_reservation(&mut self, partner: &Arc<str>, before: u64, now: u64) {
        self.booked = (self.booked + now).saturating_sub(before);
        let partner = self.partners.entry(partner.clone()).or_default();
        partner.booked = (partner.booked + now).saturating_sub(before);
    }

    /// Tokens booked for all.
    #[must_use]
    pub fn reserved(&self) -> u64 {
        self.booked
    }

    /// Adds a program that waits.
    pub fn enqueue(&mut self, partner: &Arc<str>, ticket: QueuedCall) {
        self.partners.entry(partner.clone()).or_default().waiting.insert(ticket);
    }

    /// Takes out a program that no longer waits.
    pub fn dequeue(&mut self, partner: &Arc<str>, ticket: QueuedCall) {
        if let Some(partner) = self.partners.get_mut(partner) {
            partner.waiting.remove(&ticket);
        }
    }

    /// The next to start of the partner that holds least for its share.
    #[must_use]
    pub fn next(&self) -> Option<(Arc<str>, QueuedCall)> {
        let waiting = self.partners.iter().filter(|(_, partner)| !partner.waiting.is_empty());
        let (name, partner) = waiting.min_by_key(|(_, partner)| partner.booked / partner.share.max(1))?;
        partner.waiting.first().map(|ticket| (name.clone(), *ticket))
    }
}
