//! Slow, oversize, malformed and truncated requests are refused with a reason or their connection is closed.

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

use crate::support::Harness;
use crate::support::PROGRAM;
use crate::support::chat_request;
use crate::support::run;

/// At about 110 bytes a token, the answer exceeds any socket buffer.
const UNREAD_TOKENS: u64 = 60_000;

const ADDRESSES_REQUEST: &str = "GET /v1/addresses HTTP/1.1\r\nHost: a\r\n\r\n";

async fn connect(address: SocketAddr, bytes: &[u8]) -> TcpStream {
    let mut stream = TcpStream::connect(address).await.unwrap();
    stream.write_all(bytes).await.unwrap();
    stream
}

async fn read_to_close(stream: &mut TcpStream) -> String {
    let mut text = String::new();
    stream.read_to_string(&mut text).await.unwrap();
    text
}

/// Reads one response by its `content-length`, so that the connection can stay open.
async fn read_response(stream: &mut TcpStream) -> String {
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

/// Status, reason and whether the outcome is `not_run`.
fn summary(response: &str) -> String {
    let status = response.split(' ').nth(1).unwrap_or("closed");
    let reason = response.split("\"reason\":\"").nth(1).and_then(|rest| rest.split('"').next());
    let outcome = if response.contains("\"outcome\":\"not_run\"") { " not_run" } else { "" };
    format!("{status} {}{outcome}", reason.unwrap_or("-"))
}

fn malformed_requests() -> Vec<(&'static str, Vec<u8>)> {
    let request_with =
        |header: &str| format!("POST /v1/programs HTTP/1.1\r\nHost: a\r\n{header}\r\n\r\n{{}}").into_bytes();
    let many_headers = (0..101).fold(String::new(), |mut text, n| {
        write!(text, "x-{n}: 1\r\n").unwrap();
        text
    });
    vec![
        ("no host", b"GET / HTTP/1.1\r\n\r\n".to_vec()),
        ("two hosts", request_with("Host: b")),
        ("two lengths", request_with("Content-Length: 2\r\nContent-Length: 3")),
        ("two equal lengths", request_with("Content-Length: 2\r\nContent-Length: 2")),
        ("list of lengths", request_with("Content-Length: 2, 2")),
        ("length and chunked", request_with("Content-Length: 2\r\nTransfer-Encoding: chunked")),
        ("chunked with trailers", request_with("Transfer-Encoding: chunked\r\nTrailer: x")),
        ("unknown transfer coding", request_with("Transfer-Encoding: gzip, chunked")),
        ("negative length", request_with("Content-Length: -2")),
        ("signed length", request_with("Content-Length: +2")),
        ("hexadecimal length", request_with("Content-Length: 0x2")),
        ("overflowing length", request_with("Content-Length: 99999999999999999999999")),
        ("oversize body", request_with("Content-Length: 4194305")),
        ("oversize header", request_with(&format!("x: {}", "y".repeat(9000)))),
        ("too many headers", request_with(&many_headers)),
        ("unterminated line", vec![b'y'; 20_000]),
        ("folded header", request_with("x: 1\r\n y")),
        ("space before the colon", request_with("Content-Length : 2")),
        ("no colon", request_with("nonsense")),
        ("bare line feeds", b"GET / HTTP/1.1\nHost: a\n\n\r\n\r\n".to_vec()),
        ("control character", request_with("x: a\x01b")),
        ("invalid UTF-8", b"GET / HTTP/1.1\r\nHost: \xff\xfe\r\n\r\n".to_vec()),
        ("unknown expectation", request_with("Expect: wonders")),
        ("unknown method", b"BREW / HTTP/1.1\r\nHost: a\r\n\r\n".to_vec()),
        ("version 1.0", b"GET / HTTP/1.0\r\nHost: a\r\n\r\n".to_vec()),
        ("version 2", b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n".to_vec()),
        ("no version", b"GET /\r\nHost: a\r\n\r\n".to_vec()),
        ("no path", b"GET nonsense HTTP/1.1\r\nHost: a\r\n\r\n".to_vec()),
        ("tunnel", b"CONNECT a:1 HTTP/1.1\r\nHost: a\r\n\r\n".to_vec()),
        ("TLS", b"\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03\r\n\r\n".to_vec()),
        ("no key", request_with("Content-Length: 2")),
        ("empty object", request_with("Idempotency-Key: k\r\nContent-Length: 2")),
    ]
}

#[test]
fn refuses_malformed_requests_with_a_reason() {
    run(async |executor| {
        let harness = Harness::new(&executor, &[], &[]);
        let node = harness.start_node(1).await;
        let mut summaries = String::new();
        for (name, bytes) in malformed_requests() {
            let mut stream = connect(node.client.address, &bytes).await;
            stream.shutdown(Shutdown::Write).unwrap();
            writeln!(summaries, "{name}: {}", summary(&read_to_close(&mut stream).await)).unwrap();
        }
        insta::assert_snapshot!(summaries);
    });
}

#[test]
fn times_out_slow_requests() {
    run(async |executor| {
        let harness = Harness::new(&executor, &[], &[]);
        let node = harness.start_node(1).await;
        let (head_time, idle) = (harness.limits.head_time, harness.limits.idle);

        let mut slow_head = connect(node.client.address, b"GET /v1/addr").await;
        harness.timer.wait_for_sleep(head_time).await;
        harness.timer.advance(head_time);
        assert_eq!(summary(&read_to_close(&mut slow_head).await), "408 too_slow");

        let mut silent = connect(node.client.address, b"").await;
        harness.timer.wait_for_sleep(idle).await;
        harness.timer.advance(idle);
        assert_eq!(read_to_close(&mut silent).await, "", "an idle connection is closed without a response");

        let head =
            "POST /v1/programs HTTP/1.1\r\nHost: a\r\nExpect: 100-continue\r\nContent-Length: 9\r\n\r\n{";
        let mut slow_body = connect(node.client.address, head.as_bytes()).await;
        read_response(&mut slow_body).await;
        harness.timer.wait_for_sleep(idle).await;
        harness.timer.advance(idle);
        assert_eq!(summary(&read_to_close(&mut slow_body).await), "408 too_slow");
    });
}

#[test]
fn partial_heads_do_not_extend_the_timeout() {
    run(async |executor| {
        let harness = Harness::new(&executor, &[], &[]);
        let node = harness.start_node(1).await;
        let head_time = harness.limits.head_time;
        let mut stream = connect(node.client.address, b"G").await;
        harness.timer.wait_for_sleep(head_time).await;
        let almost = head_time.saturating_sub(Duration::from_millis(1));
        harness.timer.advance(almost);
        stream.write_all(b"ET").await.unwrap();
        for _ in 0..100 {
            smol::future::yield_now().await;
        }
        harness.timer.advance(head_time.saturating_sub(almost));
        assert_eq!(summary(&read_to_close(&mut stream).await), "408 too_slow");
    });
}

#[test]
fn truncated_requests_run_nothing() {
    run(async |executor| {
        let service = Service::start(&executor).await.unwrap();
        let harness = Harness::new(&executor, &[], &[service.address]);
        let node = harness.start_node(1).await;
        harness.open_program(&node).await;
        harness.ledger.take_commands();
        let request = format!(
            "POST /v1/services/rota/book HTTP/1.1\r\nHost: a\r\nAgatetrestle-Program: {PROGRAM}\r\n\
             Agatetrestle-Call: 1\r\nIdempotency-Key: k\r\nContent-Length: 4\r\n\r\nward"
        );
        for length in (1..request.len()).step_by(7) {
            let mut stream = connect(node.client.address, &request.as_bytes()[..length]).await;
            stream.shutdown(Shutdown::Write).unwrap();
            let summary = summary(&read_to_close(&mut stream).await);
            assert!(
                ["closed -", "400 malformed", "400 malformed not_run"].contains(&summary.as_str()),
                "first {length} bytes: {summary}"
            );
        }
        assert!(harness.ledger.take_commands().is_empty());
        assert!(service.runs().is_empty());
    });
}

#[test]
fn answers_pipelined_requests_in_order() {
    run(async |executor| {
        let harness = Harness::new(&executor, &[], &[]);
        let node = harness.start_node(1).await;
        let post =
            "POST /v1/programs/end?program=vrsta/none HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\nGET";
        let pipelined = format!("{ADDRESSES_REQUEST}{post}{ADDRESSES_REQUEST}");
        for size in [pipelined.len(), 50, 7] {
            let mut stream = TcpStream::connect(node.client.address).await.unwrap();
            for chunk in pipelined.as_bytes().chunks(size) {
                stream.write_all(chunk).await.unwrap();
            }
            assert!(read_response(&mut stream).await.contains("max_age_ms"));
            assert_eq!(summary(&read_response(&mut stream).await), "404 no_program not_run");
            assert!(read_response(&mut stream).await.contains("max_age_ms"));
        }
    });
}

#[test]
fn sends_100_continue_once() {
    run(async |executor| {
        let harness = Harness::new(&executor, &[], &[]);
        let node = harness.start_node(1).await;
        let head = "POST /v1/programs/end?program=vrsta/none HTTP/1.1\r\nHost: a\r\n\
                    Expect: 100-continue\r\nContent-Length: 2\r\n\r\n";
        let mut stream = connect(node.client.address, head.as_bytes()).await;
        assert_eq!(read_response(&mut stream).await, "HTTP/1.1 100 Continue\r\n\r\n");
        stream.write_all(b"{}").await.unwrap();
        assert_eq!(summary(&read_response(&mut stream).await), "404 no_program not_run");
    });
}

#[test]
fn refuses_connections_beyond_the_limit() {
    run(async |executor| {
        let mut harness = Harness::new(&executor, &[], &[]);
        harness.limits.connections = 2;
        let node = harness.start_node(1).await;
        let mut connections = Vec::new();
        for _ in 0..2 {
            let mut stream = connect(node.client.address, ADDRESSES_REQUEST.as_bytes()).await;
            read_response(&mut stream).await;
            connections.push(stream);
        }
        let mut third = connect(node.client.address, b"").await;
        third.shutdown(Shutdown::Write).unwrap();
        assert_eq!(summary(&read_to_close(&mut third).await), "503 connections");
    });
}

#[test]
fn unread_responses_do_not_block_the_engine() {
    run(async |executor| {
        let config = EngineConfig { output_tokens: UNREAD_TOKENS, ..EngineConfig::default() };
        let engine = Engine::start(&executor, config).await.unwrap();
        let harness = Harness::new(&executor, &[engine.address], &[]);
        let node = harness.start_node(1).await;
        harness.open_program(&node).await;
        let mut body = chat_request();
        body["max_tokens"] = UNREAD_TOKENS.into();
        let body = body.to_string();
        let request = format!(
            "POST /v1/chat/completions HTTP/1.1\r\nHost: a\r\nAgatetrestle-Program: {PROGRAM}\r\n\
             Agatetrestle-Call: 1\r\nIdempotency-Key: k\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        );
        let stream = connect(node.client.address, request.as_bytes()).await;
        while harness.ledger.program(PROGRAM).last.is_none_or(|last| last.1 != CallState::Finished) {
            smol::future::yield_now().await;
        }
        assert_eq!(engine.cancelled(), 0, "the engine must not wait for the caller to read");
        drop(stream);
        let reply = node.client.answer(PROGRAM, "k").await.unwrap();
        assert_eq!(reply.text().matches("vrsta/dawn#1:").count() as u64, UNREAD_TOKENS);
    });
}

/// Replaces, inserts and truncates bytes of valid requests; the entry must close the connection and keep serving.
#[test]
fn corrupted_requests_never_hang_or_panic() {
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[7; 32]);
    let mut runner = TestRunner::new_with_rng(Config { cases: 256, ..Config::default() }, rng);
    let mutation = (any::<prop::sample::Index>(), any::<u8>(), 0..3_u8);
    let mutations = prop::collection::vec(mutation, 1..6);
    let outcome = runner.run(&mutations, |mutations| {
        let mut bytes = format!(
            "{ADDRESSES_REQUEST}{}",
            ADDRESSES_REQUEST.replace("\r\n\r\n", "\r\nContent-Length: 5\r\n\r\nabcde")
        )
        .into_bytes();
        for (position, byte, kind) in mutations {
            let position = position.index(bytes.len());
            match kind {
                0 => bytes[position] = byte,
                1 => bytes.insert(position, byte),
                _ => bytes.truncate(position.max(1)),
            }
        }
        run(async |executor| {
            let harness = Harness::new(&executor, &[], &[]);
            let node = harness.start_node(1).await;
            let mut stream = connect(node.client.address, &bytes).await;
            stream.shutdown(Shutdown::Write).unwrap();
            let mut response = Vec::new();
            stream.read_to_end(&mut response).await.unwrap();
            assert_eq!(node.client.get("/v1/addresses").await.unwrap().status, 200);
        });
        Ok(())
    });
    outcome.unwrap();
}
