//! Tests of the door by itself; the load that it answers is replayed in [`super::burst`].

use std::sync::Arc;
use std::time::Duration;

use crate::clock::Timestamp;
use crate::turns::limiter::ProgramLimiter;
use crate::turns::limiter::ProgramStart;
use crate::turns::limiter::TurnStart;

const PLACES: u32 = 100;
/// Programs that have a turn open: more than there are places.
const PROGRAMS: usize = 200;
const PATIENCE: Duration = Duration::from_secs(3);

fn at(millis: u64) -> Timestamp {
    Timestamp(millis * 1_000)
}

fn name(text: &str) -> Arc<str> {
    text.into()
}

/// Whether a program may begin, with five seconds to go.
fn admit(door: &mut ProgramLimiter, millis: u64, program: &str) -> bool {
    let (service, kind, program) = (name("engines"), name("chat"), name(program));
    let finish_in = Some(Duration::from_secs(5));
    let coming = ProgramStart {
        service: &service,
        kind: &kind,
        places: PLACES,
        program: &program,
        turn: &program,
        finish_in,
    };
    door.admit(at(millis), coming).is_ok()
}

fn begin(door: &mut ProgramLimiter, millis: u64, program: &str) {
    let (service, kind, program) = (name("engines"), name("chat"), name(program));
    let beginning =
        TurnStart { service: &service, kind: &kind, program: &program, turn: &program, patience: PATIENCE };
    door.begin(at(millis), beginning);
}

/// A door behind which too many programs have had a turn open for a while; `x` has been turned away.
fn crowded() -> ProgramLimiter {
    let mut door = ProgramLimiter::default();
    for number in 0..PROGRAMS {
        begin(&mut door, 0, &number.to_string());
    }
    assert!(!admit(&mut door, 2_500, "x"));
    door
}

#[test]
fn a_turn_whose_entry_was_lost_frees_its_place_when_its_caller_gives_up() {
    let mut door = crowded();
    assert_eq!(door.counts(), (PROGRAMS, PROGRAMS));
    assert!(!admit(&mut door, 3_250, "x"));
    assert!(admit(&mut door, 4_000, "x"));
    assert_eq!(door.counts(), (0, 0));
}

#[test]
fn a_turn_that_is_told_twice_counts_once_and_one_that_nobody_knows_ends_nothing() {
    let mut door = crowded();
    begin(&mut door, 2_600, "0");
    assert_eq!(door.counts().0, PROGRAMS);
    door.finish(at(2_700), &name("nobody"), None);
    door.finish(at(2_700), &name("0"), Some(Duration::from_millis(190)));
    door.finish(at(2_800), &name("0"), Some(Duration::from_millis(190)));
    assert_eq!(door.counts().0, PROGRAMS - 1);
}

#[test]
fn who_has_waited_for_long_finds_no_room_where_a_newcomer_does() {
    let mut door = crowded();
    for number in 0..PROGRAMS {
        // One after the other, with time for each to count as ended; nobody gives up before the last of them.
        let millis = 2_500 + 3 * u64::try_from(number).unwrap();
        door.finish(at(millis), &name(&number.to_string()), Some(Duration::from_secs(2)));
    }
    let room = (3_100..4_000).find(|millis| admit(&mut door, *millis, &format!("n-{millis}")));
    let room = room.expect("a newcomer finds room");
    assert!(!admit(&mut door, room, "x"), "it was turned away at 2.5 s, a tenth of its time ago");
    assert!(admit(&mut door, 4_000, "x"), "it is let in once there is room enough");
}
