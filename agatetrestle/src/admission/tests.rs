//! Property tests of the fair queue, retry budgets and token reservations.

use std::sync::Arc;

use proptest::prelude::Just;
use proptest::prelude::ProptestConfig;
use proptest::prelude::prop;
use proptest::prop_assert;
use proptest::prop_assert_eq;
use proptest::prop_oneof;
use proptest::test_runner::RngAlgorithm;
use proptest::test_runner::TestRng;
use proptest::test_runner::TestRunner;
use slotmap::SlotMap;

use crate::admission::queue::CallKey;
use crate::admission::queue::FairQueue;
use crate::admission::queue::Owner;
use crate::admission::queue::QueuedCall;
use crate::admission::retry::RetryBudgets;
use crate::admission::tokens::TokenAdmission;

const SLACK_MICROS: u64 = 1_000;
const MAX_SERVICE_MICROS: u64 = 500;

/// A runner with a fixed seed, so that every run tests the same cases.
fn runner() -> TestRunner {
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[7; 32]);
    TestRunner::new_with_rng(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() }, rng)
}

fn owner(partner: usize, team: usize) -> Owner {
    Owner { partner: format!("partner-{partner}").into(), team: format!("team-{team}").into() }
}

#[test]
fn queue_returns_all_pushed_calls() {
    let pushes = prop::collection::vec((0..3usize, 0..3usize, 0..1_000u64), 0..60);
    let test = |pushes: Vec<(usize, usize, u64)>| {
        let mut keys: SlotMap<CallKey, ()> = SlotMap::with_key();
        let mut queue = FairQueue::new(SLACK_MICROS, SLACK_MICROS);
        for (sequence, (partner, team, rank)) in (0u64..).zip(&pushes) {
            let call = QueuedCall { rank: *rank, sequence, call: keys.insert(()) };
            queue.push(&owner(*partner, *team), call);
        }
        prop_assert_eq!(queue.len(), pushes.len());
        let mut popped = 0;
        while let Some((owner, _)) = queue.pop() {
            queue.charge(&owner, 10);
            popped += 1;
        }
        prop_assert_eq!(popped, pushes.len());
        prop_assert!(queue.is_empty());
        Ok(())
    };
    runner().run(&pushes, test).expect("holds for all cases");
}

#[test]
fn backlogged_partners_get_their_shares() {
    let weights = (1..5u32, 1..5u32, prop::collection::vec(1..MAX_SERVICE_MICROS, 200..400));
    let test = |(first, second, services): (u32, u32, Vec<u64>)| {
        let mut keys: SlotMap<CallKey, ()> = SlotMap::with_key();
        let mut queue = FairQueue::new(SLACK_MICROS, SLACK_MICROS);
        let owners = [owner(0, 0), owner(1, 0)];
        queue.set_weights(&owners[0], first, 1);
        queue.set_weights(&owners[1], second, 1);
        for sequence in 0..1_000u64 {
            for (rank, owner) in (0u64..).zip(&owners) {
                let rank = rank * 1_000_000;
                queue.push(owner, QueuedCall { rank, sequence, call: keys.insert(()) });
            }
        }
        let mut served = [0u64; 2];
        for service in services {
            let (owner, _) = queue.pop().expect("backlogged");
            queue.charge(&owner, service);
            served[usize::from(owner == owners[1])] += service;
        }
        let normalized = [served[0] / u64::from(first), served[1] / u64::from(second)];
        let difference = normalized[0].abs_diff(normalized[1]);
        prop_assert!(difference <= SLACK_MICROS + MAX_SERVICE_MICROS, "{normalized:?}");
        Ok(())
    };
    runner().run(&weights, test).expect("holds for all cases");
}

#[test]
fn single_partner_is_not_limited() {
    let mut keys: SlotMap<CallKey, ()> = SlotMap::with_key();
    let mut queue = FairQueue::new(SLACK_MICROS, SLACK_MICROS);
    for sequence in 0..100 {
        queue.push(&owner(0, 0), QueuedCall { rank: 0, sequence, call: keys.insert(()) });
    }
    for _ in 0..100 {
        let (owner, _) = queue.pop().expect("a single partner is never skipped");
        queue.charge(&owner, 1_000_000);
    }
    assert!(queue.is_empty());
}

#[test]
fn retries_stay_within_share_of_successes() {
    let events = prop::collection::vec(prop_oneof![Just(true), Just(false)], 0..2_000);
    let test = |events: Vec<bool>| {
        let partner: Arc<str> = "partner".into();
        let mut budgets = RetryBudgets::new(10);
        let (mut successes, mut retries) = (0u64, 0u64);
        for success in events {
            if success {
                budgets.record_success(&partner);
                successes += 1;
            } else if budgets.take(&partner) {
                retries += 1;
            }
            prop_assert!(retries * 100 <= successes * 10 + 500, "{retries} of {successes}");
            prop_assert!(budgets.remaining(&partner) <= 2_000);
        }
        Ok(())
    };
    runner().run(&events, test).expect("holds for all cases");
}

#[test]
fn reservations_match_admitted_programs() {
    let programs = prop::collection::vec((0..2usize, 1..400u64), 1..200);
    let test = |programs: Vec<(usize, u64)>| {
        let partners: [Arc<str>; 2] = ["first".into(), "second".into()];
        let mut admission = TokenAdmission::default();
        admission.set_capacity(1_000, 100);
        admission.set_share(&partners[0], 1);
        admission.set_share(&partners[1], 1);
        let mut active = Vec::new();
        for (partner, tokens) in programs {
            if admission.admits(&partners[partner], tokens, 100) {
                admission.update_reservation(&partners[partner], 0, tokens);
                active.push((partner, tokens));
            } else if let Some((partner, tokens)) = active.pop() {
                admission.update_reservation(&partners[partner], tokens, 0);
            }
            let reserved: u64 = active.iter().map(|(_, tokens)| tokens).sum();
            prop_assert_eq!(admission.reserved(), reserved);
            let reserved_by = |wanted: usize| -> u64 {
                active.iter().filter(|(partner, _)| *partner == wanted).map(|(_, tokens)| tokens).sum()
            };
            prop_assert!(reserved <= 1_000 + 500, "{reserved}");
            prop_assert!(reserved_by(0) <= 1_000 && reserved_by(1) <= 1_000);
        }
        for (partner, tokens) in active {
            admission.update_reservation(&partners[partner], tokens, 0);
        }
        prop_assert_eq!(admission.reserved(), 0);
        Ok(())
    };
    runner().run(&programs, test).expect("holds for all cases");
}
