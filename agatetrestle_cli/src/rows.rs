//! What each command prints, one small type a kind of row.

use std::sync::Arc;

use serde::Serialize;

use crate::options::ReplicaChange;
use crate::table::Row;

/// Outcome of an accepted change.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct AppliedRow {
    /// The document.
    pub scope: Arc<str>,
    /// Its version now.
    pub version: u64,
    /// Revision of everything in force.
    pub revision: u64,
    /// Identity of the change; a resend with it gives this same result.
    pub change_id: Arc<str>,
}

impl Row for AppliedRow {
    const HEADS: &'static [&'static str] = &["SCOPE", "VERSION", "REVISION", "CHANGE ID"];

    fn cells(&self) -> Vec<String> {
        vec![
            self.scope.to_string(),
            self.version.to_string(),
            self.revision.to_string(),
            self.change_id.to_string(),
        ]
    }
}

/// What a change would do.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct Plan {
    /// Version to expect when applying.
    pub current_version: u64,
    /// Lines removed (`-`) and added (`+`).
    pub difference: Arc<str>,
}

/// A node.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct NodeRow {
    /// Its number.
    pub node: u64,
    /// Its VM.
    pub vm: Arc<str>,
    /// Its failure domain.
    pub failure_domain: Arc<str>,
    /// Its region.
    pub region: Arc<str>,
    /// `live`, `stopping`, `silent` or `leaving`.
    pub state: Arc<str>,
    /// Newest revision in force on it.
    pub revision: u64,
    /// Where callers reach it.
    pub caller_address: Arc<str>,
}

impl Row for NodeRow {
    const HEADS: &'static [&'static str] =
        &["NODE", "VM", "FAILURE DOMAIN", "REGION", "STATE", "REVISION", "CALLERS"];

    fn cells(&self) -> Vec<String> {
        vec![
            self.node.to_string(),
            self.vm.to_string(),
            self.failure_domain.to_string(),
            self.region.to_string(),
            self.state.to_string(),
            self.revision.to_string(),
            self.caller_address.to_string(),
        ]
    }
}

/// A replicated group.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct GroupRow {
    /// Its number; 0 is the control group.
    pub group: u32,
    /// Its leader if known.
    pub leader: Option<u64>,
    /// Newest term seen.
    pub term: u64,
    /// Highest committed index known.
    pub commit: u64,
    /// Its voters.
    pub replicas: Vec<u64>,
}

impl Row for GroupRow {
    const HEADS: &'static [&'static str] = &["GROUP", "LEADER", "TERM", "COMMIT", "REPLICAS"];

    fn cells(&self) -> Vec<String> {
        let replicas: Vec<String> = self.replicas.iter().map(u64::to_string).collect();
        vec![
            self.group.to_string(),
            self.leader.map_or_else(|| "none".to_owned(), |leader| leader.to_string()),
            self.term.to_string(),
            self.commit.to_string(),
            replicas.join(" "),
        ]
    }
}

/// How one node sees the whole.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct Status {
    /// The node that answered.
    pub node: u64,
    /// Revision in force on it.
    pub revision: u64,
    /// Whether it takes new work.
    pub taking_work: bool,
    /// Why not, if it doesn't.
    pub reason: Arc<str>,
    /// All known nodes.
    pub nodes: Vec<NodeRow>,
    /// The groups of which it holds a replica.
    pub groups: Vec<GroupRow>,
}

/// A program.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct ProgramRow {
    /// Its id, `partner/name`.
    pub program: Arc<str>,
    /// Its team.
    pub team: Arc<str>,
    /// Its class.
    pub class: Arc<str>,
    /// `idle`, `calling`, `unknown` or `ended`.
    pub state: Arc<str>,
    /// Calls made.
    pub calls: u32,
    /// Tokens spent.
    pub spent: u64,
    /// Tokens it may spend.
    pub budget: u64,
}

impl Row for ProgramRow {
    const HEADS: &'static [&'static str] = &["PROGRAM", "TEAM", "CLASS", "STATE", "CALLS", "SPENT", "BUDGET"];

    fn cells(&self) -> Vec<String> {
        vec![
            self.program.to_string(),
            self.team.to_string(),
            self.class.to_string(),
            self.state.to_string(),
            self.calls.to_string(),
            self.spent.to_string(),
            self.budget.to_string(),
        ]
    }
}

/// A backend server.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct BackendRow {
    /// Declared name.
    pub name: Arc<str>,
    /// `engine` or `service`.
    pub kind: Arc<str>,
    /// IP number and port.
    pub address: Arc<str>,
    /// `ready`, `leaving` or `ejected`.
    pub state: Arc<str>,
    /// Calls of the answering node in service there.
    pub running: u32,
    /// Calls waiting there by its last report.
    pub waiting: u32,
}

impl Row for BackendRow {
    const HEADS: &'static [&'static str] = &["NAME", "KIND", "ADDRESS", "STATE", "RUNNING", "WAITING"];

    fn cells(&self) -> Vec<String> {
        vec![
            self.name.to_string(),
            self.kind.to_string(),
            self.address.to_string(),
            self.state.to_string(),
            self.running.to_string(),
            self.waiting.to_string(),
        ]
    }
}

/// A leaving mark.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct DrainRow {
    /// The VM or backend server.
    pub name: Arc<str>,
    /// The incarnation that leaves; a newer one is live again.
    pub incarnation: u64,
}

impl Row for DrainRow {
    const HEADS: &'static [&'static str] = &["LEAVING", "INCARNATION"];

    fn cells(&self) -> Vec<String> {
        vec![self.name.to_string(), self.incarnation.to_string()]
    }
}

/// A document in force.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct DocumentRow {
    /// The partner, or `shared`.
    pub scope: Arc<str>,
    /// Its version.
    pub version: u64,
    /// The text as it was applied.
    pub text: Arc<str>,
}

impl Row for DocumentRow {
    const HEADS: &'static [&'static str] = &["SCOPE", "VERSION", "LINES"];

    fn cells(&self) -> Vec<String> {
        vec![self.scope.to_string(), self.version.to_string(), self.text.lines().count().to_string()]
    }
}

/// Everything in force.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct InForce {
    /// Revision of the whole.
    pub revision: u64,
    /// The documents.
    pub documents: Vec<DocumentRow>,
}

/// A call that an operator settled.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct ResolvedRow {
    /// The program.
    pub program: Arc<str>,
    /// The call.
    pub call: u32,
    /// Whether it ran.
    pub ran: bool,
}

impl Row for ResolvedRow {
    const HEADS: &'static [&'static str] = &["PROGRAM", "CALL", "RAN"];

    fn cells(&self) -> Vec<String> {
        vec![self.program.to_string(), self.call.to_string(), self.ran.to_string()]
    }
}

/// A change of the replicas of a group.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct ReplicasRow {
    /// The group.
    pub group: u32,
    /// What was done.
    pub change: ReplicaChange,
    /// The node.
    pub node: u64,
}

impl Row for ReplicasRow {
    const HEADS: &'static [&'static str] = &["GROUP", "CHANGE", "NODE"];

    fn cells(&self) -> Vec<String> {
        vec![self.group.to_string(), format!("{:?}", self.change).to_lowercase(), self.node.to_string()]
    }
}
