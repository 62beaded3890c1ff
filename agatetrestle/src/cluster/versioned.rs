//! A list that control distributes by version: in full to a process that has none, as a delta to any other.
//!
//! Every change is tagged with its version, so a delta can start from any earlier version. Versions outlive the term of a
//! leader: its successor continues the list that it received as a follower. See
//! docs/design/015-a-fleet-of-a-thousand-vms.md.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;

use crate::cluster::message::ListVersion;
use crate::cluster::message::Member;
use crate::ids::NodeId;

/// Removed items are remembered up to this number, or up to the length of the list if that is larger, so that the memory
/// for them is bounded. A process that missed older removals gets the full list.
const MIN_REMEMBERED_REMOVALS: usize = 1_024;

/// An item of a list.
pub trait Item: Clone + PartialEq {
    /// Identifies the item. Several items may have the same key, since the platform's list is not checked.
    type Key: Clone + Ord;

    /// The key of the item.
    fn key(&self) -> Self::Key;

    /// Whether all processes see the item, or only control replicas.
    fn is_public(&self) -> bool {
        true
    }
}

impl Item for Member {
    type Key = NodeId;

    fn key(&self) -> NodeId {
        self.node
    }

    fn is_public(&self) -> bool {
        self.is_replica()
    }
}

/// A change of a list.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum ListChange<K, V> {
    /// The full list.
    Whole(Vec<V>),
    /// A delta relative to a version.
    Since {
        /// The base version.
        from: ListVersion,
        /// Keys of removed items.
        gone: Vec<K>,
        /// All items of each key that was added or changed.
        put: Vec<V>,
    },
}

impl<K, V> From<Vec<V>> for ListChange<K, V> {
    fn from(items: Vec<V>) -> Self {
        Self::Whole(items)
    }
}

/// A change of the list of members.
pub type MemberChange = ListChange<NodeId, Member>;

/// The processes that a change is for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Scope {
    /// Control replicas, which see all items.
    All,
    /// Other processes, which see only public items.
    Public,
}

/// All items of one key, and the version at which they last changed. The items of a removed key are unknown to a process that
/// hears of the removal alone.
#[derive(Clone, Debug)]
struct Slot<V> {
    items: Vec<V>,
    changed_at: ListVersion,
}

impl<V: Item> Slot<V> {
    fn is_visible(&self, scope: Scope) -> bool {
        scope == Scope::All || self.items.is_empty() || self.items.iter().any(Item::is_public)
    }
}

/// A list with the versions of its changes.
#[derive(Clone, Debug)]
pub struct VersionedList<V: Item> {
    slots: BTreeMap<V::Key, Slot<V>>,
    removed: BTreeMap<V::Key, Slot<V>>,
    /// Version of the last change; the default value until the list is loaded.
    version: ListVersion,
    /// Version of the last change of a public item.
    public_version: ListVersion,
    /// Changes before this version are not known one by one.
    oldest_base: ListVersion,
    /// The last version of each earlier term that this list went through.
    ended_terms: Vec<ListVersion>,
}

impl<V: Item> Default for VersionedList<V> {
    fn default() -> Self {
        let start = ListVersion::default();
        Self {
            slots: BTreeMap::new(),
            removed: BTreeMap::new(),
            version: start,
            public_version: start,
            oldest_base: start,
            ended_terms: Vec::new(),
        }
    }
}

impl<V: Item> VersionedList<V> {
    /// Whether there is a list, if only an empty one.
    #[must_use]
    pub fn is_loaded(&self) -> bool {
        self.version != ListVersion::default()
    }

    /// The current version for the processes of a scope; the default value if no list is loaded.
    #[must_use]
    pub fn version(&self, scope: Scope) -> ListVersion {
        match scope {
            Scope::All => self.version,
            Scope::Public => self.public_version,
        }
    }

    /// All items, ordered by key.
    pub fn items(&self) -> impl Iterator<Item = &V> + Clone {
        self.slots.values().flat_map(|slot| &slot.items)
    }

    /// Number of different keys.
    #[must_use]
    pub fn len(&self) -> usize {
        self.slots.len()
    }

    /// Whether there are no items.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.slots.is_empty()
    }

    /// The items of a key.
    #[must_use]
    pub fn get(&self, key: &V::Key) -> &[V] {
        self.slots.get(key).map_or(&[], |slot| &slot.items)
    }

    /// Continues the list in the term of a new leader. Its first version tells every process that has a version of an
    /// earlier term whether that one was a predecessor of this list.
    pub fn start_term(&mut self, term: u64) {
        if self.is_loaded() && self.version.term < term {
            self.ended_terms.push(self.version);
            self.version = ListVersion { term, count: self.version.count + 1 };
            self.public_version = self.version;
        }
    }

    /// Replaces the list in the term of the leader, and returns whether it changed. A leader of an earlier term than that of
    /// the list has been superseded and changes nothing.
    pub fn replace(&mut self, term: u64, items: Vec<V>) -> bool {
        if term < self.version.term {
            return false;
        }
        self.start_term(term);
        let next = ListVersion { term, count: self.version.count + 1 };
        let mut current = group_by_key(items);
        let is_first = !self.is_loaded();
        let before = self.slots.len();
        let removed: Vec<V::Key> =
            self.slots.keys().filter(|key| !current.contains_key(*key)).cloned().collect();
        current.retain(|key, items| self.slots.get(key).is_none_or(|slot| slot.items != *items));
        if !is_first && removed.is_empty() && current.is_empty() {
            return false;
        }
        debug_assert!(!is_first || before == 0, "a list that is not loaded is empty");
        self.version = next;
        if is_first {
            self.oldest_base = next;
            self.public_version = next;
        }
        self.apply_delta(&removed, current);
        true
    }

    /// Applies a change that another process sent. Returns `false` for a delta from another version, which an answer that
    /// arrives out of order may contain.
    pub fn apply(&mut self, version: ListVersion, change: &ListChange<V::Key, V>) -> bool {
        match change {
            ListChange::Whole(items) => {
                *self = Self { oldest_base: version, public_version: version, version, ..Self::default() };
                self.apply_delta(&[], group_by_key(items.clone()));
            }
            ListChange::Since { from, .. } if *from != self.version => return false,
            ListChange::Since { from, gone, put } => {
                if from.term < version.term {
                    self.ended_terms.push(*from);
                    self.public_version = version;
                }
                self.version = version;
                self.apply_delta(gone, group_by_key(put.clone()));
            }
        }
        true
    }

    /// Counts a version as known although its change can't be read, because another build sent it.
    pub fn skip_to(&mut self, version: ListVersion) {
        self.version = version;
        self.public_version = version;
        self.oldest_base = version;
    }

    /// The change that brings a process of a scope from a known version to the current list.
    #[must_use]
    pub fn change_since(&self, known: ListVersion, scope: Scope) -> ListChange<V::Key, V> {
        if !self.is_base(known) {
            return ListChange::Whole(self.visible_items(scope));
        }
        let changed = |slot: &&Slot<V>| slot.changed_at > known && slot.is_visible(scope);
        let put = self.slots.values().filter(changed).flat_map(|slot| slot.items.iter().cloned()).collect();
        let removed = self.removed.iter().filter(|(_, slot)| changed(slot));
        let gone = removed.map(|(key, _)| key.clone()).collect();
        ListChange::Since { from: known, gone, put }
    }

    /// The items that the processes of a scope see.
    #[must_use]
    pub fn visible_items(&self, scope: Scope) -> Vec<V> {
        self.items().filter(|item| scope == Scope::All || item.is_public()).cloned().collect()
    }

    /// Whether all changes since a version are known.
    #[must_use]
    pub fn is_base(&self, known: ListVersion) -> bool {
        let precedes = |last: &ListVersion| known.term == last.term && known.count <= last.count;
        known >= self.oldest_base && (precedes(&self.version) || self.ended_terms.iter().any(precedes))
    }

    /// Removes and stores items at the current version.
    fn apply_delta(&mut self, gone: &[V::Key], put: BTreeMap<V::Key, Vec<V>>) {
        let changed_at = self.version;
        for key in gone {
            let items = self.slots.remove(key).map_or_else(Vec::new, |slot| slot.items);
            let slot = Slot { items, changed_at };
            self.note_change(slot.is_visible(Scope::Public));
            self.removed.insert(key.clone(), slot);
        }
        for (key, items) in put {
            let slot = Slot { items, changed_at };
            self.note_change(slot.is_visible(Scope::Public));
            self.removed.remove(&key);
            if let Some(replaced) = self.slots.insert(key, slot) {
                self.note_change(replaced.is_visible(Scope::Public));
            }
        }
        self.forget_old_removals();
    }

    fn note_change(&mut self, public: bool) {
        if public {
            self.public_version = self.version;
        }
    }

    fn forget_old_removals(&mut self) {
        let limit = self.slots.len().max(MIN_REMEMBERED_REMOVALS);
        if self.removed.len() <= limit {
            return;
        }
        let mut versions: Vec<ListVersion> = self.removed.values().map(|slot| slot.changed_at).collect();
        versions.sort_unstable();
        self.oldest_base = versions[versions.len() / 2];
        let oldest_base = self.oldest_base;
        self.removed.retain(|_, slot| slot.changed_at > oldest_base);
    }
}

fn group_by_key<V: Item>(items: Vec<V>) -> BTreeMap<V::Key, Vec<V>> {
    let mut groups: BTreeMap<V::Key, Vec<V>> = BTreeMap::new();
    for item in items {
        groups.entry(item.key()).or_default().push(item);
    }
    groups
}
