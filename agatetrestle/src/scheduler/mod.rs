//! The decisions: order of service, placing, retention, limits, retries and health.
//!
//! A [`Scheduler`] is told [`event::Event`] and answers with [`event::Decisions`]. It is pure, so
//! that the daemon and the replay run the same code; see docs/design/005-order-of-service.md.

pub mod classes;
pub mod config;
pub mod core;
pub mod event;
pub mod fleet;
pub mod order;
pub mod policy;
pub mod programs;
pub mod random;
pub mod residual;
pub mod round_robin;

use std::time::Duration;

use crate::clock::Timestamp;
use crate::scheduler::event::Backend;
use crate::scheduler::event::BackendKey;
use crate::scheduler::event::Decisions;
use crate::scheduler::event::Event;

pub use crate::scheduler::config::SchedulerConfig;
pub use crate::scheduler::policy::Policy;
pub use crate::scheduler::policy::build;

/// Everything that decides about calls. `now` never runs backwards.
pub trait Scheduler {
    /// Takes in one event and decides.
    fn step(&mut self, now: Timestamp, event: Event) -> Decisions;

    /// The backend server behind a key, as long as it is declared.
    fn backend(&self, key: BackendKey) -> Option<&Backend>;

    /// The longest time the driver may wait before the next [`Event::Tick`].
    fn tick_interval(&self) -> Duration;

    /// Calls in service and waiting, by backend server, for listings.
    fn backend_states(&self) -> Vec<BackendState>;
}

/// A backend server in listings.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct BackendState {
    /// Key of the backend server.
    pub key: BackendKey,
    /// This node's calls in service there.
    pub running: u32,
    /// Whether new calls may go there: `ready`, `leaving` or `ejected`.
    pub state: &'static str,
}
