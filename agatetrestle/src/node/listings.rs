//! Listings of this node's groups and backend servers for operators.

use std::cell::RefCell;
use std::rc::Rc;

use agatetrestle_config::declarations::BackendKind;
use futures::future::LocalBoxFuture;

use crate::agreement::Rejection;
use crate::agreement::ReplicaChange;
use crate::agreement::StateMachine;
use crate::attempts::catalog;
use crate::attempts::catalog::Endpoints;
use crate::ids::GroupId;
use crate::node::control_port::ControlPort;
use crate::node::group::Group;
use crate::node::group::ProposalOutcome;
use crate::ports::BackendView;
use crate::ports::Backends;
use crate::ports::ChangeError;
use crate::ports::Control;
use crate::ports::GroupView;
use crate::ports::Groups;
use crate::scheduler::BackendState;
use crate::scheduler::Scheduler;

/// A group in listings, regardless of its state machine.
pub trait ListedGroup {
    /// Returns a summary of the group.
    fn view(&self) -> GroupView;

    /// Changes the replica set.
    fn change(&self, change: ReplicaChange) -> LocalBoxFuture<'_, ProposalOutcome>;
}

impl<M: StateMachine + 'static> ListedGroup for Group<M> {
    fn view(&self) -> GroupView {
        Group::view(self)
    }

    fn change(&self, change: ReplicaChange) -> LocalBoxFuture<'_, ProposalOutcome> {
        Box::pin(self.change_replicas(change))
    }
}

/// The groups that this node has replicas of.
#[derive(Default)]
pub struct GroupListing(pub Vec<Rc<dyn ListedGroup>>);

impl Groups for GroupListing {
    fn groups(&self) -> Vec<GroupView> {
        self.0.iter().map(|group| group.view()).collect()
    }

    fn change(&self, id: GroupId, change: ReplicaChange) -> LocalBoxFuture<'_, Result<(), ChangeError>> {
        Box::pin(async move {
            let group = self.0.iter().find(|group| group.view().group == id);
            let group = group.ok_or(ChangeError::NoReplica { group: id })?;
            change_result(&group.change(change).await)
        })
    }
}

fn change_result(outcome: &ProposalOutcome) -> Result<(), ChangeError> {
    match outcome {
        ProposalOutcome::Changed => Ok(()),
        ProposalOutcome::Rejected(Rejection::NotLeader(leader)) => {
            Err(ChangeError::NotLeader { leader: *leader })
        }
        ProposalOutcome::Rejected(Rejection::Busy | Rejection::ChangePending) => Err(ChangeError::Pending),
        ProposalOutcome::Rejected(Rejection::InvalidChange) => Err(ChangeError::Invalid),
        ProposalOutcome::Applied(_) | ProposalOutcome::Ready | ProposalOutcome::Unknown => {
            Err(ChangeError::Undecided)
        }
    }
}

/// The declared backend servers with the load from this node.
pub struct BackendListing {
    /// Provides loads and states.
    pub scheduler: Rc<RefCell<Box<dyn Scheduler>>>,
    /// Provides the declarations in force, for addresses.
    pub control: Rc<ControlPort>,
}

impl Backends for BackendListing {
    fn backends(&self) -> Vec<BackendView> {
        let documents = catalog::parse(&self.control.configuration());
        let (_, endpoints) = catalog::build(&documents);
        let scheduler = self.scheduler.borrow();
        let view = |state: &BackendState| backend_view(&**scheduler, &endpoints, state);
        scheduler.backend_states().iter().filter_map(view).collect()
    }
}

fn backend_view(
    scheduler: &dyn Scheduler,
    endpoints: &Endpoints,
    state: &BackendState,
) -> Option<BackendView> {
    let backend = scheduler.backend(state.key)?;
    let address =
        endpoints.get(&backend.name).map(|endpoint| endpoint.address.to_string()).unwrap_or_default();
    let kind = match backend.kind {
        BackendKind::Engine => "engine",
        BackendKind::Service => "service",
    };
    Some(BackendView {
        name: backend.name.clone(),
        kind: kind.into(),
        address: address.into(),
        state: state.state.into(),
        running: state.running,
        waiting: 0,
    })
}
