//! The scheduler keeps its bounds and forgets what is over.

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
use crate::scheduler::core::Core;
use crate::scheduler::core::Parts;
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
use crate::scheduler::order::ByProgram;
use crate::scheduler::order::Candidate;
use crate::scheduler::order::Measure;
use crate::scheduler::order::Order;

const KEEPALIVE: Duration = Duration::from_mins(1);
const SECOND: u64 = 1_000_000;

fn core(engines: u32, slots: u32) -> Core {
    core_with_cache(engines, slots, 100_000)
}

fn core_with_cache(engines: u32, slots: u32, cache_tokens: u64) -> Core {
    let cfg = SchedulerConfig::default();
    let parts = Parts {
        order: Box::new(ByProgram::new(&cfg, Measure::Rest)),
        placer: Box::new(CostPlacer::new(&cfg, true, 1)),
        retention: true,
        health: true,
        shares: true,
    };
    let mut core = Core::new(parts, cfg, 1);
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

fn finish(core: &mut Core, at: u64, id: u64) -> Decisions {
    core.step(Timestamp(at), Event::FirstToken(CallId(id)));
    let finished = Event::Finished { call: CallId(id), output_tokens: 50, cached_tokens: 0 };
    core.step(Timestamp(at), finished)
}

#[test]
fn everything_is_forgotten_when_programs_end() {
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
    assert_eq!(core.remembered(), (0, 0));
    for (_, server) in &core.fleet.servers {
        assert_eq!((server.running, server.pinned_tokens, server.idle_tokens), (0, 0, 0));
        assert_eq!((server.pending_prefill, server.idle.len()), (0, 0));
    }
    assert!(core.doors.values().all(|door| door.reserved() == 0));
}

#[test]
fn a_silent_program_is_released_within_its_keepalive() {
    let mut core = core(1, 4);
    core.step(Timestamp(0), Event::Submit(call(1, "silent", 1, Repeatable::Yes)));
    finish(&mut core, SECOND, 1);
    let before = core.step(Timestamp(60 * SECOND), Event::Tick);
    assert!(before.cache_commands.is_empty(), "{before:?}");
    let after = core.step(Timestamp(62 * SECOND), Event::Tick);
    assert!(matches!(after.cache_commands[..], [CacheCommand::Release { .. }]), "{after:?}");
    assert_eq!(core.remembered(), (0, 0));
}

#[test]
fn slots_are_never_exceeded_and_every_call_is_sent_once() {
    let mut core = core(2, 3);
    let mut sent = HashSet::new();
    for id in 1..=40u64 {
        let submitted = Event::Submit(call(id, &format!("program-{id}"), id, Repeatable::Yes));
        sent.extend(dispatched(&core.step(Timestamp(id), submitted)));
    }
    assert_eq!(sent.len(), 6);
    let mut waiting: Vec<CallId> = sent.iter().copied().collect();
    while let Some(id) = waiting.pop() {
        for next in dispatched(&finish(&mut core, SECOND, id.0)) {
            assert!(sent.insert(next), "{next:?} was sent twice");
            waiting.push(next);
        }
        assert!(core.backend_states().iter().all(|state| state.running <= 3));
    }
    assert_eq!(sent.len(), 40);
}

#[test]
fn a_lost_call_that_may_not_be_repeated_is_given_up() {
    let mut core = core(2, 4);
    core.step(Timestamp(0), Event::Submit(call(1, "pays", 1, Repeatable::No)));
    let failed = Event::Failed { call: CallId(1), failure: Failure::Lost };
    let decisions = core.step(Timestamp(SECOND), failed);
    assert!(matches!(decisions.actions[..], [Action::GiveUp { .. }]), "{decisions:?}");
}

#[test]
fn a_call_that_was_not_sent_goes_elsewhere() {
    let mut core = core(2, 4);
    let first = core.step(Timestamp(0), Event::Submit(call(1, "pays", 1, Repeatable::No)));
    let failed = Event::Failed { call: CallId(1), failure: Failure::Connect };
    let second = core.step(Timestamp(SECOND), failed);
    let to = |decisions: &Decisions| match decisions.actions[..] {
        [Action::Dispatch { backend, .. }] => backend,
        _ => panic!("{decisions:?}"),
    };
    assert_ne!(to(&first), to(&second));
}

#[test]
fn a_leaving_server_gets_no_new_call() {
    let mut core = core(1, 4);
    core.step(Timestamp(0), Event::Leaving { name: "vm-0".into(), leaving: true });
    let decisions = core.step(Timestamp(1), Event::Submit(call(1, "late", 1, Repeatable::Yes)));
    assert!(dispatched(&decisions).is_empty());
    let back = core.step(Timestamp(2), Event::Leaving { name: "vm-0".into(), leaving: false });
    assert_eq!(dispatched(&back), vec![CallId(1)]);
}

#[test]
fn a_program_that_repeats_itself_is_turned_away() {
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
    assert_eq!(core.remembered().0, 0);
}

#[test]
fn a_call_past_its_deadline_is_not_sent() {
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
fn no_call_ranks_behind_a_younger_one_beyond_the_aging_bound() {
    let cfg = SchedulerConfig::default();
    let order = ByProgram::new(&cfg, Measure::Rest);
    let candidate = |submitted, rest| Candidate {
        submitted: Timestamp(submitted),
        attained: rest,
        rest,
        waited: Duration::ZERO,
        expected: 0,
        priority: 5,
    };
    let bound = crate::clock::micros(cfg.aging_bound);
    for rest in [0, SECOND, 1_000 * SECOND, u64::MAX] {
        let oldest = order.rank(&candidate(0, rest));
        assert!(oldest <= order.rank(&candidate(bound, 0)), "{rest}");
    }
}

#[test]
fn a_cache_of_undeclared_size_holds_nothing_back() {
    let mut core = core_with_cache(1, 8, 0);
    let mut sent = 0;
    for id in 1..=8u64 {
        let submitted = Event::Submit(call(id, &format!("program-{id}"), id, Repeatable::Yes));
        sent += dispatched(&core.step(Timestamp(id), submitted)).len();
    }
    assert_eq!(sent, 8);
}
