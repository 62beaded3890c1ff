//! State machine that decides whether a call may be sent and whether it may have run.
//!
//! It performs no I/O. It enforces the second and third rule of docs/design/002-ledger-and-at-most-once.md:
//! a call of which a byte was written is not reported as not run unless the backend server refused it, and
//! a call that is not repeatable is executed at most once.

use crate::programs::command::Repeatable;
use crate::scheduler::event::Failure;

/// Phase of the current attempt.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Phase {
    /// In the scheduler's queue.
    Queued,
    /// Connecting to the backend server.
    Connecting,
    /// At least one byte of the request may have been sent.
    Sent,
    /// Part of the answer was received.
    Receiving,
    /// The call has ended.
    Done,
}

/// Whether a call without a usable answer may have run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ExecutionStatus {
    /// No attempt was started by a backend server.
    NotRun,
    /// It may have run and must not be sent again.
    Unknown,
    /// It may have run, but is repeatable.
    Retryable,
}

/// State of one call on this node across all its attempts.
#[derive(Debug)]
pub struct Delivery {
    repeatable: Repeatable,
    phase: Phase,
    earlier_in_doubt: bool,
}

impl Delivery {
    /// Creates the state of a queued call.
    #[must_use]
    pub fn new(repeatable: Repeatable) -> Self {
        Self { repeatable, phase: Phase::Queued, earlier_in_doubt: false }
    }

    /// Phase of the current attempt.
    #[must_use]
    pub fn phase(&self) -> Phase {
        self.phase
    }

    /// Starts an attempt. Returns false if the call may already have run and is not repeatable.
    #[must_use]
    pub fn dispatch(&mut self) -> bool {
        let allowed =
            self.phase == Phase::Queued && (self.repeatable == Repeatable::Yes || !self.earlier_in_doubt);
        if allowed {
            self.phase = Phase::Connecting;
        }
        allowed
    }

    /// Records that the first byte is about to be written.
    pub fn begin_write(&mut self) {
        self.phase = Phase::Sent;
    }

    /// Records that part of the answer was received.
    pub fn receive(&mut self) {
        if self.phase == Phase::Sent {
            self.phase = Phase::Receiving;
        }
    }

    /// Records a failed attempt and returns the failure to report: after a write, a connection failure is
    /// reported as lost, and so is a refusal that follows part of an answer. Only a refusal rules out that
    /// the written request ran.
    pub fn fail(&mut self, failure: Failure) -> Failure {
        let reported = match failure {
            Failure::Connect if self.written() => Failure::Lost,
            Failure::Refused if self.phase == Phase::Receiving => Failure::Lost,
            other => other,
        };
        self.earlier_in_doubt |= self.written() && reported != Failure::Refused;
        self.phase = Phase::Queued;
        reported
    }

    /// Records that a complete answer was received.
    pub fn finish(&mut self) {
        self.phase = Phase::Done;
    }

    /// Ends the call without an answer and returns whether it may have run.
    pub fn end(&mut self) -> ExecutionStatus {
        let in_doubt = self.in_doubt();
        self.phase = Phase::Done;
        match (in_doubt, self.repeatable) {
            (false, _) => ExecutionStatus::NotRun,
            (true, Repeatable::No) => ExecutionStatus::Unknown,
            (true, Repeatable::Yes) => ExecutionStatus::Retryable,
        }
    }

    /// Whether the call may be cancelled when the caller disconnects. A call that is not repeatable continues
    /// once it was written, so that its answer can be stored.
    #[must_use]
    pub fn may_cancel(&self) -> bool {
        self.repeatable == Repeatable::Yes || !self.in_doubt()
    }

    fn written(&self) -> bool {
        matches!(self.phase, Phase::Sent | Phase::Receiving)
    }

    fn in_doubt(&self) -> bool {
        self.earlier_in_doubt || self.written()
    }
}

#[cfg(test)]
mod tests;
