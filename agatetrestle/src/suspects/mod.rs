//! Requests under which backend servers have ended.
//!
//! Some requests end each server that runs them. Callers repeat what failed, through any entry and with a new ID, so an entry
//! alone can't bound how many servers such a request takes along; see docs/incidents/011-requests-that-end-their-servers.md.

pub mod fingerprint;

pub use self::fingerprint::Fingerprint;
