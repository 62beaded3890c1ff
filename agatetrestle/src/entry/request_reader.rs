//! Reads each request whole, within limits, before `async-h1` decodes it.
//!
//! docs/design/009-silent-connections.md lists which limits the library enforces itself. The reader refuses
//! requests with ambiguous framing, which allow request smuggling, keeps pipelined bytes for the next request
//! and answers `100-continue` itself.
//!
//! An incomplete request may be a resend of one that ran, so its refusal has the outcome `unknown`. A malformed
//! request can't have run before.

use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::sync::Arc;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;

use agatetrestle_config::settings::Callers;
use http_types::Request;
use smol::io::AsyncRead;
use smol::io::AsyncReadExt;
use smol::io::AsyncWrite;
use smol::io::AsyncWriteExt;
use smol::net::TcpStream;

use crate::attempts::Timer;
use crate::attempts::timer::with_timeout;
use crate::entry::problem::Problem;
use crate::entry::problem::ProblemReason;

const HEAD_END: &[u8] = b"\r\n\r\n";
const CONTINUE_RESPONSE: &[u8] = b"HTTP/1.1 100 Continue\r\n\r\n";
const READ_BUFFER_BYTES: usize = 16 << 10;

/// `async-h1` fails on heads of this size and above.
const DECODER_HEAD_LIMIT_BYTES: usize = 8 << 10;

/// `httparse` in `async-h1` fails on more header lines.
const MAX_HEADER_LINES: usize = 100;

/// Reads requests from one connection.
pub struct RequestReader {
    stream: TcpStream,
    timer: Rc<dyn Timer>,
    limits: Callers,
    buf: Vec<u8>,
}

/// Headers that determine how the body is read.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct RequestHead {
    /// Length of the body in bytes.
    pub content_length: u64,
    /// Whether the caller sent `Expect: 100-continue`.
    pub expects_continue: bool,
}

/// A request in memory as a stream for the decoder.
#[derive(Clone)]
struct BufferedRequest {
    bytes: Arc<[u8]>,
    position: usize,
}

impl RequestReader {
    /// A reader for a new connection.
    #[must_use]
    pub fn new(stream: TcpStream, timer: Rc<dyn Timer>, limits: Callers) -> Self {
        Self { stream, timer, limits, buf: Vec::new() }
    }

    /// Whether bytes of a further request are buffered.
    #[must_use]
    pub fn has_more(&self) -> bool {
        !self.buf.is_empty()
    }

    /// Reads the next request; none if the caller closed the connection or left it idle.
    ///
    /// # Errors
    ///
    /// Returns the refusal to send before the connection is closed.
    pub async fn next(&mut self) -> Result<Option<Request>, Problem> {
        let Some(head_len) = self.read_head().await? else {
            return Ok(None);
        };
        let body_start = head_len + HEAD_END.len();
        let head = parse_head(&self.buf[..head_len], self.limits.body)?;
        if head.expects_continue {
            self.stream.write_all(CONTINUE_RESPONSE).await.ok();
        }
        let body_len = usize::try_from(head.content_length).unwrap_or(usize::MAX);
        let Some(total) = body_start.checked_add(body_len) else {
            return Err(Problem::not_run(413, ProblemReason::BodyTooLarge, "the body is too large"));
        };
        self.read_body(total).await?;
        let rest = self.buf.split_off(total);
        let request = std::mem::replace(&mut self.buf, rest);
        decode(without_expect(&request, body_start)).await.map(Some)
    }

    /// Length of the next head without its closing empty line; none at the end of the stream.
    async fn read_head(&mut self) -> Result<Option<usize>, Problem> {
        if self.buf.is_empty() {
            self.buf = Vec::new();
            if !self.wait_for_data().await {
                return Ok(None);
            }
        }
        let limit = usize::try_from(self.limits.head).unwrap_or(usize::MAX).min(DECODER_HEAD_LIMIT_BYTES - 1);
        let timer = Rc::clone(&self.timer);
        let timeout = self.limits.head_time;
        match with_timeout(&*timer, timeout, self.read_to_head_end(limit)).await {
            Some(found) => found,
            None => Err(head_timeout()),
        }
    }

    async fn read_to_head_end(&mut self, limit: usize) -> Result<Option<usize>, Problem> {
        let mut scanned = 0;
        loop {
            let found = self.buf[scanned..].windows(HEAD_END.len()).position(|w| w == HEAD_END);
            if let Some(at) = found
                && scanned + at + HEAD_END.len() <= limit
            {
                return Ok(Some(scanned + at));
            }
            if found.is_some() || self.buf.len() > limit {
                return Err(Problem::not_run(431, ProblemReason::HeadTooLarge, "the head is too large"));
            }
            scanned = self.buf.len().saturating_sub(HEAD_END.len() - 1);
            match self.fill_buffer(self.limits.head_time).await {
                Some(true) => {}
                Some(false) => return Ok(None),
                None => return Err(head_timeout()),
            }
        }
    }

    async fn read_body(&mut self, total: usize) -> Result<(), Problem> {
        while self.buf.len() < total {
            match self.fill_buffer(self.limits.idle).await {
                Some(true) => {}
                Some(false) => {
                    let detail = "the connection closed within the body";
                    return Err(Problem::unknown(400, ProblemReason::Malformed, detail));
                }
                None => {
                    return Err(Problem::unknown(408, ProblemReason::TooSlow, "the body made no progress"));
                }
            }
        }
        Ok(())
    }

    /// Reads more bytes; false at the end of the stream, none on timeout.
    async fn fill_buffer(&mut self, timeout: Duration) -> Option<bool> {
        let len = self.buf.len();
        self.buf.resize(len + READ_BUFFER_BYTES, 0);
        let reading = self.stream.read(&mut self.buf[len..]);
        let count = with_timeout(&*self.timer, timeout, reading).await.map(Result::unwrap_or_default);
        self.buf.truncate(len + count.unwrap_or(0));
        count.map(|count| count > 0)
    }

    /// Waits for the first byte of a request without allocating a buffer.
    async fn wait_for_data(&self) -> bool {
        let mut first = [0];
        let peeking = self.stream.peek(&mut first);
        matches!(with_timeout(&*self.timer, self.limits.idle, peeking).await, Some(Ok(1)))
    }
}

/// Parses a head without its closing empty line.
///
/// # Errors
///
/// Returns the refusal of a head that is malformed, ambiguous or over a limit.
pub fn parse_head(head: &[u8], body_limit: u64) -> Result<RequestHead, Problem> {
    let text = std::str::from_utf8(head).map_err(|_| malformed("the head is no text"))?;
    let mut lines = text.split("\r\n");
    let request_line = lines.next().unwrap_or_default();
    if request_line.contains('\n') || request_line.split(' ').count() != 3 {
        return Err(malformed("the request line is malformed"));
    }
    let mut parsed = RequestHead::default();
    let mut length: Option<u64> = None;
    let mut hosts = 0;
    for (index, line) in lines.enumerate() {
        if index >= MAX_HEADER_LINES {
            return Err(Problem::not_run(431, ProblemReason::HeadTooLarge, "too many header lines"));
        }
        let (name, value) = parse_field(line)?;
        match name.to_ascii_lowercase().as_str() {
            "host" => hosts += 1,
            "transfer-encoding" => {
                let detail = "send the body with Content-Length";
                return Err(Problem::not_run(411, ProblemReason::LengthRequired, detail));
            }
            "content-length" if length.is_some() => return Err(malformed("two lengths")),
            "content-length" => length = Some(parse_length(value)?),
            "expect" if value.eq_ignore_ascii_case("100-continue") => parsed.expects_continue = true,
            "expect" => return Err(Problem::not_run(417, ProblemReason::Expectation, "unknown expectation")),
            _ => {}
        }
    }
    if hosts != 1 {
        return Err(malformed("exactly one Host is needed"));
    }
    parsed.content_length = length.unwrap_or(0);
    if parsed.content_length > body_limit {
        return Err(Problem::not_run(413, ProblemReason::BodyTooLarge, "the body is too large"));
    }
    Ok(parsed)
}

fn parse_field(line: &str) -> Result<(&str, &str), Problem> {
    let (name, value) = line.split_once(':').ok_or_else(|| malformed("a header line has no colon"))?;
    let is_token = |b: u8| b.is_ascii_graphic() && !b"()<>@,;:\\\"/[]?={}".contains(&b);
    if name.is_empty() || !name.bytes().all(is_token) {
        return Err(malformed("a header name is malformed"));
    }
    if value.bytes().any(|b| b.is_ascii_control() && b != b'\t') {
        return Err(malformed("a header value holds a control character"));
    }
    Ok((name, value.trim()))
}

fn parse_length(text: &str) -> Result<u64, Problem> {
    let is_number = !text.is_empty() && text.bytes().all(|b| b.is_ascii_digit());
    is_number.then(|| text.parse().ok()).flatten().ok_or_else(|| malformed("the length is malformed"))
}

fn head_timeout() -> Problem {
    Problem::unknown(408, ProblemReason::TooSlow, "the head did not arrive in time")
}

fn malformed(detail: &'static str) -> Problem {
    Problem::not_run(400, ProblemReason::Malformed, detail)
}

/// Removes `Expect`, which is already answered: the decoder would answer it again from a thread.
fn without_expect(request: &[u8], body_start: usize) -> Arc<[u8]> {
    let head = String::from_utf8_lossy(&request[..body_start - HEAD_END.len()]);
    let kept: Vec<&str> = head
        .split("\r\n")
        .filter(|line| !line.get(..7).is_some_and(|name| name.eq_ignore_ascii_case("expect:")))
        .collect();
    let mut out = kept.join("\r\n").into_bytes();
    out.extend_from_slice(HEAD_END);
    out.extend_from_slice(&request[body_start..]);
    out.into()
}

async fn decode(bytes: Arc<[u8]>) -> Result<Request, Problem> {
    let decoded = async_h1::server::decode(BufferedRequest { bytes, position: 0 }).await;
    match decoded {
        Ok(Some((request, _))) => Ok(request),
        Ok(None) => Err(malformed("the head is incomplete")),
        Err(e) => Err(Problem::not_run(400, ProblemReason::Malformed, e.to_string())),
    }
}

impl AsyncRead for BufferedRequest {
    fn poll_read(mut self: Pin<&mut Self>, _: &mut Context<'_>, buf: &mut [u8]) -> Poll<io::Result<usize>> {
        let unread = &self.bytes[self.position..];
        let count = unread.len().min(buf.len());
        buf[..count].copy_from_slice(&unread[..count]);
        self.position += count;
        Poll::Ready(Ok(count))
    }
}

/// Discards writes: the decoder writes only to answer `Expect`, which has been removed.
impl AsyncWrite for BufferedRequest {
    fn poll_write(self: Pin<&mut Self>, _: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        Poll::Ready(Ok(buf.len()))
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_close(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }
}
