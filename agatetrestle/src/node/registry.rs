//! Answers heartbeats on a control replica, from its member table and the control group.

use std::cell::RefCell;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use crate::clock::Clock;
use crate::control::command::Configuration;
use crate::control::state::ControlState;
use crate::members::message::Digest;
use crate::members::message::Heartbeat;
use crate::members::message::LeaveNotice;
use crate::members::table::MemberTable;
use crate::node::group::Group;
use crate::node::group::ProposalOutcome;
use crate::node::links::Links;

/// Records heartbeats on a control replica and answers them with digests.
pub struct MemberRegistry {
    group: Rc<Group<ControlState>>,
    table: RefCell<MemberTable>,
    links: Rc<Links>,
    clock: Clock,
    lease: Duration,
}

impl MemberRegistry {
    /// Creates a registry for heartbeats at `interval`, which grants leases of length `lease`. `epoch` is the incarnation of
    /// this node.
    #[must_use]
    pub fn new(
        group: Rc<Group<ControlState>>,
        links: Rc<Links>,
        clock: Clock,
        epoch: u64,
        interval: Duration,
        lease: Duration,
    ) -> Self {
        Self { group, table: RefCell::new(MemberTable::new(epoch, interval)), links, clock, lease }
    }

    /// Records a heartbeat. Only a leader whose leadership is confirmed after the heartbeat arrived grants a lease.
    pub async fn heartbeat(&self, heartbeat: Heartbeat) -> Digest {
        let (node, address, position) = (heartbeat.node, heartbeat.peer_address.parse(), heartbeat.position);
        let newest = self.table.borrow_mut().record(self.clock.now(), heartbeat);
        if let (true, Ok(address)) = (newest, address) {
            // Without a leader no digest carries the new address of a replaced VM.
            self.links.add_address(node, address);
        }
        let confirmed = self.group.leads() && self.group.read_barrier().await == ProposalOutcome::Ready;
        let configuration = self.configuration();
        if !confirmed {
            return Digest { revision: configuration.revision, ..Digest::default() };
        }
        let mut table = self.table.borrow_mut();
        for (name, incarnation) in &configuration.leaving {
            table.add_notice(&LeaveNotice { name: name.clone(), incarnation: *incarnation });
        }
        let digest = table.digest(self.clock.now(), position);
        Digest { revision: configuration.revision, lease: self.lease, ..digest }
    }

    /// Returns the configuration on this replica, which may be stale.
    #[must_use]
    pub fn configuration(&self) -> Arc<Configuration> {
        self.group.machine(ControlState::configuration)
    }
}
