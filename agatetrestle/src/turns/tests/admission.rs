//! Tests of what admission counts for a command that the log then refuses.

use std::sync::Arc;

use agatetrestle_config::deployment::AllowanceBounds;

use crate::clock::Timestamp;
use crate::routing::RateLimit;
use crate::routing::Team;
use crate::turns::admission::TurnAdmission;
use crate::turns::command::AdmissionParams;
use crate::turns::command::Begin;
use crate::turns::command::Take;
use crate::turns::command::TurnCommand;
use crate::turns::command::TurnReply;
use crate::turns::state::TurnState;

const TERM: u64 = 1;
const TEAM: &str = "team";

fn at(millis: u64) -> Timestamp {
    Timestamp(millis * 1_000)
}

/// An admission whose team's bucket is full.
fn admission() -> TurnAdmission {
    let mut admission = TurnAdmission::new(AllowanceBounds::default());
    let rate_limit = Some(RateLimit { per_second: 20.0, burst: 20.0 });
    let team = Team { name: TEAM.into(), keys: Vec::new(), priority: 1, rate_limit };
    admission.set_teams(at(0), &[Arc::new(team)]);
    let take = Take { team: TEAM.into(), program: None, begins: false };
    // The first request of a term empties the bucket, which then refills.
    admission.take(at(0), TERM, &take);
    admission
}

fn first_turn(program: &str) -> TurnCommand {
    TurnCommand::Begin(Begin {
        stream: None,
        program: program.into(),
        team: TEAM.into(),
        turn: format!("{program}-1").into(),
        budget: None,
        most: 1,
        previous: None,
        carried: Vec::new(),
        opening: Some(AdmissionParams {
            service: "engines".into(),
            route: "chat".into(),
            places: 100,
            charge: true,
            patience: 3_000,
            begins: true,
            ..AdmissionParams::default()
        }),
    })
}

/// Requests that a team may send at once.
fn tokens(admission: &mut TurnAdmission, millis: u64) -> usize {
    let take = Take { team: TEAM.into(), program: None, begins: false };
    (0..1_000).take_while(|_| admission.take(at(millis), TERM, &take) == TurnReply::Taken).count()
}

/// Guards against a rate limit that is charged for requests which the log refuses.
#[test]
fn withdrawn_command_is_not_charged() {
    let (mut charged, mut idle) = (admission(), admission());
    let state = TurnState::default();
    for number in 0..200 {
        let command = first_turn(&number.to_string());
        let admitted = charged.check(at(10_000), TERM, &command, &state).unwrap();
        charged.withdraw(TERM, &command, admitted);
    }
    assert_eq!(tokens(&mut charged, 10_000), tokens(&mut idle, 10_000));
}

/// Guards against tokens that a leader grants again in a later term, which would exceed the limit.
#[test]
fn nothing_is_refunded_in_another_term() {
    let (mut admission, state) = (admission(), TurnState::default());
    let command = first_turn("program");
    let admitted = admission.check(at(10_000), TERM, &command, &state).unwrap();
    let take = Take { team: TEAM.into(), program: None, begins: false };
    admission.take(at(10_000), TERM + 1, &take);
    admission.withdraw(TERM, &command, admitted);
    assert!(matches!(admission.take(at(10_000), TERM + 1, &take), TurnReply::Over(_)));
}
