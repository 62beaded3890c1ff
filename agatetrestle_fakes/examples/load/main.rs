//! Load on a running node: what it adds to a call, what a token costs it, what an idle program weighs.
//!
//! `load NODES ENGINE PID [CALLS] [STREAMS] [PROGRAMS]`: addresses of nodes for callers with commas between
//! them, address of the fake engine that they were declared, process number of the first node. Added time is
//! measured through the first node and, where there are more, through all in turn. Everything is measured in one run, so that the
//! ratios hold whatever else the machine does. docs/MEASUREMENTS.md tells how the rest is started.

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

use crate::process::Process;
use crate::report::Samples;

const MODEL: &str = "assistant";
const CALLS: u32 = 500;
const STREAMS: u32 = 50;
const PROGRAMS: u32 = 10_000;
const SHORT_ANSWER: u64 = 1;
const LONG_ANSWER: u64 = 100;
const ROUNDS: u32 = 4;

/// Why the measurement stopped.
#[derive(Debug, Snafu)]
enum LoadError {
    #[snafu(display("usage: load NODES ENGINE PID [CALLS] [STREAMS] [PROGRAMS]"))]
    Usage,
    #[snafu(context(false), display("{source}"))]
    Caller { source: ClientError },
    #[snafu(display("unexpected answer {status}: {body}"))]
    Answer { status: u16, body: String },
    #[snafu(context(false), display("no figures of the process: {source}"))]
    Process { source: std::io::Error },
}

struct Plan {
    node: Client,
    nodes: Vec<Client>,
    engine: Client,
    process: Process,
    calls: u32,
    streams: u32,
    programs: u32,
}

fn main() -> ExitCode {
    let Some(plan) = plan() else {
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

fn plan() -> Option<Plan> {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let client = |text: &str| text.parse::<SocketAddr>().ok().map(Client::new);
    let nodes: Vec<Client> = args.first()?.split(',').map(client).collect::<Option<_>>()?;
    let number = |at: usize, default| args.get(at).map_or(Some(default), |text| text.parse().ok());
    Some(Plan {
        node: *nodes.first()?,
        nodes,
        engine: client(args.get(1)?)?,
        process: Process { id: args.get(2)?.parse().ok()? },
        calls: number(3, CALLS)?,
        streams: number(4, STREAMS)?,
        programs: number(5, PROGRAMS)?,
    })
}

async fn run(executor: &Rc<LocalExecutor<'static>>, plan: Plan) -> Result<(), LoadError> {
    // Memory first: what other measurements have freed would hide it.
    idle_programs(&plan).await?;
    added_time(&plan, "through one node", &plan.nodes[..1]).await?;
    if plan.nodes.len() > 1 {
        added_time(&plan, "through all nodes in turn", &plan.nodes).await?;
    }
    token_cost(executor, &plan).await
}

/// Opens a program and returns its name with the time that took.
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

/// Calls in turn straight to the engine and through a node, so that both meet the same machine. Each program
/// is opened on one node and called on the next.
async fn added_time(plan: &Plan, name: &str, nodes: &[Client]) -> Result<(), LoadError> {
    let form = chat_body(MODEL, "You find replacements.", "Ana is ill.", SHORT_ANSWER);
    let (mut direct, mut through, mut commit) = (Samples::default(), Samples::default(), Samples::default());
    let run = std::process::id();
    let turns = nodes.iter().cycle().zip(nodes.iter().cycle().skip(1));
    for (number, (first, second)) in (0..plan.calls).zip(turns) {
        let key = format!("added-{run}-{}-{number}", nodes.len());
        let (program, opening) = open(*first, &key).await?;
        commit.add(opening);
        let call = ClientCall { program, number: 1, key: "k1".to_owned() };
        direct.add(chat(plan.engine, &call, &form).await?.1);
        through.add(chat(*second, &call, &form).await?.1);
        second.end(&call.program).await?;
    }
    println!("added time of a streamed call of {SHORT_ANSWER} token, {} pairs in turn", plan.calls);
    report::compare("straight to the engine", &mut direct, name, &mut through);
    report::line("opening a program (one commit)", &mut commit);
    Ok(())
}

/// Streams side by side; the node's processor time a token follows from its process.
async fn token_cost(executor: &Rc<LocalExecutor<'static>>, plan: &Plan) -> Result<(), LoadError> {
    let form = chat_body(MODEL, "You find replacements.", "Ana is ill.", LONG_ANSWER);
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
            for number in 1..=ROUNDS {
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
    let used = plan.process.cpu()?.saturating_sub(before);
    let tokens = u64::from(plan.streams) * u64::from(ROUNDS) * LONG_ANSWER;
    report::tokens(plan.streams, tokens, elapsed, used);
    Ok(())
}

async fn idle_programs(plan: &Plan) -> Result<(), LoadError> {
    let run = std::process::id();
    let before = plan.process.resident()?;
    let mut opened = 0;
    for goal in [plan.programs / 10, plan.programs] {
        while opened < goal {
            open(plan.node, &format!("idle-{run}-{opened}")).await?;
            opened += 1;
        }
        report::memory(goal, before, plan.process.resident()?);
    }
    Ok(())
}
