//! HTTP as every part of a deployment speaks it: one server and one client on top of `hyper`.
//!
//! Why `hyper` stands here and not `async-h1`: docs/design/012-a-deployment-of-three-roles.md.

pub mod accept;
pub mod body;
pub mod client;
pub mod observed;
pub mod server;
#[cfg(test)]
mod tests;
mod watch;
