//! Read-only RPC calls that return typed rows; calls with side effects are in [`changes`].

pub mod changes;

use std::sync::Arc;

use agatetrestle_schema::operator_capnp::failure;
use agatetrestle_schema::operator_capnp::group_status;
use agatetrestle_schema::operator_capnp::node_status;
use agatetrestle_schema::operator_capnp::operator;

use crate::client::Attempt;
use crate::client::Client;
use crate::client::RetryPolicy;
use crate::error::ToolError;
use crate::rows::ActiveConfig;
use crate::rows::BackendRow;
use crate::rows::DocumentRow;
use crate::rows::GroupRow;
use crate::rows::NodeRow;
use crate::rows::Plan;
use crate::rows::ProgramRow;
use crate::rows::Status;

fn text(reader: capnp::text::Reader<'_>) -> Result<Arc<str>, capnp::Error> {
    Ok(reader.to_str()?.into())
}

/// Converts the failure of a response, or returns `result` if there is none.
fn attempt_result<T>(failure: failure::Reader<'_>, result: T) -> Result<Attempt<T>, capnp::Error> {
    Ok(match failure.which()? {
        failure::None(()) => Attempt::Done(result),
        failure::Invalid(reason) => Attempt::Invalid(text(reason?)?),
        failure::Unavailable(reason) => Attempt::Unavailable(text(reason?)?),
        failure::Unknown(reason) => Attempt::Unknown(text(reason?)?),
    })
}

fn node_row(row: node_status::Reader<'_>) -> Result<NodeRow, capnp::Error> {
    Ok(NodeRow {
        node: row.get_node(),
        vm: text(row.get_vm()?)?,
        failure_domain: text(row.get_failure_domain()?)?,
        region: text(row.get_region()?)?,
        state: text(row.get_state()?)?,
        revision: row.get_revision(),
        caller_address: text(row.get_caller_address()?)?,
    })
}

fn group_row(row: group_status::Reader<'_>) -> Result<GroupRow, capnp::Error> {
    let leader = row.get_leader();
    Ok(GroupRow {
        group: row.get_group(),
        leader: (leader != 0).then_some(leader),
        term: row.get_term(),
        commit: row.get_commit(),
        replicas: row.get_replicas()?.iter().collect(),
    })
}

/// Fetches the difference that a change would make.
///
/// # Errors
///
/// Fails as [`Client::call`] does.
pub async fn plan(client: &Client, scope: &str, document: &str) -> Result<Plan, ToolError> {
    let call = async |operator: operator::Client| {
        let mut req = operator.plan_request();
        req.get().set_scope(scope);
        req.get().set_text(document);
        let response = req.send().promise.await?;
        let result = response.get()?;
        let invalid = text(result.get_invalid()?)?;
        if !invalid.is_empty() {
            return Ok(Attempt::Invalid(invalid));
        }
        let difference = text(result.get_difference()?)?;
        Ok(Attempt::Done(Plan { current_version: result.get_current_version(), difference }))
    };
    client.call(RetryPolicy::Read, call).await
}

/// Fetches a node's view of the nodes and groups.
///
/// # Errors
///
/// Fails as [`Client::call`] does.
pub async fn status(client: &Client) -> Result<Status, ToolError> {
    let call = async |operator: operator::Client| {
        let response = operator.status_request().send().promise.await?;
        let result = response.get()?;
        Ok(Attempt::Done(Status {
            node: result.get_node(),
            revision: result.get_revision(),
            taking_work: result.get_taking_work(),
            reason: text(result.get_reason()?)?,
            nodes: result.get_nodes()?.iter().map(node_row).collect::<Result<_, _>>()?,
            groups: result.get_groups()?.iter().map(group_row).collect::<Result<_, _>>()?,
        }))
    };
    client.call(RetryPolicy::Read, call).await
}

/// Lists the programs of one partner, or of all if `partner` is empty.
///
/// # Errors
///
/// Fails as [`Client::call`] does.
pub async fn programs(client: &Client, partner: &str, limit: u32) -> Result<Vec<ProgramRow>, ToolError> {
    let call = async |operator: operator::Client| {
        let mut req = operator.programs_request();
        req.get().set_partner(partner);
        req.get().set_limit(limit);
        let response = req.send().promise.await?;
        let result = response.get()?;
        let mut rows = Vec::new();
        for row in result.get_programs()? {
            rows.push(ProgramRow {
                program: text(row.get_program()?)?,
                team: text(row.get_team()?)?,
                class: text(row.get_class()?)?,
                state: text(row.get_state()?)?,
                calls: row.get_calls(),
                spent: row.get_spent(),
                budget: row.get_budget(),
            });
        }
        attempt_result(result.get_failure()?, rows)
    };
    client.call(RetryPolicy::Read, call).await
}

/// Lists the backend servers in one node's view.
///
/// # Errors
///
/// Fails as [`Client::call`] does.
pub async fn backends(client: &Client) -> Result<Vec<BackendRow>, ToolError> {
    let call = async |operator: operator::Client| {
        let response = operator.backends_request().send().promise.await?;
        let mut rows = Vec::new();
        for row in response.get()?.get_backends()? {
            rows.push(BackendRow {
                name: text(row.get_name()?)?,
                kind: text(row.get_kind()?)?,
                address: text(row.get_address()?)?,
                state: text(row.get_state()?)?,
                running: row.get_running(),
                waiting: row.get_waiting(),
            });
        }
        Ok(Attempt::Done(rows))
    };
    client.call(RetryPolicy::Read, call).await
}

/// Fetches the documents in force on a node.
///
/// # Errors
///
/// Fails as [`Client::call`] does.
pub async fn config(client: &Client) -> Result<ActiveConfig, ToolError> {
    let call = async |operator: operator::Client| {
        let response = operator.config_request().send().promise.await?;
        let result = response.get()?;
        let mut documents = Vec::new();
        for row in result.get_documents()? {
            documents.push(DocumentRow {
                scope: text(row.get_scope()?)?,
                version: row.get_version(),
                text: text(row.get_text()?)?,
            });
        }
        Ok(Attempt::Done(ActiveConfig { revision: result.get_revision(), documents }))
    };
    client.call(RetryPolicy::Read, call).await
}

/// Fetches the newest trace lines of a node.
///
/// # Errors
///
/// Fails as [`Client::call`] does.
pub async fn trace(client: &Client, limit: u32) -> Result<Vec<Arc<str>>, ToolError> {
    let call = async |operator: operator::Client| {
        let mut req = operator.trace_request();
        req.get().set_limit(limit);
        let response = req.send().promise.await?;
        let mut lines = Vec::new();
        for line in response.get()?.get_lines()? {
            lines.push(text(line?)?);
        }
        Ok(Attempt::Done(lines))
    };
    client.call(RetryPolicy::Read, call).await
}
