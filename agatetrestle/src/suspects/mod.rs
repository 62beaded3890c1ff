//! Requests under which backend servers have ended.
//!
//! Some requests end each server that runs them. Callers repeat what failed, through any entry and with a new ID, so an entry
//! alone can't bound how many servers such a request takes along; see docs/design/027-requests-that-end-servers.md.

pub mod fingerprint;
pub mod record;
#[cfg(test)]
mod tests;
pub mod view;

pub use self::fingerprint::Fingerprint;
pub use self::record::Suspects;
pub use self::view::SuspectView;
