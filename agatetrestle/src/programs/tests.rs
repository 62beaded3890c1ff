//! Tests of the ledger's rules for calls, budgets and snapshots.

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

fn mark_unknown(program: &str, call: u32, attempt: AttemptId) -> ProgramCommand {
    ProgramCommand::Unknown { program: id(program), call: CallNumber(call), attempt, lost_servers: 0 }
}

/// Losses add up over attempts and calls of the same content, and an operator's finding takes them back.
#[test]
fn call_under_which_three_servers_ended_is_not_begun_again() {
    let mut ledger = ledger();
    let lose = |attempt, lost_servers| ProgramCommand::Unknown {
        program: id("vrsta/a"),
        call: CallNumber(1),
        attempt,
        lost_servers,
    };
    for (number, lost) in [(1, 1), (2, 2)] {
        applied(ledger.execute(begin("vrsta/a", 1, attempt(1, number), Repeatable::Yes)));
        for _ in 0..2 {
            applied(ledger.execute(lose(attempt(1, number), lost)));
        }
    }
    let again = ledger.execute(begin("vrsta/a", 1, attempt(1, 3), Repeatable::Yes));
    assert_eq!(again, ProgramReply::InDoubt(attempt(1, 2)));
    let ProgramCommand::Begin { digest, .. } = begin("vrsta/a", 1, attempt(1, 4), Repeatable::Yes) else {
        unreachable!("it is a begin")
    };
    let mut same = begin("vrsta/a", 2, attempt(1, 4), Repeatable::Yes);
    if let ProgramCommand::Begin { digest: same_digest, .. } = &mut same {
        *same_digest = digest;
    }
    assert_eq!(ledger.execute(same), ProgramReply::Refused(Refusal::ServersLost));
    let note = "the servers were mended".into();
    let resolve = ProgramCommand::Resolve { program: id("vrsta/a"), call: CallNumber(1), ran: false, note };
    applied(ledger.execute(resolve));
    assert_eq!(applied(ledger.execute(begin("vrsta/a", 1, attempt(1, 5), Repeatable::Yes))).lost_servers, 0);
}

fn applied(reply: ProgramReply) -> ProgramView {
    match reply {
        ProgramReply::Done(view) => view,
        other => panic!("expected an applied command, got {other:?}"),
    }
}

fn ledger() -> LedgerState {
    let mut ledger = LedgerState::default();
    applied(ledger.execute(open("vrsta/a", BUDGET, None)));
    ledger
}

#[test]
fn accepts_calls_only_in_order() {
    let mut ledger = ledger();
    let second = ledger.execute(begin("vrsta/a", 2, attempt(1, 1), Repeatable::Yes));
    assert_eq!(second, ProgramReply::Refused(Refusal::OutOfOrder { next: CallNumber(1) }));
    applied(ledger.execute(begin("vrsta/a", 1, attempt(1, 1), Repeatable::Yes)));
    let early = ledger.execute(begin("vrsta/a", 2, attempt(1, 2), Repeatable::Yes));
    assert_eq!(early, ProgramReply::Refused(Refusal::CallOpen { call: CallNumber(1) }));
    applied(ledger.execute(finish("vrsta/a", 1, attempt(1, 1), 10)));
    applied(ledger.execute(begin("vrsta/a", 2, attempt(1, 2), Repeatable::Yes)));
}

#[test]
fn resend_gets_stored_answer() {
    let mut ledger = ledger();
    applied(ledger.execute(begin("vrsta/a", 1, attempt(1, 1), Repeatable::No)));
    let during = ledger.execute(begin("vrsta/a", 1, attempt(2, 1), Repeatable::No));
    assert_eq!(during, ProgramReply::InProgress(attempt(1, 1)));
    applied(ledger.execute(finish("vrsta/a", 1, attempt(1, 1), 10)));
    let after = ledger.execute(begin("vrsta/a", 1, attempt(2, 2), Repeatable::No));
    assert_eq!(after, ProgramReply::Stored(answer("vrsta/a 1")));
}

#[test]
fn rejects_reused_key() {
    let mut ledger = ledger();
    applied(ledger.execute(begin("vrsta/a", 1, attempt(1, 1), Repeatable::No)));
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
fn rejects_reservation_over_budget() {
    let mut ledger = LedgerState::default();
    applied(ledger.execute(open("vrsta/a", 150, None)));
    applied(ledger.execute(begin("vrsta/a", 1, attempt(1, 1), Repeatable::Yes)));
    applied(ledger.execute(finish("vrsta/a", 1, attempt(1, 1), 80)));
    let over_budget = ledger.execute(begin("vrsta/a", 2, attempt(1, 2), Repeatable::Yes));
    assert_eq!(over_budget, ProgramReply::Refused(Refusal::Budget { left: 70 }));
}

#[test]
fn sub_agent_uses_budget_of_parent() {
    let mut ledger = ledger();
    applied(ledger.execute(open("vrsta/child", 400, Some("vrsta/a"))));
    let over_budget = ledger.execute(open("vrsta/second", 700, Some("vrsta/a")));
    assert_eq!(over_budget, ProgramReply::Refused(Refusal::Budget { left: 600 }));
    applied(ledger.execute(begin("vrsta/child", 1, attempt(1, 1), Repeatable::Yes)));
    applied(ledger.execute(finish("vrsta/child", 1, attempt(1, 1), 30)));
    let early = ledger.execute(ProgramCommand::End { program: id("vrsta/a") });
    assert_eq!(early, ProgramReply::Refused(Refusal::Children));
    applied(ledger.execute(ProgramCommand::End { program: id("vrsta/child") }));
    let parent = applied(ledger.execute(ProgramCommand::End { program: id("vrsta/a") }));
    assert_eq!((parent.spent, parent.reserved), (30, 0));
}

#[test]
fn isolates_programs_of_partners() {
    let mut ledger = ledger();
    applied(ledger.execute(open("lernwerk/a", BUDGET, None)));
    applied(ledger.execute(begin("lernwerk/a", 1, attempt(1, 1), Repeatable::No)));
    applied(ledger.execute(finish("lernwerk/a", 1, attempt(1, 1), 1)));
    let other = ledger.query(&ProgramQuery::Request(id("vrsta/a"), key("key-1")));
    assert_eq!(other, QueryReply::One(ProgramReply::Refused(Refusal::NoProgram)));
    let across = ledger.execute(open("lernwerk/b", 10, Some("vrsta/a")));
    assert_eq!(across, ProgramReply::Refused(Refusal::NoProgram));
    let QueryReply::Many(listed) = ledger.query(&ProgramQuery::List("vrsta".into(), 10)) else {
        panic!("expected a list of programs");
    };
    assert_eq!(listed.len(), 1);
}

#[test]
fn only_current_attempt_releases_call() {
    let mut ledger = ledger();
    applied(ledger.execute(begin("vrsta/a", 1, attempt(1, 1), Repeatable::No)));
    let other = ledger.execute(not_run("vrsta/a", 1, attempt(2, 1)));
    assert_eq!(other, ProgramReply::Refused(Refusal::NotYourAttempt));
    let view = applied(ledger.execute(not_run("vrsta/a", 1, attempt(1, 1))));
    assert_eq!((view.next_call, view.reserved, view.spent), (CallNumber(1), 0, 0));
}

#[test]
fn late_begin_does_not_reopen_released_call() {
    let mut ledger = ledger();
    applied(ledger.execute(begin("vrsta/a", 1, attempt(1, 1), Repeatable::No)));
    applied(ledger.execute(not_run("vrsta/a", 1, attempt(1, 1))));
    let late = ledger.execute(begin("vrsta/a", 1, attempt(1, 1), Repeatable::No));
    assert_eq!(late, ProgramReply::Refused(Refusal::NotYourAttempt));
    applied(ledger.execute(begin("vrsta/a", 1, attempt(1, 2), Repeatable::No)));
}

#[test]
fn does_not_repeat_unknown_call() {
    let mut ledger = ledger();
    applied(ledger.execute(begin("vrsta/a", 1, attempt(1, 1), Repeatable::No)));
    let view = applied(ledger.execute(mark_unknown("vrsta/a", 1, attempt(1, 1))));
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
    assert_eq!(applied(ledger.execute(resolve)).spent, 0);
}

#[test]
fn unknown_call_accepts_late_answer() {
    let mut ledger = ledger();
    applied(ledger.execute(begin("vrsta/a", 1, attempt(1, 1), Repeatable::No)));
    applied(ledger.execute(mark_unknown("vrsta/a", 1, attempt(1, 1))));
    let view = applied(ledger.execute(finish("vrsta/a", 1, attempt(1, 1), 40)));
    assert_eq!((view.spent, view.last.unwrap().1), (40, CallState::Finished));
}

#[test]
fn repeats_unknown_call_within_budget() {
    let mut ledger = LedgerState::default();
    applied(ledger.execute(open("vrsta/a", 250, None)));
    applied(ledger.execute(begin("vrsta/a", 1, attempt(1, 1), Repeatable::Yes)));
    applied(ledger.execute(mark_unknown("vrsta/a", 1, attempt(1, 1))));
    let again = applied(ledger.execute(begin("vrsta/a", 1, attempt(2, 1), Repeatable::Yes)));
    assert_eq!((again.spent, again.reserved), (100, 100));
    applied(ledger.execute(mark_unknown("vrsta/a", 1, attempt(2, 1))));
    let third = ledger.execute(begin("vrsta/a", 1, attempt(3, 1), Repeatable::Yes));
    assert_eq!(third, ProgramReply::Refused(Refusal::Budget { left: 50 }));
}

#[test]
fn takes_over_only_repeatable_calls() {
    let mut ledger = ledger();
    applied(ledger.execute(begin("vrsta/a", 1, attempt(1, 1), Repeatable::Yes)));
    let take_over = |call, previous| ProgramCommand::TakeOver {
        program: id("vrsta/a"),
        call: CallNumber(call),
        previous,
        attempt: attempt(2, 1),
    };
    applied(ledger.execute(take_over(1, attempt(1, 1))));
    let late = ledger.execute(finish("vrsta/a", 1, attempt(1, 1), 10));
    assert_eq!(late, ProgramReply::Refused(Refusal::NotYourAttempt));
    applied(ledger.execute(finish("vrsta/a", 1, attempt(2, 1), 10)));
    applied(ledger.execute(begin("vrsta/a", 2, attempt(1, 2), Repeatable::No)));
    assert_eq!(ledger.execute(take_over(2, attempt(1, 2))), ProgramReply::Refused(Refusal::WrongState));
}

#[test]
fn restores_snapshot_with_history() {
    let mut ledger = ledger();
    applied(ledger.execute(begin("vrsta/a", 1, attempt(1, 1), Repeatable::No)));
    applied(ledger.execute(finish("vrsta/a", 1, attempt(1, 1), 10)));
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
fn snapshot_excludes_history() {
    let mut ledger = LedgerState::default();
    applied(ledger.execute(open("vrsta/a", BUDGET, None)));
    applied(ledger.execute(begin("vrsta/a", 1, attempt(1, 1), Repeatable::No)));
    let body: Arc<[u8]> = vec![b'x'; 1 << 20].into();
    let answer = Answer { status: 200, content_type: "text/plain".into(), body };
    let finish = ProgramCommand::Finish {
        program: id("vrsta/a"),
        call: CallNumber(1),
        attempt: attempt(1, 1),
        answer,
        spent: 1,
    };
    applied(ledger.execute(finish));
    assert!(ledger.snapshot().len() < 1_024);
}

#[test]
fn limits_calls_per_program() {
    let mut ledger = LedgerState::default();
    let spec = ProgramSpec { turns: 2, ..spec(BUDGET, None) };
    applied(ledger.execute(ProgramCommand::Open { program: id("vrsta/a"), key: key("open"), spec, at: 7 }));
    for call in 1..=2 {
        applied(ledger.execute(begin("vrsta/a", call, attempt(1, call.into()), Repeatable::Yes)));
        applied(ledger.execute(finish("vrsta/a", call, attempt(1, call.into()), 10)));
    }
    let third = ledger.execute(begin("vrsta/a", 3, attempt(1, 3), Repeatable::Yes));
    assert_eq!(third, ProgramReply::Refused(Refusal::Turns));
}

#[test]
fn charges_at_most_the_reservation() {
    let mut ledger = ledger();
    applied(ledger.execute(begin("vrsta/a", 1, attempt(1, 1), Repeatable::Yes)));
    let view = applied(ledger.execute(finish("vrsta/a", 1, attempt(1, 1), BUDGET * 2)));
    assert_eq!((view.spent, view.reserved), (100, 0));
}

fn resolve(call: u32, ran: bool) -> ProgramCommand {
    ProgramCommand::Resolve { program: id("vrsta/a"), call: CallNumber(call), ran, note: "seen".into() }
}

fn ledger_with_unknown_call() -> LedgerState {
    let mut ledger = ledger();
    applied(ledger.execute(begin("vrsta/a", 1, attempt(1, 1), Repeatable::No)));
    applied(ledger.execute(mark_unknown("vrsta/a", 1, attempt(1, 1))));
    ledger
}

#[test]
fn resolves_unknown_call_once() {
    let mut ran = ledger_with_unknown_call();
    assert_eq!(applied(ran.execute(resolve(1, true))).spent, 100);
    let mut not_run = ledger_with_unknown_call();
    assert_eq!(applied(not_run.execute(resolve(1, false))).spent, 0);
    for ledger in [&mut ran, &mut not_run] {
        let again = ledger.execute(resolve(1, false));
        assert_eq!(again, ProgramReply::Refused(Refusal::WrongState));
    }
}

#[test]
fn resolves_only_unknown_calls() {
    let mut ledger = ledger();
    applied(ledger.execute(begin("vrsta/a", 1, attempt(1, 1), Repeatable::No)));
    let open = ledger.execute(resolve(1, false));
    assert_eq!(open, ProgramReply::Refused(Refusal::WrongState));
    applied(ledger.execute(mark_unknown("vrsta/a", 1, attempt(1, 1))));
    applied(ledger.execute(resolve(1, false)));
    let resent = ledger.execute(begin("vrsta/a", 1, attempt(2, 1), Repeatable::No));
    assert_eq!(resent, ProgramReply::InDoubt(attempt(1, 1)));
}
