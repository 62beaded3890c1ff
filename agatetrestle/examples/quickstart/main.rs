//! Three entry nodes with a durable state group, fake backend servers and one program, in one process.
//!
//! Runs a program of several turns, kills a node during a streamed answer, and exits with 0 only if every
//! check passes.

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
        Ok(report) => report.print(),
        Err(error) => {
            eprintln!("quickstart: {error}");
            ExitCode::FAILURE
        }
    }
}
