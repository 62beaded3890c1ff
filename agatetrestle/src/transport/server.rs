//! HTTP/1.1 server with limits on its connections.

use std::cell::Cell;
use std::convert::Infallible;
use std::net::IpAddr;
use std::net::SocketAddrV4;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use futures::AsyncWriteExt;
use futures::future::Either;
use futures::future::LocalBoxFuture;
use futures::future::select;
use http::HeaderValue;
use http::Request;
use http::Response;
use http::StatusCode;
use http::header::CONNECTION;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use log::debug;
use log::info;
use log::warn;
use smol::LocalExecutor;
use smol::Timer;
use smol::net::TcpListener;
use smol::net::TcpStream;
use smol_hyper::rt::FuturesIo;
use smol_hyper::rt::SmolTimer;

use crate::node::peer_link::with_deadline;
use crate::transport::accept::ConnectionLimiter;
use crate::transport::body::ResponseBody;
use crate::transport::connection_state::ConnectionState;
use crate::transport::connection_state::TrackedBody;
use crate::transport::observed::ObservedStream;

/// Delay before an attempt to bind is repeated, for example while a stopping process still holds the address.
const BIND_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Interval at which a connection checks for shutdown and late request heads. Both have bounds of seconds.
const CONNECTION_CHECK_INTERVAL: Duration = Duration::from_secs(1);
/// Largest buffer for a request head, beyond which `hyper` refuses it whatever the limits are.
const MAX_HEAD_BUFFER_BYTES: usize = 16 << 20;
/// Largest request head before the limits in force are known.
pub const MAX_HEAD_BYTES_AT_START: usize = 256 << 10;
/// Time for writing the refusal of a head that is too large.
const REFUSAL_TIMEOUT: Duration = Duration::from_secs(1);
/// Refusal of a head that did not end within the limit.
const HEAD_TOO_LARGE: &[u8] =
    b"HTTP/1.1 431 Request Header Fields Too Large\r\nconnection: close\r\ncontent-length: 0\r\n\r\n";

/// Handles one request; the future is dropped if the client disconnects.
pub type Handler = Rc<dyn Fn(Request<Incoming>) -> LocalBoxFuture<'static, Response<ResponseBody>>>;

/// The IP address that a request came from, as an extension of the request.
#[derive(Clone, Copy, Debug)]
pub struct PeerAddress(pub IpAddr);

/// Limits on connections and requests. Changes apply to open connections too.
#[derive(Debug)]
pub struct ServerLimits {
    /// Largest request head in bytes.
    pub max_head_bytes: Cell<usize>,
    /// Time limit for a request head, from its first byte.
    pub head_timeout: Cell<Duration>,
    /// Time limit for a connection without a complete request head.
    pub idle_timeout: Cell<Duration>,
    /// Largest number of open connections.
    pub max_connections: Cell<usize>,
    /// Number of open connections.
    pub open_connections: Cell<usize>,
    /// Set to close each connection after its current response.
    pub shutting_down: Cell<bool>,
}

impl ServerLimits {
    /// Creates the default limits for connections from outside the deployment.
    #[must_use]
    pub fn new(connections: usize) -> Rc<Self> {
        Rc::new(Self {
            max_head_bytes: Cell::new(16 << 10),
            head_timeout: Cell::new(Duration::from_secs(3)),
            idle_timeout: Cell::new(Duration::from_secs(15)),
            max_connections: Cell::new(connections),
            open_connections: Cell::new(0),
            shutting_down: Cell::new(false),
        })
    }
}

/// Listens on an address, retrying until it can be bound.
pub async fn listen(address: SocketAddrV4) -> TcpListener {
    loop {
        match TcpListener::bind(address).await {
            Ok(listener) => {
                info!("Listening on {address}.");
                return listener;
            }
            Err(error) => {
                warn!("Failed to listen on {address}, retrying: {error}.");
                Timer::after(BIND_RETRY_DELAY).await;
            }
        }
    }
}

/// Serves connections until the task is dropped.
pub async fn serve(
    listener: TcpListener,
    handler: Handler,
    limits: Rc<ServerLimits>,
    executor: std::rc::Weak<LocalExecutor<'static>>,
) {
    let limiter = ConnectionLimiter::new("a caller");
    loop {
        let (stream, permit) = limiter.accept(&listener, || limits.max_connections.get()).await;
        let Some(executor) = executor.upgrade() else {
            return;
        };
        let (handler, limits) = (handler.clone(), limits.clone());
        let serving = async move {
            limits.open_connections.update(|open| open + 1);
            serve_connection(stream, handler, limits.clone()).await;
            limits.open_connections.update(|open| open - 1);
            drop(permit);
        };
        executor.spawn(serving).detach();
    }
}

async fn serve_connection(stream: TcpStream, handler: Handler, limits: Rc<ServerLimits>) {
    if let Err(error) = stream.set_nodelay(true) {
        debug!("Failed to set up a connection: {error}.");
        return;
    }
    let state = ConnectionState::new(limits.clone());
    let refusal_stream = stream.clone();
    let service_state = state.clone();
    let peer = stream.peer_addr().ok().map(|address| PeerAddress(address.ip()));
    let service = service_fn(move |mut request: Request<Incoming>| {
        if let Some(peer) = peer {
            request.extensions_mut().insert(peer);
        }
        let guard = service_state.begin_response();
        let is_too_large = service_state.is_too_large(&request);
        let response = if is_too_large { refuse_head() } else { handler(request) };
        async move {
            let response = response.await;
            Ok::<_, Infallible>(response.map(|body| TrackedBody { body, guard, rest: Bytes::new() }))
        }
    });
    let connection = http1::Builder::new()
        .timer(SmolTimer::new())
        // The limits of `hyper` would be those at the start of the connection.
        .header_read_timeout(None)
        .max_buf_size(MAX_HEAD_BUFFER_BYTES)
        .serve_connection(FuturesIo::new(ObservedStream { stream, observer: state.clone() }), service);
    let mut connection = pin!(connection);
    loop {
        let check = pin!(with_deadline(CONNECTION_CHECK_INTERVAL, state.endless_head()));
        match select(connection.as_mut(), check).await {
            Either::Left((outcome, _)) => {
                if let Err(error) = outcome {
                    debug!("A connection ended: {error}.");
                }
                return;
            }
            Either::Right((Some(()), _)) => {
                debug!("Closed a connection: its request head is too large.");
                with_deadline(REFUSAL_TIMEOUT, write_refusal(refusal_stream)).await;
                return;
            }
            Either::Right(_) if limits.shutting_down.get() || state.is_idle_for_too_long() => break,
            Either::Right(_) if state.head_is_late() => {
                debug!("Closed a connection: its request head did not arrive in time.");
                return;
            }
            Either::Right(_) => {}
        }
    }
    connection.as_mut().graceful_shutdown();
    if let Err(error) = connection.await {
        debug!("A connection ended: {error}.");
    }
}

fn refuse_head() -> LocalBoxFuture<'static, Response<ResponseBody>> {
    let mut response = Response::new(ResponseBody::full(""));
    *response.status_mut() = StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE;
    response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    Box::pin(async move { response })
}

async fn write_refusal(mut stream: TcpStream) {
    if let Err(error) = stream.write_all(HEAD_TOO_LARGE).await {
        debug!("A head that is too large could not be refused: {error}.");
    }
}
