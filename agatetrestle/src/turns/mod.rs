//! Turns and token budgets of programs, replicated in a state group.
//!
//! A turn reserves its maximum of tokens before its request is sent and is charged for what it used when it ends. Completed
//! turns are retained together with the turns they continue; see docs/design/012-a-deployment-of-three-roles.md.

pub mod admission;
pub mod clock;
pub mod command;
pub mod limiter;
pub mod placement;
pub mod program_admission;
pub mod recent;
pub mod relayed;
pub mod shedding;
pub mod state;
pub mod streams;
#[cfg(test)]
mod tests;
