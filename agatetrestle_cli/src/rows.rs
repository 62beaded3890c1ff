//! Results of the commands, serialized as JSON or printed as table rows.

use std::sync::Arc;

use serde::Serialize;

use crate::options::ReplicaChange;
use crate::table::Row;

/// Result of an accepted change.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct AppliedRow {
    /// Name of the document.
    pub scope: Arc<str>,
    /// New version of the document.
    pub version: u64,
    /// New revision of the configuration.
    pub revision: u64,
    /// Change id; a retry with the same id returns this result.
    pub change_id: Arc<str>,
}

impl Row for AppliedRow {
    const HEADERS: &'static [&'static str] = &["SCOPE", "VERSION", "REVISION", "CHANGE ID"];

    fn cells(&self) -> Vec<String> {
        vec![
            self.scope.to_string(),
            self.version.to_string(),
            self.revision.to_string(),
            self.change_id.to_string(),
        ]
    }
}

/// Preview of a change.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct Plan {
    /// Current version of the document, to be expected when the change is applied.
    pub current_version: u64,
    /// Lines removed (`-`) and added (`+`).
    pub difference: Arc<str>,
}

/// Status of a node.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct NodeRow {
    /// Number of the node.
    pub node: u64,
    /// Name of its VM.
    pub vm: Arc<str>,
    /// Failure domain of its VM.
    pub failure_domain: Arc<str>,
    /// Region of its VM.
    pub region: Arc<str>,
    /// `live`, `stopping`, `silent` or `leaving`.
    pub state: Arc<str>,
    /// Revision of the configuration in force on it.
    pub revision: u64,
    /// Its address for callers.
    pub caller_address: Arc<str>,
}

impl Row for NodeRow {
    const HEADERS: &'static [&'static str] =
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

/// Status of a replicated group.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct GroupRow {
    /// Number of the group; 0 is the control group.
    pub group: u32,
    /// Node number of the leader, if known.
    pub leader: Option<u64>,
    /// Latest known term.
    pub term: u64,
    /// Highest known commit index.
    pub commit: u64,
    /// Node numbers of the voters.
    pub replicas: Vec<u64>,
}

impl Row for GroupRow {
    const HEADERS: &'static [&'static str] = &["GROUP", "LEADER", "TERM", "COMMIT", "REPLICAS"];

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

/// Status of the system in the view of one node.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct Status {
    /// Number of the answering node.
    pub node: u64,
    /// Revision of the configuration in force on it.
    pub revision: u64,
    /// Whether it accepts new work.
    pub taking_work: bool,
    /// Reason why it does not; empty otherwise.
    pub reason: Arc<str>,
    /// All known nodes.
    pub nodes: Vec<NodeRow>,
    /// The groups that it holds a replica of.
    pub groups: Vec<GroupRow>,
}

/// Status of a program.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct ProgramRow {
    /// Id of the program, `partner/name`.
    pub program: Arc<str>,
    /// Name of its team.
    pub team: Arc<str>,
    /// Name of its class.
    pub class: Arc<str>,
    /// `idle`, `calling`, `unknown` or `ended`.
    pub state: Arc<str>,
    /// Number of calls so far.
    pub calls: u32,
    /// Tokens spent so far.
    pub spent: u64,
    /// Maximum number of tokens.
    pub budget: u64,
}

impl Row for ProgramRow {
    const HEADERS: &'static [&'static str] =
        &["PROGRAM", "TEAM", "CLASS", "STATE", "CALLS", "SPENT", "BUDGET"];

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

/// Status of a backend server.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct BackendRow {
    /// Name in the declarations.
    pub name: Arc<str>,
    /// `engine` or `service`.
    pub kind: Arc<str>,
    /// IP address and port.
    pub address: Arc<str>,
    /// `ready`, `leaving` or `ejected`.
    pub state: Arc<str>,
    /// Number of calls of the answering node that it runs.
    pub running: u32,
    /// Number of calls in its queue by its last report.
    pub waiting: u32,
}

impl Row for BackendRow {
    const HEADERS: &'static [&'static str] = &["NAME", "KIND", "ADDRESS", "STATE", "RUNNING", "WAITING"];

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

/// Result of marking a VM or backend server as leaving.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct DrainRow {
    /// Name of the VM or backend server.
    pub name: Arc<str>,
    /// Incarnation that is leaving; newer incarnations are not affected.
    pub incarnation: u64,
}

impl Row for DrainRow {
    const HEADERS: &'static [&'static str] = &["LEAVING", "INCARNATION"];

    fn cells(&self) -> Vec<String> {
        vec![self.name.to_string(), self.incarnation.to_string()]
    }
}

/// A document in force.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct DocumentRow {
    /// Name of the partner, or `shared`.
    pub scope: Arc<str>,
    /// Version of the document.
    pub version: u64,
    /// Text as it was applied.
    pub text: Arc<str>,
}

impl Row for DocumentRow {
    const HEADERS: &'static [&'static str] = &["SCOPE", "VERSION", "LINES"];

    fn cells(&self) -> Vec<String> {
        vec![self.scope.to_string(), self.version.to_string(), self.text.lines().count().to_string()]
    }
}

/// The configuration in force on a node.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct ActiveConfig {
    /// Revision of the configuration.
    pub revision: u64,
    /// Documents of the configuration.
    pub documents: Vec<DocumentRow>,
}

/// Result of resolving a call of unknown outcome.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct ResolvedRow {
    /// Id of the program.
    pub program: Arc<str>,
    /// Number of the call.
    pub call: u32,
    /// Whether the call ran, according to the operator.
    pub ran: bool,
}

impl Row for ResolvedRow {
    const HEADERS: &'static [&'static str] = &["PROGRAM", "CALL", "RAN"];

    fn cells(&self) -> Vec<String> {
        vec![self.program.to_string(), self.call.to_string(), self.ran.to_string()]
    }
}

/// Result of a change of the replicas of a group.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct ReplicasRow {
    /// Number of the group.
    pub group: u32,
    /// The membership change.
    pub change: ReplicaChange,
    /// Number of the node.
    pub node: u64,
}

impl Row for ReplicasRow {
    const HEADERS: &'static [&'static str] = &["GROUP", "CHANGE", "NODE"];

    fn cells(&self) -> Vec<String> {
        vec![self.group.to_string(), format!("{:?}", self.change).to_lowercase(), self.node.to_string()]
    }
}
