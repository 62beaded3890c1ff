//! Encodes snapshots of the state machine on a blocking thread.
//!
//! Encoding a large state can take longer than an election timeout, and all replicas of a group start it at the same log
//! entry. On the main thread it would block the leader and its followers at the same time; see
//! docs/incidents/005-a-group-that-tips-over.md.

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
use crate::node::group::writes::StorageJob;

/// Destination of an encoded snapshot.
enum Purpose {
    /// This replica's disk. `history_files` must be synced before the snapshot is saved.
    Disk { replicas: Replicas, history_files: Vec<File> },
    /// Peers that lag behind the start of the log.
    Peers,
}

struct EncodeTask {
    position: Position,
    encoder: SnapshotEncoder,
    purpose: Purpose,
    generation: u64,
}

/// Multiple of `snapshot_after` that the log may reach while peers receive a snapshot.
const MAX_LOG_GROWTH: u64 = 2;

/// Queue of snapshots to encode. Only one is encoded or held in memory at a time, since each may take as much memory as the
/// state.
pub(super) struct EncodeQueue {
    queue: (Sender<EncodeTask>, Receiver<EncodeTask>),
    /// Incremented when the whole state is replaced, so that snapshots queued before are discarded.
    generation: Cell<u64>,
    /// Set until the snapshot for the disk is saved.
    disk_pending: Cell<bool>,
    peers_pending: Cell<bool>,
    /// Whether peers wait for the snapshot that is encoded for the disk.
    peers_waiting: Cell<bool>,
}

impl Default for EncodeQueue {
    fn default() -> Self {
        Self {
            queue: smol::channel::unbounded(),
            generation: Cell::new(0),
            disk_pending: Cell::new(false),
            peers_pending: Cell::new(false),
            peers_waiting: Cell::new(false),
        }
    }
}

impl EncodeQueue {
    /// Invalidates all queued snapshots because the whole state is replaced.
    pub(super) fn reset(&self) {
        self.generation.set(self.generation.get() + 1);
        self.disk_pending.set(false);
        self.peers_pending.set(false);
        self.peers_waiting.set(false);
    }

    /// Allows the next snapshot, after the one for the disk was saved or failed. Peers that still wait request it again.
    pub(super) fn clear_disk_pending(&self) {
        self.disk_pending.set(false);
        self.peers_waiting.set(false);
    }

    fn is_busy(&self) -> bool {
        self.disk_pending.get() || self.peers_pending.get()
    }
}

impl<M: StateMachine + 'static> Group<M> {
    /// Queues a snapshot for the disk once the log has grown by `snapshot_after` bytes.
    pub(super) fn snapshot_if_due(&self) {
        let due = self.bytes_since_snapshot.get() >= self.snapshot_after;
        if !due || self.encode_queue.is_busy() || self.deferred.borrow().is_some() || self.awaits_peers() {
            return;
        }
        self.replica.borrow_mut().drop_outgoing_snapshot();
        self.bytes_since_snapshot.set(0);
        let history_files = match self.flush_history() {
            Ok(files) => files,
            Err(error) => {
                error!("Group {} failed to flush its history: {error}.", self.id.0);
                return;
            }
        };
        self.encode_queue.disk_pending.set(true);
        let replicas = self.replicas.borrow().clone();
        self.queue_snapshot(Purpose::Disk { replicas, history_files });
    }

    /// Whether a snapshot for the disk waits until peers have received theirs.
    fn awaits_peers(&self) -> bool {
        let limit = self.snapshot_after.saturating_mul(MAX_LOG_GROWTH);
        self.replica.borrow().holds_snapshot() && self.bytes_since_snapshot.get() < limit
    }

    /// Queues a snapshot for lagging peers, or shares the one that is being encoded for the disk. Does nothing while a received
    /// snapshot is not installed yet; the replica requests it again.
    pub(super) fn encode_peer_snapshot(&self) {
        if self.deferred.borrow().is_some() {
            return;
        }
        if self.encode_queue.is_busy() {
            self.encode_queue.peers_waiting.set(self.encode_queue.disk_pending.get());
            return;
        }
        if let Err(error) = self.flush_history() {
            error!("Group {} failed to flush its history for a peer snapshot: {error}.", self.id.0);
            return;
        }
        self.encode_queue.peers_pending.set(true);
        self.queue_snapshot(Purpose::Peers);
    }

    fn queue_snapshot(&self, purpose: Purpose) {
        let encoder = self.machine.borrow().snapshot_encoder();
        let task = EncodeTask {
            position: self.applied.get(),
            encoder,
            purpose,
            generation: self.encode_queue.generation.get(),
        };
        // The receiver lives as long as the group.
        let _ = self.encode_queue.queue.0.try_send(task);
    }

    pub(super) async fn encode_forever(&self) {
        while let Ok(EncodeTask { position, encoder, purpose, generation }) =
            self.encode_queue.queue.1.recv().await
        {
            let data = Bytes::from(smol::unblock(encoder).await);
            if generation != self.encode_queue.generation.get() {
                continue;
            }
            match purpose {
                Purpose::Disk { replicas, history_files } => {
                    if self.encode_queue.peers_waiting.take() {
                        self.process(Input::SnapshotEncoded { position, data: data.clone() });
                    }
                    let snapshot = Snapshot { position, replicas, data };
                    self.enqueue(StorageJob::Snapshot { snapshot, history_files });
                }
                Purpose::Peers => {
                    self.encode_queue.peers_pending.set(false);
                    self.process(Input::SnapshotEncoded { position, data });
                }
            }
        }
    }
}
