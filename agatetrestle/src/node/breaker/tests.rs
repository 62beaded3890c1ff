//! Tests of when a group counts as unreachable.

use proptest::prelude::*;

use super::*;

const REPLICAS: usize = 5;

fn at(millis: u64) -> Timestamp {
    Timestamp(millis * 1_000)
}

/// A breaker after attempts at replicas in turn, each of which took `attempt` milliseconds and failed.
fn fail(breaker: &mut CircuitBreaker, from: u64, until: u64, attempt: u64, replicas: u64) -> bool {
    let mut opened = false;
    for (number, sent) in (from..until).step_by(usize::try_from(attempt).unwrap()).enumerate() {
        let replica = NodeId(1 + number as u64 % replicas);
        opened |= breaker.record_failure(replica, REPLICAS, at(sent), at(sent + attempt));
    }
    opened
}

/// Guards against turns that are held although no replica answers.
#[test]
fn silence_of_most_replicas_opens_until_a_leader_answers() {
    for attempt in [20, 100, 400] {
        let mut breaker = CircuitBreaker::default();
        assert_eq!(breaker.admit(), Admission::Pass);
        assert!(fail(&mut breaker, 0, 1_200, attempt, 5), "attempts of {attempt} ms");
        assert_eq!(breaker.admit(), Admission::Probe);
        assert_eq!(breaker.admit(), Admission::Refuse);
        breaker.record_answer();
        assert_eq!(breaker.admit(), Admission::Refuse, "a replica without a leader commits nothing");
        breaker.end_probe();
        assert_eq!(breaker.admit(), Admission::Probe);
        assert!(breaker.record_leader());
        breaker.end_probe();
        assert_eq!([breaker.admit(), breaker.admit()], [Admission::Pass; 2]);
    }
}

/// Guards against a slow group, an election, a lost failure domain or old failures that count as an unreachable group.
#[test]
fn other_failures_do_not_open() {
    let mut slow = CircuitBreaker::default();
    for start in (0..60_000).step_by(900) {
        assert!(!fail(&mut slow, start, start + 800, 400, 5));
        slow.record_leader();
    }
    let mut electing = CircuitBreaker::default();
    for start in (0..600).step_by(20) {
        assert!(!electing.record_failure(NodeId(1), REPLICAS, at(start), at(start + 1)));
        electing.record_answer();
    }
    let mut two_lost = CircuitBreaker::default();
    assert!(!fail(&mut two_lost, 0, 5_000, 400, 2), "the others were not asked");
    let mut rare = CircuitBreaker::default();
    for start in (0..60_000).step_by(1_500) {
        assert!(!fail(&mut rare, start, start + 400, 100, 5));
    }
}

proptest! {
    /// Guards against a breaker that opens within [`UNREACHABLE_AFTER`] of an answer, or lets two probes go at once.
    #[test]
    fn opens_only_after_silence(steps in prop::collection::vec((0_u64..400, 0_u8..8, 1_u64..6), 1..80)) {
        let mut breaker = CircuitBreaker::default();
        let (mut now, mut answered, mut probes) = (0, 0, 0);
        for (pause, step, replica) in steps {
            let sent = now;
            now += pause;
            match step {
                0 => {
                    breaker.record_answer();
                    answered = now;
                }
                1 => {
                    breaker.record_leader();
                    answered = now;
                    prop_assert!(!breaker.is_open());
                }
                2 => {
                    breaker.end_probe();
                    probes = 0;
                }
                3 => {
                    probes += u32::from(breaker.admit() == Admission::Probe);
                    prop_assert!(probes <= 1);
                }
                _ => {
                    if breaker.record_failure(NodeId(replica), REPLICAS, at(sent), at(now)) {
                        prop_assert!(now - answered >= 1_000);
                    }
                }
            }
        }
    }
}
