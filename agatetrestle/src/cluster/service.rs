//! Services that the replicas of a deployment's groups offer to other nodes.

use std::cell::Cell;
use std::cell::RefCell;
use std::rc::Rc;
use std::sync::Arc;

use futures::future::LocalBoxFuture;
use smol::future::yield_now;

use crate::agreement::message::Position;
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
use crate::turns::command::BeginQuery;
use crate::turns::command::Take;
use crate::turns::command::TimedCommand;
use crate::turns::command::TurnCommand;
use crate::turns::command::TurnReply;
use crate::turns::state::LogProgress;
use crate::turns::state::PendingCommands;
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

/// How often a query for an early answer lets other tasks run until its begin is proposed.
const MAX_QUERY_YIELDS: u32 = 3;

/// The service of a state group's replica. As the leader it adds the elapsed time to commands and admits new turns.
pub struct TurnService {
    group: Rc<Group<TurnState>>,
    clock: Clock,
    leader_clock: Cell<LeaderClock>,
    admission: Rc<RefCell<TurnAdmission>>,
    /// Proposals of this leader that are not applied yet.
    pending: RefCell<PendingCommands>,
}

impl TurnService {
    /// Creates the service of a replica.
    #[must_use]
    pub fn new(group: Rc<Group<TurnState>>, clock: Clock, admission: Rc<RefCell<TurnAdmission>>) -> Self {
        Self { group, clock, leader_clock: Cell::default(), admission, pending: RefCell::default() }
    }

    async fn serve(&self, mut request: Vec<u8>) -> Submission {
        // A leader without a lease may have been replaced, and admits nothing before a quorum has confirmed it.
        if !self.group.leads() {
            match self.group.read_barrier().await {
                ProposalOutcome::Ready => {}
                outcome => return to_submission(outcome),
            }
        }
        let mut leader_clock = self.leader_clock.get();
        let elapsed = leader_clock.advance(self.group.term(), self.clock.now());
        TimedCommand::set_elapsed(&mut request, elapsed);
        let payload: Arc<[u8]> = request.into();
        let Some(TimedCommand { elapsed, command }) = TimedCommand::decode(&payload) else {
            return commit(&self.group, payload).await;
        };
        let now = self.clock.now();
        if let TurnCommand::Take(take) = command {
            return self.take(&take).await;
        }
        let admitted = self
            .group
            .machine(|state| self.admission.borrow_mut().check(now, self.group.term(), &command, state));
        if let Err(reply) = admitted {
            return Submission::Applied(reply.encode());
        }
        let placed = self.admission.borrow_mut().place(now, &command);
        let shortened = command.without_candidates();
        let payload = shortened.as_ref().map_or(payload, |logged| logged.encode(elapsed).into());
        let command = Rc::new(command);
        let (index, outcome) = self.group.propose(payload);
        if let Some(index) = index {
            // Time reported with a command that is not appended would be lost.
            self.leader_clock.set(leader_clock);
            self.pending.borrow_mut().push(self.progress(), elapsed, command.clone());
            let logged = shortened.unwrap_or_else(|| TurnCommand::clone(&command));
            let position = Position { term: self.group.term(), index };
            let timed = TimedCommand { elapsed, command: logged };
            self.group.machine(|state| state.expect_proposal(position, timed));
        }
        let submission = to_submission(outcome.await);
        if matches!(submission, Submission::Applied(_)) {
            let now = self.clock.now();
            self.group.machine(|state| self.admission.borrow_mut().record_applied(now, &command, state));
        } else {
            self.admission.borrow_mut().abandon(&command);
        }
        with_server(submission, placed)
    }

    fn progress(&self) -> LogProgress {
        LogProgress {
            term: self.group.term(),
            last: self.group.last_index(),
            applied: self.group.applied_index(),
        }
    }

    /// Answers an encoded [`BeginQuery`]: the reply that the begin will get when it commits if that is certain now, else a
    /// refusal, after which the entry waits for the commit.
    pub async fn answer_early(&self, query: &[u8]) -> Submission {
        let query = match decode::<BeginQuery>(query) {
            Ok(query) => query,
            Err(error) => return Submission::Refused(error.to_string().into()),
        };
        // The begin arrives first, but the RPC library may run its handler after that of the query.
        for _ in 0..MAX_QUERY_YIELDS {
            if self.pending.borrow().contains(&query) {
                break;
            }
            yield_now().await;
        }
        if !self.group.confirms_leadership() {
            return Submission::NotLeader(None);
        }
        let progress = self.progress();
        let mut pending = self.pending.borrow_mut();
        match self.group.machine(|state| pending.granted_chain(progress, state, &query)) {
            Some(chain) => {
                let server = self.admission.borrow().placed(&query.turn);
                Submission::Applied(TurnReply::Begun { chain, server }.encode())
            }
            None => Submission::Refused("the outcome is not certain before the commit".into()),
        }
    }

    /// Takes a request from a team's account, which requires a valid lease, or that a quorum confirms the leader after the
    /// request arrived. The account is no part of the state machine, so a read of that is not waited for.
    async fn take(&self, take: &Take) -> Submission {
        if !self.group.confirms_leadership() {
            match self.group.read_barrier().await {
                ProposalOutcome::Ready => {}
                outcome => return to_submission(outcome),
            }
        }
        let (now, term) = (self.clock.now(), self.group.term());
        Submission::Applied(self.admission.borrow_mut().take(now, term, take).encode())
    }
}

/// Adds the leader's choice of a server to the reply of the state machine, which is the same on every replica.
pub(crate) fn with_server(mut submission: Submission, placed: Option<u32>) -> Submission {
    if let (Submission::Applied(reply), Some(server)) = (&mut submission, placed) {
        TurnReply::add_server(reply, server);
    }
    submission
}

impl GroupService for TurnService {
    fn submit(&self, request: Vec<u8>) -> LocalBoxFuture<'_, Submission> {
        Box::pin(self.serve(request))
    }

    fn history(&self, offset: u64) -> Vec<u8> {
        self.group.copy_history(offset)
    }
}
