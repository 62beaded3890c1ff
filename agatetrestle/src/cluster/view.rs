//! The view that a process has of the deployment, built from updates.

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
use crate::codec::Compressed;
use crate::control::command::Document;
use crate::dispatch::Instance;
use crate::ids::NodeId;

/// Receives notifications of changes to the view.
pub trait Watcher {
    /// The routes changed.
    fn routes(&self, _document: &Document) {}

    /// The backend servers changed.
    fn backends(&self, _instances: &[Instance]) {}

    /// The members changed.
    fn members(&self, _members: &[Member]) {}
}

/// A watcher that ignores all notifications.
pub struct NoopWatcher;

impl Watcher for NoopWatcher {}

/// The view of one process. Lists of a lower version are ignored.
pub struct ClusterView {
    known: Cell<KnownVersions>,
    leader: Cell<Option<(NodeId, SocketAddrV4)>>,
    control: RefCell<BTreeMap<NodeId, SocketAddrV4>>,
    members: RefCell<Vec<Member>>,
    instances: RefCell<Rc<Vec<Instance>>>,
    groups: Cell<usize>,
    initial_voters: RefCell<Vec<BTreeSet<NodeId>>>,
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
            initial_voters: RefCell::default(),
            leaving: RefCell::default(),
            confirmed_at: Cell::default(),
            watcher: RefCell::new(Rc::new(NoopWatcher)),
        }
    }
}

impl ClusterView {
    /// Sets the watcher, which replaces the previous one.
    pub fn watch(&self, watcher: Rc<dyn Watcher>) {
        self.watcher.replace(watcher);
    }

    /// Applies an update; `sent_at` is when its report was sent. Of an unconfirmed update, only the control addresses count.
    pub fn apply_update(&self, sent_at: Timestamp, update: Update) {
        self.control.borrow_mut().extend(update.control);
        if !update.confirmed {
            return;
        }
        self.leader.set(update.leader);
        self.confirmed_at.set(Some(sent_at));
        self.groups.set(update.groups);
        self.initial_voters.replace(update.founding);
        self.leaving.replace(update.leaving);
        let mut known = self.known.get();
        let watcher = self.watcher.borrow().clone();
        if let Some(document) = decode_newer::<_, Document>(&mut known.revision, update.routes) {
            watcher.routes(&document);
        }
        let base = known.backends;
        if let Some(change) = decode_newer::<_, BackendChange>(&mut known.backends, update.backends) {
            match change.apply(base, &self.instances()) {
                Some(instances) => {
                    watcher.backends(&instances);
                    self.instances.replace(Rc::new(instances));
                }
                // The next report requests a change from the unchanged base version.
                None => known.backends = base,
            }
        }
        if let Some(members) = decode_newer::<_, Vec<Member>>(&mut known.members, update.members) {
            watcher.members(&members);
            self.members.replace(members);
        }
        self.known.set(known);
    }

    /// The versions that the process holds, as sent in its reports.
    #[must_use]
    pub fn known(&self) -> KnownVersions {
        self.known.get()
    }

    /// The control leader according to the last confirmed update.
    #[must_use]
    pub fn leader(&self) -> Option<(NodeId, SocketAddrV4)> {
        self.leader.get()
    }

    /// All control replicas named in any update.
    #[must_use]
    pub fn control(&self) -> BTreeMap<NodeId, SocketAddrV4> {
        self.control.borrow().clone()
    }

    /// The members according to the last list.
    #[must_use]
    pub fn members(&self) -> Vec<Member> {
        self.members.borrow().clone()
    }

    /// The stores according to the last list.
    #[must_use]
    pub fn stores(&self) -> Vec<Member> {
        self.members.borrow().iter().filter(|member| member.role == Role::Store).cloned().collect()
    }

    /// The backend servers according to the last list.
    #[must_use]
    pub fn instances(&self) -> Rc<Vec<Instance>> {
        self.instances.borrow().clone()
    }

    /// Number of state groups; 0 if it is not known yet.
    #[must_use]
    pub fn groups(&self) -> usize {
        self.groups.get()
    }

    /// The initial voters of each state group, while this process is a store that is not ready yet.
    #[must_use]
    pub fn initial_voters(&self) -> Vec<BTreeSet<NodeId>> {
        self.initial_voters.borrow().clone()
    }

    /// Whether a VM is being drained.
    #[must_use]
    pub fn is_leaving(&self, vm: &str) -> bool {
        self.leaving.borrow().contains(vm)
    }

    /// When the report was sent that the last confirmed update answers.
    #[must_use]
    pub fn confirmed_at(&self) -> Option<Timestamp> {
        self.confirmed_at.get()
    }
}

/// Decodes a list of an update if it is newer than the known version. If decoding fails, for example because the sender runs
/// another version, the list is skipped and its version counts as known.
fn decode_newer<K: Ord, T: DeserializeOwned>(known: &mut K, list: Option<(K, Compressed)>) -> Option<T> {
    let (version, compressed) = list.filter(|(version, _)| version > known)?;
    *known = version;
    match compressed.decompress() {
        Ok(list) => Some(list),
        Err(error) => {
            warn!("Could not decode a list of an update: {error}.");
            None
        }
    }
}
