//! The scrape endpoint: one request a connection, by async-h1.
//!
//! async-h1 bounds the head in total but waits for the end of a line without bound, so the bytes of
//! a request and the time of a connection are bounded here.

use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;

use async_h1::server::Encoder;
use futures::AsyncRead;
use futures::AsyncWrite;
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
use crate::transport::accept::Gate;

const MAX_SCRAPES: usize = 8;
const MAX_REQUEST: usize = 8 << 10;
const SCRAPE_TIME: Duration = Duration::from_secs(10);
const TEXT_FORMAT: &str = "text/plain; version=0.0.4";

/// Answers `GET /metrics` for as long as it is polled.
pub async fn serve(metrics: Rc<Metrics>, listener: TcpListener, executor: Rc<LocalExecutor<'static>>) {
    let gate = Gate::new("a scraper");
    loop {
        let (stream, admission) = gate.admit(&listener, || MAX_SCRAPES).await;
        let metrics = Rc::clone(&metrics);
        let scrape = async move {
            if let Err(e) = answer(&metrics, stream).or(too_slow()).await {
                log::debug!("A scrape failed: {e}.");
            }
            drop(admission);
        };
        executor.spawn(scrape).detach();
    }
}

async fn too_slow() -> http_types::Result<()> {
    Timer::after(SCRAPE_TIME).await;
    Err(http_types::Error::from_str(StatusCode::RequestTimeout, "the scrape took too long"))
}

async fn answer(metrics: &Metrics, mut stream: TcpStream) -> http_types::Result<()> {
    let request = Bounded { stream: stream.clone(), left: Arc::new(AtomicUsize::new(MAX_REQUEST)) };
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

/// A connection that ends after a number of bytes, whoever reads from it.
#[derive(Clone)]
struct Bounded {
    stream: TcpStream,
    left: Arc<AtomicUsize>,
}

impl AsyncRead for Bounded {
    fn poll_read(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &mut [u8]) -> Poll<io::Result<usize>> {
        let left = self.left.load(Ordering::Relaxed);
        let room = buf.len().min(left);
        let poll = Pin::new(&mut self.stream).poll_read(cx, &mut buf[..room]);
        if let Poll::Ready(Ok(count)) = &poll {
            self.left.store(left - count, Ordering::Relaxed);
        }
        poll
    }
}

impl AsyncWrite for Bounded {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_close(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_close(cx)
    }
}
