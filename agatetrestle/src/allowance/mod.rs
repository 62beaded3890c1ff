//! Rate limits of teams over all entries together.
//!
//! The leader of the state group that a team's name is assigned to holds the team's sliding window. Each request is granted
//! by it before it is sent, so an entry that is cut off sends nothing uncounted. Leader changes and alternatives are covered in
//! docs/design/022-rate-limits-and-entry-selection.md. The module is free of I/O and takes the time as an argument.

mod account;
mod demand;
#[cfg(test)]
mod replay;
#[cfg(test)]
mod tests;
mod window;

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use agatetrestle_config::deployment::AllowanceBounds;

use crate::allowance::account::Account;
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

/// A request that must be granted before it is sent.
#[derive(Clone, Copy, Debug)]
pub struct OutgoingRequest<'a> {
    /// The team that sends it.
    pub team: &'a str,
    /// The program that it belongs to, if any.
    pub program: Option<&'a Arc<str>>,
    /// Its position in the program.
    pub kind: RequestKind,
}

/// What tells the size of a program; requests without it count as of a usual program of their team.
#[derive(Clone, Copy, Debug, Default)]
pub struct ProgramSize<'a> {
    /// The route that the request arrived on.
    pub route: Option<&'a Arc<str>>,
    /// Time until the program's deadline.
    pub finish_in: Option<Duration>,
}

/// Why a request must not be sent.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Denial {
    /// The team is over its rate limit and may retry after this time.
    OverLimit(Duration),
    /// The team's configuration has not arrived yet.
    UnknownTeam,
}

/// The rate limits of all teams of a state group.
#[derive(Debug)]
pub struct RateLimiter {
    bounds: AllowanceBounds,
    /// The term that the accounts are valid for.
    term: u64,
    /// `None` for a team without a limit.
    teams: HashMap<Arc<str>, Option<Account>>,
}

impl RateLimiter {
    /// Starts without teams.
    #[must_use]
    pub fn new(bounds: AllowanceBounds) -> Self {
        Self { bounds, term: 0, teams: HashMap::new() }
    }

    /// Replaces the configured teams. A team that remains keeps its account.
    pub fn set_teams(&mut self, now: Timestamp, teams: &[Arc<Team>]) {
        let bounds = self.bounds;
        let mut previous = std::mem::take(&mut self.teams);
        let accounts = teams.iter().map(|team| {
            let account = team.rate_limit.map(|limit| {
                let Some(mut existing) = previous.remove(&team.name).flatten() else {
                    return Account::new(now, limit, bounds);
                };
                existing.set_limit(now, limit, bounds);
                existing
            });
            (team.name.clone(), account)
        });
        self.teams = accounts.collect();
    }

    /// Grants a request of a program of usual size, as the leader of `term`.
    ///
    /// # Errors
    ///
    /// The reason why the request must not be sent.
    pub fn take(&mut self, now: Timestamp, term: u64, request: OutgoingRequest<'_>) -> Result<(), Denial> {
        self.take_sized(now, term, request, ProgramSize::default())
    }

    /// Grants a request of a program whose size is indicated, as the leader of `term`.
    ///
    /// # Errors
    ///
    /// The reason why the request must not be sent.
    pub fn take_sized(
        &mut self,
        now: Timestamp,
        term: u64,
        request: OutgoingRequest<'_>,
        size: ProgramSize<'_>,
    ) -> Result<(), Denial> {
        self.start_term(now, term);
        let OutgoingRequest { team, program, kind } = request;
        match self.teams.get_mut(team) {
            None => Err(Denial::UnknownTeam),
            Some(None) => Ok(()),
            Some(Some(account)) => account.take(now, program, kind, size).map_err(Denial::OverLimit),
        }
    }

    /// Fills all windows when a term begins, as if the previous leader had granted all that the limits allow. Thus no window
    /// exceeds the limit across a change of leader.
    fn start_term(&mut self, now: Timestamp, term: u64) {
        if self.term == term {
            return;
        }
        self.term = term;
        for account in self.teams.values_mut().flatten() {
            account.start_term(now);
        }
    }
}
