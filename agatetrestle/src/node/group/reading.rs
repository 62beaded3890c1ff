//! What a replica tells of itself and its group without changing anything.

use std::time::Duration;

use crate::agreement::Replicas;
use crate::agreement::StateMachine;
use crate::clock::Timestamp;
use crate::ids::NodeId;
use crate::node::group::Group;
use crate::ports::GroupView;

impl<M: StateMachine + 'static> Group<M> {
    /// Reads the state machine as it is on this replica, which may lag.
    pub fn machine<T>(&self, read: impl FnOnce(&M) -> T) -> T {
        read(&self.machine.borrow())
    }

    /// Whether this replica leads and its lease holds.
    pub fn leads(&self) -> bool {
        self.replica.borrow().lease_valid(self.clock.now())
    }

    /// Whether this replica's lease holds until a time that lies ahead.
    pub fn leads_until(&self, then: Timestamp) -> bool {
        self.replica.borrow().lease_valid(then)
    }

    /// The leader, if known.
    pub fn leader(&self) -> Option<NodeId> {
        self.replica.borrow().leader()
    }

    /// Whether a node is the one that holds this replica.
    pub fn is_local(&self, node: NodeId) -> bool {
        self.replica.borrow().node() == node
    }

    /// The term, for fencing.
    pub fn term(&self) -> u64 {
        self.replica.borrow().term()
    }

    /// Who takes part; a set that is not committed yet counts already.
    pub fn replicas(&self) -> Replicas {
        self.replica.borrow().replicas().clone()
    }

    /// The voters that have not answered this leader within `span`.
    pub fn silent_voters(&self, span: Duration) -> Vec<NodeId> {
        self.replica.borrow().silent_voters(self.clock.now(), span)
    }

    /// The group as operators see it.
    pub fn view(&self) -> GroupView {
        let replica = self.replica.borrow();
        GroupView {
            group: self.id,
            leader: replica.leader(),
            term: replica.term(),
            commit: replica.commit(),
            replicas: replica.replicas().voters.iter().copied().collect(),
        }
    }
}
