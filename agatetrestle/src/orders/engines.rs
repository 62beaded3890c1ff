//! Engines as the orders see them: what they serve, and the order to load a model.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use futures::AsyncReadExt;
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

use crate::node::peer_link::within;

/// Header that carries the fencing number of an order.
pub const FENCING_TOKEN_HEADER: &str = "Agatetrestle-Fence";
/// Largest answer that is read.
const MAX_ANSWER: u64 = 1 << 20;

/// Why an engine gave no usable answer.
#[derive(Debug, Snafu)]
pub enum EngineError {
    /// No connection could be made.
    #[snafu(display("no connection: {source}"))]
    Connect {
        /// What the operating system said.
        source: std::io::Error,
    },
    /// The exchange broke off or was malformed.
    #[snafu(display("no answer: {detail}"))]
    Exchange {
        /// What the library said; its error type is no standard one.
        detail: Arc<str>,
    },
    /// The engine answered with an error, for an order perhaps because of its fencing number.
    #[snafu(display("answered with status {status}"))]
    Status {
        /// The HTTP status.
        status: u16,
    },
    /// There was no answer in time.
    #[snafu(display("no answer in time"))]
    Timeout,
}

/// The engines at the border of this slice.
pub trait EngineAdmin {
    /// The model that an engine serves, if any.
    fn served_model(&self, engine: SocketAddr) -> LocalBoxFuture<'_, Result<Option<Arc<str>>, EngineError>>;

    /// Orders an engine to load a model. Loading what is loaded changes nothing.
    fn load(
        &self,
        engine: SocketAddr,
        model: Arc<str>,
        fence: u64,
    ) -> LocalBoxFuture<'_, Result<(), EngineError>>;
}

/// Engines over HTTP: the models list of the chat-completions interface, and `POST /admin/models`.
#[derive(Clone, Copy, Debug)]
pub struct HttpEngineAdmin {
    /// Bound on one exchange.
    pub timeout: Duration,
}

#[derive(Deserialize)]
struct Models {
    data: Vec<Model>,
}

#[derive(Deserialize)]
struct Model {
    id: Arc<str>,
}

#[derive(Serialize)]
struct Load<'a> {
    model: &'a str,
}

impl HttpEngineAdmin {
    async fn exchange(&self, engine: SocketAddr, request: Request) -> Result<Vec<u8>, EngineError> {
        within(self.timeout, exchange(engine, request)).await.unwrap_or(TimeoutSnafu.fail())
    }
}

impl EngineAdmin for HttpEngineAdmin {
    fn served_model(&self, engine: SocketAddr) -> LocalBoxFuture<'_, Result<Option<Arc<str>>, EngineError>> {
        Box::pin(async move {
            let request = request(Method::Get, engine, "/v1/models")?;
            let bytes = self.exchange(engine, request).await?;
            let models: Models = serde_json::from_slice(&bytes).map_err(|failure| unusable(&failure))?;
            Ok(models.data.into_iter().next().map(|model| model.id))
        })
    }

    fn load(
        &self,
        engine: SocketAddr,
        model: Arc<str>,
        fence: u64,
    ) -> LocalBoxFuture<'_, Result<(), EngineError>> {
        Box::pin(async move {
            let mut request = request(Method::Post, engine, "/admin/models")?;
            request.insert_header(FENCING_TOKEN_HEADER, fence.to_string());
            request.set_body(Body::from_json(&Load { model: &model }).map_err(|failure| unusable(&failure))?);
            self.exchange(engine, request).await.map(|_| ())
        })
    }
}

fn request(method: Method, engine: SocketAddr, path: &str) -> Result<Request, EngineError> {
    let url = Url::parse(&format!("http://{engine}{path}")).map_err(|failure| unusable(&failure))?;
    Ok(Request::new(method, url))
}

async fn exchange(engine: SocketAddr, request: Request) -> Result<Vec<u8>, EngineError> {
    let stream = TcpStream::connect(engine).await.context(ConnectSnafu)?;
    let mut response: Response =
        async_h1::connect(stream, request).await.map_err(|failure| unusable(&failure))?;
    ensure!(response.status().is_success(), StatusSnafu { status: u16::from(response.status()) });
    let mut bytes = Vec::new();
    let body = response.take_body();
    body.take(MAX_ANSWER).read_to_end(&mut bytes).await.map_err(|failure| unusable(&failure))?;
    Ok(bytes)
}

fn unusable(failure: &dyn std::fmt::Display) -> EngineError {
    EngineError::Exchange { detail: failure.to_string().into() }
}
