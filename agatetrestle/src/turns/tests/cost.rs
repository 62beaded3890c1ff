//! Tests of the work that the leader of a state group spends on a turn. They guard against
//! docs/incidents/008-a-leader-that-its-callers-keep-overloaded.md.

use std::sync::Arc;
use std::time::Duration;

use crate::agreement::StateMachine;
use crate::agreement::message::Position;
use crate::cluster::service::with_server;
use crate::codec::Blob;
use crate::codec::codec_counts;
use crate::codec::decode;
use crate::codec::encode;
use crate::ids::NodeId;
use crate::node::service::Submission;
use crate::turns::command::AdmissionParams;
use crate::turns::command::Begin;
use crate::turns::command::Candidate;
use crate::turns::command::Finish;
use crate::turns::command::RetainedTurn;
use crate::turns::command::Take;
use crate::turns::command::TimedCommand;
use crate::turns::command::TransferredTurn;
use crate::turns::command::TurnCommand;
use crate::turns::command::TurnReply;
use crate::turns::state::TurnState;

const TEXT_BYTES: usize = 1_200;
/// Bytes of a server's index with its name.
const MAX_SERVER_BYTES: usize = 16;

/// Guards against a leader that decodes and encodes the texts of a chain again to add the server to the reply.
#[test]
fn server_is_added_to_a_reply_without_decoding_its_texts() {
    for turns in [4, 0, 1, 300] {
        let chain = vec![Blob::from(&[b't'; TEXT_BYTES][..]); turns];
        let reply = Submission::Applied(encode(&TurnReply::Begun { chain: chain.clone(), server: None }));
        for server in [0, 7, 300, u32::MAX] {
            let before = codec_counts();
            let with = with_server(reply.clone(), Some(server));
            let after = codec_counts();
            let expected = TurnReply::Begun { chain: chain.clone(), server: Some(server) };
            assert_eq!(with, Submission::Applied(encode(&expected)), "{turns} turns and server {server}");
            let encoded_bytes = after.encoded_bytes - before.encoded_bytes;
            assert_eq!(after.decoded_bytes - before.decoded_bytes, 0, "bytes were decoded");
            assert!(encoded_bytes <= MAX_SERVER_BYTES, "{encoded_bytes} bytes were encoded");
        }
        assert_eq!(with_server(reply.clone(), None), reply);
    }
    for reply in [TurnReply::Spent, TurnReply::NoSuchTurn, TurnReply::Crowded(5)] {
        let reply = Submission::Applied(encode(&reply));
        assert_eq!(with_server(reply.clone(), Some(1)), reply, "the turn did not begin");
    }
}

fn begin(turn: &str) -> TurnCommand {
    let candidate = Candidate { server: "engine".into(), expected_us: 9, slots: 2 };
    let opening = AdmissionParams {
        service: "service".into(),
        patience: 3_000,
        finish_in: Some(9_000),
        candidates: vec![candidate; 8],
        entry: Some(NodeId(3)),
        cached: true,
        ..AdmissionParams::default()
    };
    TurnCommand::Begin(Begin {
        stream: None,
        program: "p".into(),
        team: "t".into(),
        turn: turn.into(),
        budget: Some(90),
        most: 10,
        previous: None,
        carried: vec![TransferredTurn {
            name: "carried".into(),
            text: Blob::from(&b"text"[..]),
            retention: 60_000,
            team: "t".into(),
        }],
        opening: Some(opening),
    })
}

/// Guards against a leader whose state differs from that of its followers, since it applies what it decoded when it proposed.
#[test]
fn decoded_proposal_is_what_the_followers_decode() {
    let (mut leader, mut follower) = (TurnState::default(), TurnState::default());
    for (index, turn) in (1..).zip(["a", "b", "a"]) {
        let logged = begin(turn).without_candidates().unwrap();
        let elapsed = Duration::from_millis(index);
        let payload: Arc<[u8]> = logged.encode(elapsed).into();
        let timed = TimedCommand { elapsed, command: logged };
        assert_eq!(TimedCommand::decode(&payload), Some(timed.clone()));
        let position = Position { term: 1, index };
        leader.expect_proposal(position, timed);
        let before = codec_counts().decoded_bytes;
        let reply = leader.apply(position, &payload);
        assert_eq!(codec_counts().decoded_bytes, before, "it is decoded already");
        assert_eq!(reply, follower.apply(position, &payload));
        assert_eq!(leader, follower);
    }
}

/// Guards against applying a proposal that was replaced by one of another leader.
#[test]
fn replaced_proposal_is_not_applied() {
    let (mut replica, mut other) = (TurnState::default(), TurnState::default());
    for (index, turn) in [(1, "a"), (2, "b"), (3, "c")] {
        let timed = TimedCommand { elapsed: Duration::ZERO, command: begin(turn) };
        replica.expect_proposal(Position { term: 1, index }, timed);
    }
    let mut apply = |position: Position, turn: &str| {
        let payload = begin(turn).encode(Duration::ZERO).into();
        assert_eq!(replica.apply(position, &payload), other.apply(position, &payload));
        assert_eq!(replica, other);
    };
    apply(Position { term: 1, index: 1 }, "a");
    apply(Position { term: 2, index: 2 }, "x");
    apply(Position { term: 2, index: 3 }, "y");
    let timed = TimedCommand { elapsed: Duration::ZERO, command: begin("d") };
    replica.expect_proposal(Position { term: 3, index: 5 }, timed);
    assert_eq!(replica, other, "it is no part of the state");
    assert_eq!(decode::<TurnState>(&replica.snapshot()).unwrap(), other, "nor of a snapshot");
}

/// Guards against buffers that grow while a command or a reply is encoded, which copies what they hold and fragments the heap.
#[test]
fn buffers_of_commands_and_replies_do_not_grow() {
    let text = Blob::from(&[b't'; TEXT_BYTES][..]);
    let turn = TransferredTurn { name: "a".into(), text: text.clone(), retention: 60_000, team: "t".into() };
    let kept = Some(RetainedTurn { previous: None, text: text.clone(), retention: 60_000 });
    let commands = [
        begin("a"),
        begin("a").without_candidates().unwrap(),
        TurnCommand::Finish(Finish { kept, ..Finish::default() }),
        TurnCommand::Take(Take::default()),
    ];
    let mut replies = vec![TurnReply::Settled, TurnReply::Taken, TurnReply::Chain(vec![turn; 40])];
    for turns in [0, 1, 4, 300] {
        replies.push(TurnReply::Begun { chain: vec![text.clone(); turns], server: None });
    }
    let before = codec_counts().grown_buffers;
    for command in commands {
        let payload = command.encode(Duration::ZERO).into();
        assert_eq!(TimedCommand::decode(&payload).unwrap().command, command);
    }
    for reply in replies {
        let mut encoded = reply.encode();
        assert_eq!(decode::<TurnReply>(&encoded).unwrap(), reply);
        TurnReply::add_server(&mut encoded, u32::MAX);
    }
    assert_eq!(codec_counts().grown_buffers - before, 0, "buffers grew");
}
