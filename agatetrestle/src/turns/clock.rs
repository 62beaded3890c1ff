//! The time that a state group counts: what its leaders measured between commands.

use std::time::Duration;

use crate::clock::Timestamp;

/// How far the present leader has told its time.
#[derive(Clone, Copy, Debug, Default)]
pub struct LeaderClock {
    term: u64,
    told: Timestamp,
}

impl LeaderClock {
    /// Whole milliseconds since the last command of this term; the rest counts with the next one. The first command
    /// of a term tells none, so that time without a leader never makes a turn old.
    pub fn advance(&mut self, term: u64, now: Timestamp) -> Duration {
        if term != self.term {
            *self = Self { term, told: now };
            return Duration::ZERO;
        }
        let millis = now.since(self.told).as_millis();
        let elapsed = Duration::from_millis(u64::try_from(millis).unwrap_or(u64::MAX));
        self.told = self.told + elapsed;
        elapsed
    }
}
