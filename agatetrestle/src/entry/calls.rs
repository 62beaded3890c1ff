//! Model calls and service calls: parses and checks the request, starts its task and builds the response.

use std::cell::Cell;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use agatetrestle_config::declarations::BackendKind;
use agatetrestle_config::declarations::Service;
use futures::StreamExt;
use futures::TryStreamExt;
use http_types::Body;
use http_types::Request;
use http_types::Response;
use http_types::StatusCode;
use serde_json::Value;
use smol::channel;
use smol::channel::Receiver;
use smol::channel::Sender;
use xxhash_rust::xxh3::xxh3_64;

use crate::attempts::BackendRequest;
use crate::attempts::CALL_HEADER;
use crate::attempts::PROGRAM_HEADER;
use crate::attempts::prefix;
use crate::entry::ApiServer;
use crate::entry::InFlightGuard;
use crate::entry::call_task;
use crate::entry::connection::ConnectionContext;
use crate::entry::problem::Problem;
use crate::entry::problem::ProblemReason;
use crate::entry::programs;
use crate::entry::request_delta::Conversation;
use crate::entry::routes;
use crate::ids::CallNumber;
use crate::ids::ProgramId;
use crate::programs::command::Answer;
use crate::programs::command::Repeatable;
use crate::scheduler::event::Work;

/// Header with which a caller marks one call to a repeatable service as not repeatable.
const REPEATABLE_HEADER: &str = "Agatetrestle-Repeatable";

/// Header with the caller's timeout in milliseconds.
const TIMEOUT_HEADER: &str = "Agatetrestle-Timeout-Ms";

/// Limit on output tokens where the request sets none, since the budget must be reserved up front.
const DEFAULT_MAX_TOKENS: u64 = 1024;

/// Lower estimate of bytes in a token, so that reservations cover the prompt: plain text has about four.
const RESERVED_BYTES_PER_TOKEN: u64 = 2;

/// Time without progress after which an exchange with an engine fails.
const ENGINE_IDLE_TIMEOUT: Duration = Duration::from_secs(30);

const DONE_EVENT: &[u8] = b"data: [DONE]\n\n";
const EVENT_STREAM_MEDIA_TYPE: &str = "text/event-stream";

/// A parsed and checked call.
#[derive(Clone, Debug)]
pub struct ParsedCall {
    /// The request for the backend server.
    pub request: BackendRequest,
    /// The work that the scheduler places.
    pub work: Work,
    /// The most tokens that one attempt can cost.
    pub cost: u64,
    /// The original body, which the history stores unless the call continues an earlier one.
    pub original_body: Arc<[u8]>,
    /// The messages of a model call.
    pub conversation: Option<Conversation>,
    /// Digest of path, query and body.
    pub digest: u64,
    /// Why the call is not allowed. The ledger is queried before it is refused, since a resend of a request
    /// that ran while it was allowed must get its stored answer.
    pub refusal: Option<Problem>,
    /// The caller's timeout.
    pub timeout: Option<Duration>,
}

/// Message from the task of a call to its connection.
#[derive(Debug)]
pub enum ResponsePart {
    /// Bytes of a streamed answer.
    Chunk(Vec<u8>),
    /// The complete answer, which is stored in the ledger.
    Answer(Answer),
    /// A refusal, or the error that ends a stream.
    Problem(Problem),
}

/// Sends the parts of a response to the connection.
pub struct ResponseSender {
    tx: Sender<ResponsePart>,
    streaming: Cell<bool>,
}

impl ResponseSender {
    /// Sends the result and closes the channel. A stream gets its final event here.
    pub fn finish(&self, result: Result<Answer, Problem>) {
        let part = match result {
            Ok(_) if self.streaming.get() => ResponsePart::Chunk(DONE_EVENT.to_vec()),
            Ok(answer) => ResponsePart::Answer(answer),
            Err(problem) => ResponsePart::Problem(problem),
        };
        self.tx.try_send(part).ok();
        self.tx.close();
    }

    /// Sends bytes of a streamed answer.
    pub fn send_chunk(&self, bytes: &[u8]) {
        self.streaming.set(true);
        self.tx.try_send(ResponsePart::Chunk(bytes.to_vec())).ok();
    }

    /// Ends an interrupted stream with an error that asks the caller to retry.
    pub fn abort_stream(&self) {
        let detail = "the stream broke off; ask again with the same key for the whole answer";
        let problem =
            Problem::unknown(502, ProblemReason::BrokeOff, detail).retry_after(programs::RETRY_AFTER);
        self.finish(Err(problem));
    }
}

/// Runs a model call in the chat-completions format.
///
/// # Errors
///
/// Fails if the request is malformed or the call is refused.
pub async fn model_call(
    cx: &ConnectionContext,
    mut request: Request,
    disconnected: Receiver<()>,
) -> Result<Response, Problem> {
    let body = request.body_bytes().await.map_err(|e| routes::malformed(e.to_string()))?;
    let parsed = parse_model_call(&cx.server, &request, &body)?;
    spawn_call(cx, parsed, disconnected).await
}

/// Runs a call to a tool service or plain service.
///
/// # Errors
///
/// Fails if the request is malformed or the call is refused.
pub async fn service_call(
    cx: &ConnectionContext,
    mut request: Request,
    disconnected: Receiver<()>,
    name: &str,
    path: &str,
) -> Result<Response, Problem> {
    let body = request.body_bytes().await.map_err(|e| routes::malformed(e.to_string()))?;
    let parsed = parse_service_call(&cx.server, &request, &body, name, path)?;
    spawn_call(cx, parsed, disconnected).await
}

fn parse_model_call(server: &ApiServer, request: &Request, body: &[u8]) -> Result<ParsedCall, Problem> {
    let (program, call) = program_and_call(request)?;
    let mut value: Value = serde_json::from_slice(body).map_err(|e| routes::malformed(e.to_string()))?;
    let fields = value.as_object_mut().ok_or_else(|| routes::malformed("the request is no object"))?;
    let model: Arc<str> = match fields.get("model") {
        Some(Value::String(model)) => model.as_str().into(),
        _ => return Err(routes::malformed("model must be text")),
    };
    let declared = server.state.declarations.get(&server.control.configuration());
    let refusal = declared.model(&program.partner, &model).err();
    let stream = fields.get("stream").and_then(Value::as_bool).unwrap_or(false);
    let token_limit = fields.get("max_completion_tokens").or_else(|| fields.get("max_tokens"));
    let max_tokens = token_limit.and_then(Value::as_u64).unwrap_or(DEFAULT_MAX_TOKENS);
    let prompt = serde_json::to_vec(&[fields.get("tools"), fields.get("messages")]).unwrap_or_default();
    fields.insert("max_tokens".into(), max_tokens.into());
    if stream {
        fields.insert("stream_options".into(), serde_json::json!({ "include_usage": true }));
    }
    let work = Work::Model {
        model: declared.pool(&program.partner, BackendKind::Engine, &model),
        blocks: prefix::block_hashes(&prompt),
        prompt_tokens: prefix::estimate_tokens(&prompt),
        max_tokens: u32::try_from(max_tokens).unwrap_or(u32::MAX),
    };
    let prompt_bytes = u64::try_from(prompt.len()).unwrap_or(u64::MAX);
    let backend_request = BackendRequest {
        program,
        call,
        key: routes::idempotency_key(request)?,
        path: "/v1/chat/completions".into(),
        content_type: "application/json".into(),
        body: serde_json::to_vec(&value).unwrap_or_default().into(),
        repeatable: Repeatable::Yes,
        stream,
        idle_timeout: ENGINE_IDLE_TIMEOUT,
    };
    Ok(ParsedCall {
        request: backend_request,
        work,
        cost: prompt_bytes.div_ceil(RESERVED_BYTES_PER_TOKEN).saturating_add(max_tokens),
        original_body: body.into(),
        conversation: value.as_object_mut().map(std::mem::take).and_then(Conversation::parse),
        digest: digest(request, body),
        refusal,
        timeout: timeout(request)?,
    })
}

fn parse_service_call(
    server: &ApiServer,
    request: &Request,
    body: &[u8],
    name: &str,
    path: &str,
) -> Result<ParsedCall, Problem> {
    let (program, call) = program_and_call(request)?;
    let declared = server.state.declarations.get(&server.control.configuration());
    let (service, refusal) = match declared.service(&program.partner, name) {
        Ok(service) => (service.clone(), None),
        Err(problem) => (Service { repeatable: false, timeout: Duration::ZERO }, Some(problem)),
    };
    let run_once = match request.header(REPEATABLE_HEADER).map(|v| v.last().as_str()) {
        None | Some("true") => false,
        Some("false") => true,
        Some(_) => return Err(routes::malformed("Agatetrestle-Repeatable is true or false")),
    };
    let repeatable = if service.repeatable && !run_once { Repeatable::Yes } else { Repeatable::No };
    let query = request.url().query().map(|q| format!("?{q}")).unwrap_or_default();
    let work = Work::Service { service: declared.pool(&program.partner, BackendKind::Service, name) };
    let backend_request = BackendRequest {
        program,
        call,
        key: routes::idempotency_key(request)?,
        path: format!("/{path}{query}").into(),
        content_type: request.header("Content-Type").map_or("", |v| v.last().as_str()).into(),
        body: body.into(),
        repeatable,
        stream: false,
        idle_timeout: service.timeout,
    };
    Ok(ParsedCall {
        request: backend_request,
        work,
        cost: 0,
        original_body: body.into(),
        conversation: None,
        digest: digest(request, body),
        refusal,
        timeout: timeout(request)?,
    })
}

/// Digest by which the ledger detects a key that is reused for another request.
fn digest(request: &Request, body: &[u8]) -> u64 {
    let mut bytes = request.url().path().as_bytes().to_vec();
    bytes.extend(request.url().query().unwrap_or_default().as_bytes());
    bytes.push(0);
    bytes.extend(body);
    xxh3_64(&bytes)
}

fn timeout(request: &Request) -> Result<Option<Duration>, Problem> {
    match request.header(TIMEOUT_HEADER).map(|v| v.last().as_str().parse()) {
        None => Ok(None),
        Some(Ok(millis)) => Ok(Some(Duration::from_millis(millis))),
        Some(Err(_)) => Err(routes::malformed("Agatetrestle-Timeout-Ms is a whole number")),
    }
}

fn program_and_call(request: &Request) -> Result<(ProgramId, CallNumber), Problem> {
    let header = |name: &str| request.header(name).map(|v| v.last().as_str());
    let program = routes::parse_program(header(PROGRAM_HEADER))?;
    let call = header(CALL_HEADER).and_then(|text| text.parse().ok()).filter(|call| *call > 0);
    let call = call.ok_or_else(|| routes::malformed("Agatetrestle-Call is a number from 1 on"))?;
    Ok((program, CallNumber(call)))
}

/// Spawns the task of the call, which may outlive the connection, and waits for its first response part.
async fn spawn_call(
    cx: &ConnectionContext,
    parsed: ParsedCall,
    disconnected: Receiver<()>,
) -> Result<Response, Problem> {
    let (tx, rx) = channel::unbounded();
    let sender = ResponseSender { tx, streaming: Cell::new(false) };
    let server = Rc::clone(&cx.server);
    let task = async move {
        let _in_flight = InFlightGuard::new(&server);
        call_task::run(&server, &parsed, &sender, &disconnected).await;
    };
    cx.executor.spawn(task).detach();
    match rx.recv().await {
        Ok(ResponsePart::Chunk(first)) => Ok(stream_response(first, rx)),
        Ok(ResponsePart::Answer(answer)) => Ok(programs::answer_response(&answer)),
        Ok(ResponsePart::Problem(problem)) => Err(problem),
        Err(_) => Err(Problem::unknown(500, ProblemReason::Lost, "the call ended without an answer")),
    }
}

fn stream_response(first: Vec<u8>, rest: Receiver<ResponsePart>) -> Response {
    let into_bytes = |part: ResponsePart| match part {
        ResponsePart::Chunk(bytes) => bytes,
        ResponsePart::Answer(answer) => answer.body.to_vec(),
        ResponsePart::Problem(problem) => problem.stream_event(),
    };
    let first = futures::stream::iter([ResponsePart::Chunk(first)]);
    let parts = first.chain(rest).map(move |part| Ok::<_, std::io::Error>(into_bytes(part)));
    let mut response = Response::new(StatusCode::Ok);
    response.set_body(Body::from_reader(Box::pin(parts).into_async_read(), None));
    response.insert_header("Content-Type", EVENT_STREAM_MEDIA_TYPE);
    response.insert_header("Cache-Control", "no-store");
    response
}
