//! A control replica that is cut off, and connections that go silent for good.

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

use crate::cluster::Cluster;

const NODES: u64 = 3;

async fn apply(node: &Node, expected: u64) {
    let change_id = format!("change-{expected}");
    let command = ControlCommand::Apply {
        scope: "vrsta".into(),
        text: "format: 1\n".into(),
        expected,
        change_id: change_id.into(),
    };
    cluster::persist("a change", async || {
        match node.control().commit(command.clone()).await {
            Ok(ControlReply::Accepted { .. }) => Some(()),
            Ok(other) => panic!("the change was answered by {other:?}"),
            // An election may take longer than one try; the change id makes the resend safe.
            Err(_) => None,
        }
    })
    .await;
}

async fn open(node: &Node, name: &str) {
    let program = ProgramId { partner: "vrsta".into(), name: name.into() };
    let spec =
        ProgramSpec { team: "dawn".into(), class: "replacement".into(), budget: 10, turns: 2, parent: None };
    let command = ProgramCommand::Open { program, key: RequestKey("k".into()), spec, at: 0 };
    cluster::persist("opening a program", async || match node.ledger().commit(command.clone()).await {
        Ok(ProgramReply::Done(_)) => Some(()),
        Ok(other) => panic!("opening a program was answered by {other:?}"),
        Err(_) => None,
    })
    .await;
}

fn control_leader(cluster: &Cluster) -> u64 {
    let views = cluster.node(1).groups().groups();
    views.iter().find(|view| view.group == CONTROL_GROUP).unwrap().leader.unwrap().0
}

fn revision(node: &Node) -> u64 {
    node.control().configuration().revision
}

#[test]
fn an_isolated_control_leader_stops_taking_work_and_comes_back_without_reverting() {
    cluster::run(|executor| async move {
        let cluster = Cluster::new(&executor, "isolated");
        cluster.found_behind_forwarders(NODES).await;
        cluster.until_taking_work().await;
        apply(&cluster.node(1), 0).await;
        cluster.until("the first change", || cluster.nodes().iter().all(|node| revision(node) == 1)).await;

        let isolated = control_leader(&cluster);
        let others: Vec<u64> = (1..=NODES).filter(|id| *id != isolated).collect();
        cluster.isolate(isolated);
        let cut_off = cluster.node(isolated);
        let stopped = || cut_off.control().taking_work() == Err(NotTakingWork::Isolated);
        cluster.until("the isolated node stops taking work", stopped).await;
        assert_eq!(revision(&cut_off), 1);

        apply(&cluster.node(others[0]), 1).await;
        open(&cluster.node(others[1]), "while-cut-off").await;
        let in_force = || others.iter().all(|id| revision(&cluster.node(*id)) == 2);
        cluster.until("the change is in force on the others", in_force).await;
        assert!(stopped(), "the isolated node must not take work under old rules");

        cluster.heal();
        let back = || cut_off.control().taking_work().is_ok();
        cluster.until("the isolated node is back", back).await;
        assert_eq!(revision(&cut_off), 2, "work is taken only under the newest rules");
    });
}

#[test]
fn connections_that_go_silent_are_replaced() {
    cluster::run(|executor| async move {
        let cluster = Cluster::new(&executor, "silent");
        cluster.found_behind_forwarders(NODES).await;
        cluster.until_taking_work().await;
        for round in 0..3 {
            cluster.heal();
            for id in 1..=NODES {
                open(&cluster.node(id), &format!("program-{round}-{id}")).await;
            }
        }
        cluster.until_taking_work().await;
    });
}
