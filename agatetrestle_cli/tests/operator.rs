//! The tool against the RPC of nodes in the same process, over loopback.

mod support;

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use agatetrestle::ids::AttemptId;
use agatetrestle::ids::CallNumber;
use agatetrestle::ids::NodeId;
use agatetrestle::ids::ProgramId;
use agatetrestle::ids::RequestKey;
use agatetrestle::operator::MAX_CONNECTIONS;
use agatetrestle::programs::command::ProgramCommand;
use agatetrestle::programs::command::ProgramSpec;
use agatetrestle::programs::command::Repeatable;
use agatetrestle_cli::apply::apply;
use agatetrestle_cli::apply::default_change_id;
use agatetrestle_cli::apply::wait;
use agatetrestle_cli::calls::changes::Change;
use agatetrestle_cli::commands::run_with;
use agatetrestle_cli::error::Exit;
use agatetrestle_cli::error::ToolError;
use agatetrestle_cli::options::Apply;
use agatetrestle_cli::options::Command;
use agatetrestle_cli::options::Format;
use agatetrestle_cli::options::ReplicaChange;
use agatetrestle_cli::options::Replicas;
use agatetrestle_cli::options::Resolve;
use agatetrestle_cli::rows::AppliedRow;
use futures::AsyncReadExt;
use futures::AsyncWriteExt;
use futures::future::join_all;
use smol::net::TcpStream;

use crate::support::Mood;
use crate::support::World;
use crate::support::client;
use crate::support::in_world;

fn change(expected_version: u64, priority: usize) -> Change {
    let text = format!("format: 1\nclasses:\n  dawn: {{priority: {priority}, budget: 1000}}\n");
    let change_id = default_change_id("vrsta", expected_version, &text);
    Change { scope: "vrsta".into(), text: text.into(), expected_version, change_id }
}

fn documents_changed(world: &World) -> u64 {
    world.control.0.borrow().configuration().revision
}

#[test]
fn of_racing_operators_with_equal_versions_exactly_one_wins() {
    in_world(async |world| {
        let nodes = [world.node(Mood::Well, 0).await, world.node(Mood::Well, 0).await];
        let clients = nodes.map(|node| client(&[node]));
        let changes: Vec<Change> = (0..8).map(|i| change(0, i)).collect();
        let offers = changes.iter().enumerate().map(|(i, change)| apply(&clients[i % 2], change));
        let results = join_all(offers).await;
        assert_eq!(results.iter().filter(|result| result.is_ok()).count(), 1);
        for lost in results.into_iter().filter_map(Result::err) {
            let ToolError::Conflict { current_version, difference, .. } = lost else {
                panic!("{lost}");
            };
            assert_eq!(current_version, 1);
            assert_eq!(difference.lines().count(), 2, "{difference}");
        }
        assert_eq!(documents_changed(&world), 1);
    });
}

#[test]
fn a_resend_gives_the_first_result() {
    in_world(async |world| {
        let client = client(&[world.node(Mood::Well, 0).await]);
        let first = apply(&client, &change(0, 1)).await.unwrap();
        apply(&client, &change(1, 2)).await.unwrap();
        assert_eq!(apply(&client, &change(0, 1)).await.unwrap(), first);
        assert_eq!(documents_changed(&world), 2);
    });
}

#[test]
fn a_lost_answer_is_asked_for_again_and_applied_once() {
    in_world(async |world| {
        let nodes = [world.node_that_loses_its_answer().await, world.node(Mood::Well, 0).await];
        let applied = apply(&client(&nodes), &change(0, 1)).await.unwrap();
        assert_eq!((applied.version, applied.revision), (1, 1));
        assert_eq!(documents_changed(&world), 1);
    });
}

#[test]
fn an_answer_lost_for_good_is_unknown_and_a_rerun_settles_it() {
    in_world(async |world| {
        let alone = client(&[world.node_that_loses_its_answer().await]);
        let lost = apply(&alone, &change(0, 1)).await.unwrap_err();
        assert_eq!(lost.exit(), Exit::Unknown, "{lost}");
        let rerun = apply(&client(&[world.node(Mood::Well, 0).await]), &change(0, 1)).await.unwrap();
        assert_eq!(rerun.version, 1);
        assert_eq!(documents_changed(&world), 1);
    });
}

#[test]
fn a_change_that_may_yet_be_applied_is_told_as_unknown() {
    in_world(async |world| {
        let nodes = [world.node(Mood::InDoubt, 0).await, world.node(Mood::NoQuorum, 0).await];
        let lost = apply(&client(&nodes), &change(0, 1)).await.unwrap_err();
        assert_eq!(lost.exit(), Exit::Unknown, "{lost}");
    });
}

#[test]
fn a_node_without_a_quorum_is_passed_over() {
    in_world(async |world| {
        let isolated = world.node(Mood::NoQuorum, 0).await;
        let refused = apply(&client(&[isolated]), &change(0, 1)).await.unwrap_err();
        assert_eq!(refused.exit(), Exit::Unavailable, "{refused}");
        let well = world.node(Mood::Well, 0).await;
        assert_eq!(apply(&client(&[isolated, well]), &change(0, 1)).await.unwrap().version, 1);
    });
}

#[test]
fn an_address_where_nobody_listens_is_passed_over() {
    in_world(async |world| {
        let unused = smol::net::TcpListener::bind("127.0.0.1:0").await.unwrap().local_addr().unwrap();
        let well = world.node(Mood::Well, 0).await;
        assert_eq!(apply(&client(&[unused, well]), &change(0, 1)).await.unwrap().version, 1);
        let alone = apply(&client(&[unused]), &change(0, 1)).await.unwrap_err();
        assert_eq!(alone.exit(), Exit::Unavailable, "{alone}");
    });
}

#[test]
fn a_document_that_breaks_the_rules_never_reaches_the_control_group() {
    in_world(async |world| {
        let client = client(&[world.node(Mood::Well, 0).await]);
        let wrong = Change { text: "format: 1\nclases: {}\n".into(), ..change(0, 1) };
        let refused = apply(&client, &wrong).await.unwrap_err();
        assert_eq!(refused.exit(), Exit::Invalid);
        assert!(refused.to_string().contains("clases"), "{refused}");
        assert_eq!(documents_changed(&world), 0);
    });
}

#[test]
fn a_change_id_can_not_be_used_for_another_text() {
    in_world(async |world| {
        let client = client(&[world.node(Mood::Well, 0).await]);
        let first = change(0, 1);
        apply(&client, &first).await.unwrap();
        let second = Change { change_id: first.change_id, ..change(1, 2) };
        assert_eq!(apply(&client, &second).await.unwrap_err().exit(), Exit::Invalid);
        assert_eq!(documents_changed(&world), 1);
    });
}

fn applied(revision: u64) -> AppliedRow {
    AppliedRow { scope: "vrsta".into(), version: 1, revision, change_id: "x".into() }
}

#[test]
fn waiting_ends_once_every_node_that_stays_has_the_change() {
    in_world(async |world| {
        let client = client(&[world.node(Mood::Well, 2).await]);
        wait(&client, &applied(9), Duration::from_hours(24)).await.unwrap();
    });
}

#[test]
fn waiting_names_the_nodes_that_lag() {
    in_world(async |world| {
        let client = client(&[world.node(Mood::Well, u32::MAX).await]);
        let error = wait(&client, &applied(9), Duration::ZERO).await.unwrap_err();
        assert_eq!(error.exit(), Exit::Lagging);
        insta::assert_snapshot!(error);
    });
}

#[test]
fn a_message_beyond_the_bound_closes_the_connection() {
    in_world(async |world| {
        let client = client(&[world.node(Mood::Well, 0).await]);
        let huge = "#".repeat(agatetrestle::operator::MAX_MESSAGE_BYTES + 1);
        let refused = apply(&client, &Change { text: huge.into(), ..change(0, 1) }).await.unwrap_err();
        assert_eq!(refused.exit(), Exit::Unknown, "{refused}");
        assert_eq!(documents_changed(&world), 0);
        assert_eq!(apply(&client, &change(0, 1)).await.unwrap().version, 1);
    });
}

/// Sends bytes as they are and returns once the node has closed the connection.
async fn send_raw(node: SocketAddr, bytes: &[u8]) {
    let mut stream = TcpStream::connect(node).await.unwrap();
    stream.write_all(bytes).await.ok();
    let mut rest = Vec::new();
    stream.read_to_end(&mut rest).await.ok();
}

#[test]
fn bytes_that_are_no_message_close_only_their_own_connection() {
    in_world(async |world| {
        let node = world.node(Mood::Well, 0).await;
        send_raw(node, &[0xff; 64]).await;
        // A header that announces 512 segments, and one that announces a segment of 16 GiB.
        send_raw(node, &[0xff, 0x01, 0, 0, 1, 0, 0, 0]).await;
        send_raw(node, &[0, 0, 0, 0, 0, 0, 0, 0x80]).await;
        send_raw(node, b"GET /metrics HTTP/1.1\r\nHost: node\r\n\r\n").await;
        assert_eq!(apply(&client(&[node]), &change(0, 1)).await.unwrap().version, 1);
    });
}

#[test]
fn connections_beyond_the_bound_are_closed_at_once() {
    in_world(async |world| {
        let node = world.node(Mood::Well, 0).await;
        let mut open = Vec::new();
        for _ in 0..MAX_CONNECTIONS {
            open.push(TcpStream::connect(node).await.unwrap());
        }
        send_raw(node, &[]).await;
        let refused = apply(&client(&[node]), &change(0, 1)).await.unwrap_err();
        assert!(matches!(refused.exit(), Exit::Unavailable | Exit::Unknown), "{refused}");
        assert_eq!(documents_changed(&world), 0);
    });
}

fn open_programs(world: &World) {
    let mut ledger = world.ledger.0.borrow_mut();
    for (name, at) in [("dawn-1", 10), ("dawn-2", 20)] {
        let spec = ProgramSpec {
            team: "dispatch".into(),
            class: "dawn".into(),
            budget: 4_000,
            turns: 20,
            parent: None,
        };
        let program = ProgramId { partner: "vrsta".into(), name: name.into() };
        ledger.execute(ProgramCommand::Open { program, key: RequestKey(name.into()), spec, at });
    }
    let program = ProgramId { partner: "vrsta".into(), name: "dawn-1".into() };
    let attempt = AttemptId { node: NodeId(1), incarnation: 41, sequence: 1 };
    ledger.execute(ProgramCommand::Begin {
        program: program.clone(),
        call: CallNumber(1),
        key: RequestKey("book".into()),
        attempt,
        reserve: 100,
        repeatable: Repeatable::No,
        request: [].into(),
        digest: 1,
    });
    ledger.execute(ProgramCommand::Unknown { program, call: CallNumber(1), attempt });
}

fn declaration_file() -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("tests/declarations/vrsta.yaml")
}

fn replicas(group: u32, change: ReplicaChange) -> Command {
    Command::Replicas(Replicas { group, change, node: 4 })
}

fn commands() -> Vec<Command> {
    let change = Apply {
        expected_version: 0,
        change_id: None,
        wait: false,
        wait_seconds: 0,
        scope: "vrsta".to_owned(),
        file: declaration_file(),
    };
    let resolve = Resolve {
        ran: true,
        note: "seen in the rota".to_owned(),
        program: "vrsta/dawn-1".to_owned(),
        call: 1,
    };
    vec![
        Command::Plan { scope: "vrsta".to_owned(), file: declaration_file() },
        Command::Apply(change.clone()),
        Command::Apply(Apply { change_id: Some("another".to_owned()), ..change }),
        Command::Status,
        Command::Programs { partner: String::new(), limit: 10 },
        Command::Resolve(resolve.clone()),
        Command::Resolve(resolve),
        Command::Programs { partner: "lernwerk".to_owned(), limit: 10 },
        Command::Backends,
        Command::Drain { name: "vm-2".to_owned() },
        Command::Drain { name: "engine-1".to_owned() },
        Command::Drain { name: "vm-99".to_owned() },
        replicas(0, ReplicaChange::Add),
        replicas(0, ReplicaChange::Promote),
        replicas(0, ReplicaChange::Remove),
        replicas(7, ReplicaChange::Remove),
        Command::Config { scope: None },
        Command::Config { scope: Some("vrsta".to_owned()) },
        Command::Config { scope: Some("nobody".to_owned()) },
        Command::Trace { limit: 2 },
    ]
}

fn snapshot(format: Format, name: &str) {
    in_world(async |world| {
        open_programs(&world);
        let node = world.node(Mood::Well, 0).await;
        let client = client(&[node]);
        let mut told = Vec::new();
        for command in commands() {
            let report = run_with(&client, format, &command).await;
            let head = format!("{command:?}").split([' ', '(']).next().unwrap().to_owned();
            let exit = report.exit as u8;
            told.push(format!("== {head}: exit {exit}\n{}{}", report.out, report.err));
        }
        let told = told.join("\n").replace(&node.to_string(), "IP:PORT");
        insta::assert_snapshot!(name, told);
    });
}

#[test]
fn every_command_tells_people_in_tables() {
    snapshot(Format::Table, "tables");
}

#[test]
fn every_command_tells_programs_in_json() {
    snapshot(Format::Json, "json");
}
