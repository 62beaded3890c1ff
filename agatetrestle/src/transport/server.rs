//! Accepts connections and serves HTTP/1.1 on them, within limits.

use std::cell::Cell;
use std::convert::Infallible;
use std::net::SocketAddrV4;
use std::rc::Rc;
use std::time::Duration;

use futures::future::Either;
use futures::future::LocalBoxFuture;
use futures::future::select;
use http::Request;
use http::Response;
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

use crate::transport::accept::ConnectionLimiter;
use crate::transport::body::ResponseBody;
use crate::transport::observed::ObservedStream;
use crate::transport::watch::Watch;
use crate::transport::watch::Watched;

/// Pause before an address is bound again that is still held, such as by a process that has just ended.
const BIND_PAUSE: Duration = Duration::from_millis(50);
/// How often a connection looks whether it should end; a planned stop and the bound on heads are seconds.
const LOOK: Duration = Duration::from_secs(1);
/// Least size of the buffer that a request head must fit; the library takes no smaller one.
const LEAST_HEAD: usize = 8_192;

/// Answers one request; dropped if the caller goes away.
pub type Handler = Rc<dyn Fn(Request<Incoming>) -> LocalBoxFuture<'static, Response<ResponseBody>>>;

/// Limits on callers, changed while the server runs.
#[derive(Debug)]
pub struct ServerLimits {
    /// Largest request head in bytes.
    pub max_head_bytes: Cell<usize>,
    /// Time for a request head to arrive, from its first byte on.
    pub head_timeout: Cell<Duration>,
    /// Time for which a connection may stay without a whole request head.
    pub idle_timeout: Cell<Duration>,
    /// Connections open at once.
    pub max_connections: Cell<usize>,
    /// Set once connections are to end after the answer under way.
    pub shutting_down: Cell<bool>,
}

impl ServerLimits {
    /// Limits for callers that are not ours.
    #[must_use]
    pub fn new(connections: usize) -> Rc<Self> {
        Rc::new(Self {
            max_head_bytes: Cell::new(16 << 10),
            head_timeout: Cell::new(Duration::from_secs(3)),
            idle_timeout: Cell::new(Duration::from_secs(15)),
            max_connections: Cell::new(connections),
            shutting_down: Cell::new(false),
        })
    }
}

/// Listens on an address, waiting while it is still held.
pub async fn listen(address: SocketAddrV4) -> TcpListener {
    loop {
        match TcpListener::bind(address).await {
            Ok(listener) => {
                info!("Listening on {address}.");
                return listener;
            }
            Err(failure) => {
                warn!("Can't listen on {address} yet: {failure}.");
                Timer::after(BIND_PAUSE).await;
            }
        }
    }
}

/// Serves until the task is dropped.
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
            serve_connection(stream, handler, limits).await;
            drop(permit);
        };
        executor.spawn(serving).detach();
    }
}

async fn serve_connection(stream: TcpStream, handler: Handler, limits: Rc<ServerLimits>) {
    if let Err(failure) = stream.set_nodelay(true) {
        debug!("A connection could not be set up: {failure}.");
        return;
    }
    let watch = Watch::new();
    let watching = watch.clone();
    let service = service_fn(move |request| {
        let (answer, answering) = (handler(request), watching.answer());
        async move {
            let answer = answer.await;
            Ok::<_, Infallible>(answer.map(|body| Watched { body, _answering: answering }))
        }
    });
    let connection = http1::Builder::new()
        .timer(SmolTimer::new())
        // The library counts idle time on a connection as time for the next head; a slow head is found below.
        .header_read_timeout(limits.idle_timeout.get())
        .max_buf_size(limits.max_head_bytes.get().max(LEAST_HEAD))
        .serve_connection(FuturesIo::new(ObservedStream { stream, observer: watch.clone() }), service);
    let mut connection = std::pin::pin!(connection);
    loop {
        match select(connection.as_mut(), Timer::after(LOOK)).await {
            Either::Left((outcome, _)) => {
                if let Err(failure) = outcome {
                    debug!("A connection of a caller ended: {failure}.");
                }
                return;
            }
            Either::Right(_) if limits.shutting_down.get() => break,
            Either::Right(_) if watch.head_is_late(limits.head_timeout.get()) => {
                debug!("A connection was closed whose request head came too slowly.");
                return;
            }
            Either::Right(_) => {}
        }
    }
    connection.as_mut().graceful_shutdown();
    if let Err(failure) = connection.await {
        debug!("A connection of a caller ended: {failure}.");
    }
}
