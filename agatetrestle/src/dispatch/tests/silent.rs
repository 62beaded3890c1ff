//! Servers that take requests and say nothing, among others that answer.

use super::*;

const LEAST: Duration = Duration::from_millis(325);

/// Requests each 20 ms of which each answer begins after `took` milliseconds, but for the one sent at 1 s; how long after
/// that one its server is held to be silent, looked at each 50 ms.
fn silent_after(took: impl Fn(u64) -> u64, rules: Decisions) -> Option<u64> {
    let mut dispatch = dispatch(&[instance("x", 16, "a"), instance("y", 16, "a")]).with_policy(rules);
    dispatch.submit(at(0), request(0, 9_000));
    let sent = 1_000;
    let mut begun: Vec<(u64, u64)> =
        (0..200).map(|number| number * 20).filter(|at| *at != sent).map(|at| (at + took(at), at)).collect();
    begun.sort_unstable();
    let mut begun = begun.into_iter().peekable();
    (sent..4_000).step_by(50).find_map(|now| {
        while let Some((at_ms, sent)) = begun.next_if(|(begins, _)| *begins <= now) {
            dispatch.record_response_start(at(at_ms), &SERVICE.into(), at(sent));
        }
        dispatch.is_unresponsive(at(now), &SERVICE.into(), at(sent), LEAST).then_some(now - sent)
    })
}

#[test]
fn a_server_that_says_nothing_while_others_answer_is_told_soon() {
    assert_eq!(silent_after(|_| 60, Decisions::Own), Some(350));
    assert_eq!(silent_after(|_| 60, Decisions::Patient), None, "the caller's time decides");
}

#[test]
fn in_a_pool_that_is_slow_as_a_whole_no_server_is_silent_before_its_answers_are_due() {
    assert_eq!(silent_after(|_| 600, Decisions::Own), Some(1_800), "three times what all take");
    let burst = |sent: u64| if sent < 1_000 { 60 } else { 700 };
    let told = silent_after(burst, Decisions::Own);
    assert!(told.is_none_or(|after| after >= 750), "as the pool turns slow nobody overtakes: {told:?}");
}

#[test]
fn a_node_that_sends_little_holds_nobody_to_be_silent() {
    let mut dispatch = dispatch(&[instance("x", 16, "a")]);
    dispatch.submit(at(0), request(0, 9_000));
    for sent in [10, 20, 30] {
        dispatch.record_response_start(at(sent + 60), &SERVICE.into(), at(sent));
    }
    assert!(!dispatch.is_unresponsive(at(900), &SERVICE.into(), at(0), LEAST));
    dispatch.record_response_start(at(800), &SERVICE.into(), at(740));
    assert!(dispatch.is_unresponsive(at(900), &SERVICE.into(), at(0), LEAST), "the fourth that overtakes it");
}
