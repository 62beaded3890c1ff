//! The time of a state group, as its leaders measure it between commands.

use std::time::Duration;

use crate::clock::Timestamp;

/// The time up to which the current leader has reported elapsed milliseconds.
#[derive(Clone, Copy, Debug, Default)]
pub struct LeaderClock {
    term: u64,
    reported: Timestamp,
}

impl LeaderClock {
    /// Whole milliseconds since the previous command of this term; the remainder carries over. The first command of a term
    /// reports none, so that time without a leader does not expire turns.
    pub fn advance(&mut self, term: u64, now: Timestamp) -> Duration {
        if term != self.term {
            *self = Self { term, reported: now };
            return Duration::ZERO;
        }
        let millis = now.since(self.reported).as_millis();
        let elapsed = Duration::from_millis(u64::try_from(millis).unwrap_or(u64::MAX));
        self.reported = self.reported + elapsed;
        elapsed
    }
}
