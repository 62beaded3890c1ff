//! Installation of a received snapshot: first its history, then the state, then the commands committed after it.

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

/// Delay between attempts to fetch history.
const HISTORY_RETRY_DELAY: Duration = Duration::from_millis(100);
/// Maximum size of one response to a replica that fetches history.
const MAX_HISTORY_CHUNK_BYTES: usize = 1 << 20;

pub(super) struct DeferredCommand {
    position: Position,
    payload: Arc<[u8]>,
    ticket: Option<Ticket>,
}

/// Committed commands that wait for the snapshot at `position` to be installed.
pub(super) struct DeferredCommands {
    position: Position,
    commands: VecDeque<DeferredCommand>,
}

impl DeferredCommands {
    pub(super) fn new(position: Position) -> Self {
        Self { position, commands: VecDeque::new() }
    }
}

impl<M: StateMachine + 'static> Group<M> {
    pub(super) fn apply_or_defer(&self, position: Position, payload: Arc<[u8]>, ticket: Option<Ticket>) {
        if let Some(deferred) = &mut *self.deferred.borrow_mut() {
            deferred.commands.push_back(DeferredCommand { position, payload, ticket });
            return;
        }
        self.apply(position, &payload, ticket);
    }

    /// Fetches the history that a received snapshot refers to, then restores the snapshot. It is not acknowledged before
    /// that, so a replica that can't fetch the history counts as down. Returns the files that must be synced before the
    /// snapshot is saved.
    pub(super) async fn install_snapshot(&self, snapshot: &Snapshot) -> Result<Vec<File>, WriteError> {
        let required_end = self.machine.borrow().history_end(&snapshot.data).context(UnusableSnafu)?;
        while let Some(offset) = self.next_missing_offset(required_end) {
            match (self.history_source)(offset).await {
                Some(bytes) if !bytes.is_empty() => self.append_history(&bytes, required_end),
                _ => {
                    warn!("Group {} could not fetch history at offset {offset}; retrying.", self.id.0);
                    Timer::after(HISTORY_RETRY_DELAY).await;
                }
            }
        }
        let files = self.flush_history().context(UnflushedSnafu)?;
        // A newer snapshot may have arrived in the meantime; its own write installs it.
        let newest =
            self.deferred.borrow().as_ref().is_some_and(|deferred| deferred.position == snapshot.position);
        if newest {
            self.restore(snapshot).context(UnusableSnafu)?;
        }
        Ok(files)
    }

    pub(super) fn flush_history(&self) -> Result<Vec<File>, HistoryError> {
        self.machine.borrow_mut().history().map_or(Ok(Vec::new()), History::flush)
    }

    fn next_missing_offset(&self, required_end: u64) -> Option<u64> {
        let mut machine = self.machine.borrow_mut();
        let end = machine.history()?.end();
        (end < required_end).then_some(end)
    }

    fn append_history(&self, bytes: &[u8], required_end: u64) {
        let mut machine = self.machine.borrow_mut();
        let Some(history) = machine.history() else {
            return;
        };
        let remaining = usize::try_from(required_end - history.end()).unwrap_or(usize::MAX);
        history.append_raw(&bytes[..bytes.len().min(remaining)]);
    }

    /// Reads raw history for another replica; empty if there is none at `offset`.
    pub fn copy_history(&self, offset: u64) -> Vec<u8> {
        let mut machine = self.machine.borrow_mut();
        let chunk = machine.history().map(|history| history.read_raw(offset, MAX_HISTORY_CHUNK_BYTES));
        match chunk {
            Some(Ok(bytes)) => bytes,
            Some(Err(error)) => {
                error!("Group {} failed to read its history: {error}.", self.id.0);
                Vec::new()
            }
            None => Vec::new(),
        }
    }

    fn restore(&self, snapshot: &Snapshot) -> Result<(), RestoreError> {
        self.machine.borrow_mut().restore(&snapshot.data)?;
        self.applied.set(snapshot.position);
        self.replicas.replace(snapshot.replicas.clone());
        let deferred = self.deferred.take().map(|deferred| deferred.commands).unwrap_or_default();
        for DeferredCommand { position, payload, ticket } in deferred {
            if position.index > snapshot.position.index {
                self.apply(position, &payload, ticket);
            }
        }
        Ok(())
    }
}
