//! Tests of order fencing, leader takeover and load pacing.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use crate::clock::Timestamp;
use crate::orders::reconciler::EngineSpec;
use crate::orders::reconciler::LeaderLease;
use crate::orders::reconciler::Order;
use crate::orders::reconciler::Reconciler;

const RATE_BYTES_PER_SEC: u64 = 100;
const WEIGHTS_BYTES: u64 = 1_000;
const TAKEOVER_DELAY: Duration = Duration::from_millis(300);
const LEASE_DURATION: Duration = Duration::from_millis(270);

fn at(millis: u64) -> Timestamp {
    Timestamp(millis * 1_000)
}

fn reconciler(checks_fencing: &[bool]) -> Reconciler {
    let mut reconciler = Reconciler::new(at(0), RATE_BYTES_PER_SEC, TAKEOVER_DELAY);
    let spec =
        |checks| EngineSpec { model: "tutor".into(), weights_bytes: WEIGHTS_BYTES, checks_fencing: checks };
    let engines: BTreeMap<Arc<str>, EngineSpec> = checks_fencing
        .iter()
        .zip(1..)
        .map(|(checks, n)| (format!("engine-{n}").into(), spec(*checks)))
        .collect();
    reconciler.set_specs(engines.clone(), RATE_BYTES_PER_SEC);
    for name in engines.keys() {
        reconciler.observe(name, None);
    }
    reconciler
}

fn lead(reconciler: &mut Reconciler, fencing_token: u64, now: u64) {
    reconciler.set_lease(Some(LeaderLease {
        fencing_token,
        acquired_at: at(now),
        expires_at: at(now) + LEASE_DURATION,
    }));
}

fn order(engine: &str, fencing_token: u64) -> Order {
    Order { engine: engine.into(), model: "tutor".into(), fencing_token }
}

#[test]
fn issues_no_orders_without_a_lease() {
    let mut reconciler = reconciler(&[true]);
    assert_eq!(reconciler.next_order(at(10)), None);
    lead(&mut reconciler, 1, 10);
    assert_eq!(reconciler.next_order(at(10)), Some(order("engine-1", 1)));
}

#[test]
fn issues_no_orders_to_unobserved_engines() {
    let mut reconciler = Reconciler::new(at(0), RATE_BYTES_PER_SEC, TAKEOVER_DELAY);
    let spec = EngineSpec { model: "tutor".into(), weights_bytes: WEIGHTS_BYTES, checks_fencing: true };
    reconciler.set_specs(BTreeMap::from([("engine-1".into(), spec)]), RATE_BYTES_PER_SEC);
    lead(&mut reconciler, 1, 0);
    assert_eq!(reconciler.next_order(at(0)), None);
    reconciler.observe("engine-1", None);
    assert_eq!(reconciler.next_order(at(0)), Some(order("engine-1", 1)));
}

#[test]
fn delays_orders_to_unfenced_engines_after_takeover() {
    let mut reconciler = reconciler(&[false]);
    lead(&mut reconciler, 2, 0);
    assert_eq!(reconciler.next_order(at(10)), None);
    lead(&mut reconciler, 2, 290);
    assert_eq!(reconciler.next_order(at(299)), None, "a renewal neither restarts nor shortens the delay");
    assert_eq!(reconciler.next_order(at(300)), Some(order("engine-1", 2)));
}

#[test]
fn rejects_orders_after_the_lease_expired() {
    let mut reconciler = reconciler(&[true]);
    lead(&mut reconciler, 1, 0);
    let order = reconciler.next_order(at(10)).unwrap();
    assert!(reconciler.may_send(at(11), &order));
    assert!(!reconciler.may_send(at(271), &order), "the lease expired while the process was paused");
    lead(&mut reconciler, 3, 280);
    assert!(!reconciler.may_send(at(281), &order), "the order carries an outdated fencing token");
}

#[test]
fn paces_loads_to_the_weight_store_rate() {
    let mut reconciler = reconciler(&[true, true]);
    lead(&mut reconciler, 1, 0);
    assert!(reconciler.next_order(at(0)).is_some());
    for now in [1, 5_000, 9_999] {
        lead(&mut reconciler, 1, now);
        assert_eq!(reconciler.next_order(at(now)), None);
    }
    lead(&mut reconciler, 1, 10_000);
    assert_eq!(reconciler.next_order(at(10_000)), Some(order("engine-2", 1)));
}

#[test]
fn skips_engines_serving_or_loading_the_model() {
    let mut reconciler = reconciler(&[true]);
    lead(&mut reconciler, 1, 0);
    reconciler.observe("engine-1", Some("tutor".into()));
    assert_eq!(reconciler.next_order(at(0)), None);
    reconciler.observe("engine-1", None);
    let first = reconciler.next_order(at(0)).unwrap();
    lead(&mut reconciler, 1, 20_000);
    assert_eq!(reconciler.next_order(at(20_000)), None, "the load is in progress");
    reconciler.mark_failed(&first);
    assert_eq!(reconciler.next_order(at(20_000)), Some(first));
}
