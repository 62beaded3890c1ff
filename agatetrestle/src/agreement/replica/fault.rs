//! Injected faults, which show that the failure tests detect violations.

use std::time::Duration;

use crate::agreement::replica::Replica;
use crate::clock::Timestamp;

/// A bug injected into a replica.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(in crate::agreement) enum Fault {
    /// Votes and acknowledgements are sent before the write they depend on is synced.
    AcknowledgeBeforeSync,
    /// A heartbeat is answered as if all entries were stored.
    AcknowledgeUnsyncedEntries,
    /// A leader counts its own entries as replicated before they are synced.
    CountOwnUnsynced,
    /// An entry of an earlier term is committed by counting replicas.
    CommitOlderTerm,
    /// The vote is not stored.
    ForgetVote,
    /// The lease is counted from the receipt of a reply, which a pause may have delayed.
    RenewLeaseOnReceipt,
    /// A follower appends entries without checking the previous one.
    SkipLogMatching,
    /// A second membership change may start before the first is committed.
    AllowTwoChanges,
    /// Votes are granted while a leader's lease may hold.
    VoteDuringLease,
    /// A restarted replica votes at once, although a lease may still rely on it.
    VoteAfterRestart,
    /// Reads are answered without confirming leadership.
    ReadWithoutLease,
    /// Reads are answered before an entry of the leader's own term is committed.
    ReadBeforeOwnTerm,
    /// The lease stays valid after another node was asked to campaign.
    KeepLeaseAfterTransfer,
    /// An entry is committed with one acknowledgement less than a majority.
    CommitByMinority,
}

impl Replica {
    /// Injects a fault, if any; to be called right after creation.
    pub(in crate::agreement) fn with_fault(mut self, fault: Option<Fault>) -> Self {
        self.fault = fault;
        if self.has_fault(Fault::VoteAfterRestart) {
            self.leader_contact = Timestamp::default();
        }
        self
    }

    /// Takes time without ticks for time in which messages could be received.
    pub(in crate::agreement) fn without_hold_ups(self) -> Self {
        Self { max_tick_gap: Duration::MAX, ..self }
    }

    pub(super) fn has_fault(&self, fault: Fault) -> bool {
        self.fault == Some(fault)
    }
}
