//! The prefix cache of the fake engine, with least-recently-used eviction and a log of changes.

use std::collections::HashMap;
use std::collections::HashSet;

use serde::Serialize;
use xxhash_rust::xxh3::xxh3_64_with_seed;

pub(crate) const CACHE_BLOCK_TOKENS: usize = 64;
const CACHE_BLOCK_BYTES: usize = 256;

/// A cache event.
#[derive(Clone, Debug, Serialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum Change {
    /// Blocks added to the cache.
    Stored(Vec<u64>),
    /// Blocks removed from the cache.
    Evicted(Vec<u64>),
}

/// Cached and exported blocks; each block hash covers its whole prefix.
#[derive(Debug, Default)]
pub(crate) struct Cache {
    /// Logical time of last use by block hash.
    last_used: HashMap<u64, u64>,
    clock: u64,
    owned: HashMap<String, Vec<u64>>,
    exported: HashMap<String, Vec<u64>>,
    log: Vec<Change>,
}

impl Cache {
    /// Inserts a program's prompt; returns the number of leading blocks that were cached.
    pub(crate) fn insert_prompt(&mut self, program: &str, prompt: &[u8], capacity: usize) -> usize {
        let mut prefix_hash = 0;
        let mut blocks = Vec::new();
        for block in prompt.chunks_exact(CACHE_BLOCK_BYTES) {
            prefix_hash = xxh3_64_with_seed(block, prefix_hash);
            blocks.push(prefix_hash);
        }
        let hits = blocks.iter().take_while(|block| self.last_used.contains_key(block)).count();
        self.store(&blocks);
        self.owned.insert(program.to_owned(), blocks);
        self.evict_beyond(capacity);
        hits
    }

    /// Number of cached blocks.
    pub(crate) fn len(&self) -> usize {
        self.last_used.len()
    }

    /// The end position of the log and the changes after a position.
    pub(crate) fn changes(&self, after: usize) -> (usize, Vec<Change>) {
        (self.log.len(), self.log.iter().skip(after).cloned().collect())
    }

    /// Applies a cache order to a program's blocks; returns false for an unknown order.
    pub(crate) fn order(&mut self, program: &str, order: &str) -> bool {
        match order {
            "release" => {
                self.exported.remove(program);
                self.remove_exclusive(program);
            }
            "export" => {
                let blocks = self.remove_exclusive(program);
                self.exported.insert(program.to_owned(), blocks);
            }
            "import" => {
                let blocks = self.exported.remove(program).unwrap_or_default();
                self.store(&blocks);
                self.owned.insert(program.to_owned(), blocks);
            }
            _ => return false,
        }
        true
    }

    fn store(&mut self, blocks: &[u64]) {
        let mut stored = Vec::new();
        for block in blocks {
            self.clock += 1;
            if self.last_used.insert(*block, self.clock).is_none() {
                stored.push(*block);
            }
        }
        if !stored.is_empty() {
            self.log.push(Change::Stored(stored));
        }
    }

    /// Removes the blocks that no other program uses; returns all blocks of the program.
    fn remove_exclusive(&mut self, program: &str) -> Vec<u64> {
        let blocks = self.owned.remove(program).unwrap_or_default();
        let shared: HashSet<u64> = self.owned.values().flatten().copied().collect();
        let exclusive = blocks.iter().copied().filter(|block| !shared.contains(block)).collect();
        self.evict(exclusive);
        blocks
    }

    fn evict_beyond(&mut self, capacity: usize) {
        let excess = self.last_used.len().saturating_sub(capacity);
        if excess == 0 {
            return;
        }
        let mut oldest_first: Vec<(u64, u64)> =
            self.last_used.iter().map(|(block, last_used)| (*last_used, *block)).collect();
        oldest_first.sort_unstable();
        self.evict(oldest_first.into_iter().take(excess).map(|(_, block)| block).collect());
    }

    fn evict(&mut self, blocks: Vec<u64>) {
        let evicted: Vec<u64> =
            blocks.into_iter().filter(|block| self.last_used.remove(block).is_some()).collect();
        if !evicted.is_empty() {
            self.log.push(Change::Evicted(evicted));
        }
    }
}
