//! Services that the replicas of a deployment's groups offer to other nodes.

use std::cell::Cell;
use std::cell::RefCell;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use futures::future::LocalBoxFuture;

use crate::clock::Clock;
use crate::cluster::message::ControlRequest;
use crate::cluster::registry::ClusterRegistry;
use crate::codec::DecodeError;
use crate::codec::decode;
use crate::codec::encode;
use crate::control::command::ControlCommand;
use crate::control::state::ControlState;
use crate::node::group::Group;
use crate::node::group::ProposalOutcome;
use crate::node::service::GroupService;
use crate::node::service::ReportService;
use crate::node::service::Submission;
use crate::node::service::commit;
use crate::node::service::read;
use crate::node::service::to_submission;
use crate::turns::admission::TurnAdmission;
use crate::turns::clock::LeaderClock;
use crate::turns::command::Take;
use crate::turns::command::TimedCommand;
use crate::turns::command::TurnCommand;
use crate::turns::command::TurnReply;
use crate::turns::state::TurnState;

/// The service of a control replica.
pub struct ControlService {
    /// Replica of the control group.
    pub group: Rc<Group<ControlState>>,
    /// Registry of the live members.
    pub registry: Rc<ClusterRegistry>,
    /// Voters that each state group must keep when a store is drained.
    pub min_voters: usize,
}

impl ControlService {
    async fn serve(&self, request: Vec<u8>) -> Submission {
        match decode::<ControlRequest>(&request) {
            Ok(ControlRequest::Command(command)) => self.commit(command).await,
            Ok(ControlRequest::Routes) => read(&self.group, |state| state.routes().cloned()).await,
            Ok(ControlRequest::Emptying(vm)) => {
                read(&self.group, |_| self.registry.drain_status(&vm, self.min_voters)).await
            }
            Ok(ControlRequest::Overview) => {
                read(&self.group, |_| self.registry.overview(self.min_voters)).await
            }
            Err(error) => Submission::Refused(error.to_string().into()),
        }
    }

    async fn commit(&self, command: ControlCommand) -> Submission {
        let submission = commit(&self.group, encode(&command)).await;
        // Pending reports may be answered with the committed change.
        self.registry.wake();
        submission
    }
}

impl GroupService for ControlService {
    fn submit(&self, request: Vec<u8>) -> LocalBoxFuture<'_, Submission> {
        Box::pin(self.serve(request))
    }

    fn history(&self, offset: u64) -> Vec<u8> {
        self.group.copy_history(offset)
    }
}

impl ReportService for ClusterRegistry {
    fn answer(&self, report: Vec<u8>) -> LocalBoxFuture<'_, Result<Vec<u8>, DecodeError>> {
        Box::pin(async move { Ok(encode(&self.report(decode(&report)?).await)) })
    }
}

/// The service of a state group's replica. As the leader it adds the elapsed time to commands and admits new turns.
pub struct TurnService {
    group: Rc<Group<TurnState>>,
    clock: Clock,
    leader_clock: Cell<LeaderClock>,
    admission: Rc<RefCell<TurnAdmission>>,
}

impl TurnService {
    /// Creates the service of a replica.
    #[must_use]
    pub fn new(group: Rc<Group<TurnState>>, clock: Clock, admission: Rc<RefCell<TurnAdmission>>) -> Self {
        Self { group, clock, leader_clock: Cell::default(), admission }
    }

    fn elapsed(&self) -> Duration {
        let mut clock = self.leader_clock.get();
        let elapsed = clock.advance(self.group.term(), self.clock.now());
        self.leader_clock.set(clock);
        elapsed
    }

    async fn serve(&self, mut request: Vec<u8>) -> Submission {
        if !self.group.leads() {
            return commit(&self.group, request).await;
        }
        let elapsed = self.elapsed();
        TimedCommand::set_elapsed(&mut request, elapsed);
        let payload: Arc<[u8]> = request.into();
        let Some(TimedCommand { command, .. }) = TimedCommand::decode(&payload) else {
            return commit(&self.group, payload).await;
        };
        let now = self.clock.now();
        if let TurnCommand::Take(take) = command {
            return self.take(&take).await;
        }
        let admitted = self
            .group
            .machine(|state| self.admission.borrow_mut().check(now, self.group.term(), &command, state));
        match admitted {
            Ok(()) => {
                let placed = self.admission.borrow_mut().place(now, &command);
                let shortened = command.without_candidates().map(|logged| logged.encode(elapsed).into());
                let submission = commit(&self.group, shortened.unwrap_or(payload)).await;
                if matches!(submission, Submission::Applied(_)) {
                    let now = self.clock.now();
                    self.group
                        .machine(|state| self.admission.borrow_mut().record_applied(now, &command, state));
                } else {
                    self.admission.borrow_mut().abandon(&command);
                }
                with_server(submission, placed)
            }
            Err(reply) => Submission::Applied(encode(&reply)),
        }
    }

    /// Takes a request from a team's account, which requires that a quorum confirms the leader after the request arrived.
    async fn take(&self, take: &Take) -> Submission {
        match self.group.read_barrier().await {
            ProposalOutcome::Ready => {
                let (now, term) = (self.clock.now(), self.group.term());
                Submission::Applied(encode(&self.admission.borrow_mut().take(now, term, take)))
            }
            outcome => to_submission(outcome),
        }
    }
}

/// Adds the leader's choice of a server to the reply of the state machine, which is the same on every replica.
fn with_server(submission: Submission, placed: Option<u32>) -> Submission {
    let (Submission::Applied(reply), Some(_)) = (&submission, placed) else {
        return submission;
    };
    match decode::<TurnReply>(reply) {
        Ok(TurnReply::Begun { chain, .. }) => {
            Submission::Applied(encode(&TurnReply::Begun { chain, server: placed }))
        }
        Ok(_) | Err(_) => submission,
    }
}

impl GroupService for TurnService {
    fn submit(&self, request: Vec<u8>) -> LocalBoxFuture<'_, Submission> {
        Box::pin(self.serve(request))
    }

    fn history(&self, offset: u64) -> Vec<u8> {
        self.group.copy_history(offset)
    }
}
