//! The daemon of agatetrestle.

use std::cell::Cell;
use std::process::ExitCode;
use std::rc::Rc;

use agatetrestle::cli::Options;
use agatetrestle::logging;
use agatetrestle::node::Node;
use agatetrestle::node::NodeError;
use agatetrestle::node::listeners::Listeners;
use agatetrestle::node::replicas::MissingFiles;
use agatetrestle_config::Settings;
use async_signal::Signal;
use async_signal::Signals;
use futures::StreamExt;
use smol::LocalExecutor;

fn main() -> ExitCode {
    let options = Options::from_args();
    let settings = match Settings::load(&options.config) {
        Ok(settings) => settings,
        Err(failure) => return refuse(&failure),
    };
    if options.check {
        println!("{}: the settings are valid", options.config.display());
        return ExitCode::SUCCESS;
    }
    let _logger = match logging::init(&settings.logging) {
        Ok(logger) => logger,
        Err(failure) => return refuse(&failure),
    };
    let executor = Rc::new(LocalExecutor::new());
    match smol::block_on(executor.run(run(settings, executor.clone(), options.missing_files()))) {
        Ok(code) => code,
        Err(failure) => refuse(&failure),
    }
}

fn refuse(failure: &dyn std::error::Error) -> ExitCode {
    eprintln!("agatetrestled: {failure}");
    ExitCode::FAILURE
}

/// Runs the node until a signal asks it to stop; a second signal stops it at once.
async fn run(
    settings: Settings,
    executor: Rc<LocalExecutor<'static>>,
    missing: MissingFiles,
) -> Result<ExitCode, NodeError> {
    let listeners = Listeners::bind(&settings.listen).await?;
    let mut signals = match Signals::new([Signal::Term, Signal::Int]) {
        Ok(signals) => signals,
        Err(failure) => return Ok(refuse(&failure)),
    };
    let node = Node::start(settings, listeners, executor, missing).await?;
    signals.next().await;
    let finished = Rc::new(Cell::new(false));
    let outcome = finished.clone();
    let stop = async {
        outcome.set(node.stop().await);
    };
    let second = async {
        signals.next().await;
    };
    smol::future::or(stop, second).await;
    Ok(if finished.get() { ExitCode::SUCCESS } else { ExitCode::FAILURE })
}
