//! The calls of one connection: how many are under way, and whether the connection is idle.

use std::cell::Cell;
use std::rc::Rc;

use capnp::Error;

/// Calls that one connection may have under way at once.
pub(super) const MAX_CALLS: u32 = 4;

/// The calls of one connection.
#[derive(Default)]
pub(super) struct Calls {
    under_way: Cell<u32>,
    begun: Cell<u64>,
}

impl Calls {
    /// Begins a call, or tells the operator to come back.
    pub(super) fn begin(self: &Rc<Self>) -> Result<Call, Error> {
        if self.under_way.get() >= MAX_CALLS {
            return Err(Error::overloaded(format!("{MAX_CALLS} calls are under way already")));
        }
        self.under_way.set(self.under_way.get() + 1);
        self.begun.set(self.begun.get() + 1);
        Ok(Call(Rc::clone(self)))
    }

    /// Calls begun so far, to compare with later.
    pub(super) fn begun(&self) -> u64 {
        self.begun.get()
    }

    /// Whether nothing is under way and nothing has begun since so many calls.
    pub(super) fn idle_since(&self, begun: u64) -> bool {
        self.under_way.get() == 0 && self.begun.get() == begun
    }
}

/// A call under way; dropping it lets the next one begin.
pub(super) struct Call(Rc<Calls>);

impl Drop for Call {
    fn drop(&mut self) {
        self.0.under_way.set(self.0.under_way.get() - 1);
    }
}
