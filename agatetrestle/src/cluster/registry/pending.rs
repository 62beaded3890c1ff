//! Reports that wait for a change.

use std::cell::RefCell;
use std::collections::VecDeque;
use std::time::Duration;

use futures::channel::oneshot;
use smol::Timer;
use smol::channel::Receiver;
use smol::channel::Sender;

/// Reports that are woken together, and the pause before the next ones.
pub(super) const WAKE_BATCH_REPORTS: usize = 32;
const WAKE_BATCH_INTERVAL: Duration = Duration::from_millis(2);

/// The pending reports of a control replica.
#[derive(Debug)]
pub(super) struct PendingReports {
    /// Each is woken when its sender is dropped.
    waiting: RefCell<Vec<oneshot::Sender<()>>>,
    /// Those to wake next.
    waking: RefCell<VecDeque<oneshot::Sender<()>>>,
    more_to_wake: (Sender<()>, Receiver<()>),
}

impl Default for PendingReports {
    fn default() -> Self {
        Self {
            waiting: RefCell::default(),
            waking: RefCell::default(),
            more_to_wake: smol::channel::bounded(1),
        }
    }
}

impl PendingReports {
    /// Adds a report. The returned receiver completes when it is woken.
    pub(super) fn add(&self) -> oneshot::Receiver<()> {
        let (tx, rx) = oneshot::channel();
        self.waiting.borrow_mut().push(tx);
        rx
    }

    /// Forgets the reports that are no longer waiting.
    pub(super) fn forget_cancelled(&self) {
        self.waiting.borrow_mut().retain(|report| !report.is_canceled());
    }

    /// Wakes all reports, the first ones at once and the others in batches, so that heartbeats need not wait for the answers
    /// to all of them.
    pub(super) fn wake(&self) {
        self.waking.borrow_mut().extend(self.waiting.take());
        if self.wake_batch() {
            // A full channel means that further batches are already requested.
            let _ = self.more_to_wake.0.try_send(());
        }
    }

    /// Wakes a batch of reports, and returns whether more are left.
    pub(super) fn wake_batch(&self) -> bool {
        let mut waking = self.waking.borrow_mut();
        let count = waking.len().min(WAKE_BATCH_REPORTS);
        waking.drain(..count);
        !waking.is_empty()
    }

    /// Wakes the reports that are left, until the task is dropped.
    pub(super) async fn wake_in_batches(&self) {
        while self.more_to_wake.1.recv().await.is_ok() {
            Timer::after(WAKE_BATCH_INTERVAL).await;
            while self.wake_batch() {
                Timer::after(WAKE_BATCH_INTERVAL).await;
            }
        }
    }
}
