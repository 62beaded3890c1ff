//! What an engine's prefix cache is believed to hold.
//!
//! Cache events come late and with gaps, so this is a belief: it is corrected by each answer's count
//! of cached tokens, and it is bounded by two generations instead of mirroring the engine's eviction.

use std::collections::HashSet;
use std::hash::BuildHasherDefault;
use std::hash::Hasher;

/// Passes block hashes through, which are already well spread.
#[derive(Clone, Copy, Debug, Default)]
pub struct BlockHasher(u64);

impl Hasher for BlockHasher {
    fn finish(&self) -> u64 {
        self.0
    }

    fn write(&mut self, bytes: &[u8]) {
        for byte in bytes {
            self.0 = self.0.rotate_left(8) ^ u64::from(*byte);
        }
    }

    fn write_u64(&mut self, value: u64) {
        self.0 = value;
    }
}

type Blocks = HashSet<u64, BuildHasherDefault<BlockHasher>>;

/// Blocks believed to be held by one engine, at most twice what it can hold.
#[derive(Clone, Debug, Default)]
pub struct Residency {
    young: Blocks,
    old: Blocks,
    capacity: usize,
}

impl Residency {
    /// Sets how many blocks the engine can hold.
    pub fn set_capacity(&mut self, capacity: usize) {
        self.capacity = capacity;
    }

    /// How many leading blocks are believed held. A held block implies those before it.
    #[must_use]
    pub fn prefix_len(&self, blocks: &[u64]) -> usize {
        blocks.partition_point(|block| self.young.contains(block) || self.old.contains(block))
    }

    /// Takes in blocks that were stored or read.
    pub fn insert(&mut self, blocks: &[u64]) {
        for block in blocks {
            if self.young.len() >= self.capacity.max(1) {
                self.old = std::mem::take(&mut self.young);
            }
            self.young.insert(*block);
        }
    }

    /// Forgets blocks.
    pub fn remove(&mut self, blocks: &[u64]) {
        for block in blocks {
            self.young.remove(block);
            self.old.remove(block);
        }
    }

    /// Forgets everything.
    pub fn clear(&mut self) {
        self.young.clear();
        self.old.clear();
    }

    /// Blocks believed held.
    #[must_use]
    pub fn len(&self) -> usize {
        self.young.len() + self.old.len()
    }

    /// Whether nothing is believed held.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.young.is_empty() && self.old.is_empty()
    }
}
