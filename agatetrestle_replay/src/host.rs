//! The memory beside the engines into which cache is exported and from which it is imported.

use std::collections::BTreeMap;
use std::collections::HashMap;

/// A block that left engine memory but not the machine.
#[derive(Clone, Copy, Debug)]
pub struct Exported {
    /// Hash of the block.
    pub block: u64,
    /// Whether a request read it while it was in engine memory.
    pub read: bool,
}

#[derive(Debug)]
struct Entry {
    tick: u64,
    read: bool,
    owner: u32,
    shared: bool,
}

/// Exported blocks under least-recently-used eviction.
#[derive(Debug)]
pub struct HostStore {
    capacity: usize,
    entries: HashMap<u64, Entry>,
    oldest: BTreeMap<u64, u64>,
    tick: u64,
    unread: u64,
}

impl HostStore {
    /// An empty store for so many blocks.
    #[must_use]
    pub fn new(capacity: usize) -> Self {
        Self { capacity, entries: HashMap::new(), oldest: BTreeMap::new(), tick: 0, unread: 0 }
    }

    /// Blocks that were dropped here, or are still here, without ever having been read.
    #[must_use]
    pub fn unread(&self) -> u64 {
        let held: u64 = self.entries.values().map(|entry| u64::from(!entry.read)).sum();
        self.unread + held
    }

    /// Takes in blocks of a program, the deepest first, so that a prefix outlives what hangs on it.
    pub fn store(&mut self, blocks: &[Exported], owner: u32) {
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
            let entry = Entry { tick: self.tick, read: exported.read, owner, shared: false };
            self.entries.insert(exported.block, entry);
        }
    }

    /// Copies those blocks to an engine that are here; returns which.
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

    /// Drops the blocks that only this program stored and read.
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
