//! How the processes of a deployment find each other and stay in agreement on what is in force.
//!
//! Every process reports to the leader of the control group, which holds the call until it has news; see
//! docs/design/012-a-deployment-of-three-roles.md.

pub mod backends;
pub mod board;
pub mod contacts;
pub mod identity;
pub mod keeper;
pub mod message;
pub mod overview;
pub mod packs;
pub mod report_log;
pub mod roll;
pub mod service;
pub mod subscriber;
#[cfg(test)]
mod tests;
pub mod view;
pub mod voters;
