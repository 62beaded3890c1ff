//! Applying a change and waiting until it is in force; see docs/operators/changes.md.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use smol::Timer;
use xxhash_rust::xxh3::Xxh3;

use crate::calls;
use crate::calls::changes;
use crate::calls::changes::Change;
use crate::calls::changes::Verdict;
use crate::client::Client;
use crate::error::ToolError;
use crate::rows::AppliedRow;
use crate::rows::NodeRow;
use crate::rows::Status;

/// Time between two looks at the nodes.
const POLL_INTERVAL: Duration = Duration::from_millis(200);

/// The change id of a change that was given none: the same command run again is the same change.
#[must_use]
pub fn default_change_id(scope: &str, expected_version: u64, text: &str) -> Arc<str> {
    let mut hash = Xxh3::new();
    hash.update(scope.as_bytes());
    hash.update(&[0]);
    hash.update(&expected_version.to_le_bytes());
    hash.update(text.as_bytes());
    format!("{:032x}", hash.digest128()).into()
}

/// Applies a change.
///
/// # Errors
///
/// Fails as [`Client::call`] does, and as [`ToolError::Conflict`] if another change came first.
pub async fn apply(client: &Client, change: &Change) -> Result<AppliedRow, ToolError> {
    match changes::apply(client, change).await? {
        Verdict::Accepted { version, revision } => Ok(AppliedRow {
            scope: change.scope.clone(),
            version,
            revision,
            change_id: change.change_id.clone(),
        }),
        Verdict::Conflict { current_version, difference } => {
            Err(ToolError::Conflict { scope: change.scope.clone(), current_version, difference })
        }
    }
}

/// Waits until every known node that may take work has the change in force.
///
/// # Errors
///
/// Fails as [`ToolError::Lagging`] with the nodes that lack it once `limit` is over. A node that
/// could not be asked for its view is asked again within that time.
pub async fn wait(client: &Client, applied: &AppliedRow, limit: Duration) -> Result<(), ToolError> {
    let start = Instant::now();
    loop {
        match calls::status(client).await {
            Ok(status) if is_everywhere(&status, applied.revision) => return Ok(()),
            Ok(status) if start.elapsed() >= limit => {
                let AppliedRow { version, revision, .. } = *applied;
                let nodes = lagging(status.nodes, revision);
                return Err(ToolError::Lagging { version, revision, nodes });
            }
            Err(e) if start.elapsed() >= limit => return Err(e),
            _ => Timer::after(POLL_INTERVAL.min(limit)).await,
        };
    }
}

/// A node that was just started knows of no node, not even of itself, and so can't tell.
fn is_everywhere(status: &Status, revision: u64) -> bool {
    let knows_itself = status.nodes.iter().any(|node| node.node == status.node);
    knows_itself && !status.nodes.iter().any(|node| lags(node, revision))
}

fn lags(node: &NodeRow, revision: u64) -> bool {
    node.revision < revision && may_take_work(node)
}

fn lagging(nodes: Vec<NodeRow>, revision: u64) -> Vec<NodeRow> {
    nodes.into_iter().filter(|node| lags(node, revision)).collect()
}

/// A silent node may still hold its lease for a moment, so it counts.
fn may_take_work(node: &NodeRow) -> bool {
    matches!(&*node.state, "live" | "silent")
}

#[cfg(test)]
mod tests;
