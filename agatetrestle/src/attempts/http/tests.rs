//! Answers that arrive in parts, truncated or malformed.

use std::cell::Cell;
use std::fmt::Write;

use smol::net::TcpListener;

use super::*;
use crate::attempts::timer::SystemTimer;
use crate::ids::CallNumber;
use crate::ids::ProgramId;
use crate::ids::RequestKey;
use crate::programs::command::Repeatable;

#[derive(Default)]
struct RecordingObserver {
    written: Cell<bool>,
    events: Cell<u32>,
}

impl ExchangeObserver for RecordingObserver {
    fn on_write(&self) {
        self.written.set(true);
    }

    fn on_event(&self, _: &[u8]) {
        self.events.set(self.events.get() + 1);
    }
}

fn request() -> BackendRequest {
    BackendRequest {
        program: ProgramId { partner: "vrsta".into(), name: "dawn".into() },
        call: CallNumber(1),
        key: RequestKey("k".into()),
        path: "/book".into(),
        content_type: "text/plain".into(),
        body: (*b"ward").into(),
        repeatable: Repeatable::No,
        stream: false,
        idle_timeout: Duration::from_mins(1),
    }
}

/// Answers with the given parts and yields after each, so that the client reads them separately.
async fn exchange(parts: &[&str], kind: BackendKind) -> String {
    let listener = TcpListener::bind(("127.0.0.1", 0)).await.unwrap();
    let address = listener.local_addr().unwrap();
    let server = async {
        let (mut stream, _) = listener.accept().await.unwrap();
        let mut buf = [0; 4096];
        stream.read(&mut buf).await.unwrap();
        for part in parts {
            stream.write_all(part.as_bytes()).await.unwrap();
            for _ in 0..20 {
                smol::future::yield_now().await;
            }
        }
    };
    let client = HttpBackendClient::new(Rc::new(SystemTimer), Duration::from_secs(5));
    let observer = RecordingObserver::default();
    let request = request();
    let call = client.exchange(address, kind, 3, &request, &observer);
    let (reply, ()) = smol::future::zip(call, server).await;
    assert!(observer.written.get());
    let events = observer.events.get();
    match reply {
        Ok(reply) => format!(
            "{} {:?} {events} events, {:?}",
            reply.answer.status,
            String::from_utf8_lossy(&reply.answer.body),
            reply.usage
        ),
        Err(error) => {
            let status = error.reply.map(|reply| reply.answer.status);
            format!("{:?}: {} {events} events, answer {status:?}", error.failure, error.detail)
        }
    }
}

const EVENTS: &str =
    "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";

const INTERIM_HEADS: &str = "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\nHTTP/1.1 100 Continue\r\n\r\n";

const UNFRAMED_EVENTS: &str = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n";

fn cases() -> Vec<(&'static str, BackendKind, Vec<&'static str>)> {
    use BackendKind::Engine;
    use BackendKind::Service;
    let ok = "HTTP/1.1 200 OK\r\n";
    vec![
        ("complete", Service, vec![ok, "Content-Length: 2\r\n\r\n", "o", "k"]),
        ("truncated", Service, vec![ok, "Content-Length: 3\r\n\r\nok"]),
        ("chunked", Service, vec![ok, "Transfer-Encoding: chunked\r\n\r\n1\r\no\r\n", "1\r\nk\r\n0\r\n\r\n"]),
        ("chunked, truncated", Service, vec![ok, "Transfer-Encoding: chunked\r\n\r\n5\r\nok"]),
        ("chunked, no end", Service, vec![ok, "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n"]),
        ("until close", Service, vec![ok, "\r\no", "k"]),
        ("HTTP/1.0", Service, vec!["HTTP/1.0 200 OK\r\n\r\n", "ok"]),
        ("no body", Service, vec!["HTTP/1.1 204 No Content\r\n\r\n"]),
        ("two framings", Service, vec![ok, "Content-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\nok"]),
        ("whole events until close", Service, vec![UNFRAMED_EVENTS, "data: a\n\n"]),
        ("events until close, truncated", Service, vec![UNFRAMED_EVENTS, "data: a\n\ndata: b"]),
        ("no events until close", Service, vec![UNFRAMED_EVENTS]),
        ("not HTTP", Service, vec!["220 mail ready\r\n\r\n"]),
        ("empty", Service, vec![]),
        ("truncated head", Service, vec!["HTTP/1.1 200"]),
        ("after interim responses", Service, vec![INTERIM_HEADS, ok, "Content-Length: 2\r\n\r\nok"]),
        ("interim response only", Service, vec![INTERIM_HEADS]),
        ("unasked switch of protocols", Service, vec!["HTTP/1.1 101 Switching Protocols\r\n\r\n", "x"]),
        ("no status", Service, vec!["HTTP/1.1 000 None\r\nContent-Length: 1\r\n\r\nx"]),
        ("invalid status", Service, vec!["HTTP/1.1 600 Other\r\nContent-Length: 1\r\n\r\nx"]),
        ("error", Service, vec!["HTTP/1.1 500 Oh\r\nContent-Length: 1\r\n\r\nx"]),
        ("busy service", Service, vec!["HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n"]),
        ("not started", Service, vec!["HTTP/1.1 503 Busy\r\nAgatetrestle-Outcome: not_run\r\n\r\n"]),
        ("busy engine", Engine, vec!["HTTP/1.1 429 Busy\r\nContent-Length: 0\r\n\r\n"]),
        ("truncated completion", Engine, vec![ok, "\r\n{\"choices\":["]),
        ("completion", Engine, vec![ok, "\r\n{\"usage\":{\"prompt_tokens\":5,\"completion_tokens\":2}}"]),
        ("events", Engine, vec![EVENTS, "f\r\ndata: {\"a\":1}\n\n\r\n", "e\r\ndata: [DONE]\n\n\r\n0\r\n"]),
        ("events, truncated", Engine, vec![EVENTS, "f\r\ndata: {\"a\":1}\n\n\r\n0\r\n\r\n"]),
    ]
}

#[test]
fn accepts_only_complete_answers() {
    let mut outcomes = String::new();
    for (name, kind, parts) in cases() {
        let outcome = smol::block_on(exchange(&parts, kind));
        writeln!(outcomes, "{name}: {outcome}").unwrap();
    }
    insta::assert_snapshot!(outcomes);
}

/// A timer that expires immediately.
struct ExpiredTimer;

impl Timer for ExpiredTimer {
    fn after(&self, _: Duration) -> LocalBoxFuture<'static, ()> {
        Box::pin(async {})
    }
}

/// A reader that is pending a number of times without registering a wake-up, like the chunk decoder of
/// `async-h1` between two parts of the trailers.
struct NeverWakes(u32);

impl AsyncRead for NeverWakes {
    fn poll_read(
        mut self: std::pin::Pin<&mut Self>,
        _: &mut std::task::Context<'_>,
        buf: &mut [u8],
    ) -> std::task::Poll<std::io::Result<usize>> {
        if self.0 > 0 {
            self.0 -= 1;
            return std::task::Poll::Pending;
        }
        buf[0] = b'x';
        std::task::Poll::Ready(Ok(1))
    }
}

#[test]
fn polls_a_reader_that_never_wakes() {
    let (request, observer) = (request(), RecordingObserver::default());
    let exchange = Exchange { timer: &ExpiredTimer, request: &request, observer: &observer };
    let mut buf = [0];
    assert_eq!(smol::block_on(exchange.read(&mut NeverWakes(IDLE_POLLS - 1), &mut buf)), Ok(1));
    let error = smol::block_on(exchange.read(&mut NeverWakes(IDLE_POLLS), &mut buf)).unwrap_err();
    assert_eq!(error.failure, Failure::Lost);
}

/// Sends pieces without end to the client that `call` starts, until it closes the connection.
async fn send_without_end<T>(start: &str, piece: &str, call: impl AsyncFnOnce(SocketAddr) -> T) -> T {
    let listener = TcpListener::bind(("127.0.0.1", 0)).await.unwrap();
    let address = listener.local_addr().unwrap();
    let server = async {
        let (mut stream, _) = listener.accept().await.unwrap();
        stream.read(&mut [0; 4096]).await.unwrap();
        let piece = piece.repeat((64 << 10) / piece.len());
        let mut sent = start.len();
        stream.write_all(start.as_bytes()).await.unwrap();
        while stream.write_all(piece.as_bytes()).await.is_ok() {
            sent += piece.len();
            assert!(sent < 128 << 20, "{start}{}: the client reads on", &piece[..16]);
        }
    };
    let (outcome, ()) = smol::future::zip(call(address), server).await;
    outcome
}

/// Guards against a backend server that takes the memory and the thread by an answer without end.
#[test]
fn answers_without_end_are_given_up() {
    let chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    let cases = [
        ("", "HTTP/1.1 103 Early Hints\r\n\r\n"),
        ("", "HTTP/1.1 100 Continue\r\nLink: </a>\r\n\r\n"),
        ("", "no HTTP at all; "),
        ("HTTP/1.1 200 OK\r\n", "Header: a value of it\r\n"),
        ("HTTP/1.1 200 OK\r\n\r\n", "a body without end"),
        (chunked, "10\r\nsixteen bytes of it\r\n"),
        (chunked, "1;extension=without-end;"),
        ("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n", "data: without end\n\n"),
        ("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n", ": a comment line\n"),
    ];
    for (start, piece) in cases {
        for kind in [BackendKind::Engine, BackendKind::Service] {
            let call = async |address| {
                let client = HttpBackendClient::new(Rc::new(SystemTimer), Duration::from_secs(5));
                client.exchange(address, kind, 3, &request(), &RecordingObserver::default()).await
            };
            let reply = smol::block_on(send_without_end(start, piece, call));
            assert_eq!(reply.unwrap_err().failure, Failure::Lost, "{start}{piece}");
        }
        let call = async |address| {
            let client = HttpBackendClient::new(Rc::new(SystemTimer), Duration::from_secs(5));
            client.report(address, 0).await
        };
        let report = smol::block_on(send_without_end(start, piece, call));
        assert!(
            matches!(report, Ok(None) | Err(ExchangeError { failure: Failure::Lost, .. })),
            "{start}{piece}"
        );
    }
}
