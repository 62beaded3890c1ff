//! Applies a change and waits until all nodes use it; see docs/operators/changes.md.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use smol::Timer;
use xxhash_rust::xxh3::Xxh3;

use crate::calls;
use crate::calls::changes;
use crate::calls::changes::ApplyOutcome;
use crate::calls::changes::Change;
use crate::client::Client;
use crate::error::ToolError;
use crate::rows::AppliedRow;
use crate::rows::NodeRow;
use crate::rows::Status;

const POLL_INTERVAL: Duration = Duration::from_millis(200);

/// Derives a change id from the content of a change, so that a repeated command is recognized as the same change.
#[must_use]
pub fn default_change_id(scope: &str, expected_version: u64, text: &str) -> Arc<str> {
    let mut hash = Xxh3::new();
    hash.update(scope.as_bytes());
    hash.update(&[0]);
    hash.update(&expected_version.to_le_bytes());
    hash.update(text.as_bytes());
    format!("{:032x}", hash.digest128()).into()
}

/// Applies a change to a document.
///
/// # Errors
///
/// Fails as [`Client::call`] does, and with [`ToolError::Conflict`] if the document has another version than expected.
pub async fn apply(client: &Client, change: &Change) -> Result<AppliedRow, ToolError> {
    match changes::apply(client, change).await? {
        ApplyOutcome::Accepted { version, revision } => Ok(AppliedRow {
            scope: change.scope.clone(),
            version,
            revision,
            change_id: change.change_id.clone(),
        }),
        ApplyOutcome::Conflict { current_version, difference } => {
            Err(ToolError::Conflict { scope: change.scope.clone(), current_version, difference })
        }
    }
}

/// Waits until every known node that may take work has the change in force.
///
/// # Errors
///
/// Fails with [`ToolError::Lagging`] and the lagging nodes after `timeout`. Failed status calls are retried until then.
pub async fn wait(client: &Client, applied: &AppliedRow, timeout: Duration) -> Result<(), ToolError> {
    let start = Instant::now();
    loop {
        match calls::status(client).await {
            Ok(status) if is_in_force(&status, applied.revision) => return Ok(()),
            Ok(status) if start.elapsed() >= timeout => {
                let AppliedRow { version, revision, .. } = *applied;
                let nodes = lagging_nodes(status.nodes, revision);
                return Err(ToolError::Lagging { version, revision, nodes });
            }
            Err(e) if start.elapsed() >= timeout => return Err(e),
            _ => Timer::after(POLL_INTERVAL.min(timeout)).await,
        };
    }
}

/// Returns false if the answering node is missing from its own list: after a start the list is incomplete.
fn is_in_force(status: &Status, revision: u64) -> bool {
    let lists_itself = status.nodes.iter().any(|node| node.node == status.node);
    lists_itself && !status.nodes.iter().any(|node| is_lagging(node, revision))
}

fn is_lagging(node: &NodeRow, revision: u64) -> bool {
    node.revision < revision && may_take_work(node)
}

fn lagging_nodes(nodes: Vec<NodeRow>, revision: u64) -> Vec<NodeRow> {
    nodes.into_iter().filter(|node| is_lagging(node, revision)).collect()
}

/// Includes silent nodes, since their lease may not have expired yet.
fn may_take_work(node: &NodeRow) -> bool {
    matches!(&*node.state, "live" | "silent")
}

#[cfg(test)]
mod tests;
