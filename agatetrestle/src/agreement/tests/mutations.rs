//! Checks that the random schedules detect injected faults: each breaks an invariant within a limited number of cases.

use proptest::strategy::Strategy as _;
use proptest::strategy::ValueTree as _;

use crate::agreement::replica::fault::Fault;
use crate::agreement::tests::schedule::run;
use crate::agreement::tests::schedule::schedules;
use crate::agreement::tests::seeded_without_persistence;
use crate::agreement::tests::simulation::Violation;

const MAX_CASES: u32 = 5_000;

/// Runs random schedules until one breaks a safety invariant.
fn assert_caught(fault: Fault) {
    let mut runner = seeded_without_persistence();
    for case in 1..=MAX_CASES {
        let schedule = schedules().new_tree(&mut runner).expect("no filters").current();
        match run(&schedule, Some(fault)) {
            Ok(_) | Err(Violation::NoProgress) => {}
            Err(violation) => {
                assert_eq!(run(&schedule, None).err(), None, "the schedule must pass without the fault");
                println!("{fault:?} detected by case {case}: {violation}");
                return;
            }
        }
    }
    panic!("{fault:?} broke no invariant in {MAX_CASES} cases");
}

#[test]
fn mutation_acknowledge_before_sync_is_caught() {
    assert_caught(Fault::AcknowledgeBeforeSync);
}

#[test]
fn mutation_acknowledge_unsynced_entries_is_caught() {
    assert_caught(Fault::AcknowledgeUnsyncedEntries);
}

#[test]
fn mutation_count_own_unsynced_is_caught() {
    assert_caught(Fault::CountOwnUnsynced);
}

#[test]
fn mutation_commit_older_term_is_caught() {
    assert_caught(Fault::CommitOlderTerm);
}

#[test]
fn mutation_forget_vote_is_caught() {
    assert_caught(Fault::ForgetVote);
}

#[test]
fn mutation_renew_lease_on_receipt_is_caught() {
    assert_caught(Fault::RenewLeaseOnReceipt);
}

#[test]
fn mutation_skip_log_matching_is_caught() {
    assert_caught(Fault::SkipLogMatching);
}

#[test]
fn mutation_allow_two_changes_is_caught() {
    assert_caught(Fault::AllowTwoChanges);
}

#[test]
fn mutation_vote_during_lease_is_caught() {
    assert_caught(Fault::VoteDuringLease);
}

#[test]
fn mutation_vote_after_restart_is_caught() {
    assert_caught(Fault::VoteAfterRestart);
}

#[test]
fn mutation_read_without_lease_is_caught() {
    assert_caught(Fault::ReadWithoutLease);
}

#[test]
fn mutation_read_before_own_term_is_caught() {
    assert_caught(Fault::ReadBeforeOwnTerm);
}

#[test]
fn mutation_keep_lease_after_transfer_is_caught() {
    assert_caught(Fault::KeepLeaseAfterTransfer);
}

#[test]
fn mutation_commit_by_minority_is_caught() {
    assert_caught(Fault::CommitByMinority);
}
