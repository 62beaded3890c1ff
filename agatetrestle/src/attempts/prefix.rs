//! Prompt prefixes as chained hashes, so that placing compares prompts without their text.

use std::sync::Arc;

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Bytes of prompt text in one block, about 64 tokens of ordinary text.
pub const BLOCK_BYTES: usize = 256;

/// Bytes of ordinary text in one token, for estimates that only decisions use.
pub const BYTES_PER_TOKEN: usize = 4;

/// Hashes of the whole blocks of a text, each over all before it. A rest shorter than a block has no
/// hash, since an engine shares only whole blocks.
#[must_use]
pub fn block_hashes(text: &[u8]) -> Arc<[u64]> {
    let chain = |seed: &mut u64, block: &[u8]| {
        *seed = xxh3_64_with_seed(block, *seed);
        Some(*seed)
    };
    text.chunks_exact(BLOCK_BYTES).scan(0, |seed, block| chain(seed, block)).collect()
}

/// Estimated tokens of a text, rounded up.
#[must_use]
pub fn estimate_tokens(text: &[u8]) -> u32 {
    u32::try_from(text.len().div_ceil(BYTES_PER_TOKEN)).unwrap_or(u32::MAX)
}
