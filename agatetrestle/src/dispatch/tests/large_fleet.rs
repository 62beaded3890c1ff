//! Tests of dispatch before many more servers than one node uses.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use super::*;
use crate::backends::BackendChange;
use crate::cluster::message::ListVersion;
use crate::scheduler::random::Random;

const ZONES: usize = 5;

fn fleet(count: usize) -> Vec<Instance> {
    let zone = |number: usize| ["a", "b", "c", "d", "e"][number % ZONES];
    (0..count).map(|number| instance(&format!("i-{number:05}"), 6, zone(number))).collect()
}

fn node(zone: &str, seed: u64, instances: &[Instance]) -> Dispatch {
    let mut dispatch = Dispatch::new(zone.into(), seed);
    dispatch.replace_instances(at(0), instances);
    dispatch
}

fn with_prompt(ticket: u64, prompt: u64) -> Request {
    Request { affinity: Some(prompt), ..request(ticket, 60_000) }
}

/// The id of the server that a request is sent to, which then completes it.
fn serve(dispatch: &mut Dispatch, millis: u64, request: Request) -> Arc<str> {
    let server = server_of(&dispatch.submit(at(millis), request));
    let id = dispatch.instance(server).unwrap().id.clone();
    dispatch.finish(at(millis + 1), server, COMPLETED);
    id
}

fn changes(gone: &[&str], put: &[Instance]) -> BackendChange {
    let gone = gone.iter().map(|id| (*id).into()).collect();
    BackendChange::Since { from: ListVersion::default(), gone, put: put.to_vec() }
}

#[test]
fn choice_looks_at_as_many_servers_in_a_fleet_of_any_size() {
    let candidates = |count: usize| {
        let mut dispatch = node("a", 1, &fleet(count));
        for ticket in 0..500 {
            serve(&mut dispatch, ticket * 20, request(ticket, 60_000));
        }
        dispatch.pools[&Arc::from(SERVICE)].candidates(7).keys().len()
    };
    let [small, large, twice] = [1_000, 10_000, 20_000].map(candidates);
    assert!(small.max(large).max(twice) < 400, "{small}, {large} and {twice} servers");
}

#[test]
fn nodes_of_a_failure_domain_send_a_prompt_to_one_server() {
    let fleet = fleet(5_000);
    let mut nodes: Vec<Dispatch> = (0..4).map(|seed| node("b", seed, &fleet)).collect();
    let mut random = Random::new(3);
    for ticket in 0..200 {
        // Each node has used other servers before, which must not change where it looks for the prompt.
        let other = random.below(4);
        serve(&mut nodes[usize::try_from(other).unwrap()], ticket * 10, request(1_000 + ticket, 60_000));
        let prompt = random.below(u64::MAX);
        let servers: BTreeSet<Arc<str>> =
            nodes.iter_mut().map(|node| serve(node, ticket * 10, with_prompt(ticket, prompt))).collect();
        assert_eq!(servers.len(), 1, "prompt {prompt}");
    }
}

#[test]
fn prompts_are_spread_evenly() {
    let mut dispatch = node("a", 1, &fleet(1_000));
    let mut random = Random::new(5);
    let mut counts: BTreeMap<Arc<str>, u32> = BTreeMap::new();
    for ticket in 0..8_000 {
        let id = serve(&mut dispatch, ticket * 5, with_prompt(ticket, random.below(u64::MAX)));
        *counts.entry(id).or_default() += 1;
    }
    let local = counts.len();
    assert_eq!(local, 1_000 / ZONES, "all servers of the failure domain, and no others");
    let (most, mean) = (*counts.values().max().unwrap(), 8_000 / u32::try_from(local).unwrap());
    assert!(most < mean * 2, "{most} to one server, {mean} on average");
}

#[test]
fn looks_at_all_servers_if_no_candidate_has_a_free_slot() {
    let mut dispatch = node("a", 1, &fleet(1_000));
    let mut sent = 0;
    // All slots of the fleet, with the same prompt: the windows are full after a few hundred.
    for ticket in 0..6_000 {
        sent += usize::from(!super::sent(&dispatch.submit(at(1), with_prompt(ticket, 9))).is_empty());
    }
    assert_eq!(sent, 6_000);
    let most = dispatch.instances().map(|(_, in_flight)| in_flight).max();
    assert_eq!(most, Some(12), "the preferred server takes its overcommitment, the others their slots");
}

#[test]
fn change_of_the_list_has_the_effect_of_the_full_list() {
    let before = fleet(300);
    let mut dispatch = node("a", 1, &before);
    let busy = server_of(&dispatch.submit(at(1), request(1, 9_000)));
    let busy_id = dispatch.instance(busy).unwrap().id.clone();
    let leaving = Instance { leaving: true, ..before[7].clone() };
    let restarted = Instance { born: Some(5), ..before[8].clone() };
    let added = instance("i-new", 6, "a");
    let decisions =
        dispatch.apply_change(at(2), &changes(&["i-00009", &busy_id], &[leaving, restarted.clone(), added]));
    let dropped = decisions.iter().filter(|decision| matches!(decision, Decision::DropConnections { .. }));
    assert_eq!(dropped.count(), 3, "two are gone and one was restarted");
    assert_eq!(dispatch.instances().count(), 300, "the busy one is kept until its request ends");
    assert_eq!(dispatch.instance(dispatch.by_id[&restarted.id]).unwrap().born, Some(5));
    assert_eq!(dispatch.total_slots(&SERVICE.into()), 298 * 6, "neither the leaving nor the gone ones");
    dispatch.finish(at(3), busy, COMPLETED);
    dispatch.apply_change(at(4), &changes(&[], &[]));
    assert_eq!((dispatch.instances().count(), dispatch.instance(busy)), (299, None));
    assert_eq!(dispatch.pools[&Arc::from(SERVICE)].len(), 299);
}

#[test]
fn change_leaves_other_servers_as_they_were() {
    let mut dispatch = node("a", 1, &fleet(10_000));
    let keys: Vec<ServerKey> = dispatch.instances_by_key().map(|(key, _)| key).collect();
    let replaced = Instance { id: "i-next".into(), ..fleet(1).remove(0) };
    dispatch.apply_change(at(1), &changes(&["i-00000"], &[replaced]));
    let kept: BTreeSet<ServerKey> = dispatch.instances_by_key().map(|(key, _)| key).collect();
    assert_eq!(keys.iter().filter(|key| kept.contains(key)).count(), 9_999);
    assert_eq!(dispatch.unlisted.len(), 0);
}
