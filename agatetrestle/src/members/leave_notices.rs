//! The set of leave notices, which is only ever extended.

use std::collections::BTreeMap;
use std::sync::Arc;

use crate::members::message::LeaveNotice;

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
struct StoredNotice {
    incarnation: u64,
    sequence: u64,
}

/// Leave notices by name, each with the highest leaving incarnation.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct LeaveNotices {
    by_name: BTreeMap<Arc<str>, StoredNotice>,
}

impl LeaveNotices {
    /// Adds a notice under a sequence number, unless the incarnation is known already. Returns whether it was added.
    pub fn add(&mut self, notice: &LeaveNotice, sequence: u64) -> bool {
        let known = self.by_name.get(&notice.name);
        if known.is_some_and(|known| known.incarnation >= notice.incarnation) {
            return false;
        }
        self.by_name.insert(notice.name.clone(), StoredNotice { incarnation: notice.incarnation, sequence });
        true
    }

    /// Whether this incarnation of a VM or backend server is leaving.
    #[must_use]
    pub fn contains(&self, name: &str, incarnation: u64) -> bool {
        self.by_name.get(name).is_some_and(|stored| stored.incarnation >= incarnation)
    }

    /// The highest leaving incarnation of a name, if any.
    #[must_use]
    pub fn incarnation(&self, name: &str) -> Option<u64> {
        self.by_name.get(name).map(|stored| stored.incarnation)
    }

    /// Notices added after a sequence number, ordered by name.
    #[must_use]
    pub fn changed_after(&self, sequence: u64) -> Vec<LeaveNotice> {
        let changed = self.by_name.iter().filter(|(_, stored)| stored.sequence > sequence);
        changed
            .map(|(name, stored)| LeaveNotice { name: name.clone(), incarnation: stored.incarnation })
            .collect()
    }
}
