//! Cluster membership and distribution of configuration to the processes of a deployment.
//!
//! Every process reports by long polling, to the leader of the control group or to a follower that relays for it, and gets
//! updates in the answers; see docs/design/012-a-deployment-of-three-roles.md and docs/design/015-a-fleet-of-a-thousand-vms.md.

pub mod contacts;
pub mod encoded;
pub mod identity;
mod in_flight;
pub mod leader_load;
pub mod liveness;
pub mod message;
pub mod overview;
pub mod registry;
pub mod relays;
pub mod repair;
pub mod report_log;
pub mod service;
pub mod subscriber;
pub mod suspect_watch;
#[cfg(test)]
mod tests;
pub mod versioned;
pub mod view;
pub mod voters;
