//! Reserves a program's turn at its state group, and settles and retains it when it ends.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use agatetrestle_config::deployment::Placement;
use futures::channel::oneshot;
use futures::future::Either;
use futures::future::LocalBoxFuture;
use futures::future::select;
use log::warn;

use crate::codec::Blob;
use crate::dispatch::ServerLoad;
use crate::gateway::Gateway;
use crate::ports::GroupError;
use crate::suspects::Fingerprint;
use crate::turns::command::Begin;
use crate::turns::command::Finish;
use crate::turns::command::RetainedTurn;
use crate::turns::command::TurnCommand;
use crate::turns::command::TurnId;
use crate::turns::command::TurnReply;

/// Commits turn commands to the state groups.
pub trait TurnClient {
    /// Commits a command to the group of its program or team.
    fn commit(&self, command: TurnCommand) -> LocalBoxFuture<'static, Result<TurnReply, GroupError>>;

    /// Returns once the entries in touch with the group of a suspect know it, or after a short time.
    fn announce(&self, fingerprint: Fingerprint) -> LocalBoxFuture<'static, ()>;

    /// Commits a begin. If its leader is certain before the commit that the turn will be granted, `early` gets the reply
    /// then. The future must be awaited all the same: the commit can still fail.
    fn begin(
        &self,
        begin: Begin,
        early: oneshot::Sender<TurnReply>,
    ) -> LocalBoxFuture<'static, Result<TurnReply, GroupError>>;
}

/// The reply to a begin, and its commit if the reply came ahead of it.
pub struct Reservation {
    /// The leader's reply.
    pub reply: TurnReply,
    /// The commit, unless it is complete.
    pub commit: Option<LocalBoxFuture<'static, Result<TurnReply, GroupError>>>,
}

/// A reserved turn. Dropping it unsettled settles it in the background with the tokens delivered so far.
pub struct OpenTurn {
    gateway: Rc<Gateway>,
    program: Arc<str>,
    team: Arc<str>,
    name: TurnId,
    spent: u64,
    run_ms: Option<u64>,
    /// The server that it was last sent to, with its load as it reported it, and whether it failed the turn.
    server: Option<Arc<str>>,
    load: Option<(u32, u32)>,
    failed: bool,
    settled: bool,
}

/// The text of a turn that later turns can continue from.
#[derive(Clone, Debug)]
pub struct Transcript {
    /// The turn that this one continued.
    pub previous: Option<TurnId>,
    /// How long the transcript is retained.
    pub retention_ms: u64,
    /// The caller's text followed by the text generated so far.
    pub text: Vec<u8>,
}

impl OpenTurn {
    /// Reserves a turn's tokens and fetches the turns that it continues. The caller must hold the returned turn until the
    /// request ends whatever the reply is, since the reservation may have taken effect.
    pub async fn reserve(gateway: &Rc<Gateway>, begin: Begin) -> (Self, Result<Reservation, GroupError>) {
        let turn = Self {
            gateway: gateway.clone(),
            program: begin.program.clone(),
            team: begin.team.clone(),
            name: begin.turn.clone(),
            spent: 0,
            run_ms: None,
            server: None,
            load: None,
            failed: false,
            settled: false,
        };
        let (early_sender, early) = oneshot::channel();
        let (early, commit) = match select(gateway.turns.begin(begin, early_sender), early).await {
            Either::Left((reply, _)) => {
                return (turn, reply.map(|reply| Reservation { reply, commit: None }));
            }
            Either::Right(outcome) => outcome,
        };
        match early {
            Ok(reply @ TurnReply::Begun { .. }) => (turn, Ok(Reservation { reply, commit: Some(commit) })),
            _ => (turn, commit.await.map(|reply| Reservation { reply, commit: None })),
        }
    }

    /// Counts tokens delivered to the caller.
    pub fn add_tokens(&mut self, tokens: u64) {
        self.spent += tokens;
    }

    /// Records how long the server took to run the whole turn.
    pub fn record_run_time(&mut self, took: Duration) {
        self.run_ms = u64::try_from(took.as_millis()).ok();
    }

    /// Records that the turn is sent to a server.
    pub fn record_server(&mut self, server: &Arc<str>) {
        (self.server, self.load, self.failed) = (Some(server.clone()), None, false);
    }

    /// Records the load that the server reported with its response, and whether that is an error of the server.
    pub fn record_head(&mut self, load: Option<ServerLoad>, failed: bool) {
        self.load = load.map(|load| (load.running, load.waiting));
        self.failed = failed;
    }

    /// Records that the server did not complete the turn.
    pub fn record_failure(&mut self) {
        self.failed = true;
    }

    /// Settles the turn and retains its transcript.
    ///
    /// # Errors
    ///
    /// Fails if the state group did not confirm that the turn is settled.
    pub async fn retain(mut self, transcript: Transcript) -> Result<(), GroupError> {
        let Transcript { previous, retention_ms, text } = transcript;
        let kept = RetainedTurn { previous, text: Blob::from(&text[..]), retention: retention_ms };
        let command = self.finish_command(Some(kept));
        let reply = self.gateway.turns.commit(command).await?;
        self.settled = reply == TurnReply::Settled;
        if self.settled {
            return Ok(());
        }
        Err(GroupError::Unknown { reason: format!("{reply:?}").into() })
    }

    /// Drops the turn without settling it, after the state group refused the reservation.
    pub fn discard(mut self) {
        self.settled = true;
    }

    fn finish_command(&self, kept: Option<RetainedTurn>) -> TurnCommand {
        let (program, team, turn) = (self.program.clone(), self.team.clone(), self.name.clone());
        let finish =
            Finish { program, team, turn, spent: self.spent, ran: self.run_ms, kept, ..Finish::default() };
        TurnCommand::Finish(match self.gateway.placement {
            Placement::Entry => finish,
            Placement::Leader => {
                Finish { server: self.server.clone(), load: self.load, failed: self.failed, ..finish }
            }
        })
    }
}

impl Drop for OpenTurn {
    fn drop(&mut self) {
        if self.settled {
            return;
        }
        let reply = self.gateway.turns.commit(self.finish_command(None));
        let (program, name) = (self.program.clone(), self.name.clone());
        let settle = async move {
            if let Err(error) = reply.await {
                // The reservation stands, so the program's remaining budget is underestimated.
                warn!("turn={name} program={program} could not be settled: {error}.");
            }
        };
        self.gateway.executor.spawn(settle).detach();
    }
}
