//! The list of backend servers that control distributes, as a whole or as a difference.
//!
//! Servers come, go and turn to leaving one by one, and each such change goes to every process. A process that holds one of
//! the last lists gets the difference; docs/CAPACITY.md has what whole lists cost.

use std::collections::HashMap;
use std::collections::HashSet;
use std::collections::VecDeque;
use std::rc::Rc;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use crate::cluster::message::ListVersion;
use crate::dispatch::Instance;

/// Lists from which differences are told. Processes are told within a fraction of a second, and the list is read twice a
/// second, so who is further behind has just started or was cut off.
const EARLIER: usize = 8;

/// The list with those before it.
#[derive(Debug, Default)]
pub struct VersionedBackends {
    list: Rc<Vec<Instance>>,
    /// Counts the lists of this process. It never goes back: a reader would not believe a lower number under the same leader.
    count: u64,
    listed: bool,
    earlier: VecDeque<(u64, Rc<Vec<Instance>>)>,
}

impl VersionedBackends {
    /// Takes in a list that was read; whether it is another one than before.
    pub fn replace(&mut self, list: Vec<Instance>) -> bool {
        if self.listed && *self.list == list {
            return false;
        }
        let before = std::mem::replace(&mut self.list, Rc::new(list));
        if self.listed {
            self.earlier.push_back((self.count, before));
            if self.earlier.len() > EARLIER {
                self.earlier.pop_front();
            }
        }
        self.listed = true;
        self.count += 1;
        true
    }

    /// Forgets the list, so that none is sent before it has been read again.
    pub fn forget(&mut self) {
        let count = self.count;
        *self = Self { count, ..Self::default() };
    }

    /// The list; empty if none was read.
    #[must_use]
    pub fn list(&self) -> Rc<Vec<Instance>> {
        self.list.clone()
    }

    /// The edition of the list under a leader; none if none was read.
    #[must_use]
    pub fn edition(&self, term: u64) -> Option<ListVersion> {
        self.listed.then_some(ListVersion { term, count: self.count })
    }

    /// The change for a process that holds an edition.
    #[must_use]
    pub fn change_since(&self, known: ListVersion, term: u64) -> BackendChange {
        let base = self.earlier.iter().find(|(count, _)| known == ListVersion { term, count: *count });
        let difference = base.and_then(|(_, base)| BackendChange::between(known, base, &self.list));
        difference.unwrap_or_else(|| BackendChange::Whole(self.list.to_vec()))
    }
}

/// How a list of backend servers changed.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum BackendChange {
    /// The whole list.
    Whole(Vec<Instance>),
    /// The difference from an edition.
    Since {
        /// The edition.
        from: ListVersion,
        /// Ids that are not listed any more.
        gone: Vec<Arc<str>>,
        /// Servers that are new, or of which something is.
        put: Vec<Instance>,
    },
}

impl BackendChange {
    /// The difference of two lists; none where ids don't tell their entries apart.
    fn between(from: ListVersion, before: &[Instance], now: &[Instance]) -> Option<Self> {
        let known: HashMap<&str, &Instance> =
            before.iter().map(|instance| (&*instance.id, instance)).collect();
        let listed: HashSet<&str> = now.iter().map(|instance| &*instance.id).collect();
        if known.len() < before.len() || listed.len() < now.len() {
            return None;
        }
        let gone = before.iter().filter(|instance| !listed.contains(&*instance.id));
        let put = now.iter().filter(|instance| known.get(&*instance.id) != Some(instance));
        let (gone, put) = (gone.map(|instance| instance.id.clone()).collect(), put.cloned().collect());
        Some(Self::Since { from, gone, put })
    }

    /// The list that comes of it for who knows an edition of it; none for a difference from another edition, which an answer
    /// that was overtaken by a later one may bring.
    #[must_use]
    pub fn apply(self, known: ListVersion, base: &[Instance]) -> Option<Vec<Instance>> {
        match self {
            Self::Whole(list) => Some(list),
            Self::Since { from, gone, put } if from == known => {
                let replaced: HashSet<&str> =
                    gone.iter().map(|id| &**id).chain(put.iter().map(|instance| &*instance.id)).collect();
                let stays = base.iter().filter(|instance| !replaced.contains(&*instance.id));
                Some(stays.cloned().chain(put.iter().cloned()).collect())
            }
            Self::Since { .. } => None,
        }
    }
}
