//! A model engine: chat completions, streamed or whole, with a prefix cache that it counts.

use std::cell::Cell;
use std::cell::RefCell;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use futures::StreamExt;
use futures::TryStreamExt;
use http_types::Body;
use http_types::Request;
use http_types::Response;
use http_types::StatusCode;
use serde::Serialize;
use serde_json::Value;
use serde_json::json;
use smol::LocalExecutor;
use smol::channel;
use smol::channel::Receiver;
use smol::channel::Sender;

use crate::cache::BLOCK_TOKENS;
use crate::cache::Cache;
use crate::server;
use crate::server::Server;
use crate::server::header;

const BYTES_PER_TOKEN: usize = 4;

/// How the engine behaves.
#[derive(Clone, Debug)]
pub struct EngineConfig {
    /// Port it listens on, 0 for one that the operating system chooses.
    pub port: u16,
    /// Tokens of each answer, unless the request allows fewer.
    pub output_tokens: u64,
    /// Time before the first token.
    pub first_token_delay: Duration,
    /// Time before each further token.
    pub token_delay: Duration,
    /// Blocks of 64 tokens that the prefix cache holds.
    pub cache_blocks: usize,
    /// Each token waits for a permit from here, where it is set; a closed channel lets all pass.
    pub gate: Option<Receiver<()>>,
    /// The connection breaks after so many tokens, where it is set, as often as [`Engine::break_next`] says.
    pub break_after: u64,
}

impl Default for EngineConfig {
    fn default() -> Self {
        Self {
            port: 0,
            output_tokens: 16,
            first_token_delay: Duration::ZERO,
            token_delay: Duration::ZERO,
            cache_blocks: 4096,
            gate: None,
            break_after: 2,
        }
    }
}

/// One request as the engine saw it.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct ReceivedRequest {
    /// Program of the call.
    pub program: String,
    /// Number of the call.
    pub call: String,
    /// Key of the request.
    pub key: String,
    /// Priority, higher first.
    pub priority: String,
    /// Tokens of the prompt.
    pub prompt_tokens: u64,
    /// Those that were cached.
    pub cached_tokens: u64,
}

#[derive(Debug)]
struct State {
    config: EngineConfig,
    requests: RefCell<Vec<ReceivedRequest>>,
    running: Cell<u32>,
    cancelled: Cell<u32>,
    breaks: Cell<u32>,
    refusals: Cell<u32>,
    cache: RefCell<Cache>,
    orders: RefCell<Vec<(String, String)>>,
    ordered: Sender<()>,
    orders_seen: Receiver<()>,
}

/// A running engine.
#[derive(Debug)]
pub struct Engine {
    /// Where it listens.
    pub address: SocketAddr,
    state: Rc<State>,
    _server: Server,
}

struct Answer {
    id: String,
    tokens: u64,
    prompt: u64,
    cached: u64,
    breaks: bool,
}

impl Engine {
    /// Starts an engine.
    ///
    /// # Errors
    ///
    /// Fails if no port can be bound.
    pub async fn start(executor: &Rc<LocalExecutor<'static>>, config: EngineConfig) -> io::Result<Self> {
        let port = config.port;
        let (ordered, orders_seen) = channel::unbounded();
        let state = Rc::new(State {
            config,
            requests: RefCell::default(),
            running: Cell::new(0),
            cancelled: Cell::new(0),
            breaks: Cell::new(0),
            refusals: Cell::new(0),
            cache: RefCell::default(),
            orders: RefCell::default(),
            ordered,
            orders_seen,
        });
        let shared = Rc::clone(&state);
        let spawner = Rc::clone(executor);
        let answer = move |req| answer(Rc::clone(&shared), Rc::clone(&spawner), req);
        let server = server::serve(executor, port, answer).await?;
        Ok(Self { address: server.address, state, _server: server })
    }

    /// Stops it: the listener and all connections close.
    pub fn stop(self) {
        drop(self);
    }

    /// The requests it saw, in order of arrival.
    #[must_use]
    pub fn requests(&self) -> Vec<ReceivedRequest> {
        self.state.requests.borrow().clone()
    }

    /// Streams that ended because the other side closed the connection.
    #[must_use]
    pub fn cancelled(&self) -> u32 {
        self.state.cancelled.get()
    }

    /// Requests being answered.
    #[must_use]
    pub fn running(&self) -> u32 {
        self.state.running.get()
    }

    /// The orders about its cache, as program and order.
    #[must_use]
    pub fn cache_orders(&self) -> Vec<(String, String)> {
        self.state.orders.borrow().clone()
    }

    /// Waits until a further order has come.
    pub async fn wait_for_cache_order(&self) {
        self.state.orders_seen.recv().await.ok();
    }

    /// Blocks that its cache holds.
    #[must_use]
    pub fn cached_blocks(&self) -> usize {
        self.state.cache.borrow().len()
    }

    /// Lets the next `count` streams break off.
    pub fn break_next(&self, count: u32) {
        self.state.breaks.set(count);
    }

    /// Refuses the next `count` requests before they start.
    pub fn refuse_next(&self, count: u32) {
        self.state.refusals.set(count);
    }
}

async fn answer(
    state: Rc<State>,
    executor: Rc<LocalExecutor<'static>>,
    mut request: Request,
) -> http_types::Result<Response> {
    match request.url().path() {
        "/v1/chat/completions" => {}
        "/admin/report" => return Ok(report(&state, &request)),
        "/admin/cache" => {
            let form: Value = request.body_json().await?;
            return Ok(order(&state, &form));
        }
        "/admin/requests" => return Ok(server::json(StatusCode::Ok, &*state.requests.borrow())),
        _ => return Ok(Response::new(StatusCode::NotFound)),
    }
    let form: Value = request.body_json().await?;
    if take_one(&state.refusals) {
        return Ok(Response::new(StatusCode::ServiceUnavailable));
    }
    let answer = plan(&state, &request, &form);
    state.running.set(state.running.get() + 1);
    if form["stream"].as_bool().unwrap_or(false) {
        return Ok(stream(state, &executor, answer));
    }
    let text = whole(&state, &answer).await;
    state.running.set(state.running.get() - 1);
    let message = json!({ "role": "assistant", "content": text });
    let choice = json!({ "index": 0, "message": message, "finish_reason": "stop" });
    let reply = json!({ "id": answer.id, "choices": [choice], "usage": answer.usage() });
    Ok(server::json(StatusCode::Ok, &reply))
}

fn report(state: &State, request: &Request) -> Response {
    let after = request.url().query_pairs().find(|(name, _)| name == "after");
    let after = after.and_then(|(_, value)| value.parse().ok()).unwrap_or(0);
    let (position, changes) = state.cache.borrow().changes(after);
    let report = json!({
        "running": state.running.get(),
        "waiting": 0,
        "age_ms": 0,
        "position": position,
        "changes": changes,
    });
    server::json(StatusCode::Ok, &report)
}

fn order(state: &State, form: &Value) -> Response {
    let (program, order) = (form["program"].as_str(), form["order"].as_str());
    let (Some(program), Some(order)) = (program, order) else {
        return Response::new(StatusCode::BadRequest);
    };
    let known = state.cache.borrow_mut().order(program, order);
    state.orders.borrow_mut().push((program.to_owned(), order.to_owned()));
    state.ordered.try_send(()).ok();
    Response::new(if known { StatusCode::NoContent } else { StatusCode::BadRequest })
}

fn take_one(count: &Cell<u32>) -> bool {
    let left = count.get();
    count.set(left.saturating_sub(1));
    left > 0
}

fn plan(state: &State, request: &Request, form: &Value) -> Answer {
    let prompt = serde_json::to_vec(&[form.get("tools"), form.get("messages")]).unwrap_or_default();
    let program = header(request, "Agatetrestle-Program");
    let found = state.cache.borrow_mut().visit(&program, &prompt, state.config.cache_blocks);
    let count = |value: usize| u64::try_from(value).unwrap_or(u64::MAX);
    let seen = ReceivedRequest {
        program,
        call: header(request, "Agatetrestle-Call"),
        key: header(request, "Idempotency-Key"),
        priority: header(request, "Agatetrestle-Priority"),
        prompt_tokens: count(prompt.len().div_ceil(BYTES_PER_TOKEN)),
        cached_tokens: count(found * BLOCK_TOKENS),
    };
    let answer = Answer {
        id: format!("{}#{}", seen.program, seen.call),
        tokens: state.config.output_tokens.min(form["max_tokens"].as_u64().unwrap_or(u64::MAX)),
        prompt: seen.prompt_tokens,
        cached: seen.cached_tokens,
        breaks: take_one(&state.breaks),
    };
    state.requests.borrow_mut().push(seen);
    answer
}

impl Answer {
    /// Each token names the call, so that a crossed answer shows.
    fn token(&self, number: u64) -> String {
        format!("{}:{number} ", self.id)
    }

    fn usage(&self) -> Value {
        json!({
            "prompt_tokens": self.prompt,
            "completion_tokens": self.tokens,
            "total_tokens": self.prompt + self.tokens,
            "prompt_tokens_details": { "cached_tokens": self.cached },
        })
    }
}

async fn pace(state: &State, number: u64) {
    if let Some(gate) = &state.config.gate {
        gate.recv().await.ok();
    }
    let span = if number == 0 { state.config.first_token_delay } else { state.config.token_delay };
    server::pause(span).await;
}

async fn whole(state: &State, answer: &Answer) -> String {
    let mut text = String::new();
    for number in 0..answer.tokens {
        pace(state, number).await;
        text.push_str(&answer.token(number));
    }
    text
}

fn stream(state: Rc<State>, executor: &LocalExecutor<'static>, answer: Answer) -> Response {
    let (tx, rx) = channel::bounded(1);
    executor
        .spawn(async move {
            let done = generate(&state, &answer, &tx).await;
            state.running.set(state.running.get() - 1);
            if done.is_none() {
                state.cancelled.set(state.cancelled.get() + 1);
            }
        })
        .detach();
    let mut response = Response::new(StatusCode::Ok);
    let reader = Box::pin(rx).map(|piece: io::Result<Vec<u8>>| piece).into_async_read();
    response.set_body(Body::from_reader(reader, None));
    response.insert_header("Content-Type", "text/event-stream");
    response
}

/// Sends the events; none where the other side is gone.
async fn generate(state: &State, answer: &Answer, tx: &Sender<io::Result<Vec<u8>>>) -> Option<()> {
    for number in 0..answer.tokens {
        pace(state, number).await;
        if answer.breaks && number >= state.config.break_after {
            tx.send(Err(io::ErrorKind::ConnectionReset.into())).await.ok();
            return Some(());
        }
        let delta = json!({ "content": answer.token(number) });
        let choice = json!({ "index": 0, "delta": delta, "finish_reason": null });
        send(tx, &json!({ "id": answer.id, "choices": [choice] })).await?;
    }
    send(tx, &json!({ "id": answer.id, "choices": [], "usage": answer.usage() })).await?;
    tx.send(Ok(b"data: [DONE]\n\n".to_vec())).await.ok()
}

async fn send(tx: &Sender<io::Result<Vec<u8>>>, value: &Value) -> Option<()> {
    tx.send(Ok(format!("data: {value}\n\n").into_bytes())).await.ok()
}
