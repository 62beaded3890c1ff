//! Tests of the replicated record.

use std::collections::BTreeSet;

use proptest::prelude::*;

use crate::clock::Timestamp;
use crate::codec::decode;
use crate::codec::encode;
use crate::ids::FIRST_STATE_GROUP;
use crate::suspects::Fingerprint;
use crate::suspects::SuspectView;
use crate::suspects::Suspects;
use crate::suspects::record::Admit;
use crate::suspects::record::Clear;
use crate::suspects::record::End;
use crate::suspects::record::Lose;
use crate::suspects::record::MAX_LOSSES;
use crate::suspects::record::MAX_SUSPECTS;
use crate::suspects::record::RETENTION_MS;
use crate::suspects::record::SuspectCommand;
use crate::suspects::record::SuspectDecision;

const REQUEST: Fingerprint = Fingerprint(7);

fn admit_of(fingerprint: Fingerprint, attempt: &str) -> Admit {
    Admit { fingerprint, attempt: attempt.into(), service: "engines".into(), run_ms: 4_000, max_running: 9 }
}

fn admit(record: &mut Suspects, now: u64, attempt: &str) -> SuspectDecision {
    record.execute(now, SuspectCommand::Admit(admit_of(REQUEST, attempt)))
}

fn lose(record: &mut Suspects, now: u64, server: &str, attempt: &str) -> SuspectDecision {
    let admit = admit_of(REQUEST, attempt);
    record.execute(
        now,
        SuspectCommand::Lose(Lose { server: server.into(), goes_on: false, abandoned: false, admit }),
    )
}

fn end(record: &mut Suspects, attempt: &str, clears: bool) {
    let end = End { fingerprint: REQUEST, attempt: attempt.into(), clears };
    record.execute(0, SuspectCommand::End(end));
}

fn clear(record: &mut Suspects, server: &str) {
    record.execute(0, SuspectCommand::Clear(Clear { fingerprint: REQUEST, server: server.into() }));
}

#[test]
fn request_under_which_three_servers_ended_is_refused() {
    let mut record = Suspects::default();
    assert_eq!(admit(&mut record, 0, "a"), SuspectDecision::Innocent);
    for (number, server) in ["x", "y", "z"].into_iter().enumerate() {
        let losses = u32::try_from(number).unwrap();
        if number > 0 {
            assert_eq!(admit(&mut record, 0, server), SuspectDecision::Admitted { losses });
        }
        lose(&mut record, 0, server, server);
    }
    assert_eq!(admit(&mut record, 100, "b"), SuspectDecision::Exhausted { retry_ms: 1_900 });
    assert_eq!(
        admit(&mut record, 10_000, "b"),
        SuspectDecision::Exhausted { retry_ms: RETENTION_MS - 10_000 }
    );
    let other = SuspectCommand::Admit(admit_of(Fingerprint(8), "c"));
    assert_eq!(record.execute(10_000, other), SuspectDecision::Innocent);
}

#[test]
fn attempts_under_way_count_as_losses() {
    let mut record = Suspects::default();
    lose(&mut record, 0, "x", "a");
    assert_eq!(admit(&mut record, 0, "b"), SuspectDecision::Admitted { losses: 1 });
    assert_eq!(admit(&mut record, 0, "c"), SuspectDecision::Admitted { losses: 1 });
    assert_eq!(admit(&mut record, 0, "d"), SuspectDecision::Busy { retry_ms: 500 });
    end(&mut record, "b", false);
    assert_eq!(admit(&mut record, 0, "d"), SuspectDecision::Admitted { losses: 1 });
    lose(&mut record, 0, "y", "c");
    assert_eq!(admit(&mut record, 0, "e"), SuspectDecision::Busy { retry_ms: 500 });
}

/// Guards against an attempt that is counted as nothing since its entry was killed before its server ended.
#[test]
fn attempt_whose_entry_is_gone_is_a_loss_once_its_time_is_up() {
    let mut record = Suspects::default();
    lose(&mut record, 0, "x", "a");
    lose(&mut record, 0, "y", "a");
    assert_eq!(admit(&mut record, 0, "b"), SuspectDecision::Admitted { losses: 2 });
    assert_eq!(admit(&mut record, 3_999, "c"), SuspectDecision::Busy { retry_ms: 500 });
    assert_eq!(admit(&mut record, 5_999, "c"), SuspectDecision::Busy { retry_ms: 500 });
    assert_eq!(admit(&mut record, 6_000, "c"), SuspectDecision::Exhausted { retry_ms: 2_000 });
    assert_eq!(record.losses(REQUEST), 3);
    // Its entry was only slow to report its end.
    end(&mut record, "b", false);
    assert_eq!(admit(&mut record, 6_000, "c"), SuspectDecision::Admitted { losses: 2 });
}

/// A late report replaces what was assumed, so that one server is not counted twice.
#[test]
fn late_report_of_a_loss_counts_its_attempt_once() {
    let mut record = Suspects::default();
    lose(&mut record, 0, "x", "a");
    assert_eq!(admit(&mut record, 0, "b"), SuspectDecision::Admitted { losses: 1 });
    assert_eq!(admit(&mut record, 7_000, "c"), SuspectDecision::Admitted { losses: 2 });
    lose(&mut record, 7_000, "y", "b");
    assert_eq!(record.losses(REQUEST), 2);
}

/// An entry that reported its loss and ended before it settled its turn is reported by the next one too.
#[test]
fn loss_of_an_entry_counts_unless_it_reported_its_server() {
    let mut record = Suspects::default();
    lose(&mut record, 0, "x", "a");
    lose(&mut record, 0, "", "a");
    assert_eq!(record.losses(REQUEST), 1);
    lose(&mut record, 0, "", "b");
    lose(&mut record, 0, "", "b");
    assert_eq!(record.losses(REQUEST), 2);
    lose(&mut record, 0, "y", "b");
    assert_eq!(record.losses(REQUEST), 2);
    lose(&mut record, 0, "", "c");
    assert!(matches!(admit(&mut record, 0, "d"), SuspectDecision::Exhausted { .. }));
}

/// Guards against callers of innocent requests that stop, since their losses are about to be taken back.
#[test]
fn refusal_is_short_while_losses_may_be_taken_back() {
    let mut record = Suspects::default();
    for server in ["x", "y", "z"] {
        lose(&mut record, 0, server, "a");
    }
    for (now, retry_ms) in [(1_500, 500), (2_000, 2_000), (9_999, 2_000), (10_000, RETENTION_MS - 10_000)] {
        assert_eq!(admit(&mut record, now, "b"), SuspectDecision::Exhausted { retry_ms }, "{now}");
    }
}

#[test]
fn attempt_goes_on_at_another_server_only_while_fewer_than_three_ended() {
    let mut record = Suspects::default();
    let decisions = ["x", "y", "z"].map(|server| {
        let admit = admit_of(REQUEST, "a");
        record.execute(
            0,
            SuspectCommand::Lose(Lose { server: server.into(), goes_on: true, abandoned: false, admit }),
        )
    });
    assert_eq!(
        decisions[..2],
        [SuspectDecision::Admitted { losses: 1 }, SuspectDecision::Admitted { losses: 2 }]
    );
    assert!(matches!(decisions[2], SuspectDecision::Exhausted { .. }));
}

#[test]
fn repeated_commands_change_nothing() {
    let mut record = Suspects::default();
    for _ in 0..4 {
        lose(&mut record, 0, "x", "a");
        assert_eq!(admit(&mut record, 0, "b"), SuspectDecision::Admitted { losses: 1 });
    }
    assert_eq!((record.len(), record.version()), (1, 1));
}

#[test]
fn server_that_runs_is_no_loss() {
    let mut record = Suspects::default();
    for server in ["x", "y", "z"] {
        lose(&mut record, 0, server, "a");
    }
    clear(&mut record, "y");
    assert_eq!(admit(&mut record, 0, "b"), SuspectDecision::Admitted { losses: 2 });
    clear(&mut record, "x");
    clear(&mut record, "z");
    assert!(record.is_empty());
    assert_eq!(admit(&mut record, 0, "b"), SuspectDecision::Innocent);
    lose(&mut record, 0, "x", "a");
    assert_eq!(record.since(0, 1).added, [(REQUEST, RETENTION_MS)], "entries hear of it again");
}

/// A path that many callers ask for without a body must not be refused for good after a lost failure domain.
#[test]
fn completion_clears_a_request_that_other_callers_send_too() {
    let mut record = Suspects::default();
    lose(&mut record, 0, "x", "a");
    lose(&mut record, 0, "y", "b");
    end(&mut record, "c", true);
    assert!(record.is_empty());
    for server in ["x", "y", "z"] {
        lose(&mut record, 0, server, "a");
    }
    end(&mut record, "c", true);
    assert_eq!(record.losses(REQUEST), MAX_LOSSES, "three servers ended");
}

fn abandon(record: &mut Suspects, server: &str, attempt: &str) {
    let admit = admit_of(REQUEST, attempt);
    let lose = Lose { server: server.into(), goes_on: false, abandoned: true, admit };
    record.execute(0, SuspectCommand::Lose(lose));
}

/// Guards against a page that is refused to all its callers, since some of them left early while others got it.
#[test]
fn completion_clears_a_request_whose_callers_left() {
    let mut record = Suspects::default();
    for server in ["u", "v", "w", "x", "y", "z"] {
        abandon(&mut record, server, server);
    }
    assert!(matches!(admit(&mut record, 0, "b"), SuspectDecision::Exhausted { .. }));
    end(&mut record, "c", true);
    assert!(record.is_empty());
}

/// Guards against a request that goes on to end servers, since the loss of some of them is also known from callers that left.
#[test]
fn completion_does_not_clear_servers_that_failed() {
    let mut record = Suspects::default();
    for server in ["x", "y", "z"] {
        abandon(&mut record, server, "a");
        lose(&mut record, 0, server, "b");
        abandon(&mut record, server, "c");
    }
    end(&mut record, "d", true);
    assert_eq!(record.losses(REQUEST), MAX_LOSSES);
    end(&mut record, "d", false);
    assert_eq!(record.losses(REQUEST), MAX_LOSSES);
    // Without a completion by another caller.
    let mut record = Suspects::default();
    for server in ["x", "y", "z"] {
        abandon(&mut record, server, server);
    }
    end(&mut record, "d", false);
    assert!(matches!(admit(&mut record, 0, "e"), SuspectDecision::Exhausted { .. }));
    clear(&mut record, "y");
    assert_eq!(admit(&mut record, 0, "e"), SuspectDecision::Admitted { losses: 2 });
}

#[test]
fn suspects_with_two_losses_run_a_few_at_a_time() {
    let mut record = Suspects::default();
    for number in 0..4 {
        let admit = Admit { max_running: 2, ..admit_of(Fingerprint(number), "a") };
        for server in ["x", "y"] {
            let lose = Lose { server: server.into(), goes_on: false, abandoned: false, admit: admit.clone() };
            record.execute(0, SuspectCommand::Lose(lose));
        }
        let decision = record.execute(0, SuspectCommand::Admit(admit));
        let expected = if number < 2 {
            SuspectDecision::Admitted { losses: 2 }
        } else {
            SuspectDecision::Busy { retry_ms: 500 }
        };
        assert_eq!(decision, expected, "{number}");
    }
    let elsewhere = Admit { service: "tools".into(), max_running: 2, ..admit_of(Fingerprint(9), "a") };
    let lost = Lose { server: "x".into(), goes_on: true, abandoned: false, admit: elsewhere };
    assert_eq!(record.execute(0, SuspectCommand::Lose(lost)), SuspectDecision::Admitted { losses: 1 });
}

#[test]
fn suspect_is_forgotten_after_its_retention() {
    let mut record = Suspects::default();
    lose(&mut record, 1_000, "x", "a");
    record.advance(RETENTION_MS + 1_000);
    assert!(record.contains(REQUEST));
    record.advance(RETENTION_MS + 1_001);
    assert!(record.is_empty());
}

#[test]
fn full_record_drops_those_with_the_fewest_losses_first() {
    let mut record = Suspects::default();
    for server in ["x", "y", "z"] {
        lose(&mut record, 0, server, "a");
    }
    for number in 0..2 * MAX_SUSPECTS as u64 {
        let admit = admit_of(Fingerprint(1_000 + number), "a");
        record.execute(
            number,
            SuspectCommand::Lose(Lose { server: "x".into(), goes_on: false, abandoned: false, admit }),
        );
    }
    assert_eq!(record.len(), MAX_SUSPECTS);
    assert_eq!(record.losses(REQUEST), MAX_LOSSES);
    let bytes = encode(&record).len();
    assert!(bytes < 3 << 20, "{bytes}");
}

#[test]
fn view_hears_of_each_suspect_once() {
    let (mut record, view) = (Suspects::default(), SuspectView::default());
    view.set_groups(1);
    assert!(!view.is_complete());
    view.apply(Timestamp(0), FIRST_STATE_GROUP, &record.since(0, 0));
    assert!(view.is_complete() && view.is_empty());
    lose(&mut record, 0, "x", "a");
    let digest = record.since(0, view.version(FIRST_STATE_GROUP).unwrap_or(0));
    assert_eq!(digest.added.len(), 1);
    view.apply(Timestamp(0), FIRST_STATE_GROUP, &digest);
    assert!(view.contains(REQUEST));
    assert!(record.since(0, view.version(FIRST_STATE_GROUP).unwrap_or(0)).added.is_empty());
    // Asked before the suspect was added, so that the answer says nothing about it.
    view.remove_older(Timestamp(0), REQUEST);
    assert!(view.contains(REQUEST));
    view.remove_older(Timestamp(1), REQUEST);
    assert!(view.is_empty());
}

fn any_command() -> impl Strategy<Value = SuspectCommand> {
    let parts = (0..3_u64, 0..6_usize, 0..6_usize, any::<bool>());
    (0..4_usize, parts).prop_map(|(kind, (fingerprint, attempt, server, flag))| {
        let admit = admit_of(Fingerprint(fingerprint), &format!("a{attempt}"));
        let server = format!("s{server}").into();
        let Admit { fingerprint, attempt, .. } = admit.clone();
        match kind {
            0 => SuspectCommand::Admit(admit),
            1 => SuspectCommand::Lose(Lose { server, goes_on: flag, abandoned: !flag, admit }),
            2 => SuspectCommand::Clear(Clear { fingerprint, server }),
            _ => SuspectCommand::End(End { fingerprint, attempt, clears: flag }),
        }
    })
}

proptest! {
    /// Losses and attempts under way never exceed three by a permission, whatever is reported and repeated.
    #[test]
    fn permissions_and_losses_never_exceed_three(commands in prop::collection::vec(any_command(), 1..60)) {
        let mut record = Suspects::default();
        let mut running: BTreeSet<(Fingerprint, std::sync::Arc<str>)> = BTreeSet::new();
        for command in commands {
            let decision = record.execute(0, command.clone());
            let (attempt, was_sent_on) = match command {
                SuspectCommand::Admit(admit) => (Some((admit.fingerprint, admit.attempt)), false),
                SuspectCommand::Lose(Lose { admit, .. }) => (Some((admit.fingerprint, admit.attempt)), true),
                SuspectCommand::End(End { fingerprint, attempt, .. }) => {
                    running.remove(&(fingerprint, attempt));
                    (None, false)
                }
                SuspectCommand::Clear(_) => (None, false),
            };
            running.retain(|(fingerprint, _)| record.contains(*fingerprint));
            let Some(attempt) = attempt else { continue };
            if was_sent_on {
                running.remove(&attempt);
            }
            if matches!(decision, SuspectDecision::Admitted { .. }) && running.insert(attempt.clone()) {
                let under_way = running.iter().filter(|(fingerprint, _)| *fingerprint == attempt.0).count();
                prop_assert!(record.losses(attempt.0) + under_way <= MAX_LOSSES);
            }
        }
        let restored: Suspects = decode(&encode(&record)).unwrap();
        prop_assert_eq!(restored, record);
    }
}
