//! The prefix cache of the engine: blocks under least-recently-used eviction, with a log of changes.

use std::collections::HashMap;
use std::collections::HashSet;

use serde::Serialize;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Tokens of a block.
pub(crate) const BLOCK_TOKENS: usize = 64;

/// Bytes of prompt text in a block; its hash runs over all blocks before it.
const BLOCK_BYTES: usize = 256;

/// A change of the cache.
#[derive(Clone, Debug, Serialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum Change {
    /// Blocks that came in.
    Stored(Vec<u64>),
    /// Blocks that went out.
    Evicted(Vec<u64>),
}

/// Blocks by hash, with the time of their last use.
#[derive(Debug, Default)]
pub(crate) struct Cache {
    used: HashMap<u64, u64>,
    clock: u64,
    owned: HashMap<String, Vec<u64>>,
    exported: HashMap<String, Vec<u64>>,
    log: Vec<Change>,
}

impl Cache {
    /// Looks a program's prompt up and keeps it; returns how many leading blocks were there.
    pub(crate) fn visit(&mut self, program: &str, prompt: &[u8], capacity: usize) -> usize {
        let mut chain = 0;
        let mut blocks = Vec::new();
        for block in prompt.chunks_exact(BLOCK_BYTES) {
            chain = xxh3_64_with_seed(block, chain);
            blocks.push(chain);
        }
        let found = blocks.iter().take_while(|block| self.used.contains_key(block)).count();
        self.store(&blocks);
        self.owned.insert(program.to_owned(), blocks);
        self.evict_beyond(capacity);
        found
    }

    /// Blocks held.
    pub(crate) fn len(&self) -> usize {
        self.used.len()
    }

    /// The changes after a position, with the position after them.
    pub(crate) fn changes(&self, after: usize) -> (usize, Vec<Change>) {
        (self.log.len(), self.log.iter().skip(after).cloned().collect())
    }

    /// Carries out an order about a program; false for an unknown one.
    pub(crate) fn order(&mut self, program: &str, order: &str) -> bool {
        match order {
            "release" => {
                self.exported.remove(program);
                self.drop_owned(program);
            }
            "export" => {
                let blocks = self.drop_owned(program);
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
            if self.used.insert(*block, self.clock).is_none() {
                stored.push(*block);
            }
        }
        if !stored.is_empty() {
            self.log.push(Change::Stored(stored));
        }
    }

    /// Drops what only this program holds; blocks that others share stay.
    fn drop_owned(&mut self, program: &str) -> Vec<u64> {
        let blocks = self.owned.remove(program).unwrap_or_default();
        let shared: HashSet<u64> = self.owned.values().flatten().copied().collect();
        let own = blocks.iter().copied().filter(|block| !shared.contains(block)).collect();
        self.evict(own);
        blocks
    }

    fn evict_beyond(&mut self, capacity: usize) {
        let excess = self.used.len().saturating_sub(capacity);
        if excess == 0 {
            return;
        }
        let mut by_age: Vec<(u64, u64)> = self.used.iter().map(|(block, used)| (*used, *block)).collect();
        by_age.sort_unstable();
        self.evict(by_age.into_iter().take(excess).map(|(_, block)| block).collect());
    }

    fn evict(&mut self, blocks: Vec<u64>) {
        let held: Vec<u64> = blocks.into_iter().filter(|block| self.used.remove(block).is_some()).collect();
        if !held.is_empty() {
            self.log.push(Change::Evicted(held));
        }
    }
}
