//! Scheduler for agent programs: the modules of the daemon.
//!
//! Each folder has one responsibility with its own state, messages and tests. Modules that make decisions are pure: time and
//! randomness are passed in. Start with docs/design/README.md.

pub mod admission;
pub mod agreement;
pub mod allowance;
pub mod attempts;
pub mod backends;
pub mod cli;
pub mod clock;
pub mod cluster;
pub mod codec;
pub mod control;
pub mod deployment;
pub mod dispatch;
pub mod entry;
pub mod gateway;
pub mod health;
pub mod history;
pub mod ids;
pub mod logging;
pub mod members;
pub mod metrics;
pub mod node;
pub mod operator;
pub mod orders;
pub mod placing;
pub mod ports;
pub mod programs;
pub mod retention;
pub mod routing;
pub mod scheduler;
pub mod suspects;
pub mod trace;
pub mod transport;
pub mod turns;
