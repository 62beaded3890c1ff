//! Tests of requests that are in flight when the process is about to exit.

use std::time::Duration;

use futures::AsyncWriteExt;
use futures::FutureExt;
use smol::future::yield_now;

use crate::gateway::tests::early::Harness;
use crate::gateway::tests::early::begun;
use crate::gateway::tests::early::is_closed;
use crate::gateway::tests::early::read_status;
use crate::gateway::tests::early::run;

/// Guards against a connection that ends without an answer because a server says nothing until the process exits.
#[test]
fn sent_request_gets_an_answer_before_the_process_exits() {
    run(|executor| async move {
        let harness = Harness::start(&executor, None).await;
        harness.commits.send(Ok(begun(&[]))).await.unwrap();
        let mut caller = harness.send().await;
        let server = harness.receive(b"hey").await;
        harness.gateway.end_requests();
        assert_eq!(read_status(&mut caller).await, 502, "the server may have run it");
        assert!(is_closed(server).await, "the run is cancelled");
        assert_eq!(harness.await_finish().await.spent, 0, "the reservation is settled");
    });
}

#[test]
fn request_that_was_not_sent_is_refused_before_the_process_exits() {
    run(|executor| async move {
        let harness = Harness::start(&executor, None).await;
        let mut caller = harness.send().await;
        while harness.gateway.in_flight() == 0 {
            yield_now().await;
        }
        harness.gateway.end_requests();
        assert_eq!(read_status(&mut caller).await, 503);
        let mut late = harness.send().await;
        assert_eq!(read_status(&mut late).await, 503, "a request after the cut-off");
        assert!(harness.servers.accept().now_or_never().is_none(), "nothing was sent");
    });
}

/// Guards against requests that are passed on late in a planned stop and cut at its end.
#[test]
fn request_that_would_outlast_the_stop_is_refused_and_not_sent() {
    run(|executor| async move {
        let harness = Harness::start(&executor, None).await;
        harness.commits.send(Ok(begun(&[]))).await.unwrap();
        // Nothing is known of the route but its time limit of ten minutes.
        harness.gateway.start_draining(Duration::from_mins(1));
        let mut caller = harness.send().await;
        let sent = async {
            drop(harness.servers.accept().await);
            panic!("the request was sent");
        };
        assert_eq!(smol::future::or(read_status(&mut caller), sent).await, 503);
        assert!(harness.servers.accept().now_or_never().is_none(), "nothing was sent");
    });
}

/// Guards against a stop that refuses by the time limit of a route what would have ended long before.
#[test]
fn request_that_is_expected_to_end_before_the_stop_is_served() {
    run(|executor| async move {
        let harness = Harness::start(&executor, None).await;
        for is_stopping in [false, true] {
            if is_stopping {
                harness.gateway.start_draining(Duration::from_mins(1));
            }
            harness.commits.send(Ok(begun(&[]))).await.unwrap();
            let mut caller = harness.send().await;
            let mut server = harness.receive(b"hey").await;
            server.write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\ndata: a\n\n").await.unwrap();
            assert_eq!(read_status(&mut caller).await, 200, "stopping: {is_stopping}");
            while harness.gateway.in_flight() > 0 {
                yield_now().await;
            }
        }
    });
}
