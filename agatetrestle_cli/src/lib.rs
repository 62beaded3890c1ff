//! Command-line tool for operators: each command is one call to a node, told as a table or as JSON.
//!
//! The commands live in a library so that tests run them against a node in the same process; see
//! docs/operators/README.md for what each does and for the exit codes.

pub mod account;
pub mod apply;
pub mod calls;
pub mod client;
pub mod commands;
pub mod error;
pub mod options;
pub mod report;
pub mod rows;
pub mod table;
