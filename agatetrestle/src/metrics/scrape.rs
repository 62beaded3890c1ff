//! The scrape endpoint. Each connection serves one request.
//!
//! `async-h1` does not limit the length of a line, so the size of a request and the time of a connection are limited here.

use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use async_h1::server::Encoder;
use http_types::Method;
use http_types::Response;
use http_types::StatusCode;
use http_types::headers::CONNECTION;
use http_types::headers::CONTENT_TYPE;
use smol::LocalExecutor;
use smol::Timer;
use smol::future::FutureExt;
use smol::net::TcpListener;
use smol::net::TcpStream;

use crate::metrics::Metrics;
use crate::transport::accept::ConnectionLimiter;
use crate::transport::observed::ObservedStream;
use crate::transport::observed::StreamObserver;

const MAX_SCRAPE_CONNECTIONS: usize = 8;
const MAX_SCRAPE_REQUEST_BYTES: usize = 8 << 10;
const SCRAPE_TIMEOUT: Duration = Duration::from_secs(10);
const TEXT_FORMAT: &str = "text/plain; version=0.0.4";

/// Serves `GET /metrics` until the future is dropped.
pub async fn serve(metrics: Rc<Metrics>, listener: TcpListener, executor: Rc<LocalExecutor<'static>>) {
    let limiter = ConnectionLimiter::new("a scraper");
    loop {
        let (stream, permit) = limiter.accept(&listener, || MAX_SCRAPE_CONNECTIONS).await;
        let metrics = Rc::clone(&metrics);
        let scrape = async move {
            if let Err(e) = serve_connection(&metrics, stream).or(timeout()).await {
                log::debug!("Scrape connection failed: {e}.");
            }
            drop(permit);
        };
        executor.spawn(scrape).detach();
    }
}

async fn timeout() -> http_types::Result<()> {
    Timer::after(SCRAPE_TIMEOUT).await;
    Err(http_types::Error::from_str(StatusCode::RequestTimeout, "the scrape timed out"))
}

async fn serve_connection(metrics: &Metrics, mut stream: TcpStream) -> http_types::Result<()> {
    let request = ObservedStream {
        stream: stream.clone(),
        observer: ByteLimit(Arc::new(AtomicUsize::new(MAX_SCRAPE_REQUEST_BYTES))),
    };
    let (response, method) = match async_h1::server::decode(request).await {
        Ok(Some((req, _))) => (respond(metrics, req.method(), req.url().path()), req.method()),
        Ok(None) => return Ok(()),
        Err(_) => (closing_response(StatusCode::BadRequest), Method::Get),
    };
    let mut encoder = Encoder::new(response, method);
    futures::io::copy(&mut encoder, &mut stream).await?;
    Ok(())
}

fn respond(metrics: &Metrics, method: Method, path: &str) -> Response {
    match (method, path) {
        (Method::Get | Method::Head, "/metrics") => metrics_response(metrics),
        (_, "/metrics") => closing_response(StatusCode::MethodNotAllowed),
        _ => closing_response(StatusCode::NotFound),
    }
}

fn closing_response(status: StatusCode) -> Response {
    let mut response = Response::new(status);
    response.insert_header(CONNECTION, "close");
    response
}

fn metrics_response(metrics: &Metrics) -> Response {
    match metrics.render() {
        Ok(body) => {
            let mut response = closing_response(StatusCode::Ok);
            response.set_body(body);
            response.insert_header(CONTENT_TYPE, TEXT_FORMAT);
            response
        }
        Err(e) => {
            log::warn!("Metrics could not be rendered: {e}.");
            closing_response(StatusCode::InternalServerError)
        }
    }
}

/// Bytes that may still be read from a connection, shared by all clones of its stream.
#[derive(Clone)]
struct ByteLimit(Arc<AtomicUsize>);

impl StreamObserver for ByteLimit {
    fn max_read(&self) -> usize {
        self.0.load(Ordering::Relaxed)
    }

    fn on_read(&self, count: usize) {
        self.0.fetch_sub(count, Ordering::Relaxed);
    }
}
