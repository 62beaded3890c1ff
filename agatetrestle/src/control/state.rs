//! The replicated state machine of the control group.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::VecDeque;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;
use snafu::ResultExt;
use xxhash_rust::xxh3::xxh3_64;

use crate::agreement::RestoreError;
use crate::agreement::StateMachine;
use crate::agreement::UndecodableSnafu;
use crate::agreement::message::Position;
use crate::codec::decode;
use crate::codec::encode;
use crate::control::command::Configuration;
use crate::control::command::ControlCommand;
use crate::control::command::ControlReply;
use crate::control::command::Document;
use crate::control::command::ROUTES_SCOPE;
use crate::ids::NodeId;

/// Results retained per scope for retries, so that changes of one partner never evict results of another.
const MAX_RESULTS_PER_SCOPE: usize = 2_048;

#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
struct StoredResult {
    change_id: Arc<str>,
    digest: u64,
    reply: ControlReply,
}

#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
struct FencingToken {
    number: u64,
    term: u64,
    node: NodeId,
}

/// The state on which the control replicas agree.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct ControlState {
    configuration: Arc<Configuration>,
    results: BTreeMap<Arc<str>, VecDeque<StoredResult>>,
    fence: FencingToken,
    #[serde(default)]
    founding: Vec<BTreeSet<NodeId>>,
}

impl ControlState {
    /// The initial voters of each state group; empty until the groups are created.
    #[must_use]
    pub fn initial_voters(&self) -> &[BTreeSet<NodeId>] {
        &self.founding
    }

    /// The current routes, if any are published.
    #[must_use]
    pub fn routes(&self) -> Option<&Document> {
        self.configuration.documents.get(ROUTES_SCOPE)
    }

    /// The configuration as of the last applied command.
    #[must_use]
    pub fn configuration(&self) -> Arc<Configuration> {
        self.configuration.clone()
    }

    /// Applies a command; the reply is the same on every replica.
    pub fn execute(&mut self, command: ControlCommand) -> ControlReply {
        match command {
            ControlCommand::Apply { scope, text, expected, change_id } => {
                self.replace_document(scope, text, expected, change_id)
            }
            ControlCommand::Leave { name, incarnation } => self.mark_leaving(name, incarnation),
            ControlCommand::Publish { version, text } => self.publish_routes(version, text),
            ControlCommand::Found { groups } => self.create_groups(groups),
            ControlCommand::Fence { node, term } => self.issue_token(node, term),
        }
    }

    fn replace_document(
        &mut self,
        scope: Arc<str>,
        text: Arc<str>,
        expected: u64,
        change_id: Arc<str>,
    ) -> ControlReply {
        let digest = xxh3_64(text.as_bytes());
        let results = self.results.entry(scope.clone()).or_default();
        if let Some(first) = results.iter().rev().find(|result| result.change_id == change_id) {
            return if first.digest == digest { first.reply.clone() } else { ControlReply::Refused };
        }
        let current = self.configuration.documents.get(&scope);
        let version = current.map_or(0, |document| document.version);
        if version != expected {
            let text = current.map_or_else(|| "".into(), |document| document.text.clone());
            return ControlReply::Conflict { version, text };
        }
        let configuration = Arc::make_mut(&mut self.configuration);
        configuration.revision += 1;
        let revision = configuration.revision;
        configuration.documents.insert(scope, Document { version: version + 1, text, revision });
        let reply = ControlReply::Accepted { version: version + 1, revision: configuration.revision };
        if results.len() == MAX_RESULTS_PER_SCOPE {
            results.pop_front();
        }
        results.push_back(StoredResult { change_id, digest, reply: reply.clone() });
        reply
    }

    fn publish_routes(&mut self, version: u64, text: Arc<str>) -> ControlReply {
        let known = self.routes().map(|document| document.version);
        if let Some(known) = known
            && version <= known
        {
            return ControlReply::Published { version: known };
        }
        let configuration = Arc::make_mut(&mut self.configuration);
        configuration.revision += 1;
        let document = Document { version, text, revision: configuration.revision };
        configuration.documents.insert(ROUTES_SCOPE.into(), document);
        ControlReply::Published { version }
    }

    fn create_groups(&mut self, groups: Vec<BTreeSet<NodeId>>) -> ControlReply {
        if self.founding.is_empty() {
            self.founding = groups;
        }
        ControlReply::Founded { groups: self.founding.clone() }
    }

    fn mark_leaving(&mut self, name: Arc<str>, incarnation: u64) -> ControlReply {
        let marked = self.configuration.leaving.get(&name).copied();
        let highest = marked.map_or(incarnation, |marked| marked.max(incarnation));
        if marked != Some(highest) {
            let configuration = Arc::make_mut(&mut self.configuration);
            configuration.revision += 1;
            configuration.leaving.insert(name, highest);
        }
        ControlReply::Leaving { incarnation: highest }
    }

    fn issue_token(&mut self, node: NodeId, term: u64) -> ControlReply {
        if term < self.fence.term || (term == self.fence.term && node != self.fence.node) {
            return ControlReply::Refused;
        }
        if term > self.fence.term {
            self.fence = FencingToken { number: self.fence.number + 1, term, node };
        }
        ControlReply::Fenced(self.fence.number)
    }
}

impl StateMachine for ControlState {
    fn apply(&mut self, _position: Position, payload: &Arc<[u8]>) -> Vec<u8> {
        let reply = match decode::<ControlCommand>(payload) {
            Ok(command) => self.execute(command),
            Err(_) => ControlReply::Refused,
        };
        encode(&reply)
    }

    fn snapshot(&self) -> Vec<u8> {
        encode(self)
    }

    fn restore(&mut self, data: &[u8]) -> Result<(), RestoreError> {
        *self = decode(data).context(UndecodableSnafu)?;
        Ok(())
    }
}
