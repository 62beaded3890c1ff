//! Snapshots on their way from the state machine to bytes, beside the thread that everything else runs on.
//!
//! Coding tens of megabytes takes longer than an election lasts at the share of a core that a store has, and all
//! replicas of a group come to it at the same entry of the log. Done in one go it silenced the leader and its followers
//! at the same time; docs/incidents/005-a-group-that-tips-over.md has such a day.

use std::cell::Cell;
use std::fs::File;

use bytes::Bytes;
use log::error;
use smol::channel::Receiver;
use smol::channel::Sender;

use crate::agreement::Input;
use crate::agreement::Replicas;
use crate::agreement::Snapshot;
use crate::agreement::SnapshotEncoder;
use crate::agreement::StateMachine;
use crate::agreement::message::Position;
use crate::node::group::Group;
use crate::node::group::writes::Job;

/// What a coded state is for.
enum Purpose {
    /// The own disk, with the history files that must be synced before.
    Disk { replicas: Replicas, relies_on: Vec<File> },
    /// Peers that lag too far for the log.
    Peers,
}

/// A state that was set aside.
struct Task {
    position: Position,
    freeze: SnapshotEncoder,
    purpose: Purpose,
    life: u64,
}

/// The states that wait to be coded; at most one for each purpose.
pub(super) struct Coder {
    queue: (Sender<Task>, Receiver<Task>),
    /// Counts how often the state was replaced as a whole: what was set aside before is older than what replaced it.
    life: Cell<u64>,
    for_disk: Cell<bool>,
    for_peers: Cell<bool>,
}

impl Default for Coder {
    fn default() -> Self {
        Self {
            queue: smol::channel::unbounded(),
            life: Cell::new(0),
            for_disk: Cell::new(false),
            for_peers: Cell::new(false),
        }
    }
}

impl Coder {
    /// Notes that the state is replaced, so that nothing set aside before counts any more.
    pub(super) fn begin_life(&self) {
        self.life.set(self.life.get() + 1);
        self.for_disk.set(false);
        self.for_peers.set(false);
    }

    /// Notes that the snapshot for the own disk was saved or could not be.
    pub(super) fn saved(&self) {
        self.for_disk.set(false);
    }
}

impl<M: StateMachine + 'static> Group<M> {
    /// Sets the state aside for the own disk once the log has grown enough.
    pub(super) fn snapshot_if_due(&self) {
        let due = self.bytes_since_snapshot.get() >= self.snapshot_after;
        if !due || self.coder.for_disk.get() || self.held.borrow().is_some() {
            return;
        }
        self.bytes_since_snapshot.set(0);
        let relies_on = match self.flush_history() {
            Ok(files) => files,
            Err(failure) => {
                error!("Group {} could not write its history: {failure}.", self.id.0);
                return;
            }
        };
        self.coder.for_disk.set(true);
        let replicas = self.replicas.borrow().clone();
        self.set_aside(Purpose::Disk { replicas, relies_on });
    }

    /// Sets the state aside for a peer that lags too far. While a received snapshot is not in place there is none to
    /// send; the replica asks again.
    pub(super) fn code_snapshot(&self) {
        if self.held.borrow().is_some() || self.coder.for_peers.get() {
            return;
        }
        if let Err(failure) = self.flush_history() {
            error!("Group {} could not write its history for a peer: {failure}.", self.id.0);
            return;
        }
        self.coder.for_peers.set(true);
        self.set_aside(Purpose::Peers);
    }

    fn set_aside(&self, purpose: Purpose) {
        let freeze = self.machine.borrow().snapshot_encoder();
        let task = Task { position: self.applied.get(), freeze, purpose, life: self.coder.life.get() };
        // The receiver lasts as long as the group does.
        let _ = self.coder.queue.0.try_send(task);
    }

    pub(super) async fn code_forever(&self) {
        while let Ok(Task { position, freeze, purpose, life }) = self.coder.queue.1.recv().await {
            let data = Bytes::from(smol::unblock(freeze).await);
            if life != self.coder.life.get() {
                continue;
            }
            match purpose {
                Purpose::Disk { replicas, relies_on } => {
                    let snapshot = Snapshot { position, replicas, data };
                    self.enqueue(Job::Snapshot { snapshot, relies_on });
                }
                Purpose::Peers => {
                    self.coder.for_peers.set(false);
                    self.feed(Input::SnapshotEncoded { position, data });
                }
            }
        }
    }
}
