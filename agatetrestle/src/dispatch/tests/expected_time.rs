//! Tests of the performance model's interface: when it is on, capacity, candidates and reassignment.

use super::*;
use crate::dispatch::speed::SpeedEstimate;

fn servers(count: usize) -> Vec<Instance> {
    (0..count).map(|number| instance(&format!("s-{number}"), 6, "a")).collect()
}

/// Runs requests with different prompts for ten seconds on servers that take `time` milliseconds, by their number.
fn run(dispatch: &mut Dispatch, time: impl Fn(usize) -> u64) {
    let mut random = Random::new(3);
    for number in 0..400 {
        let now = number * 25;
        let affinity = Some(random.below(u64::MAX));
        let request = Request { affinity, ..request(number, now + 9_000) };
        let key = server_of(&dispatch.submit(at(now), request));
        let server: usize = dispatch.instance(key).unwrap().id[2..].parse().unwrap();
        let elapsed = Duration::from_millis(time(server));
        dispatch.finish_request(
            at(now),
            key,
            number,
            RequestOutcome::Completed(elapsed),
            RunProgress::default(),
        );
    }
}

fn service() -> Arc<str> {
    SERVICE.into()
}

/// A node that compares servers by the expected time for any reason.
fn modelled(instances: &[Instance]) -> Dispatch {
    dispatch(instances).with_policy(Decisions::ExpectedTime)
}

#[test]
fn model_is_off_without_a_reason() {
    let mut equal = dispatch(&servers(8));
    run(&mut equal, |_| 50);
    assert!(!equal.is_modelled(at(10_000), &service()), "equal servers report nothing");
    let mut uneven = modelled(&servers(8));
    run(&mut uneven, |server| 50 + 100 * (server as u64 % 2));
    assert!(uneven.is_modelled(at(10_000), &service()), "half of them are three times slower");
    assert!(!uneven.is_modelled(at(60_000), &service()), "the reason is forgotten");
    let mut baseline = dispatch(&servers(8)).with_policy(Decisions::RequestCounts);
    run(&mut baseline, |server| 50 + 100 * (server as u64 % 2));
    assert!(!baseline.is_modelled(at(10_000), &service()));
    let mut own = dispatch(&servers(8));
    run(&mut own, |server| 50 + 100 * (server as u64 % 2));
    own.set_memory([(service(), 49_000)]);
    assert!(!own.is_modelled(at(10_000), &service()), "only reported contention is a reason by default");
    let mut declared = modelled(&servers(8));
    declared.set_memory([(service(), 49_000)]);
    assert!(declared.is_modelled(at(0), &service()));
    declared.set_memory([]);
    assert!(!declared.is_modelled(at(0), &service()), "a later table declares nothing");
    let mut reported = dispatch(&servers(8));
    let key = server_of(&reported.submit(at(0), request(0, 9_000)));
    reported.record_load(at(1), key, ServerLoad { running: 0, waiting: 0, percent: Some(100) });
    assert!(reported.is_modelled(at(2), &service()));
}

#[test]
fn contention_is_forgotten_within_300_ms() {
    let mut dispatch = dispatch(&servers(2));
    let first = server_of(&dispatch.submit(at(0), request(0, 9_000)));
    let other = dispatch.by_id.values().copied().find(|key| *key != first).unwrap();
    for (key, percent) in [(first, 100), (other, 300)] {
        dispatch.record_load(at(1), key, ServerLoad { running: 0, waiting: 0, percent: Some(percent) });
    }
    dispatch.finish(at(1), first, RequestOutcome::Cancelled);
    let times = |now: u64| {
        let candidates = dispatch.candidates(at(now), &request(1, 9_000));
        let time = |key: ServerKey| candidates.iter().find(|candidate| candidate.0 == key).unwrap().1;
        (time(first), time(other))
    };
    let (calm, contended) = times(2);
    assert!(contended > calm * 2, "{contended:?}, {calm:?}");
    let (calm, recovered) = times(302);
    assert_eq!(calm, recovered);
}

#[test]
fn capacity_counts_speed_and_usable_servers() {
    let mut dispatch = modelled(&servers(10));
    assert_eq!(dispatch.capacity(&service()), 6_000, "all slots, before anything is known");
    run(&mut dispatch, |server| if server < 2 { 250 } else { 50 });
    let slow = dispatch.capacity(&service());
    assert!((4_700..5_600).contains(&slow), "two of ten servers are five times slower: {slow}");
    let key = dispatch.by_id["s-5"];
    for _ in 0..2 {
        dispatch.finish(at(10_000), key, RequestOutcome::Unreachable);
    }
    dispatch.submit(at(10_300), request(900, 19_000));
    let without = dispatch.capacity(&service());
    assert!((500..700).contains(&(slow - without)), "one server backs off: {slow}, then {without}");
}

#[test]
fn recovered_server_is_tried_again() {
    // An estimate that never fades would keep a server that was slow for 7 s unused for good.
    let mut model = ServiceModel::default();
    let mut server = SpeedEstimate::default();
    let mut other = SpeedEstimate::default();
    let mut record = |millis: u64, server: &mut SpeedEstimate, elapsed: u64| {
        let elapsed = Duration::from_millis(elapsed);
        model.record(at(millis), server, &RequestProfile::default(), elapsed, RunProgress::default());
    };
    for millis in (0..27_000).step_by(100) {
        record(millis, &mut other, 100);
        if millis % 4_000 == 0 {
            record(millis, &mut server, if millis < 20_000 { 100 } else { 500 });
        }
    }
    let slowness = [24_000, 32_000].map(|millis| model.slowness(at(millis), &server));
    assert!(slowness[0] > 3.0 && slowness[1] < 2.0, "at once and 8 s after the last sample: {slowness:?}");
}

#[test]
fn candidates_are_few_and_sorted_by_expected_time() {
    let mut dispatch = dispatch(&servers(30));
    let excluded = dispatch.by_id["s-0"];
    let request = Request { excluded: vec![excluded], ..request(1, 9_000) };
    let candidates = dispatch.candidates(at(0), &request);
    assert_eq!(candidates.len(), 8);
    assert!(candidates.iter().all(|(key, _)| *key != excluded));
    assert!(candidates.windows(2).all(|pair| pair[0].1 <= pair[1].1), "{candidates:?}");
    let none = Request { service: "unknown".into(), ..request };
    assert!(dispatch.candidates(at(0), &none).is_empty());
    dispatch.submit(at(0), none);
}

#[test]
fn reassign_moves_one_request() {
    let mut dispatch = dispatch(&servers(2));
    let from = server_of(&dispatch.submit(at(0), request(7, 9_000)));
    let to = dispatch.by_id.values().copied().find(|key| *key != from).unwrap();
    assert!(dispatch.reassign(at(1), from, to));
    let in_flight = |dispatch: &Dispatch| [from, to].map(|key| dispatch.servers[key].in_flight);
    assert_eq!(in_flight(&dispatch), [0, 1]);
    assert!(!dispatch.reassign(at(1), from, to), "nothing is left to move");
    dispatch.mark_leaving(from);
    assert!(!dispatch.reassign(at(1), to, from), "a leaving server accepts nothing");
    assert_eq!(in_flight(&dispatch), [0, 1]);
    dispatch.finish_request(at(50), to, 7, COMPLETED, RunProgress::default());
    assert_eq!(in_flight(&dispatch), [0, 0]);
}

#[test]
fn choice_looks_at_as_many_servers_in_a_fleet_of_any_size_with_the_model() {
    let candidates = |count: usize| {
        let mut dispatch = dispatch(&servers(count));
        dispatch.set_memory([(service(), 49_000)]);
        for number in 0..500 {
            let now = at(number * 20);
            let key = server_of(&dispatch.submit(now, request(number, 60_000)));
            dispatch.finish_request(now, key, number, COMPLETED, RunProgress::default());
        }
        dispatch.pools[&service()].candidates(7).keys().len()
    };
    let [small, large] = [1_000, 10_000].map(candidates);
    assert!(small.max(large) < 400, "{small} and {large} servers");
    let mut keys = slotmap::SlotMap::<ServerKey, ()>::with_key();
    let all: Vec<ServerKey> = (0..400).map(|_| keys.insert(())).collect();
    for draw in 0..500 {
        let sampled = super::super::expected::sample(&all, draw, [Some(all[7]), None]);
        assert!(
            sampled.len() <= 65 && sampled.contains(&all[7]),
            "the expected time is computed for few of them"
        );
    }
}
