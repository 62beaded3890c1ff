//! Forwards responses to callers: short ones buffered, event streams one event at a time.

use std::rc::Rc;
use std::sync::Arc;

use bytes::Bytes;
use bytes::BytesMut;
use http::HeaderMap;
use http::Response;
use http::StatusCode;
use http::Version;
use http::header::CONTENT_TYPE;
use log::warn;
use smol::future::yield_now;
use snafu::Snafu;

use crate::clock::Timestamp;
use crate::dispatch::RequestOutcome;
use crate::gateway::Gateway;
use crate::gateway::InFlightRequest;
use crate::gateway::access_log::AccessLogEntry;
use crate::gateway::access_log::CALLER_DISCONNECTED;
use crate::gateway::attempt::StartedResponse;
use crate::gateway::attempt::strip_hop_headers;
use crate::gateway::buffer_budget::BufferPermit;
use crate::gateway::context::RequestContext;
use crate::gateway::context::transcript;
use crate::gateway::event_recorder::EventRecorder;
use crate::gateway::event_splitter::EventSplitter;
use crate::gateway::event_splitter::RawEvent;
use crate::gateway::sent::FailureSign;
use crate::gateway::sent::SentAttempt;
use crate::gateway::slot::ServerSlot;
use crate::gateway::turn::OpenTurn;
use crate::gateway::turn::Transcript;
use crate::node::peer_link::with_deadline;
use crate::ports::Measurement;
use crate::transport::body::BodyStream;
use crate::transport::body::ResponseBody;
use crate::transport::body::TruncatedBody;
use crate::transport::body_end::BodyEnd;
use crate::transport::body_end::BodyReader;
use crate::transport::body_end::ContentEnd;
use crate::transport::body_end::IncompleteBody;
use crate::transport::client::PooledConnection;

/// Responses up to this size are buffered, so that the request can be retried if one breaks off.
const MAX_BUFFERED_RESPONSE_BYTES: usize = 256 << 10;
const EVENT_STREAM_MEDIA_TYPE: &str = "text/event-stream";
/// Limit on the size of one server-sent event.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// Limit on the events of a turn that are retained. Models generate a fraction of it, and an entry holds the events of all its
/// open turns.
const MAX_RETAINED_BYTES: usize = 1 << 20;

/// A response body being read, with the resources released when it ends.
struct ResponseStream {
    gateway: Rc<Gateway>,
    attempt: Rc<SentAttempt>,
    slot: Option<ServerSlot>,
    connection: Option<PooledConnection>,
    body: BodyReader,
    /// The events of a body that is forwarded as it is, to tell whether it ends inside one; `None` for other content.
    events: Option<EventSplitter>,
    /// What is held of the response in memory.
    permit: BufferPermit,
    headers: HeaderMap,
    deadline: Timestamp,
    sent_at: Timestamp,
    arrived_at: Timestamp,
    status: u16,
    logged: bool,
    log_entry: AccessLogEntry,
    _in_flight: InFlightRequest,
}

/// Why a response is broken off.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Snafu)]
pub(super) enum RelayError {
    #[snafu(context(false), display("{source}"))]
    Incomplete { source: IncompleteBody },
    #[snafu(display("an event is too long"))]
    EventTooLong,
    #[snafu(display("the events of the turn are too long to be retained"))]
    TurnTooLong,
    #[snafu(display("the events of the turn could not be recorded"))]
    Unrecorded,
    #[snafu(display("responses take all the memory that they may"))]
    NoMemory,
}

impl RelayError {
    pub(super) const fn sign(self) -> FailureSign {
        match self {
            Self::Incomplete { source: IncompleteBody::TimedOut } => FailureSign::Silent,
            Self::Incomplete { source: IncompleteBody::Oversize }
            | Self::EventTooLong
            | Self::NoMemory
            | Self::TurnTooLong => FailureSign::TooLong,
            Self::Unrecorded => FailureSign::Abandoned,
            Self::Incomplete { .. } => FailureSign::BrokenOff,
        }
    }
}

impl ResponseStream {
    /// Returns the next bytes, or `None` at the end of a complete body.
    async fn next(&mut self) -> Result<Option<Bytes>, RelayError> {
        match self.read().await {
            Ok(data) => {
                if let Some(events) = &mut self.events {
                    events.push(&data);
                    while events.next_event().is_some() {}
                    check_event(events.buffered_len(), 0, &mut self.permit)?;
                }
                Ok(Some(data))
            }
            Err(end) => {
                let content = self.events.as_ref().map_or(ContentEnd::Opaque, EventSplitter::content_end);
                self.check_end(end, content)?;
                Ok(None)
            }
        }
    }

    async fn read(&mut self) -> Result<Bytes, BodyEnd> {
        let left = self.deadline.since(self.gateway.clock.now());
        with_deadline(left, self.body.next()).await.unwrap_or(Err(BodyEnd::Timeout))
    }

    fn check_end(&mut self, end: BodyEnd, content: ContentEnd) -> Result<(), IncompleteBody> {
        self.log_entry.body_end = Some(end);
        end.check(content).inspect_err(|incomplete| {
            self.log_entry.record(&self.gateway, &Measurement::BrokenResponse(incomplete.name()));
        })
    }

    /// Releases the slot and returns the connection to the pool after a complete response.
    fn complete(&mut self) {
        let now = self.gateway.clock.now();
        let took = now.since(self.sent_at);
        self.gateway.durations.record(now, &self.log_entry.route, now.since(self.arrived_at));
        if let Some(slot) = self.slot.take() {
            slot.release(if self.reports_failure() {
                RequestOutcome::ServerError(took)
            } else {
                RequestOutcome::Completed(took)
            });
        }
        if let (Some(connection), Some(end)) = (self.connection.take(), self.log_entry.body_end) {
            self.gateway.client.release(connection, &self.headers, end);
        }
    }

    /// Releases the slot and closes the connection, which may still carry the rest of the response.
    fn fail(&mut self) {
        self.connection = None;
        if let Some(slot) = self.slot.take() {
            slot.release(RequestOutcome::BadResponse);
        }
    }

    /// Whether the server reports that it failed.
    fn reports_failure(&self) -> bool {
        self.status >= StatusCode::INTERNAL_SERVER_ERROR.as_u16()
    }

    /// Records the outcome of a complete response before its caller gets the end of it.
    async fn resolve(&self) {
        if self.reports_failure() {
            let reason = format!("the server answered {}", self.status);
            self.attempt.fail(FailureSign::ServerError, &reason, false).await;
        } else {
            self.attempt.complete();
        }
    }

    /// Records that a response broke off of which a part was forwarded.
    async fn record_break(&self, reason: RelayError) {
        match reason.sign() {
            // Its caller's time is up, or its group does not answer.
            sign @ (FailureSign::Silent | FailureSign::Abandoned) => {
                self.attempt.fail_unawaited(sign, &reason.to_string());
            }
            sign => drop(self.attempt.fail(sign, &reason.to_string(), false).await),
        }
    }

    fn log(&mut self, outcome: &str) {
        self.logged = true;
        let total_time = self.gateway.clock.now().since(self.arrived_at);
        self.log_entry.finish(&self.gateway, self.status, outcome, total_time);
    }
}

impl Drop for ResponseStream {
    fn drop(&mut self) {
        if !self.logged {
            self.log(CALLER_DISCONNECTED);
        }
    }
}

/// Forwards a response.
///
/// # Errors
///
/// Fails if a buffered response broke off, of which nothing was forwarded.
pub(super) async fn forward(
    gateway: &Rc<Gateway>,
    ctx: &RequestContext,
    started: StartedResponse,
    turn: &mut Option<OpenTurn>,
    attempt: &Rc<SentAttempt>,
    log_entry: &mut AccessLogEntry,
) -> Result<Response<ResponseBody>, RelayError> {
    let StartedResponse { slot, connection, response, sent_at, load } = started;
    let (mut head, body) = response.into_parts();
    // The version is the sender's own. With that of a server of HTTP/1.0 the response would end with the connection, and
    // an incomplete one would look complete.
    head.version = Version::HTTP_11;
    let status = head.status;
    if let Some(turn) = turn.as_mut() {
        turn.record_head(load, status.is_server_error());
    }
    let headers = head.headers.clone();
    strip_hop_headers(&mut head.headers);
    let declares_events = declares_event_stream(&headers);
    let streams_events = ctx.route.is_streaming() && status.is_success();
    let body = BodyReader::new(body, &headers);
    let length = body.length();
    let stream = ResponseStream {
        gateway: gateway.clone(),
        attempt: attempt.clone(),
        slot: Some(slot),
        connection: Some(connection),
        body,
        permit: gateway.response_buffers.open(),
        events: (declares_events == Some(true) && !streams_events).then(EventSplitter::default),
        headers,
        deadline: ctx.deadline,
        sent_at,
        arrived_at: ctx.arrived_at,
        status: status.as_u16(),
        logged: false,
        log_entry: log_entry.clone(),
        _in_flight: InFlightRequest::new(gateway),
    };
    if streams_events {
        let transcript = transcript(ctx).filter(|_| turn.is_some());
        let recorder = transcript.as_ref().and_then(|_| EventRecorder::new(gateway, ctx));
        let events = EventStream {
            response: stream,
            splitter: EventSplitter::default(),
            turn: turn.take(),
            retained_bytes: ctx.received.as_ref().map_or(0, |received| received.text.len()),
            transcript,
            recorder,
            tokens_per_event: ctx.tokens_per_event,
            program: ctx.metadata.program.clone(),
            at_end: false,
            is_opaque: declares_events == Some(false),
        };
        let body = ResponseBody::Stream(events.into_pieces(), None);
        return Ok(Response::from_parts(head, body));
    }
    let body = read_buffered(stream, length, log_entry).await?;
    Ok(Response::from_parts(head, body))
}

/// Whether the media type of a response is that of events; `None` if it declares none.
fn declares_event_stream(headers: &HeaderMap) -> Option<bool> {
    let media_type = headers.get(CONTENT_TYPE)?.to_str().ok()?;
    Some(media_type.to_ascii_lowercase().starts_with(EVENT_STREAM_MEDIA_TYPE))
}

/// Checks what is held of an event that is not complete, and of the events before that are retained.
fn check_event(event: usize, retained: usize, permit: &mut BufferPermit) -> Result<(), RelayError> {
    if event > MAX_EVENT_BYTES {
        return Err(RelayError::EventTooLong);
    }
    // A buffer that grows takes up to twice what it holds.
    if permit.try_hold(2 * (event + retained)) { Ok(()) } else { Err(RelayError::NoMemory) }
}

/// Buffers a short response; one that exceeds the limit, or the memory of all responses, is streamed instead.
async fn read_buffered(
    mut stream: ResponseStream,
    length: Option<u64>,
    log_entry: &mut AccessLogEntry,
) -> Result<ResponseBody, RelayError> {
    let mut buffer = BytesMut::new();
    while buffer.len() <= MAX_BUFFERED_RESPONSE_BYTES && stream.permit.try_hold(buffer.len()) {
        match stream.next().await {
            Ok(Some(data)) => buffer.extend_from_slice(&data),
            Ok(None) => {
                stream.complete();
                stream.resolve().await;
                stream.log("whole");
                let permit = std::mem::replace(&mut stream.permit, stream.gateway.response_buffers.open());
                return Ok(ResponseBody::full(permit.attach(buffer.freeze())));
            }
            Err(reason) => {
                stream.fail();
                // The request may be retried, and is logged with its final response.
                stream.logged = true;
                log_entry.body_end = stream.log_entry.body_end;
                return Err(reason);
            }
        }
    }
    let permit = std::mem::replace(&mut stream.permit, stream.gateway.response_buffers.open());
    let first = permit.attach(buffer.freeze());
    let pieces = futures::stream::unfold((stream, Some(first)), |(mut stream, first)| async move {
        if let Some(first) = first {
            return Some((Ok(first), (stream, None)));
        }
        match stream.next().await {
            Ok(Some(data)) => Some((Ok(data), (stream, None))),
            Ok(None) => {
                stream.complete();
                stream.resolve().await;
                stream.log("whole");
                None
            }
            Err(reason) => {
                stream.fail();
                stream.log(&reason.to_string());
                stream.record_break(reason).await;
                Some((Err(TruncatedBody), (stream, None)))
            }
        }
    });
    Ok(ResponseBody::Stream(Box::pin(pieces), length))
}

/// A response whose body is a stream of server-sent events.
struct EventStream {
    response: ResponseStream,
    splitter: EventSplitter,
    turn: Option<OpenTurn>,
    transcript: Option<Transcript>,
    /// Bytes of the events in the transcript.
    retained_bytes: usize,
    /// Records the events of a turn that its caller may resume.
    recorder: Option<EventRecorder>,
    tokens_per_event: u64,
    program: Option<Arc<str>>,
    at_end: bool,
    /// Whether the response declares another media type than that of events.
    is_opaque: bool,
}

impl EventStream {
    fn into_pieces(self) -> BodyStream {
        let pieces = futures::stream::unfold(Some(self), |events| async move {
            let mut events = events?;
            match events.next().await {
                Ok(Some(bytes)) => Some((Ok(bytes), Some(events))),
                Ok(None) => {
                    let result = events.finish().await;
                    result.err().map(|cut| (Err(cut), None))
                }
                Err(reason) => {
                    if let Some(turn) = &mut events.turn {
                        turn.record_failure();
                    }
                    events.response.fail();
                    events.response.log(&reason.to_string());
                    events.response.record_break(reason).await;
                    // The HTTP library drops what it has not written when a body fails. It writes once it has to wait.
                    yield_now().await;
                    Some((Err(TruncatedBody), None))
                }
            }
        });
        Box::pin(pieces)
    }

    /// Returns the next event, or what follows the last one of a complete stream, or `None` after that.
    async fn next(&mut self) -> Result<Option<Bytes>, RelayError> {
        if self.at_end {
            return Ok(None);
        }
        loop {
            if let Some(event) = self.next_event().await? {
                if let Some(turn) = &mut self.turn {
                    turn.add_tokens(self.tokens_per_event);
                }
                if let Some(slot) = &mut self.response.slot {
                    slot.progress.generated_tokens += self.tokens_per_event;
                }
                return Ok(Some(event.0));
            }
            check_event(self.splitter.buffered_len(), self.retained_bytes, &mut self.response.permit)?;
            match self.response.read().await {
                Ok(data) => self.splitter.push(&data),
                Err(end) => {
                    self.response.log_entry.rest_bytes = self.splitter.buffered_len();
                    self.response.check_end(end, self.content_end())?;
                    self.at_end = true;
                    let remainder = std::mem::take(&mut self.splitter).into_remainder();
                    return Ok((!remainder.is_empty()).then_some(remainder));
                }
            }
        }
    }

    /// Returns the next complete event that may be handed out.
    async fn next_event(&mut self) -> Result<Option<RawEvent>, RelayError> {
        if self.recorder.as_ref().is_none_or(EventRecorder::is_empty) {
            while let Some(event) = self.splitter.next_event() {
                let start = self.transcript.as_ref().map_or(0, |transcript| transcript.text.len());
                self.retain(&event)?;
                let Some(recorder) = &mut self.recorder else {
                    return Ok(Some(event));
                };
                recorder.push(event, self.transcript.as_ref().map_or(&[], |kept| &kept.text[start..]));
            }
        }
        let Some(recorder) = &mut self.recorder else {
            return Ok(None);
        };
        let left = self.response.deadline.since(self.response.gateway.clock.now());
        match with_deadline(left, recorder.next()).await {
            Some(Ok(event)) => Ok(event),
            Some(Err(reply)) => {
                warn!(
                    "turn={} has events that its group refuses: {reply:?}.",
                    self.response.log_entry.attempt_id
                );
                Err(RelayError::Unrecorded)
            }
            None => Err(RelayError::Unrecorded),
        }
    }

    /// Adds an event to the transcript.
    fn retain(&mut self, event: &RawEvent) -> Result<(), RelayError> {
        if let (Some(transcript), Some(data)) = (&mut self.transcript, event.data()) {
            transcript.text.extend_from_slice(&data);
            transcript.text.push(b'\n');
            self.retained_bytes += data.len() + 1;
            if self.retained_bytes > MAX_RETAINED_BYTES {
                return Err(RelayError::TurnTooLong);
            }
        }
        Ok(())
    }

    fn content_end(&self) -> ContentEnd {
        if self.is_opaque { ContentEnd::Opaque } else { self.splitter.content_end() }
    }

    /// Ends the response. A turn to be retained is committed first, so that the caller can continue from it.
    async fn finish(mut self) -> Result<(), TruncatedBody> {
        self.response.complete();
        self.response.gateway.record_turn(self.program.as_ref());
        if let Some(turn) = &mut self.turn {
            turn.record_run_time(self.response.gateway.clock.now().since(self.response.sent_at));
        }
        let (Some(turn), Some(transcript)) = (self.turn.take(), self.transcript.take()) else {
            self.response.attempt.complete();
            self.response.log("whole");
            return Ok(());
        };
        let started_at = self.response.gateway.clock.now();
        let retained = with_deadline(self.response.deadline.since(started_at), turn.retain(transcript)).await;
        self.response.log_entry.finish_time = self.response.gateway.clock.now().since(started_at);
        match retained {
            Some(Ok(())) => {
                self.response.attempt.complete();
                self.response.log("whole and kept");
                Ok(())
            }
            Some(Err(error)) => Err(self.break_unretained(&format!("not kept: {error}"))),
            None => Err(self.break_unretained("not kept in time")),
        }
    }

    /// Breaks off a complete response whose turn could not be retained.
    fn break_unretained(&mut self, reason: &str) -> TruncatedBody {
        self.response.log(reason);
        self.response.attempt.fail_unawaited(FailureSign::NotRetained, reason);
        TruncatedBody
    }
}
