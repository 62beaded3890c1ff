//! Who should take part in a group, as a pure decision that its leader makes again and again.
//!
//! One step at a time: a candidate joins as a learner, becomes a voter once it has caught up, and only then is a voter
//! let go that is silent or leaving. So a group never counts on fewer members than before.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;

use crate::agreement::ReplicaChange;
use crate::agreement::Replicas;
use crate::ids::NodeId;

/// A node that could take part.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Candidate {
    /// The node.
    pub node: NodeId,
    /// Decides between candidates that are equally fit. Groups that draw from the same spare nodes draw different lots, so that
    /// they seldom want the same one.
    pub tie_break: u64,
    /// Its failure domain.
    pub zone: Arc<str>,
    /// Whether it is to be emptied.
    pub leaving: bool,
}

/// How many voters a group should have.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct VoterCounts {
    /// Voters that are sought while there are candidates.
    pub target: usize,
    /// Sound voters that must stay before one that is not sound is let go.
    pub min: usize,
}

/// The voters that count as lost: silent ones of which control hears nothing either, and those that stay silent for much
/// longer. `silent` and `long_silent` have not answered the leader for a short and a long while; `candidates` are those
/// that control hears from.
#[must_use]
pub fn failed_voters(
    silent: &[NodeId],
    long_silent: &[NodeId],
    candidates: &[Candidate],
) -> BTreeSet<NodeId> {
    let heard = |node: &NodeId| candidates.iter().any(|candidate| candidate.node == *node);
    let gone = |node: &&NodeId| !heard(node) || long_silent.contains(node);
    silent.iter().filter(gone).copied().collect()
}

/// The next change, if any. `candidates` are the nodes that were heard from lately; `silent` are voters that have not
/// answered the leader for a while.
#[must_use]
pub fn next_change(
    replicas: &Replicas,
    candidates: &[Candidate],
    silent: &BTreeSet<NodeId>,
    wanted: VoterCounts,
) -> Option<ReplicaChange> {
    let fit: BTreeMap<NodeId, &Candidate> =
        candidates.iter().filter(|c| !c.leaving).map(|c| (c.node, c)).collect();
    let leaving: BTreeSet<NodeId> = candidates.iter().filter(|c| c.leaving).map(|c| c.node).collect();
    let sound = |voter: &&NodeId| !silent.contains(voter) && !leaving.contains(voter);
    let sound: Vec<NodeId> = replicas.voters.iter().filter(sound).copied().collect();
    if let Some(gone) = replicas.learners.iter().find(|learner| !fit.contains_key(learner)) {
        return Some(ReplicaChange::Remove(*gone));
    }
    if sound.len() < wanted.target {
        if let Some(learner) = replicas.learners.first() {
            return Some(ReplicaChange::Promote(*learner));
        }
        if let Some(joins) = best_candidate(replicas, &fit, &sound) {
            return Some(ReplicaChange::AddLearner(joins));
        }
    }
    if sound.len() >= wanted.min {
        let unsound = replicas.voters.iter().find(|voter| !sound.contains(voter));
        return unsound.copied().map(ReplicaChange::Remove);
    }
    None
}

/// The candidate whose failure domain holds the fewest sound voters.
fn best_candidate(
    replicas: &Replicas,
    fit: &BTreeMap<NodeId, &Candidate>,
    sound: &[NodeId],
) -> Option<NodeId> {
    let in_zone =
        |zone: &str| sound.iter().filter(|voter| fit.get(voter).is_some_and(|c| &*c.zone == zone)).count();
    let outside = fit.values().filter(|candidate| !replicas.voters.contains(&candidate.node));
    outside
        .min_by_key(|candidate| (in_zone(&candidate.zone), candidate.tie_break))
        .map(|candidate| candidate.node)
}
