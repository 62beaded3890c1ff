//! Tests of the memory that all responses share.

use bytes::Bytes;

use crate::gateway::buffer_budget::BufferBudget;
use crate::gateway::buffer_budget::FREE_BYTES;

/// Guards against small responses that fail since large ones have used up the memory.
#[test]
fn small_part_of_each_response_needs_no_budget() {
    let budget = BufferBudget::new(1_000);
    let mut large = budget.open();
    assert!(large.try_hold(FREE_BYTES + 1_000));
    assert!(!large.try_hold(FREE_BYTES + 1_001));
    let mut others: Vec<_> = (0..100).map(|_| budget.open()).collect();
    assert!(others.iter_mut().all(|other| other.try_hold(FREE_BYTES)));
    assert!(!others[0].try_hold(FREE_BYTES + 1));
    assert!(large.try_hold(FREE_BYTES + 400));
    assert!(others[0].try_hold(FREE_BYTES + 600));
    drop(large);
    assert!(others[0].try_hold(FREE_BYTES + 1_000));
}

/// Guards against a budget that is free again while a slow caller has not read the response.
#[test]
fn response_is_charged_until_its_bytes_are_dropped() {
    let budget = BufferBudget::new(1_000);
    let mut permit = budget.open();
    assert!(permit.try_hold(FREE_BYTES + 1_000));
    let mut rest = permit.attach(Bytes::from(vec![0; FREE_BYTES + 1_000]));
    let written = rest.split_to(FREE_BYTES);
    drop(written);
    assert!(!budget.open().try_hold(FREE_BYTES + 1));
    drop(rest);
    assert!(budget.open().try_hold(FREE_BYTES + 1_000));
}
