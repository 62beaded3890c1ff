//! Aggregated logging of commands that a leader refused because of overload. A line for each would add to the load.

use std::cell::Cell;
use std::time::Duration;

use log::warn;

use crate::agreement::StateMachine;
use crate::clock::Timestamp;
use crate::node::group::Group;

/// Interval whose refusals are logged in one line.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// Counts refusals, starting an interval at the first one.
#[derive(Default)]
pub(super) struct Refusals {
    first_at: Cell<Option<Timestamp>>,
    count: Cell<u64>,
}

impl Refusals {
    pub(super) fn record(&self, now: Timestamp) {
        self.first_at.set(self.first_at.get().or(Some(now)));
        self.count.set(self.count.get() + 1);
    }

    /// Returns and resets the count if the interval is over.
    pub(super) fn take_due(&self, now: Timestamp) -> Option<u64> {
        self.first_at.get().filter(|first_at| now.since(*first_at) >= LOG_INTERVAL)?;
        self.first_at.set(None);
        Some(self.count.take())
    }
}

impl<M: StateMachine + 'static> Group<M> {
    /// Counts a command that was refused for load before it was proposed.
    pub fn record_refusal(&self) {
        self.refusals.record(self.clock.now());
    }

    pub(super) fn log_refusals(&self) {
        if let Some(count) = self.refusals.take_due(self.clock.now()) {
            let (group, term) = (self.id.0, self.term());
            warn!(
                "Group {group} refused {count} commands within a second in term {term}: the oldest waits too long."
            );
        }
    }
}
