//! How the body of a message ends, and whether it is complete.
//!
//! Readers of bodies ask [`BodyEnd::check`] instead of taking the end of a connection, or a length that has arrived, for the
//! end of a message: docs/design/026-ends-of-responses.md.

use std::error::Error;
use std::io;

use bytes::Bytes;
use bytes::BytesMut;
use futures::AsyncReadExt;
use http::HeaderMap;
use http::header::TRANSFER_ENCODING;
use http_body_util::BodyExt;
use http_types::Response;
use hyper::body::Body;
use hyper::body::Incoming;
use snafu::Snafu;

/// Limit on the body of a response, announced or not. A server may send without end, and each response takes processor time until its
/// request's deadline.
pub const MAX_BODY_BYTES: u64 = 16 << 20;

/// How the sender of a body marks its end; see [RFC 9112, section 6.3](https://www.rfc-editor.org/rfc/rfc9112#section-6.3).
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum BodyFraming {
    /// The head announces the number of bytes.
    Length(u64),
    /// The last chunk has no bytes.
    Chunked,
    /// The sender closes the connection.
    UntilClose,
}

/// How a body ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum BodyEnd {
    /// The announced length arrived.
    Length,
    /// The last chunk arrived.
    LastChunk,
    /// The sender closed the connection of a body that has no other end.
    Close,
    /// The connection was closed, or its bytes became malformed, before the end that the framing requires.
    Cut,
    /// The connection failed.
    Reset,
    /// The reader gave up at its deadline.
    Timeout,
    /// The reader gave up at [`MAX_BODY_BYTES`].
    Oversize,
}

/// What the content of a body shows at its end.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ContentEnd {
    /// Nothing: the content has no structure that is known here.
    Opaque,
    /// An event stream has not begun its first event.
    NoEvent,
    /// An event stream is between two events, or after its last.
    AfterEvent,
    /// An event stream is inside an event.
    InsideEvent,
}

/// Why a body was not read.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Snafu)]
pub enum ReadError {
    /// The body is not complete.
    #[snafu(context(false), display("{source}"))]
    Incomplete {
        /// What it lacks.
        source: IncompleteBody,
    },
    /// The body is longer than the reader allows.
    #[snafu(display("the body is longer than {limit} bytes"))]
    TooLong {
        /// The limit in bytes.
        limit: usize,
    },
}

/// Why a body is not complete.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Snafu)]
pub enum IncompleteBody {
    /// The connection ended before the body did.
    #[snafu(display("the server broke off"))]
    BrokenOff {
        /// How it ended.
        end: BodyEnd,
    },
    /// The deadline passed.
    #[snafu(display("the time of the answer is up"))]
    TimedOut,
    /// The body is longer than [`MAX_BODY_BYTES`].
    #[snafu(display("the answer is longer than {MAX_BODY_BYTES} bytes"))]
    Oversize,
    /// The stream ended inside an event, whatever its framing says.
    #[snafu(display("the stream ended inside an event"))]
    InsideEvent,
    /// The connection of a stream without framing was closed before its first event.
    #[snafu(display("the stream ended before its first event"))]
    NoEvent,
}

impl IncompleteBody {
    /// Whether the connection ended, so that its sender may have ended too.
    #[must_use]
    pub const fn is_loss(self) -> bool {
        !matches!(self, Self::TimedOut | Self::Oversize)
    }

    /// The reason in metrics.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::BrokenOff { end } => end.name(),
            Self::TimedOut => BodyEnd::Timeout.name(),
            Self::Oversize => BodyEnd::Oversize.name(),
            Self::InsideEvent => "inside_event",
            Self::NoEvent => "no_event",
        }
    }
}

impl BodyFraming {
    /// Returns the framing of a body whose exact length, if announced, is known to the HTTP library.
    #[must_use]
    pub fn new(length: Option<u64>, headers: &HeaderMap) -> Self {
        let codings = headers.get_all(TRANSFER_ENCODING).iter().filter_map(|value| value.to_str().ok());
        let last_coding = codings.flat_map(|value| value.split(',')).next_back();
        match length {
            Some(length) => Self::Length(length),
            None if last_coding.is_some_and(|coding| coding.trim().eq_ignore_ascii_case("chunked")) => {
                Self::Chunked
            }
            None => Self::UntilClose,
        }
    }

    /// Returns how a body ended that was read to the end of its connection, or of its chunks, without an error.
    #[must_use]
    pub const fn end_after(self, received: u64) -> BodyEnd {
        match self {
            Self::Length(length) if received < length => BodyEnd::Cut,
            Self::Length(_) => BodyEnd::Length,
            Self::Chunked => BodyEnd::LastChunk,
            Self::UntilClose => BodyEnd::Close,
        }
    }
}

impl BodyEnd {
    /// The end of a body whose connection failed with this error.
    #[must_use]
    pub fn from_io_error(error: &io::Error) -> Self {
        match error.kind() {
            io::ErrorKind::UnexpectedEof | io::ErrorKind::InvalidData | io::ErrorKind::InvalidInput => {
                Self::Cut
            }
            _ => Self::Reset,
        }
    }

    fn from_http_error(error: &hyper::Error) -> Self {
        let mut source = error.source();
        while let Some(error) = source {
            if let Some(error) = error.downcast_ref::<io::Error>() {
                return Self::from_io_error(error);
            }
            source = error.source();
        }
        Self::Cut
    }

    /// Checks that a body which ended so is complete.
    ///
    /// # Errors
    ///
    /// Returns why it is not. A regular end does not outweigh a stream that ends inside an event. A closed connection proves
    /// less than other regular ends: of a stream without events it does not even show that the server had begun.
    pub const fn check(self, content: ContentEnd) -> Result<(), IncompleteBody> {
        match (self, content) {
            (Self::Cut | Self::Reset, _) => Err(IncompleteBody::BrokenOff { end: self }),
            (Self::Timeout, _) => Err(IncompleteBody::TimedOut),
            (Self::Oversize, _) => Err(IncompleteBody::Oversize),
            (_, ContentEnd::InsideEvent) => Err(IncompleteBody::InsideEvent),
            (Self::Close, ContentEnd::NoEvent) => Err(IncompleteBody::NoEvent),
            (Self::Length | Self::LastChunk | Self::Close, _) => Ok(()),
        }
    }

    /// Whether the connection can carry another response.
    #[must_use]
    pub const fn leaves_connection_open(self) -> bool {
        matches!(self, Self::Length | Self::LastChunk)
    }

    /// The name in logs and metrics.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Length => "length",
            Self::LastChunk => "last_chunk",
            Self::Close => "close",
            Self::Cut => "cut",
            Self::Reset => "reset",
            Self::Timeout => "timeout",
            Self::Oversize => "oversize",
        }
    }
}

/// Reads the body of a response.
#[derive(Debug)]
pub struct BodyReader {
    body: Incoming,
    framing: BodyFraming,
    received: u64,
}

impl BodyReader {
    /// Creates a reader; `headers` are those of the response.
    #[must_use]
    pub fn new(body: Incoming, headers: &HeaderMap) -> Self {
        let framing = BodyFraming::new(body.size_hint().exact(), headers);
        Self { body, framing, received: 0 }
    }

    /// Returns the announced length.
    #[must_use]
    pub const fn length(&self) -> Option<u64> {
        match self.framing {
            BodyFraming::Length(length) => Some(length),
            BodyFraming::Chunked | BodyFraming::UntilClose => None,
        }
    }

    /// Returns the next bytes.
    ///
    /// # Errors
    ///
    /// Returns how the body ended, whether or not it is complete.
    pub async fn next(&mut self) -> Result<Bytes, BodyEnd> {
        if self.received.max(self.length().unwrap_or(0)) > MAX_BODY_BYTES {
            return Err(BodyEnd::Oversize);
        }
        loop {
            match self.body.frame().await {
                Some(Ok(frame)) => {
                    if let Ok(data) = frame.into_data() {
                        self.received += byte_count(data.len());
                        return Ok(data);
                    }
                }
                Some(Err(error)) => return Err(BodyEnd::from_http_error(&error)),
                None => return Err(self.framing.end_after(self.received)),
            }
        }
    }

    /// Reads a whole body whose content is opaque; also returns how it ended.
    ///
    /// # Errors
    ///
    /// Fails if the body is incomplete, or longer than `limit` bytes.
    pub async fn read_to_end(mut self, limit: usize) -> Result<(Bytes, BodyEnd), ReadError> {
        let mut buf = BytesMut::new();
        loop {
            match self.next().await {
                Ok(data) if buf.len() + data.len() > limit => return TooLongSnafu { limit }.fail(),
                Ok(data) => buf.extend_from_slice(&data),
                Err(end) => {
                    end.check(ContentEnd::Opaque)?;
                    return Ok((buf.freeze(), end));
                }
            }
        }
    }
}

/// Reads the body of a response that `async-h1` decoded, of up to `limit` bytes. The library reports a connection that is
/// closed before the announced length as the end of the body, and a body without framing as empty.
///
/// # Errors
///
/// Fails if the connection fails or the body is incomplete, also because of the limit.
pub async fn read_decoded_body(response: &mut Response, limit: u64) -> io::Result<Vec<u8>> {
    let body = response.take_body();
    let framing = body.len().map_or(BodyFraming::Chunked, |length| BodyFraming::Length(byte_count(length)));
    let mut buf = Vec::new();
    body.take(limit).read_to_end(&mut buf).await?;
    let end = framing.end_after(byte_count(buf.len()));
    end.check(ContentEnd::Opaque).map_err(|error| io::Error::new(io::ErrorKind::UnexpectedEof, error))?;
    Ok(buf)
}

fn byte_count(length: usize) -> u64 {
    u64::try_from(length).unwrap_or(u64::MAX)
}
