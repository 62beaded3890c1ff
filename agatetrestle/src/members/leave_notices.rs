//! The set of leaving signs: it only grows, and a newer incarnation outlives an older sign.

use std::collections::BTreeMap;
use std::sync::Arc;

use crate::members::message::LeaveNotice;

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
struct Mark {
    incarnation: u64,
    changed: u64,
}

/// Notices by name, each with the highest incarnation that was seen to leave.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct LeaveNotices {
    marked: BTreeMap<Arc<str>, Mark>,
}

impl LeaveNotices {
    /// Adds a sign, noting `sequence` as the time of the change; an older one than known changes nothing.
    /// Returns whether it was news.
    pub fn add(&mut self, sign: &LeaveNotice, sequence: u64) -> bool {
        let known = self.marked.get(&sign.name);
        if known.is_some_and(|known| known.incarnation >= sign.incarnation) {
            return false;
        }
        self.marked.insert(sign.name.clone(), Mark { incarnation: sign.incarnation, changed: sequence });
        true
    }

    /// Whether this incarnation of the name leaves.
    #[must_use]
    pub fn covers(&self, name: &str, incarnation: u64) -> bool {
        self.marked.get(name).is_some_and(|marked| marked.incarnation >= incarnation)
    }

    /// The highest incarnation of the name that leaves, if any does.
    #[must_use]
    pub fn incarnation(&self, name: &str) -> Option<u64> {
        self.marked.get(name).map(|marked| marked.incarnation)
    }

    /// Notices that changed after `sequence`, in order of name.
    #[must_use]
    pub fn changed_after(&self, sequence: u64) -> Vec<LeaveNotice> {
        let changed = self.marked.iter().filter(|(_, mark)| mark.changed > sequence);
        changed
            .map(|(name, mark)| LeaveNotice { name: name.clone(), incarnation: mark.incarnation })
            .collect()
    }
}
