//! The replicated log: encoded bytes and leader time of a commit by the size of its command.

use std::sync::Arc;
use std::time::Duration;

use agatetrestle::agreement::Input;
use agatetrestle::agreement::Output;
use agatetrestle::agreement::Replicas;
use agatetrestle::agreement::Ticket;
use agatetrestle::agreement::message::Body;
use agatetrestle::agreement::message::Entry;
use agatetrestle::agreement::message::EntryKind;
use agatetrestle::agreement::message::Message;
use agatetrestle::agreement::message::Position;
use agatetrestle::agreement::replica::PersistentState;
use agatetrestle::agreement::replica::Replica;
use agatetrestle::agreement::replica::ReplicaConfig;
use agatetrestle::clock::Timestamp;
use agatetrestle::ids::GroupId;
use agatetrestle::ids::NodeId;
use agatetrestle::node::wire::write_message;
use agatetrestle_schema::peer_capnp::agreement_message;

use crate::fit::ScalingFit;
use crate::fit::Unit;
use crate::fit::measure_nanoseconds;

const COMMAND_BYTES: [usize; 4] = [256, 1_024, 4_096, 16_384];
/// Bytes of a `Begin` or `Finish` with an average request or answer.
const TARGET_COMMAND_BYTES: f64 = 1_000.0;
const TIMED_COMMITS: u32 = 5_000;

/// A leader whose two simulated followers accept every message immediately.
struct SimulatedLeader {
    replica: Replica,
    now: Timestamp,
}

impl SimulatedLeader {
    fn new() -> Self {
        let cfg = ReplicaConfig {
            group: GroupId(1),
            node: NodeId(1),
            leader_interval: Duration::from_millis(100),
            election_timeout: Duration::from_millis(350),
            clock_drift: Duration::from_millis(30),
            seed: 7,
            max_in_flight: 4_096,
            max_commit_wait: Duration::from_secs(10),
            max_batch_bytes: 1 << 20,
        };
        let voters = Replicas { voters: (1..=3).map(NodeId).collect(), ..Replicas::default() };
        let mut leader = Self {
            replica: Replica::new(cfg, voters, PersistentState::default(), Timestamp(0)),
            now: Timestamp(0),
        };
        while !leader.replica.is_leader() {
            leader.now = leader.now + Duration::from_millis(10);
            leader.step(Input::Tick);
        }
        leader
    }

    /// Processes an input and all inputs that follow from it, and returns the number of commands applied.
    fn step(&mut self, input: Input) -> usize {
        let mut inputs = vec![input];
        let mut applied = 0;
        while let Some(input) = inputs.pop() {
            for output in self.replica.step(self.now, input) {
                match output {
                    Output::Write(write) => inputs.push(Input::Written(write.sequence)),
                    Output::Send(message) => inputs.extend(follower_reply(&message).map(Input::Receive)),
                    Output::Apply { .. } => applied += 1,
                    _ => {}
                }
            }
        }
        applied
    }
}

fn follower_reply(message: &Message) -> Option<Message> {
    let body = match &message.body {
        Body::PreVote { .. } => Body::PreVoteReply { granted: true },
        Body::Vote { .. } => Body::VoteReply { granted: true },
        Body::Append { previous, round, entries, .. } => {
            let matched = previous.index + entries.len() as u64;
            Body::AppendReply { accepted: true, matched, round: *round }
        }
        _ => return None,
    };
    Some(Message { group: message.group, from: message.to, to: message.from, term: message.term, body })
}

fn encoded_bytes(size: usize) -> f64 {
    let position = Position { term: 1, index: 1 };
    let entry = Entry { position, kind: EntryKind::Command, payload: vec![0; size].into() };
    let body = Body::Append {
        previous: Position::default(),
        commit: 0,
        round: 1,
        entries: vec![entry],
        learner: false,
    };
    let message = Message { group: GroupId(1), from: NodeId(1), to: NodeId(2), term: 1, body };
    let mut builder = capnp::message::Builder::new_default();
    write_message(builder.init_root::<agreement_message::Builder<'_>>(), &message);
    capnp::serialize::compute_serialized_size_in_words(&builder) as f64 * 8.0
}

/// Bytes sent to one follower and time of the leader, by the bytes of the command.
pub fn measure() -> Vec<ScalingFit> {
    let bytes = COMMAND_BYTES.iter().map(|size| (*size as f64, encoded_bytes(*size))).collect();
    let time = |size: &usize| {
        let mut leader = SimulatedLeader::new();
        let payload: Arc<[u8]> = vec![0; *size].into();
        let time = measure_nanoseconds(3, TIMED_COMMITS, |index| {
            let applied =
                leader.step(Input::Propose { ticket: Ticket(u64::from(index)), payload: payload.clone() });
            assert_eq!(applied, 1);
        });
        (*size as f64, time)
    };
    let fit = |quantity, unit, samples| ScalingFit {
        quantity,
        unit,
        per: "byte of command",
        samples,
        extrapolated_to: TARGET_COMMAND_BYTES,
    };
    vec![
        fit("state replica: bytes to a follower for one commit", Unit::Bytes, bytes),
        fit(
            "state replica: leader's own time for one commit",
            Unit::Nanoseconds,
            COMMAND_BYTES.iter().map(time).collect(),
        ),
    ]
}
