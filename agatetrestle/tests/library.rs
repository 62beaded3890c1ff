//! How `async-h1` parses malformed and ambiguous requests, which the entry checks for before the library reads
//! them. If this changes, review docs/design/009-silent-connections.md.

use std::fmt::Write;
use std::net::Shutdown;
use std::rc::Rc;

use http_types::Response;
use smol::LocalExecutor;
use smol::io::AsyncReadExt;
use smol::io::AsyncWriteExt;
use smol::net::TcpListener;
use smol::net::TcpStream;

const HEAD: &str = "POST / HTTP/1.1\r\nHost: a\r\n";
const LINE_BYTES: usize = 32 << 20;

/// Connects to a server without the entry's checks that echoes request bodies.
async fn start_server(executor: &LocalExecutor<'static>) -> TcpStream {
    let listener = TcpListener::bind(("127.0.0.1", 0)).await.unwrap();
    let client = TcpStream::connect(listener.local_addr().unwrap()).await.unwrap();
    let (stream, _) = listener.accept().await.unwrap();
    let serving = async_h1::accept(stream, async |mut req: http_types::Request| {
        let body = req.body_string().await.unwrap_or_else(|e| format!("broken: {e}"));
        let mut response = Response::new(200);
        response.set_body(format!("<{body}>"));
        Ok(response)
    });
    executor.spawn(async move { serving.await.unwrap_or_default() }).detach();
    client
}

async fn summarize_responses(executor: &LocalExecutor<'static>, request: &str) -> String {
    let mut client = start_server(executor).await;
    client.write_all(request.as_bytes()).await.unwrap();
    client.shutdown(Shutdown::Write).unwrap();
    let mut text = String::new();
    client.read_to_string(&mut text).await.unwrap_or_default();
    let parts: Vec<&str> = text.split("\r\n\r\n").skip(1).collect();
    let bodies: Vec<&str> = parts.iter().map(|part| part.split("HTTP/1.1").next().unwrap()).collect();
    format!("{} answered: {bodies:?}", bodies.len())
}

#[test]
fn parses_unusual_requests_as_recorded() {
    let executor = Rc::new(LocalExecutor::new());
    let one_byte = format!("{HEAD}Content-Length: 1\r\n\r\n");
    let cases = [
        ("pipelined pair", format!("{one_byte}a{one_byte}b")),
        ("two lengths", format!("{HEAD}Content-Length: 1\r\nContent-Length: 4\r\n\r\nabcd")),
        ("two hosts", format!("{HEAD}Host: b\r\nContent-Length: 1\r\n\r\na")),
        ("length and chunked", format!("{HEAD}Content-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\na")),
        ("unknown coding", format!("{HEAD}Transfer-Encoding: gzip, chunked\r\n\r\n1\r\na\r\n0\r\n\r\n")),
        ("truncated body", format!("{HEAD}Content-Length: 9\r\n\r\nabc")),
        ("truncated chunk", format!("{HEAD}Transfer-Encoding: chunked\r\n\r\n9\r\nabc")),
        ("truncated head", HEAD.to_owned()),
        ("no host", "GET / HTTP/1.1\r\n\r\n".to_owned()),
        ("oversize head", format!("{HEAD}x: {}\r\n\r\n", "y".repeat(9000))),
    ];
    let mut results = String::new();
    for (name, request) in cases {
        let outcome = smol::block_on(executor.run(summarize_responses(&executor, &request)));
        writeln!(results, "{name}: {outcome}").unwrap();
    }
    insta::assert_snapshot!(results);
}

/// The line exceeds any socket buffer, so the write succeeds only if the library reads all of it.
#[test]
fn reads_unterminated_lines_without_limit() {
    let executor = Rc::new(LocalExecutor::new());
    smol::block_on(executor.run(async {
        let mut client = start_server(&executor).await;
        let written = client.write_all(&vec![b'y'; LINE_BYTES]).await;
        assert!(written.is_ok());
    }));
}
