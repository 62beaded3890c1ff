//! The part of the log that a replica holds in memory, and the memberships in it.

use std::collections::VecDeque;

use crate::agreement::Replicas;
use crate::agreement::message::Entry;
use crate::agreement::message::Position;

/// Entries after the last compacted one.
#[derive(Clone, Debug, Default)]
pub(super) struct Log {
    base: Position,
    entries: VecDeque<Entry>,
}

impl Log {
    pub(super) fn new(base: Position, entries: Vec<Entry>) -> Self {
        Self { base, entries: entries.into() }
    }

    /// Position before the first held entry.
    pub(super) fn base(&self) -> Position {
        self.base
    }

    /// Position of the last entry, or the base of an empty log.
    pub(super) fn last(&self) -> Position {
        self.entries.back().map_or(self.base, |entry| entry.position)
    }

    /// Term of the entry at `index`, if it is held or the base.
    pub(super) fn term_at(&self, index: u64) -> Option<u64> {
        if index == self.base.index {
            return Some(self.base.term);
        }
        self.get(index).map(|entry| entry.position.term)
    }

    pub(super) fn get(&self, index: u64) -> Option<&Entry> {
        let offset = index.checked_sub(self.base.index + 1)?;
        self.entries.get(usize::try_from(offset).ok()?)
    }

    /// Entries from `index` on whose payloads fit `max_bytes`, but at least one if any is held.
    pub(super) fn batch(&self, index: u64, max_bytes: usize) -> Vec<Entry> {
        let skipped = index.saturating_sub(self.base.index + 1);
        let mut bytes = 0;
        let mut batch = Vec::new();
        for entry in self.entries.range(usize::try_from(skipped).map_or(0, |n| n.min(self.entries.len()))..) {
            bytes += entry.payload.len();
            if bytes > max_bytes && !batch.is_empty() {
                break;
            }
            batch.push(entry.clone());
        }
        batch
    }

    /// First held index of the consecutive entries that have the same term as `index`.
    pub(super) fn first_of_term(&self, index: u64) -> u64 {
        let term = self.term_at(index);
        let mut first = index;
        while first > self.base.index + 1 && self.term_at(first - 1) == term {
            first -= 1;
        }
        first
    }

    pub(super) fn push(&mut self, entry: Entry) {
        debug_assert_eq!(entry.position.index, self.last().index + 1, "the log has no gaps");
        self.entries.push_back(entry);
    }

    /// Removes the entries from `index` on.
    pub(super) fn truncate(&mut self, index: u64) {
        let kept = index.saturating_sub(self.base.index + 1);
        self.entries.truncate(usize::try_from(kept).unwrap_or(usize::MAX));
    }

    /// Removes the entries up to and including `index`, which must be held.
    pub(super) fn compact(&mut self, index: u64) {
        while self.base.index < index
            && let Some(entry) = self.entries.pop_front()
        {
            self.base = entry.position;
        }
    }

    /// Removes all entries and starts after `base`.
    pub(super) fn reset(&mut self, base: Position) {
        self.base = base;
        self.entries.clear();
    }
}

/// Memberships by the index from which each takes effect, which is before it is committed.
#[derive(Clone, Debug)]
pub(super) struct ReplicaSets {
    sets: Vec<(u64, Replicas)>,
}

impl ReplicaSets {
    pub(super) fn new(index: u64, replicas: Replicas) -> Self {
        Self { sets: vec![(index, replicas)] }
    }

    /// Latest set.
    pub(super) fn current(&self) -> &Replicas {
        &self.sets[self.sets.len() - 1].1
    }

    /// Index of the latest set.
    pub(super) fn current_index(&self) -> u64 {
        self.sets[self.sets.len() - 1].0
    }

    /// Set in effect at an index.
    pub(super) fn at(&self, index: u64) -> &Replicas {
        let found = self.sets.iter().rev().find(|(from, _)| *from <= index);
        &found.unwrap_or(&self.sets[0]).1
    }

    /// Sets that may be in effect given a commit index: the one at it and the later ones.
    pub(super) fn since(&self, commit: u64) -> impl Iterator<Item = &Replicas> {
        let replaced = self.sets.iter().skip(1).take_while(|(from, _)| *from <= commit).count();
        self.sets[replaced..].iter().map(|(_, replicas)| replicas)
    }

    pub(super) fn push(&mut self, index: u64, replicas: Replicas) {
        self.sets.push((index, replicas));
    }

    /// Removes the sets from `index` on.
    pub(super) fn truncate(&mut self, index: u64) {
        while self.sets.len() > 1 && self.current_index() >= index {
            self.sets.pop();
        }
    }

    /// Replaces the sets up to `index` by that of a snapshot.
    pub(super) fn install(&mut self, index: u64, replicas: Replicas) {
        self.sets.retain(|(from, _)| *from > index);
        self.sets.insert(0, (index, replicas));
    }

    /// Removes the sets that are superseded at `index`.
    pub(super) fn compact(&mut self, index: u64) {
        while self.sets.len() > 1 && self.sets[1].0 <= index {
            self.sets.remove(0);
        }
    }
}
