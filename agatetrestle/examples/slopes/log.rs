//! The replicated log: coded bytes and leader's time of a commit by the size of its command.

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

use crate::fit::Line;
use crate::fit::Unit;
use crate::fit::nanoseconds;

const SIZES: [usize; 4] = [256, 1_024, 4_096, 16_384];
/// Bytes of a begin or finish with a request or answer of the expected length.
const EXPECTED: f64 = 1_000.0;
const COMMITS: u32 = 5_000;

/// A leader that answers itself for two followers which acknowledge everything at once.
struct Leader {
    replica: Replica,
    now: Timestamp,
}

impl Leader {
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
            leader.feed(Input::Tick);
        }
        leader
    }

    /// Carries out an input and all that follows from it; returns the commands applied.
    fn feed(&mut self, input: Input) -> usize {
        let mut inputs = vec![input];
        let mut applied = 0;
        while let Some(input) = inputs.pop() {
            for output in self.replica.step(self.now, input) {
                match output {
                    Output::Write(write) => inputs.push(Input::Written(write.sequence)),
                    Output::Send(message) => inputs.extend(answer(&message).map(Input::Receive)),
                    Output::Apply { .. } => applied += 1,
                    _ => {}
                }
            }
        }
        applied
    }
}

fn answer(message: &Message) -> Option<Message> {
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

fn coded(size: usize) -> f64 {
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

/// Bytes to one follower and the leader's time, by the bytes of the command.
pub fn measure() -> Vec<Line> {
    let bytes = SIZES.iter().map(|size| (*size as f64, coded(*size))).collect();
    let time = |size: &usize| {
        let mut leader = Leader::new();
        let payload: Arc<[u8]> = vec![0; *size].into();
        let time = nanoseconds(3, COMMITS, |index| {
            let applied =
                leader.feed(Input::Propose { ticket: Ticket(u64::from(index)), payload: payload.clone() });
            assert_eq!(applied, 1);
        });
        (*size as f64, time)
    };
    let of = |what, unit, samples| Line { what, unit, per: "byte of command", samples, carried_to: EXPECTED };
    vec![
        of("state replica: bytes to a follower for one commit", Unit::Bytes, bytes),
        of(
            "state replica: leader's own time for one commit",
            Unit::Nanoseconds,
            SIZES.iter().map(time).collect(),
        ),
    ]
}
