//! Tests of requests that are in flight when the process is about to exit.

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
