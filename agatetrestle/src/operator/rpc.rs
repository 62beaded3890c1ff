//! The RPC methods. Each reads its parameters, calls the server's ports and writes a typed result.

use std::rc::Rc;
use std::sync::Arc;

use agatetrestle_schema::operator_capnp::ReplicaChange as RequestedChange;
use agatetrestle_schema::operator_capnp::apply_result;
use agatetrestle_schema::operator_capnp::operator::ApplyParams;
use agatetrestle_schema::operator_capnp::operator::ApplyResults;
use agatetrestle_schema::operator_capnp::operator::BackendsParams;
use agatetrestle_schema::operator_capnp::operator::BackendsResults;
use agatetrestle_schema::operator_capnp::operator::ConfigParams;
use agatetrestle_schema::operator_capnp::operator::ConfigResults;
use agatetrestle_schema::operator_capnp::operator::DrainParams;
use agatetrestle_schema::operator_capnp::operator::DrainResults;
use agatetrestle_schema::operator_capnp::operator::PlanParams;
use agatetrestle_schema::operator_capnp::operator::PlanResults;
use agatetrestle_schema::operator_capnp::operator::ProgramsParams;
use agatetrestle_schema::operator_capnp::operator::ProgramsResults;
use agatetrestle_schema::operator_capnp::operator::ReplicasParams;
use agatetrestle_schema::operator_capnp::operator::ReplicasResults;
use agatetrestle_schema::operator_capnp::operator::ResolveParams;
use agatetrestle_schema::operator_capnp::operator::ResolveResults;
use agatetrestle_schema::operator_capnp::operator::Server;
use agatetrestle_schema::operator_capnp::operator::StatusParams;
use agatetrestle_schema::operator_capnp::operator::StatusResults;
use agatetrestle_schema::operator_capnp::operator::TraceParams;
use agatetrestle_schema::operator_capnp::operator::TraceResults;
use capnp::Error;

use crate::agreement::ReplicaChange;
use crate::control::command::ControlCommand;
use crate::control::command::ControlReply;
use crate::ids::GroupId;
use crate::ids::NodeId;
use crate::operator::OperatorServer;
use crate::operator::calls::CallTracker;
use crate::operator::diff::line_diff;
use crate::operator::error::CallError;
use crate::operator::rows;
use crate::operator::rows::row_count;
use crate::ports::GroupError;

/// One operator's connection.
pub(super) struct OperatorConnection {
    server: Rc<OperatorServer>,
    calls: Rc<CallTracker>,
}

impl OperatorConnection {
    pub(super) fn new(server: Rc<OperatorServer>, calls: Rc<CallTracker>) -> Self {
        Self { server, calls }
    }
}

fn read_text(reader: capnp::text::Reader<'_>) -> Result<Arc<str>, Error> {
    Ok(reader.to_str()?.into())
}

fn write_apply_result(
    mut result: apply_result::Builder<'_>,
    reply: Result<ControlReply, GroupError>,
    offered: &str,
) {
    match reply {
        Ok(ControlReply::Accepted { version, revision }) => {
            let mut accepted = result.init_accepted();
            accepted.set_version(version);
            accepted.set_revision(revision);
        }
        Ok(ControlReply::Conflict { version, text }) => {
            let mut conflict = result.init_conflict();
            conflict.set_current_version(version);
            conflict.set_difference(line_diff(&text, offered).as_str());
        }
        Ok(ControlReply::Refused) => result.set_invalid("the change id was already used for another text"),
        Ok(other) => result.set_unknown(format!("unexpected reply from a replica: {other:?}").as_str()),
        Err(e @ GroupError::NotProposed { .. }) => result.set_unavailable(e.to_string().as_str()),
        Err(e @ GroupError::Unknown { .. }) => result.set_unknown(e.to_string().as_str()),
    }
}

impl Server for OperatorConnection {
    async fn apply(self: Rc<Self>, params: ApplyParams, mut results: ApplyResults) -> Result<(), Error> {
        let _call = self.calls.start()?;
        let change = params.get()?.get_change()?;
        let scope = read_text(change.get_scope()?)?;
        let offered = read_text(change.get_text()?)?;
        let change_id = read_text(change.get_change_id()?)?;
        let expected = change.get_expected_version();
        let mut result = results.get().init_result();
        if scope.is_empty() || change_id.is_empty() {
            result.set_invalid("a change needs a scope and a change id");
            return Ok(());
        }
        if let Err(e) = self.server.check(&scope, &offered) {
            result.set_invalid(e.to_string().as_str());
            return Ok(());
        }
        log::info!("Applying change {change_id} to {scope} at version {expected}.");
        let command = ControlCommand::Apply { scope, text: Arc::clone(&offered), expected, change_id };
        let reply = self.server.control.commit(command).await;
        write_apply_result(result, reply, &offered);
        Ok(())
    }

    async fn plan(self: Rc<Self>, params: PlanParams, mut results: PlanResults) -> Result<(), Error> {
        let _call = self.calls.start()?;
        let params = params.get()?;
        let scope = read_text(params.get_scope()?)?;
        let offered = read_text(params.get_text()?)?;
        let current = self.server.document(&scope);
        let mut result = results.get();
        result.set_current_version(current.version);
        result.set_difference(line_diff(&current.text, &offered).as_str());
        if let Err(e) = self.server.check(&scope, &offered) {
            result.set_invalid(e.to_string().as_str());
        }
        Ok(())
    }

    async fn status(self: Rc<Self>, _: StatusParams, mut results: StatusResults) -> Result<(), Error> {
        let _call = self.calls.start()?;
        let members = self.server.members.members();
        let groups = self.server.groups.groups();
        let mut result = results.get();
        result.set_node(self.server.node.0);
        result.set_revision(self.server.control.configuration().revision);
        match self.server.control.taking_work() {
            Ok(()) => result.set_taking_work(true),
            Err(e) => result.set_reason(e.to_string().as_str()),
        }
        let mut list = result.reborrow().init_nodes(row_count(members.len()));
        for (i, member) in (0..list.len()).zip(&members) {
            rows::write_member(list.reborrow().get(i), member);
        }
        let mut list = result.init_groups(row_count(groups.len()));
        for (i, group) in (0..list.len()).zip(&groups) {
            rows::write_group(list.reborrow().get(i), group);
        }
        Ok(())
    }

    async fn programs(
        self: Rc<Self>,
        params: ProgramsParams,
        mut results: ProgramsResults,
    ) -> Result<(), Error> {
        let _call = self.calls.start()?;
        let params = params.get()?;
        let partner = read_text(params.get_partner()?)?;
        match self.server.programs(&partner, params.get_limit()).await {
            Ok(views) => {
                let mut list = results.get().init_programs(row_count(views.len()));
                for (i, view) in (0..list.len()).zip(&views) {
                    rows::write_program(list.reborrow().get(i), view);
                }
            }
            Err(e) => e.write(results.get().init_failure()),
        }
        Ok(())
    }

    async fn backends(self: Rc<Self>, _: BackendsParams, mut results: BackendsResults) -> Result<(), Error> {
        let _call = self.calls.start()?;
        let backends = self.server.backends.backends();
        let mut list = results.get().init_backends(row_count(backends.len()));
        for (i, backend) in (0..list.len()).zip(&backends) {
            rows::write_backend(list.reborrow().get(i), backend);
        }
        Ok(())
    }

    async fn drain(self: Rc<Self>, params: DrainParams, mut results: DrainResults) -> Result<(), Error> {
        let _call = self.calls.start()?;
        let name = read_text(params.get()?.get_name()?)?;
        log::info!("Draining {name}.");
        match self.server.mark_leaving(name).await {
            Ok(incarnation) => results.get().set_incarnation(incarnation),
            Err(e) => e.write(results.get().init_failure()),
        }
        Ok(())
    }

    async fn config(self: Rc<Self>, _: ConfigParams, mut results: ConfigResults) -> Result<(), Error> {
        let _call = self.calls.start()?;
        let configuration = self.server.control.configuration();
        let mut result = results.get();
        result.set_revision(configuration.revision);
        let mut list = result.init_documents(row_count(configuration.documents.len()));
        for (i, (scope, document)) in (0..list.len()).zip(&configuration.documents) {
            let mut row = list.reborrow().get(i);
            row.set_scope(&**scope);
            row.set_version(document.version);
            row.set_text(&*document.text);
        }
        Ok(())
    }

    async fn trace(self: Rc<Self>, params: TraceParams, mut results: TraceResults) -> Result<(), Error> {
        let _call = self.calls.start()?;
        let limit = params.get()?.get_limit().min(rows::MAX_ROWS);
        let lines = self.server.traces.recent(limit);
        let mut list = results.get().init_lines(row_count(lines.len()));
        for (i, line) in (0..list.len()).zip(&lines) {
            list.set(i, &**line);
        }
        Ok(())
    }

    async fn resolve(
        self: Rc<Self>,
        params: ResolveParams,
        mut results: ResolveResults,
    ) -> Result<(), Error> {
        let _call = self.calls.start()?;
        let params = params.get()?;
        let program = read_text(params.get_program()?)?;
        let note = read_text(params.get_note()?)?;
        let (call, ran) = (params.get_call(), params.get_ran());
        log::info!("Resolving call {call} of program {program} with unknown outcome; ran: {ran}.");
        if let Err(e) = self.server.resolve(program, call, ran, note).await {
            e.write(results.get().init_failure());
        }
        Ok(())
    }

    async fn replicas(
        self: Rc<Self>,
        params: ReplicasParams,
        mut results: ReplicasResults,
    ) -> Result<(), Error> {
        let _call = self.calls.start()?;
        let params = params.get()?;
        let (group, node) = (GroupId(params.get_group()), NodeId(params.get_node()));
        let change = match params.get_change()? {
            RequestedChange::AddLearner => ReplicaChange::AddLearner(node),
            RequestedChange::Promote => ReplicaChange::Promote(node),
            RequestedChange::Remove => ReplicaChange::Remove(node),
        };
        log::info!("Changing the replicas of group {}: {change:?}.", group.0);
        if let Err(source) = self.server.groups.change(group, change).await {
            CallError::from(source).write(results.get().init_failure());
        }
        Ok(())
    }
}
