//! Tests of servers of several software versions.

use super::simulation::ResumedStreams;
use super::simulation::Scenario;
use super::simulation::simulate;
use super::*;

fn server(id: &str, version: &str) -> Instance {
    Instance { version: version.into(), ..instance(id, 2, "a") }
}

fn resumed(ticket: u64, version: &str) -> Request {
    Request { version: Some(version.into()), ..request(ticket, 9_000) }
}

fn id_of(dispatch: &Dispatch, decisions: &[Decision]) -> String {
    dispatch.instance(server_of(decisions)).unwrap().id.to_string()
}

fn rejection(decisions: &[Decision]) -> Option<RejectReason> {
    match decisions {
        [Decision::Reject { reason, .. }] => Some(*reason),
        _ => None,
    }
}

#[test]
fn resumed_stream_goes_to_a_server_of_its_version() {
    let mut dispatch = dispatch(&[server("x", "v1"), server("y", "v2"), server("z", "v2")]);
    for ticket in 0..3 {
        let decisions = dispatch.submit(at(0), resumed(ticket, "v1"));
        assert_eq!(id_of(&dispatch, &decisions), "x");
    }
    let decisions = dispatch.submit(at(0), resumed(3, "v3"));
    assert_eq!(rejection(&decisions), Some(RejectReason::NoServer));
}

/// Guards against a resumed stream at the head of the queue that holds up requests for which other servers are free.
#[test]
fn waiting_resumed_stream_blocks_no_other_request() {
    let mut dispatch = dispatch(&[server("x", "v1"), server("y", "v2")]);
    for ticket in 0..4 {
        server_of(&dispatch.submit(at(0), resumed(ticket, "v1")));
    }
    assert_eq!(dispatch.submit(at(0), Request { started: true, ..resumed(4, "v1") }), []);
    let decisions = dispatch.submit(at(0), request(5, 9_000));
    assert_eq!(id_of(&dispatch, &decisions), "y");
}

#[test]
fn leaving_server_takes_its_streams_for_a_second_if_none_of_the_version_stays() {
    let both = [server("x", "v1"), server("w", "v1"), server("y", "v2")];
    let leaving = |ids: &[&str]| -> Vec<Instance> {
        let leaves = |server: &Instance| Instance { leaving: ids.contains(&&*server.id), ..server.clone() };
        both.iter().map(leaves).collect()
    };
    let mut dispatch = dispatch(&both);
    dispatch.replace_instances(at(0), &leaving(&["x"]));
    for ticket in 0..4 {
        let decisions = dispatch.submit(at(100), resumed(ticket, "v1"));
        assert_eq!(id_of(&dispatch, &decisions), "w", "a server that stays goes first");
    }
    dispatch.replace_instances(at(200), &leaving(&["x", "w"]));
    let decisions = dispatch.submit(at(900), resumed(5, "v1"));
    assert_eq!(id_of(&dispatch, &decisions), "x");
    let decisions = dispatch.submit(at(900), request(6, 9_000));
    assert_eq!(id_of(&dispatch, &decisions), "y", "new streams do not begin there");
    let decisions = dispatch.submit(at(1_300), resumed(7, "v1"));
    assert_eq!(rejection(&decisions), Some(RejectReason::NoServer));
}

#[test]
fn server_that_was_never_seen_staying_takes_no_streams() {
    let leaving = Instance { leaving: true, ..server("x", "v1") };
    let mut dispatch = dispatch(&[leaving, server("y", "v2")]);
    let decisions = dispatch.submit(at(1), resumed(1, "v1"));
    assert_eq!(rejection(&decisions), Some(RejectReason::NoServer));
}

/// Replays the load of the decision: resumed streams that two of nine servers may take, beside new streams for all of them, up
/// to half more than the servers can run. The share that goes on must be half of the share of new ones at least.
#[test]
fn resumed_streams_are_served_like_new_ones_under_load() {
    for percent_of_capacity in [60, 100, 150] {
        for seed in [1, 3, 5] {
            let scenario = Scenario {
                nodes: 9,
                servers: 9,
                slots: 16,
                queue_limit: 48,
                rate: 9 * 16 * 5 * percent_of_capacity / 100,
                duration: 1_500_000,
                service_time: 200_000,
                slowdown: 1,
                time_limit: 800_000,
                engines: None,
                resumed: Some(ResumedStreams { servers: 2, percent: 10 }),
            };
            let stats = simulate(scenario, Decisions::Own, seed);
            let [new, resumed] = stats.by_kind.map(|(arrived, done)| done * 1_000 / arrived.max(1));
            println!("load {percent_of_capacity} %, seed {seed}: new {new}, resumed {resumed} of 1000");
            assert!(resumed * 2 >= new, "load {percent_of_capacity} %, seed {seed}: {resumed} of 1000");
        }
    }
}
