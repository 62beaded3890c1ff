//! A simulated group on an unreliable network, and the invariants checked after every input.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;

use snafu::Snafu;

use crate::agreement::Input;
use crate::agreement::Output;
use crate::agreement::ReplicaChange;
use crate::agreement::Replicas;
use crate::agreement::Ticket;
use crate::agreement::message::Message;
use crate::agreement::message::Position;
use crate::agreement::replica::fault::Fault;
use crate::agreement::tests::node::Applied;
use crate::agreement::tests::node::SimNode;
use crate::agreement::tests::node::TimeWithoutTicks;
use crate::agreement::tests::node::decode;
use crate::agreement::tests::node::entry_at;
use crate::agreement::tests::node::snapshot_index;
use crate::ids::NodeId;

/// True time between two ticks.
const TICK_MICROS: u64 = 5_000;

/// Batch limits, one of which is used in a case: a single command, or eight.
const BATCH_BYTES: [usize; 2] = [7, 64];

/// Nodes that are not members at first.
const SPARE_NODES: u64 = 2;

/// A violated invariant.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Snafu)]
pub(super) enum Violation {
    #[snafu(display("two leaders in term {term}"))]
    TwoLeaders { term: u64 },
    #[snafu(display("the leader of term {term} lacks committed entry {index}"))]
    LostEntry { term: u64, index: u64 },
    #[snafu(display("two state machines differ at index {index}"))]
    Diverged { index: u64 },
    #[snafu(display("a read on node {} saw index {seen} after {acknowledged} was acknowledged", node.0))]
    StaleRead { node: NodeId, seen: u64, acknowledged: u64 },
    #[snafu(display("rejected command {command} was applied"))]
    RejectedApplied { command: u64 },
    #[snafu(display("command {command} has two outcomes or log indexes"))]
    DuplicateOutcome { command: u64 },
    #[snafu(display("a log has a gap"))]
    LogGap,
    #[snafu(display("no commit on a healed network"))]
    NoProgress,
}

/// The node to which a step applies.
#[derive(Clone, Copy, Debug)]
pub(super) enum NodeSelector {
    Node(usize),
    /// The leader of the latest term, or the first node if there is none.
    Leader,
}

/// Out of 16 messages, how many are dropped, delayed or duplicated.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct NetworkFaults {
    pub(super) dropped: u64,
    pub(super) delayed: u64,
    pub(super) duplicated: u64,
}

pub(super) struct Simulation {
    time: u64,
    rng_state: u64,
    fault: Option<Fault>,
    initial: Replicas,
    pub(super) nodes: Vec<SimNode>,
    in_transit: Vec<Message>,
    delayed: Vec<Message>,
    cut_links: BTreeSet<(NodeId, NodeId)>,
    pub(super) network_faults: NetworkFaults,
    /// Whether clients read on every leader and propose to the latest one as time passes.
    pub(super) client_load: bool,
    max_batch_bytes: usize,
    leader_by_term: BTreeMap<u64, NodeId>,
    /// Entries applied by any replica.
    committed: Applied,
    /// Term of the replica that first applied each of these entries.
    committed_term: BTreeMap<u64, u64>,
    command_index: BTreeMap<u64, u64>,
    resolved: BTreeSet<u64>,
    rejected: BTreeSet<u64>,
    acknowledged_index: u64,
    /// The acknowledged index at the time of each pending read.
    pending_reads: BTreeMap<u64, u64>,
    next_ticket: u64,
    /// Whether some node lost its files, after which a quorum may be lost permanently.
    files_lost: bool,
    pub(super) reads_answered: u64,
}

impl Simulation {
    pub(super) fn new(voters: u64, seed: u64, fault: Option<Fault>) -> Self {
        let initial = Replicas { voters: (1..=voters).map(NodeId).collect(), learners: BTreeSet::new() };
        let mut sim = Self {
            time: 0,
            rng_state: seed,
            fault,
            initial,
            nodes: Vec::new(),
            in_transit: Vec::new(),
            delayed: Vec::new(),
            cut_links: BTreeSet::new(),
            network_faults: NetworkFaults::default(),
            client_load: false,
            max_batch_bytes: BATCH_BYTES[usize::from(seed & 1 == 1)],
            leader_by_term: BTreeMap::new(),
            committed: Applied::new(),
            committed_term: BTreeMap::new(),
            command_index: BTreeMap::new(),
            resolved: BTreeSet::new(),
            rejected: BTreeSet::new(),
            acknowledged_index: 0,
            pending_reads: BTreeMap::new(),
            next_ticket: 0,
            files_lost: false,
            reads_answered: 0,
        };
        for id in 1..=voters + SPARE_NODES {
            let mut node = SimNode::new(id, sim.next_random());
            if seed & 6 == 0 {
                node.time_without_ticks = TimeWithoutTicks::HeldUp;
            }
            node.start(&sim.initial, 0, sim.max_batch_bytes, fault);
            sim.nodes.push(node);
        }
        sim
    }

    fn next_random(&mut self) -> u64 {
        self.rng_state =
            self.rng_state.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        self.rng_state >> 32
    }

    /// Resolves a selector to an index into `nodes`.
    pub(super) fn select(&self, selector: NodeSelector) -> usize {
        let leaders = self.nodes.iter().enumerate().filter(|(_, node)| node.is_leader());
        match selector {
            NodeSelector::Node(slot) => slot % self.nodes.len(),
            NodeSelector::Leader => leaders.max_by_key(|(_, node)| node.term()).map_or(0, |(slot, _)| slot),
        }
    }

    /// Passes an input to a running node, handles its outputs and checks the invariants.
    fn step(&mut self, slot: usize, input: Input) -> Result<(), Violation> {
        let node = &mut self.nodes[slot];
        let now = node.clock(self.time);
        let Some(replica) = node.replica.as_mut().filter(|_| !node.paused) else {
            return Ok(());
        };
        let was_leader = replica.is_leader();
        let outputs = replica.step(now, input);
        for output in outputs {
            self.handle_output(slot, output)?;
        }
        if !was_leader && self.nodes[slot].is_leader() {
            self.check_leader(slot)?;
        }
        Ok(())
    }

    fn handle_output(&mut self, slot: usize, output: Output) -> Result<(), Violation> {
        match output {
            Output::Write(write) => self.nodes[slot].unsynced.push_back(write),
            Output::Send(message) => self.in_transit.push(message),
            Output::Apply { position, payload, ticket } => self.apply(slot, position, &payload, ticket)?,
            Output::Restore(snapshot) => {
                let applied = decode(&snapshot.data);
                for (index, command) in &applied {
                    self.check_committed(slot, *index, *command)?;
                }
                self.nodes[slot].applied = applied;
                self.nodes[slot].replicas = snapshot.replicas;
            }
            Output::EncodeSnapshot => {
                let (position, data) = self.nodes[slot].encode_snapshot();
                self.step(slot, Input::SnapshotEncoded { position, data })?;
            }
            Output::ReadReady(ticket) => self.check_read(slot, ticket)?,
            Output::Reject { ticket, .. } => {
                self.pending_reads.remove(&ticket.0);
                self.record_outcome(ticket)?;
                self.rejected.insert(ticket.0);
            }
            Output::OutcomeUnknown(ticket) => self.record_outcome(ticket)?,
            Output::Replicas { ticket, replicas } => {
                self.nodes[slot].replicas = replicas;
                ticket.map_or(Ok(()), |ticket| self.record_outcome(ticket))?;
            }
            Output::Role { .. } => {}
        }
        Ok(())
    }

    fn record_outcome(&mut self, ticket: Ticket) -> Result<(), Violation> {
        let first = self.resolved.insert(ticket.0);
        if first { Ok(()) } else { Err(Violation::DuplicateOutcome { command: ticket.0 }) }
    }

    fn apply(
        &mut self,
        slot: usize,
        position: Position,
        payload: &[u8],
        ticket: Option<Ticket>,
    ) -> Result<(), Violation> {
        let command = u64::from_le_bytes(payload.try_into().expect("a command is a number"));
        let Position { term, index } = position;
        self.check_committed(slot, index, (term, command))?;
        let applied = &mut self.nodes[slot].applied;
        if applied.last_key_value().is_some_and(|(last, _)| *last >= index) {
            return Err(Violation::Diverged { index });
        }
        applied.insert(index, (term, command));
        if self.rejected.contains(&command) {
            return Err(Violation::RejectedApplied { command });
        }
        if *self.command_index.entry(command).or_insert(index) != index {
            return Err(Violation::DuplicateOutcome { command });
        }
        if let Some(ticket) = ticket {
            self.record_outcome(ticket)?;
            self.acknowledged_index = self.acknowledged_index.max(index);
        }
        Ok(())
    }

    fn check_committed(&mut self, slot: usize, index: u64, command: (u64, u64)) -> Result<(), Violation> {
        self.committed_term.entry(index).or_insert(self.nodes[slot].term());
        let known = *self.committed.entry(index).or_insert(command);
        if known == command { Ok(()) } else { Err(Violation::Diverged { index }) }
    }

    fn check_read(&mut self, slot: usize, ticket: Ticket) -> Result<(), Violation> {
        let Some(acknowledged) = self.pending_reads.remove(&ticket.0) else {
            return Err(Violation::DuplicateOutcome { command: ticket.0 });
        };
        self.record_outcome(ticket)?;
        self.reads_answered += 1;
        let node = &self.nodes[slot];
        let seen = node.applied.last_key_value().map_or(0, |(index, _)| *index);
        if seen < acknowledged {
            return Err(Violation::StaleRead { node: node.id, seen, acknowledged });
        }
        Ok(())
    }

    /// Checks that a new leader is the only one of its term and holds all entries committed in earlier terms.
    fn check_leader(&mut self, slot: usize) -> Result<(), Violation> {
        let node = &self.nodes[slot];
        let term = node.term();
        if *self.leader_by_term.entry(term).or_insert(node.id) != node.id {
            return Err(Violation::TwoLeaders { term });
        }
        let log = node.log()?;
        let covered = snapshot_index(log.snapshot.as_ref());
        for (index, (entry_term, _)) in self.committed.range(covered + 1..) {
            let held = entry_at(&log, *index).is_some_and(|entry| entry.position.term == *entry_term);
            if !held && self.committed_term[index] < term {
                return Err(Violation::LostEntry { term, index: *index });
            }
        }
        Ok(())
    }

    /// Advances the time without delivering messages or syncing.
    pub(super) fn advance_time(&mut self, micros: u64) -> Result<(), Violation> {
        self.time += micros;
        (0..self.nodes.len()).try_for_each(|slot| self.step(slot, Input::Tick))
    }

    /// Advances the time, with up to `hops` hops in each tick.
    pub(super) fn run(&mut self, ticks: u64, hops: usize) -> Result<(), Violation> {
        for _ in 0..ticks {
            self.advance_time(TICK_MICROS)?;
            if self.client_load {
                self.generate_client_load()?;
            }
            for _ in 0..hops {
                self.hop()?;
                if self.in_transit.is_empty() {
                    break;
                }
            }
        }
        Ok(())
    }

    /// Advances the time with one hop in each tick until a leader satisfies a condition.
    pub(super) fn run_until(&mut self, ready: impl Fn(&Self, usize) -> bool) -> Result<usize, Violation> {
        for _ in 0..200 {
            self.run(1, 1)?;
            let leader = self.select(NodeSelector::Leader);
            if self.nodes[leader].is_leader() && ready(self, leader) {
                break;
            }
        }
        Ok(self.select(NodeSelector::Leader))
    }

    /// Number of entries applied by any replica.
    pub(super) fn committed_count(&self) -> usize {
        self.committed.len()
    }

    fn generate_client_load(&mut self) -> Result<(), Violation> {
        if self.next_random().is_multiple_of(4) {
            let leader = self.select(NodeSelector::Leader);
            self.propose(leader)?;
        }
        self.read_all()
    }

    /// Reads on every node that considers itself the leader.
    pub(super) fn read_all(&mut self) -> Result<(), Violation> {
        let leaders: Vec<usize> =
            (0..self.nodes.len()).filter(|slot| self.nodes[*slot].is_leader()).collect();
        leaders.into_iter().try_for_each(|slot| self.read(slot))
    }

    /// Delivers the messages in transit and syncs the writes of nodes whose disk is not slow.
    pub(super) fn hop(&mut self) -> Result<(), Violation> {
        self.deliver_in_transit()?;
        let fast: Vec<usize> = (0..self.nodes.len()).filter(|slot| !self.nodes[*slot].slow_disk).collect();
        fast.into_iter().try_for_each(|slot| self.sync(slot, usize::MAX))
    }

    /// Delivers the messages in transit in random order.
    fn deliver_in_transit(&mut self) -> Result<(), Violation> {
        let mut in_transit = std::mem::take(&mut self.in_transit);
        while !in_transit.is_empty() {
            let pick = usize::try_from(self.next_random()).expect("32 bits") % in_transit.len().min(3);
            let message = in_transit.remove(pick);
            self.deliver_with_faults(message)?;
        }
        Ok(())
    }

    fn deliver_with_faults(&mut self, message: Message) -> Result<(), Violation> {
        let NetworkFaults { dropped, delayed, duplicated } = self.network_faults;
        let roll = self.next_random() % 16;
        if roll < dropped {
            return Ok(());
        }
        if roll < dropped + delayed {
            self.delayed.push(message);
            return Ok(());
        }
        if roll < dropped + delayed + duplicated {
            self.delayed.push(message.clone());
        }
        self.deliver(message)
    }

    fn deliver(&mut self, message: Message) -> Result<(), Violation> {
        let Some(slot) = self.nodes.iter().position(|node| node.id == message.to) else {
            return Ok(());
        };
        if self.nodes[slot].paused {
            self.delayed.push(message);
            return Ok(());
        }
        if self.cut_links.contains(&(message.from, message.to)) {
            return Ok(());
        }
        self.step(slot, Input::Receive(message))
    }

    /// Delivers the oldest delayed messages to a node.
    pub(super) fn deliver_delayed_to(&mut self, slot: usize, count: usize) -> Result<(), Violation> {
        let id = self.nodes[slot].id;
        for _ in 0..count.min(self.delayed.len()) {
            let Some(oldest) = self.delayed.iter().position(|message| message.to == id) else {
                break;
            };
            let message = self.delayed.remove(oldest);
            self.deliver(message)?;
        }
        Ok(())
    }

    /// Delivers one delayed message.
    pub(super) fn deliver_delayed(&mut self, pick: usize) -> Result<(), Violation> {
        if self.delayed.is_empty() {
            return Ok(());
        }
        let message = self.delayed.swap_remove(pick % self.delayed.len());
        self.deliver(message)
    }

    pub(super) fn sync(&mut self, slot: usize, count: usize) -> Result<(), Violation> {
        if self.nodes[slot].paused {
            return Ok(());
        }
        let synced = self.nodes[slot].sync(count)?;
        synced.map_or(Ok(()), |sequence| self.step(slot, Input::Written(sequence)))
    }

    fn new_ticket(&mut self) -> Ticket {
        self.next_ticket += 1;
        Ticket(self.next_ticket)
    }

    pub(super) fn propose(&mut self, slot: usize) -> Result<Ticket, Violation> {
        let ticket = self.new_ticket();
        let payload = Arc::from(ticket.0.to_le_bytes());
        self.step(slot, Input::Propose { ticket, payload })?;
        Ok(ticket)
    }

    pub(super) fn read(&mut self, slot: usize) -> Result<(), Violation> {
        let ticket = self.new_ticket();
        self.pending_reads.insert(ticket.0, self.acknowledged_index);
        self.step(slot, Input::Read(ticket))
    }

    pub(super) fn change_replicas(&mut self, slot: usize, change: ReplicaChange) -> Result<(), Violation> {
        let ticket = self.new_ticket();
        self.step(slot, Input::ChangeReplicas { ticket, change })
    }

    pub(super) fn transfer_leadership(&mut self, slot: usize) -> Result<(), Violation> {
        self.step(slot, Input::TransferLeadership)
    }

    pub(super) fn take_snapshot(&mut self, slot: usize) -> Result<(), Violation> {
        self.sync(slot, usize::MAX)?;
        let node = &mut self.nodes[slot];
        let Some((index, (term, _))) = node.applied.last_key_value().filter(|_| node.replica.is_some())
        else {
            return Ok(());
        };
        let position = Position { term: *term, index: *index };
        if index <= &snapshot_index(node.durable.snapshot.as_ref()) || node.paused {
            return Ok(());
        }
        node.save_snapshot(position)?;
        self.step(slot, Input::SnapshotTaken { position })
    }

    /// Fails a write, on which the driver recreates the replica from the disk.
    pub(super) fn fail_write(&mut self, slot: usize) -> Result<(), Violation> {
        self.step(slot, Input::WriteFailed)?;
        self.crash(slot, 0)?;
        self.restart(slot);
        Ok(())
    }

    pub(super) fn crash(&mut self, slot: usize, kept: usize) -> Result<(), Violation> {
        self.nodes[slot].crash(kept)
    }

    pub(super) fn restart(&mut self, slot: usize) {
        if self.nodes[slot].replica.is_none() {
            self.nodes[slot].start(&self.initial, self.time, self.max_batch_bytes, self.fault);
        }
    }

    /// Stops a node and deletes its files. Messages to the old process don't reach the new one.
    pub(super) fn lose_files(&mut self, slot: usize) {
        let node = &mut self.nodes[slot];
        let id = node.id;
        node.lose_files();
        self.files_lost = true;
        self.in_transit.retain(|message| message.to != id);
        self.delayed.retain(|message| message.to != id);
    }

    pub(super) fn isolate(&mut self, slot: usize) {
        let id = self.nodes[slot].id;
        for other in self.nodes.iter().map(|node| node.id).filter(|other| *other != id) {
            self.cut_links.extend([(id, other), (other, id)]);
        }
    }

    pub(super) fn cut(&mut self, from: usize, to: usize) {
        self.cut_links.insert((self.nodes[from].id, self.nodes[to].id));
    }

    pub(super) fn heal(&mut self) {
        self.cut_links.clear();
    }

    /// Ends all failures and checks that a leader commits a command soon, unless files were lost.
    pub(super) fn heal_and_check_progress(&mut self) -> Result<(), Violation> {
        self.heal();
        self.network_faults = NetworkFaults::default();
        for slot in 0..self.nodes.len() {
            self.nodes[slot].paused = false;
            self.nodes[slot].slow_disk = false;
            self.restart(slot);
        }
        self.run(200, 6)?;
        let leader = self.select(NodeSelector::Leader);
        let ticket = self.propose(leader)?;
        self.run(20, 6)?;
        if self.files_lost || self.command_index.contains_key(&ticket.0) {
            Ok(())
        } else {
            Err(Violation::NoProgress)
        }
    }
}
