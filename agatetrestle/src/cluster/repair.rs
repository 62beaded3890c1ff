//! Replaces failed voters of a group, as decided by [`crate::cluster::voters`]; only the leader acts.

mod log;

use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use smol::Timer;

use crate::agreement::ReplicaChange;
use crate::agreement::Replicas;
use crate::agreement::StateMachine;
use crate::cluster::repair::log::RepairLog;
use crate::cluster::voters::Candidate;
use crate::cluster::voters::VoterCounts;
use crate::cluster::voters::failed_voters;
use crate::cluster::voters::next_change;
use crate::ids::NodeId;
use crate::node::group::Group;

/// Interval between checks of a group whose voters are healthy.
const CHECK_INTERVAL: Duration = Duration::from_millis(200);
/// The same during a replacement, which takes three membership changes and has to complete within seconds.
const REPAIR_INTERVAL: Duration = Duration::from_millis(50);
/// Time without an answer after which a voter is replaced if it does not report to control either: two election timeouts. Control
/// counts a process as failed after [`FAILURE_DETECTION_TIMEOUT`](crate::cluster::liveness::FAILURE_DETECTION_TIMEOUT), so this
/// decides only after an election, which restarts it.
const UNREPORTED_VOTER_TIMEOUT: Duration = Duration::from_millis(500);
/// Time without an answer after which a voter is replaced although it reports to control, because it is partitioned from the
/// leader. A voter that is only slow answers sooner, and copying the state to a successor would slow the leader down.
const PARTITIONED_VOTER_TIMEOUT: Duration = Duration::from_secs(3);

/// Returns the nodes that can currently be voters.
pub type CandidateSource = Rc<dyn Fn() -> Vec<Candidate>>;

/// The next membership change of a group, if one is needed. `silent_voters` returns the voters that have not answered their
/// leader for a time.
#[must_use]
pub(crate) fn next_step(
    replicas: &Replicas,
    candidates: &[Candidate],
    counts: VoterCounts,
    silent_voters: impl Fn(Duration) -> Vec<NodeId>,
) -> Option<ReplicaChange> {
    let failed = failed_voters(
        &silent_voters(UNREPORTED_VOTER_TIMEOUT),
        &silent_voters(PARTITIONED_VOTER_TIMEOUT),
        candidates,
    );
    next_change(replicas, candidates, &failed, counts)
}

/// Maintains the voters of a group until the task is dropped.
pub async fn repair_forever<M: StateMachine + 'static>(
    group: Rc<Group<M>>,
    candidates: CandidateSource,
    counts: VoterCounts,
) {
    let mut log = RepairLog::new(group.id());
    loop {
        let interval = if log.is_repairing() { REPAIR_INTERVAL } else { CHECK_INTERVAL };
        Timer::after(interval).await;
        if !group.leads() {
            log.stop_leading();
            continue;
        }
        let silent_voters = |timeout| group.silent_voters(timeout);
        let replicas = group.replicas();
        let Some(change) = next_step(&replicas, &candidates(), counts, silent_voters) else {
            log.complete();
            continue;
        };
        let began = Instant::now();
        let outcome = group.change_replicas(change).await;
        log.record(began, change, &replicas, &outcome);
    }
}
