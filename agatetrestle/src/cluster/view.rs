//! The view that a process has of the deployment, built from updates.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddrV4;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use agatetrestle_config::deployment::Role;
use log::warn;
use serde::de::DeserializeOwned;

use crate::backends::BackendChange;
use crate::backends::Instance;
use crate::clock::Timestamp;
use crate::clock::micros;
use crate::cluster::message::KnownVersions;
use crate::cluster::message::ListVersion;
use crate::cluster::message::Member;
use crate::cluster::message::Update;
use crate::cluster::versioned::Item;
use crate::cluster::versioned::ListChange;
use crate::cluster::versioned::MemberChange;
use crate::cluster::versioned::Scope;
use crate::cluster::versioned::VersionedList;
use crate::codec::Compressed;
use crate::control::command::Document;
use crate::ids::NodeId;

/// Receives notifications of changes to the view.
pub trait Watcher {
    /// The routes changed.
    fn routes(&self, _document: &Document) {}

    /// The list of backend servers changed.
    fn backends(&self, _change: &BackendChange) {}

    /// The members changed.
    fn members(&self, _members: &[Member]) {}
}

/// A watcher that ignores all notifications.
pub struct NoopWatcher;

impl Watcher for NoopWatcher {}

/// The view of one process. Lists of a lower version are ignored. A control replica that leads maintains the lists itself, and
/// its successor continues those that it received.
pub struct ClusterView {
    revision: Cell<u64>,
    /// The routes as received, for processes that a relay passes them on to.
    routes: RefCell<Option<(u64, Compressed)>>,
    leader: Cell<Option<(NodeId, SocketAddrV4)>>,
    control: RefCell<BTreeMap<NodeId, SocketAddrV4>>,
    members: RefCell<VersionedList<Member>>,
    backends: RefCell<VersionedList<Instance>>,
    relayed_version: Cell<Option<u64>>,
    groups: Cell<usize>,
    initial_voters: RefCell<Vec<BTreeSet<NodeId>>>,
    leaving: RefCell<BTreeSet<Arc<str>>>,
    confirmed_at: Cell<Option<Timestamp>>,
    watcher: RefCell<Rc<dyn Watcher>>,
}

impl Default for ClusterView {
    fn default() -> Self {
        Self {
            revision: Cell::default(),
            routes: RefCell::default(),
            leader: Cell::default(),
            control: RefCell::default(),
            members: RefCell::default(),
            backends: RefCell::default(),
            relayed_version: Cell::default(),
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
        let age = Duration::from_millis(update.age_ms.into());
        self.confirmed_at.set(Some(Timestamp(sent_at.0.saturating_sub(micros(age)))));
        self.relayed_version.set(update.relayed_version);
        if update.relay.is_some() {
            // The relay sends the rest.
            return;
        }
        self.groups.set(update.groups);
        self.initial_voters.replace(update.founding);
        self.leaving.replace(update.leaving);
        self.apply_routes(update.routes);
        let watcher = self.watcher.borrow().clone();
        if let Some(change) = apply_change::<Instance, BackendChange>(&self.backends, update.backends) {
            watcher.backends(&change);
        }
        let changed = apply_change::<Member, MemberChange>(&self.members, update.member_change)
            .or_else(|| apply_change::<Member, Vec<Member>>(&self.members, update.members));
        if changed.is_some() {
            watcher.members(&self.members());
        }
    }

    fn apply_routes(&self, routes: Option<(u64, Compressed)>) {
        let Some((revision, compressed)) = routes.filter(|(revision, _)| *revision > self.revision.get())
        else {
            return;
        };
        self.revision.set(revision);
        if let Some(document) = decode_or_warn::<Document>(&compressed) {
            let watcher = self.watcher.borrow().clone();
            watcher.routes(&document);
        }
        self.routes.replace(Some((revision, compressed)));
    }

    /// The versions that the process holds, as sent in its reports.
    #[must_use]
    pub fn known(&self) -> KnownVersions {
        KnownVersions {
            revision: self.revision.get(),
            backends: self.backends.borrow().version(Scope::All),
            members: self.members.borrow().version(Scope::All),
        }
    }

    /// The routes as received, with their revision.
    #[must_use]
    pub fn routes(&self) -> Option<(u64, Compressed)> {
        self.routes.borrow().clone()
    }

    /// The list of backend servers.
    #[must_use]
    pub fn backends(&self) -> &RefCell<VersionedList<Instance>> {
        &self.backends
    }

    /// The list of members.
    #[must_use]
    pub fn member_list(&self) -> &RefCell<VersionedList<Member>> {
        &self.members
    }

    /// Version of the relayed members that the leader has from this process.
    #[must_use]
    pub fn relayed_version(&self) -> Option<u64> {
        self.relayed_version.get()
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
        self.members.borrow().visible_items(Scope::All)
    }

    /// The stores according to the last list.
    #[must_use]
    pub fn stores(&self) -> Vec<Member> {
        self.members.borrow().items().filter(|member| member.role == Role::Store).cloned().collect()
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

    /// The VMs that are being drained.
    #[must_use]
    pub fn leaving(&self) -> BTreeSet<Arc<str>> {
        self.leaving.borrow().clone()
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

/// Applies a change of a list if its version is newer than the known one, and returns it if the list changed. A delta from
/// another version than the known one is ignored, and the next report asks for a change from the known one. If decoding fails,
/// the change is skipped and its version counts as known.
fn apply_change<V, C>(
    list: &RefCell<VersionedList<V>>,
    change: Option<(ListVersion, Compressed)>,
) -> Option<ListChange<V::Key, V>>
where
    V: Item,
    C: DeserializeOwned + Into<ListChange<V::Key, V>>,
{
    let mut list = list.borrow_mut();
    let (version, compressed) = change.filter(|(version, _)| *version > list.version(Scope::All))?;
    let Some(change) = decode_or_warn::<C>(&compressed) else {
        list.skip_to(version);
        return None;
    };
    let change = change.into();
    list.apply(version, &change).then_some(change)
}

/// Decodes a part of an update, which fails if the sender runs another build.
fn decode_or_warn<T: DeserializeOwned>(compressed: &Compressed) -> Option<T> {
    match compressed.decompress() {
        Ok(part) => Some(part),
        Err(error) => {
            warn!("Could not decode a part of an update: {error}.");
            None
        }
    }
}
