//! State of a server connection, by which the limits in force are applied to it.
//!
//! `hyper` takes its limits when a connection is accepted, and has one timeout for slow heads and idle connections. Limits may change
//! while a connection is open, also in the middle of a head.

use std::cell::Cell;
use std::cell::RefCell;
use std::convert::Infallible;
use std::pin::Pin;
use std::rc::Rc;
use std::task::Context;
use std::task::Poll;
use std::task::Waker;
use std::task::ready;

use bytes::Bytes;
use http::Request;
use hyper::body::Body;
use hyper::body::Frame;
use hyper::body::SizeHint;
use smol::channel::Receiver;
use smol::channel::Sender;

use crate::clock::Clock;
use crate::clock::Timestamp;
use crate::transport::body::ResponseBody;
use crate::transport::body::TruncatedBody;
use crate::transport::observed::StreamObserver;
use crate::transport::server::ServerLimits;

/// Largest read. `hyper` sizes its buffer by what a read returns.
const MAX_READ_BYTES: usize = 16 << 10;
/// Size of the pieces of response bodies, and bytes of them beyond which none is buffered while the client does not read.
const MAX_UNWRITTEN_BYTES: usize = 16 << 10;
/// The lowest limit on heads that is applied.
const MIN_HEAD_LIMIT_BYTES: usize = 8 << 10;

/// Responses in progress and the start of an incomplete request head.
pub(super) struct ConnectionState {
    clock: Clock,
    limits: Rc<ServerLimits>,
    /// Number of unfinished responses.
    responses: Cell<usize>,
    /// Arrival of the first byte of an incomplete request head.
    head_since: Cell<Option<Timestamp>>,
    /// Bytes of the incomplete request head.
    head_bytes: Cell<usize>,
    /// When the last response ended, or else the connection was accepted.
    idle_since: Cell<Timestamp>,
    /// Bytes of response bodies that are not written yet.
    unwritten: Cell<usize>,
    /// Closed once a head is too large, after which nothing is read any more.
    endless_head: (Sender<Infallible>, Receiver<Infallible>),
    /// The task that waits until more of a body may be buffered.
    writer: RefCell<Option<Waker>>,
}

impl ConnectionState {
    pub(super) fn new(limits: Rc<ServerLimits>) -> Rc<Self> {
        let clock = Clock::start();
        Rc::new(Self {
            clock,
            limits,
            responses: Cell::new(0),
            head_since: Cell::new(None),
            head_bytes: Cell::new(0),
            idle_since: Cell::new(clock.now()),
            unwritten: Cell::new(0),
            endless_head: smol::channel::bounded(1),
            writer: RefCell::default(),
        })
    }

    /// Records a complete request head; the guard must live until the end of the response.
    pub(super) fn begin_response(self: &Rc<Self>) -> ResponseGuard {
        self.head_since.set(None);
        self.head_bytes.set(0);
        self.responses.set(self.responses.get() + 1);
        ResponseGuard(self.clone())
    }

    /// Returns whether an incomplete request head has taken too long.
    pub(super) fn head_is_late(&self) -> bool {
        let timeout = self.limits.head_timeout.get();
        self.head_since.get().is_some_and(|since| self.clock.now().since(since) > timeout)
    }

    /// Returns once an incomplete request head is too large.
    pub(super) async fn endless_head(&self) {
        // Nothing is ever sent, so this waits until the channel is closed.
        let _ = self.endless_head.1.recv().await;
    }

    /// Whether an incomplete request head is too large. The last read may hold the end of the previous request too.
    fn head_is_endless(&self) -> bool {
        self.head_bytes.get() > self.max_head_bytes().saturating_add(MAX_READ_BYTES)
    }

    /// Returns whether a complete request head is too large.
    pub(super) fn is_too_large<T>(&self, request: &Request<T>) -> bool {
        let target = request.uri().path_and_query().map_or(0, |target| target.as_str().len());
        let line = request.method().as_str().len() + target + " HTTP/1.1\r\n".len() + 1;
        let fields = request.headers().iter();
        let fields = fields.map(|(name, value)| name.as_str().len() + value.len() + ": \r\n".len());
        line + fields.sum::<usize>() > self.max_head_bytes()
    }

    fn max_head_bytes(&self) -> usize {
        self.limits.max_head_bytes.get().max(MIN_HEAD_LIMIT_BYTES)
    }

    /// Returns whether the connection has been idle for too long.
    pub(super) fn is_idle_for_too_long(&self) -> bool {
        let is_idle = self.responses.get() == 0 && self.head_since.get().is_none();
        is_idle && self.clock.now().since(self.idle_since.get()) > self.limits.idle_timeout.get()
    }

    /// Returns whether more of a body may be buffered; if not, wakes the task once it may.
    fn may_buffer(&self, cx: &Context<'_>) -> bool {
        if self.unwritten.get() < MAX_UNWRITTEN_BYTES {
            return true;
        }
        self.writer.replace(Some(cx.waker().clone()));
        false
    }
}

impl StreamObserver for Rc<ConnectionState> {
    fn max_read(&self) -> usize {
        MAX_READ_BYTES
    }

    fn may_read(&self) -> bool {
        !self.head_is_endless()
    }

    fn on_read(&self, count: usize) {
        if count > 0 && self.responses.get() == 0 {
            if self.head_since.get().is_none() {
                self.head_since.set(Some(self.clock.now()));
            }
            self.head_bytes.update(|bytes| bytes + count);
            if self.head_is_endless() {
                self.endless_head.0.close();
            }
        }
    }

    fn on_write(&self, count: usize) {
        self.unwritten.update(|unwritten| unwritten.saturating_sub(count));
        if self.unwritten.get() < MAX_UNWRITTEN_BYTES
            && let Some(writer) = self.writer.take()
        {
            writer.wake();
        }
    }
}

/// Counts one unfinished response until it is dropped.
pub(super) struct ResponseGuard(Rc<ConnectionState>);

impl Drop for ResponseGuard {
    fn drop(&mut self) {
        self.0.responses.set(self.0.responses.get() - 1);
        self.0.idle_since.set(self.0.clock.now());
    }
}

/// A response body that holds the guard of its response.
pub(super) struct TrackedBody {
    pub(super) body: ResponseBody,
    pub(super) guard: ResponseGuard,
    /// What is left of the last piece. The HTTP library copies what it buffers.
    pub(super) rest: Bytes,
}

impl Body for TrackedBody {
    type Data = Bytes;
    type Error = TruncatedBody;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, TruncatedBody>>> {
        let state = self.guard.0.clone();
        if !state.may_buffer(cx) {
            return Poll::Pending;
        }
        if self.rest.is_empty() {
            match ready!(Pin::new(&mut self.body).poll_frame(cx)) {
                Some(Ok(frame)) => match frame.into_data() {
                    Ok(data) => self.rest = data,
                    Err(other) => return Poll::Ready(Some(Ok(other))),
                },
                end => return Poll::Ready(end),
            }
        }
        let length = self.rest.len().min(MAX_UNWRITTEN_BYTES);
        state.unwritten.update(|unwritten| unwritten + length);
        Poll::Ready(Some(Ok(Frame::data(self.rest.split_to(length)))))
    }

    fn is_end_stream(&self) -> bool {
        self.rest.is_empty() && self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
