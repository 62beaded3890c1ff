//! Round-trip tests of the wire format.

use std::sync::Arc;

use agatetrestle_schema::peer_capnp::agreement_message;

use crate::agreement::message::Body;
use crate::agreement::message::Entry;
use crate::agreement::message::EntryKind;
use crate::agreement::message::Message;
use crate::agreement::message::Position;
use crate::ids::GroupId;
use crate::ids::NodeId;
use crate::node::wire::read_message;
use crate::node::wire::write_message;

const POSITION: Position = Position { term: 3, index: 9 };

fn bodies() -> Vec<Body> {
    let entry = |kind, payload: &[u8]| Entry { position: POSITION, kind, payload: Arc::from(payload) };
    vec![
        Body::PreVote { last: POSITION },
        Body::PreVoteReply { granted: true },
        Body::Vote { last: POSITION, transfer: true },
        Body::VoteReply { granted: false },
        Body::Append {
            previous: POSITION,
            commit: 8,
            round: 77,
            learner: true,
            entries: vec![
                entry(EntryKind::Command, b"x"),
                entry(EntryKind::NoOperation, b""),
                entry(EntryKind::Replicas, b"set"),
            ],
        },
        Body::AppendReply { accepted: true, matched: 9, round: 77 },
        Body::Snapshot {
            position: POSITION,
            offset: 5,
            chunk: Arc::from(&b"abc"[..]),
            last: true,
            round: 6,
            learner: true,
        },
        Body::SnapshotReply { position: POSITION, received: 8, round: 6 },
        Body::TimeoutNow,
    ]
}

#[test]
fn round_trips_every_message() {
    for body in bodies() {
        let message = Message { group: GroupId(1), from: NodeId(2), to: NodeId(3), term: 4, body };
        let mut builder = capnp::message::Builder::new_default();
        write_message(builder.init_root::<agreement_message::Builder<'_>>(), &message);
        let read = read_message(builder.get_root_as_reader().unwrap()).unwrap();
        assert_eq!(read, message);
    }
}
