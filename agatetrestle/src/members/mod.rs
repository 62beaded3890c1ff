//! Heartbeats, the platform's VM list and leaving; see docs/design/004-members-and-leaving.md.
//!
//! Every node sends a heartbeat to the control replicas and gets back a digest of all nodes. Any
//! sign that a VM or backend server is leaving only ever adds, until a newer incarnation shows.

pub mod leave_notices;
pub mod message;
pub mod roster;
pub mod table;
#[cfg(test)]
mod tests;
pub mod vm_list;
