//! The operator calls in terms of the ports, independent of the RPC encoding.

use std::sync::Arc;

use agatetrestle_config::ConfigError;
use agatetrestle_config::Declarations;
use agatetrestle_config::declarations::SHARED_SCOPE;
use snafu::OptionExt;

use crate::control::command::ControlCommand;
use crate::control::command::ControlReply;
use crate::control::command::Document;
use crate::ids::CallNumber;
use crate::ids::ProgramId;
use crate::operator::OperatorServer;
use crate::operator::error::CallError;
use crate::operator::error::InvalidProgramIdSnafu;
use crate::operator::error::NoSuchNameSnafu;
use crate::operator::rows::MAX_ROWS;
use crate::programs::command::ProgramCommand;
use crate::programs::command::ProgramQuery;
use crate::programs::command::ProgramReply;
use crate::programs::command::ProgramView;
use crate::programs::command::QueryReply;

impl OperatorServer {
    /// The document in force on this node, or an empty one of version 0.
    pub(super) fn document(&self, scope: &str) -> Document {
        let empty = || Document { version: 0, text: "".into(), revision: 0 };
        self.control.configuration().documents.get(scope).cloned().unwrap_or_else(empty)
    }

    /// Validates a document together with the shared one in force, if there is one.
    pub(super) fn check(&self, scope: &str, text: &str) -> Result<(), ConfigError> {
        let shared = self.document(SHARED_SCOPE);
        let shared =
            Declarations::parse_unchecked(SHARED_SCOPE, &shared.text).ok().filter(|_| shared.version > 0);
        Declarations::parse_with_shared(scope, text, shared.as_ref()).map(drop)
    }

    /// Programs of one partner, or of all declared partners where `partner` is empty.
    pub(super) async fn programs(&self, partner: &str, limit: u32) -> Result<Vec<ProgramView>, CallError> {
        let limit = if limit == 0 { MAX_ROWS } else { limit.min(MAX_ROWS) };
        let mut views = Vec::new();
        for partner in self.partners(partner) {
            if let QueryReply::Many(list) = self.ledger.query(ProgramQuery::List(partner, limit)).await? {
                views.extend(list);
            }
        }
        views.truncate(limit as usize);
        Ok(views)
    }

    fn partners(&self, partner: &str) -> Vec<Arc<str>> {
        if !partner.is_empty() {
            return vec![partner.into()];
        }
        let configuration = self.control.configuration();
        configuration.documents.keys().filter(|scope| &***scope != SHARED_SCOPE).cloned().collect()
    }

    /// Marks a node or backend server as leaving, and returns the incarnation that the mark applies to.
    pub(super) async fn mark_leaving(&self, name: Arc<str>) -> Result<u64, CallError> {
        let incarnation = self.incarnation(&name).context(NoSuchNameSnafu { name: name.clone() })?;
        match self.control.commit(ControlCommand::Leave { name, incarnation }).await? {
            ControlReply::Leaving { incarnation } => Ok(incarnation),
            _ => Err(CallError::UnexpectedReply),
        }
    }

    /// Current incarnation of a node; 0 for a backend server, which has none.
    fn incarnation(&self, name: &str) -> Option<u64> {
        let members = self.members.members();
        let newest = members.iter().filter(|m| &*m.vm == name).map(|m| m.incarnation).max();
        let declared = || self.backends.backends().iter().any(|b| &*b.name == name);
        newest.or_else(|| declared().then_some(0))
    }

    /// Records whether a call with an unknown outcome ran.
    pub(super) async fn resolve(
        &self,
        program: Arc<str>,
        call: u32,
        ran: bool,
        note: Arc<str>,
    ) -> Result<(), CallError> {
        let program = ProgramId::parse(&program).context(InvalidProgramIdSnafu { text: program })?;
        let command = ProgramCommand::Resolve { program, call: CallNumber(call), ran, note };
        match self.ledger.commit(command).await? {
            ProgramReply::Done(_) => Ok(()),
            ProgramReply::Refused(refusal) => Err(CallError::NotResolved { refusal }),
            _ => Err(CallError::UnexpectedReply),
        }
    }
}
