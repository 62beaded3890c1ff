//! Tests of turns and budgets.

use proptest::prelude::*;

use crate::agreement::StateMachine;
use crate::codec::Blob;
use crate::turns::command::Begin;
use crate::turns::command::Finish;
use crate::turns::command::Kept;
use crate::turns::command::TurnCommand;
use crate::turns::command::TurnReply;
use crate::turns::state::TurnState;

const RETENTION: u64 = 60_000;

fn begin(turn: &str, budget: u64, most: u64, previous: Option<&str>, at: u64) -> TurnCommand {
    let previous = previous.map(Into::into);
    TurnCommand::Begin(Begin {
        program: "p".into(),
        turn: turn.into(),
        budget: Some(budget),
        most,
        previous,
        at,
    })
}

fn finish(turn: &str, spent: u64, kept: Option<(&str, Option<&str>)>, at: u64) -> TurnCommand {
    let kept = kept.map(|(text, previous)| Kept {
        previous: previous.map(Into::into),
        text: Blob::from(text.as_bytes()),
        retention: RETENTION,
    });
    TurnCommand::Finish(Finish { program: "p".into(), turn: turn.into(), spent, kept, at })
}

fn begun(texts: &[&str]) -> TurnReply {
    TurnReply::Begun { chain: texts.iter().map(|text| Blob::from(text.as_bytes())).collect() }
}

#[test]
fn a_turn_gets_everything_that_it_goes_on_from_in_order() {
    let mut state = TurnState::default();
    state.execute(begin("a", 100, 10, None, 1));
    state.execute(finish("a", 5, Some(("one", None)), 2));
    assert_eq!(state.execute(begin("b", 100, 10, Some("a"), 3)), begun(&["one"]));
    state.execute(finish("b", 5, Some(("two", Some("a"))), 4));
    assert_eq!(state.execute(begin("c", 100, 10, Some("b"), 5)), begun(&["one", "two"]));
    assert_eq!(state.execute(begin("d", 100, 10, Some("a"), 6)), begun(&["one"]), "turns may fork");
    assert_eq!(state.execute(begin("e", 100, 10, Some("x"), 7)), TurnReply::NoSuchTurn);
}

#[test]
fn parallel_turns_share_one_budget() {
    let mut state = TurnState::default();
    assert_eq!(state.execute(begin("a", 25, 10, None, 1)), begun(&[]));
    assert_eq!(state.execute(begin("b", 25, 10, None, 1)), begun(&[]));
    assert_eq!(state.execute(begin("c", 25, 10, None, 1)), TurnReply::Spent);
    state.execute(finish("a", 3, None, 2));
    assert_eq!(state.execute(begin("c", 25, 10, None, 3)), begun(&[]), "what was not spent is free again");
}

#[test]
fn a_resend_changes_nothing() {
    let mut state = TurnState::default();
    state.execute(begin("a", 20, 10, None, 1));
    assert_eq!(state.execute(begin("a", 20, 10, None, 1)), begun(&[]));
    assert_eq!(state.execute(begin("b", 20, 10, None, 1)), begun(&[]), "a was reserved once");
    state.execute(finish("a", 10, None, 2));
    state.execute(finish("a", 10, None, 2));
    state.execute(finish("b", 0, None, 2));
    assert_eq!(state.execute(begin("c", 20, 10, None, 3)), begun(&[]), "a was charged once");
}

#[test]
fn a_chain_lives_as_long_as_its_newest_turn() {
    let mut state = TurnState::default();
    state.execute(begin("a", 100, 10, None, 0));
    state.execute(finish("a", 5, Some(("one", None)), 0));
    let later = RETENTION;
    state.execute(begin("b", 100, 10, Some("a"), later));
    state.execute(finish("b", 5, Some(("two", Some("a"))), later));
    let last = later + RETENTION;
    assert_eq!(state.execute(begin("c", 100, 10, Some("b"), last)), begun(&["one", "two"]));
    let past = last + 2 * RETENTION;
    assert_eq!(state.execute(begin("d", 100, 10, Some("b"), past)), TurnReply::NoSuchTurn);
    assert_eq!(state.kept(), (0, 0));
}

#[test]
fn a_full_state_begins_no_turn_and_forgets_none() {
    let mut state = TurnState::with_room(1_000);
    for turn in ["a", "b", "c"] {
        state.execute(begin(turn, 100, 1, None, 1));
        state.execute(finish(turn, 1, Some(("text", None)), 1));
    }
    assert_eq!(state.execute(begin("d", 100, 1, None, 2)), TurnReply::Full);
    assert_eq!(state.kept().0, 3);
}

fn command() -> impl Strategy<Value = TurnCommand> {
    let turn = "[a-f]";
    let begins = (turn, 0_u64..40, prop::option::of(turn), 0_u64..400_000)
        .prop_map(|(turn, most, previous, at)| begin(&turn, 100, most, previous.as_deref(), at));
    let finishes = (turn, 0_u64..40, prop::option::of(prop::option::of(turn)), 0_u64..400_000).prop_map(
        |(turn, spent, kept, at)| {
            let previous =
                kept.as_ref().map(|previous| ("text", previous.as_deref().filter(|p| **p < *turn)));
            finish(&turn, spent, previous, at)
        },
    );
    prop_oneof![begins, finishes]
}

proptest! {
    #[test]
    fn a_restored_state_goes_on_like_the_first(commands in prop::collection::vec(command(), 1..60)) {
        let mut state = TurnState::with_room(2_000);
        let (before, after) = commands.split_at(commands.len() / 2);
        for command in before {
            state.execute(command.clone());
        }
        let mut restored = TurnState::default();
        restored.restore(&state.snapshot()).unwrap();
        for command in after {
            prop_assert_eq!(restored.execute(command.clone()), state.execute(command.clone()));
        }
        prop_assert_eq!(restored, state);
    }
}
