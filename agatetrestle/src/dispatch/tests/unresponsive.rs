//! Tests of the detection of unresponsive servers.

use super::*;

const MIN_AGE: Duration = Duration::from_millis(325);

/// Sends a request every 20 ms; each response starts after `latency` milliseconds, except that the request sent at 1 s gets
/// none. Returns after how many milliseconds its server counts as unresponsive, to within 50 ms.
fn detection_delay(latency: impl Fn(u64) -> u64, policy: Decisions) -> Option<u64> {
    let mut dispatch = dispatch(&[instance("x", 16, "a"), instance("y", 16, "a")]).with_policy(policy);
    dispatch.submit(at(0), request(0, 9_000));
    let sent = 1_000;
    let mut starts: Vec<(u64, u64)> = (0..200)
        .map(|number| number * 20)
        .filter(|at| *at != sent)
        .map(|at| (at + latency(at), at))
        .collect();
    starts.sort_unstable();
    let mut starts = starts.into_iter().peekable();
    (sent..4_000).step_by(50).find_map(|now| {
        while let Some((started, sent)) = starts.next_if(|(started, _)| *started <= now) {
            dispatch.record_response_start(at(started), &SERVICE.into(), at(sent));
        }
        dispatch.is_unresponsive(at(now), &SERVICE.into(), at(sent), MIN_AGE).then_some(now - sent)
    })
}

#[test]
fn detects_unresponsive_server_early() {
    assert_eq!(detection_delay(|_| 60, Decisions::Own), Some(350));
    assert_eq!(detection_delay(|_| 60, Decisions::Patient), None, "only the timeout applies");
}

#[test]
fn slow_service_is_not_unresponsive() {
    assert_eq!(detection_delay(|_| 600, Decisions::Own), Some(1_800), "three times the usual latency");
    let burst = |sent: u64| if sent < 1_000 { 60 } else { 700 };
    let delay = detection_delay(burst, Decisions::Own);
    assert!(delay.is_none_or(|after| after >= 750), "detected too early while latency rises: {delay:?}");
}

#[test]
fn needs_four_overtaking_responses() {
    let mut dispatch = dispatch(&[instance("x", 16, "a")]);
    dispatch.submit(at(0), request(0, 9_000));
    for sent in [10, 20, 30] {
        dispatch.record_response_start(at(sent + 60), &SERVICE.into(), at(sent));
    }
    assert!(!dispatch.is_unresponsive(at(900), &SERVICE.into(), at(0), MIN_AGE));
    dispatch.record_response_start(at(800), &SERVICE.into(), at(740));
    assert!(
        dispatch.is_unresponsive(at(900), &SERVICE.into(), at(0), MIN_AGE),
        "the fourth response that overtakes it"
    );
}
