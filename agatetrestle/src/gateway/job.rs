//! A request that was read, with everything that the way to its answer needs, and the answer where there is none to pass on.

use std::fmt;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::StatusCode;
use http::request::Parts;

use crate::clock::Timestamp;
use crate::gateway::turn::Keeping;
use crate::gateway::wire::RequestHead;
use crate::routing::Route;
use crate::routing::Team;

/// When a caller may come back after a refusal that has nothing to do with load: a change of leader takes about so
/// long.
pub(super) const COME_BACK: Duration = Duration::from_millis(300);

/// Ranks of routes that are told apart within one rank of teams.
const MOST_RANKS: u8 = 16;
/// The same at a server, which knows ten ranks in all: two of routes, each for new programs and those that have begun.
const SERVER_RANKS: u8 = 4;
/// The least urgent rank that a server knows.
const LEAST_URGENT: u8 = 9;

/// An answer of this node's own.
#[derive(Clone, Debug)]
pub(super) struct Problem {
    pub(super) status: StatusCode,
    pub(super) reason: Arc<str>,
    pub(super) retry_after: Option<Duration>,
}

impl Problem {
    pub(super) fn new(status: StatusCode, reason: impl fmt::Display) -> Self {
        Self { status, reason: reason.to_string().into(), retry_after: None }
    }

    /// A promise that the request was not run and never will be.
    pub(super) fn not_run(reason: impl fmt::Display, retry_after: Duration) -> Self {
        let retry_after = Some(retry_after);
        Self { status: StatusCode::SERVICE_UNAVAILABLE, reason: reason.to_string().into(), retry_after }
    }
}

/// A request with everything that the way to its answer needs.
pub(super) struct Job {
    pub(super) head: Parts,
    pub(super) call: RequestHead,
    pub(super) attempt: Arc<str>,
    pub(super) route: Arc<Route>,
    pub(super) service: Arc<str>,
    /// Whose request it is, where teams are declared.
    pub(super) team: Option<Arc<Team>>,
    pub(super) tokens_per_event: u64,
    pub(super) arrived: Timestamp,
    pub(super) until: Timestamp,
    /// What the server is sent: the whole chain, then what the caller sent.
    pub(super) body: Bytes,
    /// Bytes of the chain at its start.
    pub(super) chain: usize,
    /// Whether its program has begun, as far as this node can tell.
    pub(super) begun: bool,
}

impl Job {
    /// Rank among all requests: that of its team goes before that of its route.
    pub(super) fn priority(&self) -> u8 {
        let of_route = self.route.priority.min(MOST_RANKS - 1);
        self.team
            .as_ref()
            .map_or(of_route, |team| team.priority.min(u8::MAX / MOST_RANKS - 1) * MOST_RANKS + of_route)
    }

    /// Rank that a server is told, of ten: team first, then route, then programs that have begun. A program whose time is
    /// up goes last, since each one that goes before others makes them late as well.
    pub(super) fn server_rank(&self, now: Timestamp) -> u8 {
        let left = self.call.finish_in.map(|left| (self.arrived + left).since(now));
        if left.is_some_and(|left| left.is_zero()) {
            return LEAST_URGENT;
        }
        let own = self.route.priority.saturating_mul(2).saturating_add(u8::from(!self.begun));
        let rank = match &self.team {
            Some(team) => {
                team.priority.saturating_mul(SERVER_RANKS).saturating_add(own.min(SERVER_RANKS - 1))
            }
            None => own,
        };
        rank.min(LEAST_URGENT)
    }

    /// Name of the team; empty where none is declared.
    pub(super) fn team_name(&self) -> Arc<str> {
        self.team.as_ref().map(|team| team.name.clone()).unwrap_or_default()
    }
}

/// What is to be kept of a turn, before its first event; none where the route keeps none.
pub(super) fn keeping(job: &Job) -> Option<Keeping> {
    let retention = job.route.retention?;
    let retention = u64::try_from(retention.as_millis()).unwrap_or(u64::MAX);
    let text = job.body[job.chain..].to_vec();
    Some(Keeping { previous: job.call.previous_turn.clone(), retention, text })
}
