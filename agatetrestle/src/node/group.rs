//! The driver of one replica: passes inputs to the I/O-free replica of [`crate::agreement`] and executes its outputs.
//! Writes run on a blocking thread, batched so that many share one sync.

mod apply;
mod encoding;
mod install;
mod reading;
mod refusals;
mod writes;

pub use self::writes::StorageJobs;

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use futures::FutureExt;
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
use crate::ids::NodeId;
use crate::node::group::apply::Backlog;
use crate::node::group::apply::BacklogItem;
use crate::node::group::encoding::EncodeQueue;
use crate::node::group::install::DeferredCommands;
use crate::node::group::refusals::Refusals;
use crate::node::group::writes::BatchResult;
use crate::node::group::writes::StorageJob;
use crate::node::group::writes::WriteError;
use crate::node::group::writes::execute_batch;

/// Delay before the storage is reopened after a failed write.
const REOPEN_DELAY: Duration = Duration::from_millis(500);

/// Maximum payload of a reply that is returned with the answer to a message. A larger one would delay the answers behind it on the
/// sender's connection, which then appears dead.
const MAX_REPLY_BYTES: usize = 16 << 10;

/// Whether a message is returned with the answer to one that `sender` delivered.
pub(crate) fn is_immediate_reply(message: &Message, sender: NodeId) -> bool {
    message.to == sender && message.payload_bytes() <= MAX_REPLY_BYTES
}

/// Outcome of a proposal or read.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ProposalOutcome {
    /// The command was applied; holds the encoded reply.
    Applied(Vec<u8>),
    /// The state machine may be read.
    Ready,
    /// The change of replicas is committed.
    Changed,
    /// The request did not enter the log.
    Rejected(Rejection),
    /// The command may still be applied.
    Unknown,
}

/// Fetches history from another replica, starting at an offset; `None` if no replica has it.
pub type HistorySource = Rc<dyn Fn(u64) -> LocalBoxFuture<'static, Option<Vec<u8>>>>;

/// Reopens the storage after a failed write.
pub type Reopen = Rc<dyn Fn() -> LocalBoxFuture<'static, Result<(Storage, PersistentState), StorageError>>>;

/// Creates a replica from its persistent state.
pub type MakeReplica = Rc<dyn Fn(PersistentState, Timestamp) -> Replica>;

/// Sends a message to another node; messages may be lost.
pub type Outbox = Rc<dyn Fn(Message)>;

/// A replica of a group with its state machine, storage queue and pending proposals.
pub struct Group<M: StateMachine> {
    id: GroupId,
    clock: Clock,
    replica: RefCell<Replica>,
    machine: RefCell<M>,
    waiters: RefCell<HashMap<Ticket, oneshot::Sender<ProposalOutcome>>>,
    next_ticket: Cell<u64>,
    jobs: Sender<StorageJob>,
    outbox: Outbox,
    /// The committed replica set, for snapshots. [`Replica`] also acts on a set that is not committed yet.
    replicas: RefCell<Replicas>,
    applied: Cell<Position>,
    /// Committed items that are not applied yet.
    backlog: Backlog,
    bytes_since_snapshot: Cell<u64>,
    snapshot_after: u64,
    encode_queue: EncodeQueue,
    history_source: HistorySource,
    reopen: Reopen,
    make_replica: MakeReplica,
    initial_state: Vec<u8>,
    /// Commands committed after a received snapshot that is not installed yet.
    deferred: RefCell<Option<DeferredCommands>>,
    refusals: Refusals,
}

/// Arguments of [`Group::new`].
pub struct GroupParts<M: StateMachine> {
    /// ID of the group.
    pub id: GroupId,
    /// The process's clock.
    pub clock: Clock,
    /// The replica as restored from storage.
    pub replica: Replica,
    /// The state machine as restored from the snapshot.
    pub machine: M,
    /// Sends the replica's messages.
    pub outbox: Outbox,
    /// The committed replica set as of the restored snapshot.
    pub replicas: Replicas,
    /// The last entry that the restored snapshot covers.
    pub applied: Position,
    /// Bytes of applied commands after which a snapshot is taken.
    pub snapshot_after: u64,
    /// Fetches the history that a received snapshot refers to.
    pub history_source: HistorySource,
    /// Reopens the storage after a failed write.
    pub reopen: Reopen,
    /// Recreates the replica from the reopened storage.
    pub make_replica: MakeReplica,
    /// The encoded state machine before its first command, for storage without a snapshot.
    pub initial_state: Vec<u8>,
}

impl<M: StateMachine + 'static> Group<M> {
    /// Creates a group and its storage queue, to be driven by [`Group::run`].
    #[must_use]
    pub fn new(parts: GroupParts<M>) -> (Rc<Self>, StorageJobs) {
        let (jobs, inbox) = smol::channel::unbounded();
        let group = Rc::new(Self {
            id: parts.id,
            clock: parts.clock,
            replica: RefCell::new(parts.replica),
            machine: RefCell::new(parts.machine),
            waiters: RefCell::default(),
            next_ticket: Cell::new(1),
            jobs,
            outbox: parts.outbox,
            replicas: RefCell::new(parts.replicas),
            applied: Cell::new(parts.applied),
            backlog: Backlog::default(),
            bytes_since_snapshot: Cell::new(0),
            snapshot_after: parts.snapshot_after,
            encode_queue: EncodeQueue::default(),
            history_source: parts.history_source,
            reopen: parts.reopen,
            make_replica: parts.make_replica,
            initial_state: parts.initial_state,
            deferred: RefCell::new(None),
            refusals: Refusals::default(),
        });
        (group, StorageJobs(inbox))
    }

    /// Runs the timers, storage writes, application of commands and snapshot encoding until the task is dropped.
    pub async fn run(self: Rc<Self>, storage: Storage, jobs: StorageJobs, tick: Duration) {
        let ticking = self.clone().tick_forever(tick);
        let writing = self.clone().write_forever(storage, jobs);
        let applying = self.clone().apply_forever();
        let encoding = self.encode_forever();
        futures::future::join4(ticking, writing, applying, encoding).await;
    }

    async fn tick_forever(self: Rc<Self>, tick: Duration) {
        loop {
            Timer::after(tick).await;
            self.process(Input::Tick);
            self.log_refusals();
        }
    }

    async fn write_forever(self: Rc<Self>, mut storage: Storage, jobs: StorageJobs) {
        while let Ok(first) = jobs.0.recv().await {
            let mut batch = vec![first];
            while let Ok(job) = jobs.0.try_recv() {
                batch.push(job);
            }
            storage = match self.write(storage, batch).await {
                Ok(storage) => storage,
                Err(error) => {
                    error!("Group {} failed to write its log: {error}.", self.id.0);
                    self.process(Input::WriteFailed);
                    self.recover(&jobs).await
                }
            };
        }
    }

    /// Executes a batch. On failure the storage is closed, because its contents are then uncertain.
    async fn write(&self, mut storage: Storage, batch: Vec<StorageJob>) -> Result<Storage, WriteError> {
        let mut history_files = Vec::new();
        for job in &batch {
            if let StorageJob::Write(Write { snapshot: Some(snapshot), .. }) = job {
                history_files.extend(self.install_snapshot(snapshot).await?);
            }
        }
        let (storage, result) = smol::unblock(move || {
            let result = execute_batch(&mut storage, &history_files, batch);
            (storage, result)
        })
        .await;
        self.handle_batch_result(result?);
        Ok(storage)
    }

    /// Reopens the storage until that succeeds, such as when a full disk has space again, and rebuilds the replica from
    /// it.
    async fn recover(&self, jobs: &StorageJobs) -> Storage {
        loop {
            Timer::after(REOPEN_DELAY).await;
            match (self.reopen)().await {
                Ok((storage, restored)) => match self.rebuild(restored, jobs) {
                    Ok(()) => return storage,
                    Err(error) => error!("Group {} failed to rebuild from storage: {error}.", self.id.0),
                },
                Err(error) => warn!("Group {} failed to reopen its log: {error}.", self.id.0),
            }
        }
    }

    fn rebuild(&self, restored: PersistentState, jobs: &StorageJobs) -> Result<(), RestoreError> {
        // Queued writes of the failed replica must not reach the log of the new one.
        while jobs.0.try_recv().is_ok() {}
        self.fail_backlog();
        let snapshot = restored.snapshot.as_ref();
        let data = snapshot.map_or(&self.initial_state[..], |snapshot| &snapshot.data);
        self.machine.borrow_mut().restore(data)?;
        self.applied.set(snapshot.map_or(Position::default(), |snapshot| snapshot.position));
        self.replicas.replace(snapshot.map_or_else(Replicas::default, |snapshot| snapshot.replicas.clone()));
        self.deferred.take();
        self.bytes_since_snapshot.set(0);
        self.encode_queue.reset();
        let replica = (self.make_replica)(restored, self.clock.now());
        self.replica.replace(replica);
        info!("Group {} was rebuilt from storage.", self.id.0);
        Ok(())
    }

    fn handle_batch_result(&self, result: BatchResult) {
        if let Some(sequence) = result.written {
            self.process(Input::Written(sequence));
        }
        if let Some(error) = result.snapshot_failure {
            // The log is complete without the snapshot, so the replica continues.
            error!("Group {} failed to save a snapshot: {error}.", self.id.0);
            self.encode_queue.clear_disk_pending();
        }
        if let Some(snapshot) = result.snapshot {
            self.encode_queue.clear_disk_pending();
            self.process(Input::SnapshotTaken { position: snapshot.position });
        }
    }

    /// Passes a message from another node to the replica and returns its immediate replies to that node. Replies that
    /// wait for a write or are large are sent like any other message.
    pub fn receive(&self, message: Message) -> Vec<Message> {
        let from = message.from;
        let mut replies = Vec::new();
        for output in self.step(Input::Receive(message)) {
            match output {
                Output::Send(reply) if is_immediate_reply(&reply, from) => replies.push(reply),
                output => self.handle_output(output),
            }
        }
        self.apply_slice();
        self.snapshot_if_due();
        replies
    }

    /// Commits a command and returns its encoded reply.
    pub async fn submit(&self, payload: Arc<[u8]>) -> ProposalOutcome {
        self.request(|ticket| Input::Propose { ticket, payload }).await
    }

    /// Proposes a command at once. Returns the index that it was appended at, unless it was rejected, and its outcome.
    pub fn propose(
        &self,
        payload: Arc<[u8]>,
    ) -> (Option<u64>, impl Future<Output = ProposalOutcome> + use<M>) {
        let before = self.last_index();
        let ticket = self.new_ticket();
        let outcome = self.start_request(ticket, Input::Propose { ticket, payload });
        let after = self.last_index();
        ((after == before + 1).then_some(after), outcome)
    }

    /// Waits until a read of the state machine is linearizable, which only the leader's can be.
    pub async fn read_barrier(&self) -> ProposalOutcome {
        self.request(Input::Read).await
    }

    /// Changes the replica set.
    pub async fn change_replicas(&self, change: ReplicaChange) -> ProposalOutcome {
        self.request(|ticket| Input::ChangeReplicas { ticket, change }).await
    }

    /// Starts to transfer leadership to another replica, before a planned stop.
    pub fn transfer_leadership(&self) {
        self.process(Input::TransferLeadership);
    }

    async fn request(&self, input: impl FnOnce(Ticket) -> Input) -> ProposalOutcome {
        let ticket = self.new_ticket();
        self.start_request(ticket, input(ticket)).await
    }

    fn new_ticket(&self) -> Ticket {
        let ticket = Ticket(self.next_ticket.get());
        self.next_ticket.set(ticket.0 + 1);
        ticket
    }

    /// Passes a request to the replica at once and returns its outcome.
    fn start_request(&self, ticket: Ticket, input: Input) -> impl Future<Output = ProposalOutcome> + use<M> {
        let (tx, rx) = oneshot::channel();
        self.waiters.borrow_mut().insert(ticket, tx);
        self.process(input);
        rx.map(|outcome| outcome.unwrap_or(ProposalOutcome::Unknown))
    }

    fn step(&self, input: Input) -> Vec<Output> {
        let now: Timestamp = self.clock.now();
        self.replica.borrow_mut().step(now, input)
    }

    fn process(&self, input: Input) {
        for output in self.step(input) {
            self.handle_output(output);
        }
        self.apply_slice();
        self.snapshot_if_due();
    }

    fn handle_output(&self, output: Output) {
        match output {
            Output::Write(write) => self.enqueue(StorageJob::Write(write)),
            Output::Send(message) => (self.outbox)(message),
            Output::Apply { position, payload, ticket } => {
                self.backlog.push(BacklogItem::Apply { position, payload, ticket });
            }
            Output::ReadReady(ticket) => self.backlog.push(BacklogItem::Read(ticket)),
            Output::Replicas { ticket, replicas } => {
                self.backlog.push(BacklogItem::Replicas { ticket, replicas });
            }
            Output::EncodeSnapshot => self.encode_peer_snapshot(),
            // The write of this snapshot installs it once its history is fetched. The snapshot covers commands that were
            // deferred for an earlier one.
            Output::Restore(snapshot) => {
                self.apply_all();
                self.encode_queue.reset();
                self.deferred.replace(Some(DeferredCommands::new(snapshot.position)));
            }
            Output::Reject { ticket, reason } => {
                if reason == Rejection::Busy {
                    self.refusals.record(self.clock.now());
                }
                self.complete(ticket, ProposalOutcome::Rejected(reason));
            }
            Output::OutcomeUnknown(ticket) => self.complete(ticket, ProposalOutcome::Unknown),
            Output::Role { term, leader } => {
                let leader = leader.map_or(0, |node| node.0);
                info!("Group {} is in term {term} with leader {leader}.", self.id.0);
            }
        }
    }

    fn enqueue(&self, job: StorageJob) {
        if self.jobs.try_send(job).is_err() {
            warn!("Group {} is stopping; dropped a write.", self.id.0);
        }
    }

    fn complete(&self, ticket: Ticket, outcome: ProposalOutcome) {
        if let Some(tx) = self.waiters.borrow_mut().remove(&ticket) {
            // A caller that gave up has dropped the receiver, which is not an error.
            let _ = tx.send(outcome);
        }
    }
}

#[cfg(test)]
mod tests;
