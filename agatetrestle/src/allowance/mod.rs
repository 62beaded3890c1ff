//! Rate limits of teams over all entries together.
//!
//! The leader of the state group that a team's name is assigned to holds the team's token bucket. Each request takes a token
//! before it is sent, so an entry that is cut off sends nothing uncounted. Leader changes and alternatives are covered in
//! docs/design/014-teams-and-whole-programs.md. The module is free of I/O and takes the time as an argument.

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

/// The position of a request in its program.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RequestKind {
    /// The first request of a program, which more will follow.
    Beginning,
    /// Any other request.
    Request,
}

/// A request that needs a token before it is sent.
#[derive(Clone, Copy, Debug)]
pub struct OutgoingRequest<'a> {
    /// The team that sends it.
    pub team: &'a str,
    /// The program that it belongs to, if any.
    pub program: Option<&'a Arc<str>>,
    /// Its position in the program.
    pub kind: RequestKind,
}

/// Why a request must not be sent.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Denial {
    /// The team is over its rate limit and may retry after this time.
    OverLimit(Duration),
    /// The team's configuration has not arrived yet.
    UnknownTeam,
}

/// The token buckets of all teams of a state group.
#[derive(Debug)]
pub struct RateLimiter {
    bounds: AllowanceBounds,
    /// The term that the buckets are valid for.
    term: u64,
    /// `None` for a team without a limit.
    teams: HashMap<Arc<str>, Option<TokenBucket>>,
}

impl RateLimiter {
    /// Starts without teams.
    #[must_use]
    pub fn new(bounds: AllowanceBounds) -> Self {
        Self { bounds, term: 0, teams: HashMap::new() }
    }

    /// Replaces the configured teams. A team that remains keeps its bucket; tokens beyond a lowered limit are dropped.
    pub fn set_teams(&mut self, now: Timestamp, teams: &[Arc<Team>]) {
        let bounds = self.bounds;
        let mut previous = std::mem::take(&mut self.teams);
        let buckets = teams.iter().map(|team| {
            let bucket = team.rate_limit.map(|limit| {
                let existing = previous.remove(&team.name).flatten();
                let mut bucket = existing.unwrap_or_else(|| TokenBucket::new(now));
                bucket.set_limit(now, limit, bounds);
                bucket
            });
            (team.name.clone(), bucket)
        });
        self.teams = buckets.collect();
    }

    /// Takes a token from a team's bucket, as the leader of `term`.
    ///
    /// # Errors
    ///
    /// The reason why the request must not be sent.
    pub fn take(&mut self, now: Timestamp, term: u64, request: OutgoingRequest<'_>) -> Result<(), Denial> {
        self.start_term(now, term);
        let OutgoingRequest { team, program, kind } = request;
        match self.teams.get_mut(team) {
            None => Err(Denial::UnknownTeam),
            Some(None) => Ok(()),
            Some(Some(bucket)) => bucket.take(now, program, kind).map_err(Denial::OverLimit),
        }
    }

    /// Returns the token of a request that is not sent after all. Tokens of an earlier term are lost.
    pub fn refund(&mut self, term: u64, request: OutgoingRequest<'_>) {
        let OutgoingRequest { team, program, kind } = request;
        if self.term == term
            && let Some(Some(bucket)) = self.teams.get_mut(team)
        {
            bucket.refund(program, kind);
        }
    }

    /// Empties all buckets when a term begins, as if the previous leader had granted every token. Thus no window exceeds the
    /// limit across a change of leader.
    fn start_term(&mut self, now: Timestamp, term: u64) {
        if self.term == term {
            return;
        }
        self.term = term;
        for bucket in self.teams.values_mut().flatten() {
            bucket.clear(now);
        }
    }
}
