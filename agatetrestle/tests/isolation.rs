//! Network partitions: an isolated control leader, and peer connections that stay open but deliver nothing.

mod cluster;

use agatetrestle::control::command::ControlCommand;
use agatetrestle::control::command::ControlReply;
use agatetrestle::ids::CONTROL_GROUP;
use agatetrestle::ids::ProgramId;
use agatetrestle::ids::RequestKey;
use agatetrestle::node::Node;
use agatetrestle::ports::NotTakingWork;
use agatetrestle::programs::command::ProgramCommand;
use agatetrestle::programs::command::ProgramReply;
use agatetrestle::programs::command::ProgramSpec;

use crate::cluster::TestCluster;

const NODES: u64 = 3;

async fn apply_document(node: &Node, expected: u64) {
    let change_id = format!("change-{expected}");
    let command = ControlCommand::Apply {
        scope: "vrsta".into(),
        text: "format: 1\n".into(),
        expected,
        change_id: change_id.into(),
    };
    cluster::retry("a configuration change", async || {
        match node.control().commit(command.clone()).await {
            Ok(ControlReply::Accepted { .. }) => Some(()),
            Ok(other) => panic!("unexpected reply to a configuration change: {other:?}"),
            // An election may outlast one attempt; the change id makes retries idempotent.
            Err(_) => None,
        }
    })
    .await;
}

async fn open_program(node: &Node, name: &str) {
    let program = ProgramId { partner: "vrsta".into(), name: name.into() };
    let spec =
        ProgramSpec { team: "dawn".into(), class: "replacement".into(), budget: 10, turns: 2, parent: None };
    let command = ProgramCommand::Open { program, key: RequestKey("k".into()), spec, at: 0 };
    cluster::retry("opening a program", async || match node.ledger().commit(command.clone()).await {
        Ok(ProgramReply::Done(_)) => Some(()),
        Ok(other) => panic!("unexpected reply to opening a program: {other:?}"),
        Err(_) => None,
    })
    .await;
}

fn control_leader(cluster: &TestCluster) -> u64 {
    let groups = cluster.node(1).groups().groups();
    groups.iter().find(|view| view.group == CONTROL_GROUP).unwrap().leader.unwrap().0
}

fn revision(node: &Node) -> u64 {
    node.control().configuration().revision
}

#[test]
fn isolated_control_leader_stops_taking_work() {
    cluster::run(|executor| async move {
        let cluster = TestCluster::new(&executor, "isolated");
        cluster.bootstrap_with_forwarders(NODES).await;
        cluster.wait_until_taking_work().await;
        apply_document(&cluster.node(1), 0).await;
        cluster
            .wait_until("the first change on all nodes", || {
                cluster.nodes().iter().all(|node| revision(node) == 1)
            })
            .await;

        let isolated = control_leader(&cluster);
        let others: Vec<u64> = (1..=NODES).filter(|id| *id != isolated).collect();
        cluster.isolate(isolated);
        let isolated_node = cluster.node(isolated);
        let stopped = || isolated_node.control().taking_work() == Err(NotTakingWork::Isolated);
        cluster.wait_until("refusal of work by the isolated node", stopped).await;
        assert_eq!(revision(&isolated_node), 1);

        apply_document(&cluster.node(others[0]), 1).await;
        open_program(&cluster.node(others[1]), "while-cut-off").await;
        let applied = || others.iter().all(|id| revision(&cluster.node(*id)) == 2);
        cluster.wait_until("the second change on the other nodes", applied).await;
        assert!(stopped(), "the isolated node must not take work under an outdated configuration");

        cluster.heal();
        let resumed = || isolated_node.control().taking_work().is_ok();
        cluster.wait_until("return of the isolated node to work", resumed).await;
        assert_eq!(revision(&isolated_node), 2, "the node took work before it had the latest configuration");
    });
}

#[test]
fn replaces_silent_connections() {
    cluster::run(|executor| async move {
        let cluster = TestCluster::new(&executor, "silent");
        cluster.bootstrap_with_forwarders(NODES).await;
        cluster.wait_until_taking_work().await;
        for round in 0..3 {
            cluster.heal();
            for id in 1..=NODES {
                open_program(&cluster.node(id), &format!("program-{round}-{id}")).await;
            }
        }
        cluster.wait_until_taking_work().await;
    });
}
