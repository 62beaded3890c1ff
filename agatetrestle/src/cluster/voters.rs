//! Decides the next membership change of a group, without side effects.
//!
//! A replacement is made one step at a time: a candidate joins as a learner, becomes a voter, and only then is a failed or
//! leaving voter removed, so that the group never has fewer healthy voters than before.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;

use crate::agreement::ReplicaChange;
use crate::agreement::Replicas;
use crate::ids::GroupId;
use crate::ids::NodeId;

/// A node that can be a voter.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Candidate {
    /// ID of the node.
    pub node: NodeId,
    /// Breaks ties between equal candidates; the lowest value wins. Groups use different values for the same node, so that
    /// they seldom choose the same spare.
    pub tie_break: u64,
    /// Its failure domain.
    pub zone: Arc<str>,
    /// Whether its VM is being drained.
    pub leaving: bool,
}

/// The number of voters that a group should have.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct VoterCounts {
    /// Healthy voters to reach while there are candidates.
    pub target: usize,
    /// Healthy voters required before another voter is removed.
    pub min: usize,
}

/// The voters that count as failed. `silent` and `long_silent` have not answered the leader for a short and a long timeout;
/// those in `silent` count only if they are not among the candidates, which report to control, or are in `long_silent` too.
#[must_use]
pub fn failed_voters(
    silent: &[NodeId],
    long_silent: &[NodeId],
    candidates: &[Candidate],
) -> BTreeSet<NodeId> {
    let reports = |node: &NodeId| candidates.iter().any(|candidate| candidate.node == *node);
    let failed = |node: &&NodeId| !reports(node) || long_silent.contains(node);
    silent.iter().filter(failed).copied().collect()
}

/// The next membership change, if one is needed. `candidates` are the nodes that report to control.
#[must_use]
pub fn next_change(
    replicas: &Replicas,
    candidates: &[Candidate],
    failed: &BTreeSet<NodeId>,
    counts: VoterCounts,
) -> Option<ReplicaChange> {
    let eligible: BTreeMap<NodeId, &Candidate> =
        candidates.iter().filter(|c| !c.leaving).map(|c| (c.node, c)).collect();
    let leaving: BTreeSet<NodeId> = candidates.iter().filter(|c| c.leaving).map(|c| c.node).collect();
    let is_healthy = |voter: &&NodeId| !failed.contains(voter) && !leaving.contains(voter);
    let healthy: Vec<NodeId> = replicas.voters.iter().filter(is_healthy).copied().collect();
    if let Some(unfit) = replicas.learners.iter().find(|learner| !eligible.contains_key(learner)) {
        return Some(ReplicaChange::Remove(*unfit));
    }
    if healthy.len() < counts.target {
        if let Some(learner) = replicas.learners.first() {
            return Some(ReplicaChange::Promote(*learner));
        }
        if let Some(best) = best_candidate(replicas, &eligible, &healthy) {
            return Some(ReplicaChange::AddLearner(best));
        }
    }
    if healthy.len() >= counts.min {
        let unhealthy = replicas.voters.iter().find(|voter| !healthy.contains(voter));
        return unhealthy.copied().map(ReplicaChange::Remove);
    }
    None
}

/// Whether the state groups need none but `others`, the live stores that are not drained. `reported` are the voters of the
/// groups as leaders reported them, former leaders included.
///
/// A drained store that does not report may still be a voter, so it is not enough that no live voter is drained.
#[must_use]
pub fn is_drained<'a>(
    reported: impl Iterator<Item = (GroupId, &'a BTreeSet<NodeId>)>,
    groups: usize,
    others: &BTreeSet<NodeId>,
    min_voters: usize,
) -> bool {
    let mut known = BTreeSet::new();
    for (group, voters) in reported {
        if voters.len() < min_voters || !voters.is_subset(others) {
            return false;
        }
        known.insert(group);
    }
    known.len() == groups
}

/// The candidate whose failure domain holds the fewest healthy voters.
fn best_candidate(
    replicas: &Replicas,
    eligible: &BTreeMap<NodeId, &Candidate>,
    healthy: &[NodeId],
) -> Option<NodeId> {
    let in_zone = |zone: &str| {
        healthy.iter().filter(|voter| eligible.get(voter).is_some_and(|c| &*c.zone == zone)).count()
    };
    let nonvoters = eligible.values().filter(|candidate| !replicas.voters.contains(&candidate.node));
    nonvoters
        .min_by_key(|candidate| (in_zone(&candidate.zone), candidate.tie_break))
        .map(|candidate| candidate.node)
}
