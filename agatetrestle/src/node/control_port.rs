//! Access to the control group: commands through its leader, and the configuration in force on this node.

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
use crate::ports::NotTakingWork;

/// The configuration in force on this node, and the router for commands to the control group.
pub struct ControlPort {
    router: Rc<Router>,
    configuration: RefCell<LeasedConfig>,
    clock: Clock,
    clock_drift: Duration,
    stopping: Rc<Cell<bool>>,
}

impl ControlPort {
    /// Creates a port without a configuration.
    #[must_use]
    pub fn new(router: Rc<Router>, clock: Clock, clock_drift: Duration, stopping: Rc<Cell<bool>>) -> Self {
        Self { router, configuration: RefCell::default(), clock, clock_drift, stopping }
    }

    /// Replaces the configuration if the new one is newer; returns whether it was.
    pub fn adopt(&self, configuration: Configuration) -> bool {
        self.configuration.borrow_mut().adopt(configuration)
    }

    /// Applies changes since the revision in force; returns whether they were newer.
    pub fn adopt_changes(&self, changes: Configuration) -> bool {
        self.configuration.borrow_mut().adopt_changes(changes)
    }

    /// Renews the lease on the configuration, starting at `sent`, when the confirmation was requested.
    pub fn renew(&self, sent: Timestamp, lease: Duration, revision: u64) {
        self.configuration.borrow_mut().renew(sent, lease, self.clock_drift, revision);
    }

    async fn submit(&self, command: ControlCommand) -> Result<ControlReply, GroupError> {
        let reply = self.router.submit(encode(&command)).await?;
        decode(&reply).map_err(|error| GroupError::Unknown { reason: error.to_string().into() })
    }
}

impl Control for ControlPort {
    fn commit(&self, command: ControlCommand) -> LocalBoxFuture<'_, Result<ControlReply, GroupError>> {
        Box::pin(self.submit(command))
    }

    fn configuration(&self) -> Arc<Configuration> {
        self.configuration.borrow().configuration()
    }

    fn taking_work(&self) -> Result<(), NotTakingWork> {
        if self.stopping.get() {
            return Err(NotTakingWork::Stopping);
        }
        self.configuration.borrow().check_lease(self.clock.now())
    }
}
