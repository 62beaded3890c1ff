//! Properties of the attempt machine over random histories.

use proptest::prelude::*;

use super::*;

#[derive(Clone, Copy, Debug)]
enum Step {
    Dispatch,
    Write,
    Answer,
    Fail(Failure),
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let step = prop_oneof![
        3 => Just(Step::Dispatch),
        3 => Just(Step::Write),
        1 => Just(Step::Answer),
        1 => Just(Step::Fail(Failure::Connect)),
        1 => Just(Step::Fail(Failure::Refused)),
        1 => Just(Step::Fail(Failure::Lost)),
        1 => Just(Step::Fail(Failure::Error)),
    ];
    prop::collection::vec(step, 0..24)
}

/// What a backend server may have seen: writes that it did not itself disown.
#[derive(Default)]
struct Seen {
    standing: u32,
    current: bool,
    answering: bool,
}

proptest! {
    #[test]
    fn the_outcome_is_true(steps in steps(), repeatable in any::<bool>()) {
        let repeatable = if repeatable { Repeatable::Yes } else { Repeatable::No };
        let mut machine = Delivery::new(repeatable);
        let mut seen = Seen::default();
        for step in steps {
            match step {
                Step::Dispatch => drop(machine.dispatch()),
                Step::Write if machine.phase() == Phase::Connecting => {
                    machine.begin_write();
                    seen.standing += 1;
                    seen.current = true;
                }
                Step::Answer if seen.current => {
                    machine.receive();
                    seen.answering = true;
                }
                Step::Fail(failure) if machine.phase() != Phase::Waiting => {
                    let truth = machine.fail(failure);
                    prop_assert!(!(seen.current && truth == Failure::Connect));
                    let disowned = failure == Failure::Refused && !seen.answering;
                    if seen.current && disowned {
                        seen.standing -= 1;
                    }
                    seen.current = false;
                    seen.answering = false;
                }
                _ => {}
            }
            prop_assert!(repeatable == Repeatable::Yes || seen.standing <= 1);
        }
        let ending = machine.end();
        prop_assert_eq!(ending == ExecutionStatus::NotRun, seen.standing == 0);
        prop_assert_eq!(ending == ExecutionStatus::Unknown, seen.standing > 0 && repeatable == Repeatable::No);
    }
}
