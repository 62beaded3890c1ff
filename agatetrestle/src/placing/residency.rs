//! Estimate of the contents of an engine's prefix cache.
//!
//! Cache events are delayed and may be lost. The estimate is corrected by the count of cached tokens in each response,
//! and two generations bound it, since it can't reproduce the engine's eviction.

use std::collections::HashSet;
use std::hash::BuildHasherDefault;
use std::hash::Hasher;

/// Identity hasher for block hashes, which are already uniformly distributed.
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

/// Estimated blocks in the cache of one engine, at most twice its capacity.
#[derive(Clone, Debug, Default)]
pub struct Residency {
    young: Blocks,
    old: Blocks,
    capacity: usize,
}

impl Residency {
    /// Sets the capacity of the engine's cache in blocks.
    pub fn set_capacity(&mut self, capacity: usize) {
        self.capacity = capacity;
    }

    /// Number of leading blocks that are cached. A cached block implies that those before it are cached too.
    #[must_use]
    pub fn prefix_len(&self, blocks: &[u64]) -> usize {
        blocks.partition_point(|block| self.young.contains(block) || self.old.contains(block))
    }

    /// Adds blocks that were stored or read.
    pub fn insert(&mut self, blocks: &[u64]) {
        for block in blocks {
            if self.young.len() >= self.capacity.max(1) {
                self.old = std::mem::take(&mut self.young);
            }
            self.young.insert(*block);
        }
    }

    /// Removes evicted blocks.
    pub fn remove(&mut self, blocks: &[u64]) {
        for block in blocks {
            self.young.remove(block);
            self.old.remove(block);
        }
    }

    /// Removes all blocks.
    pub fn clear(&mut self) {
        self.young.clear();
        self.old.clear();
    }

    /// Number of entries, counting blocks in both generations twice.
    #[must_use]
    pub fn len(&self) -> usize {
        self.young.len() + self.old.len()
    }

    /// Whether no block is cached.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.young.is_empty() && self.old.is_empty()
    }
}
