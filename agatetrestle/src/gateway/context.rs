//! Per-request state, and the error responses that the gateway generates itself.

use std::fmt;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::HeaderValue;
use http::StatusCode;
use http::header::HOST;
use http::request::Parts;
use http::uri::PathAndQuery;

use crate::clock::Timestamp;
use crate::gateway::resumption::Received;
use crate::gateway::resumption::StreamBinding;
use crate::gateway::turn::Transcript;
use crate::gateway::wire::RequestMetadata;
use crate::routing::Route;
use crate::routing::Team;
use crate::suspects::Fingerprint;

/// Retry delay for errors that are unrelated to load; covers a leader election.
pub(super) const FAILOVER_RETRY_AFTER: Duration = Duration::from_millis(300);

/// Route priorities distinguished within one team priority.
const PRIORITIES_PER_TEAM: u8 = 16;
/// Server priorities per team priority: two of routes, each split into running and new programs.
const SERVER_PRIORITIES_PER_TEAM: u8 = 4;
/// The least urgent priority that a server accepts.
const LOWEST_SERVER_PRIORITY: u8 = 9;

/// A response that the gateway generates instead of forwarding one.
#[derive(Clone, Debug)]
pub(super) struct ErrorResponse {
    pub(super) status: StatusCode,
    pub(super) reason: Arc<str>,
    pub(super) retry_after: Option<Duration>,
    /// Whether the request is refused since servers ended under it.
    pub(super) is_suspect: bool,
}

impl ErrorResponse {
    pub(super) fn new(status: StatusCode, reason: impl fmt::Display) -> Self {
        Self { status, reason: reason.to_string().into(), retry_after: None, is_suspect: false }
    }

    /// A 503 guaranteeing that the request was not run and never will be.
    pub(super) fn not_run(reason: impl fmt::Display, retry_after: Duration) -> Self {
        let retry_after = Some(retry_after);
        Self { retry_after, ..Self::new(StatusCode::SERVICE_UNAVAILABLE, reason) }
    }
}

/// A parsed request with its route, team and deadline.
pub(super) struct RequestContext {
    pub(super) parts: Parts,
    pub(super) metadata: RequestMetadata,
    pub(super) attempt_id: Arc<str>,
    pub(super) route: Arc<Route>,
    pub(super) service: Arc<str>,
    /// The caller's team, if the table declares teams.
    pub(super) team: Option<Arc<Team>>,
    pub(super) tokens_per_event: u64,
    pub(super) arrived_at: Timestamp,
    pub(super) deadline: Timestamp,
    /// Body sent to the server: the text of earlier turns, then the caller's body.
    pub(super) body: Bytes,
    /// Length of the earlier turns at the start of `body`.
    pub(super) chain_bytes: usize,
    /// How long the caller said that it waits.
    pub(super) timeout: Duration,
    /// The software version that the stream is bound to, if its caller may resume it.
    pub(super) stream: StreamBinding,
    /// What the caller has received of the turn that it resumes.
    pub(super) received: Option<Received>,
    /// Whether this node knows that the program has run a turn before.
    pub(super) program_started: bool,
}

impl RequestContext {
    /// Priority in this node's queues, ordered by team and then by route.
    pub(super) fn priority(&self) -> u8 {
        let route = self.route.priority.min(PRIORITIES_PER_TEAM - 1);
        self.team.as_ref().map_or(route, |team| {
            team.priority.min(u8::MAX / PRIORITIES_PER_TEAM - 1) * PRIORITIES_PER_TEAM + route
        })
    }

    /// Priority sent to the server, ordered by team, route and whether the program has started. Programs past their
    /// deadline get the lowest priority, so that they do not delay others.
    pub(super) fn server_priority(&self, now: Timestamp) -> u8 {
        let left = self.metadata.finish_in.map(|left| (self.arrived_at + left).since(now));
        if left.is_some_and(|left| left.is_zero()) {
            return LOWEST_SERVER_PRIORITY;
        }
        let own = self.route.priority.saturating_mul(2).saturating_add(u8::from(!self.program_started));
        let priority = match &self.team {
            Some(team) => team
                .priority
                .saturating_mul(SERVER_PRIORITIES_PER_TEAM)
                .saturating_add(own.min(SERVER_PRIORITIES_PER_TEAM - 1)),
            None => own,
        };
        priority.min(LOWEST_SERVER_PRIORITY)
    }

    /// Identifies the request over all attempts of its caller.
    pub(super) fn fingerprint(&self) -> Fingerprint {
        fingerprint(&self.parts, &self.metadata, &self.team_name(), &self.body[self.chain_bytes..])
    }

    /// The team's name, or an empty string if there is no team.
    pub(super) fn team_name(&self) -> Arc<str> {
        self.team.as_ref().map(|team| team.name.clone()).unwrap_or_default()
    }
}

/// What all attempts of a caller at the same request have in common. The program is a part of it: programs that send the
/// same content do not share a record, and for requests without a body little else tells them apart.
pub(super) fn fingerprint(parts: &Parts, metadata: &RequestMetadata, team: &str, body: &[u8]) -> Fingerprint {
    let host = parts.headers.get(HOST).map_or(&b""[..], HeaderValue::as_bytes);
    let target = parts.uri.path_and_query().map_or("", PathAndQuery::as_str);
    let previous = metadata.previous_turn.as_deref().unwrap_or_default();
    let affinity = metadata.affinity.unwrap_or_default().to_le_bytes();
    Fingerprint::of(&[
        team.as_bytes(),
        parts.method.as_str().as_bytes(),
        host,
        target.as_bytes(),
        previous.as_bytes(),
        &affinity,
        body,
    ])
}

/// The transcript to retain, holding the caller's text and what it has received so far; `None` if the route retains no turns.
pub(super) fn transcript(ctx: &RequestContext) -> Option<Transcript> {
    let retention = ctx.route.retention?;
    let retention_ms = u64::try_from(retention.as_millis()).unwrap_or(u64::MAX);
    let received = ctx.received.as_ref().map_or(&[][..], |received| &received.text);
    let text = [&ctx.body[ctx.chain_bytes..], received].concat();
    Some(Transcript { previous: ctx.metadata.previous_turn.clone(), retention_ms, text })
}
