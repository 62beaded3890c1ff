//! What may be said and done about one call, as a pure state machine.
//!
//! It knows nothing of connections: the driver tells it what happened, and it decides whether the
//! call may be written and which outcome is true. The two rules that it carries are the second and
//! third of docs/design/002-ledger-and-at-most-once.md: a call that wrote a byte is never said not to have
//! run, and a call that may not be repeated is written at most once.

use crate::programs::command::Repeatable;
use crate::scheduler::event::Failure;

/// Where an attempt stands.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Phase {
    /// In the scheduler's queue.
    Waiting,
    /// A connection is being made.
    Connecting,
    /// At least one byte of the request may have left.
    Sent,
    /// Part of an answer came.
    Answering,
    /// Nothing more will happen.
    Done,
}

/// What is true of a call that got no usable answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ExecutionStatus {
    /// Nothing of it was ever started.
    NotRun,
    /// Nobody can tell whether it ran, and it may not be sent again.
    Unknown,
    /// It may have run in part, but may be sent again.
    Retryable,
}

/// The state of one call on this node, over all its attempts.
#[derive(Debug)]
pub struct Delivery {
    repeatable: Repeatable,
    phase: Phase,
    doubtful: bool,
}

impl Delivery {
    /// A call that waits.
    #[must_use]
    pub fn new(repeatable: Repeatable) -> Self {
        Self { repeatable, phase: Phase::Waiting, doubtful: false }
    }

    /// Where it stands.
    #[must_use]
    pub fn phase(&self) -> Phase {
        self.phase
    }

    /// Asks for leave to attempt the call; refused where it may already have run and may not again.
    #[must_use]
    pub fn dispatch(&mut self) -> bool {
        let allowed = self.phase == Phase::Waiting && (self.repeatable == Repeatable::Yes || !self.doubtful);
        if allowed {
            self.phase = Phase::Connecting;
        }
        allowed
    }

    /// The first byte is about to be written.
    pub fn begin_write(&mut self) {
        self.phase = Phase::Sent;
    }

    /// Part of an answer came.
    pub fn receive(&mut self) {
        if self.phase == Phase::Sent {
            self.phase = Phase::Answering;
        }
    }

    /// The attempt failed; returns the failure that is true, since an exchange can't claim that a
    /// request it wrote never left. Only the backend server's own word takes the doubt away.
    pub fn fail(&mut self, failure: Failure) -> Failure {
        let truth = match failure {
            Failure::Connect if self.written() => Failure::Lost,
            Failure::Refused if self.phase == Phase::Answering => Failure::Lost,
            other => other,
        };
        self.doubtful |= self.written() && truth != Failure::Refused;
        self.phase = Phase::Waiting;
        truth
    }

    /// A whole answer came.
    pub fn finish(&mut self) {
        self.phase = Phase::Done;
    }

    /// No further attempt will be made; returns what is true.
    pub fn end(&mut self) -> ExecutionStatus {
        let in_doubt = self.in_doubt();
        self.phase = Phase::Done;
        match (in_doubt, self.repeatable) {
            (false, _) => ExecutionStatus::NotRun,
            (true, Repeatable::No) => ExecutionStatus::Unknown,
            (true, Repeatable::Yes) => ExecutionStatus::Retryable,
        }
    }

    /// Whether a caller's departure may stop the call: one that may not be repeated goes on once it
    /// was written, since its answer is worth storing.
    #[must_use]
    pub fn may_cancel(&self) -> bool {
        self.repeatable == Repeatable::Yes || !self.in_doubt()
    }

    fn written(&self) -> bool {
        matches!(self.phase, Phase::Sent | Phase::Answering)
    }

    fn in_doubt(&self) -> bool {
        self.doubtful || self.written()
    }
}

#[cfg(test)]
mod tests;
