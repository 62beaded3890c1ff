//! HTTP client with a pool of connections to each server.
//!
//! A connection carries one request at a time. Dropping it closes it, which cancels a request, and it returns to the
//! pool only after a response that was read to its end.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::net::SocketAddrV4;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures::AsyncRead;
use futures::AsyncWrite;
use http::HeaderMap;
use http::Request;
use http::Response;
use http::header::CONNECTION;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper::client::conn::http1::SendRequest;
use log::debug;
use smol::Async;
use smol::LocalExecutor;
use smol::Task;
use smol::net::TcpStream;
use smol_hyper::rt::FuturesIo;
use snafu::Snafu;

use crate::clock::Clock;
use crate::clock::Timestamp;
use crate::node::peer_link::with_deadline;
use crate::transport::body_end::BodyEnd;
use crate::transport::counted::CountedStream;
use crate::transport::counted::ReadLimit;
use crate::transport::counted::WriteCounter;

/// Servers in other failure domains are 1.5 ms away and take 1 ms to accept. Shorter than the one second after which a lost
/// SYN is retransmitted.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// Longest idle time of a connection for a request that must not be sent twice: the server may have closed it, or it may
/// have gone silent, and what was sent on it can't be sent again. Also the idle timeout for servers that announce none.
pub const RECENT_IDLE_LIMIT: Duration = Duration::from_millis(1_500);
/// Share of the announced keep-alive timeout for which a connection is pooled. The server starts to count earlier, and a
/// request must not race with its close.
const KEEP_ALIVE_PERCENT: u32 = 60;
/// Upper bound on the idle timeout that a server announces. Each idle connection takes memory here and one of the
/// connections that the server accepts.
const MAX_IDLE_TIMEOUT: Duration = Duration::from_secs(10);
const MAX_IDLE_PER_SERVER: usize = 6;
const MAX_RESPONSE_HEAD_BYTES: usize = 64 << 10;
/// Limit of all that a server sends up to the end of a response head, interim responses included.
const MAX_BYTES_BEFORE_RESPONSE: usize = 2 * MAX_RESPONSE_HEAD_BYTES;
/// Limit of all that a server sends as one body with its chunk sizes, extensions and trailers.
const MAX_BYTES_OF_RESPONSE: usize = 32 << 20;

/// Why a request has no response.
#[derive(Debug, Snafu)]
pub enum SendError {
    /// Nothing was sent.
    #[snafu(display("can't connect: {reason}"))]
    Connect {
        /// Cause of the failure.
        reason: String,
    },
    /// The request was sent, at least in part, so it may have run.
    #[snafu(display("no answer: {source}"))]
    NoResponse {
        /// Error of the HTTP library.
        source: hyper::Error,
    },
    /// The request was sent, and the server sent more than [`MAX_BYTES_BEFORE_RESPONSE`] without a response.
    #[snafu(display("the server sent too much before a response"))]
    Endless,
}

/// An open connection with the task that reads and writes it.
struct Connection {
    sender: SendRequest<Full<Bytes>>,
    driver: Option<Task<()>>,
    written: WriteCounter,
    read_limit: Rc<ReadLimit>,
    /// The socket, to look for its end; `None` for streams that are no sockets.
    socket: Option<TcpStream>,
}

struct IdleConnection {
    connection: Connection,
    idle_since: Timestamp,
    expires_at: Timestamp,
}

/// Which idle connections a request may use.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ReusePolicy {
    /// None.
    Never,
    /// Only recently used ones that the server has not closed, for requests that must not be sent twice.
    RecentOnly,
    /// All that have not expired.
    Any,
}

/// A connection that is reserved for one request.
pub struct PooledConnection {
    connection: Connection,
    address: SocketAddrV4,
    /// Whether the connection was idle in the pool before.
    pub reused: bool,
}

/// HTTP/1.1 client that pools connections by server address.
pub struct HttpClient {
    idle: RefCell<HashMap<SocketAddrV4, Vec<IdleConnection>>>,
    executor: std::rc::Weak<LocalExecutor<'static>>,
    clock: Clock,
    opened: Cell<u64>,
}

impl HttpClient {
    /// Creates a client without connections.
    #[must_use]
    pub fn new(executor: &Rc<LocalExecutor<'static>>, clock: Clock) -> Rc<Self> {
        let idle = RefCell::default();
        Rc::new(Self { idle, executor: Rc::downgrade(executor), clock, opened: Cell::new(0) })
    }

    /// Returns the number of connections opened so far.
    #[must_use]
    pub fn connections_opened(&self) -> u64 {
        self.opened.get()
    }

    /// Returns an idle connection that `reuse` allows, or opens one.
    ///
    /// # Errors
    ///
    /// [`SendError::Connect`] if no connection could be opened.
    pub async fn acquire(
        &self,
        address: SocketAddrV4,
        reuse: ReusePolicy,
    ) -> Result<PooledConnection, SendError> {
        if let Some(IdleConnection { connection, .. }) = self.take_idle(address, reuse) {
            return Ok(PooledConnection { connection, address, reused: true });
        }
        self.connect(address).await
    }

    fn take_idle(&self, address: SocketAddrV4, reuse: ReusePolicy) -> Option<IdleConnection> {
        let now = self.clock.now();
        let mut idle = self.idle.borrow_mut();
        let pooled = idle.get_mut(&address)?;
        pooled.retain(|connection| connection.is_open(now));
        // Reuses the newest connection first, so that surplus ones expire.
        match reuse {
            ReusePolicy::Never => None,
            ReusePolicy::Any => pooled.pop(),
            ReusePolicy::RecentOnly => {
                while let Some(newest) = pooled.pop() {
                    if now.since(newest.idle_since) >= RECENT_IDLE_LIMIT {
                        pooled.push(newest);
                        return None;
                    }
                    if !newest.connection.was_closed_by_peer() {
                        return Some(newest);
                    }
                }
                None
            }
        }
    }

    async fn connect(&self, address: SocketAddrV4) -> Result<PooledConnection, SendError> {
        let connect_error =
            |reason: &dyn std::fmt::Display| SendError::Connect { reason: reason.to_string() };
        let connecting = with_deadline(CONNECT_TIMEOUT, TcpStream::connect(SocketAddr::V4(address))).await;
        let stream = connecting
            .ok_or_else(|| connect_error(&"connection timed out"))?
            .map_err(|error| connect_error(&error))?;
        stream.set_nodelay(true).map_err(|error| connect_error(&error))?;
        let socket = stream.clone();
        let mut connection = self.start(address, stream).await?;
        connection.connection.socket = Some(socket);
        Ok(connection)
    }

    /// Starts HTTP on a stream to a server.
    pub(super) async fn start(
        &self,
        address: SocketAddrV4,
        stream: impl AsyncRead + AsyncWrite + Unpin + 'static,
    ) -> Result<PooledConnection, SendError> {
        let connect_error =
            |reason: &dyn std::fmt::Display| SendError::Connect { reason: reason.to_string() };
        let written = WriteCounter::default();
        let read_limit = Rc::<ReadLimit>::default();
        let stream = CountedStream::new(stream, written.clone(), read_limit.clone());
        let handshake = http1::Builder::new()
            .max_buf_size(MAX_RESPONSE_HEAD_BYTES)
            .handshake(FuturesIo::new(stream))
            .await;
        let (sender, connection) = handshake.map_err(|error| connect_error(&error))?;
        let Some(executor) = self.executor.upgrade() else {
            return Err(connect_error(&"the process is stopping"));
        };
        let driver = executor.spawn(async move {
            if let Err(error) = connection.await {
                debug!("Connection to {address} failed: {error}.");
            }
        });
        self.opened.set(self.opened.get() + 1);
        let connection = Connection { sender, driver: Some(driver), written, read_limit, socket: None };
        Ok(PooledConnection { connection, address, reused: false })
    }

    /// Returns a connection to the pool after a response whose body ended so, unless the response closes it or the pool is
    /// full.
    pub fn release(&self, connection: PooledConnection, headers: &HeaderMap, end: BodyEnd) {
        let closes =
            headers.get(CONNECTION).is_some_and(|value| value.as_bytes().eq_ignore_ascii_case(b"close"));
        if closes || !end.leaves_connection_open() {
            return;
        }
        let now = self.clock.now();
        let mut idle = self.idle.borrow_mut();
        let pooled = idle.entry(connection.address).or_default();
        if pooled.len() < MAX_IDLE_PER_SERVER {
            let expires_at = now + idle_timeout(headers);
            let PooledConnection { connection, .. } = connection;
            pooled.push(IdleConnection { connection, idle_since: now, expires_at });
        }
    }

    /// Closes the idle connections to an address whose server is gone.
    pub fn close_idle(&self, address: SocketAddrV4) {
        self.idle.borrow_mut().remove(&address);
    }

    /// Closes expired idle connections. Called periodically.
    pub fn close_expired(&self) {
        let now = self.clock.now();
        let mut idle = self.idle.borrow_mut();
        for pooled in idle.values_mut() {
            pooled.retain(|connection| connection.is_open(now));
        }
        idle.retain(|_, pooled| !pooled.is_empty());
    }
}

impl Connection {
    /// Whether the end of the connection, or bytes that no request asked for, have arrived. The driver learns of them only
    /// when it runs next.
    fn was_closed_by_peer(&self) -> bool {
        let Some(socket) = &self.socket else {
            return false;
        };
        let socket: Arc<Async<std::net::TcpStream>> = socket.clone().into();
        let peeked = socket.get_ref().peek(&mut [0]);
        !peeked.is_err_and(|error| error.kind() == io::ErrorKind::WouldBlock)
    }

    /// Whether nothing was written since `written` and nothing ever will be. Closes the connection.
    async fn close_unwritten(&mut self, written: u64) -> bool {
        if let Some(driver) = self.driver.take() {
            driver.cancel().await;
        }
        self.written.get() == written
    }
}

impl IdleConnection {
    fn is_open(&self, now: Timestamp) -> bool {
        let Connection { sender, driver, .. } = &self.connection;
        let running = driver.as_ref().is_some_and(|driver| !driver.is_finished());
        sender.is_ready() && running && now < self.expires_at
    }
}

/// Returns how long a connection may stay idle, from the `timeout` in seconds of the `keep-alive` header.
pub(super) fn idle_timeout(headers: &HeaderMap) -> Duration {
    let keep_alive = headers.get("keep-alive").and_then(|value| value.to_str().ok());
    let seconds = keep_alive.and_then(|keep_alive| {
        let parameters = keep_alive.split(',').filter_map(|part| part.trim().split_once('='));
        parameters
            .filter(|(name, _)| name.trim().eq_ignore_ascii_case("timeout"))
            .find_map(|(_, value)| value.trim().parse().ok())
    });
    let timeout =
        seconds.map(|seconds| Duration::from_secs(seconds).min(MAX_IDLE_TIMEOUT) * KEEP_ALIVE_PERCENT / 100);
    timeout.unwrap_or(RECENT_IDLE_LIMIT)
}

impl PooledConnection {
    /// Sends a request and waits for the response head.
    ///
    /// # Errors
    ///
    /// [`SendError::Connect`] if the connection was closed before anything was written, otherwise
    /// [`SendError::NoResponse`] or [`SendError::Endless`].
    pub async fn send(&mut self, request: Request<Full<Bytes>>) -> Result<Response<Incoming>, SendError> {
        let written = self.connection.written.get();
        let limit = self.connection.read_limit.clone();
        limit.left.set(Some(MAX_BYTES_BEFORE_RESPONSE));
        let mut error = match self.connection.sender.try_send_request(request).await {
            Ok(response) => {
                limit.left.set(Some(MAX_BYTES_OF_RESPONSE));
                return Ok(response);
            }
            Err(error) => error,
        };
        let unsent = error.take_message().is_some();
        let source = error.into_error();
        if self.connection.close_unwritten(written).await || unsent {
            let reason = format!("the connection was closed before the request was written: {source}");
            return Err(SendError::Connect { reason });
        }
        if limit.exceeded.get() {
            return Err(SendError::Endless);
        }
        Err(SendError::NoResponse { source })
    }
}
