//! Commits a second of one group at several depths, against one synced write at a time.
//!
//! Three replicas run in this process, each with its storage on real files and a thread of its own for it;
//! messages pass through memory. `cargo run --release -p agatetrestle --example commits [payload bytes]`;
//! the outcome stands in docs/MEASUREMENTS.md.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::error::Error;
use std::fs::File;
use std::io::Write as _;
use std::path::Path;
use std::sync::Arc;
use std::sync::mpsc;
use std::sync::mpsc::Receiver;
use std::sync::mpsc::RecvTimeoutError;
use std::sync::mpsc::Sender;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use agatetrestle::agreement::Input;
use agatetrestle::agreement::Output;
use agatetrestle::agreement::Replicas;
use agatetrestle::agreement::Ticket;
use agatetrestle::agreement::Write;
use agatetrestle::agreement::replica::Replica;
use agatetrestle::agreement::replica::ReplicaConfig;
use agatetrestle::agreement::storage::Storage;
use agatetrestle::agreement::storage::StorageConfig;
use agatetrestle::clock::Clock;
use agatetrestle::ids::FIRST_STATE_GROUP;
use agatetrestle::ids::NodeId;
use hdrhistogram::Histogram;

const REPLICAS: u64 = 3;
const DEFAULT_PAYLOAD_BYTES: usize = 1_024;
const DEPTHS: [u64; 3] = [1, 16, 256];
const ROUNDS: usize = 5;
const SPAN: Duration = Duration::from_secs(1);
const TICK: Duration = Duration::from_millis(10);
const SEGMENT_BYTES: usize = 64 << 20;

/// What a replica tells the client.
enum Told {
    Leader(NodeId),
    Done(Ticket),
    Turned,
}

fn main() -> Result<(), Box<dyn Error>> {
    let payload = std::env::args().nth(1).map_or(Ok(DEFAULT_PAYLOAD_BYTES), |text| text.parse())?;
    let folder = std::env::temp_dir().join(format!("agatetrestle-commits-{}", std::process::id()));
    std::fs::create_dir_all(&folder)?;
    let outcome = measure(&folder, &vec![7; payload].into());
    std::fs::remove_dir_all(&folder)?;
    outcome
}

/// Alternates between the plain loop and the group, since other users of the disk slow both.
fn measure(folder: &Path, payload: &Arc<[u8]>) -> Result<(), Box<dyn Error>> {
    println!("{} bytes each, {ROUNDS} rounds; median (lowest to highest)", payload.len());
    for depth in DEPTHS {
        let mut rounds: Vec<Round> = Vec::new();
        for round in 0..ROUNDS {
            let before = synced_writes(folder, payload)?;
            let (group, latency) = commits(&folder.join(format!("{depth}-{round}")), depth, payload)?;
            let after = synced_writes(folder, payload)?;
            let plain = f64::midpoint(before, after);
            rounds.push(Round {
                plain,
                group,
                ratio: group / plain,
                p50: millis(latency.value_at_quantile(0.5)),
                p99: millis(latency.value_at_quantile(0.99)),
            });
        }
        println!("{depth} in flight:");
        print_row("synced writes a second, one at a time", rounds.iter().map(|round| round.plain));
        print_row("commits a second", rounds.iter().map(|round| round.group));
        print_row("ratio", rounds.iter().map(|round| round.ratio));
        print_row("p50, ms", rounds.iter().map(|round| round.p50));
        print_row("p99, ms", rounds.iter().map(|round| round.p99));
    }
    Ok(())
}

/// Figures of one round.
struct Round {
    plain: f64,
    group: f64,
    ratio: f64,
    p50: f64,
    p99: f64,
}

fn print_row(what: &str, figures: impl Iterator<Item = f64>) {
    let mut figures: Vec<f64> = figures.collect();
    figures.sort_unstable_by(f64::total_cmp);
    let (lowest, median, highest) = (figures[0], figures[ROUNDS / 2], figures[ROUNDS - 1]);
    println!("  {what}: {median:.2} ({lowest:.2} to {highest:.2})");
}

#[expect(clippy::cast_precision_loss, reason = "microseconds of seconds fit")]
fn millis(micros: u64) -> f64 {
    micros as f64 / 1_000.0
}

/// Rate of a plain loop that appends and syncs.
fn synced_writes(folder: &Path, payload: &[u8]) -> Result<f64, Box<dyn Error>> {
    let mut file = File::create(folder.join("plain"))?;
    let begun = Instant::now();
    let mut count = 0_u32;
    while begun.elapsed() < SPAN {
        file.write_all(payload)?;
        file.sync_data()?;
        count += 1;
    }
    Ok(f64::from(count) / begun.elapsed().as_secs_f64())
}

/// Rate and latency in microseconds of commits with a fixed number in flight.
fn commits(folder: &Path, depth: u64, payload: &Arc<[u8]>) -> Result<(f64, Histogram<u64>), Box<dyn Error>> {
    let clock = Clock::start();
    let (tell, told) = mpsc::channel();
    let links: Vec<(Sender<Input>, Receiver<Input>)> = (0..REPLICAS).map(|_| mpsc::channel()).collect();
    let senders: BTreeMap<NodeId, Sender<Input>> =
        (1..).map(NodeId).zip(links.iter().map(|(sender, _)| sender.clone())).collect();
    for (id, (_, inputs)) in (1..).map(NodeId).zip(links) {
        let cfg = StorageConfig { group: FIRST_STATE_GROUP, segment_bytes: SEGMENT_BYTES };
        let (storage, restored) = Storage::open(&folder.join(id.0.to_string()), cfg)?;
        let initial = Replicas { voters: senders.keys().copied().collect(), learners: BTreeSet::new() };
        let replica = Replica::new(replica_config(id), initial, restored, clock.now());
        let (writes, batches) = mpsc::channel();
        let written = senders[&id].clone();
        thread::spawn(move || store(storage, &batches, &written));
        let (peers, tell) = (senders.clone(), tell.clone());
        thread::spawn(move || drive(replica, clock, &inputs, &writes, &peers, &tell));
    }
    let leader = loop {
        if let Told::Leader(node) = told.recv()? {
            break node;
        }
    };
    load(&senders[&leader], &told, depth, payload)
}

fn replica_config(node: NodeId) -> ReplicaConfig {
    ReplicaConfig {
        group: FIRST_STATE_GROUP,
        node,
        leader_interval: Duration::from_millis(50),
        election_timeout: Duration::from_millis(500),
        clock_drift: Duration::from_millis(50),
        seed: 1,
        max_in_flight: 4_096,
        max_commit_wait: Duration::from_secs(10),
        max_batch_bytes: 1 << 20,
    }
}

/// Keeps `depth` proposals in flight for [`SPAN`].
fn load(
    leader: &Sender<Input>,
    told: &Receiver<Told>,
    depth: u64,
    payload: &Arc<[u8]>,
) -> Result<(f64, Histogram<u64>), Box<dyn Error>> {
    let mut sent = BTreeMap::new();
    let mut next = 0;
    let mut propose = |sent: &mut BTreeMap<Ticket, Instant>| {
        next += 1;
        sent.insert(Ticket(next), Instant::now());
        leader.send(Input::Propose { ticket: Ticket(next), payload: payload.clone() })
    };
    for _ in 0..depth {
        propose(&mut sent)?;
    }
    let mut latency = Histogram::new(3)?;
    let begun = Instant::now();
    while begun.elapsed() < SPAN {
        let Told::Done(ticket) = told.recv()? else {
            return Err("leadership was lost during the measurement".into());
        };
        if let Some(at) = sent.remove(&ticket) {
            latency.record(u64::try_from(at.elapsed().as_micros())?)?;
        }
        propose(&mut sent)?;
    }
    let count = u32::try_from(latency.len())?;
    Ok((f64::from(count) / begun.elapsed().as_secs_f64(), latency))
}

/// Runs one replica until its driver's channels close.
fn drive(
    mut replica: Replica,
    clock: Clock,
    inputs: &Receiver<Input>,
    writes: &Sender<Write>,
    peers: &BTreeMap<NodeId, Sender<Input>>,
    tell: &Sender<Told>,
) {
    let mut ticked = Instant::now();
    loop {
        let input = match inputs.recv_timeout(TICK) {
            Ok(input) => input,
            Err(RecvTimeoutError::Timeout) => Input::Tick,
            Err(RecvTimeoutError::Disconnected) => return,
        };
        let mut outputs = replica.step(clock.now(), input);
        if ticked.elapsed() >= TICK {
            ticked = Instant::now();
            outputs.extend(replica.step(clock.now(), Input::Tick));
        }
        for output in outputs {
            if !carry_out(output, &replica, writes, peers, tell) {
                return;
            }
        }
    }
}

/// Carries out one output; `false` once the measurement is over.
fn carry_out(
    output: Output,
    replica: &Replica,
    writes: &Sender<Write>,
    peers: &BTreeMap<NodeId, Sender<Input>>,
    tell: &Sender<Told>,
) -> bool {
    match output {
        Output::Write(write) => writes.send(write).is_ok(),
        Output::Send(message) => peers[&message.to].send(Input::Receive(message)).is_ok(),
        Output::Apply { ticket: Some(ticket), .. } => tell.send(Told::Done(ticket)).is_ok(),
        Output::Reject { .. } | Output::OutcomeUnknown(_) => tell.send(Told::Turned).is_ok(),
        Output::Role { leader: Some(node), .. } if replica.is_leader() => {
            tell.send(Told::Leader(node)).is_ok()
        }
        _ => true,
    }
}

/// Writes what has gathered, with one sync for all of it.
fn store(mut storage: Storage, batches: &Receiver<Write>, written: &Sender<Input>) {
    while let Ok(first) = batches.recv() {
        let batch: Vec<Write> = std::iter::once(first).chain(batches.try_iter()).collect();
        let last = batch[batch.len() - 1].sequence;
        let outcome = match storage.write(&batch) {
            Ok(()) => Input::Written(last),
            Err(_) => Input::WriteFailed,
        };
        if written.send(outcome).is_err() {
            return;
        }
    }
}
