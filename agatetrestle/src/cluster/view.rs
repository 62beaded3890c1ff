//! What a process knows of the deployment, by the updates it got.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddrV4;
use std::rc::Rc;
use std::sync::Arc;

use agatetrestle_config::deployment::Role;
use log::warn;
use serde::de::DeserializeOwned;

use crate::clock::Timestamp;
use crate::cluster::backends::BackendChange;
use crate::cluster::message::KnownVersions;
use crate::cluster::message::Member;
use crate::cluster::message::Update;
use crate::codec::Packed;
use crate::control::command::Document;
use crate::dispatch::Instance;
use crate::ids::NodeId;

/// Notified of each part that changes.
pub trait Watcher {
    /// Another table of routes is in force.
    fn routes(&self, _document: &Document) {}

    /// The backend servers changed.
    fn backends(&self, _instances: &[Instance]) {}

    /// The members changed.
    fn members(&self, _members: &[Member]) {}
}

/// A watcher that takes nothing in.
pub struct NoopWatcher;

impl Watcher for NoopWatcher {}

/// What a process knows. Lists only go forward: an edition of an older term is not believed.
pub struct ClusterView {
    known: Cell<KnownVersions>,
    leader: Cell<Option<(NodeId, SocketAddrV4)>>,
    control: RefCell<BTreeMap<NodeId, SocketAddrV4>>,
    members: RefCell<Vec<Member>>,
    instances: RefCell<Rc<Vec<Instance>>>,
    groups: Cell<usize>,
    founding: RefCell<Vec<BTreeSet<NodeId>>>,
    leaving: RefCell<BTreeSet<Arc<str>>>,
    confirmed_at: Cell<Option<Timestamp>>,
    watcher: RefCell<Rc<dyn Watcher>>,
}

impl Default for ClusterView {
    fn default() -> Self {
        Self {
            known: Cell::default(),
            leader: Cell::default(),
            control: RefCell::default(),
            members: RefCell::default(),
            instances: RefCell::default(),
            groups: Cell::default(),
            founding: RefCell::default(),
            leaving: RefCell::default(),
            confirmed_at: Cell::default(),
            watcher: RefCell::new(Rc::new(NoopWatcher)),
        }
    }
}

impl ClusterView {
    /// Sets who is notified of changes.
    pub fn watch(&self, watcher: Rc<dyn Watcher>) {
        self.watcher.replace(watcher);
    }

    /// Takes in an update; `asked` is when the report went out. One that is not confirmed tells only where
    /// control is.
    pub fn apply_update(&self, asked: Timestamp, update: Update) {
        self.control.borrow_mut().extend(update.control);
        if !update.confirmed {
            return;
        }
        self.leader.set(update.leader);
        self.confirmed_at.set(Some(asked));
        self.groups.set(update.groups);
        self.founding.replace(update.founding);
        self.leaving.replace(update.leaving);
        let mut known = self.known.get();
        let watcher = self.watcher.borrow().clone();
        if let Some(document) = newer::<_, Document>(&mut known.revision, update.routes) {
            watcher.routes(&document);
        }
        let edition = known.backends;
        if let Some(change) = newer::<_, BackendChange>(&mut known.backends, update.backends) {
            match change.apply(edition, &self.instances()) {
                Some(instances) => {
                    watcher.backends(&instances);
                    self.instances.replace(Rc::new(instances));
                }
                // The next report asks from this edition on.
                None => known.backends = edition,
            }
        }
        if let Some(members) = newer::<_, Vec<Member>>(&mut known.members, update.members) {
            watcher.members(&members);
            self.members.replace(members);
        }
        self.known.set(known);
    }

    /// The editions that the process holds.
    #[must_use]
    pub fn known(&self) -> KnownVersions {
        self.known.get()
    }

    /// The control leader, by the last confirmed update.
    #[must_use]
    pub fn leader(&self) -> Option<(NodeId, SocketAddrV4)> {
        self.leader.get()
    }

    /// All control replicas that any update named.
    #[must_use]
    pub fn control(&self) -> BTreeMap<NodeId, SocketAddrV4> {
        self.control.borrow().clone()
    }

    /// The members by the last list.
    #[must_use]
    pub fn members(&self) -> Vec<Member> {
        self.members.borrow().clone()
    }

    /// The stores by the last list.
    #[must_use]
    pub fn stores(&self) -> Vec<Member> {
        self.members.borrow().iter().filter(|member| member.role == Role::Store).cloned().collect()
    }

    /// The backend servers by the last list.
    #[must_use]
    pub fn instances(&self) -> Rc<Vec<Instance>> {
        self.instances.borrow().clone()
    }

    /// Number of state groups; 0 before an update named any.
    #[must_use]
    pub fn groups(&self) -> usize {
        self.groups.get()
    }

    /// The first voters of each state group, while this process is a store that is not opened yet.
    #[must_use]
    pub fn initial_voters(&self) -> Vec<BTreeSet<NodeId>> {
        self.founding.borrow().clone()
    }

    /// Whether a VM is to be emptied.
    #[must_use]
    pub fn is_leaving(&self, vm: &str) -> bool {
        self.leaving.borrow().contains(vm)
    }

    /// When the report went out to which the last confirmed update was the answer.
    #[must_use]
    pub fn confirmed_at(&self) -> Option<Timestamp> {
        self.confirmed_at.get()
    }
}

/// A part of an update, if it is newer than what is known. What can't be read comes from another build: the process goes on with
/// what it has, and asks for it no more.
fn newer<K: Ord, T: DeserializeOwned>(known: &mut K, part: Option<(K, Packed)>) -> Option<T> {
    let (edition, packed) = part.filter(|(edition, _)| edition > known)?;
    *known = edition;
    match packed.unpack() {
        Ok(list) => Some(list),
        Err(failure) => {
            warn!("A part of an update can't be read: {failure}.");
            None
        }
    }
}
