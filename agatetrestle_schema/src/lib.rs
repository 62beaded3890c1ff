//! Schema of the calls between processes and of the calls that operators make.
//!
//! The code under `generated/` is made by `scripts/generate-schema` and committed, so that a
//! build needs no schema compiler; see docs/design/001-replicated-log-and-groups.md.

#[rustfmt::skip]
#[allow(clippy::all, clippy::pedantic, missing_docs, unused_qualifications)]
#[path = "generated/operator_capnp.rs"]
pub mod operator_capnp;

#[rustfmt::skip]
#[allow(clippy::all, clippy::pedantic, missing_docs, unused_qualifications)]
#[path = "generated/peer_capnp.rs"]
pub mod peer_capnp;
