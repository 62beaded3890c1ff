//! HTTP/1.1 server and client on top of `hyper`, used by all processes of a deployment.
//!
//! Why `hyper` and not `async-h1`: docs/design/012-a-deployment-of-three-roles.md.

pub mod accept;
pub mod body;
pub mod body_end;
pub(crate) mod bounded;
pub mod client;
mod connection_state;
mod counted;
pub mod observed;
pub mod server;
#[cfg(test)]
mod tests;
