//! The control group: size and parse time of the declarations by teams, and snapshot size by changes.

use agatetrestle::agreement::StateMachine;
use agatetrestle::control::command::ControlCommand;
use agatetrestle::control::command::ControlReply;
use agatetrestle::control::state::ControlState;

use crate::fit::ScalingFit;
use crate::fit::Unit;
use crate::fit::measure_nanoseconds;

const TEAM_COUNTS: [u32; 4] = [100, 200, 400, 800];
/// Teams of all partners together.
const TARGET_TEAMS: f64 = 2_200.0;
const CHANGE_COUNTS: [u64; 4] = [100, 400, 1_000, 2_000];
/// Change results retained per document.
const TARGET_CHANGES: f64 = 2_048.0;

fn build_document(teams: u32) -> String {
    let head = "format: 1\nclasses:\n  replacement: { priority: 9, budget: 20000 }\nteams:\n";
    let team = |number: u32| format!("  team-{number:04}: {{ weight: 1, live_programs: 200 }}\n");
    let teams: String = (0..teams).map(team).collect();
    format!("{head}{teams}")
}

fn apply_change(state: &mut ControlState, version: u64, text: &str) {
    let command = ControlCommand::Apply {
        scope: "vrsta".into(),
        text: text.into(),
        expected: version,
        change_id: format!("change-{version:08}").into(),
    };
    let reply = state.execute(command);
    assert!(matches!(reply, ControlReply::Accepted { .. }), "unexpected reply to a change: {reply:?}");
}

/// Bytes of the declarations that a restart fetches, time to parse them, and bytes of a snapshot.
pub fn measure() -> Vec<ScalingFit> {
    let document_bytes =
        TEAM_COUNTS.map(|teams| (f64::from(teams), build_document(teams).len() as f64)).to_vec();
    let parse_time = TEAM_COUNTS.map(|teams| {
        let text = build_document(teams);
        let time =
            measure_nanoseconds(5, 3, |_| agatetrestle_config::Declarations::parse("vrsta", &text).is_ok());
        (f64::from(teams), time)
    });
    let snapshot = CHANGE_COUNTS.map(|changes| {
        let mut state = ControlState::default();
        let text = build_document(50);
        for version in 0..changes {
            apply_change(&mut state, version, &text);
        }
        (changes as f64, state.snapshot().len() as f64)
    });
    let fit = |quantity, unit, per, samples, extrapolated_to| ScalingFit {
        quantity,
        unit,
        per,
        samples,
        extrapolated_to,
    };
    vec![
        fit(
            "every node: bytes of the declarations that a restart fetches",
            Unit::Bytes,
            "team",
            document_bytes,
            TARGET_TEAMS,
        ),
        fit(
            "every node: time to read the declarations",
            Unit::Nanoseconds,
            "team",
            parse_time.to_vec(),
            TARGET_TEAMS,
        ),
        fit("control replica: snapshot", Unit::Bytes, "change", snapshot.to_vec(), TARGET_CHANGES),
    ]
}
