//! Logs the steps of a replacement: when each was first tried, how long it took, and why it was tried again.

use std::time::Instant;

use log::info;

use crate::agreement::Rejection;
use crate::agreement::ReplicaChange;
use crate::agreement::Replicas;
use crate::ids::GroupId;
use crate::node::group::ProposalOutcome;

/// The membership change that a leader is making.
#[derive(Debug)]
struct Step {
    change: ReplicaChange,
    started: Instant,
    attempts: u32,
    /// Outcome of the last attempt, if it failed.
    failure: Option<ProposalOutcome>,
}

/// The replacement that a leader is making, if any.
#[derive(Debug)]
pub(super) struct RepairLog {
    group: GroupId,
    step: Option<Step>,
    /// When the first step of the replacement was tried.
    started: Option<Instant>,
}

impl RepairLog {
    pub(super) fn new(group: GroupId) -> Self {
        Self { group, step: None, started: None }
    }

    /// Whether a replacement is in progress.
    pub(super) fn is_repairing(&self) -> bool {
        self.started.is_some()
    }

    /// Records an attempt that began at `began`. Logs its success, and the first of equal failures.
    pub(super) fn record(
        &mut self,
        began: Instant,
        change: ReplicaChange,
        replicas: &Replicas,
        outcome: &ProposalOutcome,
    ) {
        let started = *self.started.get_or_insert(began);
        if self.step.as_ref().is_none_or(|step| step.change != change) {
            self.step = Some(Step { change, started: began, attempts: 0, failure: None });
        }
        let Some(step) = &mut self.step else {
            return;
        };
        step.attempts += 1;
        if *outcome == ProposalOutcome::Changed {
            info!(
                "Members of a group changed by {change:?} from {replicas:?}: group={} attempts={} step_ms={} total_ms={}.",
                self.group.0,
                step.attempts,
                step.started.elapsed().as_millis(),
                started.elapsed().as_millis(),
            );
            self.step = None;
        } else if step.failure.as_ref() != Some(outcome) {
            info!(
                "Members of a group not changed by {change:?} yet: group={} reason={} step_ms={}.",
                self.group.0,
                reason(outcome),
                step.started.elapsed().as_millis(),
            );
            step.failure = Some(outcome.clone());
        }
    }

    /// Ends the replacement once no change is needed.
    pub(super) fn complete(&mut self) {
        (self.step, self.started) = (None, None);
    }

    /// Ends the replacement because another node may lead the group; its leader continues it.
    pub(super) fn stop_leading(&mut self) {
        if let Some(started) = self.started.take() {
            info!(
                "Replacement of members ended with leadership: group={} step={:?} total_ms={}.",
                self.group.0,
                self.step.take().map(|step| step.change),
                started.elapsed().as_millis(),
            );
        }
    }
}

/// Why a step has to be tried again.
fn reason(outcome: &ProposalOutcome) -> &'static str {
    match outcome {
        ProposalOutcome::Rejected(Rejection::ChangePending) => "change_pending_or_learner_lags",
        ProposalOutcome::Rejected(Rejection::Busy) => "busy",
        ProposalOutcome::Rejected(Rejection::NotLeader(_)) => "not_leader",
        ProposalOutcome::Rejected(Rejection::InvalidChange) => "invalid",
        ProposalOutcome::Unknown => "leadership_lost",
        ProposalOutcome::Applied(_) | ProposalOutcome::Changed | ProposalOutcome::Ready => "unexpected",
    }
}
