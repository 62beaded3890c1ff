//! Answers of backend servers that are slow, cut off or malformed, sent byte by byte.

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
struct Seen {
    wrote: Cell<bool>,
    pieces: Cell<u32>,
}

impl ExchangeObserver for Seen {
    fn on_write(&self) {
        self.wrote.set(true);
    }

    fn on_event(&self, _: &[u8]) {
        self.pieces.set(self.pieces.get() + 1);
    }
}

fn outgoing() -> BackendRequest {
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

/// Sends the parts one after the other, each after the other side had every chance to read the last.
async fn exchange(parts: &[&str], kind: BackendKind) -> String {
    let listener = TcpListener::bind(("127.0.0.1", 0)).await.unwrap();
    let address = listener.local_addr().unwrap();
    let answering = async {
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
    let backends = HttpBackendClient::new(Rc::new(SystemTimer), Duration::from_secs(5));
    let seen = Seen::default();
    let out = outgoing();
    let calling = backends.exchange(address, kind, 3, &out, &seen);
    let (reply, ()) = smol::future::zip(calling, answering).await;
    assert!(seen.wrote.get());
    let pieces = seen.pieces.get();
    match reply {
        Ok(reply) => format!(
            "{} {:?} {pieces} pieces, {:?}",
            reply.answer.status,
            String::from_utf8_lossy(&reply.answer.body),
            reply.usage
        ),
        Err(error) => {
            let stored = error.reply.map(|reply| reply.answer.status);
            format!("{:?}: {} {pieces} pieces, answer {stored:?}", error.failure, error.detail)
        }
    }
}

const EVENTS: &str =
    "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";

fn cases() -> Vec<(&'static str, BackendKind, Vec<&'static str>)> {
    use BackendKind::Engine;
    use BackendKind::Service;
    let ok = "HTTP/1.1 200 OK\r\n";
    vec![
        ("whole", Service, vec![ok, "Content-Length: 2\r\n\r\n", "o", "k"]),
        ("cut off", Service, vec![ok, "Content-Length: 3\r\n\r\nok"]),
        ("chunked", Service, vec![ok, "Transfer-Encoding: chunked\r\n\r\n1\r\no\r\n", "1\r\nk\r\n0\r\n\r\n"]),
        ("chunked, cut off", Service, vec![ok, "Transfer-Encoding: chunked\r\n\r\n5\r\nok"]),
        ("chunked, no end", Service, vec![ok, "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n"]),
        ("until the close", Service, vec![ok, "\r\no", "k"]),
        ("old version", Service, vec!["HTTP/1.0 200 OK\r\n\r\n", "ok"]),
        ("no body", Service, vec!["HTTP/1.1 204 No Content\r\n\r\n"]),
        ("both lengths", Service, vec![ok, "Content-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\nok"]),
        ("no HTTP", Service, vec!["220 mail ready\r\n\r\n"]),
        ("nothing", Service, vec![]),
        ("half a head", Service, vec!["HTTP/1.1 200"]),
        ("error", Service, vec!["HTTP/1.1 500 Oh\r\nContent-Length: 1\r\n\r\nx"]),
        ("busy service", Service, vec!["HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n"]),
        ("not started", Service, vec!["HTTP/1.1 503 Busy\r\nAgatetrestle-Outcome: not_run\r\n\r\n"]),
        ("busy engine", Engine, vec!["HTTP/1.1 429 Busy\r\nContent-Length: 0\r\n\r\n"]),
        ("half a completion", Engine, vec![ok, "\r\n{\"choices\":["]),
        ("completion", Engine, vec![ok, "\r\n{\"usage\":{\"prompt_tokens\":5,\"completion_tokens\":2}}"]),
        ("events", Engine, vec![EVENTS, "f\r\ndata: {\"a\":1}\n\n\r\n", "e\r\ndata: [DONE]\n\n\r\n0\r\n"]),
        ("events, cut off", Engine, vec![EVENTS, "f\r\ndata: {\"a\":1}\n\n\r\n0\r\n\r\n"]),
    ]
}

#[test]
fn only_whole_answers_count() {
    let mut outcomes = String::new();
    for (name, kind, parts) in cases() {
        let outcome = smol::block_on(exchange(&parts, kind));
        writeln!(outcomes, "{name}: {outcome}").unwrap();
    }
    insta::assert_snapshot!(outcomes);
}

/// A timer that is always over, so that every wait is cut into polls.
struct NoTime;

impl Timer for NoTime {
    fn after(&self, _: Duration) -> LocalBoxFuture<'static, ()> {
        Box::pin(async {})
    }
}

/// A reader that is not ready at first and forgets to wake its task, as the chunk decoder of
/// `async-h1` does between two parts of the trailers.
struct Forgetful(u32);

impl AsyncRead for Forgetful {
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
fn a_reader_that_forgets_to_wake_is_asked_again_within_the_patience() {
    let (request, seen) = (outgoing(), Seen::default());
    let exchange = Exchange { timer: &NoTime, request: &request, progress: &seen };
    let mut buf = [0];
    assert_eq!(smol::block_on(exchange.read(&mut Forgetful(POLLS - 1), &mut buf)), Ok(1));
    let silent = smol::block_on(exchange.read(&mut Forgetful(POLLS), &mut buf)).unwrap_err();
    assert_eq!(silent.failure, Failure::Lost);
}
