//! HTTP/1.1 exchanges with backend servers, one connection each.
//!
//! `async-h1` encodes requests and decodes answers. This module adds what the library lacks: limits on the
//! head, the body and the time without progress, and the detection of truncated answers; see
//! docs/design/009-silent-connections.md.

mod admin;

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use agatetrestle_config::declarations::BackendKind;
use async_h1::client::Encoder;
use futures::future::LocalBoxFuture;
use http_types::Method;
use http_types::Request;
use http_types::Response;
use http_types::Url;
use smol::io::AsyncRead;
use smol::io::AsyncReadExt;
use smol::io::AsyncWriteExt;
use smol::io::Cursor;
use smol::net::TcpStream;

use crate::attempts::BackendReply;
use crate::attempts::BackendReport;
use crate::attempts::BackendRequest;
use crate::attempts::CALL_HEADER;
use crate::attempts::EngineClient;
use crate::attempts::EngineCommand;
use crate::attempts::ExchangeError;
use crate::attempts::ExchangeObserver;
use crate::attempts::IDEMPOTENCY_KEY_HEADER;
use crate::attempts::OUTCOME_HEADER;
use crate::attempts::PRIORITY_HEADER;
use crate::attempts::PROGRAM_HEADER;
use crate::attempts::ServiceClient;
use crate::attempts::Timer;
use crate::attempts::TokenUsage;
use crate::attempts::sse::SseParser;
use crate::attempts::sse::tool_of;
use crate::attempts::sse::usage_of;
use crate::attempts::timer::with_timeout;
use crate::gateway::event_splitter::EventSplitter;
use crate::ids::ProgramId;
use crate::programs::command::Answer;
use crate::scheduler::event::Failure;
use crate::transport::body_end::BodyFraming;
use crate::transport::body_end::ContentEnd;
use crate::transport::bounded::BoundedStream;

/// `async-h1` rejects heads just below this size.
const MAX_HEAD_BYTES: usize = 8 << 10;

/// Limit of all that a server sends up to the end of the head of its answer, interim responses included.
const MAX_BYTES_BEFORE_ANSWER: usize = 16 * MAX_HEAD_BYTES;

const MAX_ANSWER_BYTES: usize = 16 << 20;

/// Limit of all that is read from a connection. Chunks of a few bytes take more room than their content.
const MAX_READ_BYTES: usize = 4 * MAX_ANSWER_BYTES;

/// Number of polls of an idle read within the idle timeout, since the chunk decoder of `async-h1` does not
/// register a wake-up if trailers arrive in parts.
const IDLE_POLLS: u32 = 8;

const READ_BUFFER_BYTES: usize = 16 << 10;
const HEAD_END: &[u8] = b"\r\n\r\n";
const OUTCOME_NOT_RUN: &str = "not_run";
const HTTP_1_0: &[u8] = b"HTTP/1.0 ";
/// Start of an interim response, which the answer follows.
const INTERIM: &[u8] = b"HTTP/1.1 1";
const EVENT_STREAM_MEDIA_TYPE: &str = "text/event-stream";

/// HTTP client for engines and services.
pub struct HttpBackendClient {
    timer: Rc<dyn Timer>,
    connect_timeout: Duration,
}

struct Exchange<'a> {
    timer: &'a dyn Timer,
    request: &'a BackendRequest,
    observer: &'a dyn ExchangeObserver,
}

impl HttpBackendClient {
    /// Creates a client whose connection attempts fail after `connect_timeout`.
    #[must_use]
    pub fn new(timer: Rc<dyn Timer>, connect_timeout: Duration) -> Self {
        Self { timer, connect_timeout }
    }

    async fn exchange(
        &self,
        address: SocketAddr,
        kind: BackendKind,
        priority: u8,
        request: &BackendRequest,
        observer: &dyn ExchangeObserver,
    ) -> Result<BackendReply, ExchangeError> {
        let stream = self.connect(address).await?;
        let exchange = Exchange { timer: &*self.timer, request, observer };
        exchange.run(BoundedStream::new(stream, MAX_READ_BYTES), address, kind, priority).await
    }

    async fn connect(&self, address: SocketAddr) -> Result<TcpStream, ExchangeError> {
        let connecting = TcpStream::connect(address);
        match with_timeout(&*self.timer, self.connect_timeout, connecting).await {
            Some(Ok(stream)) => {
                stream.set_nodelay(true).ok();
                Ok(stream)
            }
            Some(Err(e)) => Err(exchange_error(Failure::Connect, format!("{address}: {e}"))),
            None => Err(exchange_error(Failure::Connect, format!("{address}: no connection in time"))),
        }
    }
}

impl EngineClient for HttpBackendClient {
    fn chat<'a>(
        &'a self,
        address: SocketAddr,
        priority: u8,
        request: &'a BackendRequest,
        observer: &'a dyn ExchangeObserver,
    ) -> LocalBoxFuture<'a, Result<BackendReply, ExchangeError>> {
        Box::pin(self.exchange(address, BackendKind::Engine, priority, request, observer))
    }

    fn cache_command<'a>(
        &'a self,
        address: SocketAddr,
        program: &'a ProgramId,
        command: EngineCommand,
    ) -> LocalBoxFuture<'a, Result<(), ExchangeError>> {
        Box::pin(async move {
            let stream = self.connect(address).await?;
            admin::cache_command(stream, address, program, command).await
        })
    }

    fn report(
        &self,
        address: SocketAddr,
        after: u64,
    ) -> LocalBoxFuture<'_, Result<Option<BackendReport>, ExchangeError>> {
        Box::pin(async move {
            let stream = self.connect(address).await?;
            admin::report(stream, address, after).await
        })
    }
}

impl ServiceClient for HttpBackendClient {
    fn call<'a>(
        &'a self,
        address: SocketAddr,
        request: &'a BackendRequest,
        observer: &'a dyn ExchangeObserver,
    ) -> LocalBoxFuture<'a, Result<BackendReply, ExchangeError>> {
        Box::pin(self.exchange(address, BackendKind::Service, 0, request, observer))
    }
}

impl Exchange<'_> {
    async fn run(
        &self,
        mut stream: BoundedStream<TcpStream>,
        address: SocketAddr,
        kind: BackendKind,
        priority: u8,
    ) -> Result<BackendReply, ExchangeError> {
        let request = self.encode(address, kind, priority)?;
        self.observer.on_write();
        self.write(request, &mut stream).await?;
        let (head, rest) = self.read_head(&mut stream).await?;
        let (mut response, framing) = decode(&head, &rest, stream.clone()).await?;
        let not_run = response.header(OUTCOME_HEADER).is_some_and(|v| v.as_str() == OUTCOME_NOT_RUN);
        if not_run {
            return Err(exchange_error(Failure::Refused, "the backend server did not start the call"));
        }
        let reply = match framing {
            BodyFraming::UntilClose => {
                let mut body = Cursor::new(rest).chain(stream);
                self.read_body(&mut body, &response, framing, kind).await?
            }
            BodyFraming::Chunked | BodyFraming::Length(_) => {
                let mut body = response.take_body();
                self.read_body(&mut body, &response, framing, kind).await?
            }
        };
        check_reply(reply, kind)
    }

    fn encode(&self, address: SocketAddr, kind: BackendKind, priority: u8) -> Result<Request, ExchangeError> {
        let request = self.request;
        let url = Url::parse(&format!("http://{address}{}", request.path))
            .map_err(|e| exchange_error(Failure::Connect, format!("no request for {}: {e}", request.path)))?;
        let mut req = Request::new(Method::Post, url);
        req.insert_header(PROGRAM_HEADER, request.program.to_string());
        req.insert_header(CALL_HEADER, request.call.0.to_string());
        req.insert_header(IDEMPOTENCY_KEY_HEADER, &*request.key.0);
        req.insert_header("Connection", "close");
        if kind == BackendKind::Engine {
            req.insert_header(PRIORITY_HEADER, priority.to_string());
        }
        req.set_body(request.body.to_vec());
        req.insert_header("Content-Type", &*request.content_type);
        Ok(req)
    }

    async fn write(
        &self,
        request: Request,
        stream: &mut BoundedStream<TcpStream>,
    ) -> Result<(), ExchangeError> {
        let mut encoder = Encoder::new(request);
        let writing = async {
            smol::io::copy(&mut encoder, &mut *stream).await?;
            stream.flush().await
        };
        match with_timeout(self.timer, self.request.idle_timeout, writing).await {
            Some(Ok(())) => Ok(()),
            Some(Err(e)) => Err(server_lost(format!("while writing: {e}"))),
            None => Err(exchange_error(Failure::Lost, "no progress while writing")),
        }
    }

    /// Reads the head of the answer, past interim responses; also returns the bytes received after it.
    async fn read_head(
        &self,
        stream: &mut BoundedStream<TcpStream>,
    ) -> Result<(Vec<u8>, Vec<u8>), ExchangeError> {
        let mut buf = Vec::new();
        let mut chunk = [0; 2048];
        let mut received = 0;
        loop {
            while let Some(at) = buf.windows(HEAD_END.len()).position(|w| w == HEAD_END) {
                let rest = buf.split_off(at + HEAD_END.len());
                if !buf.starts_with(INTERIM) {
                    return Ok((buf, rest));
                }
                buf = rest;
            }
            if buf.len() >= MAX_HEAD_BYTES || received >= MAX_BYTES_BEFORE_ANSWER {
                return Err(exchange_error(Failure::Lost, "the head of the answer is too long"));
            }
            let count = self.read(stream, &mut chunk).await?;
            if count == 0 {
                return Err(server_lost("the connection closed before an answer"));
            }
            received += count;
            buf.extend_from_slice(&chunk[..count]);
        }
    }

    async fn read<R: AsyncRead + Unpin>(
        &self,
        reader: &mut R,
        buf: &mut [u8],
    ) -> Result<usize, ExchangeError> {
        for _ in 0..IDLE_POLLS {
            match with_timeout(self.timer, self.request.idle_timeout / IDLE_POLLS, reader.read(buf)).await {
                Some(Ok(count)) => return Ok(count),
                Some(Err(e)) => return Err(server_lost(format!("while reading: {e}"))),
                None => {}
            }
        }
        Err(exchange_error(Failure::Lost, "no progress on the answer"))
    }

    async fn read_body<R: AsyncRead + Unpin>(
        &self,
        body: &mut R,
        response: &Response,
        framing: BodyFraming,
        kind: BackendKind,
    ) -> Result<BackendReply, ExchangeError> {
        let content_type = response.header("Content-Type").map_or("", |v| v.last().as_str()).to_owned();
        let is_stream = kind == BackendKind::Engine && content_type.starts_with(EVENT_STREAM_MEDIA_TYPE);
        let mut parser = SseParser::default();
        let mut received = Vec::new();
        let mut buf = vec![0; READ_BUFFER_BYTES];
        loop {
            let count = self.read(body, &mut buf).await?;
            if count == 0 {
                break;
            }
            if received.len() + count > MAX_ANSWER_BYTES {
                return Err(exchange_error(Failure::Lost, "the answer is too long"));
            }
            if !is_stream {
                received.extend_from_slice(&buf[..count]);
                continue;
            }
            for event in parser.push(&buf[..count]) {
                received.extend_from_slice(&event.bytes);
                if !event.last {
                    self.observer.on_event(&event.bytes);
                }
            }
            if parser.ended() {
                break;
            }
        }
        // The last event of an engine ends its stream, whatever follows.
        if !parser.ended() {
            let end = framing.end_after(u64::try_from(received.len()).unwrap_or(u64::MAX));
            let content = match content_type.starts_with(EVENT_STREAM_MEDIA_TYPE) {
                true if is_stream => ContentEnd::InsideEvent,
                true => EventSplitter::content_end_of(&received),
                false => ContentEnd::Opaque,
            };
            end.check(content).map_err(|_| server_lost("the answer was cut off"))?;
        }
        let usage = if is_stream { parser.usage() } else { TokenUsage::default() };
        let status = u16::from(response.status());
        let answer = Answer { status, content_type: content_type.into(), body: received.into() };
        Ok(BackendReply { answer, usage, tool: parser.tool() })
    }
}

/// Decodes the head. The body is read through the returned response or, with [`BodyFraming::UntilClose`], from
/// the connection.
async fn decode(
    head: &[u8],
    rest: &[u8],
    stream: BoundedStream<TcpStream>,
) -> Result<(Response, BodyFraming), ExchangeError> {
    let mut bytes = head.to_vec();
    if bytes.starts_with(HTTP_1_0) {
        bytes[..HTTP_1_0.len()].copy_from_slice(b"HTTP/1.1 ");
    }
    bytes.extend_from_slice(rest);
    let reader = Cursor::new(bytes).chain(stream);
    let response = async_h1::client::decode(reader)
        .await
        .map_err(|e| exchange_error(Failure::Lost, format!("malformed answer: {e}")))?;
    let framing = match (response.header("Transfer-Encoding"), response.header("Content-Length")) {
        (Some(_), _) => BodyFraming::Chunked,
        (None, Some(length)) => match length.last().as_str().trim().parse() {
            Ok(length) => BodyFraming::Length(length),
            Err(_) => return Err(exchange_error(Failure::Lost, "malformed length of the answer")),
        },
        (None, None) if u16::from(response.status()) == 204 => BodyFraming::Length(0),
        (None, None) => BodyFraming::UntilClose,
    };
    Ok((response, framing))
}

/// Checks a complete answer, and reads token usage and tool from a completion.
fn check_reply(mut reply: BackendReply, kind: BackendKind) -> Result<BackendReply, ExchangeError> {
    let status = reply.answer.status;
    let is_stream = reply.answer.content_type.starts_with(EVENT_STREAM_MEDIA_TYPE);
    if kind == BackendKind::Engine && status < 300 && !is_stream {
        let Ok(value) = serde_json::from_slice(&reply.answer.body) else {
            return Err(exchange_error(Failure::Lost, "the answer is no JSON"));
        };
        reply.usage = usage_of(&value).unwrap_or_default();
        reply.tool = tool_of(&value);
    }
    let busy = status == 429 || status == 503;
    if kind == BackendKind::Engine && busy {
        return Err(exchange_error(Failure::Refused, format!("the engine answered {status}")));
    }
    if status >= 500 {
        let detail = format!("the backend server answered {status}").into();
        return Err(ExchangeError {
            failure: Failure::Error,
            detail,
            reply: Some(reply),
            server_lost: false,
        });
    }
    Ok(reply)
}

fn exchange_error(failure: Failure, detail: impl Into<Arc<str>>) -> ExchangeError {
    ExchangeError { failure, detail: detail.into(), reply: None, server_lost: false }
}

/// The error if the connection broke after the request was sent.
fn server_lost(detail: impl Into<Arc<str>>) -> ExchangeError {
    ExchangeError { server_lost: true, ..exchange_error(Failure::Lost, detail) }
}

#[cfg(test)]
mod tests;
