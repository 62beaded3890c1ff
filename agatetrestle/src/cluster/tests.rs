//! Tests of the decision who takes part in a group, and of the number of a process.

use std::cell::Cell;
use std::collections::BTreeSet;
use std::net::SocketAddrV4;

use agatetrestle_config::deployment::Role;
use proptest::prelude::*;

use crate::agreement::ReplicaChange;
use crate::agreement::Replicas;
use crate::clock::Timestamp;
use crate::cluster::backends::BackendChange;
use crate::cluster::backends::VersionedBackends;
use crate::cluster::contacts;
use crate::cluster::encoded::EncodedCache;
use crate::cluster::identity;
use crate::cluster::membership::Membership;
use crate::cluster::message::KnownVersions;
use crate::cluster::message::ListVersion;
use crate::cluster::message::Member;
use crate::cluster::message::Report;
use crate::cluster::message::StoreUsage;
use crate::cluster::message::Update;
use crate::cluster::overview::Overview;
use crate::cluster::report_log::ReportLog;
use crate::cluster::report_log::ReportOutcome;
use crate::cluster::view::ClusterView;
use crate::cluster::voters::Candidate;
use crate::cluster::voters::VoterCounts;
use crate::cluster::voters::failed_voters;
use crate::cluster::voters::next_change;
use crate::codec::Packed;
use crate::codec::decode;
use crate::codec::encode;
use crate::dispatch::Instance;
use crate::ids::FIRST_STATE_GROUP;
use crate::ids::NodeId;

const THREE: VoterCounts = VoterCounts { target: 3, min: 3 };

fn replicas(voters: &[u64], learners: &[u64]) -> Replicas {
    let nodes = |numbers: &[u64]| numbers.iter().copied().map(NodeId).collect();
    Replicas { voters: nodes(voters), learners: nodes(learners) }
}

fn candidates(nodes: &[(u64, &str)]) -> Vec<Candidate> {
    let candidate = |(node, zone): &(u64, &str)| Candidate {
        node: NodeId(*node),
        tie_break: *node,
        zone: (*zone).into(),
        leaving: false,
    };
    nodes.iter().map(candidate).collect()
}

fn silent(nodes: &[u64]) -> BTreeSet<NodeId> {
    nodes.iter().copied().map(NodeId).collect()
}

#[test]
fn a_lost_voter_is_let_go_only_after_its_successor_counts() {
    let live = candidates(&[(1, "a"), (2, "b"), (4, "c")]);
    let gone = silent(&[3]);
    let add = next_change(&replicas(&[1, 2, 3], &[]), &live, &gone, THREE);
    assert_eq!(add, Some(ReplicaChange::AddLearner(NodeId(4))));
    let promote = next_change(&replicas(&[1, 2, 3], &[4]), &live, &gone, THREE);
    assert_eq!(promote, Some(ReplicaChange::Promote(NodeId(4))));
    let remove = next_change(&replicas(&[1, 2, 3, 4], &[]), &live, &gone, THREE);
    assert_eq!(remove, Some(ReplicaChange::Remove(NodeId(3))));
    assert_eq!(next_change(&replicas(&[1, 2, 4], &[]), &live, &silent(&[]), THREE), None);
}

#[test]
fn a_voter_that_is_only_late_is_not_lost() {
    let live = candidates(&[(1, "a"), (2, "b"), (3, "c")]);
    let short = [NodeId(3), NodeId(9)];
    assert_eq!(failed_voters(&short, &[], &live), silent(&[9]), "control hears from the third");
    assert_eq!(
        failed_voters(&short, &[NodeId(3)], &live),
        silent(&[3, 9]),
        "it stays silent for much longer"
    );
    assert_eq!(failed_voters(&[], &[], &live), silent(&[]));
}

#[test]
fn a_voter_that_is_down_stays_while_nobody_can_take_its_place() {
    let live = candidates(&[(1, "a"), (2, "b")]);
    assert_eq!(next_change(&replicas(&[1, 2, 3], &[]), &live, &silent(&[3]), THREE), None);
}

#[test]
fn a_leaving_voter_is_replaced_from_a_failure_domain_without_a_voter() {
    let mut live = candidates(&[(1, "a"), (2, "b"), (3, "c"), (4, "a"), (5, "c")]);
    live[2].leaving = true;
    let add = next_change(&replicas(&[1, 2, 3], &[]), &live, &silent(&[]), THREE);
    assert_eq!(add, Some(ReplicaChange::AddLearner(NodeId(5))));
    let remove = next_change(&replicas(&[1, 2, 3, 5], &[]), &live, &silent(&[]), THREE);
    assert_eq!(remove, Some(ReplicaChange::Remove(NodeId(3))));
}

#[test]
fn a_process_that_is_behind_says_what_became_of_its_reports() {
    let at = |millis: u64| Timestamp(millis * 1_000);
    let [silent, follower, leader] = [1, 2, 3].map(|host| SocketAddrV4::new([10, 0, 0, host].into(), 7_240));
    let log = ReportLog::default();
    for millis in [1_000, 2_000] {
        log.begin(at(millis), silent);
        log.begin(at(millis), follower);
        log.end(follower, ReportOutcome::NotLeader);
    }
    let known = KnownVersions { revision: 57, ..KnownVersions::default() };
    insta::assert_snapshot!(log.lines(at(2_500), known, Some(at(400))).join("\n"), @r"
    reports contact=10.0.0.1:7240 sent=2 outcome=none unanswered_ms=1500 revision=57 confirmed_ms=2100
    reports contact=10.0.0.2:7240 sent=2 outcome=not_leader unanswered_ms= revision=57 confirmed_ms=2100
    ");
    log.begin(at(2_600), leader);
    log.end(leader, ReportOutcome::Confirmed);
    assert_eq!(log.lines(at(2_700), known, Some(at(2_600))), Vec::<String>::new(), "the search is over");
}

#[test]
fn a_report_of_an_earlier_build_is_read() {
    let report = Report {
        introduction: member(1, Role::Entry).into(),
        known: KnownVersions { revision: 57, ..KnownVersions::default() },
        long_poll_ms: 500,
    };
    let value: ciborium::Value = ciborium::from_reader(&encode(&report)[..]).unwrap();
    let names: Vec<&str> = value.as_map().unwrap().iter().filter_map(|(name, _)| name.as_text()).collect();
    assert_eq!(names, ["told", "known", "patience"]);
    assert_eq!(decode::<Report>(&encode(&value)).unwrap(), report);
}

fn member(node: u64, role: Role) -> Member {
    let address = SocketAddrV4::new([10, 0, 0, 1].into(), 7_240);
    let (vm, zone) = (node.to_string().into(), "a".into());
    Member { node: NodeId(node), role, vm, zone, peer: address, callers: None, ready: true, group: None }
}

#[test]
fn an_entry_hears_at_once_of_a_store_but_not_of_another_entry() {
    let mut membership = Membership::default();
    let store = member(1, Role::Store);
    assert!(membership.replace(vec![store.clone()]));
    let known = [Role::Entry, Role::Store, Role::Control].map(|role| (role, membership.edition(role, 5)));
    let news = |membership: &Membership| known.map(|(role, known)| membership.edition(role, 5) != known);
    assert_eq!(news(&membership), [false, false, false]);
    assert!(membership.replace(vec![store.clone(), member(2, Role::Entry)]));
    assert_eq!(news(&membership), [false, false, true], "an entry came");
    assert_eq!([Role::Entry, Role::Control].map(|role| membership.visible_to(role).len()), [1, 2]);
    assert!(membership.replace(vec![member(2, Role::Entry)]));
    assert_eq!(news(&membership), [true, true, true], "the store went");
    assert_ne!(
        membership.edition(Role::Entry, 5),
        membership.edition(Role::Entry, 6),
        "another leader may know others"
    );
    let waiting = Member { ready: false, ..store.clone() };
    membership.replace(vec![waiting]);
    let known = membership.edition(Role::Entry, 5);
    membership.replace(vec![store]);
    assert_ne!(membership.edition(Role::Entry, 5), known, "a store that was opened is another");
}

#[test]
fn a_list_is_packed_once_for_all_who_are_told_it() {
    let members: Vec<Member> = (1..=300).map(|node| member(node, Role::Entry)).collect();
    let pack = EncodedCache::default();
    let count = Cell::new(0);
    let of = |edition: u64| {
        pack.get_or_encode(edition, || {
            count.set(count.get() + 1);
            members.clone()
        })
    };
    let copies: Vec<Packed> = [1, 1, 1, 2, 2].map(of).into();
    assert_eq!(count.get(), 2, "once for each edition");
    assert!(copies.iter().all(|packed| packed.unpack::<Vec<Member>>().unwrap() == members));
    let plain = encode(&members).len();
    assert!(copies[0].size() * 8 < plain, "{} of {plain} bytes", copies[0].size());
}

#[test]
fn a_part_that_can_not_be_read_leaves_the_others_and_is_not_asked_for_again() {
    let view = ClusterView::default();
    let edition = |count| ListVersion { term: 1, count };
    let update = |count, members| Update {
        confirmed: true,
        groups: 2,
        backends: Some((edition(count), Packed::new(&BackendChange::Whole(Vec::new())))),
        members: Some((edition(count), members)),
        ..Update::default()
    };
    let store = member(1, Role::Store);
    view.apply_update(Timestamp(1), update(1, Packed::new(&vec![store.clone()])));
    view.apply_update(Timestamp(2), update(2, Packed::new(&"of another build")));
    assert_eq!((view.members(), view.groups()), (vec![store], 2));
    assert_eq!((view.known().members, view.known().backends), (edition(2), edition(2)));
}

#[test]
fn a_list_that_was_forgotten_is_told_under_a_higher_number_of_the_same_term() {
    let mut backends = VersionedBackends::default();
    assert_eq!(backends.edition(3), None);
    assert!(backends.replace(vec![backend("e-1", false)]));
    assert!(backends.replace(vec![backend("e-1", true)]));
    let before = backends.edition(3);
    backends.forget();
    assert_eq!((backends.edition(3), backends.list().len()), (None, 0));
    assert!(backends.replace(vec![backend("e-2", false)]));
    assert!(
        backends.edition(3) > before,
        "a process that knows the old number would not believe a lower one"
    );
    let change = backends.change_since(before.unwrap(), 3);
    assert_eq!(change, BackendChange::Whole(vec![backend("e-2", false)]));
    assert!(!backends.replace(vec![backend("e-2", false)]));
}

#[test]
fn a_difference_is_small_and_is_taken_by_who_knows_its_base_alone() {
    let mut backends = VersionedBackends::default();
    let servers = |leaving: usize| -> Vec<Instance> {
        (0..1_000).map(|number| backend(&format!("e-{number}"), number == leaving)).collect()
    };
    backends.replace(servers(1));
    let known = backends.edition(3).unwrap();
    let base = servers(1);
    backends.replace(servers(2));
    let change = backends.change_since(known, 3);
    assert!(matches!(&change, BackendChange::Since { gone, put, .. } if gone.is_empty() && put.len() == 2));
    let other = ListVersion { term: 3, count: 9 };
    assert_eq!(change.clone().apply(other, &base), None);
    assert_eq!(change.apply(known, &base).map(sorted), Some(sorted(servers(2))));
    assert!(matches!(backends.change_since(known, 4), BackendChange::Whole(_)), "it is of another leader");
    let twice = vec![backend("e-1", false), backend("e-1", true)];
    backends.replace(twice.clone());
    let known = ListVersion { count: known.count + 1, ..known };
    assert_eq!(backends.change_since(known, 3), BackendChange::Whole(twice), "ids don't tell them apart");
}

fn sorted(mut list: Vec<Instance>) -> Vec<Instance> {
    list.sort_by(|a, b| a.id.cmp(&b.id));
    list
}

proptest! {
    #[test]
    fn whoever_is_told_now_and_then_knows_the_list(
        steps in prop::collection::vec(
            (prop::collection::btree_map(0_u8..12, any::<bool>(), 0..10), any::<bool>(), 0_u8..12, any::<bool>()),
            1..40,
        ),
    ) {
        let (mut backends, mut known, mut list) = (VersionedBackends::default(), ListVersion::default(), Vec::new());
        for (servers, asks, forgets, late) in steps {
            let servers: Vec<Instance> =
                servers.into_iter().map(|(number, leaving)| backend(&number.to_string(), leaving)).collect();
            if forgets == 0 {
                backends.forget();
            }
            backends.replace(servers.clone());
            let edition = backends.edition(5).unwrap();
            if asks && edition != known {
                let change = backends.change_since(known, 5);
                let next = change.clone().apply(known, &list).expect("it is from what the process knows");
                prop_assert_eq!(sorted(next.clone()), sorted(servers));
                (known, list) = (edition, next);
                if late && matches!(change, BackendChange::Since { .. }) {
                    prop_assert_eq!(change.apply(known, &list), None, "an answer that comes twice");
                }
            }
        }
    }

    #[test]
    fn no_change_leaves_fewer_sound_voters_than_there_must_be(
        voters in prop::collection::btree_set(1_u64..9, 1..6),
        learners in prop::collection::btree_set(9_u64..12, 0..2),
        live in prop::collection::btree_set(1_u64..12, 0..12),
        quiet in prop::collection::btree_set(1_u64..9, 0..5),
    ) {
        let replicas = Replicas {
            voters: voters.iter().copied().map(NodeId).collect(),
            learners: learners.iter().copied().map(NodeId).collect(),
        };
        let live: Vec<(u64, &str)> = live.into_iter().map(|node| (node, "a")).collect();
        let quiet: BTreeSet<NodeId> = quiet.into_iter().map(NodeId).collect();
        let sound = replicas.voters.difference(&quiet).count();
        if let Some(ReplicaChange::Remove(node)) = next_change(&replicas, &candidates(&live), &quiet, THREE)
            && replicas.voters.contains(&node)
        {
            prop_assert!(quiet.contains(&node));
            prop_assert!(sound >= THREE.min);
        }
    }
}

#[test]
fn an_empty_disk_gets_a_number_of_its_own_and_keeps_it() {
    let folder = std::env::temp_dir().join(format!("agatetrestle-number-{}", std::process::id()));
    let first = identity::random_id().unwrap();
    assert_eq!(identity::founder_ip(first), None, "no founding member has a drawn number");
    assert_eq!(identity::load_or_create(&folder, first).unwrap(), first);
    assert_eq!(identity::load_or_create(&folder, identity::random_id().unwrap()).unwrap(), first);
    std::fs::remove_dir_all(&folder).unwrap();
}

fn backend(id: &str, leaving: bool) -> Instance {
    Instance {
        id: id.into(),
        service: "engines".into(),
        address: SocketAddrV4::new([10, 0, 0, 9].into(), 80),
        zone: "a".into(),
        slots: 16,
        leaving,
        born: None,
    }
}

#[test]
fn an_overview_names_every_process_and_service() {
    let store = Member { vm: "store-1".into(), group: Some(FIRST_STATE_GROUP), ..member(2, Role::Store) };
    let spare = Member { vm: "store-2".into(), ..member(3, Role::Store) };
    let entry = Member { vm: "entry-1".into(), ready: false, ..member(4, Role::Entry) };
    let overview = Overview {
        leader: NodeId(1),
        term: 7,
        version: Some(12),
        control: [NodeId(1)].into(),
        groups: [(FIRST_STATE_GROUP, [NodeId(2)].into())].into(),
        state_leaders: [NodeId(2)].into(),
        members: vec![entry, store, spare, member(1, Role::Control)],
        leaving: ["store-1".into()].into(),
        holdings: [(NodeId(2), StoreUsage { turns: 3, bytes: 900, room: 9_000, programs: 2 })].into(),
        backends: vec![backend("e-1", false), backend("e-2", true)],
    };
    insta::assert_snapshot!(overview);
}

#[test]
fn contacts_last_and_a_line_that_can_not_be_read_names_nobody() {
    let folder = std::env::temp_dir().join(format!("agatetrestle-contacts-{}", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    assert!(contacts::load(&folder).unwrap().is_empty(), "there is no file yet");
    let known = [(NodeId(7), SocketAddrV4::new([10, 0, 0, 7].into(), 80))].into();
    contacts::save(&folder, &known).unwrap();
    assert_eq!(contacts::load(&folder).unwrap(), known);
    std::fs::write(folder.join("contacts"), b"7 10.0.0.7:80\n8 nowhere\n\xff\xfe\n9\n").unwrap();
    assert_eq!(contacts::load(&folder).unwrap(), known);
    std::fs::remove_dir_all(&folder).unwrap();
}
