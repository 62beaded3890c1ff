//! How many requests of a team may still be sent, over all entries together.
//!
//! One place counts for a team: the leader of the state group that the team's name falls to. Each request is taken from its
//! account before it is sent, so no entry, in touch or not, can send what was not counted. Why this way, what a change of
//! leader costs, and what it was compared with: docs/design/014-teams-and-whole-programs.md. The slice is pure: time comes in
//! as an argument.

mod bucket;
#[cfg(test)]
mod tests;

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use agatetrestle_config::deployment::AllowanceBounds;

use crate::allowance::bucket::TokenBucket;
use crate::clock::Timestamp;
use crate::routing::Team;

/// What is asked of an account.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RequestKind {
    /// The first request of a program, after which more of them come.
    Beginning,
    /// Any other request.
    Request,
}

/// A request that is to be sent.
#[derive(Clone, Copy, Debug)]
pub struct OutgoingRequest<'a> {
    /// The team whose request it is.
    pub team: &'a str,
    /// The program that it is a part of, if any.
    pub program: Option<&'a Arc<str>>,
    /// What it is to its program.
    pub need: RequestKind,
}

/// Why a request must not be sent.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Denial {
    /// The team has sent as much as it may; there is room for another after this time.
    OverLimit(Duration),
    /// This place has not been told of the team yet.
    UnknownTeam,
}

/// The accounts of all teams of a group.
#[derive(Debug)]
pub struct RateLimiter {
    bounds: AllowanceBounds,
    /// Term in which this replica leads; with another one it knows nothing of what was sent.
    term: u64,
    /// None of a team that may send without a limit.
    teams: HashMap<Arc<str>, Option<TokenBucket>>,
}

impl RateLimiter {
    /// A limiter that knows no team yet.
    #[must_use]
    pub fn new(bounds: AllowanceBounds) -> Self {
        Self { bounds, term: 0, teams: HashMap::new() }
    }

    /// Takes in the declared teams. One that stays keeps its account; what a lowered limit no longer holds is gone at once.
    pub fn set_teams(&mut self, now: Timestamp, teams: &[Arc<Team>]) {
        let bounds = self.bounds;
        let mut before = std::mem::take(&mut self.teams);
        let declared = teams.iter().map(|team| {
            let account = team.rate_limit.map(|allowance| {
                let known = before.remove(&team.name).flatten();
                let mut account = known.unwrap_or_else(|| TokenBucket::new(now));
                account.limit(now, allowance, bounds);
                account
            });
            (team.name.clone(), account)
        });
        self.teams = declared.collect();
    }

    /// Takes a request from a team's account, for the leader of a term.
    ///
    /// # Errors
    ///
    /// Says why the request must not be sent.
    pub fn take(&mut self, now: Timestamp, term: u64, asked: OutgoingRequest<'_>) -> Result<(), Denial> {
        self.lead(now, term);
        let OutgoingRequest { team, program, need } = asked;
        match self.teams.get_mut(team) {
            None => Err(Denial::UnknownTeam),
            Some(None) => Ok(()),
            Some(Some(account)) => account.take(now, program, need).map_err(Denial::OverLimit),
        }
    }

    /// Empties every account when a term begins: what the leader before let through is not known here. From empty, an account
    /// fills as if that leader had taken all there was, so that no window holds more than one leader could let through.
    fn lead(&mut self, now: Timestamp, term: u64) {
        if self.term == term {
            return;
        }
        self.term = term;
        for account in self.teams.values_mut().flatten() {
            account.empty(now);
        }
    }
}
