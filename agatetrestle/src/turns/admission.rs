//! Admission of turns by the leader of a state group: rate limits of teams and limits of active programs.
//!
//! This state is not replicated: a new leader starts with full windows ([`crate::allowance`]) and no active programs.

use std::sync::Arc;
use std::time::Duration;

use agatetrestle_config::deployment::AllowanceBounds;
use log::info;

use crate::allowance::Denial;
use crate::allowance::OutgoingRequest;
use crate::allowance::ProgramSize;
use crate::allowance::RateLimiter;
use crate::allowance::RequestKind;
use crate::clock::Timestamp;
use crate::routing::Team;
use crate::turns::command::Begin;
use crate::turns::command::Take;
use crate::turns::command::TurnCommand;
use crate::turns::command::TurnReply;
use crate::turns::limiter::ProgramLimiter;
use crate::turns::limiter::ProgramStart;
use crate::turns::limiter::TurnStart;
use crate::turns::state::TurnState;

/// Admission checks of one state group.
#[derive(Debug)]
pub struct TurnAdmission {
    rate_limiter: RateLimiter,
    program_limiter: ProgramLimiter,
}

impl TurnAdmission {
    /// Starts without teams and active programs.
    #[must_use]
    pub fn new(bounds: AllowanceBounds) -> Self {
        Self { rate_limiter: RateLimiter::new(bounds), program_limiter: ProgramLimiter::default() }
    }

    /// Replaces the configured teams.
    pub fn set_teams(&mut self, now: Timestamp, teams: &[Arc<Team>]) {
        self.rate_limiter.set_teams(now, teams);
    }

    /// Checks a command before the leader of `term` appends it to the log.
    ///
    /// # Errors
    ///
    /// The reply to a command that must not be appended.
    pub fn check(
        &mut self,
        now: Timestamp,
        term: u64,
        command: &TurnCommand,
        state: &TurnState,
    ) -> Result<(), TurnReply> {
        let TurnCommand::Begin(begin) = command else {
            return Ok(());
        };
        // A turn that is already open was checked when it first arrived.
        let Some(params) = begin.opening.as_ref().filter(|_| !is_open(state, begin)) else {
            return Ok(());
        };
        let starts_program = !state.has_begun(&begin.team, &begin.program) && begin.previous.is_none();
        let start = ProgramStart {
            service: &params.service,
            route: &params.route,
            slots: params.places,
            program: &begin.program,
            turn: &begin.turn,
            finish_in: params.finish_in.map(Duration::from_millis),
        };
        if starts_program && let Err(millis) = self.program_limiter.admit(now, start) {
            let (open, programs) = self.program_limiter.counts();
            info!(
                "turn={} program={} is over the program limit: open_turns={open} programs={programs} places={} \
                 retry_ms={millis}",
                begin.turn, begin.program, params.places
            );
            return Err(TurnReply::Crowded(millis));
        }
        if params.charge {
            let kind = if starts_program { RequestKind::Beginning } else { RequestKind::Request };
            let size = ProgramSize { route: Some(&params.route), finish_in: start.finish_in };
            let request = OutgoingRequest { team: &begin.team, program: Some(&begin.program), kind };
            self.charge(now, term, request, size)?;
        }
        Ok(())
    }

    /// Updates the active programs after a command was applied.
    pub fn record_applied(&mut self, now: Timestamp, command: &TurnCommand, state: &TurnState) {
        match command {
            TurnCommand::Begin(begin) if is_open(state, begin) => {
                if let Some(params) = &begin.opening {
                    let start = TurnStart {
                        service: &params.service,
                        route: &params.route,
                        program: &begin.program,
                        turn: &begin.turn,
                        timeout: Duration::from_millis(params.patience),
                    };
                    self.program_limiter.begin(now, start);
                }
            }
            TurnCommand::Finish(finish) => {
                self.program_limiter.finish(now, &finish.turn, finish.ran.map(Duration::from_millis));
            }
            _ => {}
        }
    }

    /// Charges one request to a team's rate limit, as the leader of `term`.
    pub fn take(&mut self, now: Timestamp, term: u64, take: &Take) -> TurnReply {
        let kind = if take.begins { RequestKind::Beginning } else { RequestKind::Request };
        let request = OutgoingRequest { team: &take.team, program: take.program.as_ref(), kind };
        let finish_in = take.finish_in.map(Duration::from_millis);
        let size = ProgramSize { route: take.route.as_ref(), finish_in };
        self.charge(now, term, request, size).err().unwrap_or(TurnReply::Taken)
    }

    fn charge(
        &mut self,
        now: Timestamp,
        term: u64,
        request: OutgoingRequest<'_>,
        size: ProgramSize<'_>,
    ) -> Result<(), TurnReply> {
        self.rate_limiter.take_sized(now, term, request, size).map_err(|denial| match denial {
            Denial::OverLimit(retry_after) => {
                let OutgoingRequest { team, kind, .. } = request;
                info!(
                    "team={team} need={kind:?} is over its rate limit: retry_ms={}",
                    retry_after.as_millis()
                );
                TurnReply::Over(millis(retry_after))
            }
            Denial::UnknownTeam => TurnReply::UnknownTeam,
        })
    }
}

fn is_open(state: &TurnState, begin: &Begin) -> bool {
    state.is_open(&begin.team, &begin.program, &begin.turn)
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
