//! Tests of single cases on a reliable network.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use crate::agreement::Input;
use crate::agreement::Output;
use crate::agreement::Rejection;
use crate::agreement::ReplicaChange;
use crate::agreement::Replicas;
use crate::agreement::Ticket;
use crate::agreement::message::Body;
use crate::agreement::message::Message;
use crate::agreement::message::Position;
use crate::agreement::replica::PersistentState;
use crate::agreement::replica::Replica;
use crate::agreement::replica::ReplicaConfig;
use crate::clock::Timestamp;
use crate::ids::GroupId;
use crate::ids::NodeId;

const TICK_INTERVAL: Duration = Duration::from_millis(5);
const ELECTION_TIMEOUT: Duration = Duration::from_millis(100);
const MAX_COMMIT_WAIT: Duration = Duration::from_millis(50);

/// Replicas whose messages are delivered and whose writes are synced at once.
struct Network {
    now: Timestamp,
    replicas: BTreeMap<NodeId, Replica>,
    outputs: Vec<(NodeId, Output)>,
    next_ticket: u64,
    /// Loses all messages to this node once it has received a chunk of a snapshot.
    lost_after_chunk: Option<NodeId>,
}

impl Network {
    fn new(voters: u64, spares: u64) -> Self {
        let initial = Replicas { voters: (1..=voters).map(NodeId).collect(), learners: BTreeSet::new() };
        let start = |id| {
            let cfg = ReplicaConfig {
                group: GroupId(1),
                node: NodeId(id),
                leader_interval: Duration::from_millis(20),
                election_timeout: ELECTION_TIMEOUT,
                clock_drift: Duration::from_millis(5),
                seed: 7,
                max_in_flight: 4,
                max_commit_wait: MAX_COMMIT_WAIT,
                max_batch_bytes: 8,
            };
            (
                NodeId(id),
                Replica::new(cfg, initial.clone(), PersistentState::default(), Timestamp(0)).with_fault(None),
            )
        };
        let replicas = (1..=voters + spares).map(start).collect();
        Self { now: Timestamp(0), replicas, outputs: Vec::new(), next_ticket: 0, lost_after_chunk: None }
    }

    fn input(&mut self, node: NodeId, input: Input) {
        let mut inputs = std::collections::VecDeque::from([(node, input)]);
        while let Some((node, input)) = inputs.pop_front() {
            for output in self.replicas.get_mut(&node).unwrap().step(self.now, input) {
                match &output {
                    Output::Send(message) if self.is_reachable(message.to) => {
                        inputs.push_back((message.to, Input::Receive(message.clone())));
                    }
                    Output::Write(write) => inputs.push_back((node, Input::Written(write.sequence))),
                    Output::EncodeSnapshot => {
                        let position = self.last_applied(node);
                        let data = vec![9; 100].into();
                        inputs.push_back((node, Input::SnapshotEncoded { position, data }));
                    }
                    _ => {}
                }
                self.outputs.push((node, output));
            }
        }
    }

    fn is_reachable(&self, node: NodeId) -> bool {
        let is_chunk = |output: &Output| matches!(output, Output::Send(Message { to, body: Body::Snapshot { .. }, .. }) if *to == node);
        let lost =
            self.lost_after_chunk == Some(node) && self.outputs.iter().any(|(_, output)| is_chunk(output));
        self.replicas.contains_key(&node) && !lost
    }

    fn encodings(&self) -> usize {
        self.outputs.iter().filter(|(_, output)| matches!(output, Output::EncodeSnapshot)).count()
    }

    /// Adds a learner to the group whose leader has compacted its log.
    fn add_learner_after_compaction(&mut self, learner: NodeId) {
        let leader = self.leader();
        (0..2_000).for_each(|_| {
            self.propose(leader);
        });
        let position = self.replicas[&leader].last_position();
        self.input(leader, Input::SnapshotTaken { position });
        self.change_replicas(ReplicaChange::AddLearner(learner));
    }

    fn last_applied(&self, node: NodeId) -> Position {
        let applied = self.outputs.iter().rev().find_map(|(at, output)| match output {
            Output::Apply { position, .. } if *at == node => Some(*position),
            _ => None,
        });
        applied.unwrap_or_default()
    }

    fn run(&mut self, span: Duration) {
        let end = self.now + span;
        while self.now < end {
            self.now = self.now + TICK_INTERVAL;
            let nodes: Vec<NodeId> = self.replicas.keys().copied().collect();
            for node in nodes {
                self.input(node, Input::Tick);
            }
        }
    }

    fn leader(&self) -> NodeId {
        let mut leaders = self.replicas.iter().filter(|(_, replica)| replica.is_leader());
        *leaders.next().expect("a leader").0
    }

    fn new_ticket(&mut self) -> Ticket {
        self.next_ticket += 1;
        Ticket(self.next_ticket)
    }

    fn propose(&mut self, node: NodeId) -> Ticket {
        let ticket = self.new_ticket();
        let payload = Arc::from(ticket.0.to_le_bytes());
        self.input(node, Input::Propose { ticket, payload });
        ticket
    }

    fn change_replicas(&mut self, change: ReplicaChange) -> Ticket {
        let (leader, ticket) = (self.leader(), self.new_ticket());
        self.input(leader, Input::ChangeReplicas { ticket, change });
        ticket
    }

    fn rejection(&self, expected: Ticket) -> Option<Rejection> {
        self.outputs.iter().find_map(|(_, output)| match output {
            Output::Reject { ticket, reason } if *ticket == expected => Some(*reason),
            _ => None,
        })
    }

    fn applied(&self, node: NodeId) -> Vec<u64> {
        let payload = |(by, output): &(NodeId, Output)| match output {
            Output::Apply { payload, .. } if *by == node => {
                Some(u64::from_le_bytes(payload[..].try_into().unwrap()))
            }
            _ => None,
        };
        self.outputs.iter().filter_map(payload).collect()
    }

    fn was_read(&self, expected: Ticket) -> bool {
        self.outputs
            .iter()
            .any(|(_, output)| matches!(output, Output::ReadReady(ticket) if *ticket == expected))
    }
}

#[test]
fn single_voter_commits_after_its_own_write() {
    let mut network = Network::new(1, 0);
    network.run(ELECTION_TIMEOUT * 3);
    let node = network.leader();
    network.propose(node);
    assert_eq!(network.applied(node), [1]);
    let ticket = network.new_ticket();
    network.input(node, Input::Read(ticket));
    assert!(network.was_read(ticket));
}

#[test]
fn three_voters_elect_and_apply_in_order() {
    let mut network = Network::new(3, 0);
    network.run(ELECTION_TIMEOUT * 3);
    let leader = network.leader();
    (0..10).for_each(|_| {
        network.propose(leader);
    });
    network.run(ELECTION_TIMEOUT);
    let expected: Vec<u64> = (1..=10).collect();
    for node in 1..=3 {
        assert_eq!(network.applied(NodeId(node)), expected);
    }
    assert_eq!(network.leader(), leader, "a healthy leader stays");
}

#[test]
fn leader_without_quorum_rejects_then_steps_down() {
    let mut network = Network::new(3, 0);
    network.run(ELECTION_TIMEOUT * 3);
    let leader = network.leader();
    network.replicas.retain(|node, _| *node == leader);
    let tickets: Vec<Ticket> = (0..5).map(|_| network.propose(leader)).collect();
    assert_eq!(network.rejection(tickets[4]), Some(Rejection::Busy));
    network.run(ELECTION_TIMEOUT * 2);
    let unknown: Vec<Ticket> = network
        .outputs
        .iter()
        .filter_map(|(_, output)| match output {
            Output::OutcomeUnknown(ticket) => Some(*ticket),
            _ => None,
        })
        .collect();
    assert_eq!(unknown, tickets[..4]);
    let ticket = network.propose(leader);
    assert_eq!(network.rejection(ticket), Some(Rejection::NotLeader(None)));
}

#[test]
fn leader_rejects_proposals_while_oldest_waits_too_long() {
    let mut network = Network::new(3, 0);
    network.run(ELECTION_TIMEOUT * 3);
    let leader = network.leader();
    let others: Vec<(NodeId, Replica)> = network.replicas.extract_if(.., |node, _| *node != leader).collect();
    let first = network.propose(leader);
    network.run(MAX_COMMIT_WAIT);
    let second = network.propose(leader);
    network.run(TICK_INTERVAL);
    let third = network.propose(leader);
    let busy = [first, second, third].map(|ticket| network.rejection(ticket));
    assert_eq!(busy, [None, None, Some(Rejection::Busy)]);
    network.replicas.extend(others);
    network.run(TICK_INTERVAL * 5);
    let fourth = network.propose(leader);
    assert_eq!(network.rejection(fourth), None, "the pending commands are committed");
    assert_eq!(network.applied(leader), [first, second, fourth].map(|ticket| ticket.0));
}

/// Guards against leaders that step down one after the other, since each is held up by the reports that its election brings.
#[test]
fn held_up_leader_hears_the_answers_that_wait_before_it_steps_down() {
    let mut network = Network::new(3, 0);
    network.run(ELECTION_TIMEOUT * 3);
    let leader = network.leader();
    for _ in 0..3 {
        network.now = network.now + ELECTION_TIMEOUT * 2;
        let outputs = network.replicas.get_mut(&leader).unwrap().step(network.now, Input::Tick);
        assert!(network.replicas[&leader].is_leader(), "the answers to its heartbeats are still unread");
        for output in outputs {
            if let Output::Send(message) = output {
                network.input(message.to, Input::Receive(message));
            }
        }
    }
    network.run(ELECTION_TIMEOUT * 2);
    assert_eq!(network.leader(), leader);
    network.replicas.retain(|node, _| *node == leader);
    network.run(ELECTION_TIMEOUT * 2);
    assert!(!network.replicas[&leader].is_leader(), "nobody answers");
}

/// Guards against followers that campaign after they were held up, although heartbeats wait to be read.
#[test]
fn held_up_follower_reads_the_heartbeats_that_wait_before_it_campaigns() {
    let mut network = Network::new(3, 0);
    network.run(ELECTION_TIMEOUT * 3);
    let (leader, term) = (network.leader(), network.replicas[&network.leader()].term());
    let follower = *network.replicas.keys().find(|node| **node != leader).unwrap();
    network.now = network.now + ELECTION_TIMEOUT * 4;
    let outputs = network.replicas.get_mut(&follower).unwrap().step(network.now, Input::Tick);
    assert!(!outputs.iter().any(|output| matches!(output, Output::Send(_))), "{outputs:?}");
    network.input(leader, Input::Tick);
    network.run(ELECTION_TIMEOUT * 2);
    assert_eq!((network.leader(), network.replicas[&leader].term()), (leader, term));
}

#[test]
fn paused_leader_confirms_leadership_before_read() {
    let mut network = Network::new(3, 0);
    network.run(ELECTION_TIMEOUT * 3);
    let leader = network.leader();
    network.now = network.now + ELECTION_TIMEOUT;
    assert!(!network.replicas[&leader].lease_valid(network.now));
    let ticket = network.new_ticket();
    let outputs = network.replicas.get_mut(&leader).unwrap().step(network.now, Input::Read(ticket));
    assert!(!outputs.iter().any(|output| matches!(output, Output::ReadReady(_))));
    assert!(outputs.iter().any(|output| matches!(output, Output::Send(_))));
}

#[test]
fn learner_catches_up_by_snapshot_and_becomes_voter() {
    let mut network = Network::new(3, 1);
    network.run(ELECTION_TIMEOUT * 3);
    let leader = network.leader();
    (0..2_000).for_each(|_| {
        network.propose(leader);
    });
    let position = network.replicas[&leader].last_position();
    network.input(leader, Input::SnapshotTaken { position });
    network.change_replicas(ReplicaChange::AddLearner(NodeId(4)));
    let early = network.change_replicas(ReplicaChange::Promote(NodeId(9)));
    assert_eq!(network.rejection(early), Some(Rejection::InvalidChange));
    network.run(ELECTION_TIMEOUT);
    let restored = network.outputs.iter().any(|(node, output)| match output {
        Output::Restore(snapshot) => *node == NodeId(4) && snapshot.position == position,
        _ => false,
    });
    assert!(restored);
    let encoded =
        network.outputs.iter().filter(|(_, output)| matches!(output, Output::EncodeSnapshot)).count();
    assert_eq!(encoded, 1, "the state is encoded once, when a peer needs it");
    network.change_replicas(ReplicaChange::Promote(NodeId(4)));
    network.run(ELECTION_TIMEOUT);
    assert!(network.replicas[&NodeId(4)].replicas().voters.contains(&NodeId(4)));
}

#[test]
fn leader_encodes_no_snapshot_for_lost_peer() {
    let mut network = Network::new(3, 0);
    network.run(ELECTION_TIMEOUT * 3);
    network.add_learner_after_compaction(NodeId(4));
    network.run(ELECTION_TIMEOUT * 4);
    // The log moves on, so that entries which the peer has not confirmed are compacted too.
    let leader = network.leader();
    (0..2_000).for_each(|_| {
        network.propose(leader);
    });
    let position = network.replicas[&leader].last_position();
    network.input(leader, Input::SnapshotTaken { position });
    network.run(ELECTION_TIMEOUT * 4);
    assert_eq!(network.encodings(), 0, "a lost peer can't receive a snapshot");
}

#[test]
fn leader_drops_snapshot_of_peer_that_is_lost_while_receiving() {
    let mut network = Network::new(3, 1);
    network.run(ELECTION_TIMEOUT * 3);
    network.lost_after_chunk = Some(NodeId(4));
    network.add_learner_after_compaction(NodeId(4));
    network.run(ELECTION_TIMEOUT);
    assert_eq!(network.encodings(), 1);
    network.run(ELECTION_TIMEOUT * 4);
    let leader = network.leader();
    assert!(!network.replicas[&leader].holds_snapshot(), "the snapshot takes memory without use");
    network.lost_after_chunk = None;
    network.run(ELECTION_TIMEOUT * 2);
    network.change_replicas(ReplicaChange::Promote(NodeId(4)));
    network.run(ELECTION_TIMEOUT);
    assert!(network.replicas[&NodeId(4)].replicas().voters.contains(&NodeId(4)), "it catches up later");
}

#[test]
fn transfer_moves_leadership_at_once() {
    let mut network = Network::new(3, 0);
    network.run(ELECTION_TIMEOUT * 3);
    let leader = network.leader();
    network.input(leader, Input::TransferLeadership);
    assert_ne!(network.leader(), leader);
}

#[test]
fn removed_leader_steps_down() {
    let mut network = Network::new(3, 0);
    network.run(ELECTION_TIMEOUT * 3);
    let leader = network.leader();
    network.change_replicas(ReplicaChange::Remove(leader));
    assert!(!network.replicas[&leader].is_leader());
    network.run(ELECTION_TIMEOUT * 3);
    assert_ne!(network.leader(), leader);
}

#[test]
fn failed_write_stops_replica() {
    let mut network = Network::new(3, 0);
    network.run(ELECTION_TIMEOUT * 3);
    let leader = network.leader();
    network.input(leader, Input::WriteFailed);
    let ticket = network.propose(leader);
    assert_eq!(network.rejection(ticket), Some(Rejection::NotLeader(None)));
    network.run(ELECTION_TIMEOUT * 3);
    assert_ne!(network.leader(), leader);
}

#[test]
fn elects_leader_soon_after_all_restart() {
    // The second of three replicas restarts 60 ms after the first; the third stays down.
    let mut network = Network::new(3, 0);
    let mut second = network.replicas.remove(&NodeId(2)).unwrap();
    network.replicas.remove(&NodeId(3));
    network.run(Duration::from_millis(60));
    assert!(second.step(network.now, Input::Tick).is_empty(), "its election timeout has not elapsed");
    let cfg = ReplicaConfig { node: NodeId(2), ..config_of(&network) };
    let initial = Replicas { voters: (1..=3).map(NodeId).collect(), learners: BTreeSet::new() };
    let restarted = Replica::new(cfg, initial, PersistentState::default(), network.now).with_fault(None);
    network.replicas.insert(NodeId(2), restarted);
    let restarted_at = network.now;
    network.run(ELECTION_TIMEOUT.saturating_sub(TICK_INTERVAL));
    let has_leader = |network: &Network| network.replicas.values().any(Replica::is_leader);
    assert!(!has_leader(&network), "a restarted replica grants no vote while a lease may rely on it");
    while !has_leader(&network) {
        network.run(TICK_INTERVAL);
        assert!(
            network.now.since(restarted_at) <= ELECTION_TIMEOUT * 3 / 2,
            "a failed pre-vote is retried before the next election timeout"
        );
    }
}

fn config_of(network: &Network) -> ReplicaConfig {
    network.replicas[&NodeId(1)].config().clone()
}
