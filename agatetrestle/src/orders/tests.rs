//! Tests of the orders: fencing, waiting out an old leader, pacing.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use crate::clock::Timestamp;
use crate::orders::reconciler::EngineSpec;
use crate::orders::reconciler::LeaderLease;
use crate::orders::reconciler::Order;
use crate::orders::reconciler::Reconciler;

const RATE: u64 = 100;
const WEIGHTS: u64 = 1_000;
const WAIT_OUT: Duration = Duration::from_millis(300);
const LEASE: Duration = Duration::from_millis(270);

fn at(millis: u64) -> Timestamp {
    Timestamp(millis * 1_000)
}

fn desk(checks_fencing: &[bool]) -> Reconciler {
    let mut desk = Reconciler::new(at(0), RATE, WAIT_OUT);
    let wanted =
        |checks| EngineSpec { model: "tutor".into(), weights_bytes: WEIGHTS, checks_fencing: checks };
    let engines: BTreeMap<Arc<str>, EngineSpec> = checks_fencing
        .iter()
        .zip(1..)
        .map(|(checks, n)| (format!("engine-{n}").into(), wanted(*checks)))
        .collect();
    desk.set_specs(engines.clone(), RATE);
    for name in engines.keys() {
        desk.observe(name, None);
    }
    desk
}

fn lead(desk: &mut Reconciler, fence: u64, now: u64) {
    desk.set_lease(Some(LeaderLease {
        fencing_token: fence,
        acquired_at: at(now),
        expires_at: at(now) + LEASE,
    }));
}

fn order(engine: &str, fence: u64) -> Order {
    Order { engine: engine.into(), model: "tutor".into(), fencing_token: fence }
}

#[test]
fn without_a_mandate_no_order_is_given() {
    let mut desk = desk(&[true]);
    assert_eq!(desk.next_order(at(10)), None);
    lead(&mut desk, 1, 10);
    assert_eq!(desk.next_order(at(10)), Some(order("engine-1", 1)));
}

#[test]
fn an_engine_that_never_said_what_it_serves_gets_no_order() {
    let mut desk = Reconciler::new(at(0), RATE, WAIT_OUT);
    let wanted = EngineSpec { model: "tutor".into(), weights_bytes: WEIGHTS, checks_fencing: true };
    desk.set_specs(BTreeMap::from([("engine-1".into(), wanted)]), RATE);
    lead(&mut desk, 1, 0);
    assert_eq!(desk.next_order(at(0)), None);
    desk.observe("engine-1", None);
    assert_eq!(desk.next_order(at(0)), Some(order("engine-1", 1)));
}

#[test]
fn an_engine_that_ignores_fencing_is_ordered_only_after_the_old_leader_is_gone() {
    let mut desk = desk(&[false]);
    lead(&mut desk, 2, 0);
    assert_eq!(desk.next_order(at(10)), None);
    lead(&mut desk, 2, 290);
    assert_eq!(desk.next_order(at(299)), None, "a renewal does not restart the wait, nor end it early");
    assert_eq!(desk.next_order(at(300)), Some(order("engine-1", 2)));
}

#[test]
fn an_order_is_not_sent_after_a_pause_across_the_lease() {
    let mut desk = desk(&[true]);
    lead(&mut desk, 1, 0);
    let order = desk.next_order(at(10)).unwrap();
    assert!(desk.may_send(at(11), &order));
    assert!(!desk.may_send(at(271), &order), "the process was paused past its lease");
    lead(&mut desk, 3, 280);
    assert!(!desk.may_send(at(281), &order), "the number is an old one");
}

#[test]
fn loads_are_paced_to_the_rate_of_the_weight_store() {
    let mut desk = desk(&[true, true]);
    lead(&mut desk, 1, 0);
    assert!(desk.next_order(at(0)).is_some());
    for now in [1, 5_000, 9_999] {
        lead(&mut desk, 1, now);
        assert_eq!(desk.next_order(at(now)), None);
    }
    lead(&mut desk, 1, 10_000);
    assert_eq!(desk.next_order(at(10_000)), Some(order("engine-2", 1)));
}

#[test]
fn an_engine_that_serves_what_is_wanted_gets_no_order() {
    let mut desk = desk(&[true]);
    lead(&mut desk, 1, 0);
    desk.observe("engine-1", Some("tutor".into()));
    assert_eq!(desk.next_order(at(0)), None);
    desk.observe("engine-1", None);
    let given = desk.next_order(at(0)).unwrap();
    lead(&mut desk, 1, 20_000);
    assert_eq!(desk.next_order(at(20_000)), None, "the load is under way");
    desk.mark_failed(&given);
    assert_eq!(desk.next_order(at(20_000)), Some(given));
}
