//! What a control replica answers to heartbeats: the member table beside the control group.

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
use crate::node::group::Verdict;
use crate::node::links::Links;

/// The control replica's side of heartbeats.
pub struct Registry {
    group: Rc<Group<ControlState>>,
    table: RefCell<MemberTable>,
    links: Rc<Links>,
    clock: Clock,
    lease: Duration,
}

impl Registry {
    /// A registry for heartbeats of an interval; it grants leases of the given length. `epoch` is the node's
    /// incarnation.
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

    /// Takes in a heartbeat. Only a leader that proved itself after the heartbeat came grants a lease.
    pub async fn heartbeat(&self, beat: Heartbeat) -> Digest {
        let (node, address, position) = (beat.node, beat.peer_address.parse(), beat.position);
        let newest = self.table.borrow_mut().record(self.clock.now(), beat);
        if let (true, Ok(address)) = (newest, address) {
            // Learnt first hand, because without a leader no digest tells where a replaced VM now is.
            self.links.learn(node, address);
        }
        let confirmed = self.group.leads() && self.group.ready().await == Verdict::Ready;
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

    /// The configuration on this replica, which may lag.
    #[must_use]
    pub fn configuration(&self) -> Arc<Configuration> {
        self.group.machine(ControlState::configuration)
    }
}
