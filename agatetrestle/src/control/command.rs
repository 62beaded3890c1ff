//! Commands of the control group and their replies.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use crate::ids::NodeId;

/// A command that changes the replicated state of the control group.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum ControlCommand {
    /// Replace a document if its current version is the expected one.
    Apply {
        /// Name of a partner, or `shared`.
        scope: Arc<str>,
        /// The validated document.
        text: Arc<str>,
        /// The version that the operator read, 0 for a new document.
        expected: u64,
        /// Idempotency key; a retry returns the first result.
        change_id: Arc<str>,
    },
    /// Mark a VM or backend server as leaving, up to an incarnation.
    Leave {
        /// Name of the VM or backend server.
        name: Arc<str>,
        /// The leaving incarnation; newer ones are live.
        incarnation: u64,
    },
    /// Replace the routes if this version is higher than the current one.
    Publish {
        /// Version that the operators assigned.
        version: u64,
        /// The validated routes as the operators sent them.
        text: Arc<str>,
    },
    /// Create the state groups with their initial voters. Only the first such command takes effect, since programs are located
    /// by the number of groups, and other voters would lack the state already accepted.
    Found {
        /// The initial voters of each group, ordered by group ID.
        groups: Vec<BTreeSet<NodeId>>,
    },
    /// Claim the right to send orders to engines; the reply holds a fencing token.
    Fence {
        /// The control leader that makes the claim.
        node: NodeId,
        /// Term of the leader.
        term: u64,
    },
}

/// Reply to a [`ControlCommand`].
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum ControlReply {
    /// The document was replaced.
    Accepted {
        /// New version of the document.
        version: u64,
        /// New revision of the configuration.
        revision: u64,
    },
    /// The current version is not the expected one.
    Conflict {
        /// Current version.
        version: u64,
        /// Current text.
        text: Arc<str>,
    },
    /// The routes have the published version or a higher one.
    Published {
        /// Current version of the routes.
        version: u64,
    },
    /// The state groups exist.
    Founded {
        /// Their initial voters, from the first such command.
        groups: Vec<BTreeSet<NodeId>>,
    },
    /// The VM or backend server is marked as leaving.
    Leaving {
        /// The highest marked incarnation.
        incarnation: u64,
    },
    /// The fencing token for orders.
    Fenced(u64),
    /// The command is malformed, reuses an idempotency key, or has an outdated term.
    Refused,
}

/// Scope of the document that holds the routes.
pub const ROUTES_SCOPE: &str = "routes";

/// A versioned configuration document.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Document {
    /// Version of the document.
    pub version: u64,
    /// Declarations in YAML.
    pub text: Arc<str>,
    /// Revision of the configuration at which the document last changed, so that a node fetches only newer documents.
    #[serde(default)]
    pub revision: u64,
}

/// The complete configuration at a revision.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Configuration {
    /// Number of accepted changes.
    pub revision: u64,
    /// Documents by scope.
    pub documents: BTreeMap<Arc<str>, Document>,
    /// Leaving VMs and backend servers, each with its highest leaving incarnation.
    pub leaving: BTreeMap<Arc<str>, u64>,
}
