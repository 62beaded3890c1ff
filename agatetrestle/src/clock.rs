//! Timestamps that drivers pass to the pure state machines, and the clock that they read.

use std::ops::Add;
use std::time::Duration;
use std::time::Instant;

use futures::FutureExt;
use futures::future::LocalBoxFuture;
use smol::Timer;

/// Microseconds since an origin that the driver chooses; monotonic within a process.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Timestamp(pub u64);

impl Timestamp {
    /// Time since `earlier`, or zero if that is later.
    #[must_use]
    pub fn since(self, earlier: Self) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }
}

impl Add<Duration> for Timestamp {
    type Output = Self;

    fn add(self, duration: Duration) -> Self {
        Self(self.0.saturating_add(micros(duration)))
    }
}

/// Converts to whole microseconds, saturating.
#[must_use]
pub fn micros(duration: Duration) -> u64 {
    u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)
}

/// A monotonic clock that counts from its creation.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    origin: Instant,
}

impl Clock {
    /// Starts a clock at zero.
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

/// Time as seen by code that waits, so that tests can pass it without waiting.
pub trait Time {
    /// Time since the start.
    fn now(&self) -> Timestamp;

    /// Completes after a delay.
    fn sleep(&self, delay: Duration) -> LocalBoxFuture<'static, ()>;
}

impl Time for Clock {
    fn now(&self) -> Timestamp {
        Self::now(self)
    }

    fn sleep(&self, delay: Duration) -> LocalBoxFuture<'static, ()> {
        Timer::after(delay).map(drop).boxed_local()
    }
}
