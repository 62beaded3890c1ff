//! Proposals of a leader whose outcome is not recorded yet.
//!
//! An entry that gets no answer sends its command again. A copy of a command that is in flight waits for the same outcome
//! instead of being appended, and an outcome is recorded even if all callers have left.

use std::collections::HashMap;
use std::collections::VecDeque;
use std::rc::Rc;
use std::sync::Arc;

use futures::FutureExt;
use futures::future::LocalBoxFuture;
use futures::future::Shared;
use xxhash_rust::xxh3::xxh3_64;

use crate::clock::Timestamp;
use crate::node::group::ProposalOutcome;
use crate::turns::admission::Admitted;
use crate::turns::command::TimedCommand;
use crate::turns::command::TurnCommand;

/// The outcome of a proposal, for all that wait for it.
type SharedOutcome = Shared<LocalBoxFuture<'static, Rc<ProposalOutcome>>>;

/// A command that was appended to the log.
pub(super) struct Proposal {
    pub(super) proposed_at: Timestamp,
    request: Arc<[u8]>,
    pub(super) command: Rc<TurnCommand>,
    /// What admission counted for it in its term.
    pub(super) admitted: (u64, Admitted),
    /// Index of the server that the leader chose.
    pub(super) placed: Option<u32>,
    pub(super) outcome: SharedOutcome,
}

impl Proposal {
    pub(super) fn new(
        proposed_at: Timestamp,
        request: Arc<[u8]>,
        command: Rc<TurnCommand>,
        admitted: (u64, Admitted),
        placed: Option<u32>,
        outcome: impl Future<Output = ProposalOutcome> + 'static,
    ) -> Rc<Self> {
        let outcome = outcome.map(Rc::new).boxed_local().shared();
        Rc::new(Self { proposed_at, request, command, admitted, placed, outcome })
    }

    /// Whether a repeated request may share the outcome. A read must reflect what was acknowledged before it arrived.
    fn is_idempotent(&self) -> bool {
        matches!(&*self.command, TurnCommand::Begin(_) | TurnCommand::Finish(_))
    }
}

/// Proposals in log order.
#[derive(Default)]
pub(super) struct InFlight {
    proposals: VecDeque<Rc<Proposal>>,
    /// By the hash of the encoded command; one of several with the same hash.
    by_hash: HashMap<u64, Rc<Proposal>>,
}

impl InFlight {
    pub(super) fn push(&mut self, proposal: Rc<Proposal>) {
        if proposal.is_idempotent() {
            self.by_hash.insert(hash(&proposal.request), proposal.clone());
        }
        self.proposals.push_back(proposal);
    }

    /// The proposal of the same encoded command.
    pub(super) fn find(&self, request: &[u8]) -> Option<Rc<Proposal>> {
        let proposal = self.by_hash.get(&hash(request))?;
        let same = TimedCommand::without_elapsed(&proposal.request) == TimedCommand::without_elapsed(request);
        same.then(|| proposal.clone())
    }

    /// Removes the oldest proposal if its outcome is known.
    pub(super) fn pop_complete(&mut self) -> Option<(Rc<Proposal>, Rc<ProposalOutcome>)> {
        let outcome = self.proposals.front()?.outcome.clone().now_or_never()?;
        let proposal = self.proposals.pop_front()?;
        let key = hash(&proposal.request);
        if self.by_hash.get(&key).is_some_and(|known| Rc::ptr_eq(known, &proposal)) {
            self.by_hash.remove(&key);
        }
        Some((proposal, outcome))
    }
}

fn hash(request: &[u8]) -> u64 {
    xxh3_64(TimedCommand::without_elapsed(request))
}
