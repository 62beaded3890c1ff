//! Applies committed commands to the state machine in slices.
//!
//! A replica that starts applies its whole log, which can take seconds. Without yielding it would miss heartbeats for
//! longer than an election timeout and cause repeated elections; see docs/incidents/003-stores-over-their-memory.md.

use std::cell::RefCell;
use std::collections::VecDeque;
use std::rc::Rc;
use std::sync::Arc;

use smol::channel::Receiver;
use smol::channel::Sender;
use smol::future::yield_now;

use crate::agreement::Replicas;
use crate::agreement::StateMachine;
use crate::agreement::Ticket;
use crate::agreement::message::Position;
use crate::node::group::Group;
use crate::node::group::ProposalOutcome;

/// Items applied before yielding to other tasks.
const MAX_SLICE_ITEMS: usize = 64;

/// An item that must wait until all commands before it are applied.
pub(super) enum BacklogItem {
    Apply {
        position: Position,
        payload: Arc<[u8]>,
        ticket: Option<Ticket>,
    },
    /// A read, completed once the state machine is up to date.
    Read(Ticket),
    Replicas {
        ticket: Option<Ticket>,
        replicas: Replicas,
    },
}

/// Items to apply, in order, and a channel that wakes the background task when they exceed one slice.
pub(super) struct Backlog {
    queue: RefCell<VecDeque<BacklogItem>>,
    wakeup: (Sender<()>, Receiver<()>),
}

impl Default for Backlog {
    fn default() -> Self {
        Self { queue: RefCell::default(), wakeup: smol::channel::bounded(1) }
    }
}

impl Backlog {
    pub(super) fn push(&self, item: BacklogItem) {
        self.queue.borrow_mut().push_back(item);
    }

    fn pop(&self) -> Option<BacklogItem> {
        self.queue.borrow_mut().pop_front()
    }

    fn is_empty(&self) -> bool {
        self.queue.borrow().is_empty()
    }
}

impl<M: StateMachine + 'static> Group<M> {
    /// Applies one slice of the backlog and leaves the rest to the background task.
    pub(super) fn apply_slice(&self) {
        self.apply_backlog(MAX_SLICE_ITEMS);
        if !self.backlog.is_empty() {
            // A full channel means that a wakeup is pending already.
            let _ = self.backlog.wakeup.0.try_send(());
        }
    }

    /// Applies the whole backlog.
    pub(super) fn apply_all(&self) {
        self.apply_backlog(usize::MAX);
    }

    /// Drops the backlog when the replica is rebuilt, and completes its requests with [`ProposalOutcome::Unknown`].
    pub(super) fn fail_backlog(&self) {
        while let Some(item) = self.backlog.pop() {
            let ticket = match item {
                BacklogItem::Apply { ticket, .. } | BacklogItem::Replicas { ticket, .. } => ticket,
                BacklogItem::Read(ticket) => Some(ticket),
            };
            if let Some(ticket) = ticket {
                self.complete(ticket, ProposalOutcome::Unknown);
            }
        }
    }

    pub(super) async fn apply_forever(self: Rc<Self>) {
        while self.backlog.wakeup.1.recv().await.is_ok() {
            while !self.backlog.is_empty() {
                yield_now().await;
                self.apply_backlog(MAX_SLICE_ITEMS);
                self.snapshot_if_due();
            }
        }
    }

    fn apply_backlog(&self, max: usize) {
        for _ in 0..max {
            match self.backlog.pop() {
                Some(BacklogItem::Apply { position, payload, ticket }) => {
                    self.apply_or_defer(position, payload, ticket);
                }
                Some(BacklogItem::Read(ticket)) => self.complete(ticket, ProposalOutcome::Ready),
                Some(BacklogItem::Replicas { ticket, replicas }) => {
                    self.replicas.replace(replicas);
                    if let Some(ticket) = ticket {
                        self.complete(ticket, ProposalOutcome::Changed);
                    }
                }
                None => return,
            }
        }
    }

    pub(super) fn apply(&self, position: Position, payload: &Arc<[u8]>, ticket: Option<Ticket>) {
        match ticket {
            Some(ticket) => {
                let reply = self.machine.borrow_mut().apply(position, payload);
                self.complete(ticket, ProposalOutcome::Applied(reply));
            }
            None => self.machine.borrow_mut().apply_without_reply(position, payload),
        }
        self.applied.set(position);
        let bytes = self.bytes_since_snapshot.get() + payload.len() as u64;
        self.bytes_since_snapshot.set(bytes);
    }
}
