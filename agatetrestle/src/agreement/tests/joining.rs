//! Tests that a replica that lost its files takes no part until it is admitted as a learner.

use std::time::Duration;

use crate::agreement::Input;
use crate::agreement::Output;
use crate::agreement::message::Body;
use crate::agreement::message::Message;
use crate::agreement::message::Position;
use crate::agreement::replica::Replica;
use crate::agreement::replica::ReplicaConfig;
use crate::clock::Timestamp;
use crate::ids::GroupId;
use crate::ids::NodeId;

const NOW: Timestamp = Timestamp(1_000_000);

fn joining_replica() -> Replica {
    let cfg = ReplicaConfig {
        group: GroupId(1),
        node: NodeId(3),
        leader_interval: Duration::from_millis(20),
        election_timeout: Duration::from_millis(100),
        clock_drift: Duration::from_millis(5),
        seed: 7,
        max_in_flight: 4,
        max_commit_wait: Duration::from_secs(1),
        max_batch_bytes: 64,
    };
    Replica::joining(cfg, Timestamp(0))
}

fn from_leader(body: Body) -> Input {
    Input::Receive(Message { group: GroupId(1), from: NodeId(1), to: NodeId(3), term: 5, body })
}

fn append(learner: bool) -> Body {
    Body::Append { previous: Position::default(), commit: 0, round: 1, entries: Vec::new(), learner }
}

#[test]
fn replica_without_files_neither_votes_nor_acknowledges() {
    let mut replica = joining_replica();
    let last = Position { term: 4, index: 9 };
    let bodies =
        [Body::PreVote { last }, Body::Vote { last, transfer: true }, append(false), Body::TimeoutNow];
    for body in bodies {
        assert!(replica.step(NOW, from_leader(body)).is_empty());
    }
    assert_eq!(replica.term(), 0, "the term is not adopted either");
    assert!(replica.is_joining());
}

#[test]
fn replica_without_files_joins_as_learner() {
    let mut replica = joining_replica();
    let outputs = replica.step(NOW, from_leader(append(true)));
    assert!(!replica.is_joining());
    let write = outputs.iter().find_map(|output| match output {
        Output::Write(write) => Some(write.sequence),
        _ => None,
    });
    let replies = replica.step(NOW, Input::Written(write.expect("the term is written")));
    assert!(replies.iter().any(|output| matches!(output, Output::Send(_))));
}
