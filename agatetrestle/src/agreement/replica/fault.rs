//! Deliberate faults, by which the failure tests prove that they can fail.

use crate::agreement::replica::Replica;
use crate::clock::Timestamp;

/// One way in which a replica of the tests is wrong.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(in crate::agreement) enum Fault {
    /// Votes and acknowledgements are sent before the write that they depend on is synced.
    AcknowledgeBeforeSync,
    /// A leader counts its own entries before they are synced.
    CountOwnUnsynced,
    /// An entry of an older term is committed by counting replicas.
    CommitOlderTerm,
    /// The vote is not made durable.
    ForgetVote,
    /// The lease is counted from the receipt of an answer, which a pause may have delayed.
    RenewLeaseOnReceipt,
    /// A follower takes entries whatever comes before them.
    SkipLogMatching,
    /// A second change of replicas may begin before the first is committed.
    AllowTwoChanges,
    /// Votes are given while a live leader's lease may hold.
    VoteDuringLease,
    /// A restarted replica votes at once, whatever it promised before.
    VoteAfterRestart,
    /// Reads are answered without proof of leadership.
    ReadWithoutLease,
    /// Reads are answered before an entry of the leader's own term is committed.
    ReadBeforeOwnTerm,
    /// The lease goes on after another node was asked to take over.
    KeepLeaseAfterTransfer,
    /// One acknowledgement less than a majority commits.
    CommitByMinority,
}

impl Replica {
    /// The replica with a fault, if any; called right after a start.
    pub(in crate::agreement) fn with_fault(mut self, fault: Option<Fault>) -> Self {
        self.fault = fault;
        if self.has(Fault::VoteAfterRestart) {
            self.heard = Timestamp::default();
        }
        self
    }

    pub(super) fn has(&self, fault: Fault) -> bool {
        self.fault == Some(fault)
    }
}
