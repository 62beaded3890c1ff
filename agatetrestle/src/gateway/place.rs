//! A place at a backend server, from the decision to the end of its use.

use std::rc::Rc;
use std::time::Duration;

use futures::channel::oneshot;

use crate::clock::Timestamp;
use crate::dispatch::RejectReason;
use crate::dispatch::Request;
use crate::dispatch::RequestOutcome;
use crate::dispatch::ServerKey;
use crate::gateway::Gateway;

/// A place that a request holds. Dropped without a word it counts as given up by this node.
pub(super) struct Place {
    gateway: Rc<Gateway>,
    pub(super) server: ServerKey,
    released: bool,
    /// When the head of the answer should have come, while it has not.
    pub(super) silent_after: Option<Timestamp>,
}

/// A request that was turned away.
#[derive(Clone, Copy, Debug)]
pub(super) struct TurnedAway {
    pub(super) retry_after: Duration,
    pub(super) reason: RejectReason,
}

/// What a request that waited was given.
pub(super) type Found = Result<ServerKey, TurnedAway>;

/// A request that waits for its decision; dropped, it is withdrawn, or what it was given is given back.
struct Waiting {
    gateway: Rc<Gateway>,
    ticket: u64,
    found: oneshot::Receiver<Found>,
}

impl Drop for Waiting {
    fn drop(&mut self) {
        self.gateway.waiting.borrow_mut().remove(&self.ticket);
        match self.found.try_recv() {
            Ok(Some(Ok(server))) => self.gateway.give_back(server),
            Ok(Some(Err(_))) => {}
            _ => self.gateway.dispatch.borrow_mut().cancel(self.ticket),
        }
    }
}

impl Place {
    /// Waits for a place, as long as [`crate::dispatch`] lets the request wait.
    pub(super) async fn find(gateway: &Rc<Gateway>, mut request: Request) -> Result<Self, TurnedAway> {
        let ticket = gateway.next_ticket.get();
        gateway.next_ticket.set(ticket + 1);
        request.ticket = ticket;
        let (tx, found) = oneshot::channel();
        gateway.waiting.borrow_mut().insert(ticket, tx);
        let mut waiting = Waiting { gateway: gateway.clone(), ticket, found };
        let decisions = gateway.dispatch.borrow_mut().submit(gateway.clock.now(), request);
        gateway.carry_out(decisions);
        match (&mut waiting.found).await {
            Ok(found) => {
                let server = found?;
                Ok(Self { gateway: gateway.clone(), server, released: false, silent_after: None })
            }
            Err(oneshot::Canceled) => {
                Err(TurnedAway { retry_after: Duration::from_millis(100), reason: RejectReason::QueueFull })
            }
        }
    }

    /// Gives the place back and tells how its use ended.
    pub(super) fn release(mut self, outcome: RequestOutcome) {
        self.give_back(outcome);
    }

    fn give_back(&mut self, outcome: RequestOutcome) {
        if std::mem::replace(&mut self.released, true) {
            return;
        }
        let now = self.gateway.clock.now();
        let decisions = self.gateway.dispatch.borrow_mut().finish(now, self.server, outcome);
        self.gateway.carry_out(decisions);
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        let now = self.gateway.clock.now();
        let silent = self.silent_after.is_some_and(|after| now > after);
        self.give_back(if silent { RequestOutcome::Unresponsive } else { RequestOutcome::Cancelled });
    }
}
