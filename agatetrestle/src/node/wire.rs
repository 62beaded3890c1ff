//! Conversion of [`Message`] and [`Submission`] to and from the RPC schema.

use std::sync::Arc;

use agatetrestle_schema::peer_capnp;
use agatetrestle_schema::peer_capnp::agreement_message;
use agatetrestle_schema::peer_capnp::submission;
use snafu::Snafu;

use crate::agreement::message::Body;
use crate::agreement::message::Entry;
use crate::agreement::message::EntryKind;
use crate::agreement::message::Message;
use crate::agreement::message::Position;
use crate::ids::GroupId;
use crate::ids::NodeId;
use crate::node::service::Submission;

/// Failure to read a message.
#[derive(Debug, Snafu)]
pub enum WireError {
    /// The bytes do not match the schema.
    #[snafu(context(false), display("the message is malformed: {source}"))]
    Malformed {
        /// Error of the RPC library.
        source: capnp::Error,
    },
    /// The message has a kind that a newer build added.
    #[snafu(context(false), display("the message is of an unknown kind: {source}"))]
    UnknownKind {
        /// The value that is not in the schema of this build.
        source: capnp::NotInSchema,
    },
}

fn write_position(mut builder: peer_capnp::position::Builder<'_>, position: Position) {
    builder.set_term(position.term);
    builder.set_index(position.index);
}

fn read_position(reader: peer_capnp::position::Reader<'_>) -> Position {
    Position { term: reader.get_term(), index: reader.get_index() }
}

fn write_entry(mut builder: peer_capnp::entry::Builder<'_>, entry: &Entry) {
    write_position(builder.reborrow().init_position(), entry.position);
    builder.set_kind(match entry.kind {
        EntryKind::Command => peer_capnp::entry::Kind::Command,
        EntryKind::NoOperation => peer_capnp::entry::Kind::NoOperation,
        EntryKind::Replicas => peer_capnp::entry::Kind::Replicas,
    });
    builder.set_payload(&entry.payload);
}

fn read_entry(reader: peer_capnp::entry::Reader<'_>) -> Result<Entry, WireError> {
    let kind = match reader.get_kind()? {
        peer_capnp::entry::Kind::Command => EntryKind::Command,
        peer_capnp::entry::Kind::NoOperation => EntryKind::NoOperation,
        peer_capnp::entry::Kind::Replicas => EntryKind::Replicas,
    };
    let position = read_position(reader.get_position()?);
    Ok(Entry { position, kind, payload: Arc::from(reader.get_payload()?) })
}

/// Writes a message into a builder.
///
/// # Panics
///
/// Panics if a message holds more than 2^32 entries, which the batch size limit rules out.
pub fn write_message(mut builder: agreement_message::Builder<'_>, message: &Message) {
    builder.set_group(message.group.0);
    builder.set_from(message.from.0);
    builder.set_to(message.to.0);
    builder.set_term(message.term);
    let mut body = builder.init_body();
    match &message.body {
        Body::PreVote { last } => write_position(body.init_pre_vote(), *last),
        Body::PreVoteReply { granted } => body.set_pre_vote_reply(*granted),
        Body::Vote { last, transfer } => {
            let mut vote = body.init_vote();
            vote.set_transfer(*transfer);
            write_position(vote.init_last(), *last);
        }
        Body::VoteReply { granted } => body.set_vote_reply(*granted),
        Body::Append { previous, commit, round, entries, learner } => {
            let mut append = body.init_append();
            append.set_commit(*commit);
            append.set_round(*round);
            append.set_learner(*learner);
            write_position(append.reborrow().init_previous(), *previous);
            let count = u32::try_from(entries.len()).expect("a batch holds far fewer entries");
            let mut list = append.init_entries(count);
            for (index, entry) in (0..count).zip(entries) {
                write_entry(list.reborrow().get(index), entry);
            }
        }
        Body::AppendReply { accepted, matched, round } => {
            let mut reply = body.init_append_reply();
            reply.set_accepted(*accepted);
            reply.set_matched(*matched);
            reply.set_round(*round);
        }
        Body::Snapshot { position, offset, chunk, last, round, learner } => {
            let mut snapshot = body.init_snapshot();
            snapshot.set_offset(*offset);
            snapshot.set_chunk(chunk);
            snapshot.set_last(*last);
            snapshot.set_round(*round);
            snapshot.set_learner(*learner);
            write_position(snapshot.init_position(), *position);
        }
        Body::SnapshotReply { position, received, round } => {
            let mut reply = body.init_snapshot_reply();
            reply.set_received(*received);
            reply.set_round(*round);
            write_position(reply.init_position(), *position);
        }
        Body::TimeoutNow => body.set_take_over(()),
    }
}

/// Reads a message from its wire format.
///
/// # Errors
///
/// Fails if the message is malformed or has a kind unknown to this build.
pub fn read_message(reader: agreement_message::Reader<'_>) -> Result<Message, WireError> {
    use agreement_message::body::Which;

    let body = match reader.get_body().which()? {
        Which::PreVote(last) => Body::PreVote { last: read_position(last?) },
        Which::PreVoteReply(granted) => Body::PreVoteReply { granted },
        Which::Vote(vote) => {
            Body::Vote { last: read_position(vote.get_last()?), transfer: vote.get_transfer() }
        }
        Which::VoteReply(granted) => Body::VoteReply { granted },
        Which::Append(append) => Body::Append {
            previous: read_position(append.get_previous()?),
            commit: append.get_commit(),
            round: append.get_round(),
            learner: append.get_learner(),
            entries: append.get_entries()?.iter().map(read_entry).collect::<Result<_, _>>()?,
        },
        Which::AppendReply(reply) => Body::AppendReply {
            accepted: reply.get_accepted(),
            matched: reply.get_matched(),
            round: reply.get_round(),
        },
        Which::Snapshot(snapshot) => Body::Snapshot {
            position: read_position(snapshot.get_position()?),
            offset: snapshot.get_offset(),
            chunk: Arc::from(snapshot.get_chunk()?),
            last: snapshot.get_last(),
            round: snapshot.get_round(),
            learner: snapshot.get_learner(),
        },
        Which::SnapshotReply(reply) => Body::SnapshotReply {
            position: read_position(reply.get_position()?),
            received: reply.get_received(),
            round: reply.get_round(),
        },
        Which::TakeOver(()) => Body::TimeoutNow,
    };
    Ok(Message {
        group: GroupId(reader.get_group()),
        from: NodeId(reader.get_from()),
        to: NodeId(reader.get_to()),
        term: reader.get_term(),
        body,
    })
}

pub(crate) fn read_submission(reader: submission::Reader<'_>) -> Result<Submission, capnp::Error> {
    Ok(match reader.which()? {
        submission::Applied(reply) => Submission::Applied(reply?.to_vec()),
        submission::NotLeader(leader) => Submission::NotLeader((leader != 0).then_some(NodeId(leader))),
        submission::Refused(text) => Submission::Refused(text?.to_str()?.into()),
        submission::Unknown(text) => Submission::Unknown(text?.to_str()?.into()),
    })
}

pub(crate) fn write_submission(mut builder: submission::Builder<'_>, submission: &Submission) {
    match submission {
        Submission::Applied(reply) => builder.set_applied(reply),
        Submission::NotLeader(leader) => builder.set_not_leader(leader.map_or(0, |node| node.0)),
        Submission::Refused(text) | Submission::Unreachable(text) => builder.set_refused(&**text),
        Submission::Unknown(text) => builder.set_unknown(&**text),
    }
}

#[cfg(test)]
mod tests;
