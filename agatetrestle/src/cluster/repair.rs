//! Replaces failed voters of a group, as [`crate::cluster::voters`] decides; it acts on the leader alone.

use std::rc::Rc;
use std::time::Duration;

use log::info;
use smol::Timer;

use crate::agreement::StateMachine;
use crate::cluster::voters::Candidate;
use crate::cluster::voters::VoterCounts;
use crate::cluster::voters::failed_voters;
use crate::cluster::voters::next_change;
use crate::node::group::Group;
use crate::node::group::Verdict;

/// Time between two checks. A replacement takes three steps and has to be done within seconds.
const CHECK_INTERVAL: Duration = Duration::from_millis(200);
/// Time without an answer after which a voter may be replaced that does not report to control either.
const FAILED_AFTER: Duration = Duration::from_secs(1);
/// Time without an answer after which a voter may be replaced though it reports to control, since it is partitioned from
/// this leader. One that is only slow answers sooner, and copying the state to a successor would slow the leader down.
const PARTITIONED_AFTER: Duration = Duration::from_secs(3);

/// The nodes that could take part now.
pub type CandidateSource = Rc<dyn Fn() -> Vec<Candidate>>;

/// Keeps a group at full strength until the task is dropped.
pub async fn repair_forever<M: StateMachine + 'static>(
    group: Rc<Group<M>>,
    candidates: CandidateSource,
    wanted: VoterCounts,
) {
    loop {
        Timer::after(CHECK_INTERVAL).await;
        if !group.leads() {
            continue;
        }
        let candidates = candidates();
        let silent = failed_voters(
            &group.silent_voters(FAILED_AFTER),
            &group.silent_voters(PARTITIONED_AFTER),
            &candidates,
        );
        let replicas = group.replicas();
        let Some(change) = next_change(&replicas, &candidates, &silent, wanted) else {
            continue;
        };
        let verdict = group.change_replicas(change).await;
        if verdict == Verdict::Changed {
            info!("Members of a group changed by {change:?} from {replicas:?}; silent were {silent:?}.");
        }
    }
}
