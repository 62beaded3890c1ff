//! Admission of turns by the leader of a state group: rate limits of teams, limits of active programs, and placement.
//!
//! This state is not replicated: a new leader starts with empty buckets ([`crate::allowance`]) and no knowledge of servers.
//! Where teams are declared it rebuilds the active programs from the log; without teams it starts with none.

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
use crate::turns::command::AdmissionParams;
use crate::turns::command::Begin;
use crate::turns::command::Take;
use crate::turns::command::TurnCommand;
use crate::turns::command::TurnId;
use crate::turns::command::TurnReply;
use crate::turns::limiter::ProgramLimiter;
use crate::turns::limiter::ProgramStart;
use crate::turns::limiter::TurnStart;
use crate::turns::placement::Placement;
use crate::turns::program_admission;
use crate::turns::program_admission::ProgramAdmission;
use crate::turns::state::TurnState;
use crate::turns::state::account_key;

/// Hundredths of slots in one slot.
const HUNDREDTHS: f64 = 100.0;

/// Admission checks of one state group.
#[derive(Debug)]
pub struct TurnAdmission {
    rate_limiter: RateLimiter,
    program_limiter: ProgramLimiter,
    /// Replaces the limiter where teams are declared.
    program_admission: Option<TermAdmission>,
    placement: Placement,
}

/// What [`TurnAdmission::check`] counted for a command.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Admitted {
    /// Whether the command begins a program that counts as active.
    program: bool,
    /// Whether it was charged to its team's rate limit.
    charged: bool,
}

/// The admission of programs during one term.
#[derive(Debug, Default)]
struct TermAdmission {
    admission: ProgramAdmission,
    term: Option<u64>,
    /// Whether a command of this term was applied, so that all commands of earlier terms were.
    applied: bool,
}

impl TermAdmission {
    /// Rebuilds the programs from the log if this replica has begun to lead.
    fn start_term(&mut self, now: Timestamp, term: u64, state: &TurnState) {
        if self.term != Some(term) {
            self.term = Some(term);
            self.applied = false;
            self.admission.clear();
            self.reconcile(now, state);
        }
    }

    /// Reads the log again when the first command of the term was applied, since commands of earlier terms may have been
    /// applied since the term began.
    fn record_first_applied(&mut self, now: Timestamp, state: &TurnState) {
        if self.term.is_some() && !self.applied {
            self.applied = true;
            self.reconcile(now, state);
        }
    }

    fn reconcile(&mut self, now: Timestamp, state: &TurnState) {
        self.admission.reconcile(now, state.recent_programs());
        let (open, programs, _) = self.admission.counts();
        info!("Rebuilt the admission of programs from the log: open_turns={open} programs={programs}.");
    }
}

impl TurnAdmission {
    /// Starts without teams and active programs.
    #[must_use]
    pub fn new(bounds: AllowanceBounds) -> Self {
        Self {
            rate_limiter: RateLimiter::new(bounds),
            program_limiter: ProgramLimiter::default(),
            program_admission: None,
            placement: Placement::default(),
        }
    }

    /// Replaces the configured teams.
    pub fn set_teams(&mut self, now: Timestamp, teams: &[Arc<Team>]) {
        self.rate_limiter.set_teams(now, teams);
        if teams.is_empty() {
            self.program_admission = None;
        } else {
            self.program_admission.get_or_insert_default().admission.set_teams(teams);
        }
    }

    /// Checks a command before the leader of `term` appends it to the log, and returns what was counted for it.
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
    ) -> Result<Admitted, TurnReply> {
        let TurnCommand::Begin(begin) = command else {
            return Ok(Admitted::default());
        };
        // A turn that is already open was checked when it first arrived.
        let Some(params) = begin.opening.as_ref().filter(|_| !is_open(state, begin)) else {
            return Ok(Admitted::default());
        };
        if let Some(term_admission) = &mut self.program_admission {
            term_admission.start_term(now, term, state);
        }
        let mut admitted = Admitted { program: starts_program(state, begin), charged: false };
        if admitted.program {
            self.admit_program(now, begin, params)?;
        }
        if params.charge {
            if let Err(reply) = self.charge(now, term, outgoing_request(begin, admitted)) {
                self.withdraw(term, command, admitted);
                return Err(reply);
            }
            admitted.charged = true;
        }
        Ok(admitted)
    }

    /// Takes back what [`Self::check`] counted for a command that certainly did not enter the log.
    pub fn withdraw(&mut self, term: u64, command: &TurnCommand, admitted: Admitted) {
        let TurnCommand::Begin(begin) = command else {
            return;
        };
        self.placement.abandon(&begin.turn);
        if admitted.charged {
            self.rate_limiter.refund(term, outgoing_request(begin, admitted));
        }
        if admitted.program
            && let Some(params) = &begin.opening
            && let Some(TermAdmission { admission, .. }) = &mut self.program_admission
        {
            admission.withdraw(&params.service, &account_key(&begin.team, &begin.program));
        }
    }

    /// Decides whether a program may begin.
    fn admit_program(
        &mut self,
        now: Timestamp,
        begin: &Begin,
        params: &AdmissionParams,
    ) -> Result<(), TurnReply> {
        let Some(TermAdmission { admission, .. }) = &mut self.program_admission else {
            return self.admit_to_limiter(now, begin, params);
        };
        let capacity = params.capacity.unwrap_or(params.places.saturating_mul(100));
        let start = program_admission::ProgramStart {
            service: &params.service,
            route: &params.route,
            team: &begin.team,
            program: &account_key(&begin.team, &begin.program),
            class: params.priority,
            capacity: f64::from(capacity) / HUNDREDTHS,
            finish_in: params.finish_in.map(Duration::from_millis),
            patience: Duration::from_millis(params.patience),
        };
        admission.check(now, &start).map_err(|refusal| {
            let retry_ms = millis(refusal.retry_after);
            info!(
                "turn={} program={} team={} route={} priority={} may not begin: reason={} retry_ms={retry_ms} \
                 capacity={:.1} demand={:.1}",
                begin.turn,
                begin.program,
                begin.team,
                params.route,
                params.priority,
                refusal.reason,
                refusal.capacity,
                refusal.demand
            );
            TurnReply::Crowded(retry_ms)
        })
    }

    fn admit_to_limiter(
        &mut self,
        now: Timestamp,
        begin: &Begin,
        params: &AdmissionParams,
    ) -> Result<(), TurnReply> {
        let start = ProgramStart {
            service: &params.service,
            route: &params.route,
            slots: params.places,
            program: &begin.program,
            turn: &begin.turn,
            finish_in: params.finish_in.map(Duration::from_millis),
        };
        self.program_limiter.admit(now, start).map_err(|millis| {
            let (open, programs) = self.program_limiter.counts();
            info!(
                "turn={} program={} is over the program limit: open_turns={open} programs={programs} places={} \
                 retry_ms={millis}",
                begin.turn, begin.program, params.places
            );
            TurnReply::Crowded(millis)
        })
    }

    /// Open turns and active programs.
    #[must_use]
    pub fn counts(&self) -> (usize, usize) {
        match &self.program_admission {
            Some(TermAdmission { admission, .. }) => {
                let (open, programs, _) = admission.counts();
                (open as usize, programs as usize)
            }
            None => self.program_limiter.counts(),
        }
    }

    /// Chooses among the candidates of a turn that [`Self::check`] let pass; see [`Placement::place`].
    pub fn place(&mut self, now: Timestamp, command: &TurnCommand) -> Option<u32> {
        let TurnCommand::Begin(begin) = command else {
            return None;
        };
        for report in self.placement.take_report(now) {
            info!("{report}");
        }
        self.placement.place(now, begin)
    }

    /// The index of the candidate that was chosen for an open turn, if it is not the entry's own choice.
    #[must_use]
    pub fn placed(&self, turn: &TurnId) -> Option<u32> {
        self.placement.placed(turn)
    }

    /// Forgets the choice for a turn whose command was not applied.
    pub fn abandon(&mut self, command: &TurnCommand) {
        if let TurnCommand::Begin(begin) = command {
            self.placement.abandon(&begin.turn);
        }
    }

    /// Updates the active programs and the load of servers after a command was applied.
    pub fn record_applied(&mut self, now: Timestamp, command: &TurnCommand, state: &TurnState) {
        if let Some(term_admission) = &mut self.program_admission {
            term_admission.record_first_applied(now, state);
        }
        match command {
            TurnCommand::Begin(begin) if is_open(state, begin) => self.record_begin(now, begin),
            TurnCommand::Finish(finish) => {
                self.placement.finish(now, finish);
                let server_time = finish.ran.map(Duration::from_millis);
                match &mut self.program_admission {
                    Some(TermAdmission { admission, .. }) => admission.finish(now, &finish.turn, server_time),
                    None => self.program_limiter.finish(now, &finish.turn, server_time),
                }
            }
            TurnCommand::Begin(_) => self.abandon(command),
            _ => {}
        }
    }

    fn record_begin(&mut self, now: Timestamp, begin: &Begin) {
        let Some(params) = &begin.opening else {
            return;
        };
        let (service, route, turn) = (&params.service, &params.route, &begin.turn);
        let timeout = Duration::from_millis(params.patience);
        if let Some(TermAdmission { admission, .. }) = &mut self.program_admission {
            let program = &account_key(&begin.team, &begin.program);
            let (team, class) = (&begin.team, params.priority);
            let start = program_admission::TurnStart { service, route, team, program, turn, class, timeout };
            admission.begin(now, start);
        } else {
            let start = TurnStart { service, route, program: &begin.program, turn, timeout };
            self.program_limiter.begin(now, start);
        }
    }

    /// Turns that count as open.
    #[cfg(test)]
    pub(crate) fn open_turns(&self) -> usize {
        match &self.program_admission {
            Some(TermAdmission { admission, .. }) => {
                usize::try_from(admission.counts().0).unwrap_or(usize::MAX)
            }
            None => self.program_limiter.counts().0,
        }
    }

    /// Charges one request to a team's rate limit, as the leader of `term`.
    pub fn take(&mut self, now: Timestamp, term: u64, take: &Take) -> TurnReply {
        let kind = if take.begins { RequestKind::Beginning } else { RequestKind::Request };
        let request = OutgoingRequest { team: &take.team, program: take.program.as_ref(), kind };
        self.charge(now, term, request).err().unwrap_or(TurnReply::Taken)
    }

    fn charge(&mut self, now: Timestamp, term: u64, request: OutgoingRequest<'_>) -> Result<(), TurnReply> {
        self.rate_limiter.take(now, term, request).map_err(|denial| match denial {
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

/// Whether a begin is the first turn of its program, by the state of this replica.
#[must_use]
pub fn starts_program(state: &TurnState, begin: &Begin) -> bool {
    begin.previous.is_none() && !state.has_begun(&begin.team, &begin.program)
}

fn outgoing_request(begin: &Begin, admitted: Admitted) -> OutgoingRequest<'_> {
    let kind = if admitted.program { RequestKind::Beginning } else { RequestKind::Request };
    OutgoingRequest { team: &begin.team, program: Some(&begin.program), kind }
}

fn is_open(state: &TurnState, begin: &Begin) -> bool {
    state.is_open(&begin.team, &begin.program, &begin.turn)
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
