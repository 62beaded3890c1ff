//! One attempt to send a request to a backend server, up to the response head.

use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use futures::future::Either;
use futures::future::select;
use http::HeaderMap;
use http::Request;
use http::Response;
use http::StatusCode;
use http_body_util::Full;
use hyper::body::Incoming;
use smol::Timer;

use crate::clock::Timestamp;
use crate::dispatch::RequestOutcome;
use crate::dispatch::ServerLoad;
use crate::gateway::Gateway;
use crate::gateway::context::RequestContext;
use crate::gateway::losses;
use crate::gateway::sent::FailureSign;
use crate::gateway::sent::SentAttempt;
use crate::gateway::slot::ServerSlot;
use crate::gateway::wire::ForwardMetadata;
use crate::node::peer_link::with_deadline;
use crate::transport::client::PooledConnection;
use crate::transport::client::ReusePolicy;
use crate::transport::client::SendError;

/// Percentage of the route's latency objective after which a retryable request is sent to another server. A response that
/// has not started by then is late already, and some are lost without a sign from their server.
const ATTEMPT_TIMEOUT_PERCENT: u32 = 130;
/// Percentage of the route's latency objective that must pass before the server of a stream may count as unresponsive. A
/// response that starts later is late already; one that is a little late is still worth more than another attempt.
const MIN_SILENCE_PERCENT: u32 = 130;
/// How often a stream that has not started is checked after that.
const SILENCE_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// A response whose head has arrived.
pub(super) struct StartedResponse {
    pub(super) slot: ServerSlot,
    pub(super) connection: PooledConnection,
    pub(super) response: Response<Incoming>,
    pub(super) sent_at: Timestamp,
    /// Load of the server from all nodes, as the head reports it.
    pub(super) load: Option<ServerLoad>,
}

/// Why an attempt produced no response to forward.
#[derive(Debug)]
pub(super) enum SendFailure {
    /// The server refused the connection, or closed it before anything was written.
    NotSent(String),
    /// The server did not run the request.
    NotRun(String),
    /// The server may have run the request.
    MayHaveRun(FailureSign, String),
    /// The request's deadline passed after it was sent.
    TimedOut,
}

impl SendFailure {
    /// Whether the request was certainly not run.
    pub(super) const fn is_unrun(&self) -> bool {
        matches!(self, Self::NotSent(_) | Self::NotRun(_))
    }
}

/// Sends a request and validates the response head. `is_last` is set if no other server may be tried afterwards.
pub(super) async fn send(
    gateway: &Rc<Gateway>,
    ctx: &RequestContext,
    mut slot: ServerSlot,
    is_last: bool,
    attempt: &SentAttempt,
) -> Result<StartedResponse, SendFailure> {
    let Some((instance, address)) = gateway.address(slot.server) else {
        slot.release(RequestOutcome::Cancelled);
        return Err(SendFailure::NotRun("the server is gone".into()));
    };
    let mut reuse = if ctx.route.is_at_most_once() { ReusePolicy::RecentOnly } else { ReusePolicy::Any };
    let (exchange, outcome) = loop {
        let connection = match gateway.client.acquire(address, reuse).await {
            Ok(connection) => connection,
            Err(error) => {
                gateway.client.close_idle(address);
                slot.release(RequestOutcome::Unreachable);
                return Err(SendFailure::NotSent(error.to_string()));
            }
        };
        let mut exchange = Exchange::start(gateway, ctx, connection, is_last);
        attempt.start();
        slot.response_due = Some(exchange.sent_at + ctx.route.objective);
        let outcome = exchange.run(gateway, ctx, &instance).await;
        match outcome {
            // The server may have closed idle connections only, as after a restart.
            SendOutcome::Started(Err(SendError::Connect { .. })) if exchange.connection.reused => {
                reuse = ReusePolicy::Never;
            }
            outcome => break (exchange, outcome),
        }
    };
    let Exchange { connection, sent_at, timeout, left } = exchange;
    let response = match outcome {
        SendOutcome::Unresponsive => {
            slot.release(RequestOutcome::Unresponsive);
            return Err(silent("the server says nothing while others answer"));
        }
        SendOutcome::TimedOut if timeout < left => {
            slot.release(RequestOutcome::BadResponse);
            return Err(silent("the server was silent for too long"));
        }
        SendOutcome::TimedOut => {
            slot.release(RequestOutcome::BadResponse);
            return Err(SendFailure::TimedOut);
        }
        SendOutcome::Started(Err(error @ SendError::Connect { .. })) => {
            slot.release(RequestOutcome::Unreachable);
            return Err(SendFailure::NotSent(error.to_string()));
        }
        SendOutcome::Started(Err(error @ SendError::Endless)) => {
            slot.release(RequestOutcome::BadResponse);
            return Err(SendFailure::MayHaveRun(FailureSign::TooLong, error.to_string()));
        }
        SendOutcome::Started(Err(SendError::NoResponse { source })) => {
            slot.release(RequestOutcome::BadResponse);
            let sign = if source.is_parse() { FailureSign::Malformed } else { FailureSign::BrokenOff };
            return Err(SendFailure::MayHaveRun(sign, format!("no answer: {source}")));
        }
        SendOutcome::Started(Ok(response)) => response,
    };
    slot.response_due = None;
    slot.progress.first_byte = Some(gateway.clock.now().since(sent_at));
    gateway.dispatch.borrow_mut().record_response_start(gateway.clock.now(), &ctx.service, sent_at);
    check_head(gateway, ctx, StartedResponse { slot, connection, response, sent_at, load: None })
}

fn silent(reason: &str) -> SendFailure {
    SendFailure::MayHaveRun(FailureSign::Silent, reason.into())
}

fn malformed(reason: &str) -> SendFailure {
    SendFailure::MayHaveRun(FailureSign::Malformed, reason.into())
}

/// A request on a connection, up to the response head.
struct Exchange {
    connection: PooledConnection,
    sent_at: Timestamp,
    /// Limit on the time to the head.
    timeout: Duration,
    /// Time until the request's deadline.
    left: Duration,
}

impl Exchange {
    fn start(gateway: &Gateway, ctx: &RequestContext, connection: PooledConnection, is_last: bool) -> Self {
        let sent_at = gateway.clock.now();
        let left = ctx.deadline.since(sent_at);
        let timeout =
            if is_last { left } else { left.min(ctx.route.objective * ATTEMPT_TIMEOUT_PERCENT / 100) };
        Self { connection, sent_at, timeout, left }
    }

    async fn run(&mut self, gateway: &Rc<Gateway>, ctx: &RequestContext, instance: &str) -> SendOutcome {
        let metadata = ForwardMetadata {
            time_left: self.left,
            instance,
            priority: ctx.server_priority(self.sent_at),
            team: ctx.team.as_ref().map(|team| &*team.name),
        };
        let request = build_request(gateway, ctx, metadata);
        let sending = self.connection.send(request);
        if ctx.route.is_streaming() {
            let wait = ResponseWait { gateway, ctx, sent_at: self.sent_at, timeout: self.timeout };
            return wait.run(sending).await;
        }
        with_deadline(self.timeout, sending).await.map_or(SendOutcome::TimedOut, SendOutcome::Started)
    }
}

/// How the wait for the response head ended.
enum SendOutcome {
    /// The response started, or sending failed.
    Started(Result<Response<Incoming>, SendError>),
    /// The server sent nothing while others of its service responded.
    Unresponsive,
    /// The timeout elapsed.
    TimedOut,
}

/// Waits for the head of a streamed response.
struct ResponseWait<'a> {
    gateway: &'a Rc<Gateway>,
    ctx: &'a RequestContext,
    sent_at: Timestamp,
    timeout: Duration,
}

impl ResponseWait<'_> {
    /// Waits for the response to start. Gives up early on a server that stays silent while others respond, so that the
    /// caller can retry elsewhere within its program's deadline.
    async fn run(&self, send: impl Future<Output = Result<Response<Incoming>, SendError>>) -> SendOutcome {
        let min_silence = self.ctx.route.objective * MIN_SILENCE_PERCENT / 100;
        let mut send = pin!(send);
        let mut pause = min_silence.min(self.timeout);
        loop {
            match select(send, Timer::after(pause)).await {
                Either::Left((outcome, _)) => return SendOutcome::Started(outcome),
                Either::Right((_, pending)) => send = pending,
            }
            let now = self.gateway.clock.now();
            let left = self.timeout.saturating_sub(now.since(self.sent_at));
            if left.is_zero() {
                return SendOutcome::TimedOut;
            }
            if self.gateway.dispatch.borrow().is_unresponsive(
                now,
                &self.ctx.service,
                self.sent_at,
                min_silence,
            ) {
                return SendOutcome::Unresponsive;
            }
            pause = SILENCE_POLL_INTERVAL.min(left);
        }
    }
}

fn build_request(
    gateway: &Gateway,
    ctx: &RequestContext,
    metadata: ForwardMetadata<'_>,
) -> Request<Full<Bytes>> {
    let mut request = Request::new(Full::new(ctx.body.clone()));
    *request.method_mut() = ctx.parts.method.clone();
    // Callers may send the target in absolute form; the server gets it in origin form.
    let path = ctx.parts.uri.path_and_query().cloned();
    *request.uri_mut() = path.map(Into::into).unwrap_or_default();
    let mut headers = ctx.parts.headers.clone();
    strip_hop_headers(&mut headers);
    gateway.wire.write_forwarded(&mut headers, metadata);
    *request.headers_mut() = headers;
    request
}

/// Removes the hop-by-hop headers, and the framing headers, which are set anew for each connection.
pub(super) fn strip_hop_headers(headers: &mut HeaderMap) {
    const NAMES: [&str; 10] = [
        "connection",
        "content-length",
        "expect",
        "keep-alive",
        "proxy-authenticate",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    ];
    let listed: Vec<String> = headers
        .get_all("connection")
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .map(|name| name.trim().to_ascii_lowercase())
        .collect();
    for name in NAMES.into_iter().chain(listed.iter().map(String::as_str)) {
        headers.remove(name);
    }
}

/// Whether a status can end a request. Interim ones precede a response, 101 was not asked for, and others are not valid in HTTP
/// ([RFC 9110, section 15](https://www.rfc-editor.org/rfc/rfc9110#section-15)).
fn is_final(status: StatusCode) -> bool {
    (200..600).contains(&status.as_u16())
}

/// Whether a status promises a caller that its request was not run.
fn promises_not_run(status: StatusCode) -> bool {
    [StatusCode::REQUEST_TIMEOUT, StatusCode::TOO_MANY_REQUESTS, StatusCode::SERVICE_UNAVAILABLE]
        .contains(&status)
}

/// Decides what a response head proves: whose response it is first, and only then whether the request ran.
fn check_head(
    gateway: &Gateway,
    ctx: &RequestContext,
    mut started: StartedResponse,
) -> Result<StartedResponse, SendFailure> {
    let status = started.response.status();
    let metadata = gateway.wire.read_response(started.response.headers());
    let server = started.slot.server;
    // A faulty server's extra response to an earlier request may arrive where this one is due. What it says about that request, or
    // about the server at that time, is not believed.
    let is_own = metadata.attempt_id.as_ref() == Some(&ctx.attempt_id);
    let may_be_own = is_own || (metadata.attempt_id.is_none() && !started.connection.reused);
    if !may_be_own {
        started.slot.release(RequestOutcome::BadResponse);
        return Err(malformed("the answer belongs to another request"));
    }
    if !is_final(status) {
        started.slot.release(RequestOutcome::BadResponse);
        return Err(malformed(&format!("the server answered {status}, which ends no request")));
    }
    started.load = metadata.load;
    if let Some(load) = metadata.load {
        gateway.dispatch.borrow_mut().record_load(gateway.clock.now(), server, load);
    }
    if status == StatusCode::MISDIRECTED_REQUEST {
        gateway.dispatch.borrow_mut().mark_leaving(server);
        started.slot.release(RequestOutcome::Cancelled);
        return Err(SendFailure::NotRun("another instance has the address".into()));
    }
    if metadata.not_run {
        started.slot.release(RequestOutcome::Full);
        return Err(SendFailure::NotRun(format!("the server answered {status} without running it")));
    }
    if !is_own {
        started.slot.release(RequestOutcome::BadResponse);
        return Err(malformed("the answer names no request"));
    }
    if !metadata.signed {
        started.slot.release(RequestOutcome::BadResponse);
        return Err(malformed(&format!("the server answered {status} without a signature")));
    }
    if promises_not_run(status) {
        // The caller would take the status for a promise that the server did not make.
        started.slot.release(RequestOutcome::BadResponse);
        return Err(malformed(&format!("the server answered {status} and may have run it")));
    }
    losses::record_response(gateway, server, started.sent_at);
    Ok(started)
}
