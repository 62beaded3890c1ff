//! Requests that are slow, oversize, malformed or cut off: a typed refusal or a closed connection.

mod support;

use std::fmt::Write;
use std::net::Shutdown;
use std::net::SocketAddr;
use std::time::Duration;

use agatetrestle::programs::command::CallState;
use agatetrestle_fakes::Engine;
use agatetrestle_fakes::EngineConfig;
use agatetrestle_fakes::Service;
use proptest::prelude::*;
use proptest::test_runner::Config;
use proptest::test_runner::RngAlgorithm;
use proptest::test_runner::TestRng;
use proptest::test_runner::TestRunner;
use smol::io::AsyncReadExt;
use smol::io::AsyncWriteExt;
use smol::net::TcpStream;

use crate::support::PROGRAM;
use crate::support::Rig;
use crate::support::chat;
use crate::support::run;

/// Enough tokens, at some 110 bytes each, that no socket buffer takes in the whole answer.
const UNREAD_TOKENS: u64 = 60_000;

const ASK: &str = "GET /v1/addresses HTTP/1.1\r\nHost: a\r\n\r\n";

async fn connect(address: SocketAddr, bytes: &[u8]) -> TcpStream {
    let mut stream = TcpStream::connect(address).await.unwrap();
    stream.write_all(bytes).await.unwrap();
    stream
}

/// Everything the entry sends until it closes the connection.
async fn rest(stream: &mut TcpStream) -> String {
    let mut text = String::new();
    stream.read_to_string(&mut text).await.unwrap();
    text
}

/// Reads one answer with a length, so that the connection may stay open.
async fn one(stream: &mut TcpStream) -> String {
    let mut head = Vec::new();
    let mut byte = [0];
    while !head.ends_with(b"\r\n\r\n") {
        stream.read_exact(&mut byte).await.unwrap();
        head.push(byte[0]);
    }
    let head = String::from_utf8(head).unwrap();
    let length = head.lines().find_map(|line| line.strip_prefix("content-length: ")).unwrap_or("0");
    let mut body = vec![0; length.parse().unwrap()];
    stream.read_exact(&mut body).await.unwrap();
    head + &String::from_utf8(body).unwrap()
}

fn verdict(answer: &str) -> String {
    let status = answer.split(' ').nth(1).unwrap_or("closed");
    let reason = answer.split("\"reason\":\"").nth(1).and_then(|rest| rest.split('"').next());
    let outcome = if answer.contains("\"outcome\":\"not_run\"") { " not_run" } else { "" };
    format!("{status} {}{outcome}", reason.unwrap_or("-"))
}

fn malformed() -> Vec<(&'static str, Vec<u8>)> {
    let with =
        |header: &str| format!("POST /v1/programs HTTP/1.1\r\nHost: a\r\n{header}\r\n\r\n{{}}").into_bytes();
    let many = (0..101).fold(String::new(), |mut text, n| {
        write!(text, "x-{n}: 1\r\n").unwrap();
        text
    });
    vec![
        ("no host", b"GET / HTTP/1.1\r\n\r\n".to_vec()),
        ("two hosts", with("Host: b")),
        ("two lengths", with("Content-Length: 2\r\nContent-Length: 3")),
        ("two equal lengths", with("Content-Length: 2\r\nContent-Length: 2")),
        ("list of lengths", with("Content-Length: 2, 2")),
        ("length and chunked", with("Content-Length: 2\r\nTransfer-Encoding: chunked")),
        ("chunked with trailers", with("Transfer-Encoding: chunked\r\nTrailer: x")),
        ("unknown transfer coding", with("Transfer-Encoding: gzip, chunked")),
        ("negative length", with("Content-Length: -2")),
        ("signed length", with("Content-Length: +2")),
        ("hexadecimal length", with("Content-Length: 0x2")),
        ("endless length", with("Content-Length: 99999999999999999999999")),
        ("oversize body", with("Content-Length: 4194305")),
        ("oversize header", with(&format!("x: {}", "y".repeat(9000)))),
        ("too many headers", with(&many)),
        ("line without end", vec![b'y'; 20_000]),
        ("folded header", with("x: 1\r\n y")),
        ("space before the colon", with("Content-Length : 2")),
        ("no colon", with("nonsense")),
        ("bare line feeds", b"GET / HTTP/1.1\nHost: a\n\n\r\n\r\n".to_vec()),
        ("control character", with("x: a\x01b")),
        ("no text", b"GET / HTTP/1.1\r\nHost: \xff\xfe\r\n\r\n".to_vec()),
        ("unknown expectation", with("Expect: wonders")),
        ("unknown method", b"BREW / HTTP/1.1\r\nHost: a\r\n\r\n".to_vec()),
        ("old version", b"GET / HTTP/1.0\r\nHost: a\r\n\r\n".to_vec()),
        ("version 2", b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n".to_vec()),
        ("no version", b"GET /\r\nHost: a\r\n\r\n".to_vec()),
        ("no path", b"GET nonsense HTTP/1.1\r\nHost: a\r\n\r\n".to_vec()),
        ("tunnel", b"CONNECT a:1 HTTP/1.1\r\nHost: a\r\n\r\n".to_vec()),
        ("TLS", b"\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03\r\n\r\n".to_vec()),
        ("no key", with("Content-Length: 2")),
        ("no object", with("Idempotency-Key: k\r\nContent-Length: 2")),
    ]
}

#[test]
fn malformed_requests_get_a_typed_refusal() {
    run(async |executor| {
        let rig = Rig::new(&executor, &[], &[]);
        let node = rig.node(1).await;
        let mut verdicts = String::new();
        for (name, bytes) in malformed() {
            let mut stream = connect(node.client.address, &bytes).await;
            stream.shutdown(Shutdown::Write).unwrap();
            writeln!(verdicts, "{name}: {}", verdict(&rest(&mut stream).await)).unwrap();
        }
        insta::assert_snapshot!(verdicts);
    });
}

#[test]
fn slow_requests_are_cut_off_by_time() {
    run(async |executor| {
        let rig = Rig::new(&executor, &[], &[]);
        let node = rig.node(1).await;
        let (head_time, idle) = (rig.limits.head_time, rig.limits.idle);

        let mut slow_head = connect(node.client.address, b"GET /v1/addr").await;
        rig.timer.armed(head_time).await;
        rig.timer.advance(head_time);
        assert_eq!(verdict(&rest(&mut slow_head).await), "408 too_slow");

        let mut silent = connect(node.client.address, b"").await;
        rig.timer.armed(idle).await;
        rig.timer.advance(idle);
        assert_eq!(rest(&mut silent).await, "", "an idle connection is closed without a word");

        let head =
            "POST /v1/programs HTTP/1.1\r\nHost: a\r\nExpect: 100-continue\r\nContent-Length: 9\r\n\r\n{";
        let mut slow_body = connect(node.client.address, head.as_bytes()).await;
        one(&mut slow_body).await;
        rig.timer.armed(idle).await;
        rig.timer.advance(idle);
        assert_eq!(verdict(&rest(&mut slow_body).await), "408 too_slow");
    });
}

#[test]
fn a_trickling_head_gets_no_more_time_for_each_byte() {
    run(async |executor| {
        let rig = Rig::new(&executor, &[], &[]);
        let node = rig.node(1).await;
        let head_time = rig.limits.head_time;
        let mut stream = connect(node.client.address, b"G").await;
        rig.timer.armed(head_time).await;
        let almost = head_time.saturating_sub(Duration::from_millis(1));
        rig.timer.advance(almost);
        stream.write_all(b"ET").await.unwrap();
        for _ in 0..100 {
            smol::future::yield_now().await;
        }
        rig.timer.advance(head_time.saturating_sub(almost));
        assert_eq!(verdict(&rest(&mut stream).await), "408 too_slow");
    });
}

#[test]
fn cut_off_requests_run_nothing() {
    run(async |executor| {
        let service = Service::start(&executor).await.unwrap();
        let rig = Rig::new(&executor, &[], &[service.address]);
        let node = rig.node(1).await;
        rig.open(&node).await;
        rig.ledger.take_commands();
        let whole = format!(
            "POST /v1/services/rota/book HTTP/1.1\r\nHost: a\r\nAgatetrestle-Program: {PROGRAM}\r\n\
             Agatetrestle-Call: 1\r\nIdempotency-Key: k\r\nContent-Length: 4\r\n\r\nward"
        );
        for at in (1..whole.len()).step_by(7) {
            let mut stream = connect(node.client.address, &whole.as_bytes()[..at]).await;
            stream.shutdown(Shutdown::Write).unwrap();
            let verdict = verdict(&rest(&mut stream).await);
            assert!(
                ["closed -", "400 malformed", "400 malformed not_run"].contains(&verdict.as_str()),
                "{at}: {verdict}"
            );
        }
        assert!(rig.ledger.take_commands().is_empty());
        assert!(service.runs().is_empty());
    });
}

#[test]
fn pipelined_requests_are_answered_in_order() {
    run(async |executor| {
        let rig = Rig::new(&executor, &[], &[]);
        let node = rig.node(1).await;
        let post =
            "POST /v1/programs/end?program=vrsta/none HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\nGET";
        let all = format!("{ASK}{post}{ASK}");
        for size in [all.len(), 50, 7] {
            let mut stream = TcpStream::connect(node.client.address).await.unwrap();
            for part in all.as_bytes().chunks(size) {
                stream.write_all(part).await.unwrap();
            }
            assert!(one(&mut stream).await.contains("max_age_ms"));
            assert_eq!(verdict(&one(&mut stream).await), "404 no_program not_run");
            assert!(one(&mut stream).await.contains("max_age_ms"));
        }
    });
}

#[test]
fn leave_to_send_the_body_is_given_once() {
    run(async |executor| {
        let rig = Rig::new(&executor, &[], &[]);
        let node = rig.node(1).await;
        let head = "POST /v1/programs/end?program=vrsta/none HTTP/1.1\r\nHost: a\r\n\
                    Expect: 100-continue\r\nContent-Length: 2\r\n\r\n";
        let mut stream = connect(node.client.address, head.as_bytes()).await;
        assert_eq!(one(&mut stream).await, "HTTP/1.1 100 Continue\r\n\r\n");
        stream.write_all(b"{}").await.unwrap();
        assert_eq!(verdict(&one(&mut stream).await), "404 no_program not_run");
    });
}

#[test]
fn connections_beyond_the_limit_are_refused() {
    run(async |executor| {
        let mut rig = Rig::new(&executor, &[], &[]);
        rig.limits.connections = 2;
        let node = rig.node(1).await;
        let mut kept = Vec::new();
        for _ in 0..2 {
            let mut stream = connect(node.client.address, ASK.as_bytes()).await;
            one(&mut stream).await;
            kept.push(stream);
        }
        let mut third = connect(node.client.address, b"").await;
        third.shutdown(Shutdown::Write).unwrap();
        assert_eq!(verdict(&rest(&mut third).await), "503 connections");
    });
}

#[test]
fn a_caller_that_does_not_read_holds_up_nobody() {
    run(async |executor| {
        let config = EngineConfig { output_tokens: UNREAD_TOKENS, ..EngineConfig::default() };
        let engine = Engine::start(&executor, config).await.unwrap();
        let rig = Rig::new(&executor, &[engine.address], &[]);
        let node = rig.node(1).await;
        rig.open(&node).await;
        let mut form = chat();
        form["max_tokens"] = UNREAD_TOKENS.into();
        let body = form.to_string();
        let request = format!(
            "POST /v1/chat/completions HTTP/1.1\r\nHost: a\r\nAgatetrestle-Program: {PROGRAM}\r\n\
             Agatetrestle-Call: 1\r\nIdempotency-Key: k\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        );
        let stream = connect(node.client.address, request.as_bytes()).await;
        while rig.ledger.program(PROGRAM).last.is_none_or(|last| last.1 != CallState::Finished) {
            smol::future::yield_now().await;
        }
        assert_eq!(engine.cancelled(), 0, "the engine went through at its own pace");
        drop(stream);
        let reply = node.client.answer(PROGRAM, "k").await.unwrap();
        assert_eq!(reply.text().matches("vrsta/dawn#1:").count() as u64, UNREAD_TOKENS);
    });
}

/// Valid requests with bytes changed, doubled or cut: the entry always closes, and is well afterwards.
#[test]
fn damaged_requests_never_hang_or_panic() {
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[7; 32]);
    let mut runner = TestRunner::new_with_rng(Config { cases: 256, ..Config::default() }, rng);
    let change = (any::<prop::sample::Index>(), any::<u8>(), 0..3_u8);
    let changes = prop::collection::vec(change, 1..6);
    let outcome = runner.run(&changes, |changes| {
        let mut bytes =
            format!("{ASK}{}", ASK.replace("\r\n\r\n", "\r\nContent-Length: 5\r\n\r\nabcde")).into_bytes();
        for (at, byte, kind) in changes {
            let at = at.index(bytes.len());
            match kind {
                0 => bytes[at] = byte,
                1 => bytes.insert(at, byte),
                _ => bytes.truncate(at.max(1)),
            }
        }
        run(async |executor| {
            let rig = Rig::new(&executor, &[], &[]);
            let node = rig.node(1).await;
            let mut stream = connect(node.client.address, &bytes).await;
            stream.shutdown(Shutdown::Write).unwrap();
            let mut all = Vec::new();
            stream.read_to_end(&mut all).await.unwrap();
            assert_eq!(node.client.get("/v1/addresses").await.unwrap().status, 200);
        });
        Ok(())
    });
    outcome.unwrap();
}
