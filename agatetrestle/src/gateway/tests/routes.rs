//! Tests of requests that no route of the gateway's table takes.

use crate::gateway::tests::early::Harness;
use crate::gateway::tests::early::read_status;
use crate::gateway::tests::early::run;

const HEAD: &str = "POST /added/x HTTP/1.1\r\nhost: app.example\r\ncontent-length: 0\r\n";

#[test]
fn unknown_route_is_not_found() {
    run(|executor| async move {
        let harness = Harness::start(&executor, None).await;
        let mut caller = harness.send_bytes(format!("{HEAD}\r\n").as_bytes()).await;
        assert_eq!(read_status(&mut caller).await, 404);
    });
}

/// Guards against a table that is older than the route of a turn that was completed through another entry: a 404 would say that
/// there is no such turn, and end the program.
#[test]
fn turn_that_continues_another_is_not_lost_for_an_unknown_route() {
    run(|executor| async move {
        let harness = Harness::start(&executor, None).await;
        let request = format!("{HEAD}previous-turn: earlier\r\n\r\n");
        let mut caller = harness.send_bytes(request.as_bytes()).await;
        assert_eq!(read_status(&mut caller).await, 503);
    });
}
