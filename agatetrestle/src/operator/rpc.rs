//! The calls themselves: each reads its parameters, asks one port and writes a typed result.

use std::cell::Cell;
use std::rc::Rc;
use std::sync::Arc;

use agatetrestle_config::Declarations;
use agatetrestle_config::declarations::SHARED_SCOPE;
use agatetrestle_schema::operator_capnp::failure;
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
use agatetrestle_schema::operator_capnp::operator::ResolveParams;
use agatetrestle_schema::operator_capnp::operator::ResolveResults;
use agatetrestle_schema::operator_capnp::operator::Server;
use agatetrestle_schema::operator_capnp::operator::StatusParams;
use agatetrestle_schema::operator_capnp::operator::StatusResults;
use agatetrestle_schema::operator_capnp::operator::TraceParams;
use agatetrestle_schema::operator_capnp::operator::TraceResults;

use crate::control::command::ControlCommand;
use crate::control::command::ControlReply;
use crate::control::command::Document;
use crate::ids::CallNumber;
use crate::ids::ProgramId;
use crate::operator::OperatorServer;
use crate::operator::difference::difference;
use crate::ports::GroupError;
use crate::programs::command::CallState;
use crate::programs::command::ProgramCommand;
use crate::programs::command::ProgramQuery;
use crate::programs::command::ProgramReply;
use crate::programs::command::ProgramView;
use crate::programs::command::QueryReply;
use crate::programs::command::Refusal;

/// Calls that one connection may have under way at once.
const MAX_CALLS: u32 = 16;

/// Most rows of a listing, whatever the operator asks for.
const MAX_ROWS: u32 = 10_000;

/// One operator's connection.
pub(super) struct Connection {
    server: Rc<OperatorServer>,
    calls: Rc<Cell<u32>>,
}

impl Connection {
    pub(super) fn new(server: Rc<OperatorServer>) -> Self {
        Self { server, calls: Rc::default() }
    }

    fn begin(&self) -> Result<Call, capnp::Error> {
        if self.calls.get() >= MAX_CALLS {
            return Err(capnp::Error::overloaded(format!("{MAX_CALLS} calls are under way already")));
        }
        self.calls.set(self.calls.get() + 1);
        Ok(Call(Rc::clone(&self.calls)))
    }
}

/// A call under way; dropping it lets the next one begin.
struct Call(Rc<Cell<u32>>);

impl Drop for Call {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

/// Why a call did nothing.
enum Refused {
    Invalid(String),
    Unavailable(String),
    Unknown(String),
}

impl From<GroupError> for Refused {
    fn from(error: GroupError) -> Self {
        let text = error.to_string();
        match error {
            GroupError::NotProposed { .. } => Self::Unavailable(text),
            GroupError::Unknown { .. } => Self::Unknown(text),
        }
    }
}

impl Refused {
    fn write(&self, mut builder: failure::Builder<'_>) {
        match self {
            Self::Invalid(text) => builder.set_invalid(text.as_str()),
            Self::Unavailable(text) => builder.set_unavailable(text.as_str()),
            Self::Unknown(text) => builder.set_unknown(text.as_str()),
        }
    }
}

fn text(reader: capnp::text::Reader<'_>) -> Result<Arc<str>, capnp::Error> {
    Ok(reader.to_str()?.into())
}

/// A list in a message counts in 32 bits; what lies beyond is left out.
fn length(count: usize) -> u32 {
    u32::try_from(count).unwrap_or(u32::MAX).min(MAX_ROWS)
}

fn program_state(view: &ProgramView) -> &'static str {
    match view.last {
        _ if view.ended => "ended",
        Some((_, CallState::Unknown, ..)) => "unknown",
        Some((_, CallState::Open, ..)) => "calling",
        Some((_, CallState::Finished, ..)) | None => "idle",
    }
}

/// Why a call could not be settled, for people; the ledger gives only these two reasons for it.
fn refusal_text(refusal: &Refusal) -> String {
    match refusal {
        Refusal::NoProgram => "there is no such program".to_owned(),
        Refusal::WrongState => "the call is not of unknown outcome".to_owned(),
        other => format!("the ledger refused it: {other:?}"),
    }
}

impl OperatorServer {
    fn document(&self, scope: &str) -> Document {
        let none = || Document { version: 0, text: "".into() };
        self.control.configuration().documents.get(scope).cloned().unwrap_or_else(none)
    }

    /// The incarnation that a drain marks: a node's present one, and 0 for a backend server, which has none.
    fn incarnation(&self, name: &str) -> Option<u64> {
        let members = self.members.members();
        let newest = members.iter().filter(|m| &*m.vm == name).map(|m| m.incarnation).max();
        let declared = || self.backends.backends().iter().any(|b| &*b.name == name);
        newest.or_else(|| declared().then_some(0))
    }

    async fn list(&self, partner: &str, limit: u32) -> Result<Vec<ProgramView>, Refused> {
        let configuration = self.control.configuration();
        let declared = configuration.documents.keys().filter(|scope| &***scope != SHARED_SCOPE).cloned();
        let partners: Vec<Arc<str>> =
            if partner.is_empty() { declared.collect() } else { vec![partner.into()] };
        let limit = if limit == 0 { MAX_ROWS } else { limit.min(MAX_ROWS) };
        let mut views = Vec::new();
        for partner in partners {
            if let QueryReply::Many(list) = self.ledger.query(ProgramQuery::List(partner, limit)).await? {
                views.extend(list);
            }
        }
        views.truncate(limit as usize);
        Ok(views)
    }

    async fn mark_leaving(&self, name: Arc<str>) -> Result<u64, Refused> {
        let Some(incarnation) = self.incarnation(&name) else {
            return Err(Refused::Invalid(format!("no VM or backend server is named {name}")));
        };
        match self.control.commit(ControlCommand::Leave { name, incarnation }).await? {
            ControlReply::Leaving { incarnation } => Ok(incarnation),
            other => Err(Refused::Unavailable(format!("the control group answered {other:?}"))),
        }
    }

    async fn settle(&self, program: &str, call: u32, ran: bool, note: Arc<str>) -> Result<(), Refused> {
        let Some(program) = ProgramId::parse(program) else {
            return Err(Refused::Invalid(format!("{program} is no program id of the form partner/name")));
        };
        let command = ProgramCommand::Resolve { program, call: CallNumber(call), ran, note };
        match self.ledger.commit(command).await? {
            ProgramReply::Done(_) => Ok(()),
            ProgramReply::Refused(refusal) => Err(Refused::Invalid(refusal_text(&refusal))),
            other => Err(Refused::Invalid(format!("the ledger answered {other:?}"))),
        }
    }
}

impl Server for Connection {
    async fn apply(
        self: Rc<Self>,
        params: ApplyParams,
        mut results: ApplyResults,
    ) -> Result<(), capnp::Error> {
        let _call = self.begin()?;
        let change = params.get()?.get_change()?;
        let scope = text(change.get_scope()?)?;
        let offered = text(change.get_text()?)?;
        let change_id = text(change.get_change_id()?)?;
        let expected = change.get_expected_version();
        let mut result = results.get().init_result();
        if scope.is_empty() || change_id.is_empty() {
            result.set_invalid("a change needs a scope and a change id");
            return Ok(());
        }
        if let Err(e) = Declarations::parse(&scope, &offered) {
            result.set_invalid(e.to_string().as_str());
            return Ok(());
        }
        log::info!("Change {change_id} of {scope} is offered for version {expected}.");
        let command = ControlCommand::Apply { scope, text: Arc::clone(&offered), expected, change_id };
        match self.server.control.commit(command).await {
            Ok(ControlReply::Accepted { version, revision }) => {
                let mut accepted = result.init_accepted();
                accepted.set_version(version);
                accepted.set_revision(revision);
            }
            Ok(ControlReply::Conflict { version, text }) => {
                let mut conflict = result.init_conflict();
                conflict.set_current_version(version);
                conflict.set_difference(difference(&text, &offered).as_str());
            }
            Ok(ControlReply::Refused) => result.set_invalid("the change id was used for another text"),
            Ok(other) => result.set_invalid(format!("the control group answered {other:?}").as_str()),
            Err(e @ GroupError::NotProposed { .. }) => result.set_unavailable(e.to_string().as_str()),
            Err(e @ GroupError::Unknown { .. }) => result.set_unknown(e.to_string().as_str()),
        }
        Ok(())
    }

    async fn plan(self: Rc<Self>, params: PlanParams, mut results: PlanResults) -> Result<(), capnp::Error> {
        let _call = self.begin()?;
        let params = params.get()?;
        let scope = text(params.get_scope()?)?;
        let offered = text(params.get_text()?)?;
        let current = self.server.document(&scope);
        let mut result = results.get();
        result.set_current_version(current.version);
        result.set_difference(difference(&current.text, &offered).as_str());
        if let Err(e) = Declarations::parse(&scope, &offered) {
            result.set_invalid(e.to_string().as_str());
        }
        Ok(())
    }

    async fn status(self: Rc<Self>, _: StatusParams, mut results: StatusResults) -> Result<(), capnp::Error> {
        let _call = self.begin()?;
        let members = self.server.members.members();
        let groups = self.server.groups.groups();
        let mut result = results.get();
        result.set_node(self.server.node.0);
        result.set_revision(self.server.control.configuration().revision);
        match self.server.control.taking_work() {
            Ok(()) => result.set_taking_work(true),
            Err(e) => result.set_reason(e.to_string().as_str()),
        }
        let mut rows = result.reborrow().init_nodes(length(members.len()));
        for (i, member) in (0..rows.len()).zip(&members) {
            let mut row = rows.reborrow().get(i);
            row.set_node(member.node.0);
            row.set_vm(&*member.vm);
            row.set_failure_domain(&*member.failure_domain);
            row.set_region(&*member.region);
            row.set_state(&*member.state);
            row.set_revision(member.revision);
            row.set_caller_address(&*member.caller_address);
        }
        let mut rows = result.init_groups(length(groups.len()));
        for (i, group) in (0..rows.len()).zip(&groups) {
            let mut row = rows.reborrow().get(i);
            row.set_group(group.group.0);
            row.set_leader(group.leader.map_or(0, |node| node.0));
            row.set_term(group.term);
            row.set_commit(group.commit);
            let mut replicas = row.init_replicas(length(group.replicas.len()));
            for (j, replica) in (0..replicas.len()).zip(&group.replicas) {
                replicas.set(j, replica.0);
            }
        }
        Ok(())
    }

    async fn programs(
        self: Rc<Self>,
        params: ProgramsParams,
        mut results: ProgramsResults,
    ) -> Result<(), capnp::Error> {
        let _call = self.begin()?;
        let params = params.get()?;
        let partner = text(params.get_partner()?)?;
        let views = match self.server.list(&partner, params.get_limit()).await {
            Ok(views) => views,
            Err(refused) => {
                refused.write(results.get().init_failure());
                return Ok(());
            }
        };
        let mut rows = results.get().init_programs(length(views.len()));
        for (i, view) in (0..rows.len()).zip(&views) {
            let mut row = rows.reborrow().get(i);
            row.set_program(view.program.to_string().as_str());
            row.set_partner(&*view.program.partner);
            row.set_team(&*view.spec.team);
            row.set_class(&*view.spec.class);
            row.set_calls(view.next_call.0.saturating_sub(1));
            row.set_state(program_state(view));
            row.set_spent(view.spent);
            row.set_budget(view.spec.budget);
        }
        Ok(())
    }

    async fn backends(
        self: Rc<Self>,
        _: BackendsParams,
        mut results: BackendsResults,
    ) -> Result<(), capnp::Error> {
        let _call = self.begin()?;
        let backends = self.server.backends.backends();
        let mut rows = results.get().init_backends(length(backends.len()));
        for (i, backend) in (0..rows.len()).zip(&backends) {
            let mut row = rows.reborrow().get(i);
            row.set_name(&*backend.name);
            row.set_kind(&*backend.kind);
            row.set_address(&*backend.address);
            row.set_state(&*backend.state);
            row.set_running(backend.running);
            row.set_waiting(backend.waiting);
        }
        Ok(())
    }

    async fn drain(
        self: Rc<Self>,
        params: DrainParams,
        mut results: DrainResults,
    ) -> Result<(), capnp::Error> {
        let _call = self.begin()?;
        let name = text(params.get()?.get_name()?)?;
        log::info!("{name} is asked to leave.");
        match self.server.mark_leaving(name).await {
            Ok(incarnation) => results.get().set_incarnation(incarnation),
            Err(refused) => refused.write(results.get().init_failure()),
        }
        Ok(())
    }

    async fn config(self: Rc<Self>, _: ConfigParams, mut results: ConfigResults) -> Result<(), capnp::Error> {
        let _call = self.begin()?;
        let configuration = self.server.control.configuration();
        let mut result = results.get();
        result.set_revision(configuration.revision);
        let mut rows = result.init_documents(length(configuration.documents.len()));
        for (i, (scope, document)) in (0..rows.len()).zip(&configuration.documents) {
            let mut row = rows.reborrow().get(i);
            row.set_scope(&**scope);
            row.set_version(document.version);
            row.set_text(&*document.text);
        }
        Ok(())
    }

    async fn trace(
        self: Rc<Self>,
        params: TraceParams,
        mut results: TraceResults,
    ) -> Result<(), capnp::Error> {
        let _call = self.begin()?;
        let limit = params.get()?.get_limit().min(MAX_ROWS);
        let lines = self.server.traces.recent(limit);
        let mut rows = results.get().init_lines(length(lines.len()));
        for (i, line) in (0..rows.len()).zip(&lines) {
            rows.set(i, &**line);
        }
        Ok(())
    }

    async fn resolve(
        self: Rc<Self>,
        params: ResolveParams,
        mut results: ResolveResults,
    ) -> Result<(), capnp::Error> {
        let _call = self.begin()?;
        let params = params.get()?;
        let program = text(params.get_program()?)?;
        let note = text(params.get_note()?)?;
        log::info!("Call {} of {program} is resolved by an operator.", params.get_call());
        let settled = self.server.settle(&program, params.get_call(), params.get_ran(), note).await;
        if let Err(refused) = settled {
            refused.write(results.get().init_failure());
        }
        Ok(())
    }
}
