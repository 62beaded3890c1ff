//! The leader's admission with the replicated state: with teams the rule under test, without teams the present limiter.

use std::sync::Arc;

use agatetrestle_config::deployment::AllowanceBounds;

use crate::routing::RateLimit;
use crate::routing::Team;
use crate::turns::admission::TurnAdmission;
use crate::turns::clock::LeaderClock;
use crate::turns::command::AdmissionParams;
use crate::turns::command::Begin;
use crate::turns::command::Finish;
use crate::turns::command::TimedCommand;
use crate::turns::command::TurnCommand;
use crate::turns::command::TurnReply;
use crate::turns::state::TurnState;
use crate::turns::tests::contention::Admission;
use crate::turns::tests::contention::BURST_TEAM;
use crate::turns::tests::contention::Program;
use crate::turns::tests::contention::SLOTS;
use crate::turns::tests::contention::TEAMS;
use crate::turns::tests::contention::URGENT;
use crate::turns::tests::contention::at;

pub(super) struct Leader {
    admission: TurnAdmission,
    state: TurnState,
    teams: Vec<Arc<Team>>,
    term: u64,
    clock: LeaderClock,
}

impl Leader {
    pub(super) fn with_teams() -> Self {
        // Limits are in proportion to the usual loads.
        let team = |index: usize| Team {
            name: team_name(index),
            keys: Vec::new(),
            priority: 0,
            rate_limit: Some(RateLimit {
                per_second: if index == BURST_TEAM { 200.0 } else { 60.0 },
                burst: 0.0,
            }),
        };
        Self::new((0..TEAMS).map(team).map(Arc::new).collect())
    }

    pub(super) fn without_teams() -> Self {
        Self::new(Vec::new())
    }

    fn new(teams: Vec<Arc<Team>>) -> Self {
        let mut admission = TurnAdmission::new(AllowanceBounds::default());
        admission.set_teams(at(0), &teams);
        Self { admission, state: TurnState::default(), teams, term: 1, clock: LeaderClock::default() }
    }

    fn begin_command(
        &self,
        now: u64,
        program: &Program,
        turn: &Arc<str>,
        patience: u64,
        previous: bool,
    ) -> TurnCommand {
        let opening = AdmissionParams {
            service: "engines".into(),
            route: if program.route == URGENT { "urgent".into() } else { "other".into() },
            places: SLOTS,
            patience: patience / 1_000,
            finish_in: Some(program.deadline.saturating_sub(now) / 1_000),
            begins: !previous,
            priority: if program.route == URGENT { 0 } else { 2 },
            ..AdmissionParams::default()
        };
        TurnCommand::Begin(Begin {
            stream: None,
            program: program.name.clone(),
            team: if self.teams.is_empty() { "".into() } else { team_name(program.team) },
            turn: turn.clone(),
            budget: None,
            most: 1,
            previous: None,
            carried: Vec::new(),
            opening: Some(opening),
        })
    }

    fn execute(&mut self, now: u64, command: &TurnCommand) {
        let elapsed = self.clock.advance(self.term, at(now));
        self.state.execute(TimedCommand { elapsed, command: command.clone() });
        self.admission.record_applied(at(now), command, &self.state);
    }
}

fn team_name(index: usize) -> Arc<str> {
    format!("team-{index}").into()
}

impl Admission for Leader {
    fn admit(&mut self, now: u64, program: &Program, turn: &Arc<str>, patience: u64) -> Result<(), u64> {
        let command = self.begin_command(now, program, turn, patience, false);
        match self.admission.check(at(now), self.term, &command, &self.state) {
            Ok(_) => Ok(()),
            Err(TurnReply::Crowded(millis)) => Err(millis),
            Err(reply) => panic!("{reply:?}"),
        }
    }

    fn begin(&mut self, now: u64, program: &Program, turn: &Arc<str>, patience: u64) {
        let command = self.begin_command(now, program, turn, patience, true);
        self.execute(now, &command);
    }

    fn finish(&mut self, now: u64, program: &Program, turn: &Arc<str>, server_us: u64) {
        let finish = Finish {
            program: program.name.clone(),
            team: if self.teams.is_empty() { "".into() } else { team_name(program.team) },
            turn: turn.clone(),
            ran: Some(server_us / 1_000),
            ..Finish::default()
        };
        self.execute(now, &TurnCommand::Finish(finish));
    }

    fn replace_leader(&mut self) {
        self.term += 1;
        let mut admission = TurnAdmission::new(AllowanceBounds::default());
        admission.set_teams(at(0), &self.teams);
        self.admission = admission;
    }
}
