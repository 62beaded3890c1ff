//! The way of an entry to the state group that holds the turns.

use std::rc::Rc;
use std::time::Duration;

use futures::future::LocalBoxFuture;

use crate::codec::decode;
use crate::gateway::turn::Turns;
use crate::node::router::Router;
use crate::ports::GroupError;
use crate::turns::command::TurnCommand;
use crate::turns::command::TurnReply;

/// Hands commands to the first state group.
pub(super) struct TurnRoute(pub(super) Rc<Router>);

impl Turns for TurnRoute {
    fn commit(&self, command: TurnCommand) -> LocalBoxFuture<'static, Result<TurnReply, GroupError>> {
        let router = self.0.clone();
        Box::pin(async move {
            let coded = command.code(Duration::ZERO);
            let reply = match command {
                TurnCommand::Begin(_) => router.offer(coded).await?,
                TurnCommand::Finish(_) => router.submit(coded).await?,
            };
            decode(&reply).map_err(|failure| GroupError::Unknown { reason: failure.to_string().into() })
        })
    }
}
