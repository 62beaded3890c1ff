//! Limits the calls in flight on a connection, and detects whether it is idle.

use std::cell::Cell;
use std::rc::Rc;

use capnp::Error;

pub(super) const MAX_CALLS_IN_FLIGHT: u32 = 4;

/// Counts the calls of one connection.
#[derive(Default)]
pub(super) struct CallTracker {
    in_flight: Cell<u32>,
    started: Cell<u64>,
}

impl CallTracker {
    /// Fails with `Overloaded` if too many calls are in flight.
    pub(super) fn start(self: &Rc<Self>) -> Result<CallGuard, Error> {
        if self.in_flight.get() >= MAX_CALLS_IN_FLIGHT {
            return Err(Error::overloaded(format!(
                "{MAX_CALLS_IN_FLIGHT} calls are already in flight on this connection"
            )));
        }
        self.in_flight.set(self.in_flight.get() + 1);
        self.started.set(self.started.get() + 1);
        Ok(CallGuard(Rc::clone(self)))
    }

    /// Number of calls started so far.
    pub(super) fn started(&self) -> u64 {
        self.started.get()
    }

    /// Whether no call is in flight and none was started since [`Self::started`] returned `started`.
    pub(super) fn idle_since(&self, started: u64) -> bool {
        self.in_flight.get() == 0 && self.started.get() == started
    }
}

/// Counts a call as in flight until dropped.
pub(super) struct CallGuard(Rc<CallTracker>);

impl Drop for CallGuard {
    fn drop(&mut self) {
        self.0.in_flight.set(self.0.in_flight.get() - 1);
    }
}
