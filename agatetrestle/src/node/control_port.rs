//! The control group as the other slices see it: commands by its leader, and what is in force here.

use std::cell::Cell;
use std::cell::RefCell;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use futures::future::LocalBoxFuture;

use crate::clock::Clock;
use crate::clock::Timestamp;
use crate::codec::decode;
use crate::codec::encode;
use crate::control::command::Configuration;
use crate::control::command::ControlCommand;
use crate::control::command::ControlReply;
use crate::control::lease::LeasedConfig;
use crate::node::router::Router;
use crate::ports::Control;
use crate::ports::GroupError;
use crate::ports::NotTaking;

/// What is in force on this node, with a way to change it.
pub struct ControlPort {
    router: Rc<Router>,
    in_force: RefCell<LeasedConfig>,
    clock: Clock,
    drift: Duration,
    stopping: Rc<Cell<bool>>,
}

impl ControlPort {
    /// A port with nothing in force yet.
    #[must_use]
    pub fn new(router: Rc<Router>, clock: Clock, drift: Duration, stopping: Rc<Cell<bool>>) -> Self {
        Self { router, in_force: RefCell::default(), clock, drift, stopping }
    }

    /// Puts a newer configuration in force; returns whether it was newer.
    pub fn adopt(&self, configuration: Configuration) -> bool {
        self.in_force.borrow_mut().adopt(configuration)
    }

    /// Puts in force what changed since the revision in force; returns whether there was something new.
    pub fn adopt_changes(&self, changes: Configuration) -> bool {
        self.in_force.borrow_mut().adopt_changes(changes)
    }

    /// Renews the lease as of when the confirmation was asked for.
    pub fn renew(&self, sent: Timestamp, lease: Duration, revision: u64) {
        self.in_force.borrow_mut().renew(sent, lease, self.drift, revision);
    }

    async fn submit(&self, command: ControlCommand) -> Result<ControlReply, GroupError> {
        let reply = self.router.submit(encode(&command)).await?;
        decode(&reply).map_err(|failure| GroupError::Unknown { reason: failure.to_string().into() })
    }
}

impl Control for ControlPort {
    fn commit(&self, command: ControlCommand) -> LocalBoxFuture<'_, Result<ControlReply, GroupError>> {
        Box::pin(self.submit(command))
    }

    fn configuration(&self) -> Arc<Configuration> {
        self.in_force.borrow().configuration()
    }

    fn taking_work(&self) -> Result<(), NotTaking> {
        if self.stopping.get() {
            return Err(NotTaking::Stopping);
        }
        self.in_force.borrow().check_lease(self.clock.now())
    }
}
