//! Tests of turns and budgets.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use proptest::prelude::*;

use crate::agreement::StateMachine;
use crate::clock::Timestamp;
use crate::codec::Blob;
use crate::turns::clock::LeaderClock;
use crate::turns::command::Begin;
use crate::turns::command::Finish;
use crate::turns::command::RetainedTurn;
use crate::turns::command::TimedCommand;
use crate::turns::command::TurnCommand;
use crate::turns::command::TurnReply;
use crate::turns::state::TurnState;

mod burst;
mod limiter;

const RETENTION: u64 = 60_000;

/// A state with the milliseconds that it was told so far.
struct Turns {
    state: TurnState,
    told: u64,
}

impl Turns {
    fn new(state: TurnState) -> Self {
        Self { state, told: 0 }
    }

    fn execute(&mut self, at: u64, command: TurnCommand) -> TurnReply {
        let elapsed = Duration::from_millis(at - self.told);
        self.told = at;
        self.state.execute(TimedCommand { elapsed, command })
    }
}

fn begin(turn: &str, budget: u64, most: u64, previous: Option<&str>) -> TurnCommand {
    let previous = previous.map(Into::into);
    TurnCommand::Begin(Begin {
        program: "p".into(),
        team: "".into(),
        turn: turn.into(),
        budget: Some(budget),
        most,
        previous,
        carried: Vec::new(),
        opening: None,
    })
}

fn finish(turn: &str, spent: u64, kept: Option<(&str, Option<&str>)>) -> TurnCommand {
    let kept = kept.map(|(text, previous)| RetainedTurn {
        previous: previous.map(Into::into),
        text: Blob::from(text.as_bytes()),
        retention: RETENTION,
    });
    TurnCommand::Finish(Finish {
        program: "p".into(),
        team: "".into(),
        turn: turn.into(),
        spent,
        ran: None,
        kept,
    })
}

fn begun(texts: &[&str]) -> TurnReply {
    TurnReply::Begun { chain: texts.iter().map(|text| Blob::from(text.as_bytes())).collect() }
}

#[test]
fn a_turn_gets_everything_that_it_goes_on_from_in_order() {
    let mut state = Turns::new(TurnState::default());
    state.execute(1, begin("a", 100, 10, None));
    state.execute(2, finish("a", 5, Some(("one", None))));
    assert_eq!(state.execute(3, begin("b", 100, 10, Some("a"))), begun(&["one"]));
    state.execute(4, finish("b", 5, Some(("two", Some("a")))));
    assert_eq!(state.execute(5, begin("c", 100, 10, Some("b"))), begun(&["one", "two"]));
    assert_eq!(state.execute(6, begin("d", 100, 10, Some("a"))), begun(&["one"]), "turns may fork");
    assert_eq!(state.execute(7, begin("e", 100, 10, Some("x"))), TurnReply::NoSuchTurn);
}

#[test]
fn parallel_turns_share_one_budget() {
    let mut state = Turns::new(TurnState::default());
    assert_eq!(state.execute(1, begin("a", 25, 10, None)), begun(&[]));
    assert_eq!(state.execute(1, begin("b", 25, 10, None)), begun(&[]));
    assert_eq!(state.execute(1, begin("c", 25, 10, None)), TurnReply::Spent);
    state.execute(2, finish("a", 3, None));
    assert_eq!(state.execute(3, begin("c", 25, 10, None)), begun(&[]), "what was not spent is free again");
}

#[test]
fn a_resend_changes_nothing() {
    let mut state = Turns::new(TurnState::default());
    state.execute(1, begin("a", 20, 10, None));
    assert_eq!(state.execute(1, begin("a", 20, 10, None)), begun(&[]));
    assert_eq!(state.execute(1, begin("b", 20, 10, None)), begun(&[]), "a was reserved once");
    state.execute(2, finish("a", 10, None));
    state.execute(2, finish("a", 10, None));
    state.execute(2, finish("b", 0, None));
    assert_eq!(state.execute(3, begin("c", 20, 10, None)), begun(&[]), "a was charged once");
}

#[test]
fn a_chain_lives_as_long_as_its_newest_turn() {
    let mut state = Turns::new(TurnState::default());
    state.execute(0, begin("a", 100, 10, None));
    state.execute(0, finish("a", 5, Some(("one", None))));
    let later = RETENTION;
    state.execute(later, begin("b", 100, 10, Some("a")));
    state.execute(later, finish("b", 5, Some(("two", Some("a")))));
    let last = later + RETENTION;
    assert_eq!(state.execute(last, begin("c", 100, 10, Some("b"))), begun(&["one", "two"]));
    let past = last + 2 * RETENTION;
    assert_eq!(state.execute(past, begin("d", 100, 10, Some("b"))), TurnReply::NoSuchTurn);
    assert_eq!((state.state.holdings().turns, state.state.holdings().bytes), (0, 0));
}

#[test]
fn a_chain_of_another_group_is_kept_like_an_own_one() {
    let mut other = Turns::new(TurnState::default());
    other.execute(0, finish("a", 5, Some(("one", None))));
    other.execute(9, finish("b", 5, Some(("two", Some("a")))));
    assert_eq!(other.execute(9, TurnCommand::Chain("x".into())), TurnReply::Chain(Vec::new()));
    let TurnReply::Chain(carried) = other.execute(RETENTION, TurnCommand::Chain("b".into())) else {
        panic!("a chain is told");
    };
    let mut state = Turns::new(TurnState::default());
    let TurnCommand::Begin(begin) = begin("c", 100, 10, Some("b")) else {
        unreachable!("it is a beginning");
    };
    assert_eq!(state.execute(7, TurnCommand::Begin(begin.clone())), TurnReply::NoSuchTurn);
    let carrying = TurnCommand::Begin(Begin { carried, ..begin.clone() });
    assert_eq!(state.execute(8, carrying.clone()), begun(&["one", "two"]));
    assert_eq!(state.execute(9, carrying), begun(&["one", "two"]), "handed over again");
    assert_eq!(state.state.holdings().turns, 2, "each is kept once");
    assert_eq!(state.execute(10, TurnCommand::Begin(begin.clone())), begun(&["one", "two"]));
    // The other group would have kept it for another 9 ms and the margin, which count from when it was last handed over.
    let past = 9 + 9 + 10_000;
    assert_eq!(state.execute(past, TurnCommand::Begin(begin.clone())), begun(&["one", "two"]));
    assert_eq!(state.execute(past + 1, TurnCommand::Begin(begin)), TurnReply::NoSuchTurn);
}

/// The same command for a team.
fn by(team: &str, command: TurnCommand) -> TurnCommand {
    match command {
        TurnCommand::Begin(begin) => TurnCommand::Begin(Begin { team: team.into(), ..begin }),
        TurnCommand::Finish(finish) => TurnCommand::Finish(Finish { team: team.into(), ..finish }),
        other => other,
    }
}

#[test]
fn a_chain_belongs_to_its_team_also_after_a_snapshot_and_in_another_group() {
    let mut state = Turns::new(TurnState::default());
    state.execute(1, by("red", finish("a", 5, Some(("one", None)))));
    let mut restored = TurnState::default();
    restored.restore(&state.state.snapshot()).unwrap();
    let TurnReply::Chain(carried) = state.execute(1, TurnCommand::Chain("a".into())) else {
        panic!("a chain is told");
    };
    let mut other = TurnState::default();
    let taking = Begin {
        carried,
        ..match begin("c", 100, 10, Some("a")) {
            TurnCommand::Begin(begin) => begin,
            _ => unreachable!("it is a beginning"),
        }
    };
    let elapsed = Duration::ZERO;
    let taken = other.execute(TimedCommand { elapsed, command: by("blue", TurnCommand::Begin(taking)) });
    assert_eq!(taken, TurnReply::NoSuchTurn);
    for mut state in [state, Turns::new(restored), Turns::new(other)] {
        for (turn, team) in [("b", "blue"), ("n", "")] {
            let refused = state.execute(2, by(team, begin(turn, 100, 10, Some("a"))));
            assert_eq!(refused, TurnReply::NoSuchTurn, "team {team:?}");
        }
        let begins = state.execute(2, by("red", begin("o", 100, 10, Some("a"))));
        assert_eq!(begins, begun(&["one"]));
    }
}

#[test]
fn a_turn_from_before_there_were_teams_can_be_gone_on_from_once_there_are() {
    let mut state = Turns::new(TurnState::default());
    state.execute(1, finish("a", 5, Some(("one", None))));
    assert_eq!(state.execute(2, by("red", begin("b", 100, 10, Some("a")))), begun(&["one"]));
    state.execute(3, by("red", finish("b", 5, Some(("two", Some("a"))))));
    assert_eq!(state.execute(4, by("red", begin("c", 100, 10, Some("b")))), begun(&["one", "two"]));
    assert_eq!(state.execute(4, by("blue", begin("d", 100, 10, Some("b")))), TurnReply::NoSuchTurn);
}

#[test]
fn programs_of_two_teams_share_no_budget_though_they_share_a_name() {
    let mut state = Turns::new(TurnState::default());
    assert_eq!(state.execute(1, by("red", begin("a", 10, 10, None))), begun(&[]));
    assert_eq!(state.execute(1, by("red", begin("b", 10, 10, None))), TurnReply::Spent);
    assert_eq!(state.execute(1, by("blue", begin("c", 10, 10, None))), begun(&[]));
    state.execute(2, by("red", finish("a", 10, None)));
    state.execute(2, by("blue", finish("c", 0, None)));
    assert_eq!(state.execute(3, by("red", begin("d", 10, 10, None))), TurnReply::Spent);
    assert_eq!(state.execute(3, by("blue", begin("e", 10, 10, None))), begun(&[]));
}

/// A turn as builds before there were teams wrote it.
#[derive(serde::Serialize)]
struct OldFinish<'a> {
    program: &'a str,
    turn: &'a str,
    spent: u64,
    kept: Option<RetainedTurn>,
}

#[test]
fn what_was_written_before_there_were_teams_is_read_as_of_none() {
    let old = OldFinish { program: "p", turn: "a", spent: 5, kept: None };
    let TurnCommand::Finish(read) =
        crate::codec::decode(&crate::codec::encode(&HashMap::from([("Finish", old)]))).unwrap()
    else {
        panic!("it is a finish");
    };
    assert_eq!(TurnCommand::Finish(read), finish("a", 5, None));
}

#[test]
fn a_full_state_begins_no_turn_and_forgets_none() {
    let mut state = Turns::new(TurnState::with_max_bytes(1_000));
    for turn in ["a", "b", "c"] {
        state.execute(1, begin(turn, 100, 1, None));
        state.execute(1, finish(turn, 1, Some(("text", None))));
    }
    assert_eq!(state.execute(2, begin("d", 100, 1, None)), TurnReply::Full);
    assert_eq!(state.state.holdings().turns, 3);
}

#[test]
fn a_coded_command_is_read_back_and_shares_its_text() {
    for command in
        [begin("a", 9, 3, Some("b")), finish("a", 2, None), finish("a", 2, Some(("said", Some("b"))))]
    {
        let mut coded = command.encode(Duration::ZERO);
        TimedCommand::set_elapsed(&mut coded, Duration::from_millis(7));
        let payload: Arc<[u8]> = coded.into();
        let timed = TimedCommand { elapsed: Duration::from_millis(7), command };
        assert_eq!(TimedCommand::decode(&payload), Some(timed));
        for length in 0..payload.len().min(20) {
            assert_eq!(
                TimedCommand::decode(&payload[..length].into()),
                None,
                "{length} bytes are no command"
            );
        }
    }
    assert_eq!(TimedCommand::decode(&[255; 40][..].into()), None);
}

#[test]
fn leaders_tell_every_millisecond_once() {
    let mut time = LeaderClock::default();
    let at = |micros: u64| Timestamp(5_000_000 + micros);
    let spans = (0..=1_000).map(|number| time.advance(3, at(number * 300)));
    assert_eq!(spans.sum::<Duration>(), Duration::from_millis(300), "parts of milliseconds add up");
    assert_eq!(time.advance(4, at(60_000_000)), Duration::ZERO, "time without this leader does not count");
    assert_eq!(time.advance(4, at(60_002_500)), Duration::from_millis(2));
}

fn command() -> impl Strategy<Value = TimedCommand> {
    let turn = "[a-f]";
    let begins = (turn, 0_u64..40, prop::option::of(turn))
        .prop_map(|(turn, most, previous)| begin(&turn, 100, most, previous.as_deref()));
    let finishes =
        (turn, 0_u64..40, prop::option::of(prop::option::of(turn))).prop_map(|(turn, spent, kept)| {
            let previous =
                kept.as_ref().map(|previous| ("text", previous.as_deref().filter(|p| **p < *turn)));
            finish(&turn, spent, previous)
        });
    let elapsed = (0_u64..400_000).prop_map(Duration::from_millis);
    (elapsed, prop_oneof![begins, finishes]).prop_map(|(elapsed, command)| TimedCommand { elapsed, command })
}

proptest! {
    #[test]
    fn a_restored_state_goes_on_like_the_first(commands in prop::collection::vec(command(), 1..60)) {
        let mut state = TurnState::with_max_bytes(2_000);
        let (before, after) = commands.split_at(commands.len() / 2);
        for command in before {
            state.execute(command.clone());
        }
        let frozen = state.snapshot_encoder();
        let mut restored = TurnState::default();
        restored.restore(&state.snapshot()).unwrap();
        prop_assert_eq!(frozen(), state.snapshot());
        for command in after {
            prop_assert_eq!(restored.execute(command.clone()), state.execute(command.clone()));
        }
        prop_assert_eq!(restored, state);
    }
}
