//! The versioned list of backend servers that control distributes, in full or as a delta.
//!
//! Each change of a server goes to every process. A process that holds one of the last versions gets a delta; for the
//! cost of full lists see docs/CAPACITY.md.

use std::collections::HashMap;
use std::collections::HashSet;
use std::collections::VecDeque;
use std::rc::Rc;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use crate::cluster::message::ListVersion;
use crate::dispatch::Instance;

/// Previous lists kept as bases of deltas. Only processes that have just started or were partitioned are further behind.
const MAX_PREVIOUS_LISTS: usize = 8;

/// The current list with its predecessors.
#[derive(Debug, Default)]
pub struct VersionedBackends {
    list: Rc<Vec<Instance>>,
    /// Number of the list. It never decreases, since receivers ignore lower numbers within a term.
    count: u64,
    loaded: bool,
    previous: VecDeque<(u64, Rc<Vec<Instance>>)>,
}

impl VersionedBackends {
    /// Stores a newly read list and returns whether it differs from the current one.
    pub fn replace(&mut self, list: Vec<Instance>) -> bool {
        if self.loaded && *self.list == list {
            return false;
        }
        let replaced = std::mem::replace(&mut self.list, Rc::new(list));
        if self.loaded {
            self.previous.push_back((self.count, replaced));
            if self.previous.len() > MAX_PREVIOUS_LISTS {
                self.previous.pop_front();
            }
        }
        self.loaded = true;
        self.count += 1;
        true
    }

    /// Discards the list, so that none is sent until it has been read again.
    pub fn clear(&mut self) {
        let count = self.count;
        *self = Self { count, ..Self::default() };
    }

    /// The current list; empty if none is loaded.
    #[must_use]
    pub fn list(&self) -> Rc<Vec<Instance>> {
        self.list.clone()
    }

    /// The version of the list in a leader's term, if a list is loaded.
    #[must_use]
    pub fn version(&self, term: u64) -> Option<ListVersion> {
        self.loaded.then_some(ListVersion { term, count: self.count })
    }

    /// The change that brings a process from a known version to the current list: a delta if possible, else the full list.
    #[must_use]
    pub fn change_since(&self, known: ListVersion, term: u64) -> BackendChange {
        let base = self.previous.iter().find(|(count, _)| known == ListVersion { term, count: *count });
        let delta = base.and_then(|(_, base)| BackendChange::between(known, base, &self.list));
        delta.unwrap_or_else(|| BackendChange::Whole(self.list.to_vec()))
    }
}

/// A change of the list of backend servers.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum BackendChange {
    /// The full list.
    Whole(Vec<Instance>),
    /// A delta relative to a version.
    Since {
        /// The base version.
        from: ListVersion,
        /// IDs of removed servers.
        gone: Vec<Arc<str>>,
        /// Added and changed servers.
        put: Vec<Instance>,
    },
}

impl BackendChange {
    /// The delta between two lists; none if either contains duplicate IDs.
    fn between(from: ListVersion, old: &[Instance], new: &[Instance]) -> Option<Self> {
        let known: HashMap<&str, &Instance> = old.iter().map(|instance| (&*instance.id, instance)).collect();
        let current: HashSet<&str> = new.iter().map(|instance| &*instance.id).collect();
        if known.len() < old.len() || current.len() < new.len() {
            return None;
        }
        let gone = old.iter().filter(|instance| !current.contains(&*instance.id));
        let put = new.iter().filter(|instance| known.get(&*instance.id) != Some(instance));
        let (gone, put) = (gone.map(|instance| instance.id.clone()).collect(), put.cloned().collect());
        Some(Self::Since { from, gone, put })
    }

    /// Applies the change to a list of a known version. Returns none for a delta from another version, which an answer that
    /// arrives out of order may contain.
    #[must_use]
    pub fn apply(self, known: ListVersion, base: &[Instance]) -> Option<Vec<Instance>> {
        match self {
            Self::Whole(list) => Some(list),
            Self::Since { from, gone, put } if from == known => {
                let dropped: HashSet<&str> =
                    gone.iter().map(|id| &**id).chain(put.iter().map(|instance| &*instance.id)).collect();
                let kept = base.iter().filter(|instance| !dropped.contains(&*instance.id));
                Some(kept.cloned().chain(put.iter().cloned()).collect())
            }
            Self::Since { .. } => None,
        }
    }
}
