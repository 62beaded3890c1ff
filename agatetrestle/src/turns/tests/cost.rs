//! Tests of the work that the leader of a state group spends on a turn. They guard against
//! docs/incidents/008-a-leader-that-its-callers-keep-overloaded.md.

use crate::cluster::service::with_server;
use crate::codec::Blob;
use crate::codec::codec_counts;
use crate::codec::encode;
use crate::node::service::Submission;
use crate::turns::command::TurnReply;

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
