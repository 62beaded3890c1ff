//! Replacement of a VM that lost its disk, followed by the loss of a second VM.

mod cluster;

use std::cell::Cell;
use std::sync::Arc;
use std::time::Duration;

use agatetrestle::agreement::ReplicaChange;
use agatetrestle::ids::AttemptId;
use agatetrestle::ids::CONTROL_GROUP;
use agatetrestle::ids::CallNumber;
use agatetrestle::ids::FIRST_STATE_GROUP;
use agatetrestle::ids::GroupId;
use agatetrestle::ids::NodeId;
use agatetrestle::ids::ProgramId;
use agatetrestle::ids::RequestKey;
use agatetrestle::node::NodeError;
use agatetrestle::node::replicas::MissingFiles;
use agatetrestle::ports::ChangeError;
use agatetrestle::programs::command::Answer;
use agatetrestle::programs::command::ProgramCommand;
use agatetrestle::programs::command::ProgramQuery;
use agatetrestle::programs::command::ProgramReply;
use agatetrestle::programs::command::ProgramSpec;
use agatetrestle::programs::command::QueryReply;
use agatetrestle::programs::command::Repeatable;

use crate::cluster::TestCluster;

const RETRY_DELAY: Duration = Duration::from_millis(50);
const GROUPS: [GroupId; 2] = [CONTROL_GROUP, FIRST_STATE_GROUP];

fn program(number: u32) -> ProgramId {
    ProgramId { partner: "vrsta".into(), name: format!("dawn-{number}").into() }
}

async fn open_program(cluster: &TestCluster, number: u32) {
    let spec =
        ProgramSpec { team: "dawn".into(), class: "replacement".into(), budget: 10, turns: 50, parent: None };
    let command = ProgramCommand::Open { program: program(number), key: RequestKey("k".into()), spec, at: 0 };
    cluster::retry("opening a program", async || {
        match cluster.nodes()[0].ledger().commit(command.clone()).await {
            Ok(ProgramReply::Done(_)) => Some(()),
            Ok(reply) => panic!("unexpected reply to opening a program: {reply:?}"),
            // An election may outlast one attempt.
            Err(_) => None,
        }
    })
    .await;
}

async fn knows_program(cluster: &TestCluster, number: u32) -> bool {
    cluster::retry("a program query", async || {
        match cluster.nodes()[0].ledger().query(ProgramQuery::Program(program(number))).await {
            Ok(QueryReply::One(reply)) => Some(matches!(reply, ProgramReply::Done(_))),
            Ok(QueryReply::Many(_)) => panic!("unexpected list in reply to a query for one program"),
            Err(_) => None,
        }
    })
    .await
}

/// Proposes the change to each node in turn until the leader has applied it.
async fn change_replicas(cluster: &TestCluster, change: ReplicaChange) {
    for group in GROUPS {
        let attempts = Cell::new(0);
        cluster::retry("a replica change", async || {
            let nodes = cluster.nodes();
            attempts.set(attempts.get() + 1);
            match nodes[attempts.get() % nodes.len()].groups().change(group, change).await {
                Ok(()) => Some(()),
                Err(ChangeError::Invalid) => panic!("invalid replica change: {change:?}"),
                Err(_) => {
                    smol::Timer::after(RETRY_DELAY).await;
                    None
                }
            }
        })
        .await;
    }
}

fn replica_sets(cluster: &TestCluster, node: u64) -> Vec<Vec<NodeId>> {
    let groups = cluster.node(node).groups().groups();
    groups.into_iter().map(|view| view.replicas).collect()
}

#[test]
fn keeps_quorum_after_replacement_and_second_loss() {
    cluster::run(|executor| async move {
        let cluster = TestCluster::new(&executor, "replacement");
        cluster.bootstrap(3).await;
        cluster.wait_until_taking_work().await;
        open_program(&cluster, 1).await;

        cluster.kill(3).await;
        cluster.delete_files(3);
        open_program(&cluster, 2).await;
        cluster.start(4, MissingFiles::Join).await.unwrap();
        change_replicas(&cluster, ReplicaChange::AddLearner(NodeId(4))).await;
        change_replicas(&cluster, ReplicaChange::Promote(NodeId(4))).await;
        change_replicas(&cluster, ReplicaChange::Remove(NodeId(3))).await;
        let expected = vec![vec![NodeId(1), NodeId(2), NodeId(4)]; 2];
        cluster.wait_until("the new replica set on node 4", || replica_sets(&cluster, 4) == expected).await;

        cluster.kill(1).await;
        open_program(&cluster, 3).await;
        for number in 1..=3 {
            assert!(knows_program(&cluster, number).await, "program {number} was lost");
        }
    });
}

#[test]
fn replica_without_files_does_not_vote() {
    cluster::run(|executor| async move {
        let cluster = TestCluster::new(&executor, "lost-disk");
        cluster.bootstrap(3).await;
        cluster.wait_until_taking_work().await;
        open_program(&cluster, 1).await;

        cluster.kill(3).await;
        cluster.delete_files(3);
        let refused = cluster.start(3, MissingFiles::Refuse).await;
        assert!(matches!(refused, Err(NodeError::Missing { .. })));

        // Node 3 is still a voter but has lost its vote record, so it must not vote, and node 1 has no quorum.
        cluster.start(3, MissingFiles::Join).await.unwrap();
        cluster.kill(2).await;
        let spec = ProgramSpec {
            team: "dawn".into(),
            class: "replacement".into(),
            budget: 10,
            turns: 2,
            parent: None,
        };
        let command = ProgramCommand::Open { program: program(2), key: RequestKey("k".into()), spec, at: 0 };
        assert!(cluster.node(1).ledger().commit(command).await.is_err());
        assert!(!cluster.node(3).groups().groups().iter().any(|group| group.commit > 0));

        cluster.start(2, MissingFiles::Refuse).await.unwrap();
        change_replicas(&cluster, ReplicaChange::Remove(NodeId(3))).await;
        change_replicas(&cluster, ReplicaChange::AddLearner(NodeId(3))).await;
        change_replicas(&cluster, ReplicaChange::Promote(NodeId(3))).await;
        cluster
            .wait_until("the replica set on node 3", || {
                replica_sets(&cluster, 3).iter().all(|set| set.len() == 3)
            })
            .await;
        cluster.kill(1).await;
        assert!(knows_program(&cluster, 1).await);
    });
}

const BODY_BYTES: usize = 2_000;
const CALLS: u32 = 20;

async fn run_call(cluster: &TestCluster, number: u32) {
    let attempt = AttemptId { node: NodeId(1), incarnation: 1, sequence: number.into() };
    let body: Arc<[u8]> = vec![b'x'; BODY_BYTES].into();
    let begin = ProgramCommand::Begin {
        program: program(1),
        call: CallNumber(number),
        key: RequestKey(format!("key-{number}").into()),
        attempt,
        reserve: 0,
        repeatable: Repeatable::No,
        request: body.clone(),
        digest: number.into(),
    };
    let answer = Answer { status: 200, content_type: "text/plain".into(), body };
    let finish =
        ProgramCommand::Finish { program: program(1), call: CallNumber(number), attempt, answer, spent: 0 };
    for command in [begin, finish] {
        cluster::retry("a call", async || match cluster.nodes()[0].ledger().commit(command.clone()).await {
            Ok(ProgramReply::Done(_)) => Some(()),
            Ok(reply) => panic!("unexpected reply to a call: {reply:?}"),
            Err(_) => None,
        })
        .await;
    }
}

fn history_bytes(cluster: &TestCluster, node: u64) -> u64 {
    let files = std::fs::read_dir(cluster.data_folder(node).join("history-1")).unwrap();
    files.map(|file| file.unwrap().metadata().unwrap().len()).sum()
}

#[test]
fn transfers_history_with_snapshots() {
    cluster::run(|executor| async move {
        let cluster = TestCluster::new(&executor, "history");
        cluster.snapshot_after.set(4 * BODY_BYTES as u64);
        cluster.bootstrap(3).await;
        cluster.wait_until_taking_work().await;
        open_program(&cluster, 1).await;
        for number in 1..=CALLS {
            run_call(&cluster, number).await;
        }

        cluster.kill(3).await;
        cluster.start(4, MissingFiles::Join).await.unwrap();
        change_replicas(&cluster, ReplicaChange::AddLearner(NodeId(4))).await;
        change_replicas(&cluster, ReplicaChange::Promote(NodeId(4))).await;
        change_replicas(&cluster, ReplicaChange::Remove(NodeId(3))).await;
        let fetched = history_bytes(&cluster, 4);
        assert!(
            fetched >= u64::from(CALLS) * BODY_BYTES as u64,
            "only {fetched} bytes came with the snapshot"
        );

        // After a restart, node 4 must have the history that its snapshot refers to and complete the quorum.
        cluster.kill(4).await;
        cluster.start(4, MissingFiles::Refuse).await.unwrap();
        cluster.kill(1).await;
        let query = ProgramQuery::Request(program(1), RequestKey("key-1".into()));
        let stored = cluster::retry("a query for the stored answer", async || {
            match cluster.node(4).ledger().query(query.clone()).await {
                Ok(QueryReply::One(ProgramReply::Stored(answer))) => Some(answer),
                Ok(other) => panic!("unexpected reply to the query: {other:?}"),
                Err(_) => None,
            }
        })
        .await;
        assert_eq!(stored.body.len(), BODY_BYTES);
    });
}
