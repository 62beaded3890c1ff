//! The HTTP server that the stand-ins share.

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

/// A running server; dropping it closes the listener and every connection.
#[derive(Debug)]
pub struct Server {
    /// Where it listens.
    pub address: SocketAddr,
    _accepting: Task<()>,
}

/// Listens on a loopback port, 0 for one that the operating system chooses, and answers each request by
/// `answer`.
///
/// # Errors
///
/// Fails if no port can be bound.
pub async fn serve<F, A>(executor: &Rc<LocalExecutor<'static>>, port: u16, answer: F) -> io::Result<Server>
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
    Ok(Server { address, _accepting: executor.spawn(accepting) })
}

/// Waits; a span of zero does not even yield to the timer.
pub async fn pause(span: Duration) {
    if !span.is_zero() {
        smol::Timer::after(span).await;
    }
}

/// A JSON answer.
pub fn json<T: Serialize>(status: StatusCode, value: &T) -> Response {
    let mut response = Response::new(status);
    response.set_body(serde_json::to_vec(value).unwrap_or_default());
    response.insert_header("Content-Type", "application/json");
    response
}

/// A header's value as text, empty where it is missing.
#[must_use]
pub fn header(request: &Request, name: &str) -> String {
    request.header(name).map(|values| values.last().to_string()).unwrap_or_default()
}
