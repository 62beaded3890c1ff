//! RPC calls with side effects.

use std::sync::Arc;

use agatetrestle_schema::operator_capnp::ReplicaChange as WireReplicaChange;
use agatetrestle_schema::operator_capnp::apply_result;
use agatetrestle_schema::operator_capnp::operator;

use crate::calls::attempt_result;
use crate::calls::text;
use crate::client::Attempt;
use crate::client::Client;
use crate::client::RetryPolicy;
use crate::error::ToolError;
use crate::options::ReplicaChange;
use crate::rows::DrainRow;
use crate::rows::ReplicasRow;
use crate::rows::ResolvedRow;

/// A change of a document.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Change {
    /// Name of the document.
    pub scope: Arc<str>,
    /// The declarations in YAML.
    pub text: Arc<str>,
    /// Version of the document that the change is based on.
    pub expected_version: u64,
    /// Idempotency key; a retry with the same id returns the first result.
    pub change_id: Arc<str>,
}

/// Decision of the control group on a change.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ApplyOutcome {
    /// The change was committed.
    Accepted {
        /// New version of the document.
        version: u64,
        /// New revision of the configuration.
        revision: u64,
    },
    /// The document has another version than expected.
    Conflict {
        /// Current version of the document.
        current_version: u64,
        /// Difference between the current text and the offered one.
        difference: Arc<str>,
    },
}

fn apply_outcome(result: apply_result::Reader<'_>) -> Result<Attempt<ApplyOutcome>, capnp::Error> {
    Ok(match result.which()? {
        apply_result::Accepted(accepted) => Attempt::Done(ApplyOutcome::Accepted {
            version: accepted.get_version(),
            revision: accepted.get_revision(),
        }),
        apply_result::Conflict(conflict) => Attempt::Done(ApplyOutcome::Conflict {
            current_version: conflict.get_current_version(),
            difference: text(conflict.get_difference()?)?,
        }),
        apply_result::Invalid(reason) => Attempt::Invalid(text(reason?)?),
        apply_result::Unavailable(reason) => Attempt::Unavailable(text(reason?)?),
        apply_result::Unknown(reason) => Attempt::Unknown(text(reason?)?),
    })
}

/// Sends a change; it is retried with the same change id if the answer is lost.
///
/// # Errors
///
/// Fails as [`Client::call`] does.
pub async fn apply(client: &Client, change: &Change) -> Result<ApplyOutcome, ToolError> {
    let call = async |operator: operator::Client| {
        let mut req = operator.apply_request();
        let mut offered = req.get().init_change();
        offered.set_scope(&*change.scope);
        offered.set_text(&*change.text);
        offered.set_expected_version(change.expected_version);
        offered.set_change_id(&*change.change_id);
        let response = req.send().promise.await?;
        apply_outcome(response.get()?.get_result()?)
    };
    client.call(RetryPolicy::Idempotent, call).await
}

/// Marks a VM or backend server as leaving, which is idempotent.
///
/// # Errors
///
/// Fails as [`Client::call`] does.
pub async fn drain(client: &Client, name: &str) -> Result<DrainRow, ToolError> {
    let call = async |operator: operator::Client| {
        let mut req = operator.drain_request();
        req.get().set_name(name);
        let response = req.send().promise.await?;
        let result = response.get()?;
        let row = DrainRow { name: name.into(), incarnation: result.get_incarnation() };
        attempt_result(result.get_failure()?, row)
    };
    client.call(RetryPolicy::Idempotent, call).await
}

/// Resolves a call of unknown outcome; it is not retried if the answer is lost.
///
/// # Errors
///
/// Fails as [`Client::call`] does.
pub async fn resolve(client: &Client, row: &ResolvedRow, note: &str) -> Result<(), ToolError> {
    let call = async |operator: operator::Client| {
        let mut req = operator.resolve_request();
        req.get().set_program(&*row.program);
        req.get().set_call(row.call);
        req.get().set_ran(row.ran);
        req.get().set_note(note);
        let response = req.send().promise.await?;
        attempt_result(response.get()?.get_failure()?, ())
    };
    client.call(RetryPolicy::Once, call).await
}

/// Changes the replicas of a group; the call is not retried if the answer is lost.
///
/// # Errors
///
/// Fails as [`Client::call`] does.
pub async fn replicas(client: &Client, row: &ReplicasRow) -> Result<(), ToolError> {
    let wire_change = match row.change {
        ReplicaChange::Add => WireReplicaChange::AddLearner,
        ReplicaChange::Promote => WireReplicaChange::Promote,
        ReplicaChange::Remove => WireReplicaChange::Remove,
    };
    let call = async |operator: operator::Client| {
        let mut req = operator.replicas_request();
        req.get().set_group(row.group);
        req.get().set_node(row.node);
        req.get().set_change(wire_change);
        let response = req.send().promise.await?;
        attempt_result(response.get()?.get_failure()?, ())
    };
    client.call(RetryPolicy::Once, call).await
}
