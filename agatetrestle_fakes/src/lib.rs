//! Fake servers and a client for tests and examples.
//!
//! Each server is a task on the caller's executor and listens on a loopback port, chosen by the operating system unless
//! a port is given. Servers add no delay unless configured, so that tests stay deterministic.

mod cache;
pub mod client;
pub mod engine;
pub mod forwarder;
pub mod server;
pub mod service;
pub mod tool;
pub mod vm_list;

pub use client::Client;
pub use engine::Engine;
pub use engine::EngineConfig;
pub use forwarder::Forwarder;
pub use service::Service;
pub use tool::Tool;
pub use vm_list::VmList;
