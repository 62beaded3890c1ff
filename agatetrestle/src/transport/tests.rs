//! Tests of the HTTP server and client against peers that misbehave.

use std::cell::RefCell;
use std::net::SocketAddrV4;
use std::pin::pin;
use std::rc::Rc;
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
use crate::transport::client::HttpClient;
use crate::transport::client::RECENT_IDLE_LIMIT;
use crate::transport::client::ReusePolicy;
use crate::transport::client::SendError;
use crate::transport::client::idle_bound;
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

/// A server that reads one head, writes these bytes and closes, once for each.
async fn scripted(executor: &Spawner, scripts: Vec<&'static [u8]>) -> SocketAddrV4 {
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
        assert_eq!(stream.read(&mut byte).await.unwrap(), 1, "the head is whole");
        head.push(byte[0]);
    }
    head
}

fn get(body: &'static [u8]) -> Request<Full<Bytes>> {
    Request::get("/").header("host", "test").body(Full::new(Bytes::from_static(body))).unwrap()
}

/// What a client makes of an answer: its body, or none if it is not whole.
async fn body_of(executor: &Spawner, script: &'static [u8]) -> Option<Bytes> {
    let address = scripted(executor, vec![script]).await;
    let client = HttpClient::new(executor, Clock::start());
    let mut connection = client.acquire(address, ReusePolicy::Any).await.unwrap();
    let answer = connection.send(get(b"")).await.ok()?;
    answer.into_body().collect().await.ok().map(http_body_util::Collected::to_bytes)
}

#[test]
fn a_body_that_is_cut_short_is_told_from_a_whole_one() {
    run(|executor| async move {
        let whole = body_of(&executor, b"HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\nabcd").await;
        assert_eq!(whole.as_deref(), Some(&b"abcd"[..]));
        assert_eq!(body_of(&executor, b"HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\nabc").await, None);
        let chunked = b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n";
        assert_eq!(body_of(&executor, chunked).await.as_deref(), Some(&b"ab"[..]));
        let endless = b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n2\r\nab\r\n";
        assert_eq!(body_of(&executor, endless).await, None);
        let unframed = body_of(&executor, b"HTTP/1.1 200 OK\r\n\r\nabc").await;
        assert_eq!(unframed.as_deref(), Some(&b"abc"[..]), "it ends with its connection");
        assert_eq!(body_of(&executor, b"no answer in the protocol\r\n\r\n").await, None);
    });
}

#[test]
fn bytes_beyond_an_answer_end_the_connection() {
    run(|executor| async move {
        const TWO: &[u8] =
            b"HTTP/1.1 200 OK\r\ncontent-length: 1\r\n\r\naHTTP/1.1 200 OK\r\ncontent-length: 1\r\n\r\nb";
        let address = scripted(&executor, vec![TWO, b"HTTP/1.1 200 OK\r\ncontent-length: 1\r\n\r\nc"]).await;
        let client = HttpClient::new(&executor, Clock::start());
        let mut answers = Vec::new();
        for _ in 0..2 {
            // A kept connection that is found closed is no failure: nothing was sent on it.
            let answer = loop {
                let mut connection = client.acquire(address, ReusePolicy::Any).await.unwrap();
                match connection.send(get(b"")).await {
                    Ok(answer) => break (connection, answer),
                    Err(SendError::Connect { .. }) => {}
                    Err(failure) => panic!("{failure}"),
                }
            };
            let (connection, answer) = answer;
            let (head, body) = answer.into_parts();
            answers.push(body.collect().await.unwrap().to_bytes());
            client.release(connection, &head.headers);
        }
        assert_eq!(answers, [&b"a"[..], &b"c"[..]], "the second answer belongs to no request");
    });
}

#[test]
fn an_answer_may_come_before_the_body_was_read() {
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
        let answer = connection.send(get(&LONG)).await.unwrap();
        assert_eq!(answer.status(), 413);
        tx.send(()).await.unwrap();
        assert_eq!(serving.await, LONG, "what is due of the body comes, and nothing else");
    });
}

/// Says when it is dropped.
struct Dropped(Sender<()>);

impl Drop for Dropped {
    fn drop(&mut self) {
        // The test may have ended already.
        let _ = self.0.try_send(());
    }
}

#[test]
fn a_request_is_dropped_when_its_caller_leaves() {
    run(|executor| async move {
        let (listener, address) = bind().await;
        let (tx, rx) = smol::channel::bounded(1);
        let (begun_tx, begun_rx) = smol::channel::bounded(1);
        let handler: server::Handler = Rc::new(move |_| {
            let (guard, begun) = (Dropped(tx.clone()), begun_tx.clone());
            Box::pin(async move {
                let _guard = guard;
                begun.send(()).await.unwrap();
                futures::future::pending::<Response<ResponseBody>>().await
            })
        });
        let serving = server::serve(listener, handler, ServerLimits::new(8), Rc::downgrade(&executor));
        executor.spawn(serving).detach();
        let mut caller = TcpStream::connect(std::net::SocketAddr::V4(address)).await.unwrap();
        caller.write_all(b"GET / HTTP/1.1\r\nhost: test\r\n\r\n").await.unwrap();
        begun_rx.recv().await.unwrap();
        assert!(rx.recv().now_or_never().is_none(), "it waits for its answer");
        drop(caller);
        rx.recv().await.unwrap();
    });
}

#[test]
fn what_is_no_request_gets_a_4xx_or_a_closed_connection() {
    run(|executor| async move {
        let (listener, address) = bind().await;
        let taken: Rc<RefCell<Vec<String>>> = Rc::default();
        let noting = taken.clone();
        let handler: server::Handler = Rc::new(move |request| {
            noting.borrow_mut().push(request.uri().path().into());
            Box::pin(async { Response::new(ResponseBody::full("ok")) })
        });
        executor
            .spawn(server::serve(listener, handler, ServerLimits::new(8), Rc::downgrade(&executor)))
            .detach();
        let long = format!("GET / HTTP/1.1\r\nhost: test\r\nx: {}\r\n\r\n", "y".repeat(40_000));
        for bad in
            ["no request at all\r\n\r\n", "GET /\r\n\r\n", "GET / HTTP/1.1\r\nbad header\r\n\r\n", &long]
        {
            let mut caller = TcpStream::connect(std::net::SocketAddr::V4(address)).await.unwrap();
            // The server may close before it has read all.
            let _ = caller.write_all(bad.as_bytes()).await;
            let mut answer = Vec::new();
            let _ = caller.read_to_end(&mut answer).await;
            let text = String::from_utf8_lossy(&answer);
            assert!(answer.is_empty() || text.starts_with("HTTP/1.1 4"), "{text}");
        }
        assert!(taken.borrow().is_empty(), "none of it was taken for a request");
    });
}

#[test]
fn a_slow_head_ends_its_connection_and_an_idle_one_stays() {
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
        let mut answer = Vec::new();
        // How the connection ends does not matter.
        let _ = slow.read_to_end(&mut answer).await;
        assert!(answer.is_empty(), "there is no answer to half a head");
        idle.write_all(b"GET / HTTP/1.1\r\nhost: test\r\n\r\n").await.unwrap();
        let mut answer = [0; 12];
        idle.read_exact(&mut answer).await.unwrap();
        assert_eq!(&answer, b"HTTP/1.1 200");
    });
}

#[test]
fn connections_beyond_the_bound_are_closed_and_an_ended_one_frees_its_place() {
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
        let admitting = limiter.accept(&listener, || 2);
        // The gate never admits the third; it is polled so that it closes it.
        assert!(matches!(select(pin!(admitting), pin!(closed)).await, Either::Right(_)));
        drop(first);
        drop(second);
        assert_eq!(limiter.open_connections(), 0, "both places are free again");
        let (_fourth, _fifth) = (connect().await.unwrap(), connect().await.unwrap());
        let _fourth = limiter.accept(&listener, || 2).await;
        let _fifth = limiter.accept(&listener, || 2).await;
        assert_eq!(limiter.open_connections(), 2);
    });
}

#[test]
fn a_connection_is_kept_for_a_part_of_what_the_server_says() {
    let bound = |value: &'static str| {
        let mut headers = http::HeaderMap::new();
        headers.insert("keep-alive", http::HeaderValue::from_static(value));
        idle_bound(&headers).as_millis()
    };
    let told = ["timeout=10", "max=5, Timeout = 3", "timeout=3600", "timeout=0"];
    assert_eq!(told.map(bound), [6_000, 1_800, 6_000, 0]);
    let untold = ["", "max=5", "timeout=soon", "timeout=-1", "timeout=1.5"];
    assert!(untold.map(bound).iter().all(|bound| *bound == RECENT_IDLE_LIMIT.as_millis()));
    assert_eq!(idle_bound(&http::HeaderMap::new()), RECENT_IDLE_LIMIT);
}
