//! Timestamps that drivers pass to the pure state machines, and the clock that they read.

use std::ops::Add;
use std::time::Duration;

use futures::FutureExt;
use futures::future::LocalBoxFuture;
use rustix::time::ClockId;
use rustix::time::Timespec;
use rustix::time::clock_gettime;
use smol::Timer;

/// The clock of the system that a process reads. Unlike the monotonic one, it counts the time for which the machine is
/// suspended, in which leases expire like at any other time; see docs/incidents/020-leases-over-a-suspension.md.
const CLOCK_ID: ClockId = ClockId::Boottime;

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
    origin: Duration,
}

impl Clock {
    /// Starts a clock at zero.
    #[must_use]
    pub fn start() -> Self {
        Self { origin: read_system_clock() }
    }

    /// Time since the start.
    #[must_use]
    pub fn now(&self) -> Timestamp {
        Timestamp(micros(read_system_clock().saturating_sub(self.origin)))
    }
}

/// Time since the system was started.
fn read_system_clock() -> Duration {
    let Timespec { tv_sec, tv_nsec } = clock_gettime(CLOCK_ID);
    let seconds = u64::try_from(tv_sec).unwrap_or_default();
    Duration::new(seconds, u32::try_from(tv_nsec).unwrap_or_default())
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
