//! Model calls and service calls: read, checked, begun in the ledger, sent, and answered.

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
use crate::entry::Counted;
use crate::entry::carry;
use crate::entry::connection::Context;
use crate::entry::problem::Problem;
use crate::entry::problem::Reason;
use crate::entry::programs;
use crate::entry::record::Conversation;
use crate::entry::routes;
use crate::ids::CallNumber;
use crate::ids::ProgramId;
use crate::programs::command::Answer;
use crate::programs::command::Repeatable;
use crate::scheduler::event::Work;

/// Header by which a caller asks for the stricter rule.
const REPEATABLE_HEADER: &str = "Agatetrestle-Repeatable";

/// Header that bounds, in milliseconds, how long the caller wants the answer.
const TIMEOUT_HEADER: &str = "Agatetrestle-Timeout-Ms";

/// Most tokens of an answer where the caller sets no bound; something must be reserved.
const DEFAULT_MAX_TOKENS: u64 = 1024;

/// Prompt bytes that cost at least one token. Reservations rest on it, so that it errs on the side of
/// reserving too much: ordinary text has about four bytes in a token.
const RESERVED_BYTES_PER_TOKEN: u64 = 2;

/// Time without progress after which an engine's connection counts as silent.
const ENGINE_PATIENCE: Duration = Duration::from_secs(30);

const LAST_EVENT: &[u8] = b"data: [DONE]\n\n";
const EVENT_STREAM: &str = "text/event-stream";

/// A call that was read and checked.
#[derive(Clone, Debug)]
pub struct Planned {
    /// The request as it goes out.
    pub outgoing: BackendRequest,
    /// What it asks for.
    pub work: Work,
    /// The most tokens that one attempt can cost.
    pub cost: u64,
    /// The request as it came; the history keeps it whole unless it continues an earlier call.
    pub request: Arc<[u8]>,
    /// The conversation, for a model call that has one.
    pub conversation: Option<Conversation>,
    /// Digest of path and request.
    pub digest: u64,
    /// Why the call is not allowed. It is refused only after the ledger was asked, since a resend of a
    /// request that ran while it was allowed must get its answer.
    pub refusal: Option<Problem>,
    /// How long the caller wants the answer.
    pub timeout: Option<Duration>,
}

/// What the task of a call tells the connection.
#[derive(Debug)]
pub enum Part {
    /// A part of a streamed answer.
    Piece(Vec<u8>),
    /// The whole answer, stored.
    Answer(Answer),
    /// A refusal, or why a stream can't be completed.
    Problem(Problem),
}

/// Passes parts on to the connection.
pub struct Parts {
    tx: Sender<Part>,
    told: Cell<bool>,
}

impl Parts {
    /// Tells the end; a stream of which parts were told gets its last event only here.
    pub fn end(&self, result: Result<Answer, Problem>) {
        let part = match result {
            Ok(_) if self.told.get() => Part::Piece(LAST_EVENT.to_vec()),
            Ok(answer) => Part::Answer(answer),
            Err(problem) => Part::Problem(problem),
        };
        self.tx.try_send(part).ok();
        self.tx.close();
    }
}

impl Parts {
    /// Passes on a part of the answer.
    pub fn piece(&self, bytes: &[u8]) {
        self.told.set(true);
        self.tx.try_send(Part::Piece(bytes.to_vec())).ok();
    }

    /// Ends a stream that broke off: the caller is to ask again.
    pub fn broke_off(&self) {
        let detail = "the stream broke off; ask again with the same key for the whole answer";
        let problem = Problem::unknown(502, Reason::BrokeOff, detail).retry_after(programs::COMEBACK);
        self.end(Err(problem));
    }
}

/// A model call in the chat-completions form.
///
/// # Errors
///
/// Refuses what can't be understood or is not allowed.
pub async fn model(cx: &Context, mut request: Request, gone: Receiver<()>) -> Result<Response, Problem> {
    let body = request.body_bytes().await.map_err(|e| routes::malformed(e.to_string()))?;
    let planned = plan_model(&cx.entry, &request, &body)?;
    start(cx, planned, gone).await
}

/// A call to a tool service or plain service.
///
/// # Errors
///
/// Refuses what can't be understood or is not allowed.
pub async fn service(
    cx: &Context,
    mut request: Request,
    gone: Receiver<()>,
    name: &str,
    path: &str,
) -> Result<Response, Problem> {
    let body = request.body_bytes().await.map_err(|e| routes::malformed(e.to_string()))?;
    let planned = plan_service(&cx.entry, &request, &body, name, path)?;
    start(cx, planned, gone).await
}

fn plan_model(entry: &ApiServer, request: &Request, body: &[u8]) -> Result<Planned, Problem> {
    let (program, call) = named(request)?;
    let mut value: Value = serde_json::from_slice(body).map_err(|e| routes::malformed(e.to_string()))?;
    let form = value.as_object_mut().ok_or_else(|| routes::malformed("the request is no object"))?;
    let model: Arc<str> = match form.get("model") {
        Some(Value::String(model)) => model.as_str().into(),
        _ => return Err(routes::malformed("model must be text")),
    };
    let declared = entry.state.declared.of(&entry.control.configuration());
    let refusal = declared.model(&program.partner, &model).err();
    let stream = form.get("stream").and_then(Value::as_bool).unwrap_or(false);
    let asked = form.get("max_completion_tokens").or_else(|| form.get("max_tokens"));
    let max_tokens = asked.and_then(Value::as_u64).unwrap_or(DEFAULT_MAX_TOKENS);
    let prompt = serde_json::to_vec(&[form.get("tools"), form.get("messages")]).unwrap_or_default();
    form.insert("max_tokens".into(), max_tokens.into());
    if stream {
        form.insert("stream_options".into(), serde_json::json!({ "include_usage": true }));
    }
    let work = Work::Model {
        model: declared.pool(&program.partner, BackendKind::Engine, &model),
        blocks: prefix::block_hashes(&prompt),
        prompt_tokens: prefix::estimate_tokens(&prompt),
        max_tokens: u32::try_from(max_tokens).unwrap_or(u32::MAX),
    };
    let bytes = u64::try_from(prompt.len()).unwrap_or(u64::MAX);
    let outgoing = BackendRequest {
        program,
        call,
        key: routes::key(request)?,
        path: "/v1/chat/completions".into(),
        content_type: "application/json".into(),
        body: serde_json::to_vec(&value).unwrap_or_default().into(),
        repeatable: Repeatable::Yes,
        stream,
        idle_timeout: ENGINE_PATIENCE,
    };
    Ok(Planned {
        outgoing,
        work,
        cost: bytes.div_ceil(RESERVED_BYTES_PER_TOKEN).saturating_add(max_tokens),
        request: body.into(),
        conversation: value.as_object_mut().map(std::mem::take).and_then(Conversation::of),
        digest: digest(request, body),
        refusal,
        timeout: timeout(request)?,
    })
}

fn plan_service(
    entry: &ApiServer,
    request: &Request,
    body: &[u8],
    name: &str,
    path: &str,
) -> Result<Planned, Problem> {
    let (program, call) = named(request)?;
    let declared = entry.state.declared.of(&entry.control.configuration());
    let (service, refusal) = match declared.service(&program.partner, name) {
        Ok(service) => (service.clone(), None),
        Err(problem) => (Service { repeatable: false, timeout: Duration::ZERO }, Some(problem)),
    };
    let stricter = match request.header(REPEATABLE_HEADER).map(|v| v.last().as_str()) {
        None | Some("true") => false,
        Some("false") => true,
        Some(_) => return Err(routes::malformed("Agatetrestle-Repeatable is true or false")),
    };
    let repeatable = if service.repeatable && !stricter { Repeatable::Yes } else { Repeatable::No };
    let query = request.url().query().map(|q| format!("?{q}")).unwrap_or_default();
    let work = Work::Service { service: declared.pool(&program.partner, BackendKind::Service, name) };
    let outgoing = BackendRequest {
        program,
        call,
        key: routes::key(request)?,
        path: format!("/{path}{query}").into(),
        content_type: request.header("Content-Type").map_or("", |v| v.last().as_str()).into(),
        body: body.into(),
        repeatable,
        stream: false,
        idle_timeout: service.timeout,
    };
    Ok(Planned {
        outgoing,
        work,
        cost: 0,
        request: body.into(),
        conversation: None,
        digest: digest(request, body),
        refusal,
        timeout: timeout(request)?,
    })
}

/// Digest of what the caller asked, so that a key can't be used for another request.
fn digest(request: &Request, body: &[u8]) -> u64 {
    let mut identity = request.url().path().as_bytes().to_vec();
    identity.extend(request.url().query().unwrap_or_default().as_bytes());
    identity.push(0);
    identity.extend(body);
    xxh3_64(&identity)
}

fn timeout(request: &Request) -> Result<Option<Duration>, Problem> {
    match request.header(TIMEOUT_HEADER).map(|v| v.last().as_str().parse()) {
        None => Ok(None),
        Some(Ok(millis)) => Ok(Some(Duration::from_millis(millis))),
        Some(Err(_)) => Err(routes::malformed("Agatetrestle-Timeout-Ms is a whole number")),
    }
}

fn named(request: &Request) -> Result<(ProgramId, CallNumber), Problem> {
    let header = |name: &str| request.header(name).map(|v| v.last().as_str());
    let program = routes::program(header(PROGRAM_HEADER))?;
    let call = header(CALL_HEADER).and_then(|text| text.parse().ok()).filter(|call| *call > 0);
    let call = call.ok_or_else(|| routes::malformed("Agatetrestle-Call is a number from 1 on"))?;
    Ok((program, CallNumber(call)))
}

/// Starts the task of the call, which outlives the connection, and answers from what it tells.
async fn start(cx: &Context, planned: Planned, gone: Receiver<()>) -> Result<Response, Problem> {
    let (tx, rx) = channel::unbounded();
    let parts = Parts { tx, told: Cell::new(false) };
    let entry = Rc::clone(&cx.entry);
    let task = async move {
        let _counted = Counted::new(&entry);
        carry::run(&entry, &planned, &parts, &gone).await;
    };
    cx.executor.spawn(task).detach();
    match rx.recv().await {
        Ok(Part::Piece(first)) => Ok(streamed(first, rx)),
        Ok(Part::Answer(answer)) => Ok(programs::give_again(&answer)),
        Ok(Part::Problem(problem)) => Err(problem),
        Err(_) => Err(Problem::unknown(500, Reason::Lost, "the call ended without an answer")),
    }
}

fn streamed(first: Vec<u8>, rest: Receiver<Part>) -> Response {
    let bytes = |part: Part| match part {
        Part::Piece(bytes) => bytes,
        Part::Answer(answer) => answer.body.to_vec(),
        Part::Problem(problem) => problem.event(),
    };
    let first = futures::stream::iter([Part::Piece(first)]);
    let parts = first.chain(rest).map(move |part| Ok::<_, std::io::Error>(bytes(part)));
    let mut response = Response::new(StatusCode::Ok);
    response.set_body(Body::from_reader(Box::pin(parts).into_async_read(), None));
    response.insert_header("Content-Type", EVENT_STREAM);
    response.insert_header("Cache-Control", "no-store");
    response
}
