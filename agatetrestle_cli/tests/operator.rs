//! Tests of the tool against the RPC servers of nodes in the same process, over loopback.

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

use crate::support::ControlBehavior;
use crate::support::TestCluster;
use crate::support::client;
use crate::support::run_with_cluster;

fn change(expected_version: u64, priority: usize) -> Change {
    let text = format!("format: 1\nclasses:\n  dawn: {{priority: {priority}, budget: 1000}}\n");
    let change_id = default_change_id("vrsta", expected_version, &text);
    Change { scope: "vrsta".into(), text: text.into(), expected_version, change_id }
}

fn control_revision(cluster: &TestCluster) -> u64 {
    cluster.control.0.borrow().configuration().revision
}

#[test]
fn accepts_one_of_concurrent_operator_changes() {
    run_with_cluster(async |cluster| {
        let nodes = [
            cluster.start_node(ControlBehavior::Healthy, 0).await,
            cluster.start_node(ControlBehavior::Healthy, 0).await,
        ];
        let clients = nodes.map(|node| client(&[node]));
        let changes: Vec<Change> = (0..8).map(|i| change(0, i)).collect();
        let calls = changes.iter().enumerate().map(|(i, change)| apply(&clients[i % 2], change));
        let results = join_all(calls).await;
        assert_eq!(results.iter().filter(|result| result.is_ok()).count(), 1);
        for error in results.into_iter().filter_map(Result::err) {
            let ToolError::Conflict { current_version, difference, .. } = error else {
                panic!("{error}");
            };
            assert_eq!(current_version, 1);
            assert_eq!(difference.lines().count(), 2, "{difference}");
        }
        assert_eq!(control_revision(&cluster), 1);
    });
}

#[test]
fn returns_first_result_for_resent_change() {
    run_with_cluster(async |cluster| {
        let client = client(&[cluster.start_node(ControlBehavior::Healthy, 0).await]);
        let first = apply(&client, &change(0, 1)).await.unwrap();
        apply(&client, &change(1, 2)).await.unwrap();
        assert_eq!(apply(&client, &change(0, 1)).await.unwrap(), first);
        assert_eq!(control_revision(&cluster), 2);
    });
}

#[test]
fn applies_change_once_after_lost_answer() {
    run_with_cluster(async |cluster| {
        let nodes =
            [cluster.start_node_losing_answer().await, cluster.start_node(ControlBehavior::Healthy, 0).await];
        let applied = apply(&client(&nodes), &change(0, 1)).await.unwrap();
        assert_eq!((applied.version, applied.revision), (1, 1));
        assert_eq!(control_revision(&cluster), 1);
    });
}

#[test]
fn rerun_resolves_unknown_outcome() {
    run_with_cluster(async |cluster| {
        let failing = client(&[cluster.start_node_losing_answer().await]);
        let error = apply(&failing, &change(0, 1)).await.unwrap_err();
        assert_eq!(error.exit(), Exit::Unknown, "{error}");
        let rerun = apply(&client(&[cluster.start_node(ControlBehavior::Healthy, 0).await]), &change(0, 1))
            .await
            .unwrap();
        assert_eq!(rerun.version, 1);
        assert_eq!(control_revision(&cluster), 1);
    });
}

#[test]
fn reports_undecided_change_as_unknown() {
    run_with_cluster(async |cluster| {
        let nodes = [
            cluster.start_node(ControlBehavior::OutcomeUnknown, 0).await,
            cluster.start_node(ControlBehavior::NoQuorum, 0).await,
        ];
        let error = apply(&client(&nodes), &change(0, 1)).await.unwrap_err();
        assert_eq!(error.exit(), Exit::Unknown, "{error}");
    });
}

#[test]
fn skips_node_without_quorum() {
    run_with_cluster(async |cluster| {
        let isolated = cluster.start_node(ControlBehavior::NoQuorum, 0).await;
        let error = apply(&client(&[isolated]), &change(0, 1)).await.unwrap_err();
        assert_eq!(error.exit(), Exit::Unavailable, "{error}");
        let healthy = cluster.start_node(ControlBehavior::Healthy, 0).await;
        assert_eq!(apply(&client(&[isolated, healthy]), &change(0, 1)).await.unwrap().version, 1);
    });
}

#[test]
fn skips_unreachable_address() {
    run_with_cluster(async |cluster| {
        // The port of an open connection refuses others, and is given to no listener of a test that runs beside this one.
        let listener = smol::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
        let connection = smol::net::TcpStream::connect(listener.local_addr().unwrap()).await.unwrap();
        let unused = connection.local_addr().unwrap();
        let healthy = cluster.start_node(ControlBehavior::Healthy, 0).await;
        assert_eq!(apply(&client(&[unused, healthy]), &change(0, 1)).await.unwrap().version, 1);
        let error = apply(&client(&[unused]), &change(0, 1)).await.unwrap_err();
        assert_eq!(error.exit(), Exit::Unavailable, "{error}");
    });
}

#[test]
fn rejects_invalid_document_before_commit() {
    run_with_cluster(async |cluster| {
        let client = client(&[cluster.start_node(ControlBehavior::Healthy, 0).await]);
        let invalid = Change { text: "format: 1\nclases: {}\n".into(), ..change(0, 1) };
        let error = apply(&client, &invalid).await.unwrap_err();
        assert_eq!(error.exit(), Exit::Invalid);
        assert!(error.to_string().contains("clases"), "{error}");
        assert_eq!(control_revision(&cluster), 0);
    });
}

#[test]
fn rejects_change_id_reused_for_other_text() {
    run_with_cluster(async |cluster| {
        let client = client(&[cluster.start_node(ControlBehavior::Healthy, 0).await]);
        let first = change(0, 1);
        apply(&client, &first).await.unwrap();
        let second = Change { change_id: first.change_id, ..change(1, 2) };
        assert_eq!(apply(&client, &second).await.unwrap_err().exit(), Exit::Invalid);
        assert_eq!(control_revision(&cluster), 1);
    });
}

fn applied(revision: u64) -> AppliedRow {
    AppliedRow { scope: "vrsta".into(), version: 1, revision, change_id: "x".into() }
}

#[test]
fn wait_ends_when_remaining_nodes_are_current() {
    run_with_cluster(async |cluster| {
        let client = client(&[cluster.start_node(ControlBehavior::Healthy, 2).await]);
        wait(&client, &applied(9), Duration::from_hours(24)).await.unwrap();
    });
}

#[test]
fn wait_names_lagging_nodes() {
    run_with_cluster(async |cluster| {
        let client = client(&[cluster.start_node(ControlBehavior::Healthy, u32::MAX).await]);
        let error = wait(&client, &applied(9), Duration::ZERO).await.unwrap_err();
        assert_eq!(error.exit(), Exit::Lagging);
        insta::assert_snapshot!(error);
    });
}

#[test]
fn closes_connection_on_oversized_message() {
    run_with_cluster(async |cluster| {
        let client = client(&[cluster.start_node(ControlBehavior::Healthy, 0).await]);
        let oversized = "#".repeat(agatetrestle::operator::MAX_MESSAGE_BYTES + 1);
        let error = apply(&client, &Change { text: oversized.into(), ..change(0, 1) }).await.unwrap_err();
        assert_eq!(error.exit(), Exit::Unknown, "{error}");
        assert_eq!(control_revision(&cluster), 0);
        assert_eq!(apply(&client, &change(0, 1)).await.unwrap().version, 1);
    });
}

/// Sends raw bytes and returns when the node has closed the connection.
async fn send_raw(node: SocketAddr, bytes: &[u8]) {
    let mut stream = TcpStream::connect(node).await.unwrap();
    stream.write_all(bytes).await.ok();
    let mut rest = Vec::new();
    stream.read_to_end(&mut rest).await.ok();
}

#[test]
fn malformed_bytes_close_only_their_connection() {
    run_with_cluster(async |cluster| {
        let node = cluster.start_node(ControlBehavior::Healthy, 0).await;
        send_raw(node, &[0xff; 64]).await;
        // Message headers with 512 segments and with a segment of 16 GiB.
        send_raw(node, &[0xff, 0x01, 0, 0, 1, 0, 0, 0]).await;
        send_raw(node, &[0, 0, 0, 0, 0, 0, 0, 0x80]).await;
        send_raw(node, b"GET /metrics HTTP/1.1\r\nHost: node\r\n\r\n").await;
        assert_eq!(apply(&client(&[node]), &change(0, 1)).await.unwrap().version, 1);
    });
}

#[test]
fn closes_connections_beyond_limit() {
    run_with_cluster(async |cluster| {
        let node = cluster.start_node(ControlBehavior::Healthy, 0).await;
        let mut open = Vec::new();
        for _ in 0..MAX_CONNECTIONS {
            open.push(TcpStream::connect(node).await.unwrap());
        }
        send_raw(node, &[]).await;
        let error = apply(&client(&[node]), &change(0, 1)).await.unwrap_err();
        assert!(matches!(error.exit(), Exit::Unavailable | Exit::Unknown), "{error}");
        assert_eq!(control_revision(&cluster), 0);
    });
}

fn open_programs(cluster: &TestCluster) {
    let mut ledger = cluster.ledger.0.borrow_mut();
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
    ledger.execute(ProgramCommand::Unknown { program, call: CallNumber(1), attempt, lost_servers: 0 });
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

fn assert_output(format: Format, name: &str) {
    run_with_cluster(async |cluster| {
        open_programs(&cluster);
        let node = cluster.start_node(ControlBehavior::Healthy, 0).await;
        let client = client(&[node]);
        let mut sections = Vec::new();
        for command in commands() {
            let report = run_with(&client, format, &command).await;
            let command_name = format!("{command:?}").split([' ', '(']).next().unwrap().to_owned();
            let exit = report.exit as u8;
            sections.push(format!("== {command_name}: exit {exit}\n{}{}", report.stdout, report.stderr));
        }
        let output = sections.join("\n").replace(&node.to_string(), "IP:PORT");
        insta::assert_snapshot!(name, output);
    });
}

#[test]
fn prints_every_command_as_table() {
    assert_output(Format::Table, "tables");
}

#[test]
fn prints_every_command_as_json() {
    assert_output(Format::Json, "json");
}
