//! Replaces failed voters of a group, as decided by [`crate::cluster::voters`]; only the leader acts.

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
use crate::node::group::ProposalOutcome;

/// Interval between checks. A replacement takes three membership changes and has to complete within seconds.
const CHECK_INTERVAL: Duration = Duration::from_millis(200);
/// Time without an answer after which a voter is replaced if it does not report to control either.
const UNREPORTED_VOTER_TIMEOUT: Duration = Duration::from_secs(1);
/// Time without an answer after which a voter is replaced although it reports to control, because it is partitioned from the
/// leader. A voter that is only slow answers sooner, and copying the state to a successor would slow the leader down.
const PARTITIONED_VOTER_TIMEOUT: Duration = Duration::from_secs(3);

/// Returns the nodes that can currently be voters.
pub type CandidateSource = Rc<dyn Fn() -> Vec<Candidate>>;

/// Maintains the voters of a group until the task is dropped.
pub async fn repair_forever<M: StateMachine + 'static>(
    group: Rc<Group<M>>,
    candidates: CandidateSource,
    counts: VoterCounts,
) {
    loop {
        Timer::after(CHECK_INTERVAL).await;
        if !group.leads() {
            continue;
        }
        let candidates = candidates();
        let failed = failed_voters(
            &group.silent_voters(UNREPORTED_VOTER_TIMEOUT),
            &group.silent_voters(PARTITIONED_VOTER_TIMEOUT),
            &candidates,
        );
        let replicas = group.replicas();
        let Some(change) = next_change(&replicas, &candidates, &failed, counts) else {
            continue;
        };
        let outcome = group.change_replicas(change).await;
        if outcome == ProposalOutcome::Changed {
            info!("Members of a group changed by {change:?} from {replicas:?}; failed voters: {failed:?}.");
        }
    }
}
