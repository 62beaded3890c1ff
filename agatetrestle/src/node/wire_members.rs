//! Conversion of heartbeats and digests to and from the RPC schema.

use std::sync::Arc;
use std::time::Duration;

use agatetrestle_schema::peer_capnp::digest;
use agatetrestle_schema::peer_capnp::heartbeat;
use agatetrestle_schema::peer_capnp::member;
use agatetrestle_schema::peer_capnp::sign;
use capnp::struct_list;

use crate::ids::NodeId;
use crate::members::message::Digest;
use crate::members::message::DigestPosition;
use crate::members::message::Heartbeat;
use crate::members::message::LeaveNotice;
use crate::members::message::MemberState;
use crate::members::message::NodeRecord;
use crate::node::wire::WireError;

fn read_text(reader: capnp::text::Reader<'_>) -> Result<Arc<str>, WireError> {
    let text = reader.to_str().map_err(capnp::Error::from)?;
    Ok(text.into())
}

fn list_len(length: usize) -> u32 {
    u32::try_from(length).unwrap_or(u32::MAX)
}

fn write_notices(mut list: struct_list::Builder<'_, sign::Owned>, notices: &[LeaveNotice]) {
    for (index, notice) in (0..list.len()).zip(notices) {
        let mut builder = list.reborrow().get(index);
        builder.set_name(&*notice.name);
        builder.set_incarnation(notice.incarnation);
    }
}

fn read_notices(list: struct_list::Reader<'_, sign::Owned>) -> Result<Vec<LeaveNotice>, WireError> {
    let read = |notice: sign::Reader<'_>| -> Result<LeaveNotice, WireError> {
        Ok(LeaveNotice { name: read_text(notice.get_name()?)?, incarnation: notice.get_incarnation() })
    };
    list.iter().map(read).collect()
}

/// Writes a heartbeat into a builder.
pub fn write_heartbeat(mut builder: heartbeat::Builder<'_>, heartbeat: &Heartbeat) {
    builder.set_node(heartbeat.node.0);
    builder.set_vm(&*heartbeat.vm);
    builder.set_failure_domain(&*heartbeat.failure_domain);
    builder.set_region(&*heartbeat.region);
    builder.set_incarnation(heartbeat.incarnation);
    builder.set_caller_address(&*heartbeat.caller_address);
    builder.set_peer_address(&*heartbeat.peer_address);
    builder.set_revision(heartbeat.revision);
    builder.set_stopping(heartbeat.stopping);
    builder.set_digest_epoch(heartbeat.position.epoch);
    builder.set_digest_sequence(heartbeat.position.sequence);
    write_notices(builder.init_leaving(list_len(heartbeat.leaving.len())), &heartbeat.leaving);
}

/// Reads a heartbeat from its wire format.
///
/// # Errors
///
/// Fails if it is malformed.
pub fn read_heartbeat(reader: heartbeat::Reader<'_>) -> Result<Heartbeat, WireError> {
    Ok(Heartbeat {
        node: NodeId(reader.get_node()),
        vm: read_text(reader.get_vm()?)?,
        failure_domain: read_text(reader.get_failure_domain()?)?,
        region: read_text(reader.get_region()?)?,
        incarnation: reader.get_incarnation(),
        caller_address: read_text(reader.get_caller_address()?)?,
        peer_address: read_text(reader.get_peer_address()?)?,
        revision: reader.get_revision(),
        stopping: reader.get_stopping(),
        leaving: read_notices(reader.get_leaving()?)?,
        position: DigestPosition { epoch: reader.get_digest_epoch(), sequence: reader.get_digest_sequence() },
    })
}

fn write_member(mut builder: member::Builder<'_>, member: &NodeRecord) {
    let heartbeat = &member.heartbeat;
    builder.set_node(heartbeat.node.0);
    builder.set_vm(&*heartbeat.vm);
    builder.set_failure_domain(&*heartbeat.failure_domain);
    builder.set_region(&*heartbeat.region);
    builder.set_incarnation(heartbeat.incarnation);
    builder.set_caller_address(&*heartbeat.caller_address);
    builder.set_peer_address(&*heartbeat.peer_address);
    builder.set_revision(heartbeat.revision);
    builder.set_state(match member.state {
        MemberState::Live => member::State::Live,
        MemberState::Stopping => member::State::Stopping,
        MemberState::Silent => member::State::Silent,
        MemberState::Leaving => member::State::Leaving,
    });
}

fn read_member(reader: member::Reader<'_>) -> Result<NodeRecord, WireError> {
    let state = match reader.get_state()? {
        member::State::Live => MemberState::Live,
        member::State::Stopping => MemberState::Stopping,
        member::State::Silent => MemberState::Silent,
        member::State::Leaving => MemberState::Leaving,
    };
    let heartbeat = Heartbeat {
        node: NodeId(reader.get_node()),
        vm: read_text(reader.get_vm()?)?,
        failure_domain: read_text(reader.get_failure_domain()?)?,
        region: read_text(reader.get_region()?)?,
        incarnation: reader.get_incarnation(),
        caller_address: read_text(reader.get_caller_address()?)?,
        peer_address: read_text(reader.get_peer_address()?)?,
        revision: reader.get_revision(),
        stopping: state == MemberState::Stopping,
        leaving: Vec::new(),
        position: DigestPosition::default(),
    };
    Ok(NodeRecord { heartbeat, state })
}

/// Writes a digest into a builder.
pub fn write_digest(mut builder: digest::Builder<'_>, digest: &Digest) {
    builder.set_revision(digest.revision);
    builder.set_lease_millis(u32::try_from(digest.lease.as_millis()).unwrap_or(u32::MAX));
    builder.set_epoch(digest.position.epoch);
    builder.set_sequence(digest.position.sequence);
    builder.set_full(digest.full);
    write_notices(builder.reborrow().init_leaving(list_len(digest.leaving.len())), &digest.leaving);
    let mut members = builder.init_members(list_len(digest.members.len()));
    for (index, member) in (0..members.len()).zip(&digest.members) {
        write_member(members.reborrow().get(index), member);
    }
}

/// Reads a digest from its wire format.
///
/// # Errors
///
/// Fails if it is malformed.
pub fn read_digest(reader: digest::Reader<'_>) -> Result<Digest, WireError> {
    Ok(Digest {
        revision: reader.get_revision(),
        lease: Duration::from_millis(reader.get_lease_millis().into()),
        members: reader.get_members()?.iter().map(read_member).collect::<Result<_, _>>()?,
        leaving: read_notices(reader.get_leaving()?)?,
        full: reader.get_full(),
        position: DigestPosition { epoch: reader.get_epoch(), sequence: reader.get_sequence() },
    })
}
