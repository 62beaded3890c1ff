//! Tests of the decisions of a node, among them the loads that they answer.

use agatetrestle_config::deployment::Decisions;

use super::*;

mod pool;
mod silent;
mod stale;

const SERVICE: &str = "engines";

fn instance(id: &str, slots: u32, zone: &str) -> Instance {
    Instance {
        id: id.into(),
        service: SERVICE.into(),
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
        ticket,
        service: SERVICE.into(),
        priority: 1,
        started: false,
        max_wait: Duration::from_secs(10),
        deadline: at(deadline),
        finish_by: at(deadline),
        affinity: None,
        excluded: Vec::new(),
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
        other => panic!("not sent alone: {other:?}"),
    }
}

const WHOLE: RequestOutcome = RequestOutcome::Completed(Duration::from_millis(100));

#[test]
fn requests_spread_over_the_servers_and_then_wait() {
    let mut dispatch = dispatch(&[instance("x", 2, "a"), instance("y", 2, "a")]);
    for ticket in 0..8 {
        assert_eq!(sent(&dispatch.submit(at(1), request(ticket, 4_000))), [ticket]);
    }
    assert!(dispatch.instances().all(|(_, running)| running == 4), "two in their places and two behind them");
    assert_eq!(dispatch.submit(at(1), request(8, 4_000)), []);
    assert_eq!(dispatch.waiting(), 1);
}

#[test]
fn a_free_place_goes_to_the_urgent_then_to_begun_programs_then_to_the_least_time_left() {
    let mut dispatch = dispatch(&[instance("x", 1, "a")]);
    let server = server_of(&dispatch.submit(at(0), request(0, 9_000)));
    dispatch.submit(at(0), request(10, 9_000));
    dispatch.submit(at(0), request(1, 9_000));
    dispatch.submit(at(0), request(2, 8_000));
    dispatch.submit(at(0), Request { started: true, ..request(3, 9_500) });
    dispatch.submit(at(0), Request { priority: 0, ..request(4, 9_900) });
    let mut order = Vec::new();
    for step in 1..=4 {
        order.extend(sent(&dispatch.finish(at(step), server, WHOLE)));
    }
    assert_eq!(order, [4, 3, 2, 1]);
}

#[test]
fn what_can_not_be_served_in_time_is_turned_away_at_once() {
    let mut dispatch = dispatch(&[instance("x", 1, "a")]);
    dispatch.submit(at(0), request(0, 4_000));
    let decisions = dispatch.submit(at(0), request(1, 150));
    assert!(
        matches!(decisions[..], [Decision::Reject { ticket: 1, reason: RejectReason::TooLate, .. }]),
        "{decisions:?}"
    );
}

#[test]
fn a_burst_beyond_the_places_turns_away_the_rest_at_once_and_serves_what_it_took() {
    // 8 places of 100 ms serve 80 requests a second; 400 come at once, each with a second left.
    let mut dispatch = dispatch(&[instance("x", 4, "a"), instance("y", 4, "a")]);
    let mut in_service = Vec::new();
    let mut turned_away = 0;
    let mut take = |decisions: Vec<Decision>, now: u64, in_service: &mut Vec<(u64, ServerKey)>| {
        for decision in decisions {
            match decision {
                Decision::Send { server, .. } => in_service.push((now + 100, server)),
                Decision::Reject { retry_after, .. } => {
                    assert!(retry_after >= RETRY_AFTER.0 && retry_after <= RETRY_AFTER.1);
                    assert_eq!(now, 0, "a request is turned away when it comes, not while it waits");
                    turned_away += 1;
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
        while let Some(place) = in_service.iter().position(|(end, _)| *end <= now) {
            let (_, server) = in_service.swap_remove(place);
            answered += 1;
            take(dispatch.finish(at(now), server, WHOLE), now, &mut in_service);
        }
    }
    assert_eq!(answered + turned_away, 400);
    assert!(answered >= 30, "{answered} were answered");
    assert_eq!(dispatch.waiting(), 0);
}

#[test]
fn a_leaving_server_gets_nothing_even_if_a_lagging_list_calls_it_ready() {
    let mut dispatch = dispatch(&[instance("x", 4, "a")]);
    let server = server_of(&dispatch.submit(at(0), request(0, 4_000)));
    dispatch.mark_leaving(server);
    dispatch.replace_instances(at(1), &[instance("x", 4, "a")]);
    let decisions = dispatch.submit(at(1), request(1, 4_000));
    assert!(matches!(decisions[..], [Decision::Reject { reason: RejectReason::NoServer, .. }]));
}

#[test]
fn an_unreachable_server_rests_and_its_requests_wait_for_it_if_it_is_the_only_one() {
    let mut dispatch = dispatch(&[instance("x", 4, "a")]);
    let server = server_of(&dispatch.submit(at(0), request(0, 4_000)));
    dispatch.finish(at(1), server, RequestOutcome::Unreachable);
    assert_eq!(dispatch.submit(at(2), request(1, 4_000)), []);
    assert_eq!(sent(&dispatch.tick(at(300))), [1]);
}

#[test]
fn a_server_that_is_busy_with_the_requests_of_other_nodes_is_left_alone() {
    let mut dispatch = dispatch(&[instance("x", 4, "a"), instance("y", 4, "a")]);
    let first = server_of(&dispatch.submit(at(0), request(0, 4_000)));
    dispatch.record_load(at(0), first, ServerLoad { running: 4, waiting: 1 });
    for ticket in 1..4 {
        assert_ne!(server_of(&dispatch.submit(at(1), request(ticket, 4_000))), first);
    }
}

#[test]
fn requests_that_share_a_prompt_meet_at_one_server_whichever_node_they_come_through() {
    let instances: Vec<Instance> = (0..9).map(|n| instance(&format!("i-{n}"), 16, "a")).collect();
    let place = |seed: u64, shared: u64| {
        let mut dispatch = Dispatch::new("a".into(), seed);
        dispatch.replace_instances(at(0), &instances);
        let decisions = dispatch.submit(at(0), Request { affinity: Some(shared), ..request(0, 4_000) });
        dispatch.instance(server_of(&decisions)).unwrap().id.clone()
    };
    for shared in 0..20 {
        assert_eq!(place(1, shared), place(2, shared));
    }
}

#[test]
fn a_program_whose_time_is_up_goes_after_all_that_can_still_end_in_time() {
    let mut dispatch = dispatch(&[instance("x", 1, "a")]);
    let server = server_of(&dispatch.submit(at(0), request(0, 9_000)));
    dispatch.submit(at(0), request(10, 9_000));
    let lost = Request { finish_by: at(1), priority: 0, started: true, ..request(1, 9_000) };
    dispatch.submit(at(10), lost);
    dispatch.submit(at(10), request(2, 9_000));
    assert_eq!(sent(&dispatch.finish(at(20), server, WHOLE)), [2]);
    assert_eq!(sent(&dispatch.finish(at(30), server, WHOLE)), [1]);
}

#[test]
fn in_a_burst_new_programs_are_told_at_once_to_come_back_and_begun_ones_wait() {
    let mut dispatch = dispatch(&[instance("x", 2, "a")]);
    for ticket in 10..14 {
        dispatch.submit(at(0), request(ticket, 9_000));
    }
    let max_wait = Duration::from_millis(100);
    for ticket in 2..6 {
        let begun = Request { started: true, max_wait, ..request(ticket, 9_000) };
        assert_eq!(dispatch.submit(at(1), begun), []);
    }
    let decisions = dispatch.submit(at(1), Request { max_wait, ..request(6, 9_000) });
    let [Decision::Reject { ticket: 6, retry_after, .. }] = decisions[..] else {
        panic!("not turned away: {decisions:?}");
    };
    assert!(retry_after > max_wait, "it comes back when a place is expected, not before");
    assert_eq!(dispatch.waiting(), 4);
}

#[test]
fn a_server_of_which_nothing_was_heard_is_taken_to_be_as_busy_as_the_others() {
    // Two servers told lately of 6 requests of other nodes each; this node sends them 2 each. The third told of 6 too,
    // but so long ago that forgetting it would make it look idle and draw every request of every node.
    let mut dispatch = dispatch(&[instance("x", 16, "a"), instance("y", 16, "a"), instance("z", 16, "a")]);
    let mut servers = Vec::new();
    for ticket in 0..3 {
        servers.push(server_of(&dispatch.submit(at(0), request(ticket, 9_000))));
    }
    for server in &servers {
        dispatch.record_load(at(0), *server, ServerLoad { running: 7, waiting: 0 });
    }
    for server in &servers[..2] {
        dispatch.record_load(at(1_000), *server, ServerLoad { running: 7, waiting: 0 });
    }
    let mut to_third = 0;
    for ticket in 10..16 {
        to_third += u32::from(server_of(&dispatch.submit(at(1_000), request(ticket, 9_000))) == servers[2]);
    }
    assert_eq!(to_third, 2, "each gets its third");
}

#[test]
fn of_idle_servers_the_one_with_an_open_connection_is_used_again() {
    let instances: Vec<Instance> = (0..9).map(|n| instance(&format!("i-{n}"), 6, "a")).collect();
    let mut dispatch = dispatch(&instances);
    let first = server_of(&dispatch.submit(at(0), request(0, 9_000)));
    dispatch.finish(at(100), first, WHOLE);
    for ticket in 1..6 {
        let now = 100 + ticket * 100;
        assert_eq!(server_of(&dispatch.submit(at(now), request(ticket, 9_000))), first);
        dispatch.finish(at(now + 50), first, WHOLE);
    }
    let busy = server_of(&dispatch.submit(at(800), request(7, 9_000)));
    assert_ne!(
        server_of(&dispatch.submit(at(800), request(8, 9_000))),
        busy,
        "but not behind another request"
    );
}

/// Sends one request each 100 ms to ten servers, of which some fail a share of theirs, and returns how many failed in
/// each half of the time.
fn failures(bad: usize, share: u64, outcome: RequestOutcome) -> [usize; 2] {
    let instances: Vec<Instance> = (0..10).map(|number| instance(&format!("s-{number}"), 6, "a")).collect();
    let mut dispatch = dispatch(&instances);
    let mut rng = Random::new(5);
    let mut failed = [0, 0];
    for number in 0..400_u64 {
        let now = at(number * 100);
        let key = server_of(&dispatch.submit(now, request(number, number * 100 + 4_000)));
        let id = &dispatch.instance(key).unwrap().id;
        let ill = (0..bad).any(|number| **id == format!("s-{number}"));
        // Every server spoils some answers.
        let fails = rng.below(100) < if ill { share } else { 2 };
        failed[usize::from(number >= 200)] += usize::from(fails);
        dispatch.finish(now, key, if fails { outcome } else { WHOLE });
    }
    failed
}

#[test]
fn servers_that_fail_in_part_are_found_by_their_outcomes() {
    for outcome in [
        RequestOutcome::BadResponse,
        RequestOutcome::ServerError(Duration::from_millis(3)),
        RequestOutcome::Unresponsive,
    ] {
        let [first, then] = failures(2, 40, outcome);
        assert!(first <= 14 && then <= 8, "{outcome:?}: {first} and {then}; 19 each without a test");
    }
}

#[test]
fn two_failures_far_apart_are_chance_and_those_of_requests_on_their_way_count_once() {
    let mut dispatch = dispatch(&[instance("x", 6, "a"), instance("y", 6, "a"), instance("z", 6, "a")]);
    let mut suspected = Vec::new();
    for number in 0..300_u64 {
        let now = at(number * 100);
        let key = server_of(&dispatch.submit(now, request(number, number * 100 + 4_000)));
        let outcome = if number % 50 == 49 { RequestOutcome::BadResponse } else { WHOLE };
        suspected.extend(dispatch.finish(now, key, outcome));
    }
    assert!(suspected.is_empty(), "{suspected:?}");
    let now = at(40_000);
    let sent: Vec<ServerKey> =
        (0..18).map(|ticket| server_of(&dispatch.submit(now, request(1_000 + ticket, 60_000)))).collect();
    let worst = sent[0];
    for key in sent.into_iter().filter(|key| *key == worst) {
        let decisions = dispatch.finish(now, key, RequestOutcome::Unresponsive);
        suspected.extend(decisions.into_iter().filter(|decision| matches!(decision, Decision::Eject { .. })));
    }
    let Some(Decision::Eject { until, .. }) = suspected.first() else { panic!("it was not suspected") };
    assert_eq!((suspected.len(), *until), (1, at(42_000)), "six failures of one moment are one alarm");
}

#[test]
fn a_fault_that_all_servers_share_leaves_most_in_use() {
    let [first, then] = failures(10, 40, RequestOutcome::Unresponsive);
    assert!(first + then > 100, "requests were sent all the time: {first} and {then}");
}

/// Sends five requests to two servers with one place each, which are full, under some rules.
fn under(rules: Decisions) -> (Vec<u64>, Vec<Arc<str>>, usize) {
    let mut dispatch = Dispatch::new("a".into(), 1).with_policy(rules);
    dispatch.replace_instances(at(0), &[instance("x", 1, "a"), instance("y", 1, "a")]);
    let full = if rules == Decisions::Places { 0 } else { 2 };
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
    let turned_away = decisions.iter().filter(|decision| matches!(decision, Decision::Reject { .. })).count();
    for server in servers {
        decisions.extend(dispatch.finish(at(100), server, WHOLE));
    }
    let order = sent(&decisions).into_iter().filter(|ticket| *ticket < 10).collect();
    (order, names, turned_away)
}

#[test]
fn each_baseline_replaces_one_decision() {
    assert_eq!(under(Decisions::Own).0, [1, 2, 4, 3], "the urgent one goes first");
    assert_eq!(under(Decisions::Own).2, 1, "the last would come too late");
    assert_eq!(under(Decisions::FirstCome).0, [1, 2, 3, 4]);
    assert_eq!(under(Decisions::NoRejection).2, 0);
    assert_eq!(under(Decisions::Places).0, [1, 2, 4, 3], "nothing is sent beyond the places");
    assert_eq!([under(Decisions::RoundRobin).1.len(), under(Decisions::Places).1.len()], [4, 2]);
    let home = |rules: Decisions| {
        let instances: Vec<Instance> =
            (0..8).map(|number| instance(&format!("s-{number}"), 8, "a")).collect();
        let mut dispatch = Dispatch::new("a".into(), 1).with_policy(rules);
        dispatch.replace_instances(at(0), &instances);
        let keys = (0..6).map(|ticket| {
            server_of(&dispatch.submit(at(0), Request { affinity: Some(9), ..request(ticket, 4_000) }))
        });
        keys.collect::<std::collections::BTreeSet<ServerKey>>().len()
    };
    assert_eq!([home(Decisions::Own), home(Decisions::LeastLoad), home(Decisions::RoundRobin)], [1, 6, 6]);
}

#[test]
fn a_server_that_rests_for_a_lost_connection_is_not_held_to_be_suspected() {
    let mut dispatch = dispatch(&[instance("x", 6, "a"), instance("y", 6, "a")]);
    let sent = (0..12).map(|ticket| server_of(&dispatch.submit(at(0), request(ticket, 4_000))));
    let sent: Vec<ServerKey> = sent.collect();
    let first = sent[0];
    for key in sent.iter().filter(|key| **key == first) {
        dispatch.finish(at(0), *key, RequestOutcome::Unresponsive);
    }
    let server = &dispatch.servers[first];
    assert_eq!([server.is_out(at(1_000)), server.is_out(at(2_000))], [true, false]);
    dispatch.submit(at(3_000), request(20, 9_000));
    dispatch.finish(at(3_000), first, RequestOutcome::Unreachable);
    let server = &dispatch.servers[first];
    assert!(!server.usable(at(3_100)) && !server.is_out(at(3_100)), "it rests for a moment's failure");
}

#[test]
fn a_suspected_server_is_used_where_there_is_no_other() {
    let mut dispatch = dispatch(&[instance("x", 6, "a"), instance("y", 6, "a")]);
    let sent = (0..24).map(|ticket| server_of(&dispatch.submit(at(0), request(ticket, 4_000))));
    let sent: Vec<ServerKey> = sent.collect();
    let suspected = sent[0];
    let other = *sent.iter().find(|key| **key != suspected).unwrap();
    for key in sent.iter().filter(|key| **key == suspected) {
        dispatch.finish(at(0), *key, RequestOutcome::Unresponsive);
    }
    assert!(
        dispatch.submit(at(1), request(20, 4_000)).is_empty(),
        "the other is full, and worth waiting for"
    );
    dispatch.cancel(20);
    let again = Request { excluded: vec![other], ..request(21, 4_000) };
    assert_eq!(server_of(&dispatch.submit(at(1), again)), suspected, "the other has had it");
    dispatch.finish(at(1), other, RequestOutcome::Unreachable);
    assert_eq!(server_of(&dispatch.submit(at(2), request(22, 4_000))), suspected, "the other rests");
}

#[test]
fn a_request_is_turned_away_at_once_if_all_servers_rest_beyond_its_deadline() {
    let mut dispatch = dispatch(&[instance("x", 6, "a")]);
    for ticket in 0..4 {
        let key = server_of(&dispatch.submit(at(ticket * 1_000), request(ticket, 60_000)));
        dispatch.finish(at(ticket * 1_000), key, RequestOutcome::Unreachable);
        dispatch.tick(at(ticket * 1_000 + 999));
    }
    // It rests for 2 s now.
    let decisions = dispatch.submit(at(3_000), request(10, 4_500));
    let [Decision::Reject { retry_after, reason, .. }] = decisions[..] else { panic!("{decisions:?}") };
    assert_eq!(reason, RejectReason::TooLate);
    assert!(retry_after >= Duration::from_millis(1_800), "{retry_after:?} is when a server may be back");
    assert!(dispatch.submit(at(3_000), request(11, 9_000)).is_empty(), "this one has time to wait");
}

fn life(id: &str, born: u64) -> Instance {
    Instance { born: Some(born), ..instance(id, 6, "a") }
}

#[test]
fn of_a_server_that_began_anew_under_its_id_nothing_is_believed() {
    let mut dispatch = dispatch(&[life("x", 1_000)]);
    let first = server_of(&dispatch.submit(at(0), request(0, 9_000)));
    let under_way = server_of(&dispatch.submit(at(0), request(1, 9_000)));
    dispatch.record_load(at(1), first, ServerLoad { running: 6, waiting: 4 });
    dispatch.finish(at(1), first, WHOLE);
    dispatch.mark_leaving(first);
    assert_eq!(dispatch.replace_instances(at(2), &[life("x", 1_000)]), [], "the same life");
    let decisions = dispatch.replace_instances(at(3), &[life("x", 2_000)]);
    assert_eq!(decisions, [Decision::DropConnections { address: "10.0.0.1:80".parse().unwrap() }]);
    let second = server_of(&dispatch.submit(at(3), request(2, 9_000)));
    assert_ne!(second, first, "it leaves no longer, and its old load is void");
    let server = &dispatch.servers[second];
    assert!(server.running == 1 && !server.is_warm(at(3)) && !server.is_out(at(3)));
    assert_eq!(
        dispatch.finish(at(4), under_way, RequestOutcome::BadResponse),
        [],
        "what the earlier life does is its own"
    );
    assert_eq!(dispatch.servers[second].running, 1);
    assert_eq!(dispatch.replace_instances(at(5), &[life("x", 2_000)]), [], "told once");
    assert_eq!(
        dispatch.instances().count(),
        1,
        "the earlier life is forgotten once nothing is in service there"
    );
}

#[test]
fn a_list_that_lags_brings_no_earlier_life_back() {
    let mut dispatch = dispatch(&[life("x", 2_000)]);
    let server = server_of(&dispatch.submit(at(0), request(0, 9_000)));
    for older in [life("x", 1_000), Instance { born: None, ..life("x", 0) }] {
        assert_eq!(
            dispatch.replace_instances(at(1), &[Instance { leaving: older.born.is_some(), ..older }]),
            []
        );
        assert_eq!(server_of(&dispatch.submit(at(1), request(1, 9_000))), server);
    }
    assert_eq!(dispatch.instance(server).unwrap().born, Some(2_000));
}

#[test]
fn connections_to_a_server_that_is_not_listed_any_more_are_forgotten_once() {
    let mut dispatch = dispatch(&[life("x", 1_000), life("y", 1_000)]);
    let under_way = server_of(&dispatch.submit(at(0), request(0, 9_000)));
    let gone = dispatch.instance(under_way).unwrap().clone();
    let other = if &*gone.id == "x" { life("y", 1_000) } else { life("x", 1_000) };
    let forget = [Decision::DropConnections { address: gone.address }];
    assert_eq!(dispatch.replace_instances(at(1), std::slice::from_ref(&other)), forget);
    assert_eq!(dispatch.replace_instances(at(2), &[other]), []);
}
