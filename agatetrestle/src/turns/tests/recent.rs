//! The programs that the replicated state records for the next leader.

use std::sync::Arc;
use std::time::Duration;

use serde::Serialize;

use crate::agreement::StateMachine;
use crate::codec::decode;
use crate::codec::encode;
use crate::turns::command::AdmissionParams;
use crate::turns::command::Begin;
use crate::turns::command::Finish;
use crate::turns::command::TimedCommand;
use crate::turns::command::TurnCommand;
use crate::turns::state::TurnState;

/// What entries sent before they sent priorities.
#[derive(Serialize)]
struct ParamsWithoutPriority {
    service: &'static str,
    route: &'static str,
    places: u32,
    charge: bool,
    patience: u64,
    finish_in: Option<u64>,
    begins: bool,
}

fn begin(team: &str, priority: u8) -> TurnCommand {
    let opening = AdmissionParams {
        service: "engines".into(),
        route: "chat".into(),
        patience: 3_000,
        finish_in: Some(4_000),
        priority,
        ..AdmissionParams::default()
    };
    TurnCommand::Begin(Begin {
        stream: None,
        program: "p".into(),
        team: team.into(),
        turn: "a".into(),
        budget: None,
        most: 1,
        previous: None,
        carried: Vec::new(),
        opening: Some(opening),
    })
}

fn execute(state: &mut TurnState, millis: u64, command: TurnCommand) {
    state.execute(TimedCommand { elapsed: Duration::from_millis(millis), command });
}

/// Guards against a new leader that lacks what the log holds, also when it was restored from a snapshot.
#[test]
fn snapshot_holds_recent_programs() {
    let mut state = TurnState::default();
    execute(&mut state, 10, begin("red", 5));
    let mut restored = TurnState::default();
    restored.restore(&state.snapshot()).unwrap();
    assert_eq!(restored, state);
    let recent = restored.recent_programs();
    let (key, program) = recent.programs().next().unwrap();
    assert_eq!((&*program.service, program.priority, program.finish_in), ("engines", 5, Some(4_000)));
    assert!(recent.is_open(key, &Arc::from("a")));
    let finish = Finish {
        program: "p".into(),
        team: "red".into(),
        turn: "a".into(),
        ran: Some(200),
        ..Finish::default()
    };
    execute(&mut restored, 300, TurnCommand::Finish(finish));
    let (key, program) = restored.recent_programs().programs().next().unwrap();
    assert_eq!(program.ran, 200);
    assert!(!restored.recent_programs().is_open(key, &Arc::from("a")));
}

/// Guards against snapshots without teams that differ from those of older builds.
#[test]
fn state_without_teams_records_nothing() {
    let mut state = TurnState::default();
    execute(&mut state, 10, begin("", 5));
    assert!(state.recent_programs().is_empty());
    let snapshot = state.snapshot();
    assert!(!snapshot.windows(6).any(|window| window == b"recent"));
    let mut restored = TurnState::default();
    restored.restore(&snapshot).unwrap();
    assert!(restored.recent_programs().is_empty());
}

/// Guards against refusing commands of older entries.
#[test]
fn decodes_params_without_priority() {
    let params = ParamsWithoutPriority {
        service: "engines",
        route: "chat",
        places: 6,
        charge: true,
        patience: 3_000,
        finish_in: None,
        begins: true,
    };
    let decoded: AdmissionParams = decode(&encode(&params)).unwrap();
    assert_eq!((decoded.priority, decoded.capacity, decoded.places), (0, None, 6));
}
