//! Log lines that never hold up the process that writes them.
//!
//! Lines gather in a bounded queue, and a thread writes them out a few times a second, many with one call. Where the reader
//! is slower than the process, the newest lines are lost and counted, and the next line that is written says how many.

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

/// Bytes that wait at the most: some seconds of an entry's lines under full load, and a hundredth of the smallest memory.
const ROOM: usize = 512 << 10;
/// Time for which lines gather before they are written out.
const GATHER: Duration = Duration::from_millis(200);

#[derive(Default)]
struct Waiting {
    bytes: Vec<u8>,
    lost: u64,
}

struct Shared {
    waiting: Mutex<Waiting>,
    filled: Condvar,
    out: Mutex<Box<dyn Write + Send>>,
}

/// The queue before an output.
pub(super) struct QueueWriter(Arc<Shared>);

impl QueueWriter {
    /// Starts the thread that writes out.
    ///
    /// # Errors
    ///
    /// Fails if no thread can be started.
    pub(super) fn start(out: Box<dyn Write + Send>) -> io::Result<Self> {
        let shared =
            Arc::new(Shared { waiting: Mutex::default(), filled: Condvar::new(), out: Mutex::new(out) });
        let writing = shared.clone();
        thread::Builder::new().name("logs".into()).spawn(move || writing.write_forever())?;
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
    /// A panic elsewhere leaves whole lines behind, so a poisoned lock is used on.
    fn lock(&self) -> MutexGuard<'_, Waiting> {
        self.waiting.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn push(&self, line: &[u8]) {
        let mut waiting = self.lock();
        if waiting.bytes.len() + line.len() > ROOM {
            waiting.lost += 1;
            return;
        }
        let first = waiting.bytes.is_empty();
        waiting.bytes.extend_from_slice(line);
        drop(waiting);
        if first {
            self.filled.notify_one();
        }
    }

    fn write_forever(&self) {
        loop {
            let mut waiting = self.lock();
            while waiting.bytes.is_empty() {
                waiting = self.filled.wait(waiting).unwrap_or_else(PoisonError::into_inner);
            }
            drop(waiting);
            thread::sleep(GATHER);
            // Nobody is left to tell if the output itself fails.
            let _ = self.write_out();
        }
    }

    fn write_out(&self) -> io::Result<()> {
        let mut out = self.out.lock().unwrap_or_else(PoisonError::into_inner);
        let Waiting { mut bytes, lost } = std::mem::take(&mut *self.lock());
        if lost > 0 {
            bytes.extend_from_slice(format!("WARN  logging: {lost} lines were lost.\n").as_bytes());
        }
        out.write_all(&bytes)?;
        out.flush()
    }
}
