//! Chained hashes of prompt blocks, by which placement compares prefixes without their text.

use std::sync::Arc;

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Bytes of prompt text per block, about 64 tokens.
pub const BLOCK_BYTES: usize = 256;

/// Average bytes per token, for estimates.
pub const BYTES_PER_TOKEN: usize = 4;

/// Hashes the complete blocks of a text; each hash covers all preceding blocks. A partial last block has no
/// hash, since engines share only complete blocks.
#[must_use]
pub fn block_hashes(text: &[u8]) -> Arc<[u64]> {
    let chain = |seed: &mut u64, block: &[u8]| {
        *seed = xxh3_64_with_seed(block, *seed);
        Some(*seed)
    };
    text.chunks_exact(BLOCK_BYTES).scan(0, |seed, block| chain(seed, block)).collect()
}

/// Estimates the tokens of a text, rounded up.
#[must_use]
pub fn estimate_tokens(text: &[u8]) -> u32 {
    u32::try_from(text.len().div_ceil(BYTES_PER_TOKEN)).unwrap_or(u32::MAX)
}
