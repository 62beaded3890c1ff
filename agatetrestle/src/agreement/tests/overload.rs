//! A group under three times the load that its leader has processor time for.
//!
//! Each process takes one input after the other, and each takes it time; messages take time on their way and so does a
//! sync. What a store on the users' machines spends on them at 0.3 of a core was rounded up.

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

const VOTERS: u64 = 5;
const TICK: u64 = 15_000;
/// Microseconds that a process spends on inputs and on sending.
const TAKE_COMMAND: u64 = 150;
const REFUSE: u64 = 60;
const TAKE_MESSAGE: u64 = 100;
const SEND: u64 = 60;
const ANSWER: u64 = 50;
/// Microseconds on the way, and for a sync.
const WAY: u64 = 900;
const SYNC: u64 = 1_000;

#[derive(Debug)]
enum Event {
    /// An input reaches a process.
    Arrives(NodeId, Input),
    /// A process has time for its next input.
    Free(NodeId),
}

struct Process {
    replica: Replica,
    queue: std::collections::VecDeque<Input>,
    busy: bool,
    syncing_until: u64,
}

/// What became of the commands of a span of time.
#[derive(Debug, Default)]
struct Tally {
    committed: u64,
    refused: u64,
    latencies: Vec<u64>,
}

struct Load {
    now: u64,
    order: u64,
    events: BinaryHeap<Reverse<(u64, u64)>>,
    contents: BTreeMap<u64, Event>,
    processes: BTreeMap<NodeId, Process>,
    sent: BTreeMap<Ticket, u64>,
    tally: Tally,
    longest_queue: usize,
    terms: Vec<u64>,
}

impl Load {
    fn new(max_commit_wait: Duration) -> Self {
        let voters = (1..=VOTERS).map(NodeId);
        let initial = Replicas { voters: voters.clone().collect(), ..Replicas::default() };
        let process = |node: NodeId| {
            let cfg = ReplicaConfig {
                group: GroupId(1),
                node,
                leader_interval: Duration::from_millis(60),
                election_timeout: Duration::from_millis(250),
                clock_drift: Duration::from_millis(20),
                seed: 7,
                max_in_flight: 4_096,
                max_commit_wait,
                max_batch_bytes: 1 << 20,
            };
            let replica = Replica::new(cfg, initial.clone(), PersistentState::default(), Timestamp(0));
            let queue = std::collections::VecDeque::new();
            (node, Process { replica: replica.with_fault(None), queue, busy: false, syncing_until: 0 })
        };
        Self {
            now: 0,
            order: 0,
            events: BinaryHeap::new(),
            contents: BTreeMap::new(),
            processes: voters.map(process).collect(),
            sent: BTreeMap::new(),
            tally: Tally::default(),
            longest_queue: 0,
            terms: Vec::new(),
        }
    }

    fn at(&mut self, time: u64, event: Event) {
        self.order += 1;
        self.events.push(Reverse((time, self.order)));
        self.contents.insert(self.order, event);
    }

    fn leader(&self) -> Option<NodeId> {
        self.processes.iter().find(|(_, process)| process.replica.is_leader()).map(|(node, _)| *node)
    }

    /// Plays a span with so many commands a second, evenly spread, and says what became of them.
    fn play(&mut self, millis: u64, per_second: u64) -> Tally {
        let (start, end) = (self.now, self.now + millis * 1_000);
        let ticks = (start..end).step_by(15_000);
        for time in ticks {
            for node in 1..=VOTERS {
                self.at(time + node * TICK / VOTERS, Event::Arrives(NodeId(node), Input::Tick));
            }
        }
        if let Some(leader) = self.leader() {
            for number in 0..per_second * millis / 1_000 {
                let time = start + number * 1_000_000 / per_second;
                let ticket = Ticket(self.order + 1);
                self.sent.insert(ticket, time);
                let input = Input::Propose { ticket, payload: Arc::from([0; 300]) };
                self.at(time, Event::Arrives(leader, input));
            }
        }
        while let Some(Reverse((time, order))) = self.events.peek().copied()
            && time < end
        {
            self.events.pop();
            self.now = time;
            let event = self.contents.remove(&order).expect("each event has its content");
            self.happen(event);
        }
        self.now = end;
        std::mem::take(&mut self.tally)
    }

    fn happen(&mut self, event: Event) {
        let node = match event {
            Event::Arrives(node, input) => {
                let process = self.processes.get_mut(&node).unwrap();
                process.queue.push_back(input);
                self.longest_queue = self.longest_queue.max(process.queue.len());
                if process.busy {
                    return;
                }
                node
            }
            Event::Free(node) => node,
        };
        let process = self.processes.get_mut(&node).unwrap();
        let Some(input) = process.queue.pop_front() else {
            process.busy = false;
            return;
        };
        process.busy = true;
        let spent = self.step(node, input);
        self.at(self.now + spent, Event::Free(node));
    }

    /// Lets a process take an input; the time that it is busy with it.
    fn step(&mut self, node: NodeId, input: Input) -> u64 {
        let mut spent = match &input {
            Input::Propose { .. } => TAKE_COMMAND,
            Input::Receive(_) => TAKE_MESSAGE,
            _ => 0,
        };
        let now = Timestamp(self.now);
        let outputs = self.processes.get_mut(&node).unwrap().replica.step(now, input);
        for output in outputs {
            match output {
                Output::Send(message) => {
                    let heavy = matches!(message.body, Body::Append { .. } | Body::AppendReply { .. });
                    spent += if heavy { SEND } else { 0 };
                    self.at(self.now + spent + WAY, Event::Arrives(message.to, Input::Receive(message)));
                }
                Output::Write(write) => {
                    let process = self.processes.get_mut(&node).unwrap();
                    let done = process.syncing_until.max(self.now + spent) + SYNC;
                    // What comes while a sync runs shares the next one.
                    process.syncing_until = done.min(self.now + spent + 2 * SYNC);
                    self.at(done, Event::Arrives(node, Input::Written(write.sequence)));
                }
                Output::Apply { ticket: Some(ticket), .. } => {
                    spent += ANSWER;
                    let handed_over = self.sent.remove(&ticket).unwrap();
                    self.tally.committed += 1;
                    self.tally.latencies.push(self.now + spent - handed_over);
                }
                Output::Reject { ticket, reason } => {
                    assert_eq!(reason, Rejection::Busy, "the leader stays");
                    spent = REFUSE;
                    self.sent.remove(&ticket);
                    self.tally.refused += 1;
                }
                Output::Role { term, .. } => self.terms.push(term),
                _ => {}
            }
        }
        spent
    }
}

/// The latency that so many in a hundred don't exceed, in microseconds.
fn percentile(tally: &Tally, percent: usize) -> u64 {
    let mut sorted = tally.latencies.clone();
    sorted.sort_unstable();
    sorted[(sorted.len() - 1) * percent / 100]
}

const MAX_WAIT: Duration = Duration::from_millis(100);

#[test]
fn three_times_the_capacity_costs_no_leader_and_is_over_when_it_ends() {
    let mut load = Load::new(MAX_WAIT);
    load.play(2_000, 0);
    let leader = load.leader().expect("a leader");
    let calm = load.play(2_000, 1_000);
    // The last few are on their way when the span ends.
    assert!(calm.refused == 0 && calm.committed > 1_990);
    let full = load.play(4_000, 3_000);
    let capacity = full.committed / 4;
    load.play(1_000, 0);
    load.terms.clear();
    load.longest_queue = 0;
    let over = load.play(4_000, 3 * capacity);
    let after = load.play(1_000, 1_000);
    let again = load.play(2_000, 1_000);
    println!(
        "capacity {capacity}/s; over {} committed, {} refused, p99 {} us, queue {}; after p99 {} us; again p99 {} us",
        over.committed,
        over.refused,
        percentile(&over, 99),
        load.longest_queue,
        percentile(&after, 99),
        percentile(&again, 99)
    );
    assert_eq!((load.leader(), load.terms.len()), (Some(leader), 0), "load alone ends no term");
    assert!(over.committed / 4 >= capacity / 3, "what is refused costs time too, but not all of it");
    assert!(percentile(&over, 99) <= 300_000);
    assert!(again.refused == 0 && again.committed > 1_990);
    assert!(percentile(&again, 99) <= 2 * percentile(&calm, 99), "a second later nothing is left of it");
}
