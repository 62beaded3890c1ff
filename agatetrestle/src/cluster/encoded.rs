//! A cache of encoded lists, so that an update for hundreds of processes is encoded once.

use std::cell::RefCell;

use serde::Serialize;

use crate::codec::Compressed;

/// The encoded form of the newest version of a list, by a key that identifies the version.
#[derive(Debug)]
pub struct EncodedCache<K>(RefCell<Option<(K, Compressed)>>);

impl<K> Default for EncodedCache<K> {
    fn default() -> Self {
        Self(RefCell::default())
    }
}

impl<K: Copy + PartialEq> EncodedCache<K> {
    /// Returns the encoded list, encoding it if the key differs from the cached one.
    pub fn get_or_encode<T: Serialize>(&self, key: K, list: impl FnOnce() -> T) -> Compressed {
        let mut cached = self.0.borrow_mut();
        match &*cached {
            Some((known, compressed)) if *known == key => compressed.clone(),
            _ => {
                let compressed = Compressed::new(&list());
                *cached = Some((key, compressed.clone()));
                compressed
            }
        }
    }
}
