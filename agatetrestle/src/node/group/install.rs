//! Putting a received snapshot in place: its history first, then the state, then what came after it.

use std::collections::VecDeque;
use std::fs::File;
use std::sync::Arc;
use std::time::Duration;

use log::error;
use log::warn;
use smol::Timer;
use snafu::ResultExt;

use crate::agreement::RestoreError;
use crate::agreement::Snapshot;
use crate::agreement::StateMachine;
use crate::agreement::Ticket;
use crate::agreement::message::Position;
use crate::history::History;
use crate::history::HistoryError;
use crate::node::group::Group;
use crate::node::group::writes::UnflushedSnafu;
use crate::node::group::writes::UnusableSnafu;
use crate::node::group::writes::WriteError;

/// Pause before history is asked for again.
const FETCH_PAUSE: Duration = Duration::from_millis(100);
/// Most history bytes in one answer to another replica.
const HISTORY_PIECE: usize = 1 << 20;

/// A committed command that waits until a received snapshot is in place.
pub(super) struct Held {
    position: Position,
    payload: Arc<[u8]>,
    ticket: Option<Ticket>,
}

/// Commands that wait for a received snapshot, and where that one ends.
pub(super) struct HeldBack {
    position: Position,
    commands: VecDeque<Held>,
}

impl HeldBack {
    /// Nothing held yet for a snapshot that ends here.
    pub(super) fn new(position: Position) -> Self {
        Self { position, commands: VecDeque::new() }
    }
}

impl<M: StateMachine + 'static> Group<M> {
    pub(super) fn apply_or_hold(&self, position: Position, payload: Arc<[u8]>, ticket: Option<Ticket>) {
        if let Some(held) = &mut *self.held.borrow_mut() {
            held.commands.push_back(Held { position, payload, ticket });
            return;
        }
        self.apply(position, &payload, ticket);
    }

    /// Fetches the history that a received snapshot relies on, then restores it. Nothing about the snapshot
    /// is acknowledged before that, so a replica that can't fetch counts as down. Returns the files that must be
    /// synced before the snapshot is saved.
    pub(super) async fn put_in_place(&self, snapshot: &Snapshot) -> Result<Vec<File>, WriteError> {
        let wanted = self.machine.borrow().history_end(&snapshot.data).context(UnusableSnafu)?;
        while let Some(offset) = self.history_gap(wanted) {
            match (self.history_source)(offset).await {
                Some(bytes) if !bytes.is_empty() => self.extend_history(&bytes, wanted),
                _ => {
                    warn!("Group {} waits for history from byte {offset} on.", self.id.0);
                    Timer::after(FETCH_PAUSE).await;
                }
            }
        }
        let files = self.flush_history().context(UnflushedSnafu)?;
        // A newer snapshot may have come meanwhile; its own write puts it in place.
        let newest = self.held.borrow().as_ref().is_some_and(|held| held.position == snapshot.position);
        if newest {
            self.restore(snapshot).context(UnusableSnafu)?;
        }
        Ok(files)
    }

    pub(super) fn flush_history(&self) -> Result<Vec<File>, HistoryError> {
        self.machine.borrow_mut().history().map_or(Ok(Vec::new()), History::flush)
    }

    fn history_gap(&self, wanted: u64) -> Option<u64> {
        let mut machine = self.machine.borrow_mut();
        let end = machine.history()?.end();
        (end < wanted).then_some(end)
    }

    fn extend_history(&self, bytes: &[u8], wanted: u64) {
        let mut machine = self.machine.borrow_mut();
        let Some(history) = machine.history() else {
            return;
        };
        let lacking = usize::try_from(wanted - history.end()).unwrap_or(usize::MAX);
        history.append_raw(&bytes[..bytes.len().min(lacking)]);
    }

    /// Raw history for another replica.
    pub fn copy_history(&self, offset: u64) -> Vec<u8> {
        let mut machine = self.machine.borrow_mut();
        let copied = machine.history().map(|history| history.read_raw(offset, HISTORY_PIECE));
        match copied {
            Some(Ok(bytes)) => bytes,
            Some(Err(failure)) => {
                error!("Group {} can't read its history: {failure}.", self.id.0);
                Vec::new()
            }
            None => Vec::new(),
        }
    }

    fn restore(&self, snapshot: &Snapshot) -> Result<(), RestoreError> {
        self.machine.borrow_mut().restore(&snapshot.data)?;
        self.applied.set(snapshot.position);
        self.replicas.replace(snapshot.replicas.clone());
        let held = self.held.take().map(|held| held.commands).unwrap_or_default();
        for Held { position, payload, ticket } in held {
            if position.index > snapshot.position.index {
                self.apply(position, &payload, ticket);
            }
        }
        Ok(())
    }
}
