//! Orders from the control leader to engines to load models.
//!
//! Each order carries a fencing token. Some engines ignore it, so a new leader first waits until the lease of its
//! predecessor has expired. Loads are paced to the rate of the weight store; see docs/design/011-orders-to-engines.md.

pub mod engines;
pub mod pacer;
pub mod reconciler;
#[cfg(test)]
mod tests;
