//! The commit of a turn whose request was sent on the early answer of the turn's leader.
//!
//! The server may run the request meanwhile, but the caller gets nothing before the commit; see
//! docs/design/020-commit-latency.md.

use std::fmt;
use std::pin::pin;
use std::time::Duration;

use futures::future::Either;
use futures::future::LocalBoxFuture;
use futures::future::select;
use http::StatusCode;

use crate::clock::Clock;
use crate::clock::Timestamp;
use crate::gateway::Gateway;
use crate::gateway::context::ErrorResponse;
use crate::node::peer_link::with_deadline;
use crate::ports::GroupError;
use crate::turns::command::TurnReply;

/// The outcome of a begin at its state group.
type Reply = Result<TurnReply, GroupError>;

/// A commit that may still be under way. The default is complete.
#[derive(Default)]
pub(super) struct PendingCommit {
    reply: Option<LocalBoxFuture<'static, Reply>>,
    /// When the reservation started, with the clock that measures it; `None` without an early answer.
    started: Option<(Clock, Timestamp)>,
    took: Option<Duration>,
}

impl PendingCommit {
    pub(super) fn new(
        gateway: &Gateway,
        started_at: Timestamp,
        reply: Option<LocalBoxFuture<'static, Reply>>,
    ) -> Self {
        let started = reply.as_ref().map(|_| (gateway.clock, started_at));
        Self { reply, started, took: None }
    }

    /// Time from the start of the reservation to the commit; `None` until it is complete, and without an early answer.
    pub(super) fn took(&self) -> Option<Duration> {
        self.took
    }

    /// Runs an attempt while the commit is under way, and drops the attempt if the commit fails, which cancels the run.
    ///
    /// # Errors
    ///
    /// The response for the caller if the commit failed or its outcome is unknown.
    pub(super) async fn race<T>(&mut self, attempt: impl Future<Output = T>) -> Result<T, ErrorResponse> {
        let Some(reply) = self.reply.take() else {
            return Ok(attempt.await);
        };
        match select(pin!(attempt), reply).await {
            Either::Left((outcome, reply)) => {
                self.reply = Some(reply);
                Ok(outcome)
            }
            Either::Right((reply, attempt)) => {
                self.check(reply)?;
                Ok(attempt.await)
            }
        }
    }

    /// Waits for the commit, for at most `left`.
    ///
    /// # Errors
    ///
    /// As [`PendingCommit::race`].
    pub(super) async fn finish(&mut self, left: Duration) -> Result<(), ErrorResponse> {
        let Some(reply) = self.reply.take() else {
            return Ok(());
        };
        match with_deadline(left, reply).await {
            Some(reply) => self.check(reply),
            None => Err(not_committed("no answer in time")),
        }
    }

    fn check(&mut self, reply: Reply) -> Result<(), ErrorResponse> {
        match reply {
            Ok(TurnReply::Begun { .. }) => {
                self.took = self.started.map(|(clock, started_at)| clock.now().since(started_at));
                Ok(())
            }
            Ok(reply) => Err(not_committed(format!("the state group answered {reply:?}"))),
            Err(error) => Err(not_committed(error)),
        }
    }
}

/// A server may have run the request, so no status that promises otherwise is allowed.
fn not_committed(reason: impl fmt::Display) -> ErrorResponse {
    ErrorResponse::new(StatusCode::BAD_GATEWAY, format!("the turn is not committed: {reason}"))
}
