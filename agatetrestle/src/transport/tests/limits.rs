//! Tests of limits that change while connections are open.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use futures::AsyncReadExt;
use futures::AsyncWriteExt;
use http::Response;
use smol::LocalExecutor;
use smol::net::TcpStream;

use super::bind;
use super::run;
use crate::transport::body::ResponseBody;
use crate::transport::server;
use crate::transport::server::ServerLimits;

struct Server {
    address: SocketAddr,
    limits: Rc<ServerLimits>,
}

impl Server {
    async fn start(executor: &Rc<LocalExecutor<'static>>, max_head_bytes: usize) -> Self {
        let (listener, address) = bind().await;
        let limits = ServerLimits::new(8);
        limits.max_head_bytes.set(max_head_bytes);
        let handler: server::Handler =
            Rc::new(|_| Box::pin(async { Response::new(ResponseBody::full("ok")) }));
        executor.spawn(server::serve(listener, handler, limits.clone(), Rc::downgrade(executor))).detach();
        Self { address: SocketAddr::V4(address), limits }
    }

    async fn connect(&self) -> TcpStream {
        TcpStream::connect(self.address).await.unwrap()
    }
}

fn head(bytes: usize) -> String {
    let (start, end) = ("GET / HTTP/1.1\r\nhost: test\r\nx: ", "\r\n\r\n");
    format!("{start}{}{end}", "y".repeat(bytes - start.len() - end.len()))
}

/// Reads the start of a response, up to its status.
async fn read_status(stream: &mut TcpStream) -> String {
    let mut status = [0; 12];
    stream.read_exact(&mut status).await.unwrap();
    String::from_utf8_lossy(&status["HTTP/1.1 ".len()..]).into_owned()
}

/// Sends a head and reads the whole response, which has a body of two bytes.
async fn exchange(stream: &mut TcpStream, head: &str) -> String {
    stream.write_all(head.as_bytes()).await.unwrap();
    let mut response = Vec::new();
    let mut byte = [0];
    while !response.ends_with(b"\r\n\r\nok") {
        assert_eq!(stream.read(&mut byte).await.unwrap(), 1, "{}", String::from_utf8_lossy(&response));
        response.push(byte[0]);
    }
    String::from_utf8_lossy(&response["HTTP/1.1 ".len()..][..3]).into_owned()
}

/// Guards against connections that keep the limit of heads which was in force when they were accepted.
#[test]
fn open_connection_takes_heads_within_a_limit_that_was_raised() {
    run(|executor| async move {
        let server = Server::start(&executor, 16 << 10).await;
        let mut client = server.connect().await;
        assert_eq!(exchange(&mut client, &head(100)).await, "200");
        server.limits.max_head_bytes.set(32 << 10);
        assert_eq!(exchange(&mut client, &head(20_000)).await, "200");
        // A head of which a half has arrived.
        let long = head(60_000);
        let (first, rest) = long.split_at(30_000);
        client.write_all(first.as_bytes()).await.unwrap();
        server.limits.max_head_bytes.set(64 << 10);
        assert_eq!(exchange(&mut client, rest).await, "200");
    });
}

/// Guards against heads that are taken on open connections beyond the limit in force.
#[test]
fn open_connection_refuses_heads_beyond_a_limit_that_was_lowered() {
    run(|executor| async move {
        let server = Server::start(&executor, 64 << 10).await;
        let mut client = server.connect().await;
        assert_eq!(exchange(&mut client, &head(30_000)).await, "200");
        server.limits.max_head_bytes.set(16 << 10);
        assert_eq!(exchange(&mut client, &head(16_000)).await, "200");
        client.write_all(head(17_000).as_bytes()).await.unwrap();
        assert_eq!(read_status(&mut client).await, "431");
    });
}

/// Guards against a head without end that is kept in memory up to the largest limit of any table.
#[test]
fn head_without_end_is_refused_soon_after_the_limit() {
    run(|executor| async move {
        let server = Server::start(&executor, 16 << 10).await;
        let mut client = server.connect().await;
        let sending = async {
            let mut sent = 0;
            client.write_all(b"GET / HTTP/1.1\r\nx: ").await.unwrap();
            while sent < 16 << 20 && client.write_all(&[b'y'; 4_096]).await.is_ok() {
                sent += 4_096;
            }
            sent
        };
        // What the kernel takes is sent too.
        assert!(sending.await < 16 << 20, "the server closes the connection");
        let mut client = server.connect().await;
        client.write_all(&head(33_000).as_bytes()[..32_990]).await.unwrap();
        assert_eq!(read_status(&mut client).await, "431", "nothing is left unread that would reset it");
    });
}

/// Guards against connections that keep the idle timeout which was in force when they were accepted.
#[test]
fn open_connection_is_closed_by_the_idle_timeout_in_force() {
    run(|executor| async move {
        let server = Server::start(&executor, 16 << 10).await;
        server.limits.idle_timeout.set(Duration::from_hours(1));
        let mut client = server.connect().await;
        assert_eq!(exchange(&mut client, &head(100)).await, "200");
        server.limits.idle_timeout.set(Duration::from_millis(20));
        assert_eq!(client.read(&mut [0]).await.unwrap(), 0);
    });
}
