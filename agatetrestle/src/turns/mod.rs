//! Turns and budgets of programs, as the replicas of a state group agree on them.
//!
//! A turn reserves its most tokens before anything is sent and settles at its end, and a turn that ended whole
//! is kept with everything it goes on from; see docs/design/012-a-deployment-of-three-roles.md.

pub mod admission;
pub mod clock;
pub mod command;
pub mod limiter;
pub mod state;
#[cfg(test)]
mod tests;
