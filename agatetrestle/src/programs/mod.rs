//! The ledger of programs: order, history, budget and outcome of every call.
//!
//! The state group of a program applies each [`command::ProgramCommand`] by compare-and-set, which is what
//! guarantees at-most-once execution; see docs/design/002-ledger-and-at-most-once.md.

pub mod command;
pub mod ledger;
mod program;
#[cfg(test)]
mod tests;
