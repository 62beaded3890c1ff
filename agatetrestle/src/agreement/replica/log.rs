//! The part of the log that a replica holds in memory, and the replica sets in it.

use std::collections::VecDeque;

use crate::agreement::Replicas;
use crate::agreement::message::Entry;
use crate::agreement::message::Position;

/// Entries after the last one that was dropped in favour of a snapshot.
#[derive(Clone, Debug, Default)]
pub(super) struct Log {
    base: Position,
    entries: VecDeque<Entry>,
}

impl Log {
    /// A log that begins after `base`.
    pub(super) fn new(base: Position, entries: Vec<Entry>) -> Self {
        Self { base, entries: entries.into() }
    }

    /// The position before the first entry held.
    pub(super) fn base(&self) -> Position {
        self.base
    }

    /// The last entry, or the base if none is held.
    pub(super) fn last(&self) -> Position {
        self.entries.back().map_or(self.base, |entry| entry.position)
    }

    /// The term at an index, if it is held.
    pub(super) fn term_at(&self, index: u64) -> Option<u64> {
        if index == self.base.index {
            return Some(self.base.term);
        }
        self.get(index).map(|entry| entry.position.term)
    }

    /// The entry at an index, if it is held.
    pub(super) fn get(&self, index: u64) -> Option<&Entry> {
        let offset = index.checked_sub(self.base.index + 1)?;
        self.entries.get(usize::try_from(offset).ok()?)
    }

    /// Entries from `index` on, at least one if there is one, until their payloads pass `max_bytes`.
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

    /// First index held of the run of entries that share the term at `index`.
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

    /// Drops the entries from `index` on.
    pub(super) fn truncate(&mut self, index: u64) {
        let kept = index.saturating_sub(self.base.index + 1);
        self.entries.truncate(usize::try_from(kept).unwrap_or(usize::MAX));
    }

    /// Drops the entries up to and with `index`, which must be held.
    pub(super) fn compact(&mut self, index: u64) {
        while self.base.index < index
            && let Some(entry) = self.entries.pop_front()
        {
            self.base = entry.position;
        }
    }

    /// Drops everything and begins after `base`.
    pub(super) fn reset(&mut self, base: Position) {
        self.base = base;
        self.entries.clear();
    }
}

/// The replica sets in force, by the index from which each counts; an uncommitted one counts already.
#[derive(Clone, Debug)]
pub(super) struct ReplicaSets {
    history: Vec<(u64, Replicas)>,
}

impl ReplicaSets {
    pub(super) fn new(index: u64, replicas: Replicas) -> Self {
        Self { history: vec![(index, replicas)] }
    }

    /// The newest set.
    pub(super) fn current(&self) -> &Replicas {
        &self.history[self.history.len() - 1].1
    }

    /// The index from which the newest set counts.
    pub(super) fn current_index(&self) -> u64 {
        self.history[self.history.len() - 1].0
    }

    /// The set in force at an index.
    pub(super) fn at(&self, index: u64) -> &Replicas {
        let found = self.history.iter().rev().find(|(from, _)| *from <= index);
        &found.unwrap_or(&self.history[0]).1
    }

    /// The sets that may be in force if all up to `commit` is: the one there and the later ones.
    pub(super) fn since(&self, commit: u64) -> impl Iterator<Item = &Replicas> {
        let replaced = self.history.iter().skip(1).take_while(|(from, _)| *from <= commit).count();
        self.history[replaced..].iter().map(|(_, replicas)| replicas)
    }

    pub(super) fn push(&mut self, index: u64, replicas: Replicas) {
        self.history.push((index, replicas));
    }

    /// Forgets sets from `index` on, as their entries were dropped.
    pub(super) fn truncate(&mut self, index: u64) {
        while self.history.len() > 1 && self.current_index() >= index {
            self.history.pop();
        }
    }

    /// Replaces the sets up to `index` by the one of a snapshot.
    pub(super) fn install(&mut self, index: u64, replicas: Replicas) {
        self.history.retain(|(from, _)| *from > index);
        self.history.insert(0, (index, replicas));
    }

    /// Forgets sets that were replaced before `index`.
    pub(super) fn compact(&mut self, index: u64) {
        while self.history.len() > 1 && self.history[1].0 <= index {
            self.history.remove(0);
        }
    }
}
