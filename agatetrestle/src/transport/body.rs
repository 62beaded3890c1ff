//! Bodies of HTTP responses, either buffered or streamed.

use std::pin::Pin;
use std::task::Context;
use std::task::Poll;

use bytes::Bytes;
use futures::Stream;
use hyper::body::Body;
use hyper::body::Frame;
use hyper::body::SizeHint;
use snafu::Snafu;

/// The body ended early; the connection is closed so that the client notices.
#[derive(Debug, Snafu)]
#[snafu(display("response body truncated"))]
pub struct TruncatedBody;

/// Chunks of a body; an incomplete body ends with [`TruncatedBody`].
pub type BodyStream = Pin<Box<dyn Stream<Item = Result<Bytes, TruncatedBody>>>>;

/// The body of a response.
pub enum ResponseBody {
    /// A buffered body, `None` if it is empty or already sent.
    Full(Option<Bytes>),
    /// A streamed body, with its length if known.
    Stream(BodyStream, Option<u64>),
}

impl ResponseBody {
    /// Creates a buffered body.
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
            Self::Stream(chunks, _) => chunks.as_mut().poll_next(cx).map_ok(Frame::data),
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
