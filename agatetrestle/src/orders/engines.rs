//! Client of the engines' admin interface.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use futures::future::LocalBoxFuture;
use http_types::Body;
use http_types::Method;
use http_types::Request;
use http_types::Response;
use http_types::Url;
use serde::Deserialize;
use serde::Serialize;
use smol::net::TcpStream;
use snafu::ResultExt;
use snafu::Snafu;
use snafu::ensure;

use crate::node::peer_link::with_deadline;
use crate::transport::body_end::read_decoded_body;

/// Header that carries the fencing token of an order.
pub const FENCING_TOKEN_HEADER: &str = "Agatetrestle-Fence";
/// Response bodies are truncated to this size.
const MAX_RESPONSE_BYTES: u64 = 1 << 20;

/// Why a request to an engine failed.
#[derive(Debug, Snafu)]
pub enum EngineError {
    /// The connection failed.
    #[snafu(display("connection failed: {source}"))]
    Connect {
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// The connection broke, or a message was malformed.
    #[snafu(display("HTTP exchange failed: {detail}"))]
    Exchange {
        /// Message of the library's error, whose type does not implement [`std::error::Error`].
        detail: Arc<str>,
    },
    /// The engine responded with an error, such as the rejection of an outdated fencing token.
    #[snafu(display("engine responded with status {status}"))]
    Status {
        /// The HTTP status.
        status: u16,
    },
    /// The exchange timed out.
    #[snafu(display("timed out"))]
    Timeout,
}

/// Admin interface of engines.
pub trait EngineAdmin {
    /// Returns the model that an engine serves, if any.
    fn served_model(&self, engine: SocketAddr) -> LocalBoxFuture<'_, Result<Option<Arc<str>>, EngineError>>;

    /// Orders an engine to load a model. Idempotent.
    fn load(
        &self,
        engine: SocketAddr,
        model: Arc<str>,
        fencing_token: u64,
    ) -> LocalBoxFuture<'_, Result<(), EngineError>>;
}

/// Admin interface over HTTP: `GET /v1/models` of the chat-completions API, and `POST /admin/models`.
#[derive(Clone, Copy, Debug)]
pub struct HttpEngineAdmin {
    /// Timeout of one exchange.
    pub timeout: Duration,
}

#[derive(Deserialize)]
struct ModelList {
    data: Vec<ModelEntry>,
}

#[derive(Deserialize)]
struct ModelEntry {
    id: Arc<str>,
}

#[derive(Serialize)]
struct LoadRequest<'a> {
    model: &'a str,
}

impl HttpEngineAdmin {
    async fn exchange(&self, engine: SocketAddr, request: Request) -> Result<Vec<u8>, EngineError> {
        with_deadline(self.timeout, exchange(engine, request)).await.unwrap_or(TimeoutSnafu.fail())
    }
}

impl EngineAdmin for HttpEngineAdmin {
    fn served_model(&self, engine: SocketAddr) -> LocalBoxFuture<'_, Result<Option<Arc<str>>, EngineError>> {
        Box::pin(async move {
            let request = request(Method::Get, engine, "/v1/models")?;
            let bytes = self.exchange(engine, request).await?;
            let models: ModelList = serde_json::from_slice(&bytes).map_err(|error| exchange_error(&error))?;
            Ok(models.data.into_iter().next().map(|model| model.id))
        })
    }

    fn load(
        &self,
        engine: SocketAddr,
        model: Arc<str>,
        fencing_token: u64,
    ) -> LocalBoxFuture<'_, Result<(), EngineError>> {
        Box::pin(async move {
            let mut request = request(Method::Post, engine, "/admin/models")?;
            request.insert_header(FENCING_TOKEN_HEADER, fencing_token.to_string());
            request.set_body(
                Body::from_json(&LoadRequest { model: &model }).map_err(|error| exchange_error(&error))?,
            );
            self.exchange(engine, request).await.map(|_| ())
        })
    }
}

fn request(method: Method, engine: SocketAddr, path: &str) -> Result<Request, EngineError> {
    let url = Url::parse(&format!("http://{engine}{path}")).map_err(|error| exchange_error(&error))?;
    Ok(Request::new(method, url))
}

async fn exchange(engine: SocketAddr, request: Request) -> Result<Vec<u8>, EngineError> {
    let stream = TcpStream::connect(engine).await.context(ConnectSnafu)?;
    let mut response: Response =
        async_h1::connect(stream, request).await.map_err(|error| exchange_error(&error))?;
    ensure!(response.status().is_success(), StatusSnafu { status: u16::from(response.status()) });
    read_decoded_body(&mut response, MAX_RESPONSE_BYTES).await.map_err(|error| exchange_error(&error))
}

fn exchange_error(error: &dyn std::fmt::Display) -> EngineError {
    EngineError::Exchange { detail: error.to_string().into() }
}
