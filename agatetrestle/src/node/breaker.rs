//! A circuit breaker for a group that no replica answers for; see docs/design/023-unreachable-state-groups.md.

use std::collections::BTreeSet;
use std::time::Duration;

use crate::clock::Timestamp;
use crate::ids::NodeId;

/// Time without an answer of any replica after which a group counts as unreachable. Longer than an election, which takes up
/// to 600 ms and during which followers answer, and than two attempts at replicas that are lost with their leader.
pub const UNREACHABLE_AFTER: Duration = Duration::from_secs(1);

/// Whether a request may be sent.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Admission {
    /// The group is not known to be unreachable.
    Pass,
    /// The group is unreachable, and this request finds out whether it still is. [`CircuitBreaker::end_probe`] must follow.
    Probe,
    /// The group is unreachable, and another request finds out whether it still is.
    Refuse,
}

/// Requests that replicas did not answer since the last answer of any.
#[derive(Clone, Debug, Default)]
struct Silence {
    since: Timestamp,
    last_failure: Timestamp,
    replicas: BTreeSet<NodeId>,
}

/// Tells an unreachable group from a slow one, and from one that elects a leader.
#[derive(Clone, Debug, Default)]
pub struct CircuitBreaker {
    silence: Option<Silence>,
    open: bool,
    probing: bool,
}

impl CircuitBreaker {
    /// Whether the group is unreachable.
    #[must_use]
    pub fn is_open(&self) -> bool {
        self.open
    }

    /// Decides whether a new request may be sent.
    pub fn admit(&mut self) -> Admission {
        if !self.open {
            return Admission::Pass;
        }
        if std::mem::replace(&mut self.probing, true) { Admission::Refuse } else { Admission::Probe }
    }

    /// Ends a probe, whatever its outcome.
    pub fn end_probe(&mut self) {
        self.probing = false;
    }

    /// Records that a replica answered, be it only that it does not lead. An open breaker stays open, since the group may have
    /// no quorum.
    pub fn record_answer(&mut self) {
        self.silence = None;
    }

    /// Records that a leader answered a request. Returns whether the group was unreachable before.
    pub fn record_leader(&mut self) -> bool {
        self.silence = None;
        std::mem::take(&mut self.open)
    }

    /// Records that a replica, one of `replicas` of the group, did not answer a request that was sent at `sent_at`. Returns
    /// whether the group has become unreachable: for a while no replica has answered, and most have been asked.
    pub fn record_failure(
        &mut self,
        replica: NodeId,
        replicas: usize,
        sent_at: Timestamp,
        now: Timestamp,
    ) -> bool {
        // Time during which nothing was asked proves nothing.
        self.silence.take_if(|silence| sent_at.since(silence.last_failure) >= UNREACHABLE_AFTER);
        let silence = self.silence.get_or_insert_with(|| Silence { since: sent_at, ..Silence::default() });
        silence.last_failure = silence.last_failure.max(now);
        silence.replicas.insert(replica);
        let silent = now.since(silence.since) >= UNREACHABLE_AFTER && silence.replicas.len() * 2 > replicas;
        silent && !std::mem::replace(&mut self.open, true)
    }
}

#[cfg(test)]
mod tests;
