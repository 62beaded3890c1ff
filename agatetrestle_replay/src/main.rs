//! Command line for replaying recorded traces and generating synthetic ones.

use std::path::Path;
use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::Arc;

use agatetrestle::scheduler::Policy;
use agatetrestle::scheduler::SchedulerConfig;
use agatetrestle::trace;
use agatetrestle::trace::TraceError;
use agatetrestle_replay::catalog::PoolConfig;
use agatetrestle_replay::control_traffic;
use agatetrestle_replay::detect;
use agatetrestle_replay::faults;
use agatetrestle_replay::faults::Fault;
use agatetrestle_replay::faults::FaultError;
use agatetrestle_replay::replay;
use agatetrestle_replay::report;
use agatetrestle_replay::score;
use agatetrestle_replay::score::ScoreOptions;
use agatetrestle_replay::simulation::ReplayOptions;
use agatetrestle_replay::synth;
use agatetrestle_replay::synth::SynthOptions;
use agatetrestle_replay::synth::Workload;
use bpaf::Bpaf;
use snafu::OptionExt;
use snafu::ResultExt;
use snafu::Snafu;

const DEFAULT_ENGINES: usize = 8;
/// VMs of the fleets that are modelled by default.
const DEFAULT_FLEETS: [u64; 4] = [250, 500, 1_000, 2_000];

/// Replays traces of agent programs in virtual time.
#[derive(Bpaf, Clone, Debug)]
#[bpaf(options)]
enum Command {
    /// Replays a trace under one policy.
    #[bpaf(command)]
    Run {
        /// Trace in the format of docs/TRACE.md.
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
        /// Trace in the format of docs/TRACE.md.
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
        #[bpaf(external)]
        shape: Shape,
        /// Seed of all random choices.
        #[bpaf(argument("NUMBER"), fallback(1))]
        seed: u64,
    },
    /// Compares outlier detectors for backend servers at an equal rate of false ejections.
    #[bpaf(command)]
    Detect {
        /// False ejections per 100,000 calls of a healthy server.
        #[bpaf(argument("COUNT"), fallback(1))]
        rate: u32,
    },
    /// Models what control sends to the processes of fleets of several sizes.
    #[bpaf(command)]
    Control {
        /// Number of VMs; may be repeated. Without it, 250, 500, 1,000 and 2,000.
        #[bpaf(argument("COUNT"))]
        vms: Vec<u64>,
        /// Seed of all random choices.
        #[bpaf(argument("NUMBER"), fallback(1))]
        seed: u64,
        /// `table` or `json`.
        #[bpaf(argument("FORM"), fallback(OutputFormat::Table))]
        output: OutputFormat,
    },
    /// Replays synthetic traces of several seeds under several policies and prints medians.
    #[bpaf(command)]
    Score {
        #[bpaf(external)]
        shape: Shape,
        /// Name of a policy; may be repeated.
        #[bpaf(argument("NAME"))]
        policy: Vec<Policy>,
        /// First seed.
        #[bpaf(argument("NUMBER"), fallback(1))]
        first: u64,
        /// Last seed.
        #[bpaf(argument("NUMBER"), fallback(20))]
        last: u64,
        /// Step between seeds; 2 selects only even or only odd ones.
        #[bpaf(argument("NUMBER"), fallback(1))]
        step: usize,
        /// Number of threads.
        #[bpaf(argument("COUNT"), fallback(4))]
        jobs: usize,
        /// Scheduler setting as `name=value`; may be repeated.
        #[bpaf(argument("SETTING"))]
        set: Vec<Setting>,
        /// Faults in the format of docs/TRACE.md.
        #[bpaf(argument("FILE"), optional)]
        faults: Option<PathBuf>,
    },
}

#[derive(Bpaf, Clone, Debug)]
struct Shape {
    /// `vrsta`, `lernwerk`, `shared`, `tenfold`, `tenfold_alone`, `runaway` or `runaway_alone`.
    #[bpaf(argument("NAME"))]
    workload: Workload,
    /// Number of root programs.
    #[bpaf(argument("COUNT"), fallback(1_000))]
    programs: u32,
    /// Offered load in percent of the engines' capacity.
    #[bpaf(argument("PERCENT"), fallback(85))]
    load: u32,
    /// Number of engines that the load refers to.
    #[bpaf(argument("COUNT"), fallback(8))]
    engines: u32,
}

impl Shape {
    fn synth(&self, seed: u64) -> SynthOptions {
        let Self { workload, programs, load, engines } = *self;
        SynthOptions { workload, programs, load, engines, seed }
    }
}

/// A scheduler setting given as `name=value`.
#[derive(Clone, Debug)]
struct Setting {
    name: Arc<str>,
    value: serde_json::Value,
}

impl std::str::FromStr for Setting {
    type Err = MalformedSetting;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let (name, value) = text.split_once('=').context(MalformedSettingSnafu { text })?;
        let value = serde_json::from_str(value).unwrap_or_else(|_| value.into());
        Ok(Self { name: name.into(), value })
    }
}

#[derive(Debug, Snafu)]
#[snafu(display("{text} is not of the form name=value"))]
struct MalformedSetting {
    text: Arc<str>,
}

#[derive(Bpaf, Clone, Debug)]
struct Common {
    /// Seed of the simulation and the policy.
    #[bpaf(argument("NUMBER"), fallback(1))]
    seed: u64,
    /// Engines for each model.
    #[bpaf(argument("COUNT"), fallback(DEFAULT_ENGINES))]
    engines: usize,
    /// Faults in the format of docs/TRACE.md.
    #[bpaf(argument("FILE"), optional)]
    faults: Option<PathBuf>,
    /// `table` or `json`.
    #[bpaf(argument("FORM"), fallback(OutputFormat::Table))]
    output: OutputFormat,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum OutputFormat {
    Table,
    Json,
}

#[derive(Debug, Snafu)]
#[snafu(display("unknown output format {name}; expected table or json"))]
struct UnknownFormat {
    name: Arc<str>,
}

impl std::str::FromStr for OutputFormat {
    type Err = UnknownFormat;

    fn from_str(name: &str) -> Result<Self, Self::Err> {
        match name {
            "table" => Ok(Self::Table),
            "json" => Ok(Self::Json),
            _ => UnknownFormatSnafu { name }.fail(),
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
    #[snafu(display("failed to serialize the output as JSON: {source}"))]
    Write { source: serde_json::Error },
    #[snafu(display("invalid scheduler setting: {source}"))]
    Settings { source: serde_json::Error },
}

fn read(file: &Path) -> Result<String, ReplayError> {
    std::fs::read_to_string(file).context(ReadSnafu { file })
}

fn read_faults(file: Option<&Path>) -> Result<Vec<Fault>, ReplayError> {
    match file {
        Some(file) => faults::parse(&read(file)?).context(FaultsSnafu { file }),
        None => Ok(Vec::new()),
    }
}

fn scheduler_config(settings: &[Setting]) -> Result<SchedulerConfig, ReplayError> {
    let mut object = serde_json::Map::new();
    for setting in settings {
        object.insert(setting.name.to_string(), setting.value.clone());
    }
    serde_json::from_value(object.into()).context(SettingsSnafu)
}

fn run_policies(file: &Path, policies: &[Policy], common: &Common) -> Result<String, ReplayError> {
    let calls = trace::parse(&read(file)?).context(TraceSnafu { file })?;
    let faults = read_faults(common.faults.as_deref())?;
    let pool = PoolConfig { engines: common.engines, ..PoolConfig::default() };
    let options = ReplayOptions { seed: common.seed, pool, faults };
    let stats: Vec<_> = policies.iter().map(|policy| replay(&calls, *policy, &options)).collect();
    match common.output {
        OutputFormat::Table => Ok(report::table(&stats)),
        OutputFormat::Json => report::json(&stats).context(WriteSnafu),
    }
}

fn execute(command: &Command) -> Result<String, ReplayError> {
    match command {
        Command::Run { trace, policy, common } => run_policies(trace, &[*policy], common),
        Command::Compare { trace, policy, common } => run_policies(trace, policy, common),
        Command::Synth { shape, seed } => {
            trace::format(&synth::synthesise(&shape.synth(*seed))).context(WriteSnafu)
        }
        Command::Detect { rate } => Ok(detect::table(*rate)),
        Command::Control { vms, seed, output } => {
            let sizes = if vms.is_empty() { &DEFAULT_FLEETS } else { &vms[..] };
            let models: Vec<_> = sizes.iter().map(|vms| control_traffic::model(*vms, *seed)).collect();
            match output {
                OutputFormat::Table => Ok(control_traffic::table(&models)),
                OutputFormat::Json => serde_json::to_string_pretty(&models).context(WriteSnafu),
            }
        }
        Command::Score { shape, policy, first, last, step, jobs, set, faults } => {
            let score = ScoreOptions {
                synth: shape.synth(*first),
                seeds: (*first..=*last).step_by((*step).max(1)).collect(),
                policies: policy.clone(),
                cfg: scheduler_config(set)?,
                faults: read_faults(faults.as_deref())?,
                jobs: *jobs,
            };
            Ok(score::table(&score, &score::run(&score)))
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
