//! What a caller's connection is doing, so that a head that comes slowly is told from a connection that is idle.
//!
//! The library has one bound for both: it counts from the end of the answer before. A caller that sends one byte now
//! and then would hold its place for as long as an honest one may be idle.

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

/// The state of one connection.
pub(super) struct Watch {
    clock: Clock,
    /// Answers that are not at their end.
    answering: Cell<usize>,
    /// When the first byte of a head came that is not whole yet.
    head_since: Cell<Option<Timestamp>>,
}

impl Watch {
    pub(super) fn new() -> Rc<Self> {
        let (answering, head_since) = (Cell::new(0), Cell::new(None));
        Rc::new(Self { clock: Clock::start(), answering, head_since })
    }

    /// Notes that a head is whole; what is returned lives until the end of its answer.
    pub(super) fn answer(self: &Rc<Self>) -> Answering {
        self.head_since.set(None);
        self.answering.set(self.answering.get() + 1);
        Answering(self.clone())
    }

    /// Whether a head is under way for longer than that.
    pub(super) fn head_is_late(&self, bound: Duration) -> bool {
        self.head_since.get().is_some_and(|since| self.clock.now().since(since) > bound)
    }
}

impl ReadObserver for Rc<Watch> {
    fn on_read(&self, count: usize) {
        if count > 0 && self.answering.get() == 0 && self.head_since.get().is_none() {
            self.head_since.set(Some(self.clock.now()));
        }
    }
}

/// An answer that is not at its end.
pub(super) struct Answering(Rc<Watch>);

impl Drop for Answering {
    fn drop(&mut self) {
        self.0.answering.set(self.0.answering.get() - 1);
    }
}

/// The body of an answer, with the note that it is not at its end.
pub(super) struct Watched {
    pub(super) body: ResponseBody,
    pub(super) _answering: Answering,
}

impl Body for Watched {
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
