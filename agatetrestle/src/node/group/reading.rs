//! Read-only access to a replica and its state machine.

use std::time::Duration;

use crate::agreement::Rejection;
use crate::agreement::Replicas;
use crate::agreement::StateMachine;
use crate::clock::Timestamp;
use crate::ids::GroupId;
use crate::ids::NodeId;
use crate::node::group::Group;
use crate::ports::GroupView;

impl<M: StateMachine + 'static> Group<M> {
    /// Reads the state machine of this replica, which may be stale.
    pub fn machine<T>(&self, read: impl FnOnce(&M) -> T) -> T {
        read(&self.machine.borrow())
    }

    /// Whether this replica is the leader and its lease is valid.
    pub fn leads(&self) -> bool {
        self.replica.borrow().lease_valid(self.clock.now())
    }

    /// Whether this replica's lease is valid until a future time.
    pub fn leads_until(&self, time: Timestamp) -> bool {
        self.replica.borrow().lease_valid(time)
    }

    /// Whether this replica is the leader, its lease is valid, and it has committed an entry of its own term.
    pub fn confirms_leadership(&self) -> bool {
        self.replica.borrow().confirms_leadership(self.clock.now())
    }

    /// Checks whether the leader's log takes a command now, before any work is spent on it; see
    /// [`Replica::check_accepts_proposals`](crate::agreement::replica::Replica::check_accepts_proposals).
    ///
    /// # Errors
    ///
    /// The reason why it does not.
    pub fn check_accepts_proposals(&self, tolerance: u32) -> Result<(), Rejection> {
        self.replica.borrow().check_accepts_proposals(self.clock.now(), tolerance)
    }

    /// Index of the last log entry, committed or not.
    pub fn last_index(&self) -> u64 {
        self.replica.borrow().last_position().index
    }

    /// Index of the last command that the state machine has applied.
    pub fn applied_index(&self) -> u64 {
        self.applied.get().index
    }

    /// Returns the leader, if known.
    pub fn leader(&self) -> Option<NodeId> {
        self.replica.borrow().leader()
    }

    /// Whether `node` is the node of this replica.
    pub fn is_local(&self, node: NodeId) -> bool {
        self.replica.borrow().node() == node
    }

    /// Returns the ID of the group.
    pub fn id(&self) -> GroupId {
        self.id
    }

    /// Returns the current term.
    pub fn term(&self) -> u64 {
        self.replica.borrow().term()
    }

    /// Returns the current replica set, committed or not.
    pub fn replicas(&self) -> Replicas {
        self.replica.borrow().replicas().clone()
    }

    /// Returns the voters that have not answered this leader within `timeout`.
    pub fn silent_voters(&self, timeout: Duration) -> Vec<NodeId> {
        self.replica.borrow().silent_voters(self.clock.now(), timeout)
    }

    /// Returns a summary of the group for operators.
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
