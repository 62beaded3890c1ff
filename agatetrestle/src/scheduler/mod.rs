//! Scheduling of calls: order of service, placement, retention, admission, retries and health.
//!
//! A [`Scheduler`] maps each [`event::Event`] to [`event::Decisions`] without I/O, so that the daemon and the
//! replay run the same code; see docs/design/005-order-of-service.md.

pub mod classes;
pub mod config;
pub mod core;
pub mod event;
pub mod fleet;
pub mod order;
pub mod policy;
pub mod programs;
pub mod random;
pub mod round_robin;
pub mod service_histogram;

use std::time::Duration;

use crate::clock::Timestamp;
use crate::scheduler::event::Backend;
use crate::scheduler::event::BackendKey;
use crate::scheduler::event::Decisions;
use crate::scheduler::event::Event;

pub use crate::scheduler::config::SchedulerConfig;
pub use crate::scheduler::policy::Policy;
pub use crate::scheduler::policy::build;

/// A scheduling policy with its state. `now` must not decrease.
pub trait Scheduler {
    /// Processes one event and returns the resulting decisions.
    fn step(&mut self, now: Timestamp, event: Event) -> Decisions;

    /// Looks up a declared backend server.
    fn backend(&self, key: BackendKey) -> Option<&Backend>;

    /// Maximum time between two [`Event::Tick`]s.
    fn tick_interval(&self) -> Duration;

    /// The state of every backend server, for listings.
    fn backend_states(&self) -> Vec<BackendState>;
}

/// State of a backend server in listings.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct BackendState {
    /// The backend server.
    pub key: BackendKey,
    /// This node's calls in service on it.
    pub running: u32,
    /// Whether it accepts new calls: `ready`, `leaving` or `ejected`.
    pub state: &'static str,
}
