//! Commands of the control group and their replies.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use crate::ids::NodeId;

/// A change to what the whole system agrees on.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum ControlCommand {
    /// Replace one document if its version is as expected.
    Apply {
        /// A partner's name or `shared`.
        scope: Arc<str>,
        /// The checked document.
        text: Arc<str>,
        /// Version the operator saw, 0 for none.
        expected: u64,
        /// Identity of the change; a resend returns the first result.
        change_id: Arc<str>,
    },
    /// Mark a VM or backend server as leaving, as of an incarnation.
    Leave {
        /// Name of the VM or backend server.
        name: Arc<str>,
        /// Incarnation that leaves; a newer one is live again.
        incarnation: u64,
    },
    /// Replace the table of routes if this version is higher than the one in force; else nothing changes.
    Publish {
        /// The operators' number of the table.
        version: u64,
        /// The checked table as the operators sent it.
        text: Arc<str>,
    },
    /// Say how many state groups there are and who holds the first replicas of each. The first such command stands for
    /// good: another number of groups would look for programs where they are not, and other replicas would not know what
    /// the first accepted.
    Found {
        /// The first voters of each group, in the order of the groups' numbers.
        groups: Vec<BTreeSet<NodeId>>,
    },
    /// Claim the right to give orders to engines; the reply holds a fencing number.
    Fence {
        /// The control leader that claims it.
        node: NodeId,
        /// Its term.
        term: u64,
    },
}

/// Reply to a control command.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum ControlReply {
    /// The document was replaced.
    Accepted {
        /// Version of the document.
        version: u64,
        /// Revision of the whole.
        revision: u64,
    },
    /// Another change came first.
    Conflict {
        /// Version in force.
        version: u64,
        /// Text in force.
        text: Arc<str>,
    },
    /// The table of routes in force has this version, which is the one published or a higher one.
    Published {
        /// The version in force.
        version: u64,
    },
    /// The first voters of each state group.
    Founded {
        /// Those of the first such command.
        groups: Vec<BTreeSet<NodeId>>,
    },
    /// The leaving mark was taken.
    Leaving {
        /// The highest incarnation marked.
        incarnation: u64,
    },
    /// Orders may carry this number.
    Fenced(u64),
    /// The command could not be read or is of an older term.
    Refused,
}

/// Scope of the document that holds the table of routes.
pub const ROUTES_SCOPE: &str = "routes";

/// A document in force.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Document {
    /// Counts the changes of this document.
    pub version: u64,
    /// The declarations in YAML.
    pub text: Arc<str>,
    /// Revision of the whole at which this document was last changed, so that a node fetches only what
    /// is newer than what it has.
    #[serde(default)]
    pub revision: u64,
}

/// Everything in force at a revision.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Configuration {
    /// Counts every accepted change.
    pub revision: u64,
    /// Documents by scope.
    pub documents: BTreeMap<Arc<str>, Document>,
    /// Leaving VMs and backend servers with the incarnation that leaves.
    pub leaving: BTreeMap<Arc<str>, u64>,
}
