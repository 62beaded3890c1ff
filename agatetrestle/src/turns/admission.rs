//! What the leader of a state group weighs before a turn begins: its team's account and how many programs are under way.
//!
//! Nothing of this is in the log. A new leader begins with empty accounts ([`crate::allowance`]) and an open [`ProgramLimiter`].

use std::sync::Arc;
use std::time::Duration;

use agatetrestle_config::deployment::AllowanceBounds;
use log::info;

use crate::allowance::Denial;
use crate::allowance::OutgoingRequest;
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

/// The accounts and the door of one group.
#[derive(Debug)]
pub struct TurnAdmission {
    accounts: RateLimiter,
    door: ProgramLimiter,
}

impl TurnAdmission {
    /// Before anything is known.
    #[must_use]
    pub fn new(bounds: AllowanceBounds) -> Self {
        Self { accounts: RateLimiter::new(bounds), door: ProgramLimiter::default() }
    }

    /// Takes in the declared teams.
    pub fn set_teams(&mut self, now: Timestamp, teams: &[Arc<Team>]) {
        self.accounts.set_teams(now, teams);
    }

    /// Weighs a command before it enters the log of the leader of a term.
    ///
    /// # Errors
    ///
    /// The reply where it must not enter the log.
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
        // Handed over again: it was weighed when it came first.
        let Some(opening) = begin.opening.as_ref().filter(|_| !is_open(state, begin)) else {
            return Ok(());
        };
        let begins = !state.has_begun(&begin.team, &begin.program) && begin.previous.is_none();
        let coming = ProgramStart {
            service: &opening.service,
            kind: &opening.route,
            places: opening.places,
            program: &begin.program,
            turn: &begin.turn,
            finish_in: opening.finish_in.map(Duration::from_millis),
        };
        if begins && let Err(millis) = self.door.admit(now, coming) {
            let (open, programs) = self.door.counts();
            info!(
                "turn={} program={} is turned away: open_turns={open} programs={programs} places={} retry_ms={millis}",
                begin.turn, begin.program, opening.places
            );
            return Err(TurnReply::Crowded(millis));
        }
        if opening.charge {
            let need = if begins { RequestKind::Beginning } else { RequestKind::Request };
            self.charge(
                now,
                term,
                OutgoingRequest { team: &begin.team, program: Some(&begin.program), need },
            )?;
        }
        Ok(())
    }

    /// Takes in a command that was applied.
    pub fn record_applied(&mut self, now: Timestamp, command: &TurnCommand, state: &TurnState) {
        match command {
            TurnCommand::Begin(begin) if is_open(state, begin) => {
                if let Some(opening) = &begin.opening {
                    let beginning = TurnStart {
                        service: &opening.service,
                        kind: &opening.route,
                        program: &begin.program,
                        turn: &begin.turn,
                        patience: Duration::from_millis(opening.patience),
                    };
                    self.door.begin(now, beginning);
                }
            }
            TurnCommand::Finish(finish) => {
                self.door.finish(now, &finish.turn, finish.ran.map(Duration::from_millis));
            }
            _ => {}
        }
    }

    /// Takes one request from a team's account, for the leader of a term.
    pub fn take(&mut self, now: Timestamp, term: u64, take: &Take) -> TurnReply {
        let need = if take.begins { RequestKind::Beginning } else { RequestKind::Request };
        let asked = OutgoingRequest { team: &take.team, program: take.program.as_ref(), need };
        self.charge(now, term, asked).err().unwrap_or(TurnReply::Taken)
    }

    fn charge(&mut self, now: Timestamp, term: u64, asked: OutgoingRequest<'_>) -> Result<(), TurnReply> {
        self.accounts.take(now, term, asked).map_err(|denial| match denial {
            Denial::OverLimit(after) => {
                let OutgoingRequest { team, need, .. } = asked;
                info!("team={team} need={need:?} is over its allowance: retry_ms={}", after.as_millis());
                TurnReply::Over(millis(after))
            }
            Denial::UnknownTeam => TurnReply::UnknownTeam,
        })
    }
}

fn is_open(state: &TurnState, begin: &Begin) -> bool {
    state.is_open(&begin.team, &begin.program, &begin.turn)
}

fn millis(span: Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}
