//! Replicas of one group on a network that loses, doubles, reorders and delays, and what must always hold.

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
use crate::agreement::tests::node::Node;
use crate::agreement::tests::node::covered;
use crate::agreement::tests::node::decode;
use crate::agreement::tests::node::entry_at;
use crate::ids::NodeId;

/// True time between two ticks, in microseconds.
const TICK: u64 = 5_000;

/// Payload bytes in a batch, of which a case has one: a single command, or eight.
const BATCH_BYTES: [usize; 2] = [7, 64];

/// Nodes that take no part at first.
const SPARES: u64 = 2;

/// What must never happen.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Snafu)]
pub(super) enum Violation {
    #[snafu(display("two leaders in term {term}"))]
    TwoLeaders { term: u64 },
    #[snafu(display("the leader of term {term} lacks the committed entry {index}"))]
    Lost { term: u64, index: u64 },
    #[snafu(display("two state machines differ at {index}"))]
    Diverged { index: u64 },
    #[snafu(display("a read on {} saw {seen} after {acknowledged} was acknowledged", node.0))]
    StaleRead { node: NodeId, seen: u64, acknowledged: u64 },
    #[snafu(display("command {command} was rejected and applied"))]
    RejectedApplied { command: u64 },
    #[snafu(display("command {command} has two outcomes or places"))]
    Twice { command: u64 },
    #[snafu(display("a log has a gap"))]
    Gap,
    #[snafu(display("nothing commits on a healed network"))]
    NoProgress,
}

/// Whom a step concerns.
#[derive(Clone, Copy, Debug)]
pub(super) enum Who {
    Node(usize),
    /// The leader of the newest term, if any.
    Leader,
}

/// How often messages are lost, delayed or doubled, of 16.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Noise {
    pub(super) lost: u64,
    pub(super) late: u64,
    pub(super) doubled: u64,
}

pub(super) struct World {
    time: u64,
    random: u64,
    fault: Option<Fault>,
    initial: Replicas,
    pub(super) nodes: Vec<Node>,
    bag: Vec<Message>,
    late: Vec<Message>,
    cuts: BTreeSet<(NodeId, NodeId)>,
    pub(super) noise: Noise,
    /// Whether clients read on every leader and propose on the newest while time passes.
    pub(super) load: bool,
    batch: usize,
    leaders: BTreeMap<u64, NodeId>,
    /// All that any replica applied.
    committed: Applied,
    /// The term by which each of these was committed at the latest.
    committed_by: BTreeMap<u64, u64>,
    places: BTreeMap<u64, u64>,
    outcomes: BTreeSet<u64>,
    rejected: BTreeSet<u64>,
    acknowledged: u64,
    /// Acknowledged index as of each read that waits.
    reads: BTreeMap<u64, u64>,
    next_ticket: u64,
    /// Whether some node lost its files, after which a quorum may be gone for good.
    files_lost: bool,
    /// Reads that were answered, so that a test can tell that there were some.
    pub(super) answered: u64,
}

impl World {
    pub(super) fn new(voters: u64, seed: u64, fault: Option<Fault>) -> Self {
        let initial = Replicas { voters: (1..=voters).map(NodeId).collect(), learners: BTreeSet::new() };
        let mut world = Self {
            time: 0,
            random: seed,
            fault,
            initial,
            nodes: Vec::new(),
            bag: Vec::new(),
            late: Vec::new(),
            cuts: BTreeSet::new(),
            noise: Noise::default(),
            load: false,
            batch: BATCH_BYTES[usize::from(seed & 1 == 1)],
            leaders: BTreeMap::new(),
            committed: Applied::new(),
            committed_by: BTreeMap::new(),
            places: BTreeMap::new(),
            outcomes: BTreeSet::new(),
            rejected: BTreeSet::new(),
            acknowledged: 0,
            reads: BTreeMap::new(),
            next_ticket: 0,
            files_lost: false,
            answered: 0,
        };
        for id in 1..=voters + SPARES {
            let mut node = Node::new(id, world.next_random());
            node.start(&world.initial, 0, world.batch, fault);
            world.nodes.push(node);
        }
        world
    }

    fn next_random(&mut self) -> u64 {
        self.random =
            self.random.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        self.random >> 32
    }

    /// The place of a node; without a leader some node takes its part.
    pub(super) fn find(&self, who: Who) -> usize {
        let leaders = self.nodes.iter().enumerate().filter(|(_, node)| node.is_leader());
        match who {
            Who::Node(place) => place % self.nodes.len(),
            Who::Leader => leaders.max_by_key(|(_, node)| node.term()).map_or(0, |(place, _)| place),
        }
    }

    /// Feeds one input to a node that runs, carries out what it says and checks it.
    fn input(&mut self, place: usize, input: Input) -> Result<(), Violation> {
        let node = &mut self.nodes[place];
        let now = node.clock(self.time);
        let Some(replica) = node.replica.as_mut().filter(|_| !node.paused) else {
            return Ok(());
        };
        let led = replica.is_leader();
        let outputs = replica.step(now, input);
        for output in outputs {
            self.carry_out(place, output)?;
        }
        if !led && self.nodes[place].is_leader() {
            self.check_leader(place)?;
        }
        Ok(())
    }

    fn carry_out(&mut self, place: usize, output: Output) -> Result<(), Violation> {
        match output {
            Output::Write(write) => self.nodes[place].unsynced.push_back(write),
            Output::Send(message) => self.bag.push(message),
            Output::Apply { position, payload, ticket } => self.apply(place, position, &payload, ticket)?,
            Output::Restore(snapshot) => {
                let applied = decode(&snapshot.data);
                for (index, command) in &applied {
                    self.check_committed(place, *index, *command)?;
                }
                self.nodes[place].applied = applied;
                self.nodes[place].replicas = snapshot.replicas;
            }
            Output::EncodeSnapshot => {
                let (position, data) = self.nodes[place].coded();
                self.input(place, Input::SnapshotEncoded { position, data })?;
            }
            Output::ReadReady(ticket) => self.check_read(place, ticket)?,
            Output::Reject { ticket, .. } => {
                self.reads.remove(&ticket.0);
                self.settle(ticket)?;
                self.rejected.insert(ticket.0);
            }
            Output::OutcomeUnknown(ticket) => self.settle(ticket)?,
            Output::Replicas { ticket, replicas } => {
                self.nodes[place].replicas = replicas;
                ticket.map_or(Ok(()), |ticket| self.settle(ticket))?;
            }
            Output::Role { .. } => {}
        }
        Ok(())
    }

    fn settle(&mut self, ticket: Ticket) -> Result<(), Violation> {
        let first = self.outcomes.insert(ticket.0);
        if first { Ok(()) } else { Err(Violation::Twice { command: ticket.0 }) }
    }

    fn apply(
        &mut self,
        place: usize,
        position: Position,
        payload: &[u8],
        ticket: Option<Ticket>,
    ) -> Result<(), Violation> {
        let command = u64::from_le_bytes(payload.try_into().expect("a command is a number"));
        let Position { term, index } = position;
        self.check_committed(place, index, (term, command))?;
        let applied = &mut self.nodes[place].applied;
        if applied.last_key_value().is_some_and(|(last, _)| *last >= index) {
            return Err(Violation::Diverged { index });
        }
        applied.insert(index, (term, command));
        if self.rejected.contains(&command) {
            return Err(Violation::RejectedApplied { command });
        }
        if *self.places.entry(command).or_insert(index) != index {
            return Err(Violation::Twice { command });
        }
        if let Some(ticket) = ticket {
            self.settle(ticket)?;
            self.acknowledged = self.acknowledged.max(index);
        }
        Ok(())
    }

    fn check_committed(&mut self, place: usize, index: u64, command: (u64, u64)) -> Result<(), Violation> {
        self.committed_by.entry(index).or_insert(self.nodes[place].term());
        let known = *self.committed.entry(index).or_insert(command);
        if known == command { Ok(()) } else { Err(Violation::Diverged { index }) }
    }

    fn check_read(&mut self, place: usize, ticket: Ticket) -> Result<(), Violation> {
        let Some(acknowledged) = self.reads.remove(&ticket.0) else {
            return Err(Violation::Twice { command: ticket.0 });
        };
        self.settle(ticket)?;
        self.answered += 1;
        let node = &self.nodes[place];
        let seen = node.applied.last_key_value().map_or(0, |(index, _)| *index);
        if seen < acknowledged {
            return Err(Violation::StaleRead { node: node.id, seen, acknowledged });
        }
        Ok(())
    }

    /// A new leader must be the only one of its term and hold all that earlier terms committed.
    fn check_leader(&mut self, place: usize) -> Result<(), Violation> {
        let node = &self.nodes[place];
        let term = node.term();
        if *self.leaders.entry(term).or_insert(node.id) != node.id {
            return Err(Violation::TwoLeaders { term });
        }
        let log = node.log()?;
        let covered = covered(log.snapshot.as_ref());
        for (index, (entry_term, _)) in self.committed.range(covered + 1..) {
            let held = entry_at(&log, *index).is_some_and(|entry| entry.position.term == *entry_term);
            if !held && self.committed_by[index] < term {
                return Err(Violation::Lost { term, index: *index });
            }
        }
        Ok(())
    }

    /// Lets time pass without any message or sync.
    pub(super) fn pass(&mut self, micros: u64) -> Result<(), Violation> {
        self.time += micros;
        (0..self.nodes.len()).try_for_each(|place| self.input(place, Input::Tick))
    }

    /// Lets time pass with messages and syncs going on, so many hops in each tick.
    pub(super) fn run(&mut self, ticks: u64, hops: usize) -> Result<(), Violation> {
        for _ in 0..ticks {
            self.pass(TICK)?;
            if self.load {
                self.serve_clients()?;
            }
            for _ in 0..hops {
                self.hop()?;
                if self.bag.is_empty() {
                    break;
                }
            }
        }
        Ok(())
    }

    /// Lets time pass with one hop in each tick until a node leads that satisfies a condition.
    pub(super) fn run_until(&mut self, ready: impl Fn(&Self, usize) -> bool) -> Result<usize, Violation> {
        for _ in 0..200 {
            self.run(1, 1)?;
            let leader = self.find(Who::Leader);
            if self.nodes[leader].is_leader() && ready(self, leader) {
                break;
            }
        }
        Ok(self.find(Who::Leader))
    }

    /// How many commands any replica applied.
    pub(super) fn committed(&self) -> usize {
        self.committed.len()
    }

    fn serve_clients(&mut self) -> Result<(), Violation> {
        if self.next_random().is_multiple_of(4) {
            let leader = self.find(Who::Leader);
            self.propose(leader)?;
        }
        self.read_all()
    }

    /// Reads on every node that holds itself for the leader.
    pub(super) fn read_all(&mut self) -> Result<(), Violation> {
        let leaders: Vec<usize> =
            (0..self.nodes.len()).filter(|place| self.nodes[*place].is_leader()).collect();
        leaders.into_iter().try_for_each(|place| self.read(place))
    }

    /// Delivers what is in the bag and syncs what was written.
    pub(super) fn hop(&mut self) -> Result<(), Violation> {
        self.deliver_bag()?;
        let fast: Vec<usize> = (0..self.nodes.len()).filter(|place| !self.nodes[*place].slow).collect();
        fast.into_iter().try_for_each(|place| self.sync(place, usize::MAX))
    }

    /// Delivers what is in the bag, in any order.
    fn deliver_bag(&mut self) -> Result<(), Violation> {
        let mut bag = std::mem::take(&mut self.bag);
        while !bag.is_empty() {
            let pick = usize::try_from(self.next_random()).expect("32 bits") % bag.len().min(3);
            let message = bag.remove(pick);
            self.meet_noise(message)?;
        }
        Ok(())
    }

    fn meet_noise(&mut self, message: Message) -> Result<(), Violation> {
        let Noise { lost, late, doubled } = self.noise;
        let roll = self.next_random() % 16;
        if roll < lost {
            return Ok(());
        }
        if roll < lost + late {
            self.late.push(message);
            return Ok(());
        }
        if roll < lost + late + doubled {
            self.late.push(message.clone());
        }
        self.deliver(message)
    }

    fn deliver(&mut self, message: Message) -> Result<(), Violation> {
        let Some(place) = self.nodes.iter().position(|node| node.id == message.to) else {
            return Ok(());
        };
        if self.nodes[place].paused {
            self.late.push(message);
            return Ok(());
        }
        if self.cuts.contains(&(message.from, message.to)) {
            return Ok(());
        }
        self.input(place, Input::Receive(message))
    }

    /// Delivers the oldest late messages to one node.
    pub(super) fn deliver_late_to(&mut self, place: usize, count: usize) -> Result<(), Violation> {
        let id = self.nodes[place].id;
        for _ in 0..count.min(self.late.len()) {
            let Some(oldest) = self.late.iter().position(|message| message.to == id) else {
                break;
            };
            let message = self.late.remove(oldest);
            self.deliver(message)?;
        }
        Ok(())
    }

    /// Delivers one message that was late, which may be very old.
    pub(super) fn deliver_late(&mut self, pick: usize) -> Result<(), Violation> {
        if self.late.is_empty() {
            return Ok(());
        }
        let message = self.late.swap_remove(pick % self.late.len());
        self.deliver(message)
    }

    pub(super) fn sync(&mut self, place: usize, count: usize) -> Result<(), Violation> {
        if self.nodes[place].paused {
            return Ok(());
        }
        let synced = self.nodes[place].sync(count)?;
        synced.map_or(Ok(()), |sequence| self.input(place, Input::Written(sequence)))
    }

    fn ticket(&mut self) -> Ticket {
        self.next_ticket += 1;
        Ticket(self.next_ticket)
    }

    pub(super) fn propose(&mut self, place: usize) -> Result<Ticket, Violation> {
        let ticket = self.ticket();
        let payload = Arc::from(ticket.0.to_le_bytes());
        self.input(place, Input::Propose { ticket, payload })?;
        Ok(ticket)
    }

    pub(super) fn read(&mut self, place: usize) -> Result<(), Violation> {
        let ticket = self.ticket();
        self.reads.insert(ticket.0, self.acknowledged);
        self.input(place, Input::Read(ticket))
    }

    pub(super) fn change(&mut self, place: usize, change: ReplicaChange) -> Result<(), Violation> {
        let ticket = self.ticket();
        self.input(place, Input::ChangeReplicas { ticket, change })
    }

    pub(super) fn hand_over(&mut self, place: usize) -> Result<(), Violation> {
        self.input(place, Input::TransferLeadership)
    }

    pub(super) fn take_snapshot(&mut self, place: usize) -> Result<(), Violation> {
        self.sync(place, usize::MAX)?;
        let node = &mut self.nodes[place];
        let Some((index, (term, _))) = node.applied.last_key_value().filter(|_| node.replica.is_some())
        else {
            return Ok(());
        };
        let position = Position { term: *term, index: *index };
        if index <= &covered(node.durable.snapshot.as_ref()) || node.paused {
            return Ok(());
        }
        node.save_snapshot(position)?;
        self.input(place, Input::SnapshotTaken { position })
    }

    /// A write fails and the driver builds the replica anew from the disk.
    pub(super) fn fail_write(&mut self, place: usize) -> Result<(), Violation> {
        self.input(place, Input::WriteFailed)?;
        self.crash(place, 0)?;
        self.restart(place);
        Ok(())
    }

    pub(super) fn crash(&mut self, place: usize, kept: usize) -> Result<(), Violation> {
        self.nodes[place].crash(kept)
    }

    pub(super) fn restart(&mut self, place: usize) {
        if self.nodes[place].replica.is_none() {
            self.nodes[place].start(&self.initial, self.time, self.batch, self.fault);
        }
    }

    /// A node loses its files and its process. Messages to the old process don't reach the new one.
    pub(super) fn lose_files(&mut self, place: usize) {
        let node = &mut self.nodes[place];
        let id = node.id;
        node.lose_files();
        self.files_lost = true;
        self.bag.retain(|message| message.to != id);
        self.late.retain(|message| message.to != id);
    }

    pub(super) fn isolate(&mut self, place: usize) {
        let id = self.nodes[place].id;
        for other in self.nodes.iter().map(|node| node.id).filter(|other| *other != id) {
            self.cuts.extend([(id, other), (other, id)]);
        }
    }

    pub(super) fn cut(&mut self, from: usize, to: usize) {
        self.cuts.insert((self.nodes[from].id, self.nodes[to].id));
    }

    pub(super) fn heal(&mut self) {
        self.cuts.clear();
    }

    /// Everything works again: some leader must commit a command soon, unless files were lost.
    pub(super) fn must_progress(&mut self) -> Result<(), Violation> {
        self.heal();
        self.noise = Noise::default();
        for place in 0..self.nodes.len() {
            self.nodes[place].paused = false;
            self.nodes[place].slow = false;
            self.restart(place);
        }
        self.run(200, 6)?;
        let leader = self.find(Who::Leader);
        let ticket = self.propose(leader)?;
        self.run(20, 6)?;
        if self.files_lost || self.places.contains_key(&ticket.0) {
            Ok(())
        } else {
            Err(Violation::NoProgress)
        }
    }
}
