//! What `async-h1` does by itself with odd requests: the reason for the guard of the entry. A change
//! here means that docs/design/009-silent-connections.md needs another look.

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
const ENDLESS: usize = 32 << 20;

/// A bare server that answers with the body it was given.
async fn bare(executor: &LocalExecutor<'static>) -> TcpStream {
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

async fn answers(executor: &LocalExecutor<'static>, request: &str) -> String {
    let mut client = bare(executor).await;
    client.write_all(request.as_bytes()).await.unwrap();
    client.shutdown(Shutdown::Write).unwrap();
    let mut text = String::new();
    client.read_to_string(&mut text).await.unwrap_or_default();
    let bodies: Vec<&str> = text.split("\r\n\r\n").skip(1).collect();
    let bodies: Vec<&str> = bodies.iter().map(|body| body.split("HTTP/1.1").next().unwrap()).collect();
    format!("{} answered: {bodies:?}", bodies.len())
}

#[test]
fn odd_requests_as_the_library_takes_them() {
    let executor = Rc::new(LocalExecutor::new());
    let one = format!("{HEAD}Content-Length: 1\r\n\r\n");
    let cases = [
        ("pipelined pair", format!("{one}a{one}b")),
        ("two lengths", format!("{HEAD}Content-Length: 1\r\nContent-Length: 4\r\n\r\nabcd")),
        ("two hosts", format!("{HEAD}Host: b\r\nContent-Length: 1\r\n\r\na")),
        ("length and chunked", format!("{HEAD}Content-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\na")),
        ("unknown coding", format!("{HEAD}Transfer-Encoding: gzip, chunked\r\n\r\n1\r\na\r\n0\r\n\r\n")),
        ("cut-off body", format!("{HEAD}Content-Length: 9\r\n\r\nabc")),
        ("cut-off chunk", format!("{HEAD}Transfer-Encoding: chunked\r\n\r\n9\r\nabc")),
        ("half a head", HEAD.to_owned()),
        ("no host", "GET / HTTP/1.1\r\n\r\n".to_owned()),
        ("oversize head", format!("{HEAD}x: {}\r\n\r\n", "y".repeat(9000))),
    ];
    let mut found = String::new();
    for (name, request) in cases {
        let outcome = smol::block_on(executor.run(answers(&executor, &request)));
        writeln!(found, "{name}: {outcome}").unwrap();
    }
    insta::assert_snapshot!(found);
}

/// No socket buffer holds so much: that it can be written shows that all of it was read and kept.
#[test]
fn a_line_without_end_is_read_without_a_bound() {
    let executor = Rc::new(LocalExecutor::new());
    smol::block_on(executor.run(async {
        let mut client = bare(&executor).await;
        let written = client.write_all(&vec![b'y'; ENDLESS]).await;
        assert!(written.is_ok());
    }));
}
