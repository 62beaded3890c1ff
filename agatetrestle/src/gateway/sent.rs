//! Attempts that were sent to a server, and what becomes of those that bring their callers no success.
//!
//! How an exchange ended says little about its server: one that answers whole, or whose caller leaves, may end afterwards as
//! well as one that breaks off. So each of these attempts counts as a loss until its server is seen to run; see
//! docs/design/027-requests-that-end-servers.md.

use std::cell::Cell;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use crate::clock::Timestamp;
use crate::dispatch::ServerKey;
use crate::gateway::Gateway;
use crate::gateway::context::RequestContext;
use crate::gateway::losses;
use crate::gateway::losses::Admission;
use crate::gateway::losses::LossReport;
use crate::gateway::reserve;
use crate::gateway::resumption::is_resumable;
use crate::suspects::record::Admit;

/// How an attempt ended that brought its caller no success.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum FailureSign {
    /// The server broke off before the end of its response.
    BrokenOff,
    /// The server sent bytes that are no response to the request.
    Malformed,
    /// The server completed a response that reports its failure.
    ServerError,
    /// The server completed its response, which could not be retained.
    NotRetained,
    /// The server sent more than a response may have.
    TooLong,
    /// The server sent nothing for too long.
    Silent,
    /// The caller left, or the attempt was given up for another reason that is not the server's.
    Abandoned,
}

impl FailureSign {
    /// The sign in logs and metrics.
    pub(super) const fn name(self) -> &'static str {
        match self {
            Self::BrokenOff => "broken_off",
            Self::Malformed => "malformed",
            Self::ServerError => "server_error",
            Self::NotRetained => "not_retained",
            Self::TooLong => "too_long",
            Self::Silent => "silent",
            Self::Abandoned => "abandoned",
        }
    }

    /// Whether the server may still run the request, until its deadline.
    pub(super) const fn may_run(self) -> bool {
        matches!(self, Self::TooLong | Self::Silent | Self::Abandoned)
    }
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum State {
    Unsent,
    Sent,
    Resolved,
}

/// An attempt at one server. Dropping it after it was sent and before it is resolved reports it as abandoned.
pub(super) struct SentAttempt {
    gateway: Rc<Gateway>,
    admit: Admit,
    server: ServerKey,
    server_id: Arc<str>,
    route: Arc<str>,
    sent_at: Cell<Timestamp>,
    deadline: Timestamp,
    /// Whether nothing tells the request from those of other callers, which clear it by their completion.
    is_anonymous: bool,
    /// How long the end of a failed response waits for the report of the loss.
    report_wait: Duration,
    admission: Option<Rc<Admission>>,
    state: Cell<State>,
}

impl SentAttempt {
    /// An attempt that is not sent yet.
    pub(super) fn new(
        gateway: &Rc<Gateway>,
        ctx: &RequestContext,
        server: ServerKey,
        admission: Option<Rc<Admission>>,
    ) -> Rc<Self> {
        let report_wait = if reserve::needs_turn(ctx) || is_resumable(&ctx.route) {
            losses::MAX_GROUP_REPORT_WAIT
        } else {
            losses::MAX_REPORT_WAIT
        };
        Rc::new(Self {
            gateway: gateway.clone(),
            admit: losses::admit_of(gateway, ctx),
            server,
            server_id: gateway.identity(server).unwrap_or_default().0,
            route: ctx.route.name.clone(),
            sent_at: Cell::new(gateway.clock.now()),
            deadline: ctx.deadline,
            is_anonymous: ctx.metadata.affinity.is_none(),
            report_wait,
            admission,
            state: Cell::new(State::Unsent),
        })
    }

    /// Records that the request is about to be written.
    pub(super) fn start(&self) {
        self.sent_at.set(self.gateway.clock.now());
        self.state.set(State::Sent);
    }

    /// Records that the server has not run the request. Returns the permission, which is still valid.
    pub(super) fn decline(&self) -> Option<Rc<Admission>> {
        self.state.set(State::Resolved);
        self.admission.clone()
    }

    /// Records that the caller gets a complete success, which clears a request that other callers send too.
    pub(super) fn complete(&self) {
        self.state.set(State::Resolved);
        if self.is_anonymous {
            losses::clear_completed(&self.gateway, &self.admit);
        }
    }

    /// Whether the request may go on at one other server without permission: it was no suspect before, so that two servers at most
    /// end before it is one, and other requests with the same content do not hold it back. A server that broke off is more
    /// likely to have ended.
    pub(super) fn may_go_on_freely(&self, sign: FailureSign) -> bool {
        self.admission.is_none() && sign != FailureSign::BrokenOff
    }

    /// Records that the attempt failed, and waits for a short time until all entries in touch know the request as a suspect. With
    /// `goes_on`, returns the permission to send it to another server, if it gets one.
    pub(super) async fn fail(&self, sign: FailureSign, reason: &str, goes_on: bool) -> Option<Rc<Admission>> {
        let reply = self.report(sign, reason, goes_on);
        let wait = if goes_on {
            losses::permission_wait(self.deadline.since(self.gateway.clock.now()))
        } else {
            self.report_wait
        };
        if !losses::wait_for_report(&self.gateway, self.admit.fingerprint, reply, wait).await || !goes_on {
            return None;
        }
        let admission = self
            .admission
            .clone()
            .unwrap_or_else(|| Admission::new(self.gateway.clone(), self.admit.clone()));
        admission.resume();
        Some(admission)
    }

    /// Records that the attempt failed, for a caller that does not wait.
    pub(super) fn fail_unawaited(&self, sign: FailureSign, reason: &str) {
        drop(self.report(sign, reason, false));
    }

    fn report(&self, sign: FailureSign, reason: &str, goes_on: bool) -> losses::Reply {
        self.state.set(State::Resolved);
        if let Some(admission) = &self.admission {
            // The report ends it.
            admission.end();
        }
        let now = self.gateway.clock.now();
        let report = LossReport {
            admit: self.admit.clone(),
            server: self.server,
            server_id: self.server_id.clone(),
            route: self.route.clone(),
            run_time: now.since(self.sent_at.get()),
            runs_until: if sign.may_run() { self.deadline.max(now) } else { now },
        };
        losses::report_loss(&self.gateway, report, sign, reason, goes_on)
    }
}

impl Drop for SentAttempt {
    fn drop(&mut self) {
        if self.state.get() == State::Sent {
            self.fail_unawaited(FailureSign::Abandoned, "the caller left or the attempt was given up");
        }
    }
}
