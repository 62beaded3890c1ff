//! Tests of the HTTP server and client against misbehaving peers.

mod limits;

use std::cell::Cell;
use std::cell::RefCell;
use std::io;
use std::net::SocketAddrV4;
use std::pin::Pin;
use std::pin::pin;
use std::rc::Rc;
use std::task::Context;
use std::task::Poll;
use std::task::Waker;
use std::time::Duration;

use bytes::Bytes;
use futures::AsyncReadExt;
use futures::AsyncWriteExt;
use futures::FutureExt;
use futures::future::Either;
use futures::future::select;
use http::Request;
use http::Response;
use http_body_util::BodyExt;
use http_body_util::Full;
use smol::LocalExecutor;
use smol::channel::Sender;
use smol::net::TcpListener;
use smol::net::TcpStream;

use crate::clock::Clock;
use crate::transport::accept::ConnectionLimiter;
use crate::transport::body::ResponseBody;
use crate::transport::body_end::BodyEnd;
use crate::transport::body_end::BodyReader;
use crate::transport::body_end::IncompleteBody;
use crate::transport::body_end::ReadError;
use crate::transport::client::HttpClient;
use crate::transport::client::RECENT_IDLE_LIMIT;
use crate::transport::client::ReusePolicy;
use crate::transport::client::SendError;
use crate::transport::client::idle_timeout;
use crate::transport::server;
use crate::transport::server::ServerLimits;

type Spawner = Rc<LocalExecutor<'static>>;

fn run<F: Future<Output = ()>>(test: impl FnOnce(Spawner) -> F) {
    let executor = Rc::new(LocalExecutor::new());
    smol::block_on(executor.run(test(executor.clone())));
}

async fn bind() -> (TcpListener, SocketAddrV4) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    match listener.local_addr().unwrap() {
        std::net::SocketAddr::V4(address) => (listener, address),
        std::net::SocketAddr::V6(_) => unreachable!("an IPv4 address was bound"),
    }
}

/// Starts a server that answers one request with each script and closes the connection after it.
async fn serve_scripts(executor: &Spawner, scripts: Vec<&'static [u8]>) -> SocketAddrV4 {
    let (listener, address) = bind().await;
    let serving = async move {
        for script in scripts {
            let (mut stream, _) = listener.accept().await.unwrap();
            read_head(&mut stream).await;
            stream.write_all(script).await.unwrap();
            stream.flush().await.unwrap();
            stream.shutdown(std::net::Shutdown::Write).unwrap();
        }
    };
    executor.spawn(serving).detach();
    address
}

async fn read_head(stream: &mut TcpStream) -> Vec<u8> {
    let mut head = Vec::new();
    let mut byte = [0];
    while !head.ends_with(b"\r\n\r\n") {
        assert_eq!(stream.read(&mut byte).await.unwrap(), 1, "the request head is complete");
        head.push(byte[0]);
    }
    head
}

fn get(body: &'static [u8]) -> Request<Full<Bytes>> {
    Request::get("/").header("host", "test").body(Full::new(Bytes::from_static(body))).unwrap()
}

/// Returns the body that the client reads from a scripted response, or `None` if it reports an error.
async fn read_body(executor: &Spawner, script: &'static [u8]) -> Option<Bytes> {
    let address = serve_scripts(executor, vec![script]).await;
    let client = HttpClient::new(executor, Clock::start());
    let mut connection = client.acquire(address, ReusePolicy::Any).await.unwrap();
    let response = connection.send(get(b"")).await.ok()?;
    response.into_body().collect().await.ok().map(http_body_util::Collected::to_bytes)
}

#[test]
fn detects_truncated_bodies() {
    run(|executor| async move {
        let complete = read_body(&executor, b"HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\nabcd").await;
        assert_eq!(complete.as_deref(), Some(&b"abcd"[..]));
        assert_eq!(read_body(&executor, b"HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\nabc").await, None);
        let chunked = b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n";
        assert_eq!(read_body(&executor, chunked).await.as_deref(), Some(&b"ab"[..]));
        let endless = b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n2\r\nab\r\n";
        assert_eq!(read_body(&executor, endless).await, None);
        let unframed = read_body(&executor, b"HTTP/1.1 200 OK\r\n\r\nabc").await;
        assert_eq!(unframed.as_deref(), Some(&b"abc"[..]), "the end of the connection ends the body");
        assert_eq!(read_body(&executor, b"no answer in the protocol\r\n\r\n").await, None);
    });
}

type ReadResult = Result<(Bytes, BodyEnd), ReadError>;

/// Requests a response and reads its body to the end.
async fn read_to_end(executor: &Rc<LocalExecutor<'static>>, response: &'static [u8]) -> ReadResult {
    let address = serve_scripts(executor, vec![response]).await;
    let client = HttpClient::new(executor, Clock::start());
    let mut connection = client.acquire(address, ReusePolicy::Any).await.unwrap();
    let (head, body) = connection.send(get(b"")).await.unwrap().into_parts();
    BodyReader::new(body, &head.headers).read_to_end(3).await
}

#[test]
fn tells_how_a_body_ended() {
    let cut = Err(ReadError::Incomplete { source: IncompleteBody::BrokenOff { end: BodyEnd::Cut } });
    let whole = |end| Ok((Bytes::from_static(b"abc"), end));
    let cases: [(&'static [u8], ReadResult); 9] = [
        (b"HTTP/1.1 200 OK\r\ncontent-length: 3\r\n\r\nabc", whole(BodyEnd::Length)),
        (b"HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\nabc", cut.clone()),
        (
            b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n",
            whole(BodyEnd::LastChunk),
        ),
        (b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n3\r\nabc\r\n", cut.clone()),
        (b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n3\r\nabc\r\nxyz\r\n", cut),
        (b"HTTP/1.1 200 OK\r\n\r\nabc", whole(BodyEnd::Close)),
        (b"HTTP/1.1 200 OK\r\ntransfer-encoding: gzip\r\n\r\nabc", whole(BodyEnd::Close)),
        (b"HTTP/1.0 200 OK\r\n\r\nabc", whole(BodyEnd::Close)),
        (b"HTTP/1.1 200 OK\r\n\r\nabcd", Err(ReadError::TooLong { limit: 3 })),
    ];
    for (response, expected) in cases {
        run(|executor| async move {
            let read = read_to_end(&executor, response).await;
            assert_eq!(read, expected, "{}", String::from_utf8_lossy(response));
        });
    }
}

#[test]
fn closes_connections_with_excess_response_bytes() {
    run(|executor| async move {
        const TWO: &[u8] =
            b"HTTP/1.1 200 OK\r\ncontent-length: 1\r\n\r\naHTTP/1.1 200 OK\r\ncontent-length: 1\r\n\r\nb";
        let address =
            serve_scripts(&executor, vec![TWO, b"HTTP/1.1 200 OK\r\ncontent-length: 1\r\n\r\nc"]).await;
        let client = HttpClient::new(&executor, Clock::start());
        let mut bodies = Vec::new();
        for _ in 0..2 {
            // A pooled connection may turn out to be closed before anything was sent.
            let (connection, response) = loop {
                let mut connection = client.acquire(address, ReusePolicy::Any).await.unwrap();
                match connection.send(get(b"")).await {
                    Ok(response) => break (connection, response),
                    Err(SendError::Connect { .. }) => {}
                    Err(error) => panic!("{error}"),
                }
            };
            let (head, body) = response.into_parts();
            bodies.push(body.collect().await.unwrap().to_bytes());
            client.release(connection, &head.headers, BodyEnd::Length);
        }
        assert_eq!(bodies, [&b"a"[..], &b"c"[..]], "the excess response must not answer the next request");
    });
}

#[test]
fn accepts_responses_before_the_request_body_is_read() {
    run(|executor| async move {
        static LONG: [u8; 1 << 20] = [7; 1 << 20];
        let (listener, address) = bind().await;
        let (tx, rx) = smol::channel::bounded(1);
        let serving = async move {
            let (mut stream, _) = listener.accept().await.unwrap();
            read_head(&mut stream).await;
            stream.write_all(b"HTTP/1.1 413 Too Large\r\ncontent-length: 0\r\n\r\n").await.unwrap();
            rx.recv().await.unwrap();
            let mut rest = vec![0; LONG.len()];
            stream.read_exact(&mut rest).await.unwrap();
            rest
        };
        let serving = executor.spawn(serving);
        let client = HttpClient::new(&executor, Clock::start());
        let mut connection = client.acquire(address, ReusePolicy::Any).await.unwrap();
        let response = connection.send(get(&LONG)).await.unwrap();
        assert_eq!(response.status(), 413);
        tx.send(()).await.unwrap();
        assert_eq!(serving.await, LONG, "the server receives exactly the request body");
    });
}

/// Sends a message when it is dropped.
struct DropNotifier(Sender<()>);

impl Drop for DropNotifier {
    fn drop(&mut self) {
        // The receiver is gone if the test has ended.
        let _ = self.0.try_send(());
    }
}

#[test]
fn drops_requests_of_disconnected_clients() {
    run(|executor| async move {
        let (listener, address) = bind().await;
        let (tx, rx) = smol::channel::bounded(1);
        let (started_tx, started_rx) = smol::channel::bounded(1);
        let handler: server::Handler = Rc::new(move |_| {
            let (guard, started) = (DropNotifier(tx.clone()), started_tx.clone());
            Box::pin(async move {
                let _guard = guard;
                started.send(()).await.unwrap();
                futures::future::pending::<Response<ResponseBody>>().await
            })
        });
        let serving = server::serve(listener, handler, ServerLimits::new(8), Rc::downgrade(&executor));
        executor.spawn(serving).detach();
        let mut client = TcpStream::connect(std::net::SocketAddr::V4(address)).await.unwrap();
        client.write_all(b"GET / HTTP/1.1\r\nhost: test\r\n\r\n").await.unwrap();
        started_rx.recv().await.unwrap();
        assert!(rx.recv().now_or_never().is_none(), "the request is still being handled");
        drop(client);
        rx.recv().await.unwrap();
    });
}

#[test]
fn rejects_malformed_requests_with_4xx_or_close() {
    run(|executor| async move {
        let (listener, address) = bind().await;
        let received: Rc<RefCell<Vec<String>>> = Rc::default();
        let paths = received.clone();
        let handler: server::Handler = Rc::new(move |request| {
            paths.borrow_mut().push(request.uri().path().into());
            Box::pin(async { Response::new(ResponseBody::full("ok")) })
        });
        executor
            .spawn(server::serve(listener, handler, ServerLimits::new(8), Rc::downgrade(&executor)))
            .detach();
        let long = format!("GET / HTTP/1.1\r\nhost: test\r\nx: {}\r\n\r\n", "y".repeat(40_000));
        for bad in
            ["no request at all\r\n\r\n", "GET /\r\n\r\n", "GET / HTTP/1.1\r\nbad header\r\n\r\n", &long]
        {
            let mut client = TcpStream::connect(std::net::SocketAddr::V4(address)).await.unwrap();
            // The server may close the connection before it has read everything.
            let _ = client.write_all(bad.as_bytes()).await;
            let mut response = Vec::new();
            let _ = client.read_to_end(&mut response).await;
            let text = String::from_utf8_lossy(&response);
            assert!(response.is_empty() || text.starts_with("HTTP/1.1 4"), "{text}");
        }
        assert!(received.borrow().is_empty(), "no malformed request reaches the handler");
    });
}

#[test]
fn closes_slow_request_heads_but_not_idle_connections() {
    run(|executor| async move {
        let (listener, address) = bind().await;
        let handler: server::Handler =
            Rc::new(|_| Box::pin(async { Response::new(ResponseBody::full("ok")) }));
        let limits = ServerLimits::new(8);
        limits.head_timeout.set(Duration::from_millis(20));
        limits.idle_timeout.set(Duration::from_hours(1));
        executor.spawn(server::serve(listener, handler, limits, Rc::downgrade(&executor))).detach();
        let address = std::net::SocketAddr::V4(address);
        let mut idle = TcpStream::connect(address).await.unwrap();
        let mut slow = TcpStream::connect(address).await.unwrap();
        slow.write_all(b"GET / HT").await.unwrap();
        let mut response = Vec::new();
        // The connection may be closed or reset.
        let _ = slow.read_to_end(&mut response).await;
        assert!(response.is_empty(), "an incomplete head gets no response");
        idle.write_all(b"GET / HTTP/1.1\r\nhost: test\r\n\r\n").await.unwrap();
        let mut response = [0; 12];
        idle.read_exact(&mut response).await.unwrap();
        assert_eq!(&response, b"HTTP/1.1 200");
    });
}

#[test]
fn closes_connections_over_the_limit() {
    run(|_| async move {
        let (listener, address) = bind().await;
        let address = std::net::SocketAddr::V4(address);
        let limiter = ConnectionLimiter::new("a test");
        let connect = || TcpStream::connect(address);
        let (_first, _second) = (connect().await.unwrap(), connect().await.unwrap());
        let (_, first) = limiter.accept(&listener, || 2).await;
        let (_, second) = limiter.accept(&listener, || 2).await;
        let mut third = connect().await.unwrap();
        let mut end = Vec::new();
        let closed = async {
            let _ = third.read_to_end(&mut end).await;
        };
        let accepting = limiter.accept(&listener, || 2);
        // The limiter never accepts the third connection, but must be polled to close it.
        assert!(matches!(select(pin!(accepting), pin!(closed)).await, Either::Right(_)));
        drop(first);
        drop(second);
        assert_eq!(limiter.open_connections(), 0, "dropped permits free their connections");
        let (_fourth, _fifth) = (connect().await.unwrap(), connect().await.unwrap());
        let _fourth = limiter.accept(&listener, || 2).await;
        let _fifth = limiter.accept(&listener, || 2).await;
        assert_eq!(limiter.open_connections(), 2);
    });
}

#[test]
fn pools_connections_for_part_of_the_keep_alive_timeout() {
    let timeout_ms = |value: &'static str| {
        let mut headers = http::HeaderMap::new();
        headers.insert("keep-alive", http::HeaderValue::from_static(value));
        idle_timeout(&headers).as_millis()
    };
    let valid = ["timeout=10", "max=5, Timeout = 3", "timeout=3600", "timeout=0"];
    assert_eq!(valid.map(timeout_ms), [6_000, 1_800, 6_000, 0]);
    let invalid = ["", "max=5", "timeout=soon", "timeout=-1", "timeout=1.5"];
    assert!(invalid.map(timeout_ms).iter().all(|timeout| *timeout == RECENT_IDLE_LIMIT.as_millis()));
    assert_eq!(idle_timeout(&http::HeaderMap::new()), RECENT_IDLE_LIMIT);
}

/// A stream that accepts some bytes and then fails.
struct FailingStream {
    accepts: usize,
}

impl futures::AsyncRead for FailingStream {
    fn poll_read(self: Pin<&mut Self>, _: &mut Context<'_>, _: &mut [u8]) -> Poll<io::Result<usize>> {
        Poll::Pending
    }
}

impl futures::AsyncWrite for FailingStream {
    fn poll_write(mut self: Pin<&mut Self>, _: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        if self.accepts == 0 {
            return Poll::Ready(Err(io::ErrorKind::BrokenPipe.into()));
        }
        let count = buf.len().min(self.accepts);
        self.accepts -= count;
        Poll::Ready(Ok(count))
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_close(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }
}

/// Guards against a request that is called unsent after a part of it was written, and so may run twice.
#[test]
fn request_is_unsent_only_if_no_byte_was_written() {
    run(|executor| async move {
        let client = HttpClient::new(&executor, Clock::start());
        let address = "127.0.0.1:1".parse().unwrap();
        let shorter_than_any_request = 50;
        for accepts in 0..shorter_than_any_request {
            let mut connection = client.start(address, FailingStream { accepts }).await.unwrap();
            let error = connection.send(get(b"a body")).await.unwrap_err();
            let unsent = matches!(error, SendError::Connect { .. });
            assert_eq!(unsent, accepts == 0, "after {accepts} bytes: {error}");
        }
    });
}

/// Guards against a request on a pooled connection whose server has closed it, which the connection's task learns of only
/// when it runs next. Once written, such a request may have run.
#[test]
fn closed_connection_is_not_reused_for_a_request_that_runs_once() {
    run(|executor| async move {
        let (listener, address) = bind().await;
        let client = HttpClient::new(&executor, Clock::start());
        let mut connection = client.acquire(address, ReusePolicy::Any).await.unwrap();
        let (mut server, _) = listener.accept().await.unwrap();
        let answering = async {
            read_head(&mut server).await;
            server.write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n").await.unwrap();
        };
        let (response, ()) = futures::future::join(connection.send(get(b"")), answering).await;
        let (head, body) = response.unwrap().into_parts();
        body.collect().await.unwrap();
        client.release(connection, &head.headers, BodyEnd::Length);
        drop(server);
        let connection = client.acquire(address, ReusePolicy::RecentOnly).await.unwrap();
        assert!(!connection.reused);
    });
}

/// A peer that takes any request and always has more to send from then on.
struct EndlessStream {
    piece: &'static [u8],
    read: Rc<Cell<usize>>,
    is_asked: bool,
    reader: Option<Waker>,
}

impl EndlessStream {
    fn new(piece: &'static [u8], read: &Rc<Cell<usize>>) -> Self {
        Self { piece, read: read.clone(), is_asked: false, reader: None }
    }
}

impl futures::AsyncRead for EndlessStream {
    fn poll_read(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &mut [u8]) -> Poll<io::Result<usize>> {
        if !self.is_asked {
            self.reader = Some(cx.waker().clone());
            return Poll::Pending;
        }
        let start = self.read.get() % self.piece.len();
        let count = buf.len().min(self.piece.len() - start);
        buf[..count].copy_from_slice(&self.piece[start..start + count]);
        self.read.set(self.read.get() + count);
        Poll::Ready(Ok(count))
    }
}

impl futures::AsyncWrite for EndlessStream {
    fn poll_write(mut self: Pin<&mut Self>, _: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        self.is_asked = true;
        if let Some(reader) = self.reader.take() {
            reader.wake();
        }
        Poll::Ready(Ok(buf.len()))
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_close(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }
}

/// Guards against a server that holds the only thread, and so all other requests, by bytes before a response that never end.
#[test]
fn response_head_without_end_is_given_up_while_other_tasks_run() {
    let pieces: [&[u8]; 5] = [
        b"HTTP/1.1 103 Early Hints\r\n\r\n",
        b"HTTP/1.1 103 Early Hints\r\nlink: </a>\r\n\r\nHTTP/1.1 100 Continue\r\n\r\n",
        b"\r\n",
        b"garbage",
        b"HTTP/1.1 200 OK\r\nendless: aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa",
    ];
    for piece in pieces {
        run(move |executor| async move {
            let client = HttpClient::new(&executor, Clock::start());
            let read = Rc::new(Cell::new(0));
            let stream = EndlessStream::new(piece, &read);
            let mut connection = client.start("127.0.0.1:1".parse().unwrap(), stream).await.unwrap();
            let turns = Rc::new(Cell::new(0));
            let counted = turns.clone();
            let _other = executor.spawn(async move {
                loop {
                    counted.set(counted.get() + 1);
                    smol::future::yield_now().await;
                }
            });
            let error = connection.send(get(b"")).await.unwrap_err();
            assert!(!matches!(error, SendError::Connect { .. }), "it may have run: {error}");
            assert!(read.get() <= 192 << 10, "{} bytes were read", read.get());
            assert!(turns.get() > 0, "no other task ran");
        });
    }
}

/// Guards against a body without end that keeps the thread from other tasks.
#[test]
fn other_tasks_run_while_a_body_without_end_is_read() {
    run(|executor| async move {
        let client = HttpClient::new(&executor, Clock::start());
        let read = Rc::new(Cell::new(0));
        let stream = EndlessStream::new(b"HTTP/1.1 200 OK\r\n\r\n", &read);
        let mut connection = client.start("127.0.0.1:1".parse().unwrap(), stream).await.unwrap();
        let mut body = connection.send(get(b"")).await.unwrap().into_body();
        let turns = Rc::new(Cell::new(0));
        let counted = turns.clone();
        let _other = executor.spawn(async move {
            loop {
                counted.set(counted.get() + 1);
                smol::future::yield_now().await;
            }
        });
        let mut received = 0;
        while received < 512 << 10 {
            received += body.frame().await.unwrap().unwrap().into_data().unwrap().len();
        }
        assert!(turns.get() >= 4, "other tasks ran {} times", turns.get());
    });
}
