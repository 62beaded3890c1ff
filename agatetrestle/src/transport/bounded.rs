//! Bounds on what is read from a peer that sends without end.

use std::io;
use std::pin::Pin;
use std::task::Context;
use std::task::Poll;
use std::task::ready;

use futures::AsyncRead;
use futures::AsyncWrite;

/// Bytes read in a row after which other tasks run first. A peer that sends without end would hold the thread otherwise.
const MAX_READ_BYTES: usize = 64 << 10;

/// Counts the bytes that are read from a stream before other tasks can run.
#[derive(Clone, Debug, Default)]
pub(super) struct ReadTurn {
    bytes: usize,
}

impl ReadTurn {
    /// Is pending once if other tasks have to run before the next read.
    pub(super) fn poll_start(&mut self, cx: &Context<'_>) -> Poll<()> {
        if self.bytes < MAX_READ_BYTES {
            return Poll::Ready(());
        }
        self.bytes = 0;
        cx.waker().wake_by_ref();
        Poll::Pending
    }

    /// Records the outcome of a read.
    pub(super) fn record(&mut self, outcome: &Poll<io::Result<usize>>) {
        match outcome {
            Poll::Ready(Ok(count)) => self.bytes += count,
            Poll::Ready(Err(_)) | Poll::Pending => self.bytes = 0,
        }
    }
}

/// A stream of which a limited number of bytes is read. Further ones fail with [`io::ErrorKind::InvalidData`].
#[derive(Clone, Debug)]
pub(crate) struct BoundedStream<S> {
    stream: S,
    left: usize,
    turn: ReadTurn,
}

impl<S> BoundedStream<S> {
    /// Limits a stream to `limit` bytes. A clone of it has a limit of its own.
    pub(crate) fn new(stream: S, limit: usize) -> Self {
        Self { stream, left: limit, turn: ReadTurn::default() }
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for BoundedStream<S> {
    fn poll_read(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &mut [u8]) -> Poll<io::Result<usize>> {
        if self.left == 0 {
            return Poll::Ready(Err(io::Error::new(io::ErrorKind::InvalidData, "the peer sent too much")));
        }
        ready!(self.turn.poll_start(cx));
        let allowed = buf.len().min(self.left);
        let outcome = Pin::new(&mut self.stream).poll_read(cx, &mut buf[..allowed]);
        self.turn.record(&outcome);
        if let Poll::Ready(Ok(count)) = &outcome {
            self.left -= count;
        }
        outcome
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for BoundedStream<S> {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_close(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_close(cx)
    }
}
