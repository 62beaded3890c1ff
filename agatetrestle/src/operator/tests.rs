//! Tests of the limits on calls; the calls are tested with the command line tool, in `agatetrestle_cli`.

use capnp::ErrorKind;

use super::*;
use crate::operator::calls::MAX_CALLS_IN_FLIGHT;

#[test]
fn rejects_calls_beyond_limit() {
    let calls = Rc::new(CallTracker::default());
    let mut in_flight: Vec<_> = (0..MAX_CALLS_IN_FLIGHT).map(|_| calls.start().ok()).collect();
    assert_eq!(calls.start().err().map(|e| e.kind), Some(ErrorKind::Overloaded));
    in_flight.pop();
    assert!(calls.start().is_ok());
}

#[test]
fn connection_is_idle_without_calls() {
    let calls = Rc::new(CallTracker::default());
    let before = calls.started();
    assert!(calls.idle_since(before));
    let call = calls.start().ok();
    assert!(!calls.idle_since(before));
    assert!(!calls.idle_since(calls.started()));
    drop(call);
    assert!(!calls.idle_since(before));
    assert!(calls.idle_since(calls.started()));
}
