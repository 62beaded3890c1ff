//! Services of a group's replica for other nodes, and the results of submitted requests.

use std::rc::Rc;
use std::sync::Arc;

use futures::future::LocalBoxFuture;
use serde::Serialize;

use crate::agreement::Rejection;
use crate::agreement::StateMachine;
use crate::codec::DecodeError;
use crate::codec::decode;
use crate::codec::encode;
use crate::control::state::ControlState;
use crate::ids::NodeId;
use crate::node::group::Group;
use crate::node::group::ProposalOutcome;
use crate::programs::command::ProgramRequest;
use crate::programs::ledger::LedgerState;

/// Result of a request submitted to a group.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Submission {
    /// The request was executed; holds the encoded reply.
    Applied(Vec<u8>),
    /// The replica does not lead, and nothing entered its log; holds the leader if known.
    NotLeader(Option<NodeId>),
    /// Nothing entered the log, for the given reason.
    Refused(Arc<str>),
    /// The replica could not be reached, so it has not received the request.
    Unreachable(Arc<str>),
    /// The command may still be applied.
    Unknown(Arc<str>),
}

/// A replica that executes encoded requests.
pub trait GroupService {
    /// Commits an encoded command or answers an encoded query.
    fn submit(&self, request: Vec<u8>) -> LocalBoxFuture<'_, Submission>;

    /// Reads raw history from an offset, for a replica that lacks it; empty if there is none.
    fn history(&self, offset: u64) -> Vec<u8>;
}

/// Handles reports of other processes about themselves.
pub trait ReportService {
    /// Answers an encoded report with an encoded update. The answer may wait for a change as long as the report allows.
    fn answer(&self, report: Vec<u8>) -> LocalBoxFuture<'_, Result<Vec<u8>, DecodeError>>;
}

pub(crate) fn to_submission(outcome: ProposalOutcome) -> Submission {
    match outcome {
        ProposalOutcome::Applied(reply) => Submission::Applied(reply),
        ProposalOutcome::Rejected(Rejection::NotLeader(leader)) => Submission::NotLeader(leader),
        ProposalOutcome::Rejected(Rejection::Busy) => {
            Submission::Refused("too many commands are under way".into())
        }
        ProposalOutcome::Rejected(Rejection::ChangePending) => {
            Submission::Refused("a change of replicas is under way".into())
        }
        ProposalOutcome::Rejected(Rejection::InvalidChange) => {
            Submission::Refused("the change makes no sense".into())
        }
        ProposalOutcome::Ready | ProposalOutcome::Changed => {
            Submission::Refused("a read was taken for a command".into())
        }
        ProposalOutcome::Unknown => Submission::Unknown("leadership was lost".into()),
    }
}

pub(crate) async fn commit<M>(group: &Group<M>, payload: impl Into<Arc<[u8]>>) -> Submission
where
    M: StateMachine + 'static,
{
    to_submission(group.submit(payload.into()).await)
}

/// Performs a linearizable read of the state machine, which only the leader can.
pub(crate) async fn read<M, T>(group: &Group<M>, f: impl FnOnce(&M) -> T) -> Submission
where
    M: StateMachine + 'static,
    T: Serialize,
{
    match group.read_barrier().await {
        ProposalOutcome::Ready => Submission::Applied(encode(&group.machine(f))),
        outcome => to_submission(outcome),
    }
}

/// Service of a state group's replica.
pub struct LedgerService(pub Rc<Group<LedgerState>>);

impl LedgerService {
    async fn serve(&self, request: Vec<u8>) -> Submission {
        match decode::<ProgramRequest>(&request) {
            Ok(ProgramRequest::Command(command)) => commit(&self.0, encode(&command)).await,
            Ok(ProgramRequest::Query(query)) => read(&self.0, |ledger| ledger.query(&query)).await,
            Err(error) => Submission::Refused(error.to_string().into()),
        }
    }
}

impl GroupService for LedgerService {
    fn submit(&self, request: Vec<u8>) -> LocalBoxFuture<'_, Submission> {
        Box::pin(self.serve(request))
    }

    fn history(&self, offset: u64) -> Vec<u8> {
        self.0.copy_history(offset)
    }
}

/// Service of a control replica.
pub struct ControlGroupService(pub Rc<Group<ControlState>>);

impl GroupService for ControlGroupService {
    fn submit(&self, request: Vec<u8>) -> LocalBoxFuture<'_, Submission> {
        Box::pin(commit(&self.0, request))
    }

    fn history(&self, offset: u64) -> Vec<u8> {
        self.0.copy_history(offset)
    }
}
