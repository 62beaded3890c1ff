//! Connections to HTTP servers, kept for the next request to the same server.
//!
//! A connection belongs to one request at a time. It is closed by dropping it, which is how a request is taken back
//! whose caller has gone, and it is kept only after an answer that left it in a known state.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::net::SocketAddrV4;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::HeaderMap;
use http::Request;
use http::Response;
use http::header::CONNECTION;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper::client::conn::http1::SendRequest;
use log::debug;
use smol::LocalExecutor;
use smol::Task;
use smol::net::TcpStream;
use smol_hyper::rt::FuturesIo;
use snafu::Snafu;

use crate::clock::Clock;
use crate::clock::Timestamp;
use crate::node::peer_link::with_deadline;

/// Time for a connection to be made; servers in other failure domains are 1.5 ms away and take 1 ms for it, and an
/// opening packet that was dropped is sent again only after a second.
const CONNECT: Duration = Duration::from_millis(400);
/// Idle time after which a connection is not used for a request that may run once only: it may have gone silent, and what
/// was sent on it can't be sent again. It also bounds the idle time where a server does not say when it closes.
pub const RECENT_IDLE_LIMIT: Duration = Duration::from_millis(1_500);
/// Part of the time after which a server says that it closes an idle connection, in hundredths, for which it is kept: its
/// clock began before ours, and a request must not cross its close.
const KEPT_PERCENT: u32 = 60;
/// Longest idle time of a connection, whatever a server says; each costs memory here and a place there.
const LONGEST_IDLE: Duration = Duration::from_secs(10);
/// Connections kept for one server. Servers take a few hundred from all nodes together.
const KEPT: usize = 6;
/// Largest head of an answer.
const HEAD: usize = 64 << 10;

/// Why a request has no answer.
#[derive(Debug, Snafu)]
pub enum SendError {
    /// Nothing was sent.
    #[snafu(display("can't connect: {reason}"))]
    Connect {
        /// What stood in the way.
        reason: String,
    },
    /// The request was sent, at least in part.
    #[snafu(display("no answer: {source}"))]
    NoResponse {
        /// What the library found.
        source: hyper::Error,
    },
}

struct Idle {
    sender: SendRequest<Full<Bytes>>,
    driver: Task<()>,
    since: Timestamp,
    until: Timestamp,
}

/// How long ago a connection may have been used last.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ReusePolicy {
    /// A moment ago, for what may be sent once only.
    RecentOnly,
    /// As long as the server keeps it.
    Any,
}

/// A connection that carries one request.
pub struct PooledConnection {
    sender: SendRequest<Full<Bytes>>,
    driver: Task<()>,
    address: SocketAddrV4,
    /// Whether it carried a request before.
    pub reused: bool,
}

/// Connections to servers.
pub struct HttpClient {
    idle: RefCell<HashMap<SocketAddrV4, Vec<Idle>>>,
    executor: std::rc::Weak<LocalExecutor<'static>>,
    clock: Clock,
    made: Cell<u64>,
}

impl HttpClient {
    /// A client without connections.
    #[must_use]
    pub fn new(executor: &Rc<LocalExecutor<'static>>, clock: Clock) -> Rc<Self> {
        let idle = RefCell::default();
        Rc::new(Self { idle, executor: Rc::downgrade(executor), clock, made: Cell::new(0) })
    }

    /// Connections made since the start.
    #[must_use]
    pub fn connections_opened(&self) -> u64 {
        self.made.get()
    }

    /// A connection to a server, kept or new; `reuse` says how old a kept one may be.
    ///
    /// # Errors
    ///
    /// Fails only before anything was sent.
    pub async fn acquire(
        &self,
        address: SocketAddrV4,
        reuse: ReusePolicy,
    ) -> Result<PooledConnection, SendError> {
        if let Some(Idle { sender, driver, .. }) = self.take(address, reuse) {
            return Ok(PooledConnection { sender, driver, address, reused: true });
        }
        self.connect(address).await
    }

    fn take(&self, address: SocketAddrV4, reuse: ReusePolicy) -> Option<Idle> {
        let now = self.clock.now();
        let mut idle = self.idle.borrow_mut();
        let kept = idle.get_mut(&address)?;
        kept.retain(|connection| connection.is_open(now));
        // The one used last goes first, so that the others grow old and are closed.
        let newest = kept.last()?;
        let usable = reuse == ReusePolicy::Any || now.since(newest.since) < RECENT_IDLE_LIMIT;
        if usable { kept.pop() } else { None }
    }

    async fn connect(&self, address: SocketAddrV4) -> Result<PooledConnection, SendError> {
        let refused = |reason: &dyn std::fmt::Display| SendError::Connect { reason: reason.to_string() };
        let connecting = with_deadline(CONNECT, TcpStream::connect(SocketAddr::V4(address))).await;
        let stream = connecting.ok_or_else(|| refused(&"no connection in time"))?.map_err(|f| refused(&f))?;
        stream.set_nodelay(true).map_err(|failure| refused(&failure))?;
        let handshake = http1::Builder::new().max_buf_size(HEAD).handshake(FuturesIo::new(stream)).await;
        let (sender, connection) = handshake.map_err(|failure| refused(&failure))?;
        let Some(executor) = self.executor.upgrade() else {
            return Err(refused(&"the process is stopping"));
        };
        let driver = executor.spawn(async move {
            if let Err(failure) = connection.await {
                debug!("A connection to {address} ended: {failure}.");
            }
        });
        self.made.set(self.made.get() + 1);
        Ok(PooledConnection { sender, driver, address, reused: false })
    }

    /// Keeps a connection for the next request. Only one whose answer was read to its end may be kept.
    pub fn release(&self, connection: PooledConnection, headers: &HeaderMap) {
        let closes =
            headers.get(CONNECTION).is_some_and(|value| value.as_bytes().eq_ignore_ascii_case(b"close"));
        if closes {
            return;
        }
        let now = self.clock.now();
        let mut idle = self.idle.borrow_mut();
        let kept = idle.entry(connection.address).or_default();
        if kept.len() < KEPT {
            let until = now + idle_bound(headers);
            kept.push(Idle { sender: connection.sender, driver: connection.driver, since: now, until });
        }
    }

    /// Closes the connections kept for an address, since who listened there is gone.
    pub fn close_idle(&self, address: SocketAddrV4) {
        self.idle.borrow_mut().remove(&address);
    }

    /// Closes connections that grew old. Called now and then.
    pub fn close_expired(&self) {
        let now = self.clock.now();
        let mut idle = self.idle.borrow_mut();
        for kept in idle.values_mut() {
            kept.retain(|connection| connection.is_open(now));
        }
        idle.retain(|_, kept| !kept.is_empty());
    }
}

impl Idle {
    fn is_open(&self, now: Timestamp) -> bool {
        self.sender.is_ready() && !self.driver.is_finished() && now < self.until
    }
}

/// How long a connection may be idle, by what the server says in whole seconds of when it closes.
pub(super) fn idle_bound(headers: &HeaderMap) -> Duration {
    let told = headers.get("keep-alive").and_then(|value| value.to_str().ok());
    let seconds = told.and_then(|told| {
        let named = told.split(',').filter_map(|part| part.trim().split_once('='));
        named
            .filter(|(name, _)| name.trim().eq_ignore_ascii_case("timeout"))
            .find_map(|(_, value)| value.trim().parse().ok())
    });
    let bound = seconds.map(|seconds| Duration::from_secs(seconds).min(LONGEST_IDLE) * KEPT_PERCENT / 100);
    bound.unwrap_or(RECENT_IDLE_LIMIT)
}

impl PooledConnection {
    /// Sends a request and waits for the head of its answer.
    ///
    /// # Errors
    ///
    /// [`SendError::Connect`] if the connection turned out to be closed before anything was written, else
    /// [`SendError::NoResponse`].
    pub async fn send(&mut self, request: Request<Full<Bytes>>) -> Result<Response<Incoming>, SendError> {
        self.sender.try_send_request(request).await.map_err(|mut failure| match failure.take_message() {
            Some(_) => SendError::Connect { reason: "the connection was closed meanwhile".into() },
            None => SendError::NoResponse { source: failure.into_error() },
        })
    }
}
