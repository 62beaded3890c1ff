//! One caller's connection: requests in order, each answered before the next is taken.

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
use crate::entry::Counted;
use crate::entry::guard::Guard;
use crate::entry::problem::Problem;
use crate::entry::problem::Reason;
use crate::entry::routes;

const WRITE_SIZE: usize = 16 << 10;

/// Most bytes read and thrown away after a refusal, so that the refusal arrives before the connection
/// is reset.
const DRAIN_LIMIT: usize = 256 << 10;

/// What a connection needs.
#[derive(Clone)]
pub struct Context {
    /// The entry.
    pub entry: Rc<ApiServer>,
    /// Where tasks that outlive the connection run.
    pub executor: Rc<LocalExecutor<'static>>,
}

/// A connection counts towards the limit for as long as it lives.
struct Place(Rc<ApiServer>);

impl Drop for Place {
    fn drop(&mut self) {
        let count = &self.0.state.connections;
        count.set(count.get() - 1);
    }
}

/// Serves one connection to its end.
pub async fn serve(cx: Context, mut stream: TcpStream) {
    let entry = Rc::clone(&cx.entry);
    let count = &entry.state.connections;
    count.set(count.get() + 1);
    let _place = Place(Rc::clone(&entry));
    stream.set_nodelay(true).ok();
    if count.get() > entry.limits.connections {
        let problem = Problem::unknown(503, Reason::Connections, "too many connections; nothing was read");
        refuse(&entry, &mut stream, &problem.retry_after(std::time::Duration::from_secs(1))).await;
        return;
    }
    let mut guard = Guard::new(stream.clone(), Rc::clone(&entry.timer), entry.limits.clone());
    loop {
        let request = match guard.next().await {
            Ok(Some(request)) => request,
            Ok(None) => return,
            Err(problem) => {
                refuse(&entry, &mut stream, &problem).await;
                return;
            }
        };
        let _counted = Counted::new(&entry);
        let method = request.method();
        let asked_to_close = request.header("Connection").is_some_and(Close::contains_close);
        let (here, gone) = channel::bounded(1);
        let answering = async { Some(routes::answer(cx.clone(), request, gone).await) };
        let Some(mut response) = or(answering, hung_up(&stream, guard.has_more())).await else {
            return;
        };
        let close = asked_to_close || entry.stopping.get();
        if close {
            response.insert_header("Connection", "close");
        }
        let writing = async { Some(write(&entry, &mut stream.clone(), response, method).await) };
        let written = or(writing, hung_up(&stream, guard.has_more())).await;
        drop(here);
        if written != Some(true) || close {
            return;
        }
    }
}

/// Completes once the caller has closed its side. With bytes of a further request waiting this can't be
/// seen, and the failing write tells instead.
async fn hung_up<T>(stream: &TcpStream, has_more: bool) -> Option<T> {
    if !has_more && matches!(stream.peek(&mut [0]).await, Ok(0) | Err(_)) {
        return None;
    }
    std::future::pending().await
}

/// Writes a response as it comes; false where the caller does not take it in.
async fn write(entry: &ApiServer, stream: &mut TcpStream, response: Response, method: Method) -> bool {
    let mut encoder = Encoder::new(response, method);
    let mut buf = vec![0; WRITE_SIZE];
    loop {
        let Ok(count) = encoder.read(&mut buf).await else {
            return false;
        };
        if count == 0 {
            return true;
        }
        let writing = stream.write_all(&buf[..count]);
        if !matches!(with_timeout(&*entry.timer, entry.limits.idle, writing).await, Some(Ok(()))) {
            return false;
        }
    }
}

/// Sends a refusal and closes. What the caller is still sending is read for a bounded while.
async fn refuse(entry: &ApiServer, stream: &mut TcpStream, problem: &Problem) {
    let mut response = problem.response();
    response.insert_header("Connection", "close");
    if !write(entry, stream, response, Method::Get).await {
        return;
    }
    stream.shutdown(std::net::Shutdown::Write).ok();
    let draining = async {
        let mut buf = vec![0; WRITE_SIZE];
        let mut drained = 0;
        while drained < DRAIN_LIMIT {
            match stream.read(&mut buf).await {
                Ok(count) if count > 0 => drained += count,
                _ => return,
            }
        }
    };
    with_timeout(&*entry.timer, entry.limits.head_time, draining).await;
}

trait Close {
    fn contains_close(&self) -> bool;
}

impl Close for http_types::headers::HeaderValues {
    fn contains_close(&self) -> bool {
        self.as_str().split(',').any(|token| token.trim().eq_ignore_ascii_case("close"))
    }
}
