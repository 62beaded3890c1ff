//! Tests of the bounds on calls; the calls themselves are tested with the tool, in `agatetrestle_cli`.

use capnp::ErrorKind;

use super::*;
use crate::operator::calls::MAX_CALLS;

#[test]
fn calls_beyond_the_bound_are_told_to_come_back() {
    let calls = Rc::new(Calls::default());
    let mut under_way: Vec<_> = (0..MAX_CALLS).map(|_| calls.begin().ok()).collect();
    assert_eq!(calls.begin().err().map(|e| e.kind), Some(ErrorKind::Overloaded));
    under_way.pop();
    assert!(calls.begin().is_ok());
}

#[test]
fn a_connection_is_idle_only_without_calls_under_way_or_since() {
    let calls = Rc::new(Calls::default());
    let before = calls.begun();
    assert!(calls.idle_since(before));
    let call = calls.begin().ok();
    assert!(!calls.idle_since(before));
    assert!(!calls.idle_since(calls.begun()));
    drop(call);
    assert!(!calls.idle_since(before));
    assert!(calls.idle_since(calls.begun()));
}
