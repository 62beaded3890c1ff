//! Membership by heartbeats, the platform's VM list and leave notices; see docs/design/004-members-and-leaving.md.
//!
//! Every node sends heartbeats to the control replicas and receives digests of all nodes. A leave notice of a VM or
//! backend server is never withdrawn; only a newer incarnation of the name is live again.

pub mod leave_notices;
pub mod message;
pub mod roster;
pub mod table;
#[cfg(test)]
mod tests;
pub mod vm_list;
