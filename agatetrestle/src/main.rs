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
        Err(error) => return exit_with_error(&error),
    };
    if options.check {
        println!("{}: the settings are valid", options.config.display());
        return ExitCode::SUCCESS;
    }
    let _logger = match logging::init(&settings.logging) {
        Ok(logger) => logger,
        Err(error) => return exit_with_error(&error),
    };
    let executor = Rc::new(LocalExecutor::new());
    match smol::block_on(executor.run(run(settings, executor.clone(), options.missing_files()))) {
        Ok(code) => code,
        Err(error) => exit_with_error(&error),
    }
}

fn exit_with_error(error: &dyn std::error::Error) -> ExitCode {
    eprintln!("agatetrestled: {error}");
    ExitCode::FAILURE
}

/// Runs the node until a signal requests a graceful stop; a second signal stops it at once.
async fn run(
    settings: Settings,
    executor: Rc<LocalExecutor<'static>>,
    missing: MissingFiles,
) -> Result<ExitCode, NodeError> {
    let listeners = Listeners::bind(&settings.listen).await?;
    let mut signals = match Signals::new([Signal::Term, Signal::Int]) {
        Ok(signals) => signals,
        Err(error) => return Ok(exit_with_error(&error)),
    };
    let node = Node::start(settings, listeners, executor, missing).await?;
    signals.next().await;
    let stopped = Rc::new(Cell::new(false));
    let outcome = stopped.clone();
    let stop = async {
        outcome.set(node.stop().await);
    };
    let second_signal = async {
        signals.next().await;
    };
    smol::future::or(stop, second_signal).await;
    Ok(if stopped.get() { ExitCode::SUCCESS } else { ExitCode::FAILURE })
}
