//! Allocated memory of a full leader that is replaced and then installs a snapshot of the new leader.
//!
//! Guards against the out-of-memory failures of docs/incidents/008-a-leader-that-its-callers-keep-overloaded.md.

mod store_support;

use std::rc::Rc;

use agatetrestle::agreement::Replicas;
use agatetrestle::agreement::StateMachine;
use agatetrestle::agreement::coding;
use agatetrestle::agreement::message::Body;
use agatetrestle::agreement::message::Message;
use agatetrestle::agreement::message::Position;
use agatetrestle::ids::FIRST_STATE_GROUP;
use agatetrestle::ids::NodeId;
use agatetrestle::node::replicas::OpenReplica;
use agatetrestle::turns::state::TurnState;
use smol::LocalExecutor;
use smol::Timer;

use crate::store_support::ALLOCATOR;
use crate::store_support::CHUNK_BYTES;
use crate::store_support::DataFolder;
use crate::store_support::MAX_TURN_BYTES;
use crate::store_support::NODE;
use crate::store_support::POLL_INTERVAL;
use crate::store_support::assert_within_limit;
use crate::store_support::open_leader;
use crate::store_support::run_turns;

const NEW_LEADER: NodeId = NodeId(2);
const NEW_TERM: u64 = 1_000;

/// Sends the snapshot of a new leader to a replica and waits until it is installed.
async fn install(replica: &OpenReplica<TurnState>, data: &[u8], index: u64) {
    let position = Position { term: NEW_TERM, index };
    let replicas = Replicas { voters: [NODE, NEW_LEADER].into(), ..Replicas::default() };
    let header = coding::snapshot_header(&replicas);
    let mut offset = 0;
    for chunk in std::iter::once(&header[..]).chain(data.chunks(CHUNK_BYTES)) {
        let last = offset + chunk.len() == header.len() + data.len();
        let body = Body::Snapshot {
            position,
            offset: offset as u64,
            chunk: chunk.into(),
            last,
            learner: false,
            round: 1,
        };
        let (from, to) = (NEW_LEADER, NODE);
        replica.group.receive(Message { group: FIRST_STATE_GROUP, from, to, term: NEW_TERM, body });
        offset += chunk.len();
    }
    while replica.group.applied_index() < index {
        Timer::after(POLL_INTERVAL).await;
    }
}

#[test]
fn full_store_installs_snapshot_within_its_memory_limit() {
    let folder = DataFolder::new("install");
    let executor = Rc::new(LocalExecutor::new());
    let start = ALLOCATOR.allocated();
    smol::block_on(executor.run(async {
        let store = open_leader(&folder.0, &executor).await;
        run_turns(&store, 0, MAX_TURN_BYTES, 9).await;
        let data = store.group.machine(StateMachine::snapshot);
        install(&store, &data, store.group.last_index() + 1).await;
        assert!(store.group.machine(|turns| turns.usage().bytes) > MAX_TURN_BYTES * 9 / 10);
        // The encoded state is memory of the new leader.
        assert_within_limit(start + data.len(), "installing a snapshot");
        store.driver.cancel().await;
    }));
}
