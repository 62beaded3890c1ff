//! Services that the replicas of a deployment's groups offer to other nodes.

use std::cell::Cell;
use std::cell::RefCell;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use futures::future::LocalBoxFuture;
use log::info;
use smol::Timer;
use smol::future::yield_now;

use crate::agreement::Rejection;
use crate::agreement::message::Position;
use crate::clock::Clock;
use crate::clock::Timestamp;
use crate::cluster::in_flight::InFlight;
use crate::cluster::in_flight::Proposal;
use crate::cluster::leader_load::LeaderLoad;
use crate::cluster::leader_load::RequestEnd;
use crate::cluster::message::ControlRequest;
use crate::cluster::registry::ClusterRegistry;
use crate::cluster::suspect_watch::SuspectQuery;
use crate::cluster::suspect_watch::SuspectWatch;
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
use crate::suspects::record::SuspectCommand;
use crate::suspects::record::SuspectDecision;
use crate::turns::admission::TurnAdmission;
use crate::turns::clock::LeaderClock;
use crate::turns::command::BeginQuery;
use crate::turns::command::Take;
use crate::turns::command::TimedCommand;
use crate::turns::command::TurnCommand;
use crate::turns::command::TurnReply;
use crate::turns::shedding::EARLY_ANSWER_TOLERANCE;
use crate::turns::shedding::tolerance;
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
            Ok(ControlRequest::Addresses) => Submission::Applied(encode(&self.registry.control_addresses())),
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
/// Retry delay for another attempt at a request while a new leader does not know which entries run.
const GATHERING_RETRY_MS: u64 = 500;
/// How often the delay of the event loop is measured.
const LOOP_DELAY_INTERVAL: Duration = Duration::from_millis(50);

/// The service of a state group's replica. As the leader it adds the elapsed time to commands and admits new turns.
pub struct TurnService {
    group: Rc<Group<TurnState>>,
    clock: Clock,
    leader_clock: Cell<LeaderClock>,
    admission: Rc<RefCell<TurnAdmission>>,
    /// Proposals of this leader that are not applied yet.
    pending: RefCell<PendingCommands>,
    /// Proposals of this leader whose outcome is not recorded yet.
    in_flight: RefCell<InFlight>,
    load: RefCell<LeaderLoad>,
    suspect_watch: SuspectWatch,
}

impl TurnService {
    /// Creates the service of a replica.
    #[must_use]
    pub fn new(group: Rc<Group<TurnState>>, clock: Clock, admission: Rc<RefCell<TurnAdmission>>) -> Self {
        Self {
            group,
            clock,
            leader_clock: Cell::default(),
            admission,
            pending: RefCell::default(),
            in_flight: RefCell::default(),
            load: RefCell::new(LeaderLoad::new(clock.now())),
            suspect_watch: SuspectWatch::default(),
        }
    }

    /// Logs the load and tells of suspects while this replica leads, until the task is dropped.
    pub async fn log_load_forever(self: Rc<Self>) {
        loop {
            let due = self.clock.now() + LOOP_DELAY_INTERVAL;
            Timer::after(LOOP_DELAY_INTERVAL).await;
            self.announce();
            let now = self.clock.now();
            let mut load = self.load.borrow_mut();
            load.record_loop_delay(now.since(due));
            if let Some(report) = load.take_report(now) {
                let (open, programs) = self.admission.borrow().counts();
                let usage = self.group.machine(TurnState::usage);
                info!(
                    "leader_load {report} open_turns={open} programs={programs} unapplied={} turns={} bytes={}",
                    self.group.last_index() - self.group.applied_index(),
                    usage.turns,
                    usage.bytes
                );
            }
        }
    }

    async fn serve(&self, mut request: Vec<u8>) -> Submission {
        // A leader without a lease may have been replaced, and admits nothing before a quorum has confirmed it.
        if !self.group.leads() {
            match self.group.read_barrier().await {
                ProposalOutcome::Ready => {}
                outcome => return to_submission(outcome),
            }
        }
        self.record_outcomes();
        let repeated = self.in_flight.borrow().find(&request);
        if let Some(proposal) = repeated {
            self.load.borrow_mut().record_repeat();
            return self.reply(proposal).await;
        }
        let mut leader_clock = self.leader_clock.get();
        let elapsed = leader_clock.advance(self.group.term(), self.clock.now());
        TimedCommand::set_elapsed(&mut request, elapsed);
        let payload: Arc<[u8]> = request.into();
        let Some(TimedCommand { elapsed, command }) = TimedCommand::decode(&payload) else {
            return commit(&self.group, payload).await;
        };
        let command = match command {
            TurnCommand::Take(take) => return self.take(take).await,
            TurnCommand::ReadStream(read) => {
                return self.read(|state| TurnReply::Stream(state.stream_origin(&read))).await;
            }
            TurnCommand::ReadEvents(read) => {
                return self.read(|state| TurnReply::Received(state.received_events(&read))).await;
            }
            command => command,
        };
        if let TurnCommand::Suspect(SuspectCommand::Admit(admit)) = &command
            && self.group.confirms_leadership()
            && self.group.machine(|state| !state.suspects().contains(admit.fingerprint))
            && self.group.last_index() == self.group.applied_index()
        {
            return Submission::Applied(TurnReply::Suspect(SuspectDecision::Innocent).encode());
        }
        if let Err(reason) = self.check_load(&command) {
            self.load.borrow_mut().record(&command, RequestEnd::Busy, Duration::ZERO);
            return to_submission(ProposalOutcome::Rejected(reason));
        }
        let (now, term) = (self.clock.now(), self.group.term());
        if let Some(reply) = self.check_interrupted(now, &command) {
            return Submission::Applied(reply.encode());
        }
        let admitted =
            self.group.machine(|state| self.admission.borrow_mut().check(now, term, &command, state));
        let admitted = match admitted {
            Ok(admitted) => (term, admitted),
            Err(reply) => {
                self.load.borrow_mut().record(&command, RequestEnd::Denied, Duration::ZERO);
                return Submission::Applied(reply.encode());
            }
        };
        let placed = self.admission.borrow_mut().place(now, &command);
        let shortened = command.without_candidates();
        let logged_payload =
            shortened.as_ref().map_or_else(|| payload.clone(), |logged| logged.encode(elapsed).into());
        let command = Rc::new(command);
        let (index, outcome) = self.group.propose(logged_payload);
        let proposal = Proposal::new(now, payload, command.clone(), admitted, placed, outcome);
        if let Some(index) = index {
            // Time reported with a command that is not appended would be lost.
            self.leader_clock.set(leader_clock);
            self.pending.borrow_mut().push(self.progress(), elapsed, command.clone());
            let logged = shortened.unwrap_or_else(|| TurnCommand::clone(&command));
            let position = Position { term: self.group.term(), index };
            let timed = TimedCommand { elapsed, command: logged };
            self.group.machine(|state| state.expect_proposal(position, timed));
            self.in_flight.borrow_mut().push(proposal.clone());
            return self.reply(proposal).await;
        }
        let outcome = proposal.outcome.clone().await;
        self.record(&proposal, &outcome);
        to_submission(Rc::unwrap_or_clone(outcome))
    }

    /// Wakes the questions of entries about suspects if there are new ones, and returns the version of the record.
    fn announce(&self) -> u64 {
        let version = self.group.machine(|state| state.suspects().version());
        let term = self.group.confirms_leadership().then(|| self.group.term());
        self.suspect_watch.announce(self.clock.now(), term, version);
        version
    }

    /// Answers an encoded [`SuspectQuery`]. A watch is answered after [`crate::cluster::suspect_watch::MAX_WATCH`] with what is
    /// known if nothing is new.
    pub async fn query_suspects(&self, query: &[u8]) -> Submission {
        let query = match decode::<SuspectQuery>(query) {
            Ok(query) => query,
            Err(error) => return Submission::Refused(error.to_string().into()),
        };
        if !self.group.confirms_leadership() {
            return Submission::NotLeader(None);
        }
        let version = self.announce();
        let request = match query {
            SuspectQuery::Watch(request) => request,
            SuspectQuery::Announce => {
                self.suspect_watch.acknowledged(self.clock.now(), version).await;
                return Submission::Applied(Vec::new());
            }
        };
        let state_now = self.group.machine(TurnState::now);
        self.suspect_watch.wait(self.clock.now(), request, version, state_now).await;
        if !self.group.confirms_leadership() {
            return Submission::NotLeader(None);
        }
        let digest =
            self.group.machine(|state| state.suspects().since(state.now(), request.version.unwrap_or(0)));
        Submission::Applied(encode(&digest))
    }

    /// The reply to a begin whose request has open attempts of entries that have ended, unless their losses are reported.
    fn check_interrupted(&self, now: Timestamp, command: &TurnCommand) -> Option<TurnReply> {
        let TurnCommand::Begin(begin) = command else {
            return None;
        };
        if begin.opening.as_ref()?.origin.as_ref()?.reported {
            return None;
        }
        let is_gathering = self.suspect_watch.is_gathering(now);
        let is_gone = |entry, ran_at| is_gathering || self.suspect_watch.is_gone(now, entry, ran_at);
        let interrupted = self.group.machine(|state| state.interrupted(begin, is_gone));
        match (interrupted.is_empty(), is_gathering) {
            (true, _) => None,
            // Their entries may run.
            (false, true) => Some(TurnReply::Crowded(GATHERING_RETRY_MS)),
            (false, false) => Some(TurnReply::Interrupted(interrupted)),
        }
    }

    /// Checks whether the log takes a command now. A refusal must cost less than what it avoids, so this comes before admission,
    /// placement and encoding.
    fn check_load(&self, command: &TurnCommand) -> Result<(), Rejection> {
        let tolerance = self.group.machine(|state| tolerance(command, state));
        self.group.check_accepts_proposals(tolerance).inspect_err(|reason| {
            if *reason == Rejection::Busy {
                self.group.record_refusal();
            }
        })
    }

    /// Waits for the outcome of a proposal in flight.
    async fn reply(&self, proposal: Rc<Proposal>) -> Submission {
        let outcome = proposal.outcome.clone().await;
        self.record_outcomes();
        if let TurnCommand::Suspect(SuspectCommand::Lose(_)) = &*proposal.command {
            self.announce();
        }
        let placed = proposal.placed;
        drop(proposal);
        with_server(to_submission(Rc::unwrap_or_clone(outcome)), placed)
    }

    /// Records all outcomes that are known. Proposals complete in log order.
    fn record_outcomes(&self) {
        loop {
            let complete = self.in_flight.borrow_mut().pop_complete();
            let Some((proposal, outcome)) = complete else {
                return;
            };
            self.record(&proposal, &outcome);
        }
    }

    fn record(&self, proposal: &Proposal, outcome: &ProposalOutcome) {
        let Proposal { proposed_at, command, admitted: (term, admitted), .. } = proposal;
        let took = self.clock.now().since(*proposed_at);
        self.load.borrow_mut().record(command, request_end(outcome), took);
        let mut admission = self.admission.borrow_mut();
        match outcome {
            ProposalOutcome::Applied(_) => {
                let now = self.clock.now();
                self.group.machine(|state| admission.record_applied(now, command, state));
            }
            ProposalOutcome::Rejected(_) => admission.withdraw(*term, command, *admitted),
            // The next term's admission reads from the log whether the program began.
            _ => admission.abandon(command),
        }
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
        if let Err(reason) = self.group.check_accepts_proposals(EARLY_ANSWER_TOLERANCE) {
            return to_submission(ProposalOutcome::Rejected(reason));
        }
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
        let chain = self.group.machine(|state| pending.granted_chain(progress, state, &query));
        self.load.borrow_mut().record_query(chain.is_some());
        match chain {
            Some(chain) => {
                let server = self.admission.borrow().placed(&query.turn);
                Submission::Applied(TurnReply::Begun { chain, server }.encode())
            }
            None => Submission::Refused("the outcome is not certain before the commit".into()),
        }
    }

    /// Reads where a stream began, once a quorum confirms this leader. Nothing is written, so a busy disk does not delay it.
    async fn read(&self, read: impl FnOnce(&TurnState) -> TurnReply) -> Submission {
        match self.group.read_barrier().await {
            ProposalOutcome::Ready => Submission::Applied(self.group.machine(|state| read(state)).encode()),
            outcome => to_submission(outcome),
        }
    }

    /// Takes a request from a team's account, which requires a valid lease, or that a quorum confirms the leader after the
    /// request arrived. The account is no part of the state machine, so a read of that is not waited for.
    async fn take(&self, take: Take) -> Submission {
        if !self.group.confirms_leadership() {
            match self.group.read_barrier().await {
                ProposalOutcome::Ready => {}
                outcome => return to_submission(outcome),
            }
        }
        let (now, term) = (self.clock.now(), self.group.term());
        let reply = self.admission.borrow_mut().take(now, term, &take);
        let end = if reply == TurnReply::Taken { RequestEnd::Done } else { RequestEnd::Denied };
        self.load.borrow_mut().record(&TurnCommand::Take(take), end, Duration::ZERO);
        Submission::Applied(reply.encode())
    }
}

fn request_end(outcome: &ProposalOutcome) -> RequestEnd {
    match outcome {
        ProposalOutcome::Rejected(Rejection::Busy) => RequestEnd::Busy,
        ProposalOutcome::Rejected(_) | ProposalOutcome::Unknown => RequestEnd::Lost,
        ProposalOutcome::Applied(_) | ProposalOutcome::Ready | ProposalOutcome::Changed => RequestEnd::Done,
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
