//! Connections of the RPC library with few system calls.
//!
//! The library writes each message in two or more pieces, flushes after each message, and reads the length of a message before
//! the rest. Here all messages that are queued when its task runs are written at once, and reads go through a buffer; see
//! docs/design/020-commit-latency.md.

use std::cell::RefCell;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::Context;
use std::task::Poll;
use std::task::ready;

use capnp_rpc::RpcSystem;
use capnp_rpc::rpc_twoparty_capnp::Side;
use capnp_rpc::twoparty::VatNetwork;
use futures::AsyncWrite;
use futures::io::BufReader;
use smol::net::TcpStream;

/// Size of the read buffer of a connection. Larger messages are read past it.
const READ_BUFFER_BYTES: usize = 8 << 10;
/// Bytes collected for a write before the library waits for the socket.
const MAX_BUFFERED_BYTES: usize = 64 << 10;
/// Capacity that an empty buffer keeps. Thousands of connections are open in a large deployment.
const MAX_IDLE_BUFFER_BYTES: usize = 4 << 10;

/// Bytes that wait to be written to a socket.
#[derive(Default)]
struct WriteBuffer {
    bytes: Vec<u8>,
    /// Start of the bytes that are not written yet.
    start: usize,
    failure: Option<io::ErrorKind>,
}

impl WriteBuffer {
    fn is_empty(&self) -> bool {
        self.start == self.bytes.len()
    }

    /// Writes all bytes to the socket.
    fn poll_drain(&mut self, cx: &mut Context<'_>, socket: &mut TcpStream) -> Poll<io::Result<()>> {
        if let Some(kind) = self.failure {
            return Poll::Ready(Err(kind.into()));
        }
        while !self.is_empty() {
            let written = ready!(Pin::new(&mut *socket).poll_write(cx, &self.bytes[self.start..]));
            count(|counts| counts.socket_writes += 1);
            match written {
                Ok(0) => return self.fail(io::ErrorKind::WriteZero),
                Ok(length) => self.start += length,
                Err(error) => return self.fail(error.kind()),
            }
        }
        self.bytes.clear();
        self.bytes.shrink_to(MAX_IDLE_BUFFER_BYTES);
        self.start = 0;
        Poll::Ready(Ok(()))
    }

    fn fail(&mut self, kind: io::ErrorKind) -> Poll<io::Result<()>> {
        self.failure = Some(kind);
        Poll::Ready(Err(kind.into()))
    }
}

/// The writing half that the library uses. [`RpcConnection`] writes what it collects.
struct CollectingWriter {
    buffer: Rc<RefCell<WriteBuffer>>,
    socket: TcpStream,
}

impl AsyncWrite for CollectingWriter {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        let Self { buffer, socket } = &mut *self;
        let mut buffer = buffer.borrow_mut();
        if buffer.bytes.len() >= MAX_BUFFERED_BYTES || buffer.failure.is_some() {
            ready!(buffer.poll_drain(cx, socket))?;
        }
        count(|counts| counts.library_writes += 1);
        buffer.bytes.extend_from_slice(buf);
        Poll::Ready(Ok(buf.len()))
    }

    /// Does nothing: the library flushes after each message.
    fn poll_flush(self: Pin<&mut Self>, _cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        match self.buffer.borrow().failure {
            Some(kind) => Poll::Ready(Err(kind.into())),
            None => Poll::Ready(Ok(())),
        }
    }

    fn poll_close(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let Self { buffer, socket } = &mut *self;
        ready!(buffer.borrow_mut().poll_drain(cx, socket))?;
        Pin::new(socket).poll_close(cx)
    }
}

/// Drives a connection until it ends.
pub(super) struct RpcConnection {
    system: RpcSystem<Side>,
    buffer: Rc<RefCell<WriteBuffer>>,
    socket: TcpStream,
}

/// The library's network on a connection, and what [`RpcConnection::new`] needs besides the system on it.
pub(super) struct RpcStream {
    buffer: Rc<RefCell<WriteBuffer>>,
    socket: TcpStream,
}

impl RpcStream {
    /// Prepares a connection for `side`.
    pub(super) fn new(
        socket: &TcpStream,
        side: Side,
        options: capnp::message::ReaderOptions,
    ) -> (Self, Box<VatNetwork<BufReader<TcpStream>>>) {
        let buffer = Rc::<RefCell<WriteBuffer>>::default();
        let reader = BufReader::with_capacity(READ_BUFFER_BYTES, socket.clone());
        let writer = CollectingWriter { buffer: buffer.clone(), socket: socket.clone() };
        let network = Box::new(VatNetwork::new(reader, writer, side, options));
        (Self { buffer, socket: socket.clone() }, network)
    }

    /// Drives the system that was created on the network.
    pub(super) fn drive(self, system: RpcSystem<Side>) -> RpcConnection {
        RpcConnection { system, buffer: self.buffer, socket: self.socket }
    }
}

impl Future for RpcConnection {
    type Output = Result<(), capnp::Error>;

    fn poll(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Self::Output> {
        count(|counts| counts.wake_ups += 1);
        let ended = Pin::new(&mut self.system).poll(cx);
        let Self { buffer, socket, .. } = &mut *self;
        // A failure is reported by the next write, and by the reading half.
        let _ = buffer.borrow_mut().poll_drain(cx, socket);
        ended
    }
}

/// Work on the connections of this thread.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(crate) struct IoCounts {
    /// Writes that the library made, each of which would be a system call without the buffer.
    pub(crate) library_writes: u64,
    pub(crate) socket_writes: u64,
    /// Polls of a connection's task.
    pub(crate) wake_ups: u64,
}

#[cfg(test)]
thread_local! {
    static COUNTS: std::cell::Cell<IoCounts> = std::cell::Cell::default();
}

/// The counts of this thread so far.
#[cfg(test)]
pub(crate) fn io_counts() -> IoCounts {
    COUNTS.get()
}

#[cfg(test)]
fn count(update: impl FnOnce(&mut IoCounts)) {
    let mut counts = COUNTS.get();
    update(&mut counts);
    COUNTS.set(counts);
}

/// Counts only in tests.
#[cfg(not(test))]
fn count(_update: impl FnOnce(&mut IoCounts)) {}
