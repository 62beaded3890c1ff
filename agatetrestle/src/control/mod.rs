//! The control group: declarations by version, leaving marks and fencing numbers.
//!
//! Versions only rise, in memory and on disk, and a resend returns the first result; see
//! docs/design/003-configuration-versions-and-lease.md.

pub mod command;
pub mod lease;
pub mod state;
#[cfg(test)]
mod tests;
