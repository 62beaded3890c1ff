//! Tests of lists that are distributed by version.

use agatetrestle_config::deployment::Role;
use proptest::prelude::*;

use super::backend;
use super::member;
use crate::backends::BackendChange;
use crate::backends::Instance;
use crate::cluster::message::ListVersion;
use crate::cluster::message::Member;
use crate::cluster::versioned::ListChange;
use crate::cluster::versioned::Scope;
use crate::cluster::versioned::VersionedList;

type BackendList = VersionedList<Instance>;

fn servers(count: usize, leaving: usize) -> Vec<Instance> {
    (0..count).map(|number| backend(&format!("e-{number:05}"), number == leaving)).collect()
}

fn loaded(term: u64, items: Vec<Instance>) -> BackendList {
    let mut list = BackendList::default();
    list.replace(term, items);
    list
}

fn items(list: &BackendList) -> Vec<Instance> {
    list.items().cloned().collect()
}

fn transferred(change: &BackendChange) -> usize {
    match change {
        ListChange::Whole(items) => items.len(),
        ListChange::Since { gone, put, .. } => gone.len() + put.len(),
    }
}

/// Brings a receiver up to date with a sender, and returns the number of items transferred.
fn synchronize(sender: &BackendList, receiver: &mut BackendList) -> usize {
    let (current, known) = (sender.version(Scope::Public), receiver.version(Scope::All));
    if current <= known {
        return 0;
    }
    let change = sender.change_since(known, Scope::Public);
    let count = transferred(&change);
    assert!(receiver.apply(current, &change));
    count
}

#[test]
fn change_of_leader_transfers_only_what_changed() {
    const PROCESSES: usize = 100;
    const SERVERS: usize = 1_000;
    let mut leader = loaded(1, servers(SERVERS, 0));
    let mut successor = BackendList::default();
    assert_eq!(synchronize(&leader, &mut successor), SERVERS, "a new process gets the full list");
    let mut processes = vec![successor.clone(); PROCESSES];
    leader.replace(1, servers(SERVERS, 1));
    for process in processes.iter_mut().take(PROCESSES / 2) {
        synchronize(&leader, process);
    }
    synchronize(&leader, &mut successor);
    successor.start_term(2);
    successor.replace(2, servers(SERVERS, 2));
    let counts: Vec<usize> = processes.iter_mut().map(|process| synchronize(&successor, process)).collect();
    assert_eq!(counts.iter().max(), Some(&3), "two changes touch three servers");
    assert!(processes.iter().all(|process| items(process) == servers(SERVERS, 2)));
}

#[test]
fn delta_reaches_back_over_any_number_of_changes() {
    let mut leader = loaded(1, servers(1_000, 0));
    let mut process = BackendList::default();
    synchronize(&leader, &mut process);
    for leaving in 1..100 {
        leader.replace(1, servers(1_000, leaving));
    }
    assert_eq!(synchronize(&leader, &mut process), 100);
    assert_eq!(items(&process), servers(1_000, 99));
}

#[test]
fn process_ahead_of_new_leader_gets_full_list() {
    let mut leader = loaded(1, servers(10, 0));
    let mut successor = BackendList::default();
    synchronize(&leader, &mut successor);
    let mut process = successor.clone();
    // The process hears of a change that the successor does not, and that is reverted by the time the successor leads.
    leader.replace(1, servers(10, 1));
    synchronize(&leader, &mut process);
    successor.start_term(2);
    assert!(!successor.replace(2, servers(10, 0)), "the successor sees no change");
    assert_eq!(synchronize(&successor, &mut process), 10);
    assert_eq!(items(&process), servers(10, 0));
}

#[test]
fn superseded_leader_changes_nothing() {
    let mut list = loaded(2, servers(10, 0));
    let version = list.version(Scope::All);
    assert!(!list.replace(1, servers(10, 1)));
    assert_eq!((list.version(Scope::All), items(&list)), (version, servers(10, 0)));
}

#[test]
fn delta_from_another_version_is_ignored() {
    let mut list = loaded(1, servers(10, 0));
    let before = list.clone();
    let from = ListVersion { term: 1, count: 9 };
    let change = ListChange::Since { from, gone: vec!["e-00001".into()], put: Vec::new() };
    assert!(!list.apply(ListVersion { term: 1, count: 10 }, &change));
    assert_eq!((list.version(Scope::All), items(&list)), (before.version(Scope::All), items(&before)));
}

#[test]
fn items_with_one_key_are_kept_and_transferred_together() {
    let duplicates = vec![backend("e-1", false), backend("e-1", true)];
    let mut leader = loaded(1, vec![backend("e-1", false)]);
    let mut process = BackendList::default();
    synchronize(&leader, &mut process);
    assert!(leader.replace(1, duplicates.clone()));
    synchronize(&leader, &mut process);
    assert_eq!(items(&process), duplicates);
    assert!(leader.replace(1, vec![backend("e-1", true)]));
    synchronize(&leader, &mut process);
    assert_eq!(items(&process), [backend("e-1", true)]);
}

#[test]
fn removals_are_remembered_within_bounds() {
    let mut leader = loaded(1, Vec::new());
    let mut process = BackendList::default();
    synchronize(&leader, &mut process);
    for number in 0..3_000 {
        leader.replace(1, vec![backend(&format!("e-{number}"), false)]);
    }
    let change = leader.change_since(process.version(Scope::All), Scope::Public);
    assert_eq!(change, ListChange::Whole(vec![backend("e-2999", false)]));
    synchronize(&leader, &mut process);
    assert_eq!(items(&process), [backend("e-2999", false)]);
}

#[test]
fn entries_are_notified_of_stores_but_not_of_entries() {
    let mut members = VersionedList::<Member>::default();
    let (store, entry) = (member(1, Role::Store), member(2, Role::Entry));
    assert!(members.replace(5, vec![store.clone()]));
    let versions =
        |members: &VersionedList<Member>| [Scope::Public, Scope::All].map(|scope| members.version(scope));
    let changed = |members: &VersionedList<Member>, known: [ListVersion; 2]| {
        let current = versions(members);
        [0, 1].map(|scope| current[scope] != known[scope])
    };
    let known = versions(&members);
    assert_eq!(changed(&members, known), [false, false], "nothing has changed yet");
    assert!(members.replace(5, vec![store.clone(), entry.clone()]));
    assert_eq!(changed(&members, known), [false, true], "an entry was added");
    assert_eq!([Scope::Public, Scope::All].map(|scope| members.visible_items(scope).len()), [1, 2]);
    let known = versions(&members);
    assert!(members.replace(5, vec![entry.clone()]));
    assert_eq!(changed(&members, known), [true, true], "the store was removed");
    let known = versions(&members);
    assert!(members.replace(5, Vec::new()));
    assert_eq!(changed(&members, known), [false, true], "the entry was removed");
    members.replace(5, vec![Member { ready: false, ..store.clone() }]);
    let known = versions(&members);
    members.replace(5, vec![store]);
    assert_eq!(changed(&members, known), [true, true], "a change of readiness changes the version");
    let known = versions(&members);
    members.start_term(6);
    assert_eq!(changed(&members, known), [true, true], "versions of different terms differ");
}

proptest! {
    /// Three replicas lead by turns, and processes report to any of them.
    #[test]
    fn deltas_reproduce_the_leaders_list(
        steps in prop::collection::vec(
            (
                prop::collection::btree_map(0_u8..12, any::<bool>(), 0..10),
                prop::bool::weighted(0.2),
                0_usize..3,
                prop::collection::vec((0_usize..6, any::<bool>()), 0..4),
            ),
            1..60,
        ),
    ) {
        let mut replicas = vec![BackendList::default(); 3];
        let mut processes = vec![BackendList::default(); 3];
        let (mut term, mut leader) = (1, 0);
        for (servers, elected, next, reports) in steps {
            if elected {
                (term, leader) = (term + 1, next);
                replicas[leader].start_term(term);
            }
            let servers: Vec<Instance> =
                servers.into_iter().map(|(number, leaving)| backend(&number.to_string(), leaving)).collect();
            replicas[leader].replace(term, servers);
            let sender = replicas[leader].clone();
            for (receiver, repeats) in reports {
                let receiver = match receiver {
                    0..3 if receiver == leader => continue,
                    0..3 => &mut replicas[receiver],
                    _ => &mut processes[receiver - 3],
                };
                let known = receiver.version(Scope::All);
                prop_assert!(known <= sender.version(Scope::Public));
                synchronize(&sender, receiver);
                prop_assert_eq!(items(receiver), items(&sender));
                let change = sender.change_since(known, Scope::Public);
                if repeats && known != sender.version(Scope::Public) && matches!(change, ListChange::Since { .. }) {
                    prop_assert!(!receiver.apply(sender.version(Scope::Public), &change), "a duplicate is ignored");
                }
            }
        }
    }
}
