//! Handles a request from its arrival to the head of its response.

use std::fmt;
use std::pin::pin;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use futures::future::Either;
use futures::future::select;
use http::HeaderValue;
use http::Request;
use http::Response;
use http::StatusCode;
use http::Version;
use http::header::CONNECTION;
use http::header::HOST;
use http::header::RETRY_AFTER;
use http::request::Parts;
use hyper::body::Incoming;
use xxhash_rust::xxh3::xxh3_64;

use crate::clock::Timestamp;
use crate::dispatch;
use crate::dispatch::RequestProfile;
use crate::dispatch::ServerKey;
use crate::gateway::Gateway;
use crate::gateway::access_log::AccessLogEntry;
use crate::gateway::access_log::CALLER_DISCONNECTED;
use crate::gateway::access_log::NO_STATUS;
use crate::gateway::attempt;
use crate::gateway::attempt::SendFailure;
use crate::gateway::body::read_body;
use crate::gateway::commit::PendingCommit;
use crate::gateway::context;
use crate::gateway::context::ErrorResponse;
use crate::gateway::context::FAILOVER_RETRY_AFTER;
use crate::gateway::context::RequestContext;
use crate::gateway::durations;
use crate::gateway::losses;
use crate::gateway::relay;
use crate::gateway::reserve;
use crate::gateway::resumption;
use crate::gateway::resumption::StreamBinding;
use crate::gateway::sent::FailureSign;
use crate::gateway::sent::SentAttempt;
use crate::gateway::slot::ServerSlot;
use crate::gateway::turn::OpenTurn;
use crate::gateway::wire::RequestMetadata;
use crate::routing::Route;
use crate::routing::RouteTable;
use crate::routing::Unauthorized;
use crate::transport::body::ResponseBody;
use crate::turns::streams::StreamStart;

/// Servers that may decline to run a request before it is rejected.
const MAX_NOT_RUN_ATTEMPTS: u32 = 4;
/// Servers that nothing could be sent to before a request is rejected. They are no attempts; the limit bounds the time while
/// many servers are down, until dispatch knows them all.
const MAX_UNREACHABLE_SERVERS: u32 = 8;
/// Divisor of a route's latency objective that bounds the queue wait before a program's first turn. A program rejected
/// early can still retry in time, and longer waits would delay programs that have started.
const QUEUE_WAIT_DIVISOR: u32 = 2;
/// Retry delay while no routes are known. After a restart of all VMs control has sent them some 0.6 s after the entries
/// accept connections.
const STARTUP_RETRY_AFTER: Duration = Duration::from_millis(600);

/// Handles a request. Error responses are logged here, forwarded ones by [`relay`].
pub(super) async fn handle(gateway: &Rc<Gateway>, request: Request<Incoming>) -> Response<ResponseBody> {
    let arrived_at = gateway.clock.now();
    let mut guard =
        DisconnectGuard { gateway, arrived_at, log_entry: AccessLogEntry::default(), completed: false };
    let result = serve_until_cutoff(gateway, request, arrived_at, &mut guard.log_entry).await;
    guard.completed = true;
    let mut response = match result {
        Ok(response) => response,
        Err(error) => {
            let total_time = gateway.clock.now().since(arrived_at);
            guard.log_entry.is_suspect = error.is_suspect;
            guard.log_entry.finish(gateway, error.status.as_u16(), &error.reason, total_time);
            into_response(&error)
        }
    };
    if gateway.draining.get() {
        response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    }
    response
}

/// Logs the request if it is dropped before its response head is ready, because the caller disconnected.
struct DisconnectGuard<'a> {
    gateway: &'a Gateway,
    arrived_at: Timestamp,
    log_entry: AccessLogEntry,
    completed: bool,
}

impl Drop for DisconnectGuard<'_> {
    fn drop(&mut self) {
        if !self.completed {
            let total_time = self.gateway.clock.now().since(self.arrived_at);
            self.log_entry.finish(self.gateway, NO_STATUS, CALLER_DISCONNECTED, total_time);
        }
    }
}

fn into_response(error: &ErrorResponse) -> Response<ResponseBody> {
    let mut response = Response::new(ResponseBody::full(error.reason.to_string()));
    *response.status_mut() = error.status;
    let seconds = error.retry_after.map(|delay| format!("{:.3}", delay.as_secs_f64()));
    if let Some(value) = seconds.and_then(|seconds| HeaderValue::from_str(&seconds).ok()) {
        response.headers_mut().insert(RETRY_AFTER, value);
    }
    response
}

/// Serves a request, or answers it with an error once the process is about to exit: with a 503 only if no attempt to send it
/// was made.
async fn serve_until_cutoff(
    gateway: &Rc<Gateway>,
    request: Request<Incoming>,
    arrived_at: Timestamp,
    log_entry: &mut AccessLogEntry,
) -> Result<Response<ResponseBody>, ErrorResponse> {
    {
        let serving = pin!(serve(gateway, request, arrived_at, log_entry));
        if let Either::Right((result, _)) = select(pin!(gateway.requests_ended()), serving).await {
            return result;
        }
    }
    let reason = "the process is stopping";
    if log_entry.tries > 0 {
        return Err(ErrorResponse::new(StatusCode::BAD_GATEWAY, reason));
    }
    Err(ErrorResponse::not_run(reason, FAILOVER_RETRY_AFTER))
}

async fn serve(
    gateway: &Rc<Gateway>,
    request: Request<Incoming>,
    arrived_at: Timestamp,
    log_entry: &mut AccessLogEntry,
) -> Result<Response<ResponseBody>, ErrorResponse> {
    let (parts, body) = request.into_parts();
    let metadata = read_metadata(gateway, &parts)?;
    let attempt_id = metadata.attempt_id.clone().unwrap_or_default();
    log_entry.attempt_id = attempt_id.clone();
    log_entry.resumes = metadata.resumes.clone().unwrap_or_default();
    let table = gateway.table.borrow().clone();
    let table = table
        .ok_or_else(|| ErrorResponse::not_run("no routes are in force here yet", STARTUP_RETRY_AFTER))?;
    log_entry.version = table.version;
    let route = find_route(&table, &parts, &metadata)?;
    log_entry.route = route.name.clone();
    let team = table.authorize(&route, metadata.key.as_ref());
    let team = team
        .map_err(|Unauthorized| ErrorResponse::new(StatusCode::UNAUTHORIZED, "no team has this key"))?
        .cloned();
    log_entry.team = team.as_ref().map(|team| team.name.clone()).unwrap_or_default();
    if attempt_id.is_empty() {
        return Err(ErrorResponse::new(StatusCode::BAD_REQUEST, "the request has no id"));
    }
    let timeout = metadata.timeout.unwrap_or(route.timeout);
    let deadline = arrived_at + timeout.min(route.timeout);
    refuse_if_too_long(gateway, &route, deadline)?;
    let limit = table.limits.max_body_bytes;
    let (_permit, body) = read_body(gateway, body, limit, deadline).await?;
    let team_name = team.as_ref().map_or("", |team| &team.name);
    let fingerprint = context::fingerprint(&parts, &metadata, team_name, &body);
    let resumed = resumption::find_stream(gateway, &route, &metadata, fingerprint, deadline).await?;
    let (origin, received) = resumed.map(|resumed| (resumed.origin, resumed.received)).unzip();
    let received = received.flatten();
    log_entry.origin = origin.as_ref().map(|origin| origin.version.clone()).unwrap_or_default();
    let draw = gateway.random.borrow_mut().below(u64::MAX);
    let service = origin.as_ref().map_or_else(|| route.pick_service(draw), |origin| &origin.service).clone();
    log_entry.service = service.clone();
    // Requests on non-streaming routes are tool calls, which follow the first turn of a program.
    let program_started = !route.is_streaming()
        || metadata.previous_turn.is_some()
        || origin.is_some()
        || gateway.has_recent_turn(&metadata);
    let declared = table.service(&service).and_then(|service| service.tokens_per_event);
    let tokens_per_event = declared.unwrap_or(1);
    let ctx = RequestContext {
        parts,
        metadata,
        attempt_id,
        route,
        service,
        team,
        tokens_per_event,
        arrived_at,
        deadline,
        body,
        chain_bytes: 0,
        timeout,
        stream: StreamBinding::new(origin.map(|origin| origin.version), fingerprint),
        received,
        program_started,
    };
    run(gateway, ctx, log_entry).await
}

/// Refuses a request that is not expected to end before a stopping process does.
fn refuse_if_too_long(gateway: &Gateway, route: &Route, deadline: Timestamp) -> Result<(), ErrorResponse> {
    let Some(ends_at) = gateway.ends_at.get() else {
        return Ok(());
    };
    let now = gateway.clock.now();
    let longest = gateway.durations.longest(now, &route.name);
    if durations::ends_in_time(ends_at.since(now), deadline.since(now), longest) {
        return Ok(());
    }
    Err(ErrorResponse::not_run("the process stops before the request would end", Duration::ZERO))
}

fn read_metadata(gateway: &Gateway, parts: &Parts) -> Result<RequestMetadata, ErrorResponse> {
    if parts.version < Version::HTTP_11 {
        // Without chunks, a stream that breaks off would look complete.
        let reason = "HTTP/1.1 is required";
        return Err(ErrorResponse::new(StatusCode::HTTP_VERSION_NOT_SUPPORTED, reason));
    }
    if parts.headers.get_all(HOST).iter().count() > 1 {
        return Err(ErrorResponse::new(StatusCode::BAD_REQUEST, "the request can be read in two ways"));
    }
    let metadata = gateway.wire.read_request(&parts.headers);
    metadata.map_err(|error| ErrorResponse::new(StatusCode::BAD_REQUEST, error))
}

/// The route of a request.
///
/// # Errors
///
/// 404 if there is none, but 503 for a turn that continues another: this table may be older than the one by which that turn
/// was completed, and its caller would take a 404 to mean that it is lost.
fn find_route(
    table: &RouteTable,
    parts: &Parts,
    metadata: &RequestMetadata,
) -> Result<Arc<Route>, ErrorResponse> {
    let host_header = parts.headers.get(HOST).and_then(|host| host.to_str().ok());
    let host = parts.uri.host().or(host_header).unwrap_or_default();
    let route = table.find(host, parts.uri.path()).cloned();
    route.ok_or_else(|| match metadata.previous_turn {
        Some(_) => ErrorResponse::not_run("no route takes the turn here", FAILOVER_RETRY_AFTER),
        None => ErrorResponse::new(StatusCode::NOT_FOUND, "no route takes this host and path"),
    })
}

/// Outcomes of the attempts made so far.
#[derive(Default)]
struct RetryState {
    /// Servers already tried.
    tried: Vec<ServerKey>,
    /// Number of servers that declined to run the request.
    not_run: u32,
    /// Number of servers that could not be sent anything.
    unreachable: u32,
    /// Number of servers that may have run the request.
    may_have_run: u32,
}

impl RetryState {
    /// Records a failed attempt. Returns the response for the caller if no other attempt is allowed.
    fn record_failure(&mut self, ctx: &RequestContext, failure: SendFailure) -> Result<(), ErrorResponse> {
        match failure {
            SendFailure::TimedOut => {
                Err(ErrorResponse::new(StatusCode::GATEWAY_TIMEOUT, "no answer in time"))
            }
            SendFailure::MayHaveRun(_, reason) => {
                self.may_have_run += 1;
                if may_retry(ctx, self.may_have_run) {
                    return Ok(());
                }
                Err(ErrorResponse::new(StatusCode::BAD_GATEWAY, reason))
            }
            SendFailure::NotSent(reason) => {
                self.unreachable += 1;
                if self.unreachable < MAX_UNREACHABLE_SERVERS {
                    return Ok(());
                }
                Err(self.give_up(reason, FAILOVER_RETRY_AFTER))
            }
            SendFailure::NotRun(reason) => {
                self.not_run += 1;
                if self.not_run < MAX_NOT_RUN_ATTEMPTS {
                    return Ok(());
                }
                Err(self.give_up(reason, FAILOVER_RETRY_AFTER))
            }
        }
    }

    /// The response if another attempt is refused.
    fn refuse(&self, refusal: ErrorResponse) -> ErrorResponse {
        match self.may_have_run {
            0 => refusal,
            _ => ErrorResponse::new(StatusCode::BAD_GATEWAY, refusal.reason),
        }
    }

    /// The response if no server is left: one that is safe to retry, unless a server may have run the request.
    fn give_up(&self, reason: impl fmt::Display, retry_after: Duration) -> ErrorResponse {
        match self.may_have_run {
            0 => ErrorResponse::not_run(reason, retry_after),
            _ => ErrorResponse::new(StatusCode::BAD_GATEWAY, reason),
        }
    }
}

/// Tries servers until one responds, a retry is not allowed, or the deadline passes.
async fn run(
    gateway: &Rc<Gateway>,
    mut ctx: RequestContext,
    log_entry: &mut AccessLogEntry,
) -> Result<Response<ResponseBody>, ErrorResponse> {
    losses::wait_for_suspects(gateway).await;
    let mut admission = losses::admit(gateway, &ctx).await?;
    let mut retries = RetryState::default();
    let mut turn: Option<OpenTurn> = None;
    let mut commit = PendingCommit::default();
    let mut goes_on_freely = false;
    let mut reserved = !reserve::needs_turn(&ctx);
    if reserved {
        reserve::charge_team(gateway, &ctx).await?;
    }
    loop {
        let queued_at = gateway.clock.now();
        let request = dispatch::Request {
            isolated: admission.is_some(),
            ..dispatch_request(&ctx, queued_at, &retries.tried)
        };
        let slot = ServerSlot::acquire(gateway, request).await;
        let mut slot = slot
            .map_err(|rejection| retries.give_up(format!("{:?}", rejection.reason), rejection.retry_after))?;
        let assigned_at = gateway.clock.now();
        log_entry.queue_time += assigned_at.since(queued_at);
        let start = stream_start(gateway, &mut ctx, slot.server);
        if !reserved {
            let request = dispatch::Request {
                isolated: admission.is_some(),
                ..reservation_request(&ctx, assigned_at, &retries.tried, start.as_ref())
            };
            let (reserved_turn, pending) =
                reserve::reserve_turn(gateway, &mut ctx, &mut slot, &request, start, &mut admission).await?;
            turn = Some(reserved_turn);
            commit = pending;
            log_entry.reserve_time = gateway.clock.now().since(assigned_at);
            log_entry.commit_time = log_entry.reserve_time;
            reserved = true;
        } else if let Some(start) = start {
            commit.finish(ctx.deadline.since(assigned_at)).await?;
            resumption::record_start(gateway, &ctx, start).await?;
        }
        if admission.is_none() && !goes_on_freely {
            // It may have become a suspect since.
            admission = losses::admit(gateway, &ctx).await.map_err(|refusal| retries.refuse(refusal))?;
        }
        log_entry.tries += 1;
        let server = slot.server;
        retries.tried.push(server);
        (log_entry.server, log_entry.software) = gateway.identity(server).unwrap_or_default();
        if let Some(turn) = &mut turn {
            turn.record_server(&log_entry.server);
        }
        let is_last = !may_retry(&ctx, retries.may_have_run + 1);
        let sent = SentAttempt::new(gateway, &ctx, server, admission.take());
        let sending = commit.race(attempt::send(gateway, &ctx, slot, is_last, &sent)).await;
        let failure = match sending? {
            Ok(started) => {
                log_entry.head_time = gateway.clock.now().since(ctx.arrived_at);
                // Dropping the response closes its connection, which cancels the run.
                commit.finish(ctx.deadline.since(gateway.clock.now())).await?;
                log_entry.commit_time = commit.took().unwrap_or(log_entry.commit_time);
                match relay::forward(gateway, &ctx, started, &mut turn, &sent, log_entry).await {
                    Ok(response) => return Ok(response),
                    Err(reason) => SendFailure::MayHaveRun(reason.sign(), reason.to_string()),
                }
            }
            Err(failure) => failure,
        };
        if matches!(failure, SendFailure::NotSent(_)) {
            log_entry.tries -= 1;
        }
        if !failure.is_unrun()
            && let Some(turn) = &mut turn
        {
            turn.record_failure();
        }
        match &failure {
            SendFailure::MayHaveRun(sign, reason) if may_retry(&ctx, retries.may_have_run + 1) => {
                goes_on_freely = !goes_on_freely && sent.may_go_on_freely(*sign);
                if goes_on_freely {
                    sent.fail_unawaited(*sign, reason);
                } else {
                    admission = sent.fail(*sign, reason, true).await;
                    if admission.is_none() {
                        return Err(ErrorResponse::new(StatusCode::BAD_GATEWAY, reason));
                    }
                }
            }
            SendFailure::MayHaveRun(sign, reason) => {
                sent.fail(*sign, reason, false).await;
            }
            SendFailure::TimedOut => sent.fail_unawaited(FailureSign::Silent, "no answer in time"),
            SendFailure::NotSent(_) | SendFailure::NotRun(_) => admission = sent.decline(),
        }
        retries.record_failure(&ctx, failure)?;
    }
}

/// The start to record before the attempt is sent to a server, if its caller may resume the stream.
fn stream_start(gateway: &Gateway, ctx: &mut RequestContext, server: ServerKey) -> Option<StreamStart> {
    if !resumption::is_resumable(&ctx.route) {
        return None;
    }
    let (_, version) = gateway.identity(server)?;
    ctx.stream.start(&ctx.service, version, ctx.timeout)
}

/// The request whose candidates the leader chooses among. All of them have the version that is recorded.
fn reservation_request(
    ctx: &RequestContext,
    now: Timestamp,
    tried: &[ServerKey],
    start: Option<&StreamStart>,
) -> dispatch::Request {
    let version = start.map(|start| start.origin.version.clone());
    dispatch::Request { version, ..dispatch_request(ctx, now, tried) }
}

/// Whether another server may be tried after this many may have run the request.
fn may_retry(ctx: &RequestContext, may_have_run: u32) -> bool {
    !ctx.route.is_at_most_once() && !ctx.route.is_streaming() && may_have_run < ctx.route.max_attempts
}

fn dispatch_request(ctx: &RequestContext, now: Timestamp, tried: &[ServerKey]) -> dispatch::Request {
    let finish_in = ctx.metadata.finish_in.unwrap_or_else(|| ctx.deadline.since(now));
    dispatch::Request {
        ticket: 0,
        service: ctx.service.clone(),
        priority: ctx.priority(),
        started: ctx.program_started,
        max_wait: ctx.route.objective / QUEUE_WAIT_DIVISOR,
        deadline: ctx.deadline,
        finish_by: ctx.arrived_at + finish_in,
        affinity: ctx.metadata.affinity.filter(|_| ctx.route.sticky),
        version: ctx.stream.required.clone(),
        excluded: tried.to_vec(),
        isolated: false,
        profile: RequestProfile {
            route: xxh3_64(ctx.route.name.as_bytes()),
            prompt_tokens: ctx.metadata.prompt_tokens,
            max_tokens: ctx.metadata.max_tokens,
            shared_prefix: ctx.metadata.shared_prefix,
        },
    }
}
