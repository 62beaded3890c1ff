//! The control group: a restart's fetch and a snapshot by changes, and the time of a change.

use agatetrestle::agreement::StateMachine;
use agatetrestle::control::command::ControlCommand;
use agatetrestle::control::command::ControlReply;
use agatetrestle::control::state::ControlState;

use crate::fit::Line;
use crate::fit::Unit;
use crate::fit::nanoseconds;

const TEAMS: [u32; 4] = [100, 200, 400, 800];
/// Teams in steady use, in two documents of which one holds most.
const CARRIED_TEAMS: f64 = 2_200.0;
const CHANGES: [u64; 4] = [100, 400, 1_000, 2_000];
/// First results that are kept for a document; later changes push out the oldest.
const CARRIED_CHANGES: f64 = 2_048.0;

fn document(teams: u32) -> String {
    let head = "format: 1\nclasses:\n  replacement: { priority: 9, budget: 20000 }\nteams:\n";
    let team = |number: u32| format!("  team-{number:04}: {{ weight: 1, live_programs: 200 }}\n");
    let teams: String = (0..teams).map(team).collect();
    format!("{head}{teams}")
}

fn change(state: &mut ControlState, version: u64, text: &str) {
    let command = ControlCommand::Apply {
        scope: "vrsta".into(),
        text: text.into(),
        expected: version,
        change_id: format!("change-{version:08}").into(),
    };
    let reply = state.execute(command);
    assert!(matches!(reply, ControlReply::Accepted { .. }), "a change was answered by {reply:?}");
}

/// Bytes of what a restarted node fetches, bytes of a snapshot, time of reading the declarations.
pub fn measure() -> Vec<Line> {
    let fetch = TEAMS.map(|teams| (f64::from(teams), document(teams).len() as f64)).to_vec();
    let read = TEAMS.map(|teams| {
        let text = document(teams);
        let time = nanoseconds(5, 3, |_| agatetrestle_config::Declarations::parse("vrsta", &text).is_ok());
        (f64::from(teams), time)
    });
    let snapshot = CHANGES.map(|changes| {
        let mut state = ControlState::default();
        let text = document(50);
        for version in 0..changes {
            change(&mut state, version, &text);
        }
        (changes as f64, state.snapshot().len() as f64)
    });
    let of = |what, unit, per, samples, carried_to| Line { what, unit, per, samples, carried_to };
    vec![
        of(
            "every node: bytes of the declarations that a restart fetches",
            Unit::Bytes,
            "team",
            fetch,
            CARRIED_TEAMS,
        ),
        of(
            "every node: time to read the declarations",
            Unit::Nanoseconds,
            "team",
            read.to_vec(),
            CARRIED_TEAMS,
        ),
        of("control replica: snapshot", Unit::Bytes, "change", snapshot.to_vec(), CARRIED_CHANGES),
    ]
}
