//! Prefix cache of a simulated engine with least-recently-used eviction.

use std::collections::BTreeMap;
use std::collections::HashMap;

use crate::host::ExportedBlock;

/// Cumulative block counts of a prefix cache.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct CacheCounts {
    /// Blocks inserted, without imported ones.
    pub inserted: u64,
    /// Blocks evicted or released without a hit.
    pub unread: u64,
}

#[derive(Debug)]
struct CacheEntry {
    tick: u64,
    pins: u32,
    read: bool,
    owner: u32,
    shared: bool,
}

/// Cache blocks in engine memory. Blocks of running requests are pinned.
#[derive(Debug)]
pub struct PrefixCache {
    capacity: usize,
    entries: HashMap<u64, CacheEntry>,
    unpinned: BTreeMap<u64, u64>,
    tick: u64,
    counts: CacheCounts,
}

impl PrefixCache {
    /// Creates an empty cache for `capacity` blocks.
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

    /// The counts so far, without the unread blocks that are still cached.
    #[must_use]
    pub fn counts(&self) -> CacheCounts {
        self.counts
    }

    /// Counts cached blocks that were never read.
    #[must_use]
    pub fn unread_resident(&self) -> u64 {
        self.entries.values().map(|entry| u64::from(!entry.read)).sum()
    }

    /// Counts cached blocks that only this program has used.
    #[must_use]
    pub fn exclusive_blocks(&self, owner: u32) -> usize {
        self.entries.values().filter(|entry| entry.owner == owner && !entry.shared).count()
    }

    /// Counts the leading blocks of a prompt that are cached.
    #[must_use]
    pub fn prefix_len(&self, blocks: &[u64]) -> usize {
        blocks.iter().take_while(|block| self.entries.contains_key(block)).count()
    }

    /// Whether `needed` more blocks fit after evicting all unpinned blocks except the cached prefix of `blocks`.
    #[must_use]
    pub fn fits(&self, blocks: &[u64], needed: usize) -> bool {
        let pinned = self.entries.len() - self.unpinned.len();
        let prefix = self.prefix_len(blocks);
        let unpinned_prefix = blocks[..prefix].iter().filter(|block| self.entries[block].pins == 0).count();
        pinned + unpinned_prefix + needed <= self.capacity
    }

    /// Whether no block is pinned.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        self.unpinned.len() == self.entries.len()
    }

    /// Marks the cached prefix as read, pins it and returns its length in blocks.
    pub fn pin_prefix(&mut self, blocks: &[u64], owner: u32) -> usize {
        let cached = self.prefix_len(blocks);
        for block in &blocks[..cached] {
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
        cached
    }

    /// Inserts and pins blocks; returns those evicted for them. Imported blocks are not counted as inserted again.
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
            let entry = CacheEntry { tick: 0, pins: 1, read, owner, shared: false };
            self.entries.insert(*block, entry);
        }
        evicted
    }

    /// Unpins blocks, the last first, so that a prefix is evicted after the blocks that follow it.
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

    /// Drops and returns the unpinned blocks that only this program used.
    pub fn release(&mut self, blocks: &[u64], owner: u32) -> Vec<u64> {
        let mut released = Vec::new();
        for block in blocks {
            let exclusive =
                self.entries.get(block).is_some_and(|e| e.pins == 0 && e.owner == owner && !e.shared);
            if exclusive {
                self.remove(*block);
                released.push(*block);
            }
        }
        released
    }

    /// Removes the unpinned blocks that only this program used and returns them for export.
    pub fn export(&mut self, blocks: &[u64], owner: u32) -> Vec<ExportedBlock> {
        let mut exported = Vec::new();
        for block in blocks {
            let Some(entry) = self.entries.get(block) else {
                continue;
            };
            if entry.pins > 0 || entry.owner != owner || entry.shared {
                continue;
            }
            exported.push(ExportedBlock { block: *block, read: entry.read });
            self.unpinned.remove(&entry.tick);
            self.entries.remove(block);
        }
        exported
    }

    /// Drops all blocks, as on an engine restart.
    pub fn clear(&mut self) {
        self.counts.unread += self.unread_resident();
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
