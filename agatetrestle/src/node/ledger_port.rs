//! Access to the ledger through its state group.

use std::rc::Rc;

use futures::future::LocalBoxFuture;
use serde::de::DeserializeOwned;

use crate::codec::decode;
use crate::codec::encode;
use crate::node::router::Router;
use crate::ports::GroupError;
use crate::ports::Ledger;
use crate::programs::command::ProgramCommand;
use crate::programs::command::ProgramQuery;
use crate::programs::command::ProgramReply;
use crate::programs::command::ProgramRequest;
use crate::programs::command::QueryReply;

/// Forwards commands and queries to the state group.
pub struct LedgerPort {
    router: Rc<Router>,
}

impl LedgerPort {
    /// Creates a port that uses the router to the state group.
    #[must_use]
    pub fn new(router: Rc<Router>) -> Self {
        Self { router }
    }

    async fn submit<T: DeserializeOwned>(&self, request: ProgramRequest) -> Result<T, GroupError> {
        let reply = self.router.submit(encode(&request)).await?;
        decode(&reply).map_err(|error| GroupError::Unknown { reason: error.to_string().into() })
    }
}

impl Ledger for LedgerPort {
    fn commit(&self, command: ProgramCommand) -> LocalBoxFuture<'_, Result<ProgramReply, GroupError>> {
        Box::pin(self.submit(ProgramRequest::Command(command)))
    }

    fn query(&self, query: ProgramQuery) -> LocalBoxFuture<'_, Result<QueryReply, GroupError>> {
        Box::pin(self.submit(ProgramRequest::Query(query)))
    }
}
