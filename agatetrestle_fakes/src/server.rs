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
use smol::io::AsyncWriteExt;
use smol::net::TcpListener;
use smol::net::TcpStream;

/// How a server marks the end of its responses.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Framing {
    /// By a length or a last chunk.
    #[default]
    Explicit,
    /// By closing the connection, also when a response breaks off.
    UntilClose,
}

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
    serve_framed(executor, port, Framing::Explicit, answer).await
}

/// Like [`serve`], with a choice of how responses end.
///
/// # Errors
///
/// Fails if no port can be bound.
pub async fn serve_framed<F, A>(
    executor: &Rc<LocalExecutor<'static>>,
    port: u16,
    framing: Framing,
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
                    match framing {
                        Framing::Explicit => async_h1::accept(stream, move |req| answer(req)).await.ok(),
                        Framing::UntilClose => answer_until_close(stream, &*answer).await.ok(),
                    }
                };
                connections.spawn(serving).detach();
            }
        };
        connections.run(accept).await;
    };
    Ok(HttpServer { address, _accepting: executor.spawn(accepting) })
}

/// Answers one request and closes the connection.
async fn answer_until_close<F, A>(mut stream: TcpStream, answer: &F) -> http_types::Result<()>
where
    F: Fn(Request) -> A,
    A: Future<Output = http_types::Result<Response>>,
{
    let Some((request, _rest)) = async_h1::server::decode(stream.clone()).await? else {
        return Ok(());
    };
    let mut response = answer(request).await?;
    let status = response.status();
    let headers = response.iter().map(|(name, values)| format!("{name}: {}\r\n", values.as_str()));
    let headers: String = headers.collect();
    let head = format!("HTTP/1.1 {status} {}\r\n{headers}\r\n", status.canonical_reason());
    stream.write_all(head.as_bytes()).await?;
    smol::io::copy(response.take_body(), &mut stream).await?;
    Ok(())
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
