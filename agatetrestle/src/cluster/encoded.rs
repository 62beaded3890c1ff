//! Parts of updates, encoded once for all processes that get the same.
//!
//! A change goes to every process of the deployment within a fraction of a second, from a control replica that has the
//! least processor time of all; three hundred codings of one list would take it seconds.

use std::cell::RefCell;

use serde::Serialize;

use crate::codec::Packed;

/// The newest packed form of one list.
#[derive(Debug)]
pub struct EncodedCache<K>(RefCell<Option<(K, Packed)>>);

impl<K> Default for EncodedCache<K> {
    fn default() -> Self {
        Self(RefCell::default())
    }
}

impl<K: Copy + PartialEq> EncodedCache<K> {
    /// The packed list of an edition, packed now if it is another one than before.
    pub fn get_or_encode<T: Serialize>(&self, edition: K, list: impl FnOnce() -> T) -> Packed {
        let mut held = self.0.borrow_mut();
        match &*held {
            Some((known, packed)) if *known == edition => packed.clone(),
            _ => {
                let packed = Packed::new(&list());
                *held = Some((edition, packed.clone()));
                packed
            }
        }
    }
}
