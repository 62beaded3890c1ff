//! Slots of backend servers, from the dispatch decision to their release.

use std::rc::Rc;
use std::time::Duration;

use futures::channel::oneshot;

use crate::clock::Timestamp;
use crate::dispatch::RejectReason;
use crate::dispatch::Request;
use crate::dispatch::RequestOutcome;
use crate::dispatch::RunProgress;
use crate::dispatch::ServerKey;
use crate::gateway::Gateway;

/// A slot held by a request. Dropping it unreleased reports the server as unresponsive if the response is
/// overdue, else the request as cancelled.
pub(super) struct ServerSlot {
    gateway: Rc<Gateway>,
    pub(super) server: ServerKey,
    ticket: u64,
    /// What was observed of the run so far.
    pub(super) progress: RunProgress,
    released: bool,
    /// When the response head is due, until it arrives.
    pub(super) response_due: Option<Timestamp>,
}

/// Why dispatch rejected a request.
#[derive(Clone, Copy, Debug)]
pub(super) struct DispatchRejection {
    pub(super) retry_after: Duration,
    pub(super) reason: RejectReason,
}

/// The result of dispatching one request.
pub(super) type Assignment = Result<ServerKey, DispatchRejection>;

/// A queued request. Dropping it withdraws the request, or releases the slot if one was already assigned.
struct QueuedRequest {
    gateway: Rc<Gateway>,
    ticket: u64,
    assignment: oneshot::Receiver<Assignment>,
}

impl Drop for QueuedRequest {
    fn drop(&mut self) {
        self.gateway.waiters.borrow_mut().remove(&self.ticket);
        match self.assignment.try_recv() {
            Ok(Some(Ok(server))) => self.gateway.release(server, self.ticket),
            Ok(Some(Err(_))) => {}
            _ => self.gateway.dispatch.borrow_mut().cancel(self.ticket),
        }
    }
}

impl ServerSlot {
    /// Queues the request until [`crate::dispatch`] assigns a slot or rejects it.
    pub(super) async fn acquire(
        gateway: &Rc<Gateway>,
        mut request: Request,
    ) -> Result<Self, DispatchRejection> {
        let ticket = gateway.next_ticket.get();
        gateway.next_ticket.set(ticket + 1);
        request.ticket = ticket;
        let (tx, assignment) = oneshot::channel();
        gateway.waiters.borrow_mut().insert(ticket, tx);
        let mut queued = QueuedRequest { gateway: gateway.clone(), ticket, assignment };
        let decisions = gateway.dispatch.borrow_mut().submit(gateway.clock.now(), request);
        gateway.apply(decisions);
        match (&mut queued.assignment).await {
            Ok(assignment) => {
                let server = assignment?;
                Ok(Self {
                    gateway: gateway.clone(),
                    server,
                    ticket,
                    progress: RunProgress::default(),
                    released: false,
                    response_due: None,
                })
            }
            Err(oneshot::Canceled) => Err(DispatchRejection {
                retry_after: Duration::from_millis(100),
                reason: RejectReason::QueueFull,
            }),
        }
    }

    /// Moves the slot to another server before the request is sent, if that server accepts it.
    pub(super) fn move_to(&mut self, server: ServerKey) {
        let now = self.gateway.clock.now();
        if self.gateway.dispatch.borrow_mut().reassign(now, self.server, server) {
            self.server = server;
        }
    }

    /// Releases the slot and reports how the attempt ended.
    pub(super) fn release(mut self, outcome: RequestOutcome) {
        self.finish(outcome);
    }

    fn finish(&mut self, outcome: RequestOutcome) {
        if std::mem::replace(&mut self.released, true) {
            return;
        }
        let now = self.gateway.clock.now();
        let decisions = self.gateway.dispatch.borrow_mut().finish_request(
            now,
            self.server,
            self.ticket,
            outcome,
            self.progress,
        );
        self.gateway.apply(decisions);
    }
}

impl Drop for ServerSlot {
    fn drop(&mut self) {
        let now = self.gateway.clock.now();
        let overdue = self.response_due.is_some_and(|due| now > due);
        self.finish(if overdue { RequestOutcome::Unresponsive } else { RequestOutcome::Cancelled });
    }
}
