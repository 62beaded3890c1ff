//! What the attempts of a caller at the same request have in common.

use std::fmt;
use std::hash::Hasher;

use serde::Deserialize;
use serde::Serialize;
use xxhash_rust::xxh3::Xxh3;

/// Identifies a request over all attempts of its caller, whose IDs differ.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(transparent)]
pub struct Fingerprint(pub u64);

impl Fingerprint {
    /// Hashes the parts of a request that its caller sends again unchanged. Parts are delimited, so that no two lists of
    /// parts run together.
    #[must_use]
    pub fn of(parts: &[&[u8]]) -> Self {
        let mut hasher = Xxh3::new();
        for part in parts {
            hasher.write_usize(part.len());
            hasher.write(part);
        }
        Self(hasher.digest())
    }
}

impl fmt::Display for Fingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}
