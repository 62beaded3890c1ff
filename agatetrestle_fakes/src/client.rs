//! A minimal client of the HTTP interface, with a new connection for each request.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use http_types::Body;
use http_types::Method;
use http_types::Request;
use http_types::Response;
use http_types::Url;
use serde_json::Value;
use serde_json::json;
use smol::io::AsyncReadExt;
use smol::net::TcpStream;
use snafu::Snafu;

/// Failure of a request without a usable response.
#[derive(Debug, Snafu)]
pub enum ClientError {
    /// The connection failed; nothing was sent.
    #[snafu(display("failed to connect to {address}: {source}"))]
    Connect {
        /// Address of the server.
        address: SocketAddr,
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// The connection broke or the response was not valid HTTP.
    #[snafu(display("request to {address} failed: {detail}"))]
    Exchange {
        /// Address of the server.
        address: SocketAddr,
        /// Error of the HTTP library.
        detail: http_types::Error,
    },
    /// A request path or a list of addresses is malformed.
    #[snafu(display("malformed path or address list: {text}"))]
    Malformed {
        /// The malformed text.
        text: String,
    },
}

/// Identifies a call of a program.
#[derive(Clone, Debug)]
pub struct ClientCall {
    /// Program id as `partner/name`.
    pub program: String,
    /// Number of the call.
    pub number: u32,
    /// Idempotency key.
    pub key: String,
}

/// A complete response.
#[derive(Clone, Debug)]
pub struct Reply {
    /// HTTP status code.
    pub status: u16,
    /// Value of `Content-Type`.
    pub content_type: String,
    /// Response body.
    pub body: Vec<u8>,
    /// `Retry-After` in seconds.
    pub retry_after: Option<u64>,
    /// Time from the start of the request to the first byte of the body.
    pub first_byte: Duration,
    /// Time from the start of the request to the end of the body.
    pub total: Duration,
}

impl Reply {
    /// The body as JSON, null if it is not valid JSON.
    #[must_use]
    pub fn json(&self) -> Value {
        serde_json::from_slice(&self.body).unwrap_or_default()
    }

    /// The data of each server-sent event, in order.
    #[must_use]
    pub fn events(&self) -> Vec<String> {
        let text = String::from_utf8_lossy(&self.body);
        text.lines().filter_map(|line| line.strip_prefix("data: ")).map(str::to_owned).collect()
    }

    /// The text of a chat completion, streamed or not.
    #[must_use]
    pub fn text(&self) -> String {
        if !self.content_type.starts_with("text/event-stream") {
            let completion = self.json();
            return completion["choices"][0]["message"]["content"].as_str().unwrap_or_default().to_owned();
        }
        let events = self.events();
        let values = events.iter().filter_map(|data| serde_json::from_str::<Value>(data).ok());
        values.filter_map(|v| v["choices"][0]["delta"]["content"].as_str().map(str::to_owned)).collect()
    }

    /// Whether a stream ended with its `[DONE]` event.
    #[must_use]
    pub fn is_done(&self) -> bool {
        self.events().last().is_some_and(|data| data == "[DONE]")
    }
}

/// A client of one node.
#[derive(Clone, Copy, Debug)]
pub struct Client {
    /// Address of the node.
    pub address: SocketAddr,
}

impl Client {
    /// Creates a client without connecting.
    #[must_use]
    pub fn new(address: SocketAddr) -> Self {
        Self { address }
    }

    /// Fetches the addresses to use for a program, or for a new one without `program`.
    ///
    /// # Errors
    ///
    /// Fails without a response or on malformed addresses.
    pub async fn addresses(&self, program: Option<&str>) -> Result<Vec<SocketAddr>, ClientError> {
        let query = program.map(|p| format!("?program={p}")).unwrap_or_default();
        let reply = self.get(&format!("/v1/addresses{query}")).await?;
        let list = reply.json()["addresses"].as_array().cloned().unwrap_or_default();
        let parsed: Option<Vec<SocketAddr>> =
            list.iter().map(|a| a.as_str().and_then(|text| text.parse().ok())).collect();
        parsed.ok_or_else(|| ClientError::Malformed { text: reply.json().to_string() })
    }

    /// Opens a program described by a JSON request body.
    ///
    /// # Errors
    ///
    /// Fails without an answer.
    pub async fn open(&self, key: &str, form: &Value) -> Result<Reply, ClientError> {
        let mut req = self.request(Method::Post, "/v1/programs")?;
        req.insert_header("Idempotency-Key", key);
        req.set_body(Body::from(form.clone()));
        self.send(req, |_| ()).await
    }

    /// Makes a model call; `form` is the body of a chat-completions request.
    ///
    /// # Errors
    ///
    /// Fails without a whole answer.
    pub async fn chat(&self, call: &ClientCall, form: &Value) -> Result<Reply, ClientError> {
        self.chat_with_progress(call, form, |_| ()).await
    }

    /// Makes a model call and passes each chunk of the response body to `on_chunk`.
    ///
    /// # Errors
    ///
    /// Fails without a whole answer.
    pub async fn chat_with_progress(
        &self,
        call: &ClientCall,
        form: &Value,
        on_chunk: impl FnMut(&[u8]),
    ) -> Result<Reply, ClientError> {
        let mut req = self.call(call, "/v1/chat/completions")?;
        req.set_body(Body::from(form.clone()));
        self.send(req, on_chunk).await
    }

    /// Calls a service; with `repeatable` false, the call runs at most once.
    ///
    /// # Errors
    ///
    /// Fails without a whole answer.
    pub async fn service(
        &self,
        call: &ClientCall,
        service: &str,
        path: &str,
        body: &str,
        repeatable: bool,
    ) -> Result<Reply, ClientError> {
        let mut req = self.call(call, &format!("/v1/services/{service}/{path}"))?;
        req.insert_header("Agatetrestle-Repeatable", repeatable.to_string());
        req.set_body(body);
        self.send(req, |_| ()).await
    }

    /// Fetches the stored answer to a request.
    ///
    /// # Errors
    ///
    /// Fails without a whole answer.
    pub async fn answer(&self, program: &str, key: &str) -> Result<Reply, ClientError> {
        self.get(&format!("/v1/answers?program={program}&key={key}")).await
    }

    /// Ends a program.
    ///
    /// # Errors
    ///
    /// Fails without an answer.
    pub async fn end(&self, program: &str) -> Result<Reply, ClientError> {
        let req = self.request(Method::Post, &format!("/v1/programs/end?program={program}"))?;
        self.send(req, |_| ()).await
    }

    /// Fetches a path.
    ///
    /// # Errors
    ///
    /// Fails without a whole answer.
    pub async fn get(&self, path: &str) -> Result<Reply, ClientError> {
        let req = self.request(Method::Get, path)?;
        self.send(req, |_| ()).await
    }

    /// Builds a request to a path, without headers.
    ///
    /// # Errors
    ///
    /// Fails if the path is malformed.
    pub fn request(&self, method: Method, path: &str) -> Result<Request, ClientError> {
        let url = Url::parse(&format!("http://{}{path}", self.address));
        let url = url.map_err(|e| ClientError::Malformed { text: format!("{path}: {e}") })?;
        Ok(Request::new(method, url))
    }

    fn call(&self, call: &ClientCall, path: &str) -> Result<Request, ClientError> {
        let mut req = self.request(Method::Post, path)?;
        req.insert_header("Agatetrestle-Program", call.program.as_str());
        req.insert_header("Agatetrestle-Call", call.number.to_string());
        req.insert_header("Idempotency-Key", call.key.as_str());
        Ok(req)
    }

    /// Sends a request on a new connection and reads the response.
    ///
    /// # Errors
    ///
    /// Fails without a whole answer.
    pub async fn send(&self, req: Request, mut on_chunk: impl FnMut(&[u8])) -> Result<Reply, ClientError> {
        let address = self.address;
        let started = Instant::now();
        let stream = TcpStream::connect(address).await;
        let stream = stream.map_err(|source| ClientError::Connect { address, source })?;
        stream.set_nodelay(true).ok();
        let failed = |detail| ClientError::Exchange { address, detail };
        let mut response = async_h1::connect(stream, req).await.map_err(failed)?;
        let mut body = response.take_body();
        let expected = body.len();
        let mut reply = head_of(&response);
        let mut buf = vec![0; 16 << 10];
        loop {
            let read = body.read(&mut buf).await;
            let count = read.map_err(|e| failed(e.into()))?;
            if reply.body.is_empty() {
                reply.first_byte = started.elapsed();
            }
            if count == 0 {
                break;
            }
            on_chunk(&buf[..count]);
            reply.body.extend_from_slice(&buf[..count]);
        }
        if expected.is_some_and(|expected| expected != reply.body.len()) {
            return Err(failed(http_types::Error::from_str(502, "response body truncated")));
        }
        reply.total = started.elapsed();
        Ok(reply)
    }
}

fn head_of(response: &Response) -> Reply {
    let header = |name: &str| response.header(name).map(|values| values.last().to_string());
    Reply {
        status: response.status().into(),
        content_type: header("Content-Type").unwrap_or_default(),
        body: Vec::new(),
        retry_after: header("Retry-After").and_then(|text| text.parse().ok()),
        first_byte: Duration::ZERO,
        total: Duration::ZERO,
    }
}

/// Builds the body of a streaming chat-completions request with a system prompt and one user message.
#[must_use]
pub fn chat_body(model: &str, system: &str, user: &str, max_tokens: u64) -> Value {
    let messages = json!([{ "role": "system", "content": system }, { "role": "user", "content": user }]);
    json!({ "model": model, "stream": true, "max_tokens": max_tokens, "messages": messages })
}
