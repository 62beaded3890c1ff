//! Memory that an entry spends on the responses of all its requests.
//!
//! Each response has limits of its own, but many faulty servers at once could take the memory of the whole process. A small part of
//! each response is free, so that ordinary ones need nothing of the budget; see docs/design/012-a-deployment-of-three-roles.md.

use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;

use bytes::Bytes;

/// Bytes of one response that are not charged; larger than most responses and events.
pub(super) const FREE_BYTES: usize = 16 << 10;

/// What all responses together may hold beyond [`FREE_BYTES`] each.
#[derive(Clone, Debug)]
pub(super) struct BufferBudget {
    free: Arc<AtomicUsize>,
}

impl BufferBudget {
    pub(super) fn new(bytes: usize) -> Self {
        Self { free: Arc::new(AtomicUsize::new(bytes)) }
    }

    /// A response that holds nothing.
    pub(super) fn open(&self) -> BufferPermit {
        BufferPermit { budget: self.clone(), charged: 0 }
    }

    fn try_take(&self, bytes: usize) -> bool {
        let taking =
            self.free.fetch_update(Ordering::Relaxed, Ordering::Relaxed, |free| free.checked_sub(bytes));
        taking.is_ok()
    }

    fn release(&self, bytes: usize) {
        self.free.fetch_add(bytes, Ordering::Relaxed);
    }
}

/// What one response holds. Dropping it frees that.
#[derive(Debug)]
pub(super) struct BufferPermit {
    budget: BufferBudget,
    charged: usize,
}

impl BufferPermit {
    /// Records how many bytes the response holds now. Returns whether the budget bears it; if not, what was charged stays.
    pub(super) fn try_hold(&mut self, bytes: usize) -> bool {
        let charge = bytes.saturating_sub(FREE_BYTES);
        if charge > self.charged && !self.budget.try_take(charge - self.charged) {
            return false;
        }
        self.budget.release(self.charged.saturating_sub(charge));
        self.charged = charge;
        true
    }

    /// Bytes that stay charged until the last reference to them is dropped, as by the connection that has written them.
    pub(super) fn attach(self, bytes: Bytes) -> Bytes {
        if self.charged == 0 {
            return bytes;
        }
        Bytes::from_owner(ChargedBytes { bytes, _permit: self })
    }
}

impl Drop for BufferPermit {
    fn drop(&mut self) {
        self.budget.release(self.charged);
    }
}

struct ChargedBytes {
    bytes: Bytes,
    _permit: BufferPermit,
}

impl AsRef<[u8]> for ChargedBytes {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}
