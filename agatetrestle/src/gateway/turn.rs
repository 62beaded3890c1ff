//! The part of a request that the state group knows of: its reservation, and what is kept of it.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use futures::future::LocalBoxFuture;
use log::warn;

use crate::codec::Blob;
use crate::gateway::Gateway;
use crate::ports::GroupError;
use crate::turns::command::Begin;
use crate::turns::command::Finish;
use crate::turns::command::RetainedTurn;
use crate::turns::command::TurnCommand;
use crate::turns::command::TurnId;
use crate::turns::command::TurnReply;

/// The state group as a gateway sees it.
pub trait TurnClient {
    /// Commits a command and returns its reply.
    fn commit(&self, command: TurnCommand) -> LocalBoxFuture<'static, Result<TurnReply, GroupError>>;
}

/// A turn that has begun. Dropped before its end it is settled with what was handed out by then.
pub struct OpenTurn {
    gateway: Rc<Gateway>,
    program: Arc<str>,
    team: Arc<str>,
    name: TurnId,
    spent: u64,
    ran: Option<u64>,
    settled: bool,
}

/// What is kept of a turn.
#[derive(Clone, Debug)]
pub struct Keeping {
    /// The turn that it went on from.
    pub previous: Option<TurnId>,
    /// For how many milliseconds it is kept.
    pub retention: u64,
    /// What the caller sent, and what was generated so far.
    pub text: Vec<u8>,
}

impl OpenTurn {
    /// Reserves a turn's tokens and returns what it goes on from. Whatever the reply, and also where it is unknown, the
    /// turn that is returned must be kept until the request ended, since the reservation may stand.
    pub async fn begin(gateway: &Rc<Gateway>, begin: Begin) -> (Self, Result<TurnReply, GroupError>) {
        let turn = Self {
            gateway: gateway.clone(),
            program: begin.program.clone(),
            team: begin.team.clone(),
            name: begin.turn.clone(),
            spent: 0,
            ran: None,
            settled: false,
        };
        let reply = gateway.turns.commit(TurnCommand::Begin(begin)).await;
        (turn, reply)
    }

    /// Counts tokens that were handed to the caller.
    pub fn spend(&mut self, tokens: u64) {
        self.spent += tokens;
    }

    /// Notes how long the turn took at the server that ran it whole.
    pub fn note_run(&mut self, took: Duration) {
        self.ran = u64::try_from(took.as_millis()).ok();
    }

    /// Settles the turn and keeps it.
    ///
    /// # Errors
    ///
    /// Fails if the state group did not say that it is settled.
    pub async fn keep(mut self, keeping: Keeping) -> Result<(), GroupError> {
        let Keeping { previous, retention, text } = keeping;
        let kept = RetainedTurn { previous, text: Blob::from(&text[..]), retention };
        let finish = self.finish(Some(kept));
        let reply = self.gateway.turns.commit(finish).await?;
        self.settled = reply == TurnReply::Settled;
        if self.settled {
            return Ok(());
        }
        Err(GroupError::Unknown { reason: format!("{reply:?}").into() })
    }

    /// Notes that nothing was reserved, so that nothing has to be settled.
    pub fn forget(mut self) {
        self.settled = true;
    }

    fn finish(&self, kept: Option<RetainedTurn>) -> TurnCommand {
        let (program, team, turn) = (self.program.clone(), self.team.clone(), self.name.clone());
        TurnCommand::Finish(Finish { program, team, turn, spent: self.spent, ran: self.ran, kept })
    }
}

impl Drop for OpenTurn {
    fn drop(&mut self) {
        if self.settled {
            return;
        }
        let committing = self.gateway.turns.commit(self.finish(None));
        let (program, name) = (self.program.clone(), self.name.clone());
        let settling = async move {
            if let Err(failure) = committing.await {
                // The reservation stands, which can only make the budget seem smaller than it is.
                warn!("turn={name} program={program} was not settled: {failure}.");
            }
        };
        self.gateway.executor.spawn(settling).detach();
    }
}
