//! Command-line tool for operators; the results of RPC calls to nodes are printed as tables or JSON.
//!
//! The commands are in a library so that tests can run them against nodes in the same process. See
//! docs/operators/README.md for the commands and exit codes.

pub mod apply;
pub mod calls;
pub mod client;
pub mod commands;
pub mod error;
pub mod losses;
pub mod options;
pub mod report;
pub mod rows;
pub mod table;
