//! Tests of the candidates for a leader, and of the move of a request to the one that it chooses.

use super::*;
use crate::turns::command::MAX_CANDIDATES;

fn in_flight(dispatch: &Dispatch, key: ServerKey) -> u32 {
    dispatch.servers[key].in_flight
}

/// Guards against a leader that cannot keep the choice of the entry, and against long log entries.
#[test]
fn candidates_start_with_the_own_choice() {
    let instances: Vec<Instance> = (0..40).map(|number| instance(&format!("s-{number}"), 6, "a")).collect();
    let mut dispatch = dispatch(&instances);
    let profile = RequestProfile { prompt_tokens: Some(3_000), ..RequestProfile::default() };
    let affine = Request { affinity: Some(7), profile, ..request(1, 1_000) };
    let home = server_of(&dispatch.submit(at(0), affine.clone()));
    let candidates = dispatch.candidates(at(1), &affine);
    assert_eq!(candidates[0].0, home);
    let different: BTreeSet<ServerKey> = candidates.iter().map(|(key, _)| *key).collect();
    assert_eq!((candidates.len(), different.len()), (MAX_CANDIDATES, MAX_CANDIDATES));
    assert!(candidates[1..].iter().all(|(_, expected)| *expected > candidates[0].1), "{candidates:?}");
    let seen = |dispatch: &mut Dispatch| -> BTreeSet<ServerKey> {
        (2..40).flat_map(|millis| dispatch.candidates(at(millis), &affine)).map(|(key, _)| key).collect()
    };
    assert_eq!(seen(&mut dispatch).len(), 40, "each server is a candidate now and then");
}

/// Guards against candidates that the request must not be sent to.
#[test]
fn candidates_accept_the_request() {
    let mut dispatch = dispatch(&[instance("x", 2, "a"), instance("y", 2, "b"), instance("z", 2, "a")]);
    let [x, y, z] = ["x", "y", "z"].map(|id| dispatch.by_id[id]);
    let keys = |dispatch: &mut Dispatch, request: &Request| -> BTreeSet<ServerKey> {
        dispatch.candidates(at(0), request).into_iter().map(|(key, _)| key).collect()
    };
    assert_eq!(keys(&mut dispatch, &request(1, 1_000)), BTreeSet::from([x, y, z]));
    let retried = Request { excluded: vec![x], ..request(1, 1_000) };
    assert_eq!(keys(&mut dispatch, &retried), BTreeSet::from([y, z]));
    dispatch.mark_leaving(z);
    assert_eq!(keys(&mut dispatch, &retried), BTreeSet::from([y]));
    dispatch.mark_leaving(y);
    assert_eq!(keys(&mut dispatch, &retried), BTreeSet::new());
    let unknown = Request { service: "nobody".into(), ..request(1, 1_000) };
    assert_eq!(keys(&mut dispatch, &unknown), BTreeSet::new());
}

/// Guards against a request that counts at two servers, or at none, after the leader moved it.
#[test]
fn reassigned_request_counts_at_its_new_server() {
    let mut dispatch = dispatch(&[instance("x", 2, "a"), instance("y", 2, "a")]);
    let from = server_of(&dispatch.submit(at(0), request(1, 1_000)));
    let to =
        dispatch.candidates(at(0), &request(1, 1_000)).into_iter().find(|(key, _)| *key != from).unwrap().0;
    assert!(dispatch.reassign(at(0), from, to));
    assert_eq!((in_flight(&dispatch, from), in_flight(&dispatch, to)), (0, 1));
    dispatch.finish(at(100), to, COMPLETED);
    assert_eq!((in_flight(&dispatch, from), in_flight(&dispatch, to)), (0, 0));
}

/// Guards against a stale choice of the leader that overrides what the entry knows of a server.
#[test]
fn reassign_refuses_servers_that_accept_nothing() {
    let mut dispatch = dispatch(&[instance("x", 2, "a"), instance("y", 2, "a"), instance("z", 2, "a")]);
    let from = server_of(&dispatch.submit(at(0), request(1, 1_000)));
    let others: Vec<ServerKey> =
        dispatch.instances_by_key().map(|(key, _)| key).filter(|key| *key != from).collect();
    dispatch.mark_leaving(others[0]);
    dispatch.servers[others[1]].in_flight += 1;
    dispatch.finish(at(0), others[1], RequestOutcome::Unreachable);
    for to in others {
        assert!(!dispatch.reassign(at(1), from, to));
        assert_eq!((in_flight(&dispatch, from), in_flight(&dispatch, to)), (1, 0));
    }
    assert!(!dispatch.reassign(at(1), from, ServerKey::default()));
}
