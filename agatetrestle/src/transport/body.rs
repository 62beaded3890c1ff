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
pub struct Cut;

/// Pieces of a body, ended by the end of the stream if it is whole and by [`Cut`] if not.
pub type Pieces = Pin<Box<dyn Stream<Item = Result<Bytes, Cut>>>>;

/// The body of an answer.
pub enum AnswerBody {
    /// All of it.
    Whole(Option<Bytes>),
    /// In pieces; with its length where that is known.
    Pieces(Pieces, Option<u64>),
}

impl AnswerBody {
    /// A body that is all there.
    #[must_use]
    pub fn whole(bytes: impl Into<Bytes>) -> Self {
        let bytes = bytes.into();
        Self::Whole((!bytes.is_empty()).then_some(bytes))
    }
}

impl Body for AnswerBody {
    type Data = Bytes;
    type Error = Cut;

    fn poll_frame(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<Result<Frame<Bytes>, Cut>>> {
        match self.get_mut() {
            Self::Whole(bytes) => Poll::Ready(bytes.take().map(|bytes| Ok(Frame::data(bytes)))),
            Self::Pieces(pieces, _) => pieces.as_mut().poll_next(cx).map_ok(Frame::data),
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, Self::Whole(None))
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Whole(bytes) => SizeHint::with_exact(
                bytes.as_ref().map_or(0, |bytes| u64::try_from(bytes.len()).unwrap_or(u64::MAX)),
            ),
            Self::Pieces(_, Some(length)) => SizeHint::with_exact(*length),
            Self::Pieces(_, None) => SizeHint::default(),
        }
    }
}
