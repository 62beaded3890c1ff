//! State of the control group: versioned configuration, leaving marks and fencing tokens.
//!
//! Versions never decrease, and a retried change returns its first result; see
//! docs/design/003-configuration-versions-and-lease.md.

pub mod command;
pub mod lease;
pub mod state;
#[cfg(test)]
mod tests;
