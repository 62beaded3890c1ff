//! Unit tests of the program limiter; [`super::burst`] simulates it under load.

use std::sync::Arc;
use std::time::Duration;

use crate::clock::Timestamp;
use crate::turns::limiter::ProgramLimiter;
use crate::turns::limiter::ProgramStart;
use crate::turns::limiter::TurnStart;

const SLOTS: u32 = 100;
/// Programs with an open turn, more than there are slots.
const PROGRAMS: usize = 200;
const TIMEOUT: Duration = Duration::from_secs(3);

fn at(millis: u64) -> Timestamp {
    Timestamp(millis * 1_000)
}

fn name(text: &str) -> Arc<str> {
    text.into()
}

/// Whether a program whose deadline is in five seconds may begin.
fn admit(limiter: &mut ProgramLimiter, millis: u64, program: &str) -> bool {
    let (service, route, program) = (name("engines"), name("chat"), name(program));
    let finish_in = Some(Duration::from_secs(5));
    let start = ProgramStart {
        service: &service,
        route: &route,
        slots: SLOTS,
        program: &program,
        turn: &program,
        finish_in,
    };
    limiter.admit(at(millis), start).is_ok()
}

fn begin(limiter: &mut ProgramLimiter, millis: u64, program: &str) {
    let (service, route, program) = (name("engines"), name("chat"), name(program));
    let turn =
        TurnStart { service: &service, route: &route, program: &program, turn: &program, timeout: TIMEOUT };
    limiter.begin(at(millis), turn);
}

/// A limiter with too many active programs, which has rejected program `x`.
fn overloaded() -> ProgramLimiter {
    let mut limiter = ProgramLimiter::default();
    for number in 0..PROGRAMS {
        begin(&mut limiter, 0, &number.to_string());
    }
    assert!(!admit(&mut limiter, 2_500, "x"));
    limiter
}

#[test]
fn expires_turns_of_lost_entry() {
    let mut limiter = overloaded();
    assert_eq!(limiter.counts(), (PROGRAMS, PROGRAMS));
    assert!(!admit(&mut limiter, 3_250, "x"));
    assert!(admit(&mut limiter, 4_000, "x"));
    assert_eq!(limiter.counts(), (0, 0));
}

#[test]
fn ignores_repeated_and_unknown_turns() {
    let mut limiter = overloaded();
    begin(&mut limiter, 2_600, "0");
    assert_eq!(limiter.counts().0, PROGRAMS);
    limiter.finish(at(2_700), &name("nobody"), None);
    limiter.finish(at(2_700), &name("0"), Some(Duration::from_millis(190)));
    limiter.finish(at(2_800), &name("0"), Some(Duration::from_millis(190)));
    assert_eq!(limiter.counts().0, PROGRAMS - 1);
}

#[test]
fn admits_new_program_before_long_waiting() {
    let mut limiter = overloaded();
    for number in 0..PROGRAMS {
        // The turns end one after another, all before their timeout.
        let millis = 2_500 + 3 * u64::try_from(number).unwrap();
        limiter.finish(at(millis), &name(&number.to_string()), Some(Duration::from_secs(2)));
    }
    let admitted_at = (3_100..4_000).find(|millis| admit(&mut limiter, *millis, &format!("n-{millis}")));
    let admitted_at = admitted_at.expect("a new program is admitted");
    assert!(!admit(&mut limiter, admitted_at, "x"), "it has waited since 2.5 s");
    assert!(admit(&mut limiter, 4_000, "x"), "it is admitted at low utilization");
}
