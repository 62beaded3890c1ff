//! Entries that arrive before those that they follow, because messages on several connections overtake each other.
//!
//! They count as not received until the entries before them are appended: the replica neither writes nor acknowledges them.

use std::collections::BTreeMap;

use crate::agreement::message::Entry;
use crate::agreement::message::Position;

/// Payload that is held; further entries are sent again by the leader.
const MAX_EARLY_BYTES: usize = 2 << 20;

/// Early entries of the current leader, by the position that they follow.
#[derive(Clone, Debug, Default)]
pub(super) struct EarlyEntries {
    term: u64,
    bytes: usize,
    batches: BTreeMap<Position, Vec<Entry>>,
}

impl EarlyEntries {
    /// Holds entries that the leader of `term` sent. Returns `false` if there are none or they exceed the limit.
    pub(super) fn store(&mut self, term: u64, previous: Position, entries: &[Entry]) -> bool {
        if self.term != term {
            *self = Self { term, ..Self::default() };
        }
        if self.batches.contains_key(&previous) {
            return true;
        }
        let bytes = payload_bytes(entries);
        if entries.is_empty() || self.bytes + bytes > MAX_EARLY_BYTES {
            return false;
        }
        self.bytes += bytes;
        self.batches.insert(previous, entries.to_vec());
        true
    }

    /// Removes and returns the entries of the leader of `term` that follow `last`, and drops those that are outdated.
    pub(super) fn take(&mut self, term: u64, last: Position) -> Option<Vec<Entry>> {
        if self.term != term {
            *self = Self::default();
        }
        let later = self.batches.split_off(&last);
        let outdated = std::mem::replace(&mut self.batches, later);
        self.bytes -= outdated.values().map(|entries| payload_bytes(entries)).sum::<usize>();
        let entries = self.batches.remove(&last)?;
        self.bytes -= payload_bytes(&entries);
        Some(entries)
    }
}

fn payload_bytes(entries: &[Entry]) -> usize {
    entries.iter().map(|entry| entry.payload.len()).sum()
}
