//! Tests of limits, retries, refusals and the release of state.

use std::collections::HashSet;
use std::sync::Arc;
use std::time::Duration;

use agatetrestle_config::declarations::BackendKind;

use crate::clock::Timestamp;
use crate::ids::ProgramId;
use crate::placing::cost::CostPlacer;
use crate::programs::command::Repeatable;
use crate::scheduler::Scheduler;
use crate::scheduler::config::SchedulerConfig;
use crate::scheduler::core::Components;
use crate::scheduler::core::Core;
use crate::scheduler::event::Action;
use crate::scheduler::event::Backend;
use crate::scheduler::event::CacheCommand;
use crate::scheduler::event::Call;
use crate::scheduler::event::CallId;
use crate::scheduler::event::Catalog;
use crate::scheduler::event::ClassRule;
use crate::scheduler::event::Decisions;
use crate::scheduler::event::Event;
use crate::scheduler::event::Failure;
use crate::scheduler::event::RefusalReason;
use crate::scheduler::event::Work;
use crate::scheduler::order::Order;
use crate::scheduler::order::ProgramOrder;
use crate::scheduler::order::RankBy;
use crate::scheduler::order::RankInput;

const KEEPALIVE: Duration = Duration::from_mins(1);
const SECOND: u64 = 1_000_000;

fn core(engines: u32, slots: u32) -> Core {
    core_with_cache(engines, slots, 100_000)
}

fn core_with_cache(engines: u32, slots: u32, cache_tokens: u64) -> Core {
    let cfg = SchedulerConfig::default();
    let components = Components {
        order: Box::new(ProgramOrder::new(&cfg, RankBy::Remaining)),
        placer: Box::new(CostPlacer::new(&cfg, true, 1)),
        retention: true,
        health: true,
        shares: true,
    };
    let mut core = Core::new(components, cfg, 1);
    let mut catalog = Catalog::default();
    for number in 0..engines {
        catalog.backends.push(Backend {
            name: format!("engine-{number}").into(),
            kind: BackendKind::Engine,
            serves: "model".into(),
            vm: format!("vm-{number}").into(),
            failure_domain: "domain-1".into(),
            slots,
            cache_tokens,
        });
    }
    let rule = ClassRule { priority: 5, deadline: None, keepalive: KEEPALIVE };
    catalog.classes.insert(("partner".into(), "class".into()), rule);
    core.step(Timestamp(0), Event::Catalog(Arc::new(catalog)));
    core
}

fn call(id: u64, program: &str, content: u64, repeatable: Repeatable) -> Call {
    let program = ProgramId { partner: "partner".into(), name: program.into() };
    let blocks: Vec<u64> = (0..4).map(|block| content * 1_000 + block).collect();
    Call {
        id: CallId(id),
        program: program.clone(),
        root: program,
        team: "team".into(),
        class: "class".into(),
        work: Work::Model {
            model: "model".into(),
            blocks: blocks.into(),
            prompt_tokens: 2_048,
            max_tokens: 100,
        },
        repeatable,
        deadline: None,
    }
}

fn dispatched(decisions: &Decisions) -> Vec<CallId> {
    let sent = decisions.actions.iter().filter_map(|action| match action {
        Action::Dispatch { call, .. } => Some(*call),
        _ => None,
    });
    sent.collect()
}

fn finish(core: &mut Core, micros: u64, id: u64) -> Decisions {
    core.step(Timestamp(micros), Event::FirstToken(CallId(id)));
    let finished = Event::Finished { call: CallId(id), output_tokens: 50, cached_tokens: 0 };
    core.step(Timestamp(micros), finished)
}

#[test]
fn frees_all_state_when_programs_end() {
    let mut core = core(2, 4);
    for id in 1..=100u64 {
        let now = id * SECOND;
        let program = format!("program-{id}");
        core.step(Timestamp(now), Event::Submit(call(id, &program, id, Repeatable::Yes)));
        finish(&mut core, now + SECOND / 2, id);
        let ended = ProgramId { partner: "partner".into(), name: program.as_str().into() };
        let decisions = core.step(Timestamp(now + SECOND / 2), Event::Ended(ended));
        assert!(matches!(decisions.cache_commands[..], [CacheCommand::Release { .. }]), "{decisions:?}");
    }
    assert_eq!(core.tracked_counts(), (0, 0));
    for (_, server) in &core.fleet.servers {
        assert_eq!((server.running, server.pinned_tokens, server.idle_tokens), (0, 0, 0));
        assert_eq!((server.pending_prefill, server.idle_programs.len()), (0, 0));
    }
    assert!(core.admissions.values().all(|admission| admission.reserved() == 0));
}

#[test]
fn releases_inactive_programs_after_the_keepalive() {
    let mut core = core(1, 4);
    core.step(Timestamp(0), Event::Submit(call(1, "silent", 1, Repeatable::Yes)));
    finish(&mut core, SECOND, 1);
    let before = core.step(Timestamp(60 * SECOND), Event::Tick);
    assert!(before.cache_commands.is_empty(), "{before:?}");
    let after = core.step(Timestamp(62 * SECOND), Event::Tick);
    assert!(matches!(after.cache_commands[..], [CacheCommand::Release { .. }]), "{after:?}");
    assert_eq!(core.tracked_counts(), (0, 0));
}

#[test]
fn sends_each_call_once_within_the_slots() {
    let mut core = core(2, 3);
    let mut sent = HashSet::new();
    for id in 1..=40u64 {
        let submitted = Event::Submit(call(id, &format!("program-{id}"), id, Repeatable::Yes));
        sent.extend(dispatched(&core.step(Timestamp(id), submitted)));
    }
    assert_eq!(sent.len(), 6);
    let mut in_service: Vec<CallId> = sent.iter().copied().collect();
    while let Some(id) = in_service.pop() {
        for next in dispatched(&finish(&mut core, SECOND, id.0)) {
            assert!(sent.insert(next), "{next:?} was sent twice");
            in_service.push(next);
        }
        assert!(core.backend_states().iter().all(|state| state.running <= 3));
    }
    assert_eq!(sent.len(), 40);
}

#[test]
fn gives_up_lost_calls_that_are_not_repeatable() {
    let mut core = core(2, 4);
    core.step(Timestamp(0), Event::Submit(call(1, "pays", 1, Repeatable::No)));
    let failed = Event::Failed { call: CallId(1), failure: Failure::Lost };
    let decisions = core.step(Timestamp(SECOND), failed);
    assert!(matches!(decisions.actions[..], [Action::GiveUp { .. }]), "{decisions:?}");
}

#[test]
fn retries_unsent_calls_on_another_server() {
    let mut core = core(2, 4);
    let first = core.step(Timestamp(0), Event::Submit(call(1, "pays", 1, Repeatable::No)));
    let failed = Event::Failed { call: CallId(1), failure: Failure::Connect };
    let second = core.step(Timestamp(SECOND), failed);
    let destination = |decisions: &Decisions| match decisions.actions[..] {
        [Action::Dispatch { backend, .. }] => backend,
        _ => panic!("{decisions:?}"),
    };
    assert_ne!(destination(&first), destination(&second));
}

#[test]
fn sends_no_new_calls_to_leaving_servers() {
    let mut core = core(1, 4);
    core.step(Timestamp(0), Event::Leaving { name: "vm-0".into(), leaving: true });
    let decisions = core.step(Timestamp(1), Event::Submit(call(1, "late", 1, Repeatable::Yes)));
    assert!(dispatched(&decisions).is_empty());
    let back = core.step(Timestamp(2), Event::Leaving { name: "vm-0".into(), leaving: false });
    assert_eq!(dispatched(&back), vec![CallId(1)]);
}

#[test]
fn refuses_programs_that_repeat_a_prompt() {
    let mut core = core(1, 4);
    let mut refused = 0;
    for id in 1..=30u64 {
        let now = Timestamp(id * SECOND);
        let decisions = core.step(now, Event::Submit(call(id, "loops", 1, Repeatable::Yes)));
        match decisions.actions[..] {
            [Action::Refuse { reason: RefusalReason::Runaway, .. }] => refused += 1,
            _ => drop(finish(&mut core, id * SECOND, id)),
        }
    }
    assert!(refused > 0);
    assert_eq!(core.tracked_counts().0, 0);
}

#[test]
fn refuses_calls_past_their_deadline() {
    let mut core = core(1, 1);
    core.step(Timestamp(0), Event::Submit(call(1, "first", 1, Repeatable::Yes)));
    let late = Call { deadline: Some(Timestamp(SECOND)), ..call(2, "second", 2, Repeatable::Yes) };
    core.step(Timestamp(1), Event::Submit(late));
    let decisions = finish(&mut core, 2 * SECOND, 1);
    let reason = RefusalReason::Deadline;
    assert!(
        matches!(decisions.actions[..], [Action::Refuse { call: CallId(2), reason: r, .. }] if r == reason),
        "{decisions:?}"
    );
}

#[test]
fn aging_bounds_the_delay_behind_younger_calls() {
    let cfg = SchedulerConfig::default();
    let order = ProgramOrder::new(&cfg, RankBy::Remaining);
    let input = |submitted, remaining| RankInput {
        submitted: Timestamp(submitted),
        attained: remaining,
        remaining,
        queue_time: Duration::ZERO,
        expected: 0,
        priority: 5,
    };
    let bound = crate::clock::micros(cfg.aging_bound);
    for remaining in [0, SECOND, 1_000 * SECOND, u64::MAX] {
        let oldest = order.rank(&input(0, remaining));
        assert!(oldest <= order.rank(&input(bound, 0)), "{remaining}");
    }
}

#[test]
fn sends_all_calls_if_the_cache_size_is_undeclared() {
    let mut core = core_with_cache(1, 8, 0);
    let mut sent = 0;
    for id in 1..=8u64 {
        let submitted = Event::Submit(call(id, &format!("program-{id}"), id, Repeatable::Yes));
        sent += dispatched(&core.step(Timestamp(id), submitted)).len();
    }
    assert_eq!(sent, 8);
}
