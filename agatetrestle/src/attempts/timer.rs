//! Timers behind a trait, so that tests control the passing of time.

use std::future::Future;
use std::time::Duration;

use futures::future::LocalBoxFuture;
use smol::future::or;

/// Source of timeouts.
pub trait Timer {
    /// Completes after `duration`.
    fn after(&self, duration: Duration) -> LocalBoxFuture<'static, ()>;
}

/// The operating system's timer.
#[derive(Clone, Copy, Debug, Default)]
pub struct SystemTimer;

impl Timer for SystemTimer {
    fn after(&self, duration: Duration) -> LocalBoxFuture<'static, ()> {
        Box::pin(async move {
            smol::Timer::after(duration).await;
        })
    }
}

/// Runs a future for at most `duration`; `None` if it did not complete in time.
pub async fn with_timeout<T>(
    timer: &dyn Timer,
    duration: Duration,
    future: impl Future<Output = T>,
) -> Option<T> {
    let timeout = timer.after(duration);
    or(async { Some(future.await) }, async {
        timeout.await;
        None
    })
    .await
}
