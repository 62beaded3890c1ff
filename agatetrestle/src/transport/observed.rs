//! A connection on which someone counts what is read.

use std::io;
use std::pin::Pin;
use std::task::Context;
use std::task::Poll;

use futures::AsyncRead;
use futures::AsyncWrite;
use smol::net::TcpStream;

/// Counts what is read from a connection, and may bound it.
pub trait ReadObserver {
    /// How many bytes may be read now; none ends the connection for its reader.
    fn max_read(&self) -> usize {
        usize::MAX
    }

    /// Takes in that bytes were read; none at the end.
    fn on_read(&self, count: usize);
}

/// A connection with its tap.
#[derive(Clone)]
pub struct ObservedStream<T> {
    /// The connection.
    pub stream: TcpStream,
    /// What counts.
    pub observer: T,
}

impl<T: ReadObserver + Unpin> AsyncRead for ObservedStream<T> {
    fn poll_read(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &mut [u8]) -> Poll<io::Result<usize>> {
        let room = buf.len().min(self.observer.max_read());
        let read = Pin::new(&mut self.stream).poll_read(cx, &mut buf[..room]);
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
