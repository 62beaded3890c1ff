//! A fake inference engine: chat completions, streamed or not, with a simulated prefix cache.

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
use smol::Task;
use smol::channel;
use smol::channel::Receiver;
use smol::channel::Sender;
use smol::future::yield_now;

use crate::cache::CACHE_BLOCK_TOKENS;
use crate::cache::Cache;
use crate::server;
use crate::server::Framing;
use crate::server::HttpServer;
use crate::server::header;

const BYTES_PER_TOKEN: usize = 4;

/// Configuration of a fake engine.
#[derive(Clone, Debug)]
pub struct EngineConfig {
    /// Listening port; 0 lets the operating system choose one.
    pub port: u16,
    /// Tokens in each answer, unless the request allows fewer.
    pub output_tokens: u64,
    /// Delay before the first token.
    pub first_token_delay: Duration,
    /// Delay before each further token.
    pub token_delay: Duration,
    /// Capacity of the prefix cache in blocks of 64 tokens.
    pub cache_blocks: usize,
    /// If set, each token waits for a message on this channel; closing it lets all pass.
    pub gate: Option<Receiver<()>>,
    /// Number of tokens after which streams chosen by [`Engine::break_next`] break off.
    pub break_after: u64,
    /// How responses end.
    pub framing: Framing,
    /// Text that ends the engine if a prompt holds it. The engine then starts again at its address, with an empty cache.
    pub fatal_text: Option<String>,
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
            framing: Framing::default(),
            fatal_text: None,
        }
    }
}

/// A chat request that the engine received.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct ReceivedRequest {
    /// Program of the call, from its header.
    pub program: String,
    /// Number of the call.
    pub call: String,
    /// Idempotency key.
    pub key: String,
    /// Scheduling priority, higher first.
    pub priority: String,
    /// Tokens in the prompt.
    pub prompt_tokens: u64,
    /// Prompt tokens found in the cache.
    pub cached_tokens: u64,
}

#[derive(Debug)]
struct EngineState {
    config: EngineConfig,
    requests: RefCell<Vec<ReceivedRequest>>,
    running: Cell<u32>,
    cancelled: Cell<u32>,
    pending_breaks: Cell<u32>,
    pending_refusals: Cell<u32>,
    cache: RefCell<Cache>,
    cache_orders: RefCell<Vec<(String, String)>>,
    order_tx: Sender<()>,
    order_rx: Receiver<()>,
    restarts: Cell<u32>,
    end_tx: Sender<()>,
}

/// A running fake engine.
#[derive(Debug)]
pub struct Engine {
    /// Listening address.
    pub address: SocketAddr,
    state: Rc<EngineState>,
    _supervisor: Task<()>,
}

struct PlannedAnswer {
    id: String,
    tokens: u64,
    prompt_tokens: u64,
    cached_tokens: u64,
    breaks: bool,
}

impl Engine {
    /// Starts an engine.
    ///
    /// # Errors
    ///
    /// Fails if no port can be bound.
    pub async fn start(executor: &Rc<LocalExecutor<'static>>, config: EngineConfig) -> io::Result<Self> {
        let (port, framing) = (config.port, config.framing);
        let (order_tx, order_rx) = channel::unbounded();
        let (end_tx, end_rx) = channel::unbounded();
        let state = Rc::new(EngineState {
            config,
            requests: RefCell::default(),
            running: Cell::new(0),
            cancelled: Cell::new(0),
            pending_breaks: Cell::new(0),
            pending_refusals: Cell::new(0),
            cache: RefCell::default(),
            cache_orders: RefCell::default(),
            order_tx,
            order_rx,
            restarts: Cell::default(),
            end_tx,
        });
        let server = serve(executor, port, framing, &state).await?;
        let address = server.address;
        let (spawner, shared) = (Rc::clone(executor), Rc::clone(&state));
        let supervise = async move {
            let mut running = Some(server);
            while end_rx.recv().await.is_ok() {
                running.take();
                shared.cache.take();
                shared.restarts.set(shared.restarts.get() + 1);
                while running.is_none() {
                    running = serve(&spawner, address.port(), framing, &shared).await.ok();
                    yield_now().await;
                }
            }
        };
        Ok(Self { address, state, _supervisor: executor.spawn(supervise) })
    }

    /// How often the engine ended under a request and started again.
    #[must_use]
    pub fn restarts(&self) -> u32 {
        self.state.restarts.get()
    }

    /// Closes the listener and all connections.
    pub fn stop(self) {
        drop(self);
    }

    /// The chat requests received, in order of arrival.
    #[must_use]
    pub fn requests(&self) -> Vec<ReceivedRequest> {
        self.state.requests.borrow().clone()
    }

    /// Number of streams that ended because the client closed the connection.
    #[must_use]
    pub fn cancelled(&self) -> u32 {
        self.state.cancelled.get()
    }

    /// Number of requests being answered.
    #[must_use]
    pub fn running(&self) -> u32 {
        self.state.running.get()
    }

    /// The cache orders received, as program and order.
    #[must_use]
    pub fn cache_orders(&self) -> Vec<(String, String)> {
        self.state.cache_orders.borrow().clone()
    }

    /// Waits for the next cache order.
    pub async fn wait_for_cache_order(&self) {
        self.state.order_rx.recv().await.ok();
    }

    /// Number of blocks in the prefix cache.
    #[must_use]
    pub fn cached_blocks(&self) -> usize {
        self.state.cache.borrow().len()
    }

    /// Breaks off the next `count` streams after [`EngineConfig::break_after`] tokens.
    pub fn break_next(&self, count: u32) {
        self.state.pending_breaks.set(count);
    }

    /// Answers the next `count` requests with status 503.
    pub fn refuse_next(&self, count: u32) {
        self.state.pending_refusals.set(count);
    }
}

async fn serve(
    executor: &Rc<LocalExecutor<'static>>,
    port: u16,
    framing: Framing,
    state: &Rc<EngineState>,
) -> io::Result<HttpServer> {
    let (spawner, state) = (Rc::clone(executor), Rc::clone(state));
    let answer = move |req| answer(Rc::clone(&state), Rc::clone(&spawner), req);
    server::serve_framed(executor, port, framing, answer).await
}

async fn answer(
    state: Rc<EngineState>,
    executor: Rc<LocalExecutor<'static>>,
    mut request: Request,
) -> http_types::Result<Response> {
    match request.url().path() {
        "/v1/chat/completions" => {}
        "/admin/report" => return Ok(report(&state, &request)),
        "/admin/cache" => {
            let form: Value = request.body_json().await?;
            return Ok(handle_cache_order(&state, &form));
        }
        "/admin/requests" => return Ok(server::json(StatusCode::Ok, &*state.requests.borrow())),
        _ => return Ok(Response::new(StatusCode::NotFound)),
    }
    let form: Value = request.body_json().await?;
    if take_pending(&state.pending_refusals) {
        return Ok(Response::new(StatusCode::ServiceUnavailable));
    }
    let answer = plan_answer(&state, &request, &form);
    if state.config.fatal_text.as_ref().is_some_and(|text| form["messages"].to_string().contains(text)) {
        state.end_tx.try_send(()).ok();
        // Until the supervisor closes the connection.
        std::future::pending::<()>().await;
    }
    state.running.set(state.running.get() + 1);
    if form["stream"].as_bool().unwrap_or(false) {
        return Ok(stream(state, &executor, answer));
    }
    let text = collect_tokens(&state, &answer).await;
    state.running.set(state.running.get() - 1);
    let message = json!({ "role": "assistant", "content": text });
    let choice = json!({ "index": 0, "message": message, "finish_reason": "stop" });
    let reply = json!({ "id": answer.id, "choices": [choice], "usage": answer.usage() });
    Ok(server::json(StatusCode::Ok, &reply))
}

fn report(state: &EngineState, request: &Request) -> Response {
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

fn handle_cache_order(state: &EngineState, form: &Value) -> Response {
    let (program, order) = (form["program"].as_str(), form["order"].as_str());
    let (Some(program), Some(order)) = (program, order) else {
        return Response::new(StatusCode::BadRequest);
    };
    let known = state.cache.borrow_mut().order(program, order);
    state.cache_orders.borrow_mut().push((program.to_owned(), order.to_owned()));
    state.order_tx.try_send(()).ok();
    Response::new(if known { StatusCode::NoContent } else { StatusCode::BadRequest })
}

fn take_pending(count: &Cell<u32>) -> bool {
    let left = count.get();
    count.set(left.saturating_sub(1));
    left > 0
}

fn plan_answer(state: &EngineState, request: &Request, form: &Value) -> PlannedAnswer {
    let prompt = serde_json::to_vec(&[form.get("tools"), form.get("messages")]).unwrap_or_default();
    let program = header(request, "Agatetrestle-Program");
    let hits = state.cache.borrow_mut().insert_prompt(&program, &prompt, state.config.cache_blocks);
    let count = |value: usize| u64::try_from(value).unwrap_or(u64::MAX);
    let received = ReceivedRequest {
        program,
        call: header(request, "Agatetrestle-Call"),
        key: header(request, "Idempotency-Key"),
        priority: header(request, "Agatetrestle-Priority"),
        prompt_tokens: count(prompt.len().div_ceil(BYTES_PER_TOKEN)),
        cached_tokens: count(hits * CACHE_BLOCK_TOKENS),
    };
    let answer = PlannedAnswer {
        id: format!("{}#{}", received.program, received.call),
        tokens: state.config.output_tokens.min(form["max_tokens"].as_u64().unwrap_or(u64::MAX)),
        prompt_tokens: received.prompt_tokens,
        cached_tokens: received.cached_tokens,
        breaks: take_pending(&state.pending_breaks),
    };
    state.requests.borrow_mut().push(received);
    answer
}

impl PlannedAnswer {
    /// Includes the call in each token, so that tests detect mixed-up answers.
    fn token(&self, number: u64) -> String {
        format!("{}:{number} ", self.id)
    }

    fn usage(&self) -> Value {
        json!({
            "prompt_tokens": self.prompt_tokens,
            "completion_tokens": self.tokens,
            "total_tokens": self.prompt_tokens + self.tokens,
            "prompt_tokens_details": { "cached_tokens": self.cached_tokens },
        })
    }
}

async fn wait_for_token(state: &EngineState, number: u64) {
    if let Some(gate) = &state.config.gate {
        gate.recv().await.ok();
    }
    let delay = if number == 0 { state.config.first_token_delay } else { state.config.token_delay };
    server::sleep(delay).await;
}

async fn collect_tokens(state: &EngineState, answer: &PlannedAnswer) -> String {
    let mut text = String::new();
    for number in 0..answer.tokens {
        wait_for_token(state, number).await;
        text.push_str(&answer.token(number));
    }
    text
}

fn stream(state: Rc<EngineState>, executor: &LocalExecutor<'static>, answer: PlannedAnswer) -> Response {
    let (tx, rx) = channel::bounded(1);
    executor
        .spawn(async move {
            let sent = generate(&state, &answer, &tx).await;
            state.running.set(state.running.get() - 1);
            if sent.is_none() {
                state.cancelled.set(state.cancelled.get() + 1);
            }
        })
        .detach();
    let mut response = Response::new(StatusCode::Ok);
    let reader = Box::pin(rx).map(|chunk: io::Result<Vec<u8>>| chunk).into_async_read();
    response.set_body(Body::from_reader(reader, None));
    response.insert_header("Content-Type", "text/event-stream");
    response
}

/// Sends the events of a stream; returns `None` if the client closed the connection.
async fn generate(
    state: &EngineState,
    answer: &PlannedAnswer,
    tx: &Sender<io::Result<Vec<u8>>>,
) -> Option<()> {
    for number in 0..answer.tokens {
        wait_for_token(state, number).await;
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
