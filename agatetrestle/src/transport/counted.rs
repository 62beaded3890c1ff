//! A stream that counts the bytes that it accepted, so that a failed request is known not to be sent, and that limits what is read
//! from it.

use std::cell::Cell;
use std::io;
use std::io::IoSlice;
use std::pin::Pin;
use std::rc::Rc;
use std::task::Context;
use std::task::Poll;
use std::task::ready;

use futures::AsyncRead;
use futures::AsyncWrite;

use crate::transport::bounded::ReadTurn;

/// Total number of bytes written to a stream.
pub(super) type WriteCounter = Rc<Cell<u64>>;

/// Largest read. The HTTP library sizes its buffer by what a read returns.
const MAX_READ_BYTES: usize = 16 << 10;

/// Limits what a peer may send before it has to come to an end, such as that of a response head.
#[derive(Default)]
pub(super) struct ReadLimit {
    /// Bytes that may still be read; `None` for no limit.
    pub(super) left: Cell<Option<usize>>,
    /// Whether the peer sent more.
    pub(super) exceeded: Cell<bool>,
}

/// A stream with a counter of the bytes written to it and a limit of the bytes read from it.
pub(super) struct CountedStream<S> {
    stream: S,
    written: WriteCounter,
    limit: Rc<ReadLimit>,
    turn: ReadTurn,
}

impl<S> CountedStream<S> {
    pub(super) fn new(stream: S, written: WriteCounter, limit: Rc<ReadLimit>) -> Self {
        Self { stream, written, limit, turn: ReadTurn::default() }
    }
}

impl<S> CountedStream<S> {
    fn count(&self, outcome: Poll<io::Result<usize>>) -> Poll<io::Result<usize>> {
        if let Poll::Ready(Ok(count)) = outcome {
            self.written.set(self.written.get().saturating_add(count as u64));
        }
        outcome
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for CountedStream<S> {
    fn poll_read(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &mut [u8]) -> Poll<io::Result<usize>> {
        if self.limit.left.get() == Some(0) {
            self.limit.exceeded.set(true);
            return Poll::Ready(Err(io::ErrorKind::InvalidData.into()));
        }
        ready!(self.turn.poll_start(cx));
        let allowed = buf.len().min(MAX_READ_BYTES);
        let allowed = self.limit.left.get().map_or(allowed, |left| allowed.min(left));
        let outcome = Pin::new(&mut self.stream).poll_read(cx, &mut buf[..allowed]);
        self.turn.record(&outcome);
        if let Poll::Ready(Ok(count)) = &outcome {
            self.limit.left.set(self.limit.left.get().map(|left| left.saturating_sub(*count)));
        }
        outcome
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for CountedStream<S> {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        let outcome = Pin::new(&mut self.stream).poll_write(cx, buf);
        self.count(outcome)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let outcome = Pin::new(&mut self.stream).poll_write_vectored(cx, bufs);
        self.count(outcome)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_close(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_close(cx)
    }
}
