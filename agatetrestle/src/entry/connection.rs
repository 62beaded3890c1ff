//! A caller's connection: requests are answered one after another, in order.

use std::rc::Rc;

use async_h1::server::Encoder;
use http_types::Method;
use http_types::Response;
use smol::LocalExecutor;
use smol::channel;
use smol::future::or;
use smol::io::AsyncReadExt;
use smol::io::AsyncWriteExt;
use smol::net::TcpStream;

use crate::attempts::timer::with_timeout;
use crate::entry::ApiServer;
use crate::entry::InFlightGuard;
use crate::entry::problem::Problem;
use crate::entry::problem::ProblemReason;
use crate::entry::request_reader::RequestReader;
use crate::entry::routes;

const CONNECTION_BUFFER_BYTES: usize = 16 << 10;

/// Bytes read and discarded after a refusal, so that the caller gets the refusal before a reset.
const MAX_DRAINED_BYTES: usize = 256 << 10;

/// Dependencies of a connection.
#[derive(Clone)]
pub struct ConnectionContext {
    /// The API server.
    pub server: Rc<ApiServer>,
    /// Runs tasks that may outlive the connection.
    pub executor: Rc<LocalExecutor<'static>>,
}

/// Counts a connection towards the limit until it is dropped.
struct ConnectionGuard(Rc<ApiServer>);

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        let count = &self.0.state.connections;
        count.set(count.get() - 1);
    }
}

/// Serves one connection until it closes.
pub async fn serve(cx: ConnectionContext, mut stream: TcpStream) {
    let server = Rc::clone(&cx.server);
    let count = &server.state.connections;
    count.set(count.get() + 1);
    let _connection = ConnectionGuard(Rc::clone(&server));
    stream.set_nodelay(true).ok();
    if count.get() > server.limits.connections {
        let problem =
            Problem::unknown(503, ProblemReason::Connections, "too many connections; nothing was read");
        refuse(&server, &mut stream, &problem.retry_after(std::time::Duration::from_secs(1))).await;
        return;
    }
    let mut reader = RequestReader::new(stream.clone(), Rc::clone(&server.timer), server.limits.clone());
    loop {
        let request = match reader.next().await {
            Ok(Some(request)) => request,
            Ok(None) => return,
            Err(problem) => {
                refuse(&server, &mut stream, &problem).await;
                return;
            }
        };
        let _in_flight = InFlightGuard::new(&server);
        let method = request.method();
        let close_requested = request.header("Connection").is_some_and(HeaderValuesExt::contains_close);
        let (connected, disconnected) = channel::bounded(1);
        let answering = async { Some(routes::answer(cx.clone(), request, disconnected).await) };
        let Some(mut response) = or(answering, wait_for_disconnect(&stream, reader.has_more())).await else {
            return;
        };
        let close = close_requested || server.stopping.get();
        if close {
            response.insert_header("Connection", "close");
        }
        let writing = async { Some(write(&server, &mut stream.clone(), response, method).await) };
        let written = or(writing, wait_for_disconnect(&stream, reader.has_more())).await;
        drop(connected);
        if written != Some(true) || close {
            return;
        }
    }
}

/// Completes with none once the caller has closed its side. That can't be detected while a pipelined request
/// is buffered; a failed write then detects it.
async fn wait_for_disconnect<T>(stream: &TcpStream, has_more: bool) -> Option<T> {
    if !has_more && matches!(stream.peek(&mut [0]).await, Ok(0) | Err(_)) {
        return None;
    }
    std::future::pending().await
}

/// Writes a response as its body becomes available; false if the caller stops reading or the body fails.
async fn write(server: &ApiServer, stream: &mut TcpStream, response: Response, method: Method) -> bool {
    let mut encoder = Encoder::new(response, method);
    let mut buf = vec![0; CONNECTION_BUFFER_BYTES];
    loop {
        let Ok(count) = encoder.read(&mut buf).await else {
            return false;
        };
        if count == 0 {
            return true;
        }
        let writing = stream.write_all(&buf[..count]);
        if !matches!(with_timeout(&*server.timer, server.limits.idle, writing).await, Some(Ok(()))) {
            return false;
        }
    }
}

/// Sends a refusal and closes the connection after draining a bounded amount of what the caller still sends.
async fn refuse(server: &ApiServer, stream: &mut TcpStream, problem: &Problem) {
    let mut response = problem.response();
    response.insert_header("Connection", "close");
    if !write(server, stream, response, Method::Get).await {
        return;
    }
    stream.shutdown(std::net::Shutdown::Write).ok();
    let draining = async {
        let mut buf = vec![0; CONNECTION_BUFFER_BYTES];
        let mut drained = 0;
        while drained < MAX_DRAINED_BYTES {
            match stream.read(&mut buf).await {
                Ok(count) if count > 0 => drained += count,
                _ => return,
            }
        }
    };
    with_timeout(&*server.timer, server.limits.head_time, draining).await;
}

trait HeaderValuesExt {
    fn contains_close(&self) -> bool;
}

impl HeaderValuesExt for http_types::headers::HeaderValues {
    fn contains_close(&self) -> bool {
        self.as_str().split(',').any(|token| token.trim().eq_ignore_ascii_case("close"))
    }
}
