//! Benchmark of running nodes: added latency of a call, processor time per token and memory per idle program.
//!
//! `load NODES ENGINE PID [CALLS] [STREAMS] [PROGRAMS]`: NODES are the comma-separated client addresses of the nodes,
//! ENGINE is the address of their fake engine and PID the process id of the first node. Added latency is measured
//! through the first node and, with several, through all of them in turn. See docs/MEASUREMENTS.md for the setup.

mod process;
mod report;

use std::net::SocketAddr;
use std::process::ExitCode;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use agatetrestle_fakes::Client;
use agatetrestle_fakes::client::ClientCall;
use agatetrestle_fakes::client::ClientError;
use agatetrestle_fakes::client::chat_body;
use serde_json::Value;
use serde_json::json;
use smol::LocalExecutor;
use snafu::Snafu;

use crate::process::ObservedProcess;
use crate::report::Samples;

const MODEL: &str = "assistant";
const DEFAULT_CALLS: u32 = 500;
const DEFAULT_STREAMS: u32 = 50;
const DEFAULT_PROGRAMS: u32 = 10_000;
const SHORT_ANSWER_TOKENS: u64 = 1;
const LONG_ANSWER_TOKENS: u64 = 100;
const CALLS_PER_STREAM: u32 = 4;

/// Failure of the benchmark.
#[derive(Debug, Snafu)]
enum LoadError {
    #[snafu(display("usage: load NODES ENGINE PID [CALLS] [STREAMS] [PROGRAMS]"))]
    Usage,
    #[snafu(context(false), display("{source}"))]
    Client { source: ClientError },
    #[snafu(display("unexpected answer {status}: {body}"))]
    Answer { status: u16, body: String },
    #[snafu(context(false), display("failed to read the usage of the process: {source}"))]
    Process { source: std::io::Error },
}

struct LoadPlan {
    node: Client,
    nodes: Vec<Client>,
    engine: Client,
    process: ObservedProcess,
    calls: u32,
    streams: u32,
    programs: u32,
}

fn main() -> ExitCode {
    let Some(plan) = parse_args() else {
        eprintln!("{}", LoadError::Usage);
        return ExitCode::from(2);
    };
    let executor = Rc::new(LocalExecutor::new());
    match smol::block_on(executor.run(run(&executor, plan))) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("{e}");
            ExitCode::FAILURE
        }
    }
}

fn parse_args() -> Option<LoadPlan> {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let client = |text: &str| text.parse::<SocketAddr>().ok().map(Client::new);
    let nodes: Vec<Client> = args.first()?.split(',').map(client).collect::<Option<_>>()?;
    let number = |at: usize, default| args.get(at).map_or(Some(default), |text| text.parse().ok());
    Some(LoadPlan {
        node: *nodes.first()?,
        nodes,
        engine: client(args.get(1)?)?,
        process: ObservedProcess { id: args.get(2)?.parse().ok()? },
        calls: number(3, DEFAULT_CALLS)?,
        streams: number(4, DEFAULT_STREAMS)?,
        programs: number(5, DEFAULT_PROGRAMS)?,
    })
}

async fn run(executor: &Rc<LocalExecutor<'static>>, plan: LoadPlan) -> Result<(), LoadError> {
    // Memory comes first, since memory freed by the other measurements would be reused.
    measure_idle_memory(&plan).await?;
    measure_added_latency(&plan, "through one node", &plan.nodes[..1]).await?;
    if plan.nodes.len() > 1 {
        measure_added_latency(&plan, "through all nodes in turn", &plan.nodes).await?;
    }
    measure_token_cost(executor, &plan).await
}

/// Opens a program; returns its name and the duration of the request.
async fn open(node: Client, key: &str) -> Result<(String, Duration), LoadError> {
    let form = json!({ "partner": "vrsta", "team": "planning", "class": "planner" });
    let reply = node.open(key, &form).await?;
    let program = reply.json()["program"].as_str().map(str::to_owned);
    match program {
        Some(program) if reply.status == 201 => Ok((program, reply.total)),
        _ => Err(LoadError::Answer { status: reply.status, body: reply.json().to_string() }),
    }
}

async fn chat(client: Client, call: &ClientCall, form: &Value) -> Result<(Duration, Duration), LoadError> {
    let reply = client.chat(call, form).await?;
    if reply.status == 200 && reply.is_done() {
        return Ok((reply.first_byte, reply.total));
    }
    Err(LoadError::Answer { status: reply.status, body: String::from_utf8_lossy(&reply.body).into_owned() })
}

/// Alternates calls to the engine with calls through a node, so that both see the same load of the machine. Each
/// program is opened on one node and called on the next.
async fn measure_added_latency(plan: &LoadPlan, name: &str, nodes: &[Client]) -> Result<(), LoadError> {
    let form = chat_body(MODEL, "You find replacements.", "Ana is ill.", SHORT_ANSWER_TOKENS);
    let (mut direct, mut routed, mut commit) = (Samples::default(), Samples::default(), Samples::default());
    let run = std::process::id();
    let turns = nodes.iter().cycle().zip(nodes.iter().cycle().skip(1));
    for (number, (opened_on, called_on)) in (0..plan.calls).zip(turns) {
        let key = format!("added-{run}-{}-{number}", nodes.len());
        let (program, duration) = open(*opened_on, &key).await?;
        commit.add(duration);
        let call = ClientCall { program, number: 1, key: "k1".to_owned() };
        direct.add(chat(plan.engine, &call, &form).await?.1);
        routed.add(chat(*called_on, &call, &form).await?.1);
        called_on.end(&call.program).await?;
    }
    println!("added time of a streamed call of {SHORT_ANSWER_TOKENS} token, {} pairs in turn", plan.calls);
    report::print_comparison("straight to the engine", &mut direct, name, &mut routed);
    report::print_percentiles("opening a program (one commit)", &mut commit);
    Ok(())
}

/// Measures the node's processor time per token over concurrent streams.
async fn measure_token_cost(executor: &Rc<LocalExecutor<'static>>, plan: &LoadPlan) -> Result<(), LoadError> {
    let form = chat_body(MODEL, "You find replacements.", "Ana is ill.", LONG_ANSWER_TOKENS);
    let run = std::process::id();
    let mut programs = Vec::new();
    for number in 0..plan.streams {
        programs.push(open(plan.node, &format!("tokens-{run}-{number}")).await?.0);
    }
    let before = plan.process.cpu()?;
    let started = Instant::now();
    let mut tasks = Vec::new();
    for program in programs {
        let (node, form) = (plan.node, form.clone());
        tasks.push(executor.spawn(async move {
            for number in 1..=CALLS_PER_STREAM {
                let call = ClientCall { program: program.clone(), number, key: format!("k{number}") };
                chat(node, &call, &form).await?;
            }
            node.end(&program).await?;
            Ok::<(), LoadError>(())
        }));
    }
    for task in tasks {
        task.await?;
    }
    let elapsed = started.elapsed();
    let cpu_time = plan.process.cpu()?.saturating_sub(before);
    let tokens = u64::from(plan.streams) * u64::from(CALLS_PER_STREAM) * LONG_ANSWER_TOKENS;
    report::print_token_rate(plan.streams, tokens, elapsed, cpu_time);
    Ok(())
}

async fn measure_idle_memory(plan: &LoadPlan) -> Result<(), LoadError> {
    let run = std::process::id();
    let before = plan.process.resident()?;
    let mut opened = 0;
    for count in [plan.programs / 10, plan.programs] {
        while opened < count {
            open(plan.node, &format!("idle-{run}-{opened}")).await?;
            opened += 1;
        }
        report::print_memory(count, before, plan.process.resident()?);
    }
    Ok(())
}
