//! The calls that change something.

use std::sync::Arc;

use agatetrestle_schema::operator_capnp::ReplicaChange as Wanted;
use agatetrestle_schema::operator_capnp::apply_result;
use agatetrestle_schema::operator_capnp::operator;

use crate::calls::text;
use crate::calls::unless_failed;
use crate::client::Attempt;
use crate::client::Client;
use crate::client::Repeat;
use crate::error::ToolError;
use crate::options::ReplicaChange;
use crate::rows::DrainRow;
use crate::rows::ReplicasRow;
use crate::rows::ResolvedRow;

/// A change as it is offered.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Change {
    /// The document.
    pub scope: Arc<str>,
    /// The declarations in YAML.
    pub text: Arc<str>,
    /// Version that the operator saw.
    pub expected_version: u64,
    /// Identity; a resend with it gives the first result.
    pub change_id: Arc<str>,
}

/// What the control group made of a change that it took in.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Verdict {
    /// It is in force.
    Accepted {
        /// Version of the document.
        version: u64,
        /// Revision of the whole.
        revision: u64,
    },
    /// Another came first.
    Conflict {
        /// Version in force.
        current_version: u64,
        /// Against the text in force.
        difference: Arc<str>,
    },
}

fn verdict(result: apply_result::Reader<'_>) -> Result<Attempt<Verdict>, capnp::Error> {
    Ok(match result.which()? {
        apply_result::Accepted(accepted) => Attempt::Done(Verdict::Accepted {
            version: accepted.get_version(),
            revision: accepted.get_revision(),
        }),
        apply_result::Conflict(conflict) => Attempt::Done(Verdict::Conflict {
            current_version: conflict.get_current_version(),
            difference: text(conflict.get_difference()?)?,
        }),
        apply_result::Invalid(reason) => Attempt::Invalid(text(reason?)?),
        apply_result::Unavailable(reason) => Attempt::Unavailable(text(reason?)?),
        apply_result::Unknown(reason) => Attempt::Unknown(text(reason?)?),
    })
}

/// Offers a change; a lost answer is asked for again with the same change id.
///
/// # Errors
///
/// Fails as [`Client::call`] does.
pub async fn apply(client: &Client, change: &Change) -> Result<Verdict, ToolError> {
    let call = async |operator: operator::Client| {
        let mut req = operator.apply_request();
        let mut offered = req.get().init_change();
        offered.set_scope(&*change.scope);
        offered.set_text(&*change.text);
        offered.set_expected_version(change.expected_version);
        offered.set_change_id(&*change.change_id);
        let response = req.send().promise.await?;
        verdict(response.get()?.get_result()?)
    };
    client.call(Repeat::Idempotent, call).await
}

/// Marks a VM or backend server as leaving; doing so twice is harmless.
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
        unless_failed(result.get_failure()?, row)
    };
    client.call(Repeat::Idempotent, call).await
}

/// Settles a call of unknown outcome; it is not sent again after a lost answer.
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
        unless_failed(response.get()?.get_failure()?, ())
    };
    client.call(Repeat::Once, call).await
}

/// Changes who takes part in a group; it is not sent again after a lost answer.
///
/// # Errors
///
/// Fails as [`Client::call`] does.
pub async fn replicas(client: &Client, row: &ReplicasRow) -> Result<(), ToolError> {
    let wanted = match row.change {
        ReplicaChange::Add => Wanted::AddLearner,
        ReplicaChange::Promote => Wanted::Promote,
        ReplicaChange::Remove => Wanted::Remove,
    };
    let call = async |operator: operator::Client| {
        let mut req = operator.replicas_request();
        req.get().set_group(row.group);
        req.get().set_node(row.node);
        req.get().set_change(wanted);
        let response = req.send().promise.await?;
        unless_failed(response.get()?.get_failure()?, ())
    };
    client.call(Repeat::Once, call).await
}
