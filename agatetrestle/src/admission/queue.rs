//! Weighted fair queue of the calls for one pool, in two levels: partners and their teams.
//!
//! Calls leave in order of rank. A partner or team that is ahead of its share by more than the slack is
//! skipped while others have waiting calls.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;

use slotmap::new_key_type;

new_key_type! {
    /// Key of a call in the scheduler.
    pub struct CallKey;
}

/// Queue entry of a waiting call.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct QueuedCall {
    /// Calls with lower ranks leave first.
    pub rank: u64,
    /// Calls of equal rank leave in order of arrival.
    pub sequence: u64,
    /// Key of the waiting call.
    pub call: CallKey,
}

/// The partner and team that a call is accounted to.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Owner {
    /// The partner's name.
    pub partner: Arc<str>,
    /// The team's name, unique within the partner.
    pub team: Arc<str>,
}

#[derive(Debug, Default)]
struct Team {
    weight: u64,
    /// Service received, divided by the weight.
    served: u64,
    waiting: BTreeSet<QueuedCall>,
}

#[derive(Debug, Default)]
struct Partner {
    weight: u64,
    served: u64,
    waiting: usize,
    virtual_time: u64,
    teams: BTreeMap<Arc<str>, Team>,
}

/// Waiting calls of one pool.
#[derive(Debug)]
pub struct FairQueue {
    slack: u64,
    team_slack: u64,
    virtual_time: u64,
    len: usize,
    partners: BTreeMap<Arc<str>, Partner>,
}

impl FairQueue {
    /// Creates an empty queue. The slacks are in microseconds of engine time for a weight of 1.
    #[must_use]
    pub fn new(slack: u64, team_slack: u64) -> Self {
        Self { slack, team_slack, virtual_time: 0, len: 0, partners: BTreeMap::new() }
    }

    /// Number of waiting calls.
    #[must_use]
    pub fn len(&self) -> usize {
        self.len
    }

    /// Whether no calls are waiting.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Sets the weights of a partner and of one of its teams.
    pub fn set_weights(&mut self, owner: &Owner, partner: u32, team: u32) {
        let entry = self.partners.entry(owner.partner.clone()).or_default();
        entry.weight = u64::from(partner.max(1));
        entry.teams.entry(owner.team.clone()).or_default().weight = u64::from(team.max(1));
    }

    /// Adds a call. A partner or team that had none waiting resumes at the current virtual time, without
    /// credit for the time it was idle.
    pub fn push(&mut self, owner: &Owner, call: QueuedCall) {
        let partner = self.partners.entry(owner.partner.clone()).or_default();
        if partner.waiting == 0 {
            partner.served = partner.served.max(self.virtual_time.saturating_sub(self.slack));
        }
        let team = partner.teams.entry(owner.team.clone()).or_default();
        if team.waiting.is_empty() {
            team.served = team.served.max(partner.virtual_time.saturating_sub(self.team_slack));
        }
        if team.waiting.insert(call) {
            partner.waiting += 1;
            self.len += 1;
        }
    }

    /// Removes and returns the next call.
    pub fn pop(&mut self) -> Option<(Owner, QueuedCall)> {
        let slack = self.slack;
        let min_served = self.partners.values().filter(|p| p.waiting > 0).map(|p| p.served).min()?;
        let bound = min_served.saturating_add(slack);
        let eligible = self.partners.iter().filter(|(_, p)| p.waiting > 0 && p.served <= bound);
        let candidates = eligible.filter_map(|(name, partner)| {
            let (team, call) = partner.next(self.team_slack)?;
            Some((call, name.clone(), team))
        });
        let (call, partner, team) = candidates.min_by_key(|(call, _, _)| *call)?;
        let owner = Owner { partner, team };
        self.remove(&owner, call);
        self.virtual_time = self.virtual_time.max(min_served);
        Some((owner, call))
    }

    /// Removes a call; false if it is not queued.
    pub fn remove(&mut self, owner: &Owner, call: QueuedCall) -> bool {
        let Some(partner) = self.partners.get_mut(&owner.partner) else {
            return false;
        };
        let Some(team) = partner.teams.get_mut(&owner.team) else {
            return false;
        };
        if !team.waiting.remove(&call) {
            return false;
        }
        partner.virtual_time = partner.virtual_time.max(team.served);
        partner.waiting -= 1;
        self.len -= 1;
        true
    }

    /// Charges service in microseconds of engine time.
    pub fn charge(&mut self, owner: &Owner, service: u64) {
        let Some(partner) = self.partners.get_mut(&owner.partner) else {
            return;
        };
        partner.served += service / partner.weight.max(1);
        if let Some(team) = partner.teams.get_mut(&owner.team) {
            team.served += service / team.weight.max(1);
        }
    }

    /// Reverts a charge for service that was not used.
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
        let min_served = waiting().map(|(_, team)| team.served).min()?;
        let bound = min_served.saturating_add(slack);
        waiting()
            .filter(|(_, team)| team.served <= bound)
            .filter_map(|(name, team)| team.waiting.first().map(|call| (name.clone(), *call)))
            .min_by_key(|(_, call)| *call)
    }
}
