//! Tests of the time that requests are expected to take.

use std::sync::Arc;
use std::time::Duration;

use crate::clock::Timestamp;
use crate::gateway::durations::Durations;
use crate::gateway::durations::ends_in_time;

fn millis(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn at(seconds: u64) -> Timestamp {
    Timestamp(seconds * 1_000_000)
}

/// Guards against a stop that passes on what it then cuts, or that refuses what would have ended.
#[test]
fn request_is_expected_to_take_as_long_as_the_longest_recent_one() {
    let limit = millis(6_000);
    assert!(ends_in_time(millis(2_000), limit, Some(millis(1_900))));
    assert!(!ends_in_time(millis(2_000), limit, Some(millis(4_000))));
    assert!(ends_in_time(millis(2_000), millis(1_500), Some(millis(4_000))), "its caller waits no longer");
    assert!(!ends_in_time(millis(2_000), limit, None), "nothing is known of the route");
    assert!(ends_in_time(millis(6_000), limit, None));
}

#[test]
fn durations_count_for_a_minute_at_most() {
    let (durations, route): (Durations, Arc<str>) = (Durations::default(), "chat".into());
    assert_eq!(durations.longest(at(0), "chat"), None);
    durations.record(at(0), &route, millis(900));
    durations.record(at(1), &route, millis(100));
    assert_eq!(durations.longest(at(29), "chat"), Some(millis(900)));
    durations.record(at(31), &route, millis(200));
    assert_eq!(durations.longest(at(59), "chat"), Some(millis(900)));
    assert_eq!(durations.longest(at(62), "chat"), Some(millis(200)));
    assert_eq!(durations.longest(at(200), "chat"), None);
    durations.record(at(200), &route, millis(300));
    durations.retain(|route| route != "chat");
    assert_eq!(durations.longest(at(200), "chat"), None);
}
