//! How the state counts the memory that it holds.

use ciborium::Value;

use super::*;
use crate::codec::decode;
use crate::codec::encode;

/// Longer than the retention of a turn and the expiry of an account.
const LONG: u64 = 1_000_000;

/// Turns an encoded state into that of a build that took 400 bytes a turn besides its text, and nothing for programs.
fn to_older_build(value: &mut Value) {
    if let Value::Map(fields) = value {
        fields.retain(|(name, _)| !matches!(name.as_text(), Some("counted" | "program_bytes")));
        for (name, value) in fields {
            if name.as_text() == Some("kept_bytes") {
                *value = Value::Integer(403.into());
            }
            to_older_build(value);
        }
    }
}

#[test]
fn counts_nothing_once_everything_has_expired() {
    let mut state = Driver::new(TurnState::with_max_bytes(1_000));
    for turn in ["a", "b"] {
        state.execute(0, begin(turn, 1_000, 1, None));
        state.execute(0, finish(turn, 1, Some(("one", None))));
    }
    let full = state.state.usage();
    assert!(full.bytes > full.room, "{full:?}");
    assert_eq!(state.execute(1, begin("c", 1_000, 1, None)), TurnReply::Full);
    state.execute(LONG, finish("c", 1, None));
    let empty = state.state.usage();
    assert_eq!((empty.bytes, empty.room, empty.programs), (0, 1_000, 0));
}

#[test]
fn snapshot_of_older_build_is_counted_again() {
    let mut state = Driver::new(TurnState::with_max_bytes(1_000));
    state.execute(0, begin("a", 1_000, 1, None));
    state.execute(0, finish("a", 1, Some(("one", None))));
    let mut value: Value = decode(&state.state.snapshot()).unwrap();
    to_older_build(&mut value);
    let mut restored = Driver::new(TurnState::default());
    restored.state.restore(&encode(&value)).unwrap();
    assert_eq!(restored.state.usage().bytes, state.state.usage().bytes);
    restored.execute(LONG, finish("b", 1, None));
    let empty = restored.state.usage();
    assert_eq!((empty.bytes, empty.room), (0, 1_000));
}
