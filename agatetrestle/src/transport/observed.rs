//! A TCP stream that reports its reads to an observer.

use std::io;
use std::pin::Pin;
use std::task::Context;
use std::task::Poll;

use futures::AsyncRead;
use futures::AsyncWrite;
use smol::net::TcpStream;

/// Observes the reads of a connection and may limit them.
pub trait ReadObserver {
    /// Returns how many bytes may be read next; 0 appears to the reader as the end of the stream.
    fn max_read(&self) -> usize {
        usize::MAX
    }

    /// Called after each read; `count` is 0 at the end of the stream.
    fn on_read(&self, count: usize);
}

/// A stream with an observer of its reads.
#[derive(Clone)]
pub struct ObservedStream<T> {
    /// The underlying stream.
    pub stream: TcpStream,
    /// The observer of reads.
    pub observer: T,
}

impl<T: ReadObserver + Unpin> AsyncRead for ObservedStream<T> {
    fn poll_read(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &mut [u8]) -> Poll<io::Result<usize>> {
        let limit = buf.len().min(self.observer.max_read());
        let read = Pin::new(&mut self.stream).poll_read(cx, &mut buf[..limit]);
        if let Poll::Ready(Ok(count)) = &read {
            self.observer.on_read(*count);
        }
        read
    }
}

impl<T: Unpin> AsyncWrite for ObservedStream<T> {
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
