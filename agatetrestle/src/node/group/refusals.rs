//! Commands that a leader refused for want of room, told together: under overload a line for each would cost what the refusal
//! spared.

use std::cell::Cell;
use std::time::Duration;

use log::warn;

use crate::agreement::StateMachine;
use crate::clock::Timestamp;
use crate::node::group::Group;

/// Span whose refusals are told in one line.
const SPAN: Duration = Duration::from_secs(1);

/// The refusals of a span, from the first one on.
#[derive(Default)]
pub(super) struct Refusals {
    since: Cell<Option<Timestamp>>,
    count: Cell<u64>,
}

impl Refusals {
    pub(super) fn note(&self, now: Timestamp) {
        self.since.set(self.since.get().or(Some(now)));
        self.count.set(self.count.get() + 1);
    }

    /// How many were refused, once their span is over.
    pub(super) fn take_due(&self, now: Timestamp) -> Option<u64> {
        self.since.get().filter(|since| now.since(*since) >= SPAN)?;
        self.since.set(None);
        Some(self.count.take())
    }
}

impl<M: StateMachine + 'static> Group<M> {
    pub(super) fn tell_refusals(&self) {
        if let Some(count) = self.refusals.take_due(self.clock.now()) {
            let (group, term) = (self.id.0, self.term());
            warn!(
                "Group {group} refused {count} commands within a second in term {term}: the oldest waits too long."
            );
        }
    }
}
