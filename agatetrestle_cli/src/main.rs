//! Entry point of the binary `agatetrestle`.

use std::io::Write;
use std::process::ExitCode;

use agatetrestle_cli::commands;
use agatetrestle_cli::error::Exit;
use agatetrestle_cli::options::Options;
use agatetrestle_cli::report::Report;
use bpaf::Args;
use bpaf::ParseFailure;

const HELP_COLUMNS: usize = 100;

fn main() -> ExitCode {
    let options = match Options::parser().run_inner(Args::current_args()) {
        Ok(options) => options,
        Err(failure) => {
            failure.print_message(HELP_COLUMNS);
            let is_usage_error = matches!(failure, ParseFailure::Stderr(_));
            return ExitCode::from(if is_usage_error { Exit::Usage } else { Exit::Done } as u8);
        }
    };
    let report = smol::block_on(commands::run(&options));
    write(&report).unwrap_or(ExitCode::FAILURE)
}

fn write(report: &Report) -> std::io::Result<ExitCode> {
    std::io::stdout().write_all(report.stdout.as_bytes())?;
    std::io::stderr().write_all(report.stderr.as_bytes())?;
    Ok(ExitCode::from(report.exit as u8))
}
