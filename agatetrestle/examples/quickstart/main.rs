//! Three entry nodes with a durable state group, fakes of all backend servers and one program, in one process.
//!
//! It runs a program of several turns, loses a node in the middle, and exits with 0 only if every
//! promise that it checks was kept.

mod cluster;
mod report;
mod scenario;

use std::process::ExitCode;
use std::rc::Rc;

use smol::LocalExecutor;

fn main() -> ExitCode {
    let executor = Rc::new(LocalExecutor::new());
    let report = smol::block_on(executor.run(scenario::run(&executor)));
    match report {
        Ok(report) => report.conclude(),
        Err(failure) => {
            eprintln!("quickstart: {failure}");
            ExitCode::FAILURE
        }
    }
}
