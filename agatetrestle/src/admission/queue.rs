//! The calls that wait for one pool, shared among partners and their teams by weight.
//!
//! Calls go in order of rank. A partner or team that has run ahead of its share by more than the
//! slack waits while others have calls waiting; with nobody else waiting it gets everything.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;

use slotmap::new_key_type;

new_key_type! {
    /// Key of a call in the scheduler.
    pub struct CallKey;
}

/// A waiting call.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct QueuedCall {
    /// The lowest goes first.
    pub rank: u64,
    /// Equal ranks go in order of entry.
    pub sequence: u64,
    /// The call.
    pub call: CallKey,
}

/// Whose call it is.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Owner {
    /// The partner.
    pub partner: Arc<str>,
    /// The team within the partner.
    pub team: Arc<str>,
}

#[derive(Debug, Default)]
struct Team {
    weight: u64,
    served: u64,
    waiting: BTreeSet<QueuedCall>,
}

#[derive(Debug, Default)]
struct Partner {
    weight: u64,
    served: u64,
    waiting: usize,
    reached: u64,
    teams: BTreeMap<Arc<str>, Team>,
}

/// The queue of one pool.
#[derive(Debug)]
pub struct FairQueue {
    slack: u64,
    team_slack: u64,
    reached: u64,
    len: usize,
    partners: BTreeMap<Arc<str>, Partner>,
}

impl FairQueue {
    /// An empty queue; slacks of partners and teams are in microseconds of engine time for a weight
    /// of 1.
    #[must_use]
    pub fn new(slack: u64, team_slack: u64) -> Self {
        Self { slack, team_slack, reached: 0, len: 0, partners: BTreeMap::new() }
    }

    /// Calls that wait.
    #[must_use]
    pub fn len(&self) -> usize {
        self.len
    }

    /// Whether no call waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Sets the weight of a partner's team and of the partner.
    pub fn set_weights(&mut self, owner: &Owner, partner: u32, team: u32) {
        let entry = self.partners.entry(owner.partner.clone()).or_default();
        entry.weight = u64::from(partner.max(1));
        entry.teams.entry(owner.team.clone()).or_default().weight = u64::from(team.max(1));
    }

    /// Adds a waiting call. One that was idle starts level with the others, without credit for
    /// the time in which it asked for nothing.
    pub fn push(&mut self, owner: &Owner, ticket: QueuedCall) {
        let partner = self.partners.entry(owner.partner.clone()).or_default();
        if partner.waiting == 0 {
            partner.served = partner.served.max(self.reached.saturating_sub(self.slack));
        }
        let team = partner.teams.entry(owner.team.clone()).or_default();
        if team.waiting.is_empty() {
            team.served = team.served.max(partner.reached.saturating_sub(self.team_slack));
        }
        if team.waiting.insert(ticket) {
            partner.waiting += 1;
            self.len += 1;
        }
    }

    /// Takes out the call that goes next.
    pub fn pop(&mut self) -> Option<(Owner, QueuedCall)> {
        let slack = self.slack;
        let least = self.partners.values().filter(|p| p.waiting > 0).map(|p| p.served).min()?;
        let bound = least.saturating_add(slack);
        let chosen = self.partners.iter().filter(|(_, p)| p.waiting > 0 && p.served <= bound);
        let best = chosen.filter_map(|(name, partner)| {
            let (team, ticket) = partner.next(self.team_slack)?;
            Some((ticket, name.clone(), team))
        });
        let (ticket, partner, team) = best.min_by_key(|(ticket, _, _)| *ticket)?;
        let owner = Owner { partner, team };
        self.remove(&owner, ticket);
        self.reached = self.reached.max(least);
        Some((owner, ticket))
    }

    /// Takes out one call.
    pub fn remove(&mut self, owner: &Owner, ticket: QueuedCall) -> bool {
        let Some(partner) = self.partners.get_mut(&owner.partner) else {
            return false;
        };
        let Some(team) = partner.teams.get_mut(&owner.team) else {
            return false;
        };
        if !team.waiting.remove(&ticket) {
            return false;
        }
        partner.reached = partner.reached.max(team.served);
        partner.waiting -= 1;
        self.len -= 1;
        true
    }

    /// Counts service in microseconds of engine time.
    pub fn charge(&mut self, owner: &Owner, service: u64) {
        let Some(partner) = self.partners.get_mut(&owner.partner) else {
            return;
        };
        partner.served += service / partner.weight.max(1);
        if let Some(team) = partner.teams.get_mut(&owner.team) {
            team.served += service / team.weight.max(1);
        }
    }

    /// Takes back service that was counted and not given.
    pub fn refund(&mut self, owner: &Owner, service: u64) {
        let Some(partner) = self.partners.get_mut(&owner.partner) else {
            return;
        };
        partner.served = partner.served.saturating_sub(service / partner.weight.max(1));
        if let Some(team) = partner.teams.get_mut(&owner.team) {
            team.served = team.served.saturating_sub(service / team.weight.max(1));
        }
    }
}

impl Partner {
    fn next(&self, slack: u64) -> Option<(Arc<str>, QueuedCall)> {
        let waiting = || self.teams.iter().filter(|(_, team)| !team.waiting.is_empty());
        let least = waiting().map(|(_, team)| team.served).min()?;
        let bound = least.saturating_add(slack);
        waiting()
            .filter(|(_, team)| team.served <= bound)
            .filter_map(|(name, team)| team.waiting.first().map(|ticket| (name.clone(), *ticket)))
            .min_by_key(|(_, ticket)| *ticket)
    }
}
