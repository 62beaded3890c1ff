//! Allocated memory of a leader in a burst of small turns of teams, while a follower is lost, and when it starts again.
//!
//! Guards against the out-of-memory failures of docs/incidents/008-a-leader-that-its-callers-keep-overloaded.md.

mod store_support;

use std::rc::Rc;

use agatetrestle::agreement::ReplicaChange;
use agatetrestle::node::group::ProposalOutcome;
use smol::LocalExecutor;

use crate::store_support::ALLOCATOR;
use crate::store_support::DataFolder;
use crate::store_support::LOST_NODE;
use crate::store_support::MAX_TURN_BYTES;
use crate::store_support::assert_within_limit;
use crate::store_support::open_leader;
use crate::store_support::run_turns;

#[test]
fn full_store_with_lost_follower_stays_under_its_memory_limit() {
    let folder = DataFolder::new("leader");
    let executor = Rc::new(LocalExecutor::new());
    let start = ALLOCATOR.allocated();
    smol::block_on(executor.run(async {
        let store = open_leader(&folder.0, &executor).await;
        let change = store.group.change_replicas(ReplicaChange::AddLearner(LOST_NODE)).await;
        assert_eq!(change, ProposalOutcome::Changed);
        let next = run_turns(&store, 0, MAX_TURN_BYTES * 2, 9).await;
        assert_within_limit(start, "nine turns a program");
        run_turns(&store, next, MAX_TURN_BYTES * 2, 1).await;
        assert_within_limit(start, "one turn a program");
        store.driver.cancel().await;
        drop(store.group);
        let store = open_leader(&folder.0, &executor).await;
        assert_within_limit(start, "after a start");
        store.driver.cancel().await;
    }));
}
