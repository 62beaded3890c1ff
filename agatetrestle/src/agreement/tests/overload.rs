//! Tests a group under three times the load that its leader can process, and with slow disks.
//!
//! Each process handles one input at a time. Inputs, message delivery and syncs take simulated time.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::BinaryHeap;
use std::sync::Arc;
use std::time::Duration;

use crate::agreement::Input;
use crate::agreement::Output;
use crate::agreement::Rejection;
use crate::agreement::Replicas;
use crate::agreement::Ticket;
use crate::agreement::message::Body;
use crate::agreement::replica::PersistentState;
use crate::agreement::replica::Replica;
use crate::agreement::replica::ReplicaConfig;
use crate::clock::Timestamp;
use crate::ids::GroupId;
use crate::ids::NodeId;
use crate::turns::shedding::NEW_PROGRAM_TOLERANCE;

const VOTERS: u64 = 5;
const TICK_MICROS: u64 = 15_000;
/// Processing time of an accepted and a rejected proposal, a received and a sent message, and a reply to a client.
const PROPOSE_MICROS: u64 = 150;
const REJECT_MICROS: u64 = 60;
const RECEIVE_MICROS: u64 = 100;
const SEND_MICROS: u64 = 60;
const REPLY_MICROS: u64 = 50;
const NETWORK_DELAY_MICROS: u64 = 900;
/// One way between regions. A commit takes over two thirds of [`MAX_COMMIT_WAIT`].
const REGION_DELAY_MICROS: u64 = 34_000;
const SYNC_MICROS: u64 = 1_000;
/// A third of the time in which a deployment must have recovered.
const MAX_ELECTION_MILLIS: u64 = 5_000;

#[derive(Debug)]
enum SimEvent {
    /// An input arrives at a process.
    Input(NodeId, Input),
    /// A process is ready for its next input.
    Ready(NodeId),
}

struct SimProcess {
    replica: Replica,
    queue: std::collections::VecDeque<Input>,
    busy: bool,
    syncing_until: u64,
}

/// Outcomes of the commands of one run.
#[derive(Debug, Default)]
struct CommandStats {
    committed: u64,
    rejected: u64,
    latencies: Vec<u64>,
}

struct LoadSimulation {
    network_delay_micros: u64,
    sync_micros: u64,
    /// Whether proposals may be rejected since their leader was replaced.
    may_change_leader: bool,
    now: u64,
    event_number: u64,
    events: BinaryHeap<Reverse<(u64, u64)>>,
    events_by_number: BTreeMap<u64, SimEvent>,
    processes: BTreeMap<NodeId, SimProcess>,
    proposed: BTreeMap<Ticket, u64>,
    stats: CommandStats,
    max_queue_length: usize,
    terms: Vec<u64>,
}

impl LoadSimulation {
    fn new(max_commit_wait: Duration, network_delay_micros: u64) -> Self {
        Self::with_disks(max_commit_wait, network_delay_micros, SYNC_MICROS, 7)
    }

    /// A group whose disks take a time for each write.
    fn with_disks(max_commit_wait: Duration, network_delay_micros: u64, sync_micros: u64, seed: u64) -> Self {
        let voters = (1..=VOTERS).map(NodeId);
        let initial = Replicas { voters: voters.clone().collect(), ..Replicas::default() };
        let process = |node: NodeId| {
            let cfg = ReplicaConfig {
                group: GroupId(1),
                node,
                leader_interval: Duration::from_millis(60),
                election_timeout: Duration::from_millis(250),
                clock_drift: Duration::from_millis(20),
                seed,
                max_in_flight: 4_096,
                max_commit_wait,
                max_batch_bytes: 1 << 20,
            };
            let replica = Replica::new(cfg, initial.clone(), PersistentState::default(), Timestamp(0));
            let queue = std::collections::VecDeque::new();
            (node, SimProcess { replica: replica.with_fault(None), queue, busy: false, syncing_until: 0 })
        };
        Self {
            network_delay_micros,
            sync_micros,
            may_change_leader: false,
            now: 0,
            event_number: 0,
            events: BinaryHeap::new(),
            events_by_number: BTreeMap::new(),
            processes: voters.map(process).collect(),
            proposed: BTreeMap::new(),
            stats: CommandStats::default(),
            max_queue_length: 0,
            terms: Vec::new(),
        }
    }

    fn schedule(&mut self, time: u64, event: SimEvent) {
        self.event_number += 1;
        self.events.push(Reverse((time, self.event_number)));
        self.events_by_number.insert(self.event_number, event);
    }

    fn leader(&self) -> Option<NodeId> {
        self.processes.iter().find(|(_, process)| process.replica.is_leader()).map(|(node, _)| *node)
    }

    /// Runs for a time with evenly spaced commands and returns their outcomes.
    fn run(&mut self, millis: u64, per_second: u64) -> CommandStats {
        let (start, end) = (self.now, self.now + millis * 1_000);
        let ticks = (start..end).step_by(15_000);
        for time in ticks {
            for node in 1..=VOTERS {
                self.schedule(time + node * TICK_MICROS / VOTERS, SimEvent::Input(NodeId(node), Input::Tick));
            }
        }
        if let Some(leader) = self.leader() {
            for number in 0..per_second * millis / 1_000 {
                let time = start + number * 1_000_000 / per_second;
                let ticket = Ticket(self.event_number + 1);
                self.proposed.insert(ticket, time);
                let input = Input::Propose { ticket, payload: Arc::from([0; 300]) };
                self.schedule(time, SimEvent::Input(leader, input));
            }
        }
        while let Some(Reverse((time, event_number))) = self.events.peek().copied()
            && time < end
        {
            self.events.pop();
            self.now = time;
            let event =
                self.events_by_number.remove(&event_number).expect("each event is stored by its number");
            self.handle_event(event);
        }
        self.now = end;
        std::mem::take(&mut self.stats)
    }

    fn handle_event(&mut self, event: SimEvent) {
        let node = match event {
            SimEvent::Input(node, input) => {
                let process = self.processes.get_mut(&node).unwrap();
                process.queue.push_back(input);
                self.max_queue_length = self.max_queue_length.max(process.queue.len());
                if process.busy {
                    return;
                }
                node
            }
            SimEvent::Ready(node) => node,
        };
        let process = self.processes.get_mut(&node).unwrap();
        let Some(input) = process.queue.pop_front() else {
            process.busy = false;
            return;
        };
        process.busy = true;
        let busy_micros = self.step(node, input);
        self.schedule(self.now + busy_micros, SimEvent::Ready(node));
    }

    /// Passes an input to a process and returns its processing time.
    fn step(&mut self, node: NodeId, input: Input) -> u64 {
        let mut busy_micros = match &input {
            Input::Propose { .. } => PROPOSE_MICROS,
            Input::Receive(_) => RECEIVE_MICROS,
            _ => 0,
        };
        let now = Timestamp(self.now);
        let outputs = self.processes.get_mut(&node).unwrap().replica.step(now, input);
        for output in outputs {
            match output {
                Output::Send(message) => {
                    let replication = matches!(message.body, Body::Append { .. } | Body::AppendReply { .. });
                    busy_micros += if replication { SEND_MICROS } else { 0 };
                    self.schedule(
                        self.now + busy_micros + self.network_delay_micros,
                        SimEvent::Input(message.to, Input::Receive(message)),
                    );
                }
                Output::Write(write) => {
                    let process = self.processes.get_mut(&node).unwrap();
                    let sync_micros = self.sync_micros;
                    let done = process.syncing_until.max(self.now + busy_micros) + sync_micros;
                    // Writes that arrive during a sync share the next one.
                    process.syncing_until = done.min(self.now + busy_micros + 2 * sync_micros);
                    self.schedule(done, SimEvent::Input(node, Input::Written(write.sequence)));
                }
                Output::Apply { ticket: Some(ticket), .. } => {
                    busy_micros += REPLY_MICROS;
                    let proposed_at = self.proposed.remove(&ticket).unwrap();
                    self.stats.committed += 1;
                    self.stats.latencies.push(self.now + busy_micros - proposed_at);
                }
                Output::Reject { ticket, reason } => {
                    assert!(
                        reason == Rejection::Busy || self.may_change_leader,
                        "the leader must not change"
                    );
                    busy_micros = REJECT_MICROS;
                    self.proposed.remove(&ticket);
                    self.stats.rejected += 1;
                }
                Output::Role { term, .. } => self.terms.push(term),
                _ => {}
            }
        }
        busy_micros
    }
}

/// Percentile of the latencies, in microseconds.
fn percentile(stats: &CommandStats, percent: usize) -> u64 {
    let mut sorted = stats.latencies.clone();
    sorted.sort_unstable();
    sorted[(sorted.len() - 1) * percent / 100]
}

const MAX_COMMIT_WAIT: Duration = Duration::from_millis(100);

#[test]
fn leader_survives_and_recovers_from_overload() {
    let mut sim = LoadSimulation::new(MAX_COMMIT_WAIT, NETWORK_DELAY_MICROS);
    sim.run(2_000, 0);
    let leader = sim.leader().expect("a leader");
    let normal = sim.run(2_000, 1_000);
    // The last few commands are still in flight when the run ends.
    assert!(normal.rejected == 0 && normal.committed > 1_990);
    let full = sim.run(4_000, 3_000);
    let capacity = full.committed / 4;
    sim.run(1_000, 0);
    sim.terms.clear();
    sim.max_queue_length = 0;
    let overload = sim.run(4_000, 3 * capacity);
    let after = sim.run(1_000, 1_000);
    let recovered = sim.run(2_000, 1_000);
    println!(
        "capacity {capacity}/s; overload {} committed, {} rejected, p99 {} us, queue {}; after p99 {} us; recovered p99 {} us",
        overload.committed,
        overload.rejected,
        percentile(&overload, 99),
        sim.max_queue_length,
        percentile(&after, 99),
        percentile(&recovered, 99)
    );
    assert_eq!((sim.leader(), sim.terms.len()), (Some(leader), 0), "load alone must not end a term");
    assert!(overload.committed / 4 >= capacity / 3, "rejections must leave time for commits");
    assert!(percentile(&overload, 99) <= 300_000);
    assert!(recovered.rejected == 0 && recovered.committed > 1_990);
    assert!(
        percentile(&recovered, 99) <= 2 * percentile(&normal, 99),
        "latency must recover within a second"
    );
}

/// Guards against new programs that are refused beside an idle leader because its replicas are far apart.
#[test]
fn distance_between_replicas_is_no_load() {
    let mut sim = LoadSimulation::new(MAX_COMMIT_WAIT, REGION_DELAY_MICROS);
    sim.run(2_000, 0);
    let leader = sim.leader().expect("a leader");
    sim.run(1_000, 50);
    for _ in 0..50 {
        let stats = sim.run(20, 50);
        assert_eq!(stats.rejected, 0);
        let replica = &sim.processes[&leader].replica;
        assert_eq!(replica.check_accepts_proposals(Timestamp(sim.now), NEW_PROGRAM_TOLERANCE), Ok(()));
    }
}

/// Guards against elections that are repeated before slow disks have stored the votes, so that none ends, and against leaders
/// that are given up while the disks of their followers are busy.
#[test]
fn slow_disks_elect_a_leader_and_keep_it() {
    for sync_millis in [1, 50, 100, 150, 200, 300, 400] {
        let runs = (1..=20).map(|seed| time_to_leader(sync_millis, seed));
        let slowest = runs.clone().map(|(millis, _)| millis).max();
        let lost = runs.filter(|(_, kept)| !kept).count();
        println!("sync {sync_millis} ms: elected after {slowest:?} ms at most, {lost} of 20 leaders lost");
        assert!(slowest < Some(MAX_ELECTION_MILLIS), "sync {sync_millis} ms: {slowest:?}");
        assert!(lost == 0 || sync_millis > 100, "sync {sync_millis} ms: {lost} leaders lost");
    }
}

/// Returns after how many milliseconds a group has a leader, and whether it keeps it for five seconds with some commands.
fn time_to_leader(sync_millis: u64, seed: u64) -> (u64, bool) {
    let mut sim =
        LoadSimulation::with_disks(MAX_COMMIT_WAIT, NETWORK_DELAY_MICROS, sync_millis * 1_000, seed);
    sim.may_change_leader = true;
    let mut waited = 0;
    while sim.leader().is_none() && waited < MAX_ELECTION_MILLIS {
        sim.run(10, 0);
        waited += 10;
    }
    let leader = sim.leader();
    sim.run(5_000, 20);
    (waited, leader.is_some() && sim.leader() == leader)
}
