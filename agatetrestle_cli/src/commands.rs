//! Execution of commands.

use std::fs::File;
use std::io::BufRead;
use std::io::BufReader;
use std::path::Path;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use crate::apply;
use crate::calls;
use crate::calls::changes;
use crate::calls::changes::Change;
use crate::client::Client;
use crate::error::ToolError;
use crate::losses::LossSummary;
use crate::options::Apply;
use crate::options::Command;
use crate::options::Format;
use crate::options::Options;
use crate::options::Resolve;
use crate::options::Shell;
use crate::report::Report;
use crate::rows::ActiveConfig;
use crate::rows::Plan;
use crate::rows::ReplicasRow;
use crate::rows::ResolvedRow;
use crate::rows::Status;
use crate::table::table;

const BASH_COMPLETIONS: &str = include_str!("../../extra/completions/agatetrestle.bash");
const FISH_COMPLETIONS: &str = include_str!("../../extra/completions/agatetrestle.fish");
const ZSH_COMPLETIONS: &str = include_str!("../../extra/completions/_agatetrestle");

/// Maximum size of a declarations file; it must stay below the message size limit of nodes.
const MAX_FILE_BYTES: usize = 768 << 10;

/// Executes the command of a command line and returns its output.
pub async fn run(options: &Options) -> Report {
    let client = Client::new(options.addresses.clone());
    run_with(&client, options.format, &options.command).await
}

/// Executes a command with the given client.
pub async fn run_with(client: &Client, format: Format, command: &Command) -> Report {
    execute(client, format, command).await.unwrap_or_else(|e| Report::failure(format, &e))
}

async fn execute(client: &Client, format: Format, command: &Command) -> Result<Report, ToolError> {
    Ok(match command {
        Command::Apply(args) => apply_change(client, format, args).await?,
        Command::Plan { scope, file } => {
            let plan = calls::plan(client, scope, &read_declarations(file)?).await?;
            Report::result(format, &plan, format_plan)
        }
        Command::Status => Report::result(format, &calls::status(client).await?, format_status),
        Command::Programs { partner, limit } => {
            let rows = calls::programs(client, partner, *limit).await?;
            Report::result(format, &rows, |rows| table(rows))
        }
        Command::Backends => Report::result(format, &calls::backends(client).await?, |rows| table(rows)),
        Command::Drain { name } => {
            let row = changes::drain(client, name).await?;
            Report::result(format, &row, |row| table(std::slice::from_ref(row)))
        }
        Command::Config { scope } => show_config(client, format, scope.as_deref()).await?,
        Command::Trace { limit } => {
            let lines = calls::trace(client, *limit).await?;
            Report::result(Format::Table, &lines, |lines| {
                lines.iter().flat_map(|line| [&**line, "\n"]).collect()
            })
        }
        Command::Resolve(args) => resolve(client, format, args).await?,
        Command::Replicas(args) => {
            let row = ReplicasRow { group: args.group, change: args.change, node: args.node };
            changes::replicas(client, &row).await?;
            Report::result(format, &row, |row| table(std::slice::from_ref(row)))
        }
        Command::Account { span, logs } => summarize_losses(format, *span, logs)?,
        Command::Completions(shell) => {
            Report::result(Format::Table, &(), |()| completions(*shell).to_owned())
        }
    })
}

fn summarize_losses(format: Format, interval_s: u64, logs: &[PathBuf]) -> Result<Report, ToolError> {
    let mut summary = LossSummary::new(interval_s);
    for log in logs {
        let file_error =
            |e: std::io::Error| ToolError::File { file: log.clone(), reason: e.to_string().into() };
        let lines = BufReader::new(File::open(log).map_err(file_error)?).split(b'\n');
        for line in lines {
            summary.add(&String::from_utf8_lossy(&line.map_err(file_error)?));
        }
    }
    Ok(Report::result(format, &summary.losses(), |losses| table(losses)))
}

fn read_declarations(file: &Path) -> Result<Arc<str>, ToolError> {
    let file_error = |reason| ToolError::File { file: file.into(), reason };
    let text = std::fs::read_to_string(file).map_err(|e| file_error(e.to_string().into()))?;
    if text.len() > MAX_FILE_BYTES {
        return Err(file_error(format!("larger than the limit of {MAX_FILE_BYTES} bytes").into()));
    }
    Ok(text.into())
}

async fn apply_change(client: &Client, format: Format, args: &Apply) -> Result<Report, ToolError> {
    let text = read_declarations(&args.file)?;
    let expected_version = args.expected_version;
    let default_id = || apply::default_change_id(&args.scope, expected_version, &text);
    let change_id = args.change_id.as_deref().map_or_else(default_id, Into::into);
    let change = Change { scope: args.scope.as_str().into(), text, expected_version, change_id };
    let row = apply::apply(client, &change).await?;
    if args.wait {
        apply::wait(client, &row, Duration::from_secs(args.wait_seconds)).await?;
    }
    Ok(Report::result(format, &row, |row| table(std::slice::from_ref(row))))
}

async fn show_config(client: &Client, format: Format, scope: Option<&str>) -> Result<Report, ToolError> {
    let ActiveConfig { revision, mut documents } = calls::config(client).await?;
    let Some(scope) = scope else {
        let config = ActiveConfig { revision, documents };
        return Ok(Report::result(format, &config, |config| {
            format!("revision {}\n\n{}", config.revision, table(&config.documents))
        }));
    };
    documents.retain(|document| &*document.scope == scope);
    match documents.pop() {
        Some(document) => Ok(Report::result(format, &document, |document| document.text.to_string())),
        None => Err(ToolError::Invalid { reason: format!("no document is named {scope}").into() }),
    }
}

async fn resolve(client: &Client, format: Format, args: &Resolve) -> Result<Report, ToolError> {
    let row = ResolvedRow { program: args.program.as_str().into(), call: args.call, ran: args.ran };
    changes::resolve(client, &row, &args.note).await?;
    Ok(Report::result(format, &row, |row| table(std::slice::from_ref(row))))
}

fn format_plan(plan: &Plan) -> String {
    format!("current version {}\n{}", plan.current_version, plan.difference)
}

fn format_status(status: &Status) -> String {
    let availability = if status.taking_work { "takes new work" } else { "takes no new work" };
    let reason = if status.reason.is_empty() { String::new() } else { format!(": {}", status.reason) };
    let head = format!("node {} at revision {} {availability}{reason}", status.node, status.revision);
    format!("{head}\n\n{}\n{}", table(&status.nodes), table(&status.groups))
}

/// Returns the completion script of a shell, which queries the tool for candidates.
#[must_use]
pub fn completions(shell: Shell) -> &'static str {
    match shell {
        Shell::Bash => BASH_COMPLETIONS,
        Shell::Fish => FISH_COMPLETIONS,
        Shell::Zsh => ZSH_COMPLETIONS,
    }
}
