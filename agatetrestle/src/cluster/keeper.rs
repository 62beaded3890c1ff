//! Carries out, on the leader of a group, what [`crate::cluster::voters`] decides.

use std::rc::Rc;
use std::time::Duration;

use log::info;
use smol::Timer;

use crate::agreement::StateMachine;
use crate::cluster::voters::Candidate;
use crate::cluster::voters::Wanted;
use crate::cluster::voters::lost;
use crate::cluster::voters::next_change;
use crate::node::group::Group;
use crate::node::group::Verdict;

/// Time between two looks. A replaced member has to have caught up within seconds, in three steps.
const INTERVAL: Duration = Duration::from_millis(200);
/// Silence after which a voter may be let go that control does not hear from either.
const SILENCE: Duration = Duration::from_secs(1);
/// Silence after which a voter may be let go though control hears from it: it is cut off from this leader. One that is only
/// late answers sooner, and the copy for its successor would come from a leader that has no time either.
const LATE: Duration = Duration::from_secs(3);

/// Tells who could take part now.
pub type Candidates = Rc<dyn Fn() -> Vec<Candidate>>;

/// Keeps a group at full strength until the task is dropped.
pub async fn keep<M: StateMachine + 'static>(group: Rc<Group<M>>, candidates: Candidates, wanted: Wanted) {
    loop {
        Timer::after(INTERVAL).await;
        if !group.leads() {
            continue;
        }
        let candidates = candidates();
        let silent = lost(&group.silent_voters(SILENCE), &group.silent_voters(LATE), &candidates);
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
