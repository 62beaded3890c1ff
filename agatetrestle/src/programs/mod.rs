//! The ledger of programs: order, history, budget and outcome of every call.
//!
//! One state group applies [`command::ProgramCommand`] to a program by compare-and-set, and that
//! alone carries the promises; see docs/design/002-ledger-and-at-most-once.md.

pub mod command;
pub mod ledger;
mod program;
#[cfg(test)]
mod tests;
