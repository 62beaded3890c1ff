//! Bounds in front of `async-h1`: a request is read whole, within limits, before it is decoded.
//!
//! What the library itself enforces and what it does not is listed in
//! docs/design/009-silent-connections.md. The guard refuses everything whose end two parties could see
//! differently, keeps what follows a request for the next one, and answers `100-continue` itself.
//!
//! A request that did not arrive whole may be a resend of one that ran, and its key was not read: the
//! refusal then says `unknown`. One that is malformed in itself can't have run before either.

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
use crate::entry::problem::Reason;

const HEAD_END: &[u8] = b"\r\n\r\n";
const CONTINUE: &[u8] = b"HTTP/1.1 100 Continue\r\n\r\n";
const READ_SIZE: usize = 16 << 10;

/// `async-h1` fails on a head of this size or more.
const DECODER_HEAD: usize = 8 << 10;

/// `httparse` inside `async-h1` fails on more header lines.
const MAX_LINES: usize = 100;

/// Reads requests off one connection.
pub struct Guard {
    stream: TcpStream,
    timer: Rc<dyn Timer>,
    limits: Callers,
    buf: Vec<u8>,
}

/// What the head says about the rest.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Head {
    /// Bytes of the body.
    pub length: u64,
    /// Whether the caller waits for leave to send the body.
    pub expects: bool,
}

/// A received request, held whole in memory, as the decoder wants to read it.
#[derive(Clone)]
struct Received {
    bytes: Arc<[u8]>,
    at: usize,
}

impl Guard {
    /// A guard over a new connection.
    #[must_use]
    pub fn new(stream: TcpStream, timer: Rc<dyn Timer>, limits: Callers) -> Self {
        Self { stream, timer, limits, buf: Vec::new() }
    }

    /// Whether bytes of a further request are here already.
    #[must_use]
    pub fn has_more(&self) -> bool {
        !self.buf.is_empty()
    }

    /// Reads the next request; none where the caller closed the connection or left it idle.
    ///
    /// # Errors
    ///
    /// The refusal to send before the connection is closed.
    pub async fn next(&mut self) -> Result<Option<Request>, Problem> {
        let Some(end) = self.read_head().await? else {
            return Ok(None);
        };
        let body_from = end + HEAD_END.len();
        let head = check(&self.buf[..end], self.limits.body)?;
        if head.expects {
            self.stream.write_all(CONTINUE).await.ok();
        }
        let length = usize::try_from(head.length).unwrap_or(usize::MAX);
        let Some(total) = body_from.checked_add(length) else {
            return Err(Problem::not_run(413, Reason::BodyTooLarge, "the body is too large"));
        };
        self.read_body(total).await?;
        let rest = self.buf.split_off(total);
        let bytes = std::mem::replace(&mut self.buf, rest);
        decode(without_expect(&bytes, body_from)).await.map(Some)
    }

    async fn read_head(&mut self) -> Result<Option<usize>, Problem> {
        if self.buf.is_empty() {
            self.buf = Vec::new();
            if !self.wait().await {
                return Ok(None);
            }
        }
        let limit = usize::try_from(self.limits.head).unwrap_or(usize::MAX).min(DECODER_HEAD - 1);
        let timer = Rc::clone(&self.timer);
        let span = self.limits.head_time;
        match with_timeout(&*timer, span, self.read_to_head_end(limit)).await {
            Some(found) => found,
            None => Err(slow_head()),
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
                return Err(Problem::not_run(431, Reason::HeadTooLarge, "the head is too large"));
            }
            scanned = self.buf.len().saturating_sub(HEAD_END.len() - 1);
            match self.fill(self.limits.head_time).await {
                Some(true) => {}
                Some(false) => return Ok(None),
                None => return Err(slow_head()),
            }
        }
    }

    async fn read_body(&mut self, total: usize) -> Result<(), Problem> {
        while self.buf.len() < total {
            match self.fill(self.limits.idle).await {
                Some(true) => {}
                Some(false) => {
                    let detail = "the connection closed within the body";
                    return Err(Problem::unknown(400, Reason::Malformed, detail));
                }
                None => return Err(Problem::unknown(408, Reason::TooSlow, "the body made no progress")),
            }
        }
        Ok(())
    }

    /// Reads some bytes; false at the end, none where nothing came within `span`.
    async fn fill(&mut self, span: Duration) -> Option<bool> {
        let len = self.buf.len();
        self.buf.resize(len + READ_SIZE, 0);
        let reading = self.stream.read(&mut self.buf[len..]);
        let count = with_timeout(&*self.timer, span, reading).await.map(Result::unwrap_or_default);
        self.buf.truncate(len + count.unwrap_or(0));
        count.map(|count| count > 0)
    }

    /// Waits for the first byte of a request without holding memory for it.
    async fn wait(&self) -> bool {
        let mut first = [0];
        let peeking = self.stream.peek(&mut first);
        matches!(with_timeout(&*self.timer, self.limits.idle, peeking).await, Some(Ok(1)))
    }
}

/// Checks a head, without its closing empty line, for what would let two parties disagree.
///
/// # Errors
///
/// The refusal to send.
pub fn check(head: &[u8], body_limit: u64) -> Result<Head, Problem> {
    let text = std::str::from_utf8(head).map_err(|_| malformed("the head is no text"))?;
    let mut lines = text.split("\r\n");
    let start = lines.next().unwrap_or_default();
    if start.contains('\n') || start.split(' ').count() != 3 {
        return Err(malformed("the request line is malformed"));
    }
    let mut found = Head::default();
    let mut length: Option<u64> = None;
    let mut hosts = 0;
    for (at, line) in lines.enumerate() {
        if at >= MAX_LINES {
            return Err(Problem::not_run(431, Reason::HeadTooLarge, "too many header lines"));
        }
        let (name, value) = field(line)?;
        match name.to_ascii_lowercase().as_str() {
            "host" => hosts += 1,
            "transfer-encoding" => {
                let detail = "send the body with Content-Length";
                return Err(Problem::not_run(411, Reason::LengthRequired, detail));
            }
            "content-length" if length.is_some() => return Err(malformed("two lengths")),
            "content-length" => length = Some(number(value)?),
            "expect" if value.eq_ignore_ascii_case("100-continue") => found.expects = true,
            "expect" => return Err(Problem::not_run(417, Reason::Expectation, "unknown expectation")),
            _ => {}
        }
    }
    if hosts != 1 {
        return Err(malformed("exactly one Host is needed"));
    }
    found.length = length.unwrap_or(0);
    if found.length > body_limit {
        return Err(Problem::not_run(413, Reason::BodyTooLarge, "the body is too large"));
    }
    Ok(found)
}

fn field(line: &str) -> Result<(&str, &str), Problem> {
    let (name, value) = line.split_once(':').ok_or_else(|| malformed("a header line has no colon"))?;
    let token = |b: u8| b.is_ascii_graphic() && !b"()<>@,;:\\\"/[]?={}".contains(&b);
    if name.is_empty() || !name.bytes().all(token) {
        return Err(malformed("a header name is malformed"));
    }
    if value.bytes().any(|b| b.is_ascii_control() && b != b'\t') {
        return Err(malformed("a header value holds a control character"));
    }
    Ok((name, value.trim()))
}

fn number(text: &str) -> Result<u64, Problem> {
    let digits = !text.is_empty() && text.bytes().all(|b| b.is_ascii_digit());
    digits.then(|| text.parse().ok()).flatten().ok_or_else(|| malformed("the length is malformed"))
}

fn slow_head() -> Problem {
    Problem::unknown(408, Reason::TooSlow, "the head did not arrive in time")
}

fn malformed(detail: &'static str) -> Problem {
    Problem::not_run(400, Reason::Malformed, detail)
}

/// Takes out `Expect`, which the guard has answered: the decoder would answer it from a thread.
fn without_expect(bytes: &[u8], body_from: usize) -> Arc<[u8]> {
    let head = String::from_utf8_lossy(&bytes[..body_from - HEAD_END.len()]);
    let kept: Vec<&str> = head
        .split("\r\n")
        .filter(|line| !line.get(..7).is_some_and(|name| name.eq_ignore_ascii_case("expect:")))
        .collect();
    let mut out = kept.join("\r\n").into_bytes();
    out.extend_from_slice(HEAD_END);
    out.extend_from_slice(&bytes[body_from..]);
    out.into()
}

async fn decode(bytes: Arc<[u8]>) -> Result<Request, Problem> {
    let decoded = async_h1::server::decode(Received { bytes, at: 0 }).await;
    match decoded {
        Ok(Some((request, _))) => Ok(request),
        Ok(None) => Err(malformed("the head is incomplete")),
        Err(e) => Err(Problem::not_run(400, Reason::Malformed, e.to_string())),
    }
}

impl AsyncRead for Received {
    fn poll_read(mut self: Pin<&mut Self>, _: &mut Context<'_>, buf: &mut [u8]) -> Poll<io::Result<usize>> {
        let left = &self.bytes[self.at..];
        let count = left.len().min(buf.len());
        buf[..count].copy_from_slice(&left[..count]);
        self.at += count;
        Poll::Ready(Ok(count))
    }
}

/// The decoder writes only to answer `Expect`, which it never sees.
impl AsyncWrite for Received {
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
