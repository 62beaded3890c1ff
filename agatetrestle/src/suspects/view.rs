//! What a process that sends requests knows of the suspects of all state groups.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::HashMap;
use std::time::Duration;

use crate::clock::Timestamp;
use crate::ids::GroupId;
use crate::suspects::Fingerprint;
use crate::suspects::record::Digest;

/// Suspects that a process remembers, of all groups. Beyond it new ones are not, and are sent as other requests are.
const MAX_KNOWN: usize = 65_536;

/// When a suspect was added, and until when it is remembered.
#[derive(Clone, Copy, Debug)]
struct Known {
    added_at: Timestamp,
    until: Timestamp,
}

/// The suspects that a process has heard of. It may still name some that are cleared, but misses none of a group that told it
/// of its newest.
#[derive(Debug, Default)]
pub struct SuspectView {
    known: RefCell<HashMap<Fingerprint, Known>>,
    /// Version of the record that each group told last.
    versions: RefCell<HashMap<GroupId, u64>>,
    /// Number of groups that have to tell their record first; `None` before it is known.
    groups: Cell<Option<usize>>,
}

impl SuspectView {
    /// A view that is complete without groups.
    #[must_use]
    pub fn without_groups() -> Self {
        Self { groups: Cell::new(Some(0)), ..Self::default() }
    }

    /// Sets the number of groups.
    pub fn set_groups(&self, groups: usize) {
        self.groups.set(Some(groups));
    }

    /// Whether each group has told its record.
    #[must_use]
    pub fn is_complete(&self) -> bool {
        self.groups.get().is_some_and(|groups| self.versions.borrow().len() >= groups)
    }

    /// Version of a group's record that is known.
    #[must_use]
    pub fn version(&self, group: GroupId) -> Option<u64> {
        self.versions.borrow().get(&group).copied()
    }

    /// Adds what a group tells.
    pub fn apply(&self, now: Timestamp, group: GroupId, digest: &Digest) {
        for (fingerprint, remembered_ms) in &digest.added {
            self.add(now, *fingerprint, *remembered_ms);
        }
        self.versions.borrow_mut().insert(group, digest.version);
    }

    /// Adds a suspect for a time in milliseconds.
    pub fn add(&self, now: Timestamp, fingerprint: Fingerprint, remembered_ms: u64) {
        let mut known = self.known.borrow_mut();
        if known.len() < MAX_KNOWN || known.contains_key(&fingerprint) {
            let until = now + Duration::from_millis(remembered_ms);
            known.insert(fingerprint, Known { added_at: now, until });
        }
    }

    /// Removes a request that its group, asked at `asked_at`, does not remember as a suspect. It stays if it was added since.
    pub fn remove_older(&self, asked_at: Timestamp, fingerprint: Fingerprint) {
        let mut known = self.known.borrow_mut();
        if known.get(&fingerprint).is_some_and(|known| known.added_at < asked_at) {
            known.remove(&fingerprint);
        }
    }

    /// Whether no suspect is known, so that no request has to be looked up.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.known.borrow().is_empty()
    }

    /// Whether a request is known as a suspect.
    #[must_use]
    pub fn contains(&self, fingerprint: Fingerprint) -> bool {
        self.known.borrow().contains_key(&fingerprint)
    }

    /// Drops the suspects that are not remembered any more.
    pub fn expire(&self, now: Timestamp) {
        self.known.borrow_mut().retain(|_, known| known.until > now);
    }
}
