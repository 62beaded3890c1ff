//! Simulation, in virtual time, of nodes that dispatch to the servers of a service.

use std::cmp::Reverse;
use std::collections::BTreeSet;
use std::collections::BinaryHeap;
use std::collections::HashMap;
use std::collections::VecDeque;

use super::engines::EngineBehavior;
use super::engines::Workload;
use super::*;

/// One-way network latency between a node and a server.
const NETWORK_LATENCY_US: u64 = 1_000;
/// Interval at which a node with queued requests calls [`Dispatch::tick`].
const TICK_INTERVAL_US: u64 = 20_000;

/// A request rejected after this time counts as late: it allows for two servers that are full, and for a tick.
const MAX_IMMEDIATE_US: u64 = TICK_INTERVAL_US + 8 * NETWORK_LATENCY_US;

/// Parameters of a simulation; times are in microseconds.
pub(super) struct Scenario {
    pub(super) nodes: usize,
    pub(super) servers: usize,
    pub(super) slots: u32,
    /// Requests that a server queues beyond its slots.
    pub(super) queue_limit: usize,
    /// Requests per second, from all nodes together.
    pub(super) rate: u64,
    pub(super) duration: u64,
    /// Mean service time; drawn uniformly from 0 to twice that.
    pub(super) service_time: u64,
    /// Factor by which the first server is slower.
    pub(super) slowdown: u64,
    /// Time from the arrival of a request to its deadline.
    pub(super) time_limit: u64,
    /// Model engines that run programs, in place of plain servers with requests of random length.
    pub(super) engines: Option<EngineBehavior>,
    /// Requests that resume streams of the first servers, in place of requests that any server takes.
    pub(super) resumed: Option<ResumedStreams>,
}

/// Streams of an older software version that callers resume.
#[derive(Clone, Copy, Debug)]
pub(super) struct ResumedStreams {
    /// Servers that still have the version.
    pub(super) servers: usize,
    /// Percentage of the requests that resume a stream.
    pub(super) percent: u64,
}

/// Results of a simulation.
#[derive(Debug, Default)]
pub(super) struct Stats {
    pub(super) completed: usize,
    pub(super) rejected_at_once: usize,
    /// Requests rejected more than [`MAX_IMMEDIATE_US`] after their arrival.
    pub(super) rejected_late: usize,
    /// Sorted times from arrival to sending, in microseconds.
    pub(super) waits: Vec<u64>,
    /// Sorted times from arrival to response, in microseconds.
    pub(super) latencies: Vec<u64>,
    /// Requests to engines that took clearly longer than they would on idle ones.
    pub(super) late: usize,
    /// Turns that an engine preempted for lack of memory.
    pub(super) preempted: usize,
    /// Turns run by each engine.
    pub(super) runs: Vec<usize>,
    /// Requests that arrived and those that completed: new ones, then resumed ones.
    pub(super) by_kind: [(usize, usize); 2],
}

impl Stats {
    pub(super) fn percentile(sorted: &[u64], percent: usize) -> u64 {
        sorted.get((sorted.len() * percent / 100).min(sorted.len().saturating_sub(1))).copied().unwrap_or(0)
    }
}

#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Event {
    Arrive { node: usize },
    Tick { node: usize },
    Receive { node: usize, server: usize, ticket: u64 },
    Complete { node: usize, server: usize, ticket: u64 },
    Respond { node: usize, server: usize, ticket: u64, load: (u32, u32), full: bool },
}

#[derive(Default)]
struct SimulatedServer {
    /// Tokens of the running turns, on an engine.
    held_tokens: u64,
    running: u32,
    queue: VecDeque<(usize, u64)>,
}

struct Simulation {
    scenario: Scenario,
    rng: Random,
    events: BinaryHeap<Reverse<(u64, u64, Event)>>,
    sequence: u64,
    nodes: Vec<Dispatch>,
    keys: Vec<Vec<ServerKey>>,
    servers: Vec<SimulatedServer>,
    /// Times of arrival and of sending, by ticket.
    times: HashMap<u64, (u64, u64)>,
    /// Tickets of the requests that resume a stream.
    resumed: BTreeSet<u64>,
    workload: Workload,
    stats: Stats,
}

pub(super) fn simulate(scenario: Scenario, policy: Decisions, seed: u64) -> Stats {
    let old = scenario.resumed.map_or(0, |resumed| resumed.servers);
    let server = |number: usize| Instance {
        version: if number < old { "v1" } else { "v2" }.into(),
        ..instance(&format!("s-{number}"), scenario.slots, "a")
    };
    let instances: Vec<Instance> = (0..scenario.servers).map(server).collect();
    let mut simulation = Simulation {
        rng: Random::new(seed),
        events: BinaryHeap::new(),
        sequence: 0,
        nodes: Vec::new(),
        keys: Vec::new(),
        servers: (0..scenario.servers).map(|_| SimulatedServer::default()).collect(),
        times: HashMap::new(),
        resumed: BTreeSet::new(),
        workload: Workload::new(scenario.engines.as_ref().map_or(1, |engines| engines.max_turns)),
        stats: Stats { runs: vec![0; scenario.servers], ..Stats::default() },
        scenario,
    };
    for number in 0..simulation.scenario.nodes {
        let mut node = Dispatch::new("a".into(), seed ^ number as u64).with_policy(policy);
        node.replace_instances(Timestamp(0), &instances);
        let memory = simulation.scenario.engines.as_ref().and_then(|engines| engines.memory_tokens);
        node.set_memory(memory.map(|tokens| (SERVICE.into(), tokens)));
        let by_id = |instance: &Instance| node.by_id[&instance.id];
        simulation.keys.push(instances.iter().map(by_id).collect());
        simulation.nodes.push(node);
    }
    simulation.run();
    simulation.stats.waits.sort_unstable();
    simulation.stats.latencies.sort_unstable();
    simulation.stats
}

impl Simulation {
    fn run(&mut self) {
        let interval = 1_000_000 / self.scenario.rate;
        for number in 0..self.scenario.duration / interval {
            let node = usize::try_from(self.rng.below(self.scenario.nodes as u64)).unwrap();
            let at = number * interval + self.random_below(interval);
            self.schedule(at, Event::Arrive { node });
        }
        while let Some(Reverse((now, _, event))) = self.events.pop() {
            self.step(now, event);
        }
    }

    fn random_below(&mut self, bound: u64) -> u64 {
        self.rng.below(bound.max(1))
    }

    fn schedule(&mut self, time: u64, event: Event) {
        self.sequence += 1;
        self.events.push(Reverse((time, self.sequence, event)));
    }

    fn step(&mut self, now: u64, event: Event) {
        match event {
            Event::Arrive { node } => self.arrive(now, node),
            Event::Tick { node } => {
                let decisions = self.nodes[node].tick(Timestamp(now));
                self.apply(now, node, decisions);
                self.schedule_tick(now, node);
            }
            Event::Receive { node, server, ticket } => self.receive(now, node, server, ticket),
            Event::Complete { node, server, ticket } => self.complete(now, node, server, ticket),
            Event::Respond { node, server, ticket, load, full } => {
                self.respond(now, node, server, ticket, load, full);
            }
        }
    }

    fn arrive(&mut self, now: u64, node: usize) {
        let ticket = self.sequence;
        self.sequence += 1;
        self.times.insert(ticket, (now, now));
        if let Some(streams) = self.scenario.resumed
            && self.rng.below(100) < streams.percent
        {
            self.resumed.insert(ticket);
        }
        self.stats.by_kind[usize::from(self.resumed.contains(&ticket))].0 += 1;
        if self.scenario.engines.is_some() {
            self.workload.add_turn(&mut self.rng, ticket);
        }
        let request = self.request(ticket, now);
        let decisions = self.nodes[node].submit(Timestamp(now), request);
        self.apply(now, node, decisions);
        self.schedule_tick(now, node);
    }

    fn request(&self, ticket: u64, arrived: u64) -> Request {
        let deadline = Timestamp(arrived + self.scenario.time_limit);
        let version = self.resumed.contains(&ticket).then(|| "v1".into());
        let request = Request { started: true, deadline, finish_by: deadline, version, ..request(ticket, 0) };
        match self.workload.turns.get(&ticket) {
            Some(turn) => Request { affinity: Some(turn.program), profile: turn.profile(), ..request },
            None => request,
        }
    }

    fn schedule_tick(&mut self, now: u64, node: usize) {
        if self.nodes[node].waiting() > 0 {
            self.schedule(now + TICK_INTERVAL_US, Event::Tick { node });
        }
    }

    fn apply(&mut self, now: u64, node: usize, decisions: Vec<Decision>) {
        for decision in decisions {
            match decision {
                Decision::Send { ticket, server } => {
                    let server = self.keys[node].iter().position(|key| *key == server).unwrap();
                    let (arrived, sent) = self.times.get_mut(&ticket).unwrap();
                    *sent = now;
                    self.stats.waits.push(now - *arrived);
                    self.schedule(now + NETWORK_LATENCY_US, Event::Receive { node, server, ticket });
                }
                Decision::Reject { ticket, .. } => {
                    let (arrived, _) = self.times.remove(&ticket).unwrap();
                    let stats = &mut self.stats;
                    *(if now - arrived <= MAX_IMMEDIATE_US {
                        &mut stats.rejected_at_once
                    } else {
                        &mut stats.rejected_late
                    }) += 1;
                }
                Decision::DropConnections { .. } | Decision::Eject { .. } => {}
            }
        }
    }

    fn receive(&mut self, now: u64, node: usize, server: usize, ticket: u64) {
        let state = &mut self.servers[server];
        if state.running < self.scenario.slots {
            state.running += 1;
            self.start(now, node, server, ticket);
        } else if state.queue.len() < self.scenario.queue_limit {
            state.queue.push_back((node, ticket));
        } else {
            let load = (state.running, u32::try_from(state.queue.len()).unwrap());
            self.schedule(
                now + NETWORK_LATENCY_US,
                Event::Respond { node, server, ticket, load, full: true },
            );
        }
    }

    fn start(&mut self, now: u64, node: usize, server: usize, ticket: u64) {
        if let Some(engines) = &self.scenario.engines {
            let held = &mut self.servers[server].held_tokens;
            let run = self.workload.start(engines, now, server, ticket, held);
            self.stats.runs[server] += 1;
            self.stats.preempted += usize::from(run.preempted);
            self.schedule(run.ends_at, Event::Complete { node, server, ticket });
            return;
        }
        let slowdown = if server == 0 { self.scenario.slowdown } else { 1 };
        let service_time = self.random_below(2 * self.scenario.service_time) * slowdown;
        self.schedule(now + service_time, Event::Complete { node, server, ticket });
    }

    fn complete(&mut self, now: u64, node: usize, server: usize, ticket: u64) {
        let state = &mut self.servers[server];
        state.running -= 1;
        if let Some(engines) = &self.scenario.engines {
            self.workload.complete(engines, now, server, ticket, &mut state.held_tokens);
        }
        let next = state.queue.pop_front();
        state.running += u32::from(next.is_some());
        let load = (state.running, u32::try_from(state.queue.len()).unwrap());
        self.schedule(now + NETWORK_LATENCY_US, Event::Respond { node, server, ticket, load, full: false });
        if let Some((node, ticket)) = next {
            self.start(now, node, server, ticket);
        }
    }

    fn respond(&mut self, now: u64, node: usize, server: usize, ticket: u64, load: (u32, u32), full: bool) {
        let key = self.keys[node][server];
        let (running, waiting) = load;
        let turn = self.workload.turns.get(&ticket).copied();
        let percent = turn.filter(|_| !full).and_then(|turn| turn.percent);
        self.nodes[node].record_load(Timestamp(now), key, ServerLoad { running, waiting, percent });
        let (arrived, sent) = self.times[&ticket];
        let outcome = if full {
            RequestOutcome::Full
        } else {
            RequestOutcome::Completed(Duration::from_micros(now - sent))
        };
        let progress = turn.map_or_else(RunProgress::default, |turn| RunProgress {
            first_byte: Some(Duration::from_micros((turn.read_at + NETWORK_LATENCY_US).saturating_sub(sent))),
            generated_tokens: turn.generated,
        });
        let mut decisions = self.nodes[node].finish_request(Timestamp(now), key, ticket, outcome, progress);
        if full {
            let retry = self.request(ticket, arrived);
            decisions.extend(self.nodes[node].submit(Timestamp(now), retry));
        } else {
            self.times.remove(&ticket);
            self.stats.completed += 1;
            self.stats.by_kind[usize::from(self.resumed.contains(&ticket))].1 += 1;
            let late = self.workload.turns.remove(&ticket).is_some_and(|turn| turn.is_late(now - arrived));
            self.stats.late += usize::from(late);
            self.stats.latencies.push(now - arrived);
        }
        self.apply(now, node, decisions);
        self.schedule_tick(now, node);
    }
}
