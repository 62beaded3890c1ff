//! Property tests of the delivery state machine.

use proptest::prelude::*;

use super::*;

#[derive(Clone, Copy, Debug)]
enum Step {
    Dispatch,
    Write,
    Receive,
    Fail(Failure),
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let step = prop_oneof![
        3 => Just(Step::Dispatch),
        3 => Just(Step::Write),
        1 => Just(Step::Receive),
        1 => Just(Step::Fail(Failure::Connect)),
        1 => Just(Step::Fail(Failure::Refused)),
        1 => Just(Step::Fail(Failure::Lost)),
        1 => Just(Step::Fail(Failure::Error)),
    ];
    prop::collection::vec(step, 0..24)
}

/// Requests that a backend server may have executed, which are the written ones that it did not refuse.
#[derive(Default)]
struct Observed {
    maybe_executed: u32,
    written: bool,
    receiving: bool,
}

proptest! {
    #[test]
    fn reports_the_true_execution_status(steps in steps(), repeatable in any::<bool>()) {
        let repeatable = if repeatable { Repeatable::Yes } else { Repeatable::No };
        let mut delivery = Delivery::new(repeatable);
        let mut observed = Observed::default();
        for step in steps {
            match step {
                Step::Dispatch => drop(delivery.dispatch()),
                Step::Write if delivery.phase() == Phase::Connecting => {
                    delivery.begin_write();
                    observed.maybe_executed += 1;
                    observed.written = true;
                }
                Step::Receive if observed.written => {
                    delivery.receive();
                    observed.receiving = true;
                }
                Step::Fail(failure) if delivery.phase() != Phase::Queued => {
                    let reported = delivery.fail(failure);
                    prop_assert!(!(observed.written && reported == Failure::Connect));
                    let refused = failure == Failure::Refused && !observed.receiving;
                    if observed.written && refused {
                        observed.maybe_executed -= 1;
                    }
                    observed.written = false;
                    observed.receiving = false;
                }
                _ => {}
            }
            prop_assert!(repeatable == Repeatable::Yes || observed.maybe_executed <= 1);
        }
        let status = delivery.end();
        prop_assert_eq!(status == ExecutionStatus::NotRun, observed.maybe_executed == 0);
        prop_assert_eq!(status == ExecutionStatus::Unknown, observed.maybe_executed > 0 && repeatable == Repeatable::No);
    }
}
