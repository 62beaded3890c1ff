//! Replays recorded traces against the decisions, or makes synthetic ones.

use std::path::Path;
use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::Arc;

use agatetrestle::scheduler::Policy;
use agatetrestle::trace;
use agatetrestle::trace::TraceError;
use agatetrestle_replay::catalog::Pool;
use agatetrestle_replay::faults;
use agatetrestle_replay::faults::FaultError;
use agatetrestle_replay::replay;
use agatetrestle_replay::report;
use agatetrestle_replay::synth;
use agatetrestle_replay::synth::Synth;
use agatetrestle_replay::synth::Workload;
use agatetrestle_replay::world::Options;
use bpaf::Bpaf;
use snafu::ResultExt;
use snafu::Snafu;

const DEFAULT_ENGINES: usize = 8;

/// Replays traces of agent programs in virtual time.
#[derive(Bpaf, Clone, Debug)]
#[bpaf(options)]
enum Command {
    /// Replays a trace under one policy.
    #[bpaf(command)]
    Run {
        /// Trace in the form of docs/TRACE.md.
        #[bpaf(argument("FILE"))]
        trace: PathBuf,
        /// Name of the policy.
        #[bpaf(argument("NAME"))]
        policy: Policy,
        #[bpaf(external)]
        common: Common,
    },
    /// Replays a trace under several policies side by side.
    #[bpaf(command)]
    Compare {
        /// Trace in the form of docs/TRACE.md.
        #[bpaf(argument("FILE"))]
        trace: PathBuf,
        /// Name of a policy; may be repeated.
        #[bpaf(argument("NAME"))]
        policy: Vec<Policy>,
        #[bpaf(external)]
        common: Common,
    },
    /// Writes a synthetic trace to the standard output.
    #[bpaf(command)]
    Synth {
        /// `vrsta`, `lernwerk`, `shared`, `tenfold` or `runaway`.
        #[bpaf(argument("NAME"))]
        workload: Workload,
        /// Programs that are no sub-agents.
        #[bpaf(argument("COUNT"), fallback(1_000))]
        programs: u32,
        /// Offered work in percent of what the engines can do.
        #[bpaf(argument("PERCENT"), fallback(85))]
        load: u32,
        /// Engines that the load is meant for.
        #[bpaf(argument("COUNT"), fallback(8))]
        engines: u32,
        /// Decides everything else.
        #[bpaf(argument("NUMBER"), fallback(1))]
        seed: u64,
    },
}

#[derive(Bpaf, Clone, Debug)]
struct Common {
    /// Seed of the fakes and of the policy.
    #[bpaf(argument("NUMBER"), fallback(1))]
    seed: u64,
    /// Engines for each model.
    #[bpaf(argument("COUNT"), fallback(DEFAULT_ENGINES))]
    engines: usize,
    /// Faults in the form of docs/TRACE.md.
    #[bpaf(argument("FILE"), optional)]
    faults: Option<PathBuf>,
    /// `table` or `json`.
    #[bpaf(argument("FORM"), fallback(Form::Table))]
    output: Form,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Form {
    Table,
    Json,
}

#[derive(Debug, Snafu)]
#[snafu(display("no output form is named {name}; there are table and json"))]
struct UnknownForm {
    name: Arc<str>,
}

impl std::str::FromStr for Form {
    type Err = UnknownForm;

    fn from_str(name: &str) -> Result<Self, Self::Err> {
        match name {
            "table" => Ok(Self::Table),
            "json" => Ok(Self::Json),
            _ => UnknownFormSnafu { name }.fail(),
        }
    }
}

#[derive(Debug, Snafu)]
enum ReplayError {
    #[snafu(display("{}: {source}", file.display()))]
    Read { file: PathBuf, source: std::io::Error },
    #[snafu(display("{}: {source}", file.display()))]
    Trace { file: PathBuf, source: TraceError },
    #[snafu(display("{}: {source}", file.display()))]
    Faults { file: PathBuf, source: FaultError },
    #[snafu(display("the output can't be written as JSON: {source}"))]
    Write { source: serde_json::Error },
}

fn read(file: &Path) -> Result<String, ReplayError> {
    std::fs::read_to_string(file).context(ReadSnafu { file })
}

fn compare(file: &Path, policies: &[Policy], common: &Common) -> Result<String, ReplayError> {
    let calls = trace::parse(&read(file)?).context(TraceSnafu { file })?;
    let faults = match &common.faults {
        Some(file) => faults::parse(&read(file)?).context(FaultsSnafu { file })?,
        None => Vec::new(),
    };
    let pool = Pool { engines: common.engines, ..Pool::default() };
    let options = Options { seed: common.seed, pool, faults };
    let measures: Vec<_> = policies.iter().map(|policy| replay(&calls, *policy, &options)).collect();
    match common.output {
        Form::Table => Ok(report::table(&measures)),
        Form::Json => report::json(&measures).context(WriteSnafu),
    }
}

fn execute(command: &Command) -> Result<String, ReplayError> {
    match command {
        Command::Run { trace, policy, common } => compare(trace, &[*policy], common),
        Command::Compare { trace, policy, common } => compare(trace, policy, common),
        Command::Synth { workload, programs, load, engines, seed } => {
            let synth = Synth {
                workload: *workload,
                programs: *programs,
                load: *load,
                engines: *engines,
                seed: *seed,
            };
            trace::format(&synth::synthesise(&synth)).context(WriteSnafu)
        }
    }
}

fn main() -> ExitCode {
    match execute(&command().run()) {
        Ok(text) => {
            print!("{text}");
            ExitCode::SUCCESS
        }
        Err(error) => {
            eprintln!("replay: {error}");
            ExitCode::FAILURE
        }
    }
}
