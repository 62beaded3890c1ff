//! Committed commands on their way to the state machine, in slices.
//!
//! After a start a replica applies its whole log, which takes seconds on a small share of a core. Done in one go that
//! would silence it for longer than an election lasts, and the group would elect one leader after the other;
//! docs/incidents/003-stores-over-their-memory.md has such a day.

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

/// Commands applied before others get the processor: a millisecond or two of work, far below any interval of the
/// group.
const SLICE: usize = 64;

/// Something that must wait until all commands before it are applied.
pub(super) enum Due {
    /// A committed command.
    Apply { position: Position, payload: Arc<[u8]>, ticket: Option<Ticket> },
    /// A read.
    Read(Ticket),
    /// A committed set of replicas.
    Replicas { ticket: Option<Ticket>, replicas: Replicas },
}

/// What is due, in order, and a bell for when it did not fit into one slice.
pub(super) struct Backlog {
    queue: RefCell<VecDeque<Due>>,
    bell: (Sender<()>, Receiver<()>),
}

impl Default for Backlog {
    fn default() -> Self {
        Self { queue: RefCell::default(), bell: smol::channel::bounded(1) }
    }
}

impl Backlog {
    pub(super) fn push(&self, due: Due) {
        self.queue.borrow_mut().push_back(due);
    }

    fn pop(&self) -> Option<Due> {
        self.queue.borrow_mut().pop_front()
    }

    fn is_empty(&self) -> bool {
        self.queue.borrow().is_empty()
    }
}

impl<M: StateMachine + 'static> Group<M> {
    /// Applies what is due, a slice of it now and the rest in turn with other work.
    pub(super) fn apply_slice(&self) {
        self.apply_due(SLICE);
        if !self.backlog.is_empty() {
            // A full channel means that the bell has rung already.
            let _ = self.backlog.bell.0.try_send(());
        }
    }

    /// Applies everything that is due.
    pub(super) fn apply_all(&self) {
        self.apply_due(usize::MAX);
    }

    /// Forgets what is due, for a replica that begins anew from its files. Who waits for it is told that the outcome
    /// is not known.
    pub(super) fn drop_due(&self) {
        while let Some(due) = self.backlog.pop() {
            let ticket = match due {
                Due::Apply { ticket, .. } | Due::Replicas { ticket, .. } => ticket,
                Due::Read(ticket) => Some(ticket),
            };
            if let Some(ticket) = ticket {
                self.answer(ticket, ProposalOutcome::Unknown);
            }
        }
    }

    pub(super) async fn apply_forever(self: Rc<Self>) {
        while self.backlog.bell.1.recv().await.is_ok() {
            while !self.backlog.is_empty() {
                yield_now().await;
                self.apply_due(SLICE);
                self.snapshot_if_due();
            }
        }
    }

    fn apply_due(&self, most: usize) {
        for _ in 0..most {
            match self.backlog.pop() {
                Some(Due::Apply { position, payload, ticket }) => {
                    self.apply_or_hold(position, payload, ticket);
                }
                Some(Due::Read(ticket)) => self.answer(ticket, ProposalOutcome::Ready),
                Some(Due::Replicas { ticket, replicas }) => {
                    self.replicas.replace(replicas);
                    if let Some(ticket) = ticket {
                        self.answer(ticket, ProposalOutcome::Changed);
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
                self.answer(ticket, ProposalOutcome::Applied(reply));
            }
            None => self.machine.borrow_mut().apply_without_reply(position, payload),
        }
        self.applied.set(position);
        let grown = self.bytes_since_snapshot.get() + payload.len() as u64;
        self.bytes_since_snapshot.set(grown);
    }
}
