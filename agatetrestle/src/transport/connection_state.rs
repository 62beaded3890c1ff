//! State of a server connection, to tell a slow request head from an idle connection.
//!
//! `hyper` applies one timeout to both, counted from the end of the previous response, so a client that sends a head
//! byte by byte could hold its connection for the whole idle timeout.

use std::cell::Cell;
use std::pin::Pin;
use std::rc::Rc;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;

use bytes::Bytes;
use hyper::body::Body;
use hyper::body::Frame;
use hyper::body::SizeHint;

use crate::clock::Clock;
use crate::clock::Timestamp;
use crate::transport::body::ResponseBody;
use crate::transport::body::TruncatedBody;
use crate::transport::observed::ReadObserver;

/// Responses in progress and the start of an incomplete request head.
pub(super) struct ConnectionState {
    clock: Clock,
    /// Number of unfinished responses.
    responses: Cell<usize>,
    /// Arrival of the first byte of an incomplete request head.
    head_since: Cell<Option<Timestamp>>,
}

impl ConnectionState {
    pub(super) fn new() -> Rc<Self> {
        let (responses, head_since) = (Cell::new(0), Cell::new(None));
        Rc::new(Self { clock: Clock::start(), responses, head_since })
    }

    /// Records a complete request head; the guard must live until the end of the response.
    pub(super) fn begin_response(self: &Rc<Self>) -> ResponseGuard {
        self.head_since.set(None);
        self.responses.set(self.responses.get() + 1);
        ResponseGuard(self.clone())
    }

    /// Returns whether an incomplete request head started more than `timeout` ago.
    pub(super) fn head_is_late(&self, timeout: Duration) -> bool {
        self.head_since.get().is_some_and(|since| self.clock.now().since(since) > timeout)
    }
}

impl ReadObserver for Rc<ConnectionState> {
    fn on_read(&self, count: usize) {
        if count > 0 && self.responses.get() == 0 && self.head_since.get().is_none() {
            self.head_since.set(Some(self.clock.now()));
        }
    }
}

/// Counts one unfinished response until it is dropped.
pub(super) struct ResponseGuard(Rc<ConnectionState>);

impl Drop for ResponseGuard {
    fn drop(&mut self) {
        self.0.responses.set(self.0.responses.get() - 1);
    }
}

/// A response body that holds the guard of its response.
pub(super) struct TrackedBody {
    pub(super) body: ResponseBody,
    pub(super) _guard: ResponseGuard,
}

impl Body for TrackedBody {
    type Data = Bytes;
    type Error = TruncatedBody;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, TruncatedBody>>> {
        Pin::new(&mut self.body).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
