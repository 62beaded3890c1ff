//! A TCP stream that reports its reads and writes to an observer.

use std::io;
use std::pin::Pin;
use std::task::Context;
use std::task::Poll;

use futures::AsyncRead;
use futures::AsyncWrite;
use smol::net::TcpStream;

/// Observes a connection and may limit its reads.
pub trait StreamObserver {
    /// Returns how many bytes may be read next; 0 appears to the reader as the end of the stream.
    fn max_read(&self) -> usize {
        usize::MAX
    }

    /// Returns whether anything may be read (any more). The reader is not woken if that changes.
    fn may_read(&self) -> bool {
        true
    }

    /// Called after each read; `count` is 0 at the end of the stream.
    fn on_read(&self, count: usize);

    /// Called after each write.
    fn on_write(&self, _count: usize) {}
}

/// A stream with an observer.
#[derive(Clone)]
pub struct ObservedStream<T> {
    /// The underlying stream.
    pub stream: TcpStream,
    /// The observer.
    pub observer: T,
}

impl<T: StreamObserver + Unpin> AsyncRead for ObservedStream<T> {
    fn poll_read(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &mut [u8]) -> Poll<io::Result<usize>> {
        if !self.observer.may_read() {
            return Poll::Pending;
        }
        let limit = buf.len().min(self.observer.max_read());
        let read = Pin::new(&mut self.stream).poll_read(cx, &mut buf[..limit]);
        if let Poll::Ready(Ok(count)) = &read {
            self.observer.on_read(*count);
        }
        read
    }
}

impl<T: StreamObserver + Unpin> AsyncWrite for ObservedStream<T> {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(cx, buf);
        if let Poll::Ready(Ok(count)) = &written {
            self.observer.on_write(*count);
        }
        written
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_close(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_close(cx)
    }
}
