//! Small stand-ins for the systems that agatetrestle meets, for tests and examples.
//!
//! Each is a task on the caller's executor and listens on a loopback port that the operating system
//! chooses. None keeps time by itself unless it is told a pace, so that tests stay deterministic.

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
