//! The body of an answer: all there at once, or a stream whose end says whether it is whole.

use std::pin::Pin;
use std::task::Context;
use std::task::Poll;

use bytes::Bytes;
use futures::Stream;
use hyper::body::Body;
use hyper::body::Frame;
use hyper::body::SizeHint;
use snafu::Snafu;

/// The answer ends here without being whole; the connection is closed so that the caller sees it.
#[derive(Debug, Snafu)]
#[snafu(display("the answer broke off"))]
pub struct TruncatedBody;

/// Stream of a body, ended by the end of the stream if it is whole and by [`TruncatedBody`] if not.
pub type BodyStream = Pin<Box<dyn Stream<Item = Result<Bytes, TruncatedBody>>>>;

/// The body of an answer.
pub enum ResponseBody {
    /// All of it.
    Full(Option<Bytes>),
    /// In pieces; with its length where that is known.
    Stream(BodyStream, Option<u64>),
}

impl ResponseBody {
    /// A body that is all there.
    #[must_use]
    pub fn full(bytes: impl Into<Bytes>) -> Self {
        let bytes = bytes.into();
        Self::Full((!bytes.is_empty()).then_some(bytes))
    }
}

impl Body for ResponseBody {
    type Data = Bytes;
    type Error = TruncatedBody;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, TruncatedBody>>> {
        match self.get_mut() {
            Self::Full(bytes) => Poll::Ready(bytes.take().map(|bytes| Ok(Frame::data(bytes)))),
            Self::Stream(pieces, _) => pieces.as_mut().poll_next(cx).map_ok(Frame::data),
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, Self::Full(None))
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Full(bytes) => SizeHint::with_exact(
                bytes.as_ref().map_or(0, |bytes| u64::try_from(bytes.len()).unwrap_or(u64::MAX)),
            ),
            Self::Stream(_, Some(length)) => SizeHint::with_exact(*length),
            Self::Stream(_, None) => SizeHint::default(),
        }
    }
}
