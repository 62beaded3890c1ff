//! Time as the pure state machines see it: a number that their driver passes in.

use std::ops::Add;
use std::time::Duration;
use std::time::Instant;

/// Microseconds since an origin that the driver chose; it never runs backwards within a process.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Timestamp(pub u64);

impl Timestamp {
    /// Time since `earlier`, or zero if that lies ahead.
    #[must_use]
    pub fn since(self, earlier: Self) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }
}

impl Add<Duration> for Timestamp {
    type Output = Self;

    fn add(self, span: Duration) -> Self {
        Self(self.0.saturating_add(micros(span)))
    }
}

/// A span in whole microseconds, at most what fits.
#[must_use]
pub fn micros(span: Duration) -> u64 {
    u64::try_from(span.as_micros()).unwrap_or(u64::MAX)
}

/// The process's monotonic clock.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    origin: Instant,
}

impl Clock {
    /// A clock that starts now.
    #[must_use]
    pub fn start() -> Self {
        Self { origin: Instant::now() }
    }

    /// Time since the start.
    #[must_use]
    pub fn now(&self) -> Timestamp {
        Timestamp(micros(self.origin.elapsed()))
    }
}
