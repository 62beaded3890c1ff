//! The scrape endpoint: one request a connection, by async-h1.
//!
//! async-h1 bounds the head in total but waits for the end of a line without bound, so the bytes of
//! a request and the time of a connection are bounded here.

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
use crate::transport::observed::ReadObserver;

const MAX_SCRAPES: usize = 8;
const MAX_REQUEST: usize = 8 << 10;
const SCRAPE_TIME: Duration = Duration::from_secs(10);
const TEXT_FORMAT: &str = "text/plain; version=0.0.4";

/// Answers `GET /metrics` for as long as it is polled.
pub async fn serve(metrics: Rc<Metrics>, listener: TcpListener, executor: Rc<LocalExecutor<'static>>) {
    let limiter = ConnectionLimiter::new("a scraper");
    loop {
        let (stream, permit) = limiter.accept(&listener, || MAX_SCRAPES).await;
        let metrics = Rc::clone(&metrics);
        let scrape = async move {
            if let Err(e) = answer(&metrics, stream).or(too_slow()).await {
                log::debug!("A scrape failed: {e}.");
            }
            drop(permit);
        };
        executor.spawn(scrape).detach();
    }
}

async fn too_slow() -> http_types::Result<()> {
    Timer::after(SCRAPE_TIME).await;
    Err(http_types::Error::from_str(StatusCode::RequestTimeout, "the scrape took too long"))
}

async fn answer(metrics: &Metrics, mut stream: TcpStream) -> http_types::Result<()> {
    let request =
        ObservedStream { stream: stream.clone(), observer: Bound(Arc::new(AtomicUsize::new(MAX_REQUEST))) };
    let (response, method) = match async_h1::server::decode(request).await {
        Ok(Some((req, _))) => (respond(metrics, req.method(), req.url().path()), req.method()),
        Ok(None) => return Ok(()),
        Err(_) => (closing(StatusCode::BadRequest), Method::Get),
    };
    let mut encoder = Encoder::new(response, method);
    futures::io::copy(&mut encoder, &mut stream).await?;
    Ok(())
}

fn respond(metrics: &Metrics, method: Method, path: &str) -> Response {
    match (method, path) {
        (Method::Get | Method::Head, "/metrics") => series(metrics),
        (_, "/metrics") => closing(StatusCode::MethodNotAllowed),
        _ => closing(StatusCode::NotFound),
    }
}

fn closing(status: StatusCode) -> Response {
    let mut response = Response::new(status);
    response.insert_header(CONNECTION, "close");
    response
}

fn series(metrics: &Metrics) -> Response {
    match metrics.render() {
        Ok(body) => {
            let mut response = closing(StatusCode::Ok);
            response.set_body(body);
            response.insert_header(CONTENT_TYPE, TEXT_FORMAT);
            response
        }
        Err(e) => {
            log::warn!("The series could not be written: {e}.");
            closing(StatusCode::InternalServerError)
        }
    }
}

/// Ends a connection after a number of bytes, whoever reads from it.
#[derive(Clone)]
struct Bound(Arc<AtomicUsize>);

impl ReadObserver for Bound {
    fn max_read(&self) -> usize {
        self.0.load(Ordering::Relaxed)
    }

    fn on_read(&self, count: usize) {
        self.0.fetch_sub(count, Ordering::Relaxed);
    }
}
