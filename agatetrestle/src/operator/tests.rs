//! Tests of the bounds on connections; the calls are tested with the tool, in `agatetrestle_cli`.

use capnp::ErrorKind;

use super::*;
use crate::operator::rpc::Calls;
use crate::operator::rpc::MAX_CALLS;

#[test]
fn a_place_is_free_again_once_its_connection_ends() {
    let open = Rc::new(Cell::new(0));
    let first = Place::take(&open);
    let second = Place::take(&open);
    assert_eq!(open.get(), 2);
    drop(first);
    drop(second);
    assert_eq!(open.get(), 0);
}

#[test]
fn calls_beyond_the_bound_are_told_to_come_back() {
    let calls = Calls::default();
    let mut under_way: Vec<_> = (0..MAX_CALLS).map(|_| calls.begin().ok()).collect();
    assert_eq!(calls.begin().err().map(|e| e.kind), Some(ErrorKind::Overloaded));
    under_way.pop();
    assert!(calls.begin().is_ok());
}
