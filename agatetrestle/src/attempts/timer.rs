//! Sleeping, as a border, so that tests never wait out a timeout.

use std::future::Future;
use std::time::Duration;

use futures::future::LocalBoxFuture;
use smol::future::or;

/// Wakes a task after a span of time.
pub trait Timer {
    /// Completes once `span` has passed.
    fn after(&self, span: Duration) -> LocalBoxFuture<'static, ()>;
}

/// The operating system's timer.
#[derive(Clone, Copy, Debug, Default)]
pub struct SystemTimer;

impl Timer for SystemTimer {
    fn after(&self, span: Duration) -> LocalBoxFuture<'static, ()> {
        Box::pin(async move {
            smol::Timer::after(span).await;
        })
    }
}

/// Runs a future for at most `span`; none if it was not ready by then.
pub async fn with_timeout<T>(timer: &dyn Timer, span: Duration, work: impl Future<Output = T>) -> Option<T> {
    let limit = timer.after(span);
    or(async { Some(work.await) }, async {
        limit.await;
        None
    })
    .await
}
