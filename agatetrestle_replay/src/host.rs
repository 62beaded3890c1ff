//! Host memory to which engines export cache blocks and from which they import them.

use std::collections::BTreeMap;
use std::collections::HashMap;

/// A block moved from engine memory to host memory.
#[derive(Clone, Copy, Debug)]
pub struct ExportedBlock {
    /// Hash of the block.
    pub block: u64,
    /// Whether a request hit the block while it was in engine memory.
    pub read: bool,
}

#[derive(Debug)]
struct HostEntry {
    tick: u64,
    read: bool,
    owner: u32,
    shared: bool,
}

/// Exported blocks under least-recently-used eviction.
#[derive(Debug)]
pub struct HostStore {
    capacity: usize,
    entries: HashMap<u64, HostEntry>,
    oldest: BTreeMap<u64, u64>,
    tick: u64,
    unread: u64,
}

impl HostStore {
    /// Creates an empty store for `capacity` blocks.
    #[must_use]
    pub fn new(capacity: usize) -> Self {
        Self { capacity, entries: HashMap::new(), oldest: BTreeMap::new(), tick: 0, unread: 0 }
    }

    /// Counts blocks that were never read, both stored and dropped ones.
    #[must_use]
    pub fn unread(&self) -> u64 {
        let held: u64 = self.entries.values().map(|entry| u64::from(!entry.read)).sum();
        self.unread + held
    }

    /// Stores blocks of a program, the last first, so that a prefix is evicted after the blocks that follow it.
    pub fn store(&mut self, blocks: &[ExportedBlock], owner: u32) {
        for exported in blocks.iter().rev() {
            self.tick += 1;
            if let Some(entry) = self.entries.get_mut(&exported.block) {
                self.oldest.remove(&entry.tick);
                entry.tick = self.tick;
                entry.read |= exported.read;
                entry.shared |= entry.owner != owner;
                self.oldest.insert(self.tick, exported.block);
                continue;
            }
            while self.entries.len() >= self.capacity {
                let Some((_, block)) = self.oldest.pop_first() else {
                    return;
                };
                self.drop_block(block);
            }
            self.oldest.insert(self.tick, exported.block);
            let entry = HostEntry { tick: self.tick, read: exported.read, owner, shared: false };
            self.entries.insert(exported.block, entry);
        }
    }

    /// Marks the stored ones among `blocks` as read and returns them.
    pub fn read(&mut self, blocks: &[u64], reader: u32) -> Vec<u64> {
        let mut found = Vec::new();
        for block in blocks {
            if let Some(entry) = self.entries.get_mut(block) {
                entry.read = true;
                entry.shared |= entry.owner != reader;
                found.push(*block);
            }
        }
        found
    }

    /// Drops the blocks that only this program has stored or read.
    pub fn discard(&mut self, blocks: &[u64], owner: u32) {
        for block in blocks {
            if self.entries.get(block).is_some_and(|entry| entry.owner == owner && !entry.shared) {
                self.drop_block(*block);
            }
        }
    }

    fn drop_block(&mut self, block: u64) {
        if let Some(entry) = self.entries.remove(&block) {
            self.oldest.remove(&entry.tick);
            self.unread += u64::from(!entry.read);
        }
    }
}
