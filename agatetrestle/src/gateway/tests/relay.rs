//! Tests of the framing of forwarded responses.

use futures::AsyncReadExt;
use futures::AsyncWriteExt;

use crate::gateway::tests::early::Harness;
use crate::gateway::tests::early::begun;
use crate::gateway::tests::early::read_status;
use crate::gateway::tests::early::run;
use crate::routing::RouteKind;

/// Guards against a response whose end the caller can't tell from a broken connection, because the server's is one.
#[test]
fn response_of_http_1_0_server_has_an_explicit_end() {
    run(|executor| async move {
        let harness = Harness::start(&executor, None).await;
        harness.commits.send(Ok(begun(&[]))).await.unwrap();
        let mut caller = harness.send().await;
        let mut server = harness.receive(b"hey").await;
        server.write_all(b"HTTP/1.0 200 OK\r\n\r\ndata: a\n\n").await.unwrap();
        drop(server);
        let mut response = Vec::new();
        while !response.ends_with(b"data: a\n\n\r\n0\r\n\r\n") {
            let mut byte = [0];
            let text = String::from_utf8_lossy(&response);
            assert_eq!(caller.read(&mut byte).await.unwrap(), 1, "ends without its last chunk: {text}");
            response.push(byte[0]);
        }
        assert!(response.starts_with(b"HTTP/1.1 200 OK\r\n"));
    });
}

const PLAIN: RouteKind = RouteKind::Idempotent;
const STREAM: RouteKind = RouteKind::Streaming { resumable: false };
const RESUMABLE: RouteKind = RouteKind::Streaming { resumable: true };

/// Guards against an answer without a valid final status, which callers would take for that of their request.
#[test]
fn status_that_ends_no_request_is_not_passed_on() {
    let statuses = [
        "000 None",
        "00",
        "099 None",
        "0200 OK",
        "20 OK",
        "1000 OK",
        "-20 OK",
        "abc OK",
        "101 Switching Protocols",
        "600 Other",
        "700 Other",
        "999 Other",
    ];
    let bodies =
        ["content-length: 2\r\n\r\nok", "\r\n", "content-type: text/event-stream\r\n\r\ndata: a\n\n"];
    for (kind, status, body) in combinations(&[PLAIN, STREAM, RESUMABLE], &statuses, &bodies) {
        run(|executor| async move {
            let harness = Harness::start_with_kind(&executor, kind).await;
            for _ in 0..2 {
                harness.commits.send(Ok(begun(&[]))).await.unwrap();
            }
            let mut caller = harness.send().await;
            let serving = async {
                // An idempotent request is sent again.
                loop {
                    let mut server = harness.receive(b"hey").await;
                    server.write_all(format!("HTTP/1.1 {status}\r\n{body}").as_bytes()).await.unwrap();
                }
            };
            let answered = smol::future::or(read_status(&mut caller), serving).await;
            assert_eq!(answered, 502, "{kind:?} {status} {body:?}");
        });
    }
}

fn combinations<'a>(
    kinds: &'a [RouteKind],
    statuses: &'a [&'static str],
    bodies: &'a [&'static str],
) -> impl Iterator<Item = (RouteKind, &'static str, &'static str)> {
    let of_kind = move |kind: &RouteKind| {
        let kind = *kind;
        statuses.iter().flat_map(move |status| bodies.iter().map(move |body| (kind, *status, *body)))
    };
    kinds.iter().flat_map(of_kind)
}
