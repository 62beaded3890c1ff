//! Tests of how pending reports are woken, and of what each role sees.

use agatetrestle_config::deployment::Role;
use futures::FutureExt;
use futures::channel::oneshot::Receiver;
use smol::LocalExecutor;

use super::pending::PendingReports;
use super::pending::WAKE_BATCH_REPORTS;
use super::scope;
use crate::cluster::versioned::Scope;

fn woken(reports: &mut [Receiver<()>]) -> usize {
    reports.iter_mut().filter_map(FutureExt::now_or_never).count()
}

#[test]
fn change_wakes_a_bounded_number_of_reports_at_once() {
    const REPORTS: usize = 2_000;
    let pending = PendingReports::default();
    let mut reports: Vec<Receiver<()>> = (0..REPORTS).map(|_| pending.add()).collect();
    pending.wake();
    assert_eq!(woken(&mut reports), WAKE_BATCH_REPORTS);
    reports.drain(..WAKE_BATCH_REPORTS);
    assert!(pending.wake_batch());
    assert_eq!(woken(&mut reports), WAKE_BATCH_REPORTS, "the next ones in the order of their arrival");
}

#[test]
fn all_reports_are_woken() {
    let executor = LocalExecutor::new();
    smol::block_on(executor.run(async {
        let pending = PendingReports::default();
        let reports: Vec<Receiver<()>> = (0..=WAKE_BATCH_REPORTS * 3).map(|_| pending.add()).collect();
        pending.wake();
        let waking = pending.wake_in_batches().fuse();
        let mut all = futures::future::join_all(reports).fuse();
        futures::pin_mut!(waking);
        futures::select! {
            () = waking => unreachable!("it runs until it is dropped"),
            results = all => assert!(results.iter().all(Result::is_err), "each sender was dropped"),
        }
    }));
}

#[test]
fn only_control_replicas_see_entries() {
    let scopes = [Role::Entry, Role::Store, Role::Control].map(scope);
    assert_eq!(scopes, [Scope::Public, Scope::Public, Scope::All]);
}
