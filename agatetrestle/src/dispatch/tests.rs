//! Tests of dispatch decisions.

use agatetrestle_config::deployment::Decisions;

use super::*;

mod candidates;
mod engines;
mod expected_time;
mod large_fleet;
mod simulation;
mod stale_load;
mod uneven_servers;
mod unresponsive;
mod versions;

const SERVICE: &str = "engines";

fn instance(id: &str, slots: u32, zone: &str) -> Instance {
    Instance {
        id: id.into(),
        service: SERVICE.into(),
        version: "v1".into(),
        address: "10.0.0.1:80".parse().unwrap(),
        zone: zone.into(),
        slots,
        leaving: false,
        born: None,
    }
}

fn dispatch(instances: &[Instance]) -> Dispatch {
    let mut dispatch = Dispatch::new("a".into(), 1);
    dispatch.replace_instances(at(0), instances);
    dispatch
}

fn at(millis: u64) -> Timestamp {
    Timestamp(millis * 1_000)
}

fn request(ticket: u64, deadline: u64) -> Request {
    Request {
        version: None,
        ticket,
        service: SERVICE.into(),
        priority: 1,
        started: false,
        max_wait: Duration::from_secs(10),
        deadline: at(deadline),
        finish_by: at(deadline),
        affinity: None,
        excluded: Vec::new(),
        isolated: false,
        profile: RequestProfile::default(),
    }
}

fn sent(decisions: &[Decision]) -> Vec<u64> {
    let sent = |decision: &Decision| match decision {
        Decision::Send { ticket, .. } => Some(*ticket),
        Decision::DropConnections { .. } | Decision::Reject { .. } | Decision::Eject { .. } => None,
    };
    decisions.iter().filter_map(sent).collect()
}

fn server_of(decisions: &[Decision]) -> ServerKey {
    match decisions {
        [Decision::Send { server, .. }] => *server,
        other => panic!("expected one Send: {other:?}"),
    }
}

const COMPLETED: RequestOutcome = RequestOutcome::Completed(Duration::from_millis(100));

#[test]
fn spreads_requests_then_queues() {
    let mut dispatch = dispatch(&[instance("x", 2, "a"), instance("y", 2, "a")]);
    for ticket in 0..8 {
        assert_eq!(sent(&dispatch.submit(at(1), request(ticket, 4_000))), [ticket]);
    }
    assert!(dispatch.instances().all(|(_, running)| running == 4), "2 in slots and 2 queued at each server");
    assert_eq!(dispatch.submit(at(1), request(8, 4_000)), []);
    assert_eq!(dispatch.waiting(), 1);
}

#[test]
fn orders_by_priority_start_and_deadline() {
    let mut dispatch = dispatch(&[instance("x", 1, "a")]);
    let server = server_of(&dispatch.submit(at(0), request(0, 9_000)));
    dispatch.submit(at(0), request(10, 9_000));
    dispatch.submit(at(0), request(1, 9_000));
    dispatch.submit(at(0), request(2, 8_000));
    dispatch.submit(at(0), Request { started: true, ..request(3, 9_500) });
    dispatch.submit(at(0), Request { priority: 0, ..request(4, 9_900) });
    let mut order = Vec::new();
    for step in 1..=4 {
        order.extend(sent(&dispatch.finish(at(step), server, COMPLETED)));
    }
    assert_eq!(order, [4, 3, 2, 1]);
}

#[test]
fn rejects_late_requests_at_once() {
    let mut dispatch = dispatch(&[instance("x", 1, "a")]);
    dispatch.submit(at(0), request(0, 4_000));
    let decisions = dispatch.submit(at(0), request(1, 150));
    assert!(
        matches!(decisions[..], [Decision::Reject { ticket: 1, reason: RejectReason::TooLate, .. }]),
        "{decisions:?}"
    );
}

#[test]
fn rejects_excess_of_burst_at_once() {
    // 8 slots at 100 ms serve 80 requests per second; 400 arrive at once with deadlines in 1 s.
    let mut dispatch = dispatch(&[instance("x", 4, "a"), instance("y", 4, "a")]);
    let mut in_service = Vec::new();
    let mut rejected = 0;
    let mut take = |decisions: Vec<Decision>, now: u64, in_service: &mut Vec<(u64, ServerKey)>| {
        for decision in decisions {
            match decision {
                Decision::Send { server, .. } => in_service.push((now + 100, server)),
                Decision::Reject { retry_after, .. } => {
                    assert!(retry_after >= RETRY_AFTER_RANGE.0 && retry_after <= RETRY_AFTER_RANGE.1);
                    assert_eq!(now, 0, "rejected on arrival, not after a wait");
                    rejected += 1;
                }
                Decision::DropConnections { .. } | Decision::Eject { .. } => panic!("no server failed"),
            }
        }
    };
    for ticket in 0..400 {
        take(dispatch.submit(at(0), request(ticket, 1_000)), 0, &mut in_service);
    }
    let mut answered = 0;
    for now in 1..1_000 {
        while let Some(index) = in_service.iter().position(|(end, _)| *end <= now) {
            let (_, server) = in_service.swap_remove(index);
            answered += 1;
            take(dispatch.finish(at(now), server, COMPLETED), now, &mut in_service);
        }
    }
    assert_eq!(answered + rejected, 400);
    assert!(answered >= 30, "{answered} were answered");
    assert_eq!(dispatch.waiting(), 0);
}

#[test]
fn stale_list_does_not_revive_leaving_server() {
    let mut dispatch = dispatch(&[instance("x", 4, "a")]);
    let server = server_of(&dispatch.submit(at(0), request(0, 4_000)));
    dispatch.mark_leaving(server);
    dispatch.replace_instances(at(1), &[instance("x", 4, "a")]);
    let decisions = dispatch.submit(at(1), request(1, 4_000));
    assert!(matches!(decisions[..], [Decision::Reject { reason: RejectReason::NoServer, .. }]));
}

#[test]
fn queues_while_only_server_backs_off() {
    let mut dispatch = dispatch(&[instance("x", 4, "a")]);
    let server = server_of(&dispatch.submit(at(0), request(0, 4_000)));
    dispatch.finish(at(1), server, RequestOutcome::Unreachable);
    assert_eq!(dispatch.submit(at(2), request(1, 4_000)), []);
    assert_eq!(sent(&dispatch.tick(at(300))), [1]);
}

#[test]
fn avoids_server_loaded_by_other_nodes() {
    let mut dispatch = dispatch(&[instance("x", 4, "a"), instance("y", 4, "a")]);
    let first = server_of(&dispatch.submit(at(0), request(0, 4_000)));
    dispatch.record_load(at(0), first, ServerLoad { running: 4, waiting: 1, percent: None });
    for ticket in 1..4 {
        assert_ne!(server_of(&dispatch.submit(at(1), request(ticket, 4_000))), first);
    }
}

#[test]
fn nodes_agree_on_server_for_prompt() {
    let instances: Vec<Instance> = (0..9).map(|n| instance(&format!("i-{n}"), 16, "a")).collect();
    let chosen = |seed: u64, affinity: u64| {
        let mut dispatch = Dispatch::new("a".into(), seed);
        dispatch.replace_instances(at(0), &instances);
        let decisions = dispatch.submit(at(0), Request { affinity: Some(affinity), ..request(0, 4_000) });
        dispatch.instance(server_of(&decisions)).unwrap().id.clone()
    };
    for affinity in 0..20 {
        assert_eq!(chosen(1, affinity), chosen(2, affinity));
    }
}

#[test]
fn late_programs_go_last() {
    let mut dispatch = dispatch(&[instance("x", 1, "a")]);
    let server = server_of(&dispatch.submit(at(0), request(0, 9_000)));
    dispatch.submit(at(0), request(10, 9_000));
    let late = Request { finish_by: at(1), priority: 0, started: true, ..request(1, 9_000) };
    dispatch.submit(at(10), late);
    dispatch.submit(at(10), request(2, 9_000));
    assert_eq!(sent(&dispatch.finish(at(20), server, COMPLETED)), [2]);
    assert_eq!(sent(&dispatch.finish(at(30), server, COMPLETED)), [1]);
}

#[test]
fn rejects_new_programs_but_queues_started_ones() {
    let mut dispatch = dispatch(&[instance("x", 2, "a")]);
    for ticket in 10..14 {
        dispatch.submit(at(0), request(ticket, 9_000));
    }
    let max_wait = Duration::from_millis(100);
    for ticket in 2..6 {
        let started = Request { started: true, max_wait, ..request(ticket, 9_000) };
        assert_eq!(dispatch.submit(at(1), started), []);
    }
    let decisions = dispatch.submit(at(1), Request { max_wait, ..request(6, 9_000) });
    let [Decision::Reject { ticket: 6, retry_after, .. }] = decisions[..] else {
        panic!("not rejected: {decisions:?}");
    };
    assert!(retry_after > max_wait, "it retries when a slot is expected to be free");
    assert_eq!(dispatch.waiting(), 4);
}

#[test]
fn assumes_mean_load_after_stale_report() {
    // x and y have recently reported 6 requests of other nodes each. The report of z is stale; counting it as idle would
    // attract the requests of every node.
    let mut dispatch = dispatch(&[instance("x", 16, "a"), instance("y", 16, "a"), instance("z", 16, "a")]);
    let mut servers = Vec::new();
    for ticket in 0..3 {
        servers.push(server_of(&dispatch.submit(at(0), request(ticket, 9_000))));
    }
    for server in &servers {
        dispatch.record_load(at(0), *server, ServerLoad { running: 7, waiting: 0, percent: None });
    }
    for server in &servers[..2] {
        dispatch.record_load(at(1_000), *server, ServerLoad { running: 7, waiting: 0, percent: None });
    }
    let mut to_third = 0;
    for ticket in 10..16 {
        to_third += u32::from(server_of(&dispatch.submit(at(1_000), request(ticket, 9_000))) == servers[2]);
    }
    assert_eq!(to_third, 2, "each server gets a third");
}

#[test]
fn prefers_idle_server_with_open_connection() {
    let instances: Vec<Instance> = (0..9).map(|n| instance(&format!("i-{n}"), 6, "a")).collect();
    let mut dispatch = dispatch(&instances);
    let first = server_of(&dispatch.submit(at(0), request(0, 9_000)));
    dispatch.finish(at(100), first, COMPLETED);
    for ticket in 1..6 {
        let now = 100 + ticket * 100;
        assert_eq!(server_of(&dispatch.submit(at(now), request(ticket, 9_000))), first);
        dispatch.finish(at(now + 50), first, COMPLETED);
    }
    let busy = server_of(&dispatch.submit(at(800), request(7, 9_000)));
    assert_ne!(
        server_of(&dispatch.submit(at(800), request(8, 9_000))),
        busy,
        "an open connection does not outweigh a request"
    );
}

/// Sends 400 requests to ten servers, of which `faulty` fail `percent` of theirs and the rest 2 %. Returns the failures
/// in each half.
fn count_failures(faulty: usize, percent: u64, outcome: RequestOutcome) -> [usize; 2] {
    let instances: Vec<Instance> = (0..10).map(|number| instance(&format!("s-{number}"), 6, "a")).collect();
    let mut dispatch = dispatch(&instances);
    let mut rng = Random::new(5);
    let mut failed = [0, 0];
    for number in 0..400_u64 {
        let now = at(number * 100);
        let key = server_of(&dispatch.submit(now, request(number, number * 100 + 4_000)));
        let id = &dispatch.instance(key).unwrap().id;
        let is_faulty = (0..faulty).any(|number| **id == format!("s-{number}"));
        let fails = rng.below(100) < if is_faulty { percent } else { 2 };
        failed[usize::from(number >= 200)] += usize::from(fails);
        dispatch.finish(now, key, if fails { outcome } else { COMPLETED });
    }
    failed
}

#[test]
fn ejects_partially_failing_servers() {
    for outcome in [
        RequestOutcome::BadResponse,
        RequestOutcome::ServerError(Duration::from_millis(3)),
        RequestOutcome::Unresponsive,
    ] {
        let [first, second] = count_failures(2, 40, outcome);
        assert!(first <= 14 && second <= 8, "{outcome:?}: {first} and {second} failures");
    }
}

#[test]
fn ejects_once_for_simultaneous_failures() {
    let mut dispatch = dispatch(&[instance("x", 6, "a"), instance("y", 6, "a"), instance("z", 6, "a")]);
    let mut ejected = Vec::new();
    for number in 0..300_u64 {
        let now = at(number * 100);
        let key = server_of(&dispatch.submit(now, request(number, number * 100 + 4_000)));
        let outcome = if number % 50 == 49 { RequestOutcome::BadResponse } else { COMPLETED };
        ejected.extend(dispatch.finish(now, key, outcome));
    }
    assert!(ejected.is_empty(), "{ejected:?}");
    let now = at(40_000);
    let sent: Vec<ServerKey> =
        (0..18).map(|ticket| server_of(&dispatch.submit(now, request(1_000 + ticket, 60_000)))).collect();
    let failing = sent[0];
    for key in sent.into_iter().filter(|key| *key == failing) {
        let decisions = dispatch.finish(now, key, RequestOutcome::Unresponsive);
        ejected.extend(decisions.into_iter().filter(|decision| matches!(decision, Decision::Eject { .. })));
    }
    let Some(Decision::Eject { until, .. }) = ejected.first() else { panic!("not ejected") };
    assert_eq!((ejected.len(), *until), (1, at(42_000)), "simultaneous failures cause one ejection");
}

#[test]
fn common_fault_leaves_most_servers_in_use() {
    let [first, second] = count_failures(10, 40, RequestOutcome::Unresponsive);
    assert!(first + second > 100, "most servers must stay in use: {first} and {second} failures");
}

/// Sends five requests to two servers with one slot each, which are full. Returns the order in which they are sent, the
/// servers that are used at once, and the number of rejections.
fn outcomes_under(policy: Decisions) -> (Vec<u64>, Vec<Arc<str>>, usize) {
    let mut dispatch = Dispatch::new("a".into(), 1).with_policy(policy);
    dispatch.replace_instances(at(0), &[instance("x", 1, "a"), instance("y", 1, "a")]);
    let full = if policy == Decisions::Places { 0 } else { 2 };
    let mut decisions = Vec::new();
    for ticket in 10..10 + full {
        decisions.extend(dispatch.submit(at(0), request(ticket, 4_000)));
    }
    for (ticket, priority) in [(1, 3), (2, 3), (3, 3), (4, 0), (5, 3)] {
        let deadline = if ticket == 5 { 210 } else { 4_000 };
        decisions.extend(dispatch.submit(at(0), Request { priority, ..request(ticket, deadline) }));
    }
    let servers: Vec<ServerKey> = decisions
        .iter()
        .filter_map(|decision| match decision {
            Decision::Send { server, .. } => Some(*server),
            _ => None,
        })
        .collect();
    let names = servers.iter().map(|key| dispatch.instance(*key).unwrap().id.clone()).collect();
    let rejected = decisions.iter().filter(|decision| matches!(decision, Decision::Reject { .. })).count();
    for server in servers {
        decisions.extend(dispatch.finish(at(100), server, COMPLETED));
    }
    let order = sent(&decisions).into_iter().filter(|ticket| *ticket < 10).collect();
    (order, names, rejected)
}

#[test]
fn each_policy_replaces_one_rule() {
    assert_eq!(outcomes_under(Decisions::Own).0, [1, 2, 4, 3], "the urgent request goes first");
    assert_eq!(outcomes_under(Decisions::Own).2, 1, "the last request would be late");
    assert_eq!(outcomes_under(Decisions::FirstCome).0, [1, 2, 3, 4]);
    assert_eq!(outcomes_under(Decisions::NoRejection).2, 0);
    assert_eq!(outcomes_under(Decisions::Places).0, [1, 2, 4, 3], "no request is sent beyond the slots");
    assert_eq!(
        [outcomes_under(Decisions::RoundRobin).1.len(), outcomes_under(Decisions::Places).1.len()],
        [4, 2]
    );
    let distinct_servers = |policy: Decisions| {
        let instances: Vec<Instance> =
            (0..8).map(|number| instance(&format!("s-{number}"), 8, "a")).collect();
        let mut dispatch = Dispatch::new("a".into(), 1).with_policy(policy);
        dispatch.replace_instances(at(0), &instances);
        let keys = (0..6).map(|ticket| {
            server_of(&dispatch.submit(at(0), Request { affinity: Some(9), ..request(ticket, 4_000) }))
        });
        keys.collect::<std::collections::BTreeSet<ServerKey>>().len()
    };
    assert_eq!(
        [
            distinct_servers(Decisions::Own),
            distinct_servers(Decisions::LeastLoad),
            distinct_servers(Decisions::RoundRobin)
        ],
        [1, 6, 6]
    );
}

#[test]
fn backoff_is_not_an_ejection() {
    let mut dispatch = dispatch(&[instance("x", 6, "a"), instance("y", 6, "a")]);
    let sent = (0..12).map(|ticket| server_of(&dispatch.submit(at(0), request(ticket, 4_000))));
    let sent: Vec<ServerKey> = sent.collect();
    let first = sent[0];
    for key in sent.iter().filter(|key| **key == first) {
        dispatch.finish(at(0), *key, RequestOutcome::Unresponsive);
    }
    let server = &dispatch.servers[first];
    assert_eq!([server.is_ejected(at(1_000)), server.is_ejected(at(2_000))], [true, false]);
    dispatch.submit(at(3_000), request(20, 9_000));
    dispatch.finish(at(3_000), first, RequestOutcome::Unreachable);
    let server = &dispatch.servers[first];
    assert!(
        !server.is_available(at(3_100)) && !server.is_ejected(at(3_100)),
        "a lost connection causes a backoff only"
    );
}

#[test]
fn uses_ejected_server_without_alternative() {
    let mut dispatch = dispatch(&[instance("x", 6, "a"), instance("y", 6, "a")]);
    let sent = (0..24).map(|ticket| server_of(&dispatch.submit(at(0), request(ticket, 4_000))));
    let sent: Vec<ServerKey> = sent.collect();
    let ejected = sent[0];
    let other = *sent.iter().find(|key| **key != ejected).unwrap();
    for key in sent.iter().filter(|key| **key == ejected) {
        dispatch.finish(at(0), *key, RequestOutcome::Unresponsive);
    }
    assert!(
        dispatch.submit(at(1), request(20, 4_000)).is_empty(),
        "waits for the other server, which is full"
    );
    dispatch.cancel(20);
    let retry = Request { excluded: vec![other], ..request(21, 4_000) };
    assert_eq!(server_of(&dispatch.submit(at(1), retry)), ejected, "the other server is excluded");
    dispatch.finish(at(1), other, RequestOutcome::Unreachable);
    assert_eq!(server_of(&dispatch.submit(at(2), request(22, 4_000))), ejected, "the other server backs off");
}

#[test]
fn rejects_if_backoff_exceeds_deadline() {
    let mut dispatch = dispatch(&[instance("x", 6, "a")]);
    for ticket in 0..4 {
        let key = server_of(&dispatch.submit(at(ticket * 1_000), request(ticket, 60_000)));
        dispatch.finish(at(ticket * 1_000), key, RequestOutcome::Unreachable);
        dispatch.tick(at(ticket * 1_000 + 999));
    }
    // The backoff is 2 s now.
    let decisions = dispatch.submit(at(3_000), request(10, 4_500));
    let [Decision::Reject { retry_after, reason, .. }] = decisions[..] else { panic!("{decisions:?}") };
    assert_eq!(reason, RejectReason::TooLate);
    assert!(retry_after >= Duration::from_millis(1_800), "{retry_after:?} must not end before the backoff");
    assert!(dispatch.submit(at(3_000), request(11, 9_000)).is_empty(), "this request can wait");
}

fn started_at(id: &str, born: u64) -> Instance {
    Instance { born: Some(born), ..instance(id, 6, "a") }
}

#[test]
fn restarted_server_inherits_no_state() {
    let mut dispatch = dispatch(&[started_at("x", 1_000)]);
    let first = server_of(&dispatch.submit(at(0), request(0, 9_000)));
    let in_flight = server_of(&dispatch.submit(at(0), request(1, 9_000)));
    dispatch.record_load(at(1), first, ServerLoad { running: 6, waiting: 4, percent: None });
    dispatch.finish(at(1), first, COMPLETED);
    dispatch.mark_leaving(first);
    assert_eq!(dispatch.replace_instances(at(2), &[started_at("x", 1_000)]), [], "the same instance");
    let decisions = dispatch.replace_instances(at(3), &[started_at("x", 2_000)]);
    assert_eq!(decisions, [Decision::DropConnections { address: "10.0.0.1:80".parse().unwrap() }]);
    let second = server_of(&dispatch.submit(at(3), request(2, 9_000)));
    assert_ne!(second, first, "the new instance is neither leaving nor loaded");
    let server = &dispatch.servers[second];
    assert!(server.in_flight == 1 && !server.has_warm_connection(at(3)) && !server.is_ejected(at(3)));
    assert_eq!(
        dispatch.finish(at(4), in_flight, RequestOutcome::BadResponse),
        [],
        "outcomes of the earlier instance don't affect the new one"
    );
    assert_eq!(dispatch.servers[second].in_flight, 1);
    assert_eq!(dispatch.replace_instances(at(5), &[started_at("x", 2_000)]), [], "reported once");
    assert_eq!(
        dispatch.instances().count(),
        1,
        "the earlier instance is removed when nothing is in flight there"
    );
}

#[test]
fn stale_list_does_not_restore_earlier_instance() {
    let mut dispatch = dispatch(&[started_at("x", 2_000)]);
    let server = server_of(&dispatch.submit(at(0), request(0, 9_000)));
    for older in [started_at("x", 1_000), Instance { born: None, ..started_at("x", 0) }] {
        assert_eq!(
            dispatch.replace_instances(at(1), &[Instance { leaving: older.born.is_some(), ..older }]),
            []
        );
        assert_eq!(server_of(&dispatch.submit(at(1), request(1, 9_000))), server);
    }
    assert_eq!(dispatch.instance(server).unwrap().born, Some(2_000));
}

#[test]
fn drops_connections_of_removed_server_once() {
    let mut dispatch = dispatch(&[started_at("x", 1_000), started_at("y", 1_000)]);
    let in_flight = server_of(&dispatch.submit(at(0), request(0, 9_000)));
    let removed = dispatch.instance(in_flight).unwrap().clone();
    let other = if &*removed.id == "x" { started_at("y", 1_000) } else { started_at("x", 1_000) };
    let drop_connections = [Decision::DropConnections { address: removed.address }];
    assert_eq!(dispatch.replace_instances(at(1), std::slice::from_ref(&other)), drop_connections);
    assert_eq!(dispatch.replace_instances(at(2), &[other]), []);
}
