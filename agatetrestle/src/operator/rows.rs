//! Writes the rows of listings into Cap'n Proto messages.

use agatetrestle_schema::operator_capnp::backend_status;
use agatetrestle_schema::operator_capnp::group_status;
use agatetrestle_schema::operator_capnp::node_status;
use agatetrestle_schema::operator_capnp::program_status;

use crate::ports::BackendView;
use crate::ports::GroupView;
use crate::ports::MemberView;
use crate::programs::command::CallState;
use crate::programs::command::ProgramView;

pub(super) const MAX_ROWS: u32 = 10_000;

/// Number of rows to write; those beyond [`MAX_ROWS`] are left out.
pub(super) fn row_count(count: usize) -> u32 {
    u32::try_from(count).unwrap_or(u32::MAX).min(MAX_ROWS)
}

pub(super) fn write_member(mut row: node_status::Builder<'_>, member: &MemberView) {
    row.set_node(member.node.0);
    row.set_vm(&*member.vm);
    row.set_failure_domain(&*member.failure_domain);
    row.set_region(&*member.region);
    row.set_state(&*member.state);
    row.set_revision(member.revision);
    row.set_caller_address(&*member.caller_address);
}

pub(super) fn write_group(mut row: group_status::Builder<'_>, group: &GroupView) {
    row.set_group(group.group.0);
    row.set_leader(group.leader.map_or(0, |node| node.0));
    row.set_term(group.term);
    row.set_commit(group.commit);
    let mut replicas = row.init_replicas(row_count(group.replicas.len()));
    for (i, replica) in (0..replicas.len()).zip(&group.replicas) {
        replicas.set(i, replica.0);
    }
}

pub(super) fn write_program(mut row: program_status::Builder<'_>, view: &ProgramView) {
    row.set_program(view.program.to_string().as_str());
    row.set_partner(&*view.program.partner);
    row.set_team(&*view.spec.team);
    row.set_class(&*view.spec.class);
    row.set_calls(view.next_call.0.saturating_sub(1));
    row.set_state(program_state(view));
    row.set_spent(view.spent);
    row.set_budget(view.spec.budget);
}

fn program_state(view: &ProgramView) -> &'static str {
    match view.last {
        _ if view.ended => "ended",
        Some((_, CallState::Unknown, ..)) => "unknown",
        Some((_, CallState::Open, ..)) => "calling",
        Some((_, CallState::Finished, ..)) | None => "idle",
    }
}

pub(super) fn write_backend(mut row: backend_status::Builder<'_>, backend: &BackendView) {
    row.set_name(&*backend.name);
    row.set_kind(&*backend.kind);
    row.set_address(&*backend.address);
    row.set_state(&*backend.state);
    row.set_running(backend.running);
    row.set_waiting(backend.waiting);
}
