//! What operators see of this node's groups and backend servers.

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::sync::Arc;

use agatetrestle_config::declarations::BackendKind;

use crate::agreement::StateMachine;
use crate::attempts::catalog;
use crate::node::control_port::ControlPort;
use crate::node::group::Group;
use crate::ports::BackendView;
use crate::ports::Backends;
use crate::ports::Control;
use crate::ports::GroupView;
use crate::ports::Groups;
use crate::scheduler::BackendState;
use crate::scheduler::Scheduler;

/// A group of which only the listing matters here.
pub trait Viewed {
    /// The group as operators see it.
    fn view(&self) -> GroupView;
}

impl<M: StateMachine + 'static> Viewed for Group<M> {
    fn view(&self) -> GroupView {
        Group::view(self)
    }
}

/// The groups of which this node holds a replica.
#[derive(Default)]
pub struct GroupListing(pub Vec<Rc<dyn Viewed>>);

impl Groups for GroupListing {
    fn groups(&self) -> Vec<GroupView> {
        self.0.iter().map(|group| group.view()).collect()
    }
}

/// The declared backend servers with this node's load on them.
pub struct BackendListing {
    /// The decisions, for loads and states.
    pub scheduler: Rc<RefCell<Box<dyn Scheduler>>>,
    /// The declarations in force, for addresses.
    pub control: Rc<ControlPort>,
}

impl Backends for BackendListing {
    fn backends(&self) -> Vec<BackendView> {
        let documents = catalog::parse(&self.control.configuration());
        let (_, addresses) = catalog::build(&documents);
        let scheduler = self.scheduler.borrow();
        let view = |state: &BackendState| view(&**scheduler, &addresses, state);
        scheduler.loads().iter().filter_map(view).collect()
    }
}

fn view(
    scheduler: &dyn Scheduler,
    addresses: &HashMap<Arc<str>, std::net::SocketAddr>,
    state: &BackendState,
) -> Option<BackendView> {
    let backend = scheduler.backend(state.key)?;
    let address = addresses.get(&backend.name).map(ToString::to_string).unwrap_or_default();
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
