//! The prefix cache of a fake engine: blocks under least-recently-used eviction.

use std::collections::BTreeMap;
use std::collections::HashMap;

use crate::host::Exported;

/// Tokens by what became of them.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct CacheCounts {
    /// Blocks that entered the cache.
    pub inserted: u64,
    /// Blocks that left it, or whose program ended, without having been read.
    pub unread: u64,
}

#[derive(Debug)]
struct Entry {
    tick: u64,
    pins: u32,
    read: bool,
    owner: u32,
    shared: bool,
}

/// Blocks in an engine's memory. A block in use by a running request is pinned.
#[derive(Debug)]
pub struct PrefixCache {
    capacity: usize,
    entries: HashMap<u64, Entry>,
    unpinned: BTreeMap<u64, u64>,
    tick: u64,
    counts: CacheCounts,
}

impl PrefixCache {
    /// An empty cache for so many blocks.
    #[must_use]
    pub fn new(capacity: usize) -> Self {
        Self {
            capacity,
            entries: HashMap::new(),
            unpinned: BTreeMap::new(),
            tick: 0,
            counts: CacheCounts::default(),
        }
    }

    /// Counts so far; blocks still held and never read are not among them.
    #[must_use]
    pub fn counts(&self) -> CacheCounts {
        self.counts
    }

    /// Blocks held now that were never read.
    #[must_use]
    pub fn unread_held(&self) -> u64 {
        self.entries.values().map(|entry| u64::from(!entry.read)).sum()
    }

    /// Blocks held that belong to a program alone.
    #[must_use]
    pub fn held_alone(&self, owner: u32) -> usize {
        self.entries.values().filter(|entry| entry.owner == owner && !entry.shared).count()
    }

    /// How many leading blocks of a prompt are held.
    #[must_use]
    pub fn matching(&self, blocks: &[u64]) -> usize {
        blocks.iter().take_while(|block| self.entries.contains_key(block)).count()
    }

    /// Whether so many further blocks fit if everything unpinned goes, beside `blocks` that stay.
    #[must_use]
    pub fn fits(&self, blocks: &[u64], further: usize) -> bool {
        let pinned = self.entries.len() - self.unpinned.len();
        let kept = self.matching(blocks);
        let kept_unpinned = blocks[..kept].iter().filter(|block| self.entries[block].pins == 0).count();
        pinned + kept_unpinned + further <= self.capacity
    }

    /// Whether nothing is pinned, so that a request too large for the cache must be let through.
    #[must_use]
    pub fn idle(&self) -> bool {
        self.unpinned.len() == self.entries.len()
    }

    /// Reads and pins the leading blocks that are held; returns how many.
    pub fn pin_prefix(&mut self, blocks: &[u64], owner: u32) -> usize {
        let held = self.matching(blocks);
        for block in &blocks[..held] {
            let Some(entry) = self.entries.get_mut(block) else {
                continue;
            };
            entry.read = true;
            entry.shared |= entry.owner != owner;
            if entry.pins == 0 {
                self.unpinned.remove(&entry.tick);
            }
            entry.pins += 1;
        }
        held
    }

    /// Inserts and pins blocks; returns those evicted for them. Imported blocks were counted when
    /// they were first computed.
    pub fn insert_pinned(&mut self, blocks: &[u64], owner: u32, imported: &[u64]) -> Vec<u64> {
        let mut evicted = Vec::new();
        for block in blocks {
            if let Some(entry) = self.entries.get_mut(block) {
                if entry.pins == 0 {
                    self.unpinned.remove(&entry.tick);
                }
                entry.pins += 1;
                entry.shared |= entry.owner != owner;
                continue;
            }
            if self.entries.len() >= self.capacity {
                evicted.extend(self.evict_oldest());
            }
            let read = imported.contains(block);
            self.counts.inserted += u64::from(!read);
            let entry = Entry { tick: 0, pins: 1, read, owner, shared: false };
            self.entries.insert(*block, entry);
        }
        evicted
    }

    /// Unpins blocks, the deepest first, so that a prefix outlives what hangs on it.
    pub fn unpin(&mut self, blocks: &[u64]) {
        for block in blocks.iter().rev() {
            let Some(entry) = self.entries.get_mut(block) else {
                continue;
            };
            entry.pins = entry.pins.saturating_sub(1);
            if entry.pins == 0 {
                self.tick += 1;
                entry.tick = self.tick;
                self.unpinned.insert(self.tick, *block);
            }
        }
    }

    /// Drops the unpinned blocks that only this program used; returns them.
    pub fn release(&mut self, blocks: &[u64], owner: u32) -> Vec<u64> {
        let mut released = Vec::new();
        for block in blocks {
            let alone = self.entries.get(block).is_some_and(|e| e.pins == 0 && e.owner == owner && !e.shared);
            if alone {
                self.remove(*block);
                released.push(*block);
            }
        }
        released
    }

    /// Moves out the unpinned blocks that only this program used.
    pub fn export(&mut self, blocks: &[u64], owner: u32) -> Vec<Exported> {
        let mut exported = Vec::new();
        for block in blocks {
            let Some(entry) = self.entries.get(block) else {
                continue;
            };
            if entry.pins > 0 || entry.owner != owner || entry.shared {
                continue;
            }
            exported.push(Exported { block: *block, read: entry.read });
            self.unpinned.remove(&entry.tick);
            self.entries.remove(block);
        }
        exported
    }

    /// Loses everything, as an engine does that restarts.
    pub fn clear(&mut self) {
        self.counts.unread += self.unread_held();
        self.entries.clear();
        self.unpinned.clear();
    }

    fn evict_oldest(&mut self) -> Option<u64> {
        let (_, block) = self.unpinned.first_key_value()?;
        let block = *block;
        self.remove(block);
        Some(block)
    }

    fn remove(&mut self, block: u64) {
        let Some(entry) = self.entries.remove(&block) else {
            return;
        };
        self.unpinned.remove(&entry.tick);
        self.counts.unread += u64::from(!entry.read);
    }
}
