//! Weighted max-min shares of capacity.

/// A team's claim on capacity.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct Claim {
    pub(super) weight: f64,
    /// Slots that it needs.
    pub(super) demand: f64,
}

/// The result of sharing capacity between teams.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum Shares {
    /// All demands fit, and this many slots remain.
    Spare(f64),
    /// A team may use this many slots for each unit of its weight.
    Level(f64),
}

impl Shares {
    /// Shares capacity so that no team can get more without another of a lower ratio of use to weight getting less.
    pub(super) fn new(capacity: f64, claims: &mut [Claim]) -> Self {
        let ratio = |claim: &Claim| claim.demand / claim.weight;
        claims.sort_unstable_by(|a, b| ratio(a).total_cmp(&ratio(b)));
        let mut weight: f64 = claims.iter().map(|claim| claim.weight).sum();
        let mut left = capacity.max(0.0);
        for claim in claims {
            if claim.demand * weight > left * claim.weight {
                return Self::Level(left / weight);
            }
            left -= claim.demand;
            weight -= claim.weight;
        }
        Self::Spare(left)
    }

    /// Whether a team asks for less than its share while others ask for more than theirs.
    pub(super) fn is_guaranteed(self, claim: Claim) -> bool {
        matches!(self, Self::Level(level) if claim.demand < claim.weight * level)
    }

    /// Slots that a team may use. A team below its share may grow up to it, and a spare capacity is lent to any team.
    pub(super) fn allowed(self, claim: Claim) -> f64 {
        match self {
            Self::Spare(spare) => claim.demand + spare,
            Self::Level(level) => claim.weight * level,
        }
    }
}
