//! Tests of what a replica without files takes part in.

use std::time::Duration;

use super::MissingFiles;
use super::first_replica;
use super::make_replica;
use crate::agreement::replica::PersistentState;
use crate::agreement::replica::ReplicaConfig;
use crate::clock::Timestamp;
use crate::ids::FIRST_STATE_GROUP;
use crate::ids::NodeId;

fn config() -> ReplicaConfig {
    ReplicaConfig {
        group: FIRST_STATE_GROUP,
        node: NodeId(1),
        leader_interval: Duration::from_millis(20),
        election_timeout: Duration::from_millis(100),
        clock_drift: Duration::from_millis(5),
        seed: 7,
        max_in_flight: 4,
        max_commit_wait: Duration::from_secs(1),
        max_batch_bytes: 64,
    }
}

#[test]
fn only_a_replica_under_a_new_id_has_its_vote_without_files() {
    let is_joining =
        |missing| first_replica(&config(), missing, PersistentState::default(), Timestamp(0)).is_joining();
    assert!(is_joining(MissingFiles::Join), "its process may have voted before it lost its files");
    assert!(!is_joining(MissingFiles::JoinUnderNewId));
}

/// Guards against a second vote in a term by a process whose files are lost while it runs.
#[test]
fn replica_rebuilt_without_files_waits_to_join() {
    assert!(make_replica(config())(PersistentState::default(), Timestamp(0)).is_joining());
}
