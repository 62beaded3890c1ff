//! The driver of one replica: it feeds the pure state machine of [`crate::agreement`] and carries
//! out what it asks for. Writes go to a blocking thread, many to one sync.

mod apply;
mod encoding;
mod install;
mod reading;
mod refusals;
mod writes;

pub use self::writes::Jobs;

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use futures::channel::oneshot;
use futures::future::LocalBoxFuture;
use log::error;
use log::info;
use log::warn;
use smol::Timer;
use smol::channel::Sender;

use crate::agreement::Input;
use crate::agreement::Output;
use crate::agreement::Rejection;
use crate::agreement::ReplicaChange;
use crate::agreement::Replicas;
use crate::agreement::RestoreError;
use crate::agreement::StateMachine;
use crate::agreement::Ticket;
use crate::agreement::Write;
use crate::agreement::message::Message;
use crate::agreement::message::Position;
use crate::agreement::replica::PersistentState;
use crate::agreement::replica::Replica;
use crate::agreement::storage::Storage;
use crate::agreement::storage::error::StorageError;
use crate::clock::Clock;
use crate::clock::Timestamp;
use crate::ids::GroupId;
use crate::node::group::apply::Backlog;
use crate::node::group::apply::Due;
use crate::node::group::encoding::Coder;
use crate::node::group::install::HeldBack;
use crate::node::group::refusals::Refusals;
use crate::node::group::writes::Done;
use crate::node::group::writes::Job;
use crate::node::group::writes::WriteError;
use crate::node::group::writes::carry_out;

/// Pause before the storage is opened again after a write failed.
const REOPEN_PAUSE: Duration = Duration::from_millis(500);

/// What became of a proposal or read.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ProposalOutcome {
    /// The command was applied; this is the coded reply.
    Applied(Vec<u8>),
    /// The state machine may be read now.
    Ready,
    /// The change of replicas is committed.
    Changed,
    /// It did not enter the log.
    Rejected(Rejection),
    /// It may yet be applied.
    Unknown,
}

/// Fetches history from another replica, from an offset on; none where no replica has it.
pub type HistorySource = Rc<dyn Fn(u64) -> LocalBoxFuture<'static, Option<Vec<u8>>>>;

/// Opens the storage again after a write failed.
pub type Reopen = Rc<dyn Fn() -> LocalBoxFuture<'static, Result<(Storage, PersistentState), StorageError>>>;

/// Makes a replica from what its storage holds.
pub type MakeReplica = Rc<dyn Fn(PersistentState, Timestamp) -> Replica>;

/// Sends a message to another node; losing it is harmless.
pub type Outbox = Rc<dyn Fn(Message)>;

/// One replica with its state machine, storage and waiting proposals.
pub struct Group<M: StateMachine> {
    id: GroupId,
    clock: Clock,
    replica: RefCell<Replica>,
    machine: RefCell<M>,
    waiting: RefCell<HashMap<Ticket, oneshot::Sender<ProposalOutcome>>>,
    next_ticket: Cell<u64>,
    jobs: Sender<Job>,
    outbox: Outbox,
    /// The committed set, for snapshots; the replica itself already acts on one that is not committed.
    replicas: RefCell<Replicas>,
    applied: Cell<Position>,
    /// Committed commands that are not applied yet.
    backlog: Backlog,
    bytes_since_snapshot: Cell<u64>,
    snapshot_after: u64,
    coder: Coder,
    history_source: HistorySource,
    reopen: Reopen,
    make_replica: MakeReplica,
    blank: Vec<u8>,
    /// Commands that came after a received snapshot that is not in place yet.
    held: RefCell<Option<HeldBack>>,
    refusals: Refusals,
}

/// What a group is made of.
pub struct GroupParts<M: StateMachine> {
    /// The group.
    pub id: GroupId,
    /// The process's clock.
    pub clock: Clock,
    /// The replica as restored from storage.
    pub replica: Replica,
    /// The state machine as restored from the snapshot.
    pub machine: M,
    /// Where messages go.
    pub outbox: Outbox,
    /// The committed set as of the restored snapshot.
    pub replicas: Replicas,
    /// The last entry that the restored snapshot covers.
    pub applied: Position,
    /// A snapshot is taken after this many bytes of commands.
    pub snapshot_after: u64,
    /// Where history comes from that a received snapshot relies on.
    pub history_source: HistorySource,
    /// Opens the storage again after a write failed.
    pub reopen: Reopen,
    /// Makes the replica then.
    pub make_replica: MakeReplica,
    /// The coded state machine before its first command, for a storage without a snapshot.
    pub blank: Vec<u8>,
}

impl<M: StateMachine + 'static> Group<M> {
    /// Puts a group together; [`Group::run`] then drives it.
    #[must_use]
    pub fn new(parts: GroupParts<M>) -> (Rc<Self>, Jobs) {
        let (jobs, inbox) = smol::channel::unbounded();
        let group = Rc::new(Self {
            id: parts.id,
            clock: parts.clock,
            replica: RefCell::new(parts.replica),
            machine: RefCell::new(parts.machine),
            waiting: RefCell::default(),
            next_ticket: Cell::new(1),
            jobs,
            outbox: parts.outbox,
            replicas: RefCell::new(parts.replicas),
            applied: Cell::new(parts.applied),
            backlog: Backlog::default(),
            bytes_since_snapshot: Cell::new(0),
            snapshot_after: parts.snapshot_after,
            coder: Coder::default(),
            history_source: parts.history_source,
            reopen: parts.reopen,
            make_replica: parts.make_replica,
            blank: parts.blank,
            held: RefCell::new(None),
            refusals: Refusals::default(),
        });
        (group, Jobs(inbox))
    }

    /// Drives the replica's clock and storage until the task is dropped.
    pub async fn run(self: Rc<Self>, storage: Storage, jobs: Jobs, tick: Duration) {
        let ticking = self.clone().tick_forever(tick);
        let writing = self.clone().write_forever(storage, jobs);
        let applying = self.clone().apply_forever();
        let coding = self.code_forever();
        futures::future::join4(ticking, writing, applying, coding).await;
    }

    async fn tick_forever(self: Rc<Self>, tick: Duration) {
        loop {
            Timer::after(tick).await;
            self.feed(Input::Tick);
            self.tell_refusals();
        }
    }

    async fn write_forever(self: Rc<Self>, mut storage: Storage, jobs: Jobs) {
        while let Ok(first) = jobs.0.recv().await {
            let mut batch = vec![first];
            while let Ok(job) = jobs.0.try_recv() {
                batch.push(job);
            }
            storage = match self.write(storage, batch).await {
                Ok(storage) => storage,
                Err(failure) => {
                    error!("Group {} could not write its log: {failure}.", self.id.0);
                    self.feed(Input::WriteFailed);
                    self.recover(&jobs).await
                }
            };
        }
    }

    /// Carries out a batch. On failure the storage is closed, because what it holds is then in doubt.
    async fn write(&self, mut storage: Storage, batch: Vec<Job>) -> Result<Storage, WriteError> {
        let mut relies_on = Vec::new();
        for job in &batch {
            if let Job::Write(Write { snapshot: Some(snapshot), .. }) = job {
                relies_on.extend(self.put_in_place(snapshot).await?);
            }
        }
        let (storage, done) = smol::unblock(move || {
            let done = carry_out(&mut storage, &relies_on, batch);
            (storage, done)
        })
        .await;
        self.report(done?);
        Ok(storage)
    }

    /// Opens the storage again until that succeeds, such as once a full disk has space, and goes on from
    /// what it holds.
    async fn recover(&self, jobs: &Jobs) -> Storage {
        loop {
            Timer::after(REOPEN_PAUSE).await;
            match (self.reopen)().await {
                Ok((storage, restored)) => match self.rebuild(restored, jobs) {
                    Ok(()) => return storage,
                    Err(failure) => error!("Group {} can't go on from its files: {failure}.", self.id.0),
                },
                Err(failure) => warn!("Group {} can't open its log: {failure}.", self.id.0),
            }
        }
    }

    fn rebuild(&self, restored: PersistentState, jobs: &Jobs) -> Result<(), RestoreError> {
        // What the failed replica still wanted written must not reach the log of the new one.
        while jobs.0.try_recv().is_ok() {}
        self.drop_due();
        let snapshot = restored.snapshot.as_ref();
        let data = snapshot.map_or(&self.blank[..], |snapshot| &snapshot.data);
        self.machine.borrow_mut().restore(data)?;
        self.applied.set(snapshot.map_or(Position::default(), |snapshot| snapshot.position));
        self.replicas.replace(snapshot.map_or_else(Replicas::default, |snapshot| snapshot.replicas.clone()));
        self.held.take();
        self.bytes_since_snapshot.set(0);
        self.coder.begin_life();
        let replica = (self.make_replica)(restored, self.clock.now());
        self.replica.replace(replica);
        info!("Group {} goes on from its files.", self.id.0);
        Ok(())
    }

    fn report(&self, done: Done) {
        if let Some(sequence) = done.written {
            self.feed(Input::Written(sequence));
        }
        if let Some(failure) = done.snapshot_failure {
            // The log is whole without the snapshot, so the replica goes on.
            error!("Group {} could not save a snapshot: {failure}.", self.id.0);
            self.coder.saved();
        }
        if let Some(snapshot) = done.snapshot {
            self.coder.saved();
            self.feed(Input::SnapshotTaken { position: snapshot.position });
        }
    }

    /// Hands a message from another node to the replica, and returns what it answers to that node at once.
    /// Answers that wait for a write go out later like any other message.
    pub fn receive(&self, message: Message) -> Vec<Message> {
        let from = message.from;
        let mut replies = Vec::new();
        for output in self.step(Input::Receive(message)) {
            match output {
                Output::Send(reply) if reply.to == from => replies.push(reply),
                output => self.carry_out(output),
            }
        }
        self.apply_slice();
        self.snapshot_if_due();
        replies
    }

    /// Commits a command and returns its coded reply.
    pub async fn submit(&self, payload: Arc<[u8]>) -> ProposalOutcome {
        self.ask(|ticket| Input::Propose { ticket, payload }).await
    }

    /// Waits until the state machine may be read as of now; only the leader's may.
    pub async fn read_barrier(&self) -> ProposalOutcome {
        self.ask(Input::Read).await
    }

    /// Changes who takes part.
    pub async fn change_replicas(&self, change: ReplicaChange) -> ProposalOutcome {
        self.ask(|ticket| Input::ChangeReplicas { ticket, change }).await
    }

    /// Hands leadership to another replica before a planned stop.
    pub fn transfer_leadership(&self) {
        self.feed(Input::TransferLeadership);
    }

    async fn ask(&self, input: impl FnOnce(Ticket) -> Input) -> ProposalOutcome {
        let ticket = Ticket(self.next_ticket.get());
        self.next_ticket.set(ticket.0 + 1);
        let (tx, rx) = oneshot::channel();
        self.waiting.borrow_mut().insert(ticket, tx);
        self.feed(input(ticket));
        rx.await.unwrap_or(ProposalOutcome::Unknown)
    }

    fn step(&self, input: Input) -> Vec<Output> {
        let now: Timestamp = self.clock.now();
        self.replica.borrow_mut().step(now, input)
    }

    fn feed(&self, input: Input) {
        for output in self.step(input) {
            self.carry_out(output);
        }
        self.apply_slice();
        self.snapshot_if_due();
    }

    fn carry_out(&self, output: Output) {
        match output {
            Output::Write(write) => self.enqueue(Job::Write(write)),
            Output::Send(message) => (self.outbox)(message),
            Output::Apply { position, payload, ticket } => {
                self.backlog.push(Due::Apply { position, payload, ticket });
            }
            Output::ReadReady(ticket) => self.backlog.push(Due::Read(ticket)),
            Output::Replicas { ticket, replicas } => {
                self.backlog.push(Due::Replicas { ticket, replicas });
            }
            Output::EncodeSnapshot => self.code_snapshot(),
            // The write of the same snapshot puts it in place once its history is here. Commands held for an
            // earlier one are covered by this one.
            Output::Restore(snapshot) => {
                self.apply_all();
                self.coder.begin_life();
                self.held.replace(Some(HeldBack::new(snapshot.position)));
            }
            Output::Reject { ticket, reason } => {
                if reason == Rejection::Busy {
                    self.refusals.note(self.clock.now());
                }
                self.answer(ticket, ProposalOutcome::Rejected(reason));
            }
            Output::OutcomeUnknown(ticket) => self.answer(ticket, ProposalOutcome::Unknown),
            Output::Role { term, leader } => {
                let leader = leader.map_or(0, |node| node.0);
                info!("Group {} is in term {term} with leader {leader}.", self.id.0);
            }
        }
    }

    fn enqueue(&self, job: Job) {
        if self.jobs.try_send(job).is_err() {
            warn!("Group {} is stopping and takes no more writes.", self.id.0);
        }
    }

    fn answer(&self, ticket: Ticket, verdict: ProposalOutcome) {
        if let Some(tx) = self.waiting.borrow_mut().remove(&ticket) {
            // A caller that gave up has dropped its end, which is no failure.
            let _ = tx.send(verdict);
        }
    }
}

#[cfg(test)]
mod tests;
