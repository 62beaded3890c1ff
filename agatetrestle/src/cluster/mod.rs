//! Cluster membership and distribution of configuration to the processes of a deployment.
//!
//! Every process reports to the leader of the control group by long polling and gets updates in the answers; see
//! docs/design/012-a-deployment-of-three-roles.md.

pub mod backends;
pub mod contacts;
pub mod encoded;
pub mod identity;
pub mod membership;
pub mod message;
pub mod overview;
pub mod registry;
pub mod repair;
pub mod report_log;
pub mod service;
pub mod subscriber;
#[cfg(test)]
mod tests;
pub mod view;
pub mod voters;
