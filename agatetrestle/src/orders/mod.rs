//! Orders to engines: which model to load, given by the control leader alone.
//!
//! An order carries a fencing number. Some engines ignore it, so a new leader first waits until an old one
//! can no longer give orders by its own clock. Loads are paced so that all together stay within the
//! weight store's rate; see docs/design/011-orders-to-engines.md.

pub mod engines;
pub mod pacer;
pub mod reconciler;
#[cfg(test)]
mod tests;
