//! Commit throughput of one group by proposals in flight, compared with a sequential write-and-sync loop.
//!
//! Three replicas run in this process and exchange messages in memory. Each has storage on real files and a
//! writer thread. Run it with `cargo run --release -p agatetrestle --example commits [payload bytes]`; results
//! are in docs/MEASUREMENTS.md.

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
const IN_FLIGHT_COUNTS: [u64; 3] = [1, 16, 256];
const ROUNDS: usize = 5;
const ROUND_DURATION: Duration = Duration::from_secs(1);
const TICK_INTERVAL: Duration = Duration::from_millis(10);
const SEGMENT_BYTES: usize = 64 << 20;

/// An event that a replica reports to the load generator.
enum ReplicaEvent {
    Elected(NodeId),
    Committed(Ticket),
    Rejected,
}

fn main() -> Result<(), Box<dyn Error>> {
    let payload = std::env::args().nth(1).map_or(Ok(DEFAULT_PAYLOAD_BYTES), |text| text.parse())?;
    let folder = std::env::temp_dir().join(format!("agatetrestle-commits-{}", std::process::id()));
    std::fs::create_dir_all(&folder)?;
    let result = measure(&folder, &vec![7; payload].into());
    std::fs::remove_dir_all(&folder)?;
    result
}

/// Alternates between the baseline and the group, since other load on the disk slows both.
fn measure(folder: &Path, payload: &Arc<[u8]>) -> Result<(), Box<dyn Error>> {
    println!("{} bytes each, {ROUNDS} rounds; median (lowest to highest)", payload.len());
    for depth in IN_FLIGHT_COUNTS {
        let mut rounds: Vec<Round> = Vec::new();
        for round in 0..ROUNDS {
            let before = measure_synced_writes(folder, payload)?;
            let (group, latency) = measure_commits(&folder.join(format!("{depth}-{round}")), depth, payload)?;
            let after = measure_synced_writes(folder, payload)?;
            let baseline = f64::midpoint(before, after);
            rounds.push(Round {
                baseline,
                group,
                ratio: group / baseline,
                p50: millis(latency.value_at_quantile(0.5)),
                p99: millis(latency.value_at_quantile(0.99)),
            });
        }
        println!("{depth} in flight:");
        print_row("synced writes a second, one at a time", rounds.iter().map(|round| round.baseline));
        print_row("commits a second", rounds.iter().map(|round| round.group));
        print_row("ratio", rounds.iter().map(|round| round.ratio));
        print_row("p50, ms", rounds.iter().map(|round| round.p50));
        print_row("p99, ms", rounds.iter().map(|round| round.p99));
    }
    Ok(())
}

/// Rates a second and latencies in milliseconds of one round.
struct Round {
    baseline: f64,
    group: f64,
    ratio: f64,
    p50: f64,
    p99: f64,
}

fn print_row(label: &str, values: impl Iterator<Item = f64>) {
    let mut values: Vec<f64> = values.collect();
    values.sort_unstable_by(f64::total_cmp);
    let (lowest, median, highest) = (values[0], values[ROUNDS / 2], values[ROUNDS - 1]);
    println!("  {label}: {median:.2} ({lowest:.2} to {highest:.2})");
}

#[expect(clippy::cast_precision_loss, reason = "microseconds of seconds fit")]
fn millis(micros: u64) -> f64 {
    micros as f64 / 1_000.0
}

/// Rate a second of a loop that appends and syncs.
fn measure_synced_writes(folder: &Path, payload: &[u8]) -> Result<f64, Box<dyn Error>> {
    let mut file = File::create(folder.join("plain"))?;
    let started = Instant::now();
    let mut count = 0_u32;
    while started.elapsed() < ROUND_DURATION {
        file.write_all(payload)?;
        file.sync_data()?;
        count += 1;
    }
    Ok(f64::from(count) / started.elapsed().as_secs_f64())
}

/// Rate a second and latency in microseconds of commits with `depth` proposals in flight.
fn measure_commits(
    folder: &Path,
    depth: u64,
    payload: &Arc<[u8]>,
) -> Result<(f64, Histogram<u64>), Box<dyn Error>> {
    let clock = Clock::start();
    let (events_tx, events) = mpsc::channel();
    let links: Vec<(Sender<Input>, Receiver<Input>)> = (0..REPLICAS).map(|_| mpsc::channel()).collect();
    let senders: BTreeMap<NodeId, Sender<Input>> =
        (1..).map(NodeId).zip(links.iter().map(|(sender, _)| sender.clone())).collect();
    for (id, (_, inputs)) in (1..).map(NodeId).zip(links) {
        let cfg = StorageConfig { group: FIRST_STATE_GROUP, segment_bytes: SEGMENT_BYTES };
        let (storage, restored) = Storage::open(&folder.join(id.0.to_string()), cfg)?;
        let initial = Replicas { voters: senders.keys().copied().collect(), learners: BTreeSet::new() };
        let replica = Replica::new(replica_config(id), initial, restored, clock.now());
        let (writes_tx, pending_writes) = mpsc::channel();
        let inputs_tx = senders[&id].clone();
        thread::spawn(move || run_writer(storage, &pending_writes, &inputs_tx));
        let (peers, events_tx) = (senders.clone(), events_tx.clone());
        thread::spawn(move || run_replica(replica, clock, &inputs, &writes_tx, &peers, &events_tx));
    }
    let leader = loop {
        if let ReplicaEvent::Elected(node) = events.recv()? {
            break node;
        }
    };
    run_load(&senders[&leader], &events, depth, payload)
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

/// Keeps `depth` proposals in flight for [`ROUND_DURATION`].
fn run_load(
    leader: &Sender<Input>,
    events: &Receiver<ReplicaEvent>,
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
    let started = Instant::now();
    while started.elapsed() < ROUND_DURATION {
        let ReplicaEvent::Committed(ticket) = events.recv()? else {
            return Err("leadership was lost during the measurement".into());
        };
        if let Some(sent_at) = sent.remove(&ticket) {
            latency.record(u64::try_from(sent_at.elapsed().as_micros())?)?;
        }
        propose(&mut sent)?;
    }
    let count = u32::try_from(latency.len())?;
    Ok((f64::from(count) / started.elapsed().as_secs_f64(), latency))
}

/// Runs one replica until its channels close.
fn run_replica(
    mut replica: Replica,
    clock: Clock,
    inputs: &Receiver<Input>,
    writes_tx: &Sender<Write>,
    peers: &BTreeMap<NodeId, Sender<Input>>,
    events_tx: &Sender<ReplicaEvent>,
) {
    let mut last_tick = Instant::now();
    loop {
        let input = match inputs.recv_timeout(TICK_INTERVAL) {
            Ok(input) => input,
            Err(RecvTimeoutError::Timeout) => Input::Tick,
            Err(RecvTimeoutError::Disconnected) => return,
        };
        let mut outputs = replica.step(clock.now(), input);
        if last_tick.elapsed() >= TICK_INTERVAL {
            last_tick = Instant::now();
            outputs.extend(replica.step(clock.now(), Input::Tick));
        }
        for output in outputs {
            if !handle_output(output, &replica, writes_tx, peers, events_tx) {
                return;
            }
        }
    }
}

/// Returns `false` once the measurement is over.
fn handle_output(
    output: Output,
    replica: &Replica,
    writes_tx: &Sender<Write>,
    peers: &BTreeMap<NodeId, Sender<Input>>,
    events_tx: &Sender<ReplicaEvent>,
) -> bool {
    match output {
        Output::Write(write) => writes_tx.send(write).is_ok(),
        Output::Send(message) => peers[&message.to].send(Input::Receive(message)).is_ok(),
        Output::Apply { ticket: Some(ticket), .. } => events_tx.send(ReplicaEvent::Committed(ticket)).is_ok(),
        Output::Reject { .. } | Output::OutcomeUnknown(_) => events_tx.send(ReplicaEvent::Rejected).is_ok(),
        Output::Role { leader: Some(node), .. } if replica.is_leader() => {
            events_tx.send(ReplicaEvent::Elected(node)).is_ok()
        }
        _ => true,
    }
}

/// Writes all pending batches with one sync.
fn run_writer(mut storage: Storage, pending_writes: &Receiver<Write>, inputs_tx: &Sender<Input>) {
    while let Ok(first) = pending_writes.recv() {
        let batch: Vec<Write> = std::iter::once(first).chain(pending_writes.try_iter()).collect();
        let last = batch[batch.len() - 1].sequence;
        let result = match storage.write(&batch) {
            Ok(()) => Input::Written(last),
            Err(_) => Input::WriteFailed,
        };
        if inputs_tx.send(result).is_err() {
            return;
        }
    }
}
