//! A VM that lost its disk is replaced, and a second one is lost right after.

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

use crate::cluster::Cluster;

const PAUSE: Duration = Duration::from_millis(50);
const GROUPS: [GroupId; 2] = [CONTROL_GROUP, FIRST_STATE_GROUP];

fn program(number: u32) -> ProgramId {
    ProgramId { partner: "vrsta".into(), name: format!("dawn-{number}").into() }
}

async fn open(cluster: &Cluster, number: u32) {
    let spec =
        ProgramSpec { team: "dawn".into(), class: "replacement".into(), budget: 10, turns: 50, parent: None };
    let command = ProgramCommand::Open { program: program(number), key: RequestKey("k".into()), spec, at: 0 };
    cluster::persist("opening a program", async || {
        match cluster.nodes()[0].ledger().commit(command.clone()).await {
            Ok(ProgramReply::Done(_)) => Some(()),
            Ok(reply) => panic!("opening a program was answered by {reply:?}"),
            // An election may take longer than one try.
            Err(_) => None,
        }
    })
    .await;
}

async fn is_known(cluster: &Cluster, number: u32) -> bool {
    cluster::persist("a query", async || {
        match cluster.nodes()[0].ledger().query(ProgramQuery::Program(program(number))).await {
            Ok(QueryReply::One(reply)) => Some(matches!(reply, ProgramReply::Done(_))),
            Ok(QueryReply::Many(_)) => panic!("a query for one program was answered by a list"),
            Err(_) => None,
        }
    })
    .await
}

/// Asks every node until the leader has made the change.
async fn change(cluster: &Cluster, change: ReplicaChange) {
    for group in GROUPS {
        let asked = Cell::new(0);
        cluster::persist("a change of replicas", async || {
            let nodes = cluster.nodes();
            asked.set(asked.get() + 1);
            match nodes[asked.get() % nodes.len()].groups().change(group, change).await {
                Ok(()) => Some(()),
                Err(ChangeError::Invalid) => panic!("{change:?} makes no sense"),
                Err(_) => {
                    smol::Timer::after(PAUSE).await;
                    None
                }
            }
        })
        .await;
    }
}

fn voters(cluster: &Cluster, node: u64) -> Vec<Vec<NodeId>> {
    let views = cluster.node(node).groups().groups();
    views.into_iter().map(|view| view.replicas).collect()
}

#[test]
fn a_second_loss_right_after_a_repair_finds_a_full_quorum() {
    cluster::run(|executor| async move {
        let cluster = Cluster::new(&executor, "replacement");
        cluster.found(3).await;
        cluster.until_taking_work().await;
        open(&cluster, 1).await;

        cluster.lose(3).await;
        cluster.lose_files(3);
        open(&cluster, 2).await;
        cluster.start(4, MissingFiles::Join).await.unwrap();
        change(&cluster, ReplicaChange::AddLearner(NodeId(4))).await;
        change(&cluster, ReplicaChange::Promote(NodeId(4))).await;
        change(&cluster, ReplicaChange::Remove(NodeId(3))).await;
        let expected = vec![vec![NodeId(1), NodeId(2), NodeId(4)]; 2];
        cluster.until("the new replica knows the set", || voters(&cluster, 4) == expected).await;

        cluster.lose(1).await;
        open(&cluster, 3).await;
        for number in 1..=3 {
            assert!(is_known(&cluster, number).await, "program {number} was lost");
        }
    });
}

#[test]
fn a_replica_without_its_files_is_refused_and_as_a_joiner_counts_for_nothing() {
    cluster::run(|executor| async move {
        let cluster = Cluster::new(&executor, "lost-disk");
        cluster.found(3).await;
        cluster.until_taking_work().await;
        open(&cluster, 1).await;

        cluster.lose(3).await;
        cluster.lose_files(3);
        let refused = cluster.start(3, MissingFiles::Refuse).await;
        assert!(matches!(refused, Err(NodeError::Missing { .. })));

        // Its number is still a voter's, so it must stay silent, and with it alone there is no quorum.
        cluster.start(3, MissingFiles::Join).await.unwrap();
        cluster.lose(2).await;
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
        change(&cluster, ReplicaChange::Remove(NodeId(3))).await;
        change(&cluster, ReplicaChange::AddLearner(NodeId(3))).await;
        change(&cluster, ReplicaChange::Promote(NodeId(3))).await;
        cluster
            .until("the replica has caught up", || voters(&cluster, 3).iter().all(|set| set.len() == 3))
            .await;
        cluster.lose(1).await;
        assert!(is_known(&cluster, 1).await);
    });
}

const BODY: usize = 2_000;
const CALLS: u32 = 20;

async fn call(cluster: &Cluster, number: u32) {
    let attempt = AttemptId { node: NodeId(1), incarnation: 1, sequence: number.into() };
    let body: Arc<[u8]> = vec![b'x'; BODY].into();
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
        cluster::persist("a call", async || {
            match cluster.nodes()[0].ledger().commit(command.clone()).await {
                Ok(ProgramReply::Done(_)) => Some(()),
                Ok(reply) => panic!("a call was answered by {reply:?}"),
                Err(_) => None,
            }
        })
        .await;
    }
}

fn history_bytes(cluster: &Cluster, node: u64) -> u64 {
    let files = std::fs::read_dir(cluster.data_folder(node).join("history-1")).unwrap();
    files.map(|file| file.unwrap().metadata().unwrap().len()).sum()
}

#[test]
fn a_joining_replica_gets_the_history_with_its_snapshot() {
    cluster::run(|executor| async move {
        let cluster = Cluster::new(&executor, "history");
        cluster.snapshot_after.set(4 * BODY as u64);
        cluster.found(3).await;
        cluster.until_taking_work().await;
        open(&cluster, 1).await;
        for number in 1..=CALLS {
            call(&cluster, number).await;
        }

        cluster.lose(3).await;
        cluster.start(4, MissingFiles::Join).await.unwrap();
        change(&cluster, ReplicaChange::AddLearner(NodeId(4))).await;
        change(&cluster, ReplicaChange::Promote(NodeId(4))).await;
        change(&cluster, ReplicaChange::Remove(NodeId(3))).await;
        let fetched = history_bytes(&cluster, 4);
        assert!(fetched >= u64::from(CALLS) * BODY as u64, "only {fetched} bytes came with the snapshot");

        // A restart finds what the snapshot relies on, and the loss of node 1 leaves it in the quorum.
        cluster.lose(4).await;
        cluster.start(4, MissingFiles::Refuse).await.unwrap();
        cluster.lose(1).await;
        let query = ProgramQuery::Request(program(1), RequestKey("key-1".into()));
        let stored = cluster::persist("the stored answer", async || {
            match cluster.node(4).ledger().query(query.clone()).await {
                Ok(QueryReply::One(ProgramReply::Stored(answer))) => Some(answer),
                Ok(other) => panic!("the request was answered by {other:?}"),
                Err(_) => None,
            }
        })
        .await;
        assert_eq!(stored.body.len(), BODY);
    });
}
