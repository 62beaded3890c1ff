//! Tests of the framing of forwarded responses.

use futures::AsyncReadExt;
use futures::AsyncWriteExt;

use crate::gateway::tests::early::Harness;
use crate::gateway::tests::early::begun;
use crate::gateway::tests::early::run;

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
