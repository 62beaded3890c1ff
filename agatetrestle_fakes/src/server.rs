//! The HTTP server that the fakes share.

use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use http_types::Request;
use http_types::Response;
use http_types::StatusCode;
use serde::Serialize;
use smol::LocalExecutor;
use smol::Task;
use smol::net::TcpListener;

/// A running HTTP server. Dropping it closes the listener and all connections.
#[derive(Debug)]
pub struct HttpServer {
    /// Listening address.
    pub address: SocketAddr,
    _accepting: Task<()>,
}

/// Serves requests with `answer` on a loopback port; 0 lets the operating system choose one.
///
/// # Errors
///
/// Fails if no port can be bound.
pub async fn serve<F, A>(
    executor: &Rc<LocalExecutor<'static>>,
    port: u16,
    answer: F,
) -> io::Result<HttpServer>
where
    F: Fn(Request) -> A + 'static,
    A: Future<Output = http_types::Result<Response>> + 'static,
{
    let listener = TcpListener::bind(("127.0.0.1", port)).await?;
    let address = listener.local_addr()?;
    let answer = Rc::new(answer);
    let connections = Rc::new(LocalExecutor::new());
    let accepting = async move {
        let accept = async {
            while let Ok((stream, _)) = listener.accept().await {
                stream.set_nodelay(true).ok();
                let answer = Rc::clone(&answer);
                let serving = async move {
                    async_h1::accept(stream, move |req| answer(req)).await.ok();
                };
                connections.spawn(serving).detach();
            }
        };
        connections.run(accept).await;
    };
    Ok(HttpServer { address, _accepting: executor.spawn(accepting) })
}

/// Sleeps; returns without yielding if the duration is zero.
pub async fn sleep(duration: Duration) {
    if !duration.is_zero() {
        smol::Timer::after(duration).await;
    }
}

/// Builds a JSON response.
pub fn json<T: Serialize>(status: StatusCode, value: &T) -> Response {
    let mut response = Response::new(status);
    response.set_body(serde_json::to_vec(value).unwrap_or_default());
    response.insert_header("Content-Type", "application/json");
    response
}

/// Returns the last value of a header, empty if the header is missing.
#[must_use]
pub fn header(request: &Request, name: &str) -> String {
    request.header(name).map(|values| values.last().to_string()).unwrap_or_default()
}
