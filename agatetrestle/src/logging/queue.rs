//! A log writer that never blocks the process.
//!
//! Lines are added to a bounded queue, and a thread writes them out in batches. If the reader of the output is too slow, the
//! newest lines are dropped, and the next batch reports their number.

use std::io;
use std::io::Write;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::thread;
use std::time::Duration;

use flexi_logger::DeferredNow;
use flexi_logger::writers::LogWriter;
use log::Record;

use crate::logging::text_line;

/// Holds the lines of a few seconds under full load.
const MAX_QUEUE_BYTES: usize = 512 << 10;
/// Time for which lines are collected before they are written.
const BATCH_INTERVAL: Duration = Duration::from_millis(200);

#[derive(Default)]
struct LineQueue {
    bytes: Vec<u8>,
    dropped: u64,
}

struct Shared {
    queue: Mutex<LineQueue>,
    not_empty: Condvar,
    out: Mutex<Box<dyn Write + Send>>,
}

/// Queues lines for a thread that writes them to an output.
pub(super) struct QueueWriter(Arc<Shared>);

impl QueueWriter {
    /// Starts the writer thread.
    ///
    /// # Errors
    ///
    /// Fails if the thread can't be started.
    pub(super) fn start(out: Box<dyn Write + Send>) -> io::Result<Self> {
        let shared =
            Arc::new(Shared { queue: Mutex::default(), not_empty: Condvar::new(), out: Mutex::new(out) });
        let writer = shared.clone();
        thread::Builder::new().name("logs".into()).spawn(move || writer.write_forever())?;
        Ok(Self(shared))
    }
}

impl LogWriter for QueueWriter {
    fn write(&self, now: &mut DeferredNow, record: &Record<'_>) -> io::Result<()> {
        let mut line = Vec::with_capacity(256);
        text_line(&mut line, now, record)?;
        line.push(b'\n');
        self.0.push(&line);
        Ok(())
    }

    fn flush(&self) -> io::Result<()> {
        self.0.write_out()
    }
}

impl Shared {
    /// Ignores poisoning, since a panic leaves only complete lines in the queue.
    fn lock(&self) -> MutexGuard<'_, LineQueue> {
        self.queue.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn push(&self, line: &[u8]) {
        let mut queue = self.lock();
        if queue.bytes.len() + line.len() > MAX_QUEUE_BYTES {
            queue.dropped += 1;
            return;
        }
        let was_empty = queue.bytes.is_empty();
        queue.bytes.extend_from_slice(line);
        drop(queue);
        if was_empty {
            self.not_empty.notify_one();
        }
    }

    fn write_forever(&self) {
        loop {
            let mut queue = self.lock();
            while queue.bytes.is_empty() {
                queue = self.not_empty.wait(queue).unwrap_or_else(PoisonError::into_inner);
            }
            drop(queue);
            thread::sleep(BATCH_INTERVAL);
            // A failure of the log output can't be logged.
            let _ = self.write_out();
        }
    }

    fn write_out(&self) -> io::Result<()> {
        let mut out = self.out.lock().unwrap_or_else(PoisonError::into_inner);
        let LineQueue { mut bytes, dropped } = std::mem::take(&mut *self.lock());
        if dropped > 0 {
            bytes.extend_from_slice(format!("WARN  logging: {dropped} lines were lost.\n").as_bytes());
        }
        out.write_all(&bytes)?;
        out.flush()
    }
}
