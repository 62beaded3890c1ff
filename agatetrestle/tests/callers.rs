//! The caller's side end to end: model calls, service calls, resends and the outcomes told.

mod support;

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use agatetrestle::attempts::prefix;
use agatetrestle::clock::Timestamp;
use agatetrestle::ports::Measurement;
use agatetrestle::ports::NotTakingWork;
use agatetrestle::programs::command::CallState;
use agatetrestle::scheduler::BackendState;
use agatetrestle::scheduler::Scheduler;
use agatetrestle::scheduler::event::Action;
use agatetrestle::scheduler::event::Backend;
use agatetrestle::scheduler::event::BackendKey;
use agatetrestle::scheduler::event::Decisions;
use agatetrestle::scheduler::event::Event;
use agatetrestle::scheduler::event::RefusalReason;
use agatetrestle_fakes::Engine;
use agatetrestle_fakes::EngineConfig;
use agatetrestle_fakes::Forwarder;
use agatetrestle_fakes::Service;
use agatetrestle_fakes::client::ClientCall;
use agatetrestle_fakes::service::Behaviour;
use serde_json::json;
use smol::channel;

use crate::support::Fault;
use crate::support::Node;
use crate::support::PARTNER;
use crate::support::PROGRAM;
use crate::support::Rig;
use crate::support::backend;
use crate::support::call;
use crate::support::chat;
use crate::support::run;

#[test]
fn a_program_runs_from_open_to_end() {
    run(async |executor| {
        let engine = Engine::start(&executor, EngineConfig::default()).await.unwrap();
        let service = Service::start(&executor).await.unwrap();
        let rig = Rig::new(&executor, &[engine.address], &[service.address]);
        let node = rig.node(1).await;
        assert_eq!(node.client.addresses(None).await.unwrap(), [node.client.address]);
        rig.open(&node).await;

        let reply = node.client.chat(&call(1, "k1"), &chat()).await.unwrap();
        assert_eq!(reply.status, 200);
        assert!(reply.is_done());
        assert!(reply.text().starts_with("vrsta/dawn#1:0 vrsta/dawn#1:1 "));
        let booked = node.client.service(&call(2, "k2"), "rota", "book?day=1", "ward 3", true).await.unwrap();
        assert_eq!(booked.json()["body"], "ward 3");
        assert_eq!(service.runs()["k2"], 1);
        let ended = node.client.end(PROGRAM).await.unwrap();
        let spent = 8 + engine.requests()[0].prompt_tokens;
        assert_eq!(ended.json()["spent"], spent);
        assert_eq!(ended.json()["reserved"], 0);
        assert_eq!(rig.ledger.take_commands(), ["Open", "Begin", "Finish", "Begin", "Finish", "End"]);
        assert_eq!(node.entry.in_flight(), 0);
    });
}

#[test]
fn a_program_leaves_its_measures() {
    run(async |executor| {
        let engine = Engine::start(&executor, EngineConfig::default()).await.unwrap();
        let rig = Rig::new(&executor, &[engine.address], &[]);
        let node = rig.node(1).await;
        rig.open(&node).await;
        let reply = node.client.chat(&call(1, "k1"), &chat()).await.unwrap();
        node.client.end(PROGRAM).await.unwrap();
        let events = String::from_utf8(reply.body).unwrap().matches("data: ").count();
        let parts = events - 1; // The last event is told by the entry itself.
        let recorder = &rig.recorder;
        assert_eq!(recorder.count(|m| matches!(m, Measurement::FirstToken(_))), 1);
        assert_eq!(recorder.count(|m| matches!(m, Measurement::BetweenTokens(_))), parts - 1);
        assert_eq!(recorder.count(|m| *m == Measurement::Tokens(8)), 1);
        for each in [
            |m: &Measurement| matches!(m, Measurement::ProgramLatency(_)),
            |m: &Measurement| matches!(m, Measurement::QueueWait(_)),
            |m: &Measurement| matches!(m, Measurement::AddedTime(_)),
        ] {
            assert_eq!(recorder.count(each), 1);
        }
        assert_eq!(recorder.count(|m| matches!(m, Measurement::Commit(_))), 2, "the begin and the finish");
    });
}

#[test]
fn a_resend_on_another_node_gets_the_stored_answer() {
    run(async |executor| {
        let engine = Engine::start(&executor, EngineConfig::default()).await.unwrap();
        let rig = Rig::new(&executor, &[engine.address], &[]);
        let (first, second) = (rig.node(1).await, rig.node(2).await);
        rig.open(&first).await;
        let reply = first.client.chat(&call(1, "k1"), &chat()).await.unwrap();
        let again = second.client.chat(&call(1, "k1"), &chat()).await.unwrap();
        let fetched = second.client.answer(PROGRAM, "k1").await.unwrap();
        assert_eq!(again.body, reply.body);
        assert_eq!(fetched.body, reply.body);
        assert_eq!(fetched.content_type, "text/event-stream");
        assert_eq!(engine.requests().len(), 1);

        let other = json!({ "model": "small", "messages": [] });
        let reused = second.client.chat(&call(1, "k1"), &other).await.unwrap();
        assert_eq!((reused.status, &reused.json()["reason"]), (422, &json!("key_reused")));
    });
}

#[test]
fn the_end_of_a_stream_comes_only_after_the_answer_is_stored() {
    run(async |executor| {
        let engine = Engine::start(&executor, EngineConfig::default()).await.unwrap();
        let rig = Rig::new(&executor, &[engine.address], &[]);
        let node = rig.node(1).await;
        rig.open(&node).await;
        rig.ledger.holding.set(true);
        let told = Rc::new(RefCell::new(String::new()));
        let (client, seen) = (node.client, Rc::clone(&told));
        let chatting = executor.spawn(async move {
            let watch = |bytes: &[u8]| seen.borrow_mut().push_str(&String::from_utf8_lossy(bytes));
            client.chat_with_progress(&call(1, "k1"), &chat(), watch).await
        });
        while rig.ledger.held.get() == 0 || !told.borrow().contains("#1:7 ") {
            smol::future::yield_now().await;
        }
        node.client.addresses(None).await.unwrap();
        assert!(!told.borrow().contains("[DONE]"), "nothing is stored yet");
        assert_eq!(rig.ledger.program(PROGRAM).last.map(|last| last.1), Some(CallState::Open));
        rig.ledger.holding.set(false);
        assert!(chatting.await.unwrap().is_done());
        assert_eq!(rig.ledger.program(PROGRAM).last.map(|last| last.1), Some(CallState::Finished));
    });
}

#[test]
fn a_call_that_may_not_be_repeated_runs_once_when_its_answer_is_lost() {
    run(async |executor| {
        let service = Service::start(&executor).await.unwrap();
        let rig = Rig::new(&executor, &[], &[service.address]);
        let (first, second) = (rig.node(1).await, rig.node(2).await);
        rig.open(&first).await;
        service.set_behaviour(Behaviour::RunAndClose);
        let reply = first.client.service(&call(1, "k1"), "rota", "book", "", true).await.unwrap();
        assert_eq!((reply.status, &reply.json()["outcome"]), (502, &json!("unknown")));
        service.set_behaviour(Behaviour::Answer);
        let again = second.client.service(&call(1, "k1"), "rota", "book", "", true).await.unwrap();
        assert_eq!((again.status, &again.json()["reason"]), (409, &json!("in_doubt")));
        assert_eq!(service.runs()["k1"], 1);
    });
}

#[test]
fn the_caller_may_only_ask_for_the_stricter_rule() {
    run(async |executor| {
        let service = Service::start(&executor).await.unwrap();
        let rig = Rig::new(&executor, &[], &[service.address]);
        let node = rig.node(1).await;
        rig.open(&node).await;
        service.set_behaviour(Behaviour::RunAndClose);
        node.client.service(&call(1, "loose"), "search", "find", "", true).await.unwrap();
        assert_eq!(service.runs()["loose"], 3, "the baseline makes three attempts");
        service.set_behaviour(Behaviour::Answer);
        node.client.service(&call(1, "loose"), "search", "find", "", true).await.unwrap();
        service.set_behaviour(Behaviour::RunAndClose);
        node.client.service(&call(2, "strict"), "search", "find", "", false).await.unwrap();
        assert_eq!(service.runs()["strict"], 1);
    });
}

#[test]
fn an_answer_that_reports_an_error_is_an_answer() {
    run(async |executor| {
        let service = Service::start(&executor).await.unwrap();
        let rig = Rig::new(&executor, &[], &[service.address]);
        let node = rig.node(1).await;
        rig.open(&node).await;
        service.set_behaviour(Behaviour::Fail);
        let failed = node.client.service(&call(1, "k1"), "rota", "book", "ward 3", true).await.unwrap();
        assert_eq!((failed.status, &failed.json()["body"]), (500, &json!("ward 3")));
        service.set_behaviour(Behaviour::Answer);
        let again = node.client.service(&call(1, "k1"), "rota", "book", "ward 3", true).await.unwrap();
        assert_eq!((again.status, again.body), (500, failed.body));
        assert_eq!(service.runs()["k1"], 1);
    });
}

#[test]
fn not_run_is_told_only_where_nothing_was_started() {
    run(async |executor| {
        let service = Service::start(&executor).await.unwrap();
        let gone = Service::start(&executor).await.unwrap();
        let rig = Rig::new(&executor, &[], &[gone.address]);
        let node = rig.node(1).await;
        rig.open(&node).await;
        gone.set_behaviour(Behaviour::NotRun);
        let refused = node.client.service(&call(1, "k1"), "rota", "book", "", true).await.unwrap();
        assert_eq!((refused.status, &refused.json()["outcome"]), (503, &json!("not_run")));
        assert!(refused.retry_after.is_some());
        gone.stop();
        let unreachable = node.client.service(&call(1, "k2"), "rota", "book", "", true).await.unwrap();
        assert_eq!((unreachable.status, &unreachable.json()["outcome"]), (503, &json!("not_run")));
        let view = rig.ledger.program(PROGRAM);
        assert_eq!((view.next_call.0, view.reserved), (1, 0));
        drop(service);
    });
}

/// What an attempt that broke off is charged for its prompt.
fn lost_cost(form: &serde_json::Value) -> u64 {
    let prompt = serde_json::to_vec(&[None, form.get("messages")]).unwrap();
    u64::from(prefix::estimate_tokens(&prompt))
}

#[test]
fn a_broken_stream_is_told_and_its_retry_is_given_whole() {
    run(async |executor| {
        let engine = Engine::start(&executor, EngineConfig::default()).await.unwrap();
        let rig = Rig::new(&executor, &[engine.address], &[]);
        let node = rig.node(1).await;
        rig.open(&node).await;
        engine.break_next(1);
        let broken = node.client.chat(&call(1, "k1"), &chat()).await.unwrap();
        assert!(!broken.is_done());
        assert!(broken.events().last().unwrap().contains("broke_off"));
        while node.entry.in_flight() > 0 {
            smol::future::yield_now().await;
        }
        let again = node.client.chat(&call(1, "k1"), &chat()).await.unwrap();
        assert!(again.is_done());
        assert_eq!(again.text().matches("vrsta/dawn#1:").count(), 8);
        let requests = engine.requests();
        assert_eq!(requests.len(), 2);
        let spent = rig.ledger.program(PROGRAM).spent;
        assert_eq!(
            spent,
            requests[1].prompt_tokens + 8 + lost_cost(&chat()) + 2,
            "both attempts are charged"
        );
    });
}

#[test]
fn no_further_attempt_is_made_beyond_the_budget() {
    run(async |executor| {
        let engine = Engine::start(&executor, EngineConfig::default()).await.unwrap();
        let rig = Rig::new(&executor, &[engine.address], &[]);
        let node = rig.node(1).await;
        let budget = 2 * lost_cost(&chat()) + 8;
        let form = json!({ "partner": "vrsta", "team": "dawn", "class": "assistant", "name": "dawn", "budget": budget });
        node.client.open("open-1", &form).await.unwrap();
        engine.break_next(1);
        let broken = node.client.chat(&call(1, "k1"), &chat()).await.unwrap();
        assert!(!broken.is_done());
        while node.entry.in_flight() > 0 {
            smol::future::yield_now().await;
        }
        assert_eq!(engine.requests().len(), 1);
        let refused = node.client.chat(&call(1, "k1"), &chat()).await.unwrap();
        assert_eq!((refused.status, &refused.json()["reason"]), (409, &json!("budget")));
        assert_eq!(engine.requests().len(), 1);
        assert!(rig.ledger.program(PROGRAM).spent <= budget);
    });
}

#[test]
fn a_caller_that_goes_away_cancels_its_model_call_and_can_come_back() {
    run(async |executor| {
        let (permits, gate) = channel::unbounded();
        let config = EngineConfig { gate: Some(gate), ..EngineConfig::default() };
        let engine = Engine::start(&executor, config).await.unwrap();
        let rig = Rig::new(&executor, &[engine.address], &[]);
        let (first, second) = (rig.node(1).await, rig.node(2).await);
        rig.open(&first).await;
        permits.send(()).await.unwrap();
        let (seen_tx, seen) = channel::unbounded();
        let client = first.client;
        let chatting = executor.spawn(async move {
            let watch = |_: &[u8]| seen_tx.try_send(()).unwrap_or_default();
            client.chat_with_progress(&call(1, "k1"), &chat(), watch).await.map(|_| ())
        });
        seen.recv().await.unwrap();
        drop(chatting);
        while first.entry.in_flight() > 0 {
            smol::future::yield_now().await;
        }
        permits.close();
        let reply = second.client.chat(&call(1, "k1"), &chat()).await.unwrap();
        assert!(reply.is_done());
        while engine.running() > 0 {
            smol::future::yield_now().await;
        }
        assert_eq!(engine.cancelled(), 1);
    });
}

#[test]
fn a_booking_goes_on_when_its_caller_goes_away() {
    run(async |executor| {
        let service = Service::start(&executor).await.unwrap();
        let rig = Rig::new(&executor, &[], &[service.address]);
        let node = rig.node(1).await;
        rig.open(&node).await;
        service.set_behaviour(Behaviour::Hang);
        let client = node.client;
        let booking = executor
            .spawn(async move { client.service(&call(1, "k1"), "rota", "book", "", true).await.map(|_| ()) });
        service.wait_for_request().await;
        drop(booking);
        while node.entry.in_flight() > 1 {
            smol::future::yield_now().await;
        }
        let busy = node.client.answer(PROGRAM, "k1").await.unwrap();
        assert_eq!((busy.status, &busy.json()["reason"]), (409, &json!("in_progress")));
        service.release();
        while node.entry.in_flight() > 0 {
            smol::future::yield_now().await;
        }
        let stored = node.client.answer(PROGRAM, "k1").await.unwrap();
        assert_eq!((stored.status, &stored.json()["path"]), (200, &json!("/book")));
        assert_eq!(service.runs()["k1"], 1);
    });
}

#[test]
fn a_silent_connection_is_unknown_to_a_booking_and_retried_for_a_search() {
    run(async |executor| {
        let service = Service::start(&executor).await.unwrap();
        let forwarder = Forwarder::start(&executor, service.address).await.unwrap();
        let rig = Rig::new(&executor, &[], &[forwarder.address]);
        let node = rig.node(1).await;
        rig.open(&node).await;
        let patience = Duration::from_secs(10);
        for (number, key, name) in [(1, "k1", "search"), (2, "k2", "rota")] {
            forwarder.blackhole_new(true);
            let before = forwarder.dropped_bytes();
            let client = node.client;
            let calling =
                executor.spawn(async move { client.service(&call(number, key), name, "x", "", true).await });
            while forwarder.dropped_bytes() == before {
                smol::future::yield_now().await;
            }
            forwarder.blackhole_new(false);
            for _ in 0..8 {
                rig.timer.armed(patience / 8).await;
                rig.timer.advance(patience / 8);
            }
            let reply = calling.await.unwrap();
            let outcome = if name == "search" { (200, json!(null)) } else { (502, json!("unknown")) };
            assert_eq!((reply.status, reply.json()["outcome"].clone()), outcome);
        }
        assert_eq!(service.runs().get("k1"), Some(&1));
        assert_eq!(service.runs().get("k2"), None, "nobody could know that");
    });
}

#[test]
fn faults_of_the_ledger_are_told_truly() {
    run(async |executor| {
        let service = Service::start(&executor).await.unwrap();
        let rig = Rig::new(&executor, &[], &[service.address]);
        let node = rig.node(1).await;
        rig.open(&node).await;
        rig.ledger.fail(&[Fault::NotProposed]);
        let refused = node.client.service(&call(1, "k1"), "rota", "book", "", true).await.unwrap();
        assert_eq!((refused.status, &refused.json()["outcome"]), (503, &json!("not_run")));
        rig.ledger.fail(&[Fault::ReplyLost, Fault::ReplyLost]);
        let unsent = node.client.service(&call(1, "k2"), "rota", "book", "", true).await.unwrap();
        assert_eq!((unsent.status, &unsent.json()["outcome"]), (503, &json!("not_run")));
        assert!(service.runs().is_empty());
        assert_eq!(rig.ledger.take_commands(), ["Open", "Begin", "Begin", "NotRun"]);

        rig.ledger.fail(&[Fault::ReplyLost]);
        let booked = node.client.service(&call(1, "k3"), "rota", "book", "", true).await.unwrap();
        assert_eq!(booked.status, 200, "{}", booked.json());
        assert_eq!(rig.ledger.take_commands(), ["Begin", "Begin", "Finish"]);
        assert_eq!(service.runs()["k3"], 1);
    });
}

#[test]
fn a_resend_is_never_told_not_run_on_a_guess() {
    run(async |executor| {
        let service = Service::start(&executor).await.unwrap();
        let rig = Rig::new(&executor, &[], &[service.address]);
        let (first, second) = (rig.node(1).await, rig.node(2).await);
        rig.open(&first).await;
        let book =
            async |node: &Node| node.client.service(&call(1, "k1"), "rota", "book", "", true).await.unwrap();
        let booked = book(&first).await;
        rig.control.taking.set(Err(NotTakingWork::Isolated));
        assert_eq!(book(&second).await.body, booked.body, "an answer is given although no work is taken");
        rig.ledger.silent.set(true);
        let blind = book(&second).await;
        assert_eq!(
            (&blind.json()["outcome"], &blind.json()["reason"]),
            (&json!("unknown"), &json!("isolated"))
        );
        rig.control.taking.set(Ok(()));
        rig.ledger.fail(&[Fault::NotProposed]);
        let cut_off = book(&second).await;
        assert_eq!(
            (&cut_off.json()["outcome"], &cut_off.json()["reason"]),
            (&json!("unknown"), &json!("ledger"))
        );
        assert_eq!(service.runs()["k1"], 1);
    });
}

#[test]
fn a_stopping_node_refuses_new_work_and_finishes_its_streams() {
    run(async |executor| {
        let (permits, gate) = channel::unbounded();
        let config = EngineConfig { gate: Some(gate), ..EngineConfig::default() };
        let engine = Engine::start(&executor, config).await.unwrap();
        let rig = Rig::new(&executor, &[engine.address], &[]);
        let node = rig.node(1).await;
        rig.open(&node).await;
        permits.send(()).await.unwrap();
        let (seen_tx, seen) = channel::unbounded();
        let client = node.client;
        let chatting = executor.spawn(async move {
            let watch = |_: &[u8]| seen_tx.try_send(()).unwrap_or_default();
            client.chat_with_progress(&call(1, "k1"), &chat(), watch).await
        });
        seen.recv().await.unwrap();
        node.entry.stopping.set(true);
        let refused = node.client.chat(&call(2, "k2"), &chat()).await.unwrap();
        assert_eq!((refused.status, &refused.json()["reason"]), (503, &json!("stopping")));
        assert_eq!(refused.json()["outcome"], "not_run");
        permits.close();
        assert!(chatting.await.unwrap().is_done());
        let stored = node.client.answer(PROGRAM, "k1").await.unwrap();
        assert_eq!(stored.status, 200, "stored answers are still given");
    });
}

#[test]
fn an_isolated_node_refuses_with_its_reason() {
    run(async |executor| {
        let rig = Rig::new(&executor, &[], &[]);
        let node = rig.node(1).await;
        rig.control.taking.set(Err(NotTakingWork::Isolated));
        let form = json!({ "partner": "vrsta", "team": "dawn", "class": "assistant" });
        let refused = node.client.open("k", &form).await.unwrap();
        assert_eq!((refused.status, &refused.json()["reason"]), (503, &json!("isolated")));
        assert_eq!(*rig.recorder.refused.borrow(), ["isolated"]);
    });
}

#[test]
fn a_leaving_backend_server_gets_no_new_call() {
    run(async |executor| {
        let (one, two) = (Service::start(&executor).await.unwrap(), Service::start(&executor).await.unwrap());
        let rig = Rig::new(&executor, &[], &[one.address, two.address]);
        let node = rig.node(1).await;
        rig.open(&node).await;
        rig.control.leave("rota-0");
        for number in 1..=6 {
            let key = format!("k{number}");
            let reply = node.client.service(&call(number, &key), "rota", "book", "", true).await.unwrap();
            assert_eq!(reply.status, 200);
        }
        assert_eq!((one.runs().len(), two.runs().len()), (0, 6));
    });
}

/// Turns every call away.
struct Overloaded;

impl Scheduler for Overloaded {
    fn step(&mut self, _: Timestamp, event: Event) -> Decisions {
        let mut decisions = Decisions::default();
        if let Event::Submit(call) = event {
            let retry_after = Duration::from_secs(7);
            decisions.actions.push(Action::Refuse {
                call: call.id,
                reason: RefusalReason::Overload,
                retry_after,
            });
        }
        decisions
    }

    fn backend(&self, _: BackendKey) -> Option<&Backend> {
        None
    }

    fn tick_interval(&self) -> Duration {
        Duration::from_secs(1)
    }

    fn backend_states(&self) -> Vec<BackendState> {
        Vec::new()
    }
}

#[test]
fn a_call_that_is_turned_away_costs_no_commit() {
    run(async |executor| {
        let engine = Engine::start(&executor, EngineConfig::default()).await.unwrap();
        let rig = Rig::new(&executor, &[engine.address], &[]);
        let (busy, free) = (rig.node_with(1, Box::new(Overloaded)).await, rig.node(2).await);
        rig.open(&busy).await;
        rig.ledger.take_commands();
        let refused = busy.client.chat(&call(1, "k1"), &chat()).await.unwrap();
        assert_eq!((refused.status, &refused.json()["reason"]), (503, &json!("overload")));
        assert_eq!((&refused.json()["outcome"], refused.retry_after), (&json!("not_run"), Some(7)));
        assert!(rig.ledger.take_commands().is_empty());

        let reply = free.client.chat(&call(1, "k1"), &chat()).await.unwrap();
        assert!(reply.is_done());
        let resent = busy.client.chat(&call(1, "k1"), &chat()).await.unwrap();
        assert_eq!(resent.body, reply.body, "what ran elsewhere is never told as not run");
        assert!(rig.ledger.take_commands().len() == 2, "one begin and one finish");
    });
}

#[test]
fn what_a_partner_declares_reaches_only_its_own_calls() {
    run(async |executor| {
        let (ours, theirs) =
            (Service::start(&executor).await.unwrap(), Service::start(&executor).await.unwrap());
        let own = |service: &Service| {
            let servers = backend("rota-1", "service", service.address, "rota");
            format!("{PARTNER}services: {{ rota: {{}} }}\nbackend_servers:\n{servers}")
        };
        let rig = Rig::declaring(&executor, &[("lernwerk", own(&theirs)), ("vrsta", own(&ours))]);
        let node = rig.node(1).await;
        for partner in ["vrsta", "lernwerk"] {
            let form = json!({ "partner": partner, "team": "dawn", "class": "assistant", "name": "dawn" });
            node.client.open(partner, &form).await.unwrap();
            let call = ClientCall { program: format!("{partner}/dawn"), number: 1, key: partner.to_owned() };
            let reply = node.client.service(&call, "rota", "book", "", true).await.unwrap();
            assert_eq!(reply.status, 200, "{}", reply.json());
        }
        assert_eq!(ours.runs().into_keys().collect::<Vec<_>>(), ["vrsta"]);
        assert_eq!(theirs.runs().into_keys().collect::<Vec<_>>(), ["lernwerk"]);
    });
}
