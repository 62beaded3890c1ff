//! Tests of the ledger's rules, one promise each.

use std::sync::Arc;

use crate::agreement::StateMachine;
use crate::ids::AttemptId;
use crate::ids::CallNumber;
use crate::ids::NodeId;
use crate::ids::ProgramId;
use crate::ids::RequestKey;
use crate::programs::command::Answer;
use crate::programs::command::CallState;
use crate::programs::command::ProgramCommand;
use crate::programs::command::ProgramQuery;
use crate::programs::command::ProgramReply;
use crate::programs::command::ProgramSpec;
use crate::programs::command::ProgramView;
use crate::programs::command::QueryReply;
use crate::programs::command::Refusal;
use crate::programs::command::Repeatable;
use crate::programs::ledger::LedgerState;

const BUDGET: u64 = 1_000;

fn id(text: &str) -> ProgramId {
    ProgramId::parse(text).unwrap()
}

fn key(text: &str) -> RequestKey {
    RequestKey(text.into())
}

fn attempt(node: u64, sequence: u64) -> AttemptId {
    AttemptId { node: NodeId(node), incarnation: 1, sequence }
}

fn answer(text: &str) -> Answer {
    Answer { status: 200, content_type: "text/plain".into(), body: Arc::from(text.as_bytes()) }
}

fn spec(budget: u64, parent: Option<&str>) -> ProgramSpec {
    ProgramSpec {
        team: "wards".into(),
        class: "replacement".into(),
        budget,
        turns: 10,
        parent: parent.map(id),
    }
}

fn open(program: &str, budget: u64, parent: Option<&str>) -> ProgramCommand {
    ProgramCommand::Open { program: id(program), key: key("open"), spec: spec(budget, parent), at: 7 }
}

fn begin(program: &str, call: u32, attempt: AttemptId, repeatable: Repeatable) -> ProgramCommand {
    ProgramCommand::Begin {
        program: id(program),
        call: CallNumber(call),
        key: key(&format!("key-{call}")),
        attempt,
        reserve: 100,
        repeatable,
        request: Arc::from(&b"request"[..]),
        digest: u64::from(call),
    }
}

fn finish(program: &str, call: u32, attempt: AttemptId, spent: u64) -> ProgramCommand {
    let answer = answer(&format!("{program} {call}"));
    ProgramCommand::Finish { program: id(program), call: CallNumber(call), attempt, answer, spent }
}

fn not_run(program: &str, call: u32, attempt: AttemptId) -> ProgramCommand {
    ProgramCommand::NotRun { program: id(program), call: CallNumber(call), attempt }
}

fn doubt(program: &str, call: u32, attempt: AttemptId) -> ProgramCommand {
    ProgramCommand::Unknown { program: id(program), call: CallNumber(call), attempt }
}

fn done(reply: ProgramReply) -> ProgramView {
    match reply {
        ProgramReply::Done(view) => view,
        other => panic!("expected the command to be done, got {other:?}"),
    }
}

fn ledger() -> LedgerState {
    let mut ledger = LedgerState::default();
    done(ledger.execute(open("vrsta/a", BUDGET, None)));
    ledger
}

#[test]
fn calls_run_in_the_order_the_program_made_them() {
    let mut ledger = ledger();
    let second = ledger.execute(begin("vrsta/a", 2, attempt(1, 1), Repeatable::Yes));
    assert_eq!(second, ProgramReply::Refused(Refusal::OutOfOrder { next: CallNumber(1) }));
    done(ledger.execute(begin("vrsta/a", 1, attempt(1, 1), Repeatable::Yes)));
    let early = ledger.execute(begin("vrsta/a", 2, attempt(1, 2), Repeatable::Yes));
    assert_eq!(early, ProgramReply::Refused(Refusal::CallOpen { call: CallNumber(1) }));
    done(ledger.execute(finish("vrsta/a", 1, attempt(1, 1), 10)));
    done(ledger.execute(begin("vrsta/a", 2, attempt(1, 2), Repeatable::Yes)));
}

#[test]
fn a_resend_gets_the_stored_answer_and_begins_nothing() {
    let mut ledger = ledger();
    done(ledger.execute(begin("vrsta/a", 1, attempt(1, 1), Repeatable::No)));
    let during = ledger.execute(begin("vrsta/a", 1, attempt(2, 1), Repeatable::No));
    assert_eq!(during, ProgramReply::InProgress(attempt(1, 1)));
    done(ledger.execute(finish("vrsta/a", 1, attempt(1, 1), 10)));
    let after = ledger.execute(begin("vrsta/a", 1, attempt(2, 2), Repeatable::No));
    assert_eq!(after, ProgramReply::Stored(answer("vrsta/a 1")));
}

#[test]
fn a_key_reused_for_another_request_is_refused() {
    let mut ledger = ledger();
    done(ledger.execute(begin("vrsta/a", 1, attempt(1, 1), Repeatable::No)));
    let ProgramCommand::Begin { program, call, key, attempt, reserve, repeatable, request, .. } =
        begin("vrsta/a", 1, attempt(2, 2), Repeatable::No)
    else {
        unreachable!()
    };
    let other =
        ProgramCommand::Begin { program, call, key, attempt, reserve, repeatable, request, digest: 99 };
    assert_eq!(ledger.execute(other), ProgramReply::Refused(Refusal::KeyReused));
}

#[test]
fn a_reservation_beyond_the_budget_is_refused() {
    let mut ledger = LedgerState::default();
    done(ledger.execute(open("vrsta/a", 150, None)));
    done(ledger.execute(begin("vrsta/a", 1, attempt(1, 1), Repeatable::Yes)));
    done(ledger.execute(finish("vrsta/a", 1, attempt(1, 1), 80)));
    let over = ledger.execute(begin("vrsta/a", 2, attempt(1, 2), Repeatable::Yes));
    assert_eq!(over, ProgramReply::Refused(Refusal::Budget { left: 70 }));
}

#[test]
fn a_sub_agent_spends_from_its_parent_and_returns_the_rest() {
    let mut ledger = ledger();
    done(ledger.execute(open("vrsta/child", 400, Some("vrsta/a"))));
    let greedy = ledger.execute(open("vrsta/second", 700, Some("vrsta/a")));
    assert_eq!(greedy, ProgramReply::Refused(Refusal::Budget { left: 600 }));
    done(ledger.execute(begin("vrsta/child", 1, attempt(1, 1), Repeatable::Yes)));
    done(ledger.execute(finish("vrsta/child", 1, attempt(1, 1), 30)));
    let early = ledger.execute(ProgramCommand::End { program: id("vrsta/a") });
    assert_eq!(early, ProgramReply::Refused(Refusal::Children));
    done(ledger.execute(ProgramCommand::End { program: id("vrsta/child") }));
    let parent = done(ledger.execute(ProgramCommand::End { program: id("vrsta/a") }));
    assert_eq!((parent.spent, parent.reserved), (30, 0));
}

#[test]
fn partners_programs_never_meet() {
    let mut ledger = ledger();
    done(ledger.execute(open("lernwerk/a", BUDGET, None)));
    done(ledger.execute(begin("lernwerk/a", 1, attempt(1, 1), Repeatable::No)));
    done(ledger.execute(finish("lernwerk/a", 1, attempt(1, 1), 1)));
    let other = ledger.query(&ProgramQuery::Request(id("vrsta/a"), key("key-1")));
    assert_eq!(other, QueryReply::One(ProgramReply::Refused(Refusal::NoProgram)));
    let across = ledger.execute(open("lernwerk/b", 10, Some("vrsta/a")));
    assert_eq!(across, ProgramReply::Refused(Refusal::NoProgram));
    let QueryReply::Many(listed) = ledger.query(&ProgramQuery::List("vrsta".into(), 10)) else {
        panic!("a list answers a list query");
    };
    assert_eq!(listed.len(), 1);
}

#[test]
fn only_the_attempt_that_began_a_call_may_say_it_did_not_run() {
    let mut ledger = ledger();
    done(ledger.execute(begin("vrsta/a", 1, attempt(1, 1), Repeatable::No)));
    let other = ledger.execute(not_run("vrsta/a", 1, attempt(2, 1)));
    assert_eq!(other, ProgramReply::Refused(Refusal::NotYourAttempt));
    let view = done(ledger.execute(not_run("vrsta/a", 1, attempt(1, 1))));
    assert_eq!((view.next_call, view.reserved, view.spent), (CallNumber(1), 0, 0));
}

#[test]
fn a_late_duplicate_of_begin_does_not_open_a_released_call() {
    let mut ledger = ledger();
    done(ledger.execute(begin("vrsta/a", 1, attempt(1, 1), Repeatable::No)));
    done(ledger.execute(not_run("vrsta/a", 1, attempt(1, 1))));
    let late = ledger.execute(begin("vrsta/a", 1, attempt(1, 1), Repeatable::No));
    assert_eq!(late, ProgramReply::Refused(Refusal::NotYourAttempt));
    done(ledger.execute(begin("vrsta/a", 1, attempt(1, 2), Repeatable::No)));
}

#[test]
fn a_call_in_doubt_that_may_not_be_repeated_stays_in_doubt() {
    let mut ledger = ledger();
    done(ledger.execute(begin("vrsta/a", 1, attempt(1, 1), Repeatable::No)));
    let view = done(ledger.execute(doubt("vrsta/a", 1, attempt(1, 1))));
    assert_eq!((view.spent, view.reserved), (100, 0), "the whole reservation counts as spent");
    let resend = ledger.execute(begin("vrsta/a", 1, attempt(2, 1), Repeatable::No));
    assert_eq!(resend, ProgramReply::InDoubt(attempt(1, 1)));
    assert_eq!(
        ledger.execute(not_run("vrsta/a", 1, attempt(1, 1))),
        ProgramReply::Refused(Refusal::WrongState)
    );
    let resolve = ProgramCommand::Resolve {
        program: id("vrsta/a"),
        call: CallNumber(1),
        ran: false,
        note: "the service has no record of it".into(),
    };
    assert_eq!(done(ledger.execute(resolve)).spent, 0);
}

#[test]
fn a_late_answer_ends_the_doubt() {
    let mut ledger = ledger();
    done(ledger.execute(begin("vrsta/a", 1, attempt(1, 1), Repeatable::No)));
    done(ledger.execute(doubt("vrsta/a", 1, attempt(1, 1))));
    let view = done(ledger.execute(finish("vrsta/a", 1, attempt(1, 1), 40)));
    assert_eq!((view.spent, view.last.unwrap().1), (40, CallState::Finished));
}

#[test]
fn a_repeatable_call_in_doubt_may_be_sent_again_within_the_budget() {
    let mut ledger = LedgerState::default();
    done(ledger.execute(open("vrsta/a", 250, None)));
    done(ledger.execute(begin("vrsta/a", 1, attempt(1, 1), Repeatable::Yes)));
    done(ledger.execute(doubt("vrsta/a", 1, attempt(1, 1))));
    let again = done(ledger.execute(begin("vrsta/a", 1, attempt(2, 1), Repeatable::Yes)));
    assert_eq!((again.spent, again.reserved), (100, 100));
    done(ledger.execute(doubt("vrsta/a", 1, attempt(2, 1))));
    let third = ledger.execute(begin("vrsta/a", 1, attempt(3, 1), Repeatable::Yes));
    assert_eq!(third, ProgramReply::Refused(Refusal::Budget { left: 50 }));
}

#[test]
fn another_node_takes_over_only_what_may_be_repeated() {
    let mut ledger = ledger();
    done(ledger.execute(begin("vrsta/a", 1, attempt(1, 1), Repeatable::Yes)));
    let take = |call, previous| ProgramCommand::TakeOver {
        program: id("vrsta/a"),
        call: CallNumber(call),
        previous,
        attempt: attempt(2, 1),
    };
    done(ledger.execute(take(1, attempt(1, 1))));
    let late = ledger.execute(finish("vrsta/a", 1, attempt(1, 1), 10));
    assert_eq!(late, ProgramReply::Refused(Refusal::NotYourAttempt));
    done(ledger.execute(finish("vrsta/a", 1, attempt(2, 1), 10)));
    done(ledger.execute(begin("vrsta/a", 2, attempt(1, 2), Repeatable::No)));
    assert_eq!(ledger.execute(take(2, attempt(1, 2))), ProgramReply::Refused(Refusal::WrongState));
}

#[test]
fn a_snapshot_with_its_history_restores_the_same_ledger() {
    let mut ledger = ledger();
    done(ledger.execute(begin("vrsta/a", 1, attempt(1, 1), Repeatable::No)));
    done(ledger.execute(finish("vrsta/a", 1, attempt(1, 1), 10)));
    let snapshot = ledger.snapshot();
    let mut restored = LedgerState::default();
    assert!(restored.restore(&snapshot).is_err(), "the history is missing");
    let end = restored.history_end(&snapshot).unwrap();
    let bytes = ledger.history().unwrap().read_raw(0, usize::try_from(end).unwrap()).unwrap();
    restored.history().unwrap().append_raw(&bytes);
    restored.restore(&snapshot).unwrap();
    assert_eq!(restored.snapshot(), snapshot);
    let stored = restored.query(&ProgramQuery::Request(id("vrsta/a"), key("key-1")));
    assert_eq!(stored, QueryReply::One(ProgramReply::Stored(answer("vrsta/a 1"))));
    assert!(restored.restore(b"torn").is_err());
}

#[test]
fn a_snapshot_does_not_hold_the_history() {
    let mut ledger = LedgerState::default();
    done(ledger.execute(open("vrsta/a", BUDGET, None)));
    done(ledger.execute(begin("vrsta/a", 1, attempt(1, 1), Repeatable::No)));
    let body: Arc<[u8]> = vec![b'x'; 1 << 20].into();
    let answer = Answer { status: 200, content_type: "text/plain".into(), body };
    let finish = ProgramCommand::Finish {
        program: id("vrsta/a"),
        call: CallNumber(1),
        attempt: attempt(1, 1),
        answer,
        spent: 1,
    };
    done(ledger.execute(finish));
    assert!(ledger.snapshot().len() < 1_024);
}

#[test]
fn a_program_makes_no_more_calls_than_its_class_allows() {
    let mut ledger = LedgerState::default();
    let spec = ProgramSpec { turns: 2, ..spec(BUDGET, None) };
    done(ledger.execute(ProgramCommand::Open { program: id("vrsta/a"), key: key("open"), spec, at: 7 }));
    for call in 1..=2 {
        done(ledger.execute(begin("vrsta/a", call, attempt(1, call.into()), Repeatable::Yes)));
        done(ledger.execute(finish("vrsta/a", call, attempt(1, call.into()), 10)));
    }
    let third = ledger.execute(begin("vrsta/a", 3, attempt(1, 3), Repeatable::Yes));
    assert_eq!(third, ProgramReply::Refused(Refusal::Turns));
}

#[test]
fn more_than_the_reservation_is_never_charged() {
    let mut ledger = ledger();
    done(ledger.execute(begin("vrsta/a", 1, attempt(1, 1), Repeatable::Yes)));
    let view = done(ledger.execute(finish("vrsta/a", 1, attempt(1, 1), BUDGET * 2)));
    assert_eq!((view.spent, view.reserved), (100, 0));
}

fn resolve(call: u32, ran: bool) -> ProgramCommand {
    ProgramCommand::Resolve { program: id("vrsta/a"), call: CallNumber(call), ran, note: "seen".into() }
}

fn ledger_in_doubt() -> LedgerState {
    let mut ledger = ledger();
    done(ledger.execute(begin("vrsta/a", 1, attempt(1, 1), Repeatable::No)));
    done(ledger.execute(doubt("vrsta/a", 1, attempt(1, 1))));
    ledger
}

#[test]
fn an_operator_settles_a_call_in_doubt_once() {
    let mut ran = ledger_in_doubt();
    assert_eq!(done(ran.execute(resolve(1, true))).spent, 100);
    let mut not_run = ledger_in_doubt();
    assert_eq!(done(not_run.execute(resolve(1, false))).spent, 0);
    for ledger in [&mut ran, &mut not_run] {
        let again = ledger.execute(resolve(1, false));
        assert_eq!(again, ProgramReply::Refused(Refusal::WrongState));
    }
}

#[test]
fn only_a_call_in_doubt_can_be_settled_and_it_is_still_not_sent_again() {
    let mut ledger = ledger();
    done(ledger.execute(begin("vrsta/a", 1, attempt(1, 1), Repeatable::No)));
    let open = ledger.execute(resolve(1, false));
    assert_eq!(open, ProgramReply::Refused(Refusal::WrongState));
    done(ledger.execute(doubt("vrsta/a", 1, attempt(1, 1))));
    done(ledger.execute(resolve(1, false)));
    let resent = ledger.execute(begin("vrsta/a", 1, attempt(2, 1), Repeatable::No));
    assert_eq!(resent, ProgramReply::InDoubt(attempt(1, 1)));
}
