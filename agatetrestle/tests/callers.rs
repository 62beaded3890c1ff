//! End-to-end tests of the caller API: model calls, service calls, resends and reported outcomes.

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
use agatetrestle_fakes::server::Framing;
use agatetrestle_fakes::service::Behaviour;
use serde_json::json;
use smol::channel;

use crate::support::Harness;
use crate::support::LedgerFault;
use crate::support::PARTNER_DOCUMENT;
use crate::support::PROGRAM;
use crate::support::TestNode;
use crate::support::backend_entry;
use crate::support::call;
use crate::support::chat_request;
use crate::support::run;

#[test]
fn runs_a_program_from_open_to_end() {
    run(async |executor| {
        let engine = Engine::start(&executor, EngineConfig::default()).await.unwrap();
        let service = Service::start(&executor).await.unwrap();
        let harness = Harness::new(&executor, &[engine.address], &[service.address]);
        let node = harness.start_node(1).await;
        assert_eq!(node.client.addresses(None).await.unwrap(), [node.client.address]);
        harness.open_program(&node).await;

        let reply = node.client.chat(&call(1, "k1"), &chat_request()).await.unwrap();
        assert_eq!(reply.status, 200);
        assert!(reply.is_done());
        assert!(reply.text().starts_with("vrsta/dawn#1:0 vrsta/dawn#1:1 "));
        let booking =
            node.client.service(&call(2, "k2"), "rota", "book?day=1", "ward 3", true).await.unwrap();
        assert_eq!(booking.json()["body"], "ward 3");
        assert_eq!(service.runs()["k2"], 1);
        let ended = node.client.end(PROGRAM).await.unwrap();
        let spent = 8 + engine.requests()[0].prompt_tokens;
        assert_eq!(ended.json()["spent"], spent);
        assert_eq!(ended.json()["reserved"], 0);
        assert_eq!(harness.ledger.take_commands(), ["Open", "Begin", "Finish", "Begin", "Finish", "End"]);
        assert_eq!(node.entry.in_flight(), 0);
    });
}

#[test]
fn records_program_measurements() {
    run(async |executor| {
        let engine = Engine::start(&executor, EngineConfig::default()).await.unwrap();
        let harness = Harness::new(&executor, &[engine.address], &[]);
        let node = harness.start_node(1).await;
        harness.open_program(&node).await;
        let reply = node.client.chat(&call(1, "k1"), &chat_request()).await.unwrap();
        node.client.end(PROGRAM).await.unwrap();
        let events = String::from_utf8(reply.body).unwrap().matches("data: ").count();
        let streamed_parts = events - 1; // The entry itself sends the last event.
        let recorder = &harness.recorder;
        assert_eq!(recorder.count(|m| matches!(m, Measurement::FirstToken(_))), 1);
        assert_eq!(recorder.count(|m| matches!(m, Measurement::BetweenTokens(_))), streamed_parts - 1);
        assert_eq!(recorder.count(|m| *m == Measurement::Tokens(8)), 1);
        for is_latency in [
            |m: &Measurement| matches!(m, Measurement::ProgramLatency(_)),
            |m: &Measurement| matches!(m, Measurement::QueueWait(_)),
            |m: &Measurement| matches!(m, Measurement::AddedTime(_)),
        ] {
            assert_eq!(recorder.count(is_latency), 1);
        }
        assert_eq!(
            recorder.count(|m| matches!(m, Measurement::Commit(_))),
            2,
            "one commit each for `Begin` and `Finish`"
        );
    });
}

#[test]
fn returns_stored_answers_from_any_node() {
    run(async |executor| {
        let engine = Engine::start(&executor, EngineConfig::default()).await.unwrap();
        let harness = Harness::new(&executor, &[engine.address], &[]);
        let (first, second) = (harness.start_node(1).await, harness.start_node(2).await);
        harness.open_program(&first).await;
        let reply = first.client.chat(&call(1, "k1"), &chat_request()).await.unwrap();
        let resent = second.client.chat(&call(1, "k1"), &chat_request()).await.unwrap();
        let fetched = second.client.answer(PROGRAM, "k1").await.unwrap();
        assert_eq!(resent.body, reply.body);
        assert_eq!(fetched.body, reply.body);
        assert_eq!(fetched.content_type, "text/event-stream");
        assert_eq!(engine.requests().len(), 1);

        let other = json!({ "model": "small", "messages": [] });
        let reused = second.client.chat(&call(1, "k1"), &other).await.unwrap();
        assert_eq!((reused.status, &reused.json()["reason"]), (422, &json!("key_reused")));
    });
}

#[test]
fn ends_streams_after_storing_the_answer() {
    run(async |executor| {
        let engine = Engine::start(&executor, EngineConfig::default()).await.unwrap();
        let harness = Harness::new(&executor, &[engine.address], &[]);
        let node = harness.start_node(1).await;
        harness.open_program(&node).await;
        harness.ledger.block_finishes.set(true);
        let received = Rc::new(RefCell::new(String::new()));
        let (client, progress) = (node.client, Rc::clone(&received));
        let chatting = executor.spawn(async move {
            let watch = |bytes: &[u8]| progress.borrow_mut().push_str(&String::from_utf8_lossy(bytes));
            client.chat_with_progress(&call(1, "k1"), &chat_request(), watch).await
        });
        while harness.ledger.received_finishes.get() == 0 || !received.borrow().contains("#1:7 ") {
            smol::future::yield_now().await;
        }
        node.client.addresses(None).await.unwrap();
        assert!(!received.borrow().contains("[DONE]"), "the stream ended before its answer was stored");
        assert_eq!(harness.ledger.program(PROGRAM).last.map(|last| last.1), Some(CallState::Open));
        harness.ledger.block_finishes.set(false);
        assert!(chatting.await.unwrap().is_done());
        assert_eq!(harness.ledger.program(PROGRAM).last.map(|last| last.1), Some(CallState::Finished));
    });
}

#[test]
fn never_retries_non_repeatable_calls() {
    run(async |executor| {
        let service = Service::start(&executor).await.unwrap();
        let harness = Harness::new(&executor, &[], &[service.address]);
        let (first, second) = (harness.start_node(1).await, harness.start_node(2).await);
        harness.open_program(&first).await;
        service.set_behaviour(Behaviour::RunAndClose);
        let reply = first.client.service(&call(1, "k1"), "rota", "book", "", true).await.unwrap();
        assert_eq!((reply.status, &reply.json()["outcome"]), (502, &json!("unknown")));
        service.set_behaviour(Behaviour::Answer);
        let retried = second.client.service(&call(1, "k1"), "rota", "book", "", true).await.unwrap();
        assert_eq!((retried.status, &retried.json()["reason"]), (409, &json!("in_doubt")));
        assert_eq!(service.runs()["k1"], 1);
    });
}

/// Guards against resends of a repeatable call that end one server after the other.
#[test]
fn repeatable_call_under_which_three_servers_ended_is_sent_to_none() {
    run(async |executor| {
        let service = Service::start(&executor).await.unwrap();
        let harness = Harness::new(&executor, &[], &[service.address]);
        let nodes = [harness.start_node(1).await, harness.start_node(2).await];
        harness.open_program(&nodes[0]).await;
        service.set_behaviour(Behaviour::RunAndClose);
        for number in 0..6 {
            let node = &nodes[number % 2];
            let reply = node.client.service(&call(1, "k1"), "search", "find", "x", true).await.unwrap();
            assert_eq!(reply.json()["outcome"], json!("unknown"), "{number}");
        }
        assert_eq!(service.runs()["k1"], 3);
        service.set_behaviour(Behaviour::Answer);
        let same = nodes[0].client.service(&call(2, "k2"), "search", "find", "x", true).await.unwrap();
        assert_eq!((same.status, &same.json()["reason"]), (409, &json!("suspect")));
        assert_eq!(same.json()["outcome"], json!("not_run"));
        let other = nodes[0].client.service(&call(2, "k3"), "search", "find", "y", true).await.unwrap();
        assert_eq!(other.status, 200);
        assert_eq!(service.runs().get("k2"), None);
    });
}

/// The same for an engine that ends with all its connections, and starts again.
#[test]
fn engine_ends_three_times_under_a_fatal_prompt() {
    run(async |executor| {
        let cfg = EngineConfig { fatal_text: Some("Ana is ill.".into()), ..EngineConfig::default() };
        let engine = Engine::start(&executor, cfg).await.unwrap();
        let harness = Harness::new(&executor, &[engine.address], &[]);
        let nodes = [harness.start_node(1).await, harness.start_node(2).await];
        harness.open_program(&nodes[0]).await;
        let fatal = chat_request();
        for number in 0..6 {
            let reply = nodes[number % 2].client.chat(&call(1, "k1"), &fatal).await.unwrap();
            assert_ne!(reply.status, 200, "{number}: {}", reply.text());
        }
        assert!((1..=3).contains(&engine.restarts()), "{}", engine.restarts());
    });
}

#[test]
fn callers_can_only_disable_retries() {
    run(async |executor| {
        let service = Service::start(&executor).await.unwrap();
        let harness = Harness::new(&executor, &[], &[service.address]);
        let node = harness.start_node(1).await;
        harness.open_program(&node).await;
        service.set_behaviour(Behaviour::RunAndClose);
        node.client.service(&call(1, "loose"), "search", "find", "", true).await.unwrap();
        assert_eq!(service.runs()["loose"], 3, "round robin makes three attempts");
        service.set_behaviour(Behaviour::Answer);
        node.client.service(&call(1, "loose"), "search", "find", "", true).await.unwrap();
        service.set_behaviour(Behaviour::RunAndClose);
        node.client.service(&call(2, "strict"), "search", "find", "y", false).await.unwrap();
        assert_eq!(service.runs()["strict"], 1);
    });
}

#[test]
fn stores_error_responses_as_answers() {
    run(async |executor| {
        let service = Service::start(&executor).await.unwrap();
        let harness = Harness::new(&executor, &[], &[service.address]);
        let node = harness.start_node(1).await;
        harness.open_program(&node).await;
        service.set_behaviour(Behaviour::Fail);
        let failed = node.client.service(&call(1, "k1"), "rota", "book", "ward 3", true).await.unwrap();
        assert_eq!((failed.status, &failed.json()["body"]), (500, &json!("ward 3")));
        service.set_behaviour(Behaviour::Answer);
        let retried = node.client.service(&call(1, "k1"), "rota", "book", "ward 3", true).await.unwrap();
        assert_eq!((retried.status, retried.body), (500, failed.body));
        assert_eq!(service.runs()["k1"], 1);
    });
}

#[test]
fn reports_not_run_only_if_nothing_started() {
    run(async |executor| {
        let service = Service::start(&executor).await.unwrap();
        let backend = Service::start(&executor).await.unwrap();
        let harness = Harness::new(&executor, &[], &[backend.address]);
        let node = harness.start_node(1).await;
        harness.open_program(&node).await;
        backend.set_behaviour(Behaviour::NotRun);
        let refused = node.client.service(&call(1, "k1"), "rota", "book", "", true).await.unwrap();
        assert_eq!((refused.status, &refused.json()["outcome"]), (503, &json!("not_run")));
        assert!(refused.retry_after.is_some());
        backend.stop();
        let unreachable = node.client.service(&call(1, "k2"), "rota", "book", "", true).await.unwrap();
        assert_eq!((unreachable.status, &unreachable.json()["outcome"]), (503, &json!("not_run")));
        let view = harness.ledger.program(PROGRAM);
        assert_eq!((view.next_call.0, view.reserved), (1, 0));
        drop(service);
    });
}

/// Prompt tokens charged for an attempt whose stream broke off.
fn estimate_prompt_tokens(request: &serde_json::Value) -> u64 {
    let prompt = serde_json::to_vec(&[None, request.get("messages")]).unwrap();
    u64::from(prefix::estimate_tokens(&prompt))
}

#[test]
fn reports_broken_streams_and_retries_in_full() {
    run(async |executor| {
        let engine = Engine::start(&executor, EngineConfig::default()).await.unwrap();
        let harness = Harness::new(&executor, &[engine.address], &[]);
        let node = harness.start_node(1).await;
        harness.open_program(&node).await;
        engine.break_next(1);
        let broken = node.client.chat(&call(1, "k1"), &chat_request()).await.unwrap();
        assert!(!broken.is_done());
        assert!(broken.events().last().unwrap().contains("broke_off"));
        while node.entry.in_flight() > 0 {
            smol::future::yield_now().await;
        }
        let retried = node.client.chat(&call(1, "k1"), &chat_request()).await.unwrap();
        assert!(retried.is_done());
        assert_eq!(retried.text().matches("vrsta/dawn#1:").count(), 8);
        let requests = engine.requests();
        assert_eq!(requests.len(), 2);
        let spent = harness.ledger.program(PROGRAM).spent;
        assert_eq!(
            spent,
            requests[1].prompt_tokens + 8 + estimate_prompt_tokens(&chat_request()) + 2,
            "both attempts must be charged"
        );
    });
}

/// Guards against a stream whose connection an engine closed being taken for a whole answer.
#[test]
fn stream_that_ends_with_its_connection_is_an_answer_only_after_its_last_event() {
    run(async |executor| {
        let config = EngineConfig { framing: Framing::UntilClose, ..EngineConfig::default() };
        let engine = Engine::start(&executor, config).await.unwrap();
        let harness = Harness::new(&executor, &[engine.address], &[]);
        let node = harness.start_node(1).await;
        harness.open_program(&node).await;
        engine.break_next(1);
        let broken = node.client.chat(&call(1, "k1"), &chat_request()).await.unwrap();
        assert!(!broken.is_done());
        assert!(broken.events().last().unwrap().contains("broke_off"));
        while node.entry.in_flight() > 0 {
            smol::future::yield_now().await;
        }
        let whole = node.client.chat(&call(1, "k1"), &chat_request()).await.unwrap();
        assert!(whole.is_done());
        assert_eq!(whole.text().matches("vrsta/dawn#1:").count(), 8);
    });
}

#[test]
fn makes_no_attempt_beyond_the_budget() {
    run(async |executor| {
        let engine = Engine::start(&executor, EngineConfig::default()).await.unwrap();
        let harness = Harness::new(&executor, &[engine.address], &[]);
        let node = harness.start_node(1).await;
        let budget = 2 * estimate_prompt_tokens(&chat_request()) + 8;
        let request = json!({ "partner": "vrsta", "team": "dawn", "class": "assistant", "name": "dawn", "budget": budget });
        node.client.open("open-1", &request).await.unwrap();
        engine.break_next(1);
        let broken = node.client.chat(&call(1, "k1"), &chat_request()).await.unwrap();
        assert!(!broken.is_done());
        while node.entry.in_flight() > 0 {
            smol::future::yield_now().await;
        }
        assert_eq!(engine.requests().len(), 1);
        let refused = node.client.chat(&call(1, "k1"), &chat_request()).await.unwrap();
        assert_eq!((refused.status, &refused.json()["reason"]), (409, &json!("budget")));
        assert_eq!(engine.requests().len(), 1);
        assert!(harness.ledger.program(PROGRAM).spent <= budget);
    });
}

#[test]
fn cancels_model_calls_on_disconnect() {
    run(async |executor| {
        let (permits, gate) = channel::unbounded();
        let config = EngineConfig { gate: Some(gate), ..EngineConfig::default() };
        let engine = Engine::start(&executor, config).await.unwrap();
        let harness = Harness::new(&executor, &[engine.address], &[]);
        let (first, second) = (harness.start_node(1).await, harness.start_node(2).await);
        harness.open_program(&first).await;
        permits.send(()).await.unwrap();
        let (progress_tx, progress) = channel::unbounded();
        let client = first.client;
        let chatting = executor.spawn(async move {
            let watch = |_: &[u8]| progress_tx.try_send(()).unwrap_or_default();
            client.chat_with_progress(&call(1, "k1"), &chat_request(), watch).await.map(|_| ())
        });
        progress.recv().await.unwrap();
        drop(chatting);
        while first.entry.in_flight() > 0 {
            smol::future::yield_now().await;
        }
        permits.close();
        let reply = second.client.chat(&call(1, "k1"), &chat_request()).await.unwrap();
        assert!(reply.is_done());
        while engine.running() > 0 {
            smol::future::yield_now().await;
        }
        assert_eq!(engine.cancelled(), 1);
    });
}

#[test]
fn finishes_service_calls_after_disconnect() {
    run(async |executor| {
        let service = Service::start(&executor).await.unwrap();
        let harness = Harness::new(&executor, &[], &[service.address]);
        let node = harness.start_node(1).await;
        harness.open_program(&node).await;
        service.set_behaviour(Behaviour::Hang);
        let client = node.client;
        let booking = executor
            .spawn(async move { client.service(&call(1, "k1"), "rota", "book", "", true).await.map(|_| ()) });
        service.wait_for_request().await;
        drop(booking);
        while node.entry.in_flight() > 1 {
            smol::future::yield_now().await;
        }
        let pending = node.client.answer(PROGRAM, "k1").await.unwrap();
        assert_eq!((pending.status, &pending.json()["reason"]), (409, &json!("in_progress")));
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
fn retries_timeouts_of_repeatable_calls_only() {
    run(async |executor| {
        let service = Service::start(&executor).await.unwrap();
        let forwarder = Forwarder::start(&executor, service.address).await.unwrap();
        let harness = Harness::new(&executor, &[], &[forwarder.address]);
        let node = harness.start_node(1).await;
        harness.open_program(&node).await;
        let timeout = Duration::from_secs(10);
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
                harness.timer.wait_for_sleep(timeout / 8).await;
                harness.timer.advance(timeout / 8);
            }
            let reply = calling.await.unwrap();
            let outcome = if name == "search" { (200, json!(null)) } else { (502, json!("unknown")) };
            assert_eq!((reply.status, reply.json()["outcome"].clone()), outcome);
        }
        assert_eq!(service.runs().get("k1"), Some(&1));
        assert_eq!(service.runs().get("k2"), None, "the forwarder dropped the request");
    });
}

#[test]
fn reports_outcomes_under_ledger_faults() {
    run(async |executor| {
        let service = Service::start(&executor).await.unwrap();
        let harness = Harness::new(&executor, &[], &[service.address]);
        let node = harness.start_node(1).await;
        harness.open_program(&node).await;
        harness.ledger.inject(&[LedgerFault::NotProposed]);
        let refused = node.client.service(&call(1, "k1"), "rota", "book", "", true).await.unwrap();
        assert_eq!((refused.status, &refused.json()["outcome"]), (503, &json!("not_run")));
        harness.ledger.inject(&[LedgerFault::ReplyLost, LedgerFault::ReplyLost]);
        let not_sent = node.client.service(&call(1, "k2"), "rota", "book", "", true).await.unwrap();
        assert_eq!((not_sent.status, &not_sent.json()["outcome"]), (503, &json!("not_run")));
        assert!(service.runs().is_empty());
        assert_eq!(harness.ledger.take_commands(), ["Open", "Begin", "Begin", "NotRun"]);

        harness.ledger.inject(&[LedgerFault::ReplyLost]);
        let booking = node.client.service(&call(1, "k3"), "rota", "book", "", true).await.unwrap();
        assert_eq!(booking.status, 200, "{}", booking.json());
        assert_eq!(harness.ledger.take_commands(), ["Begin", "Begin", "Finish"]);
        assert_eq!(service.runs()["k3"], 1);
    });
}

#[test]
fn never_reports_unverified_resends_as_not_run() {
    run(async |executor| {
        let service = Service::start(&executor).await.unwrap();
        let harness = Harness::new(&executor, &[], &[service.address]);
        let (first, second) = (harness.start_node(1).await, harness.start_node(2).await);
        harness.open_program(&first).await;
        let book = async |node: &TestNode| {
            node.client.service(&call(1, "k1"), "rota", "book", "", true).await.unwrap()
        };
        let booking = book(&first).await;
        harness.control.taking_work.set(Err(NotTakingWork::Isolated));
        assert_eq!(
            book(&second).await.body,
            booking.body,
            "stored answers are returned while the node takes no work"
        );
        harness.ledger.fail_queries.set(true);
        let unverified = book(&second).await;
        assert_eq!(
            (&unverified.json()["outcome"], &unverified.json()["reason"]),
            (&json!("unknown"), &json!("isolated"))
        );
        harness.control.taking_work.set(Ok(()));
        harness.ledger.inject(&[LedgerFault::NotProposed]);
        let no_quorum = book(&second).await;
        assert_eq!(
            (&no_quorum.json()["outcome"], &no_quorum.json()["reason"]),
            (&json!("unknown"), &json!("ledger"))
        );
        assert_eq!(service.runs()["k1"], 1);
    });
}

#[test]
fn stopping_node_finishes_open_streams() {
    run(async |executor| {
        let (permits, gate) = channel::unbounded();
        let config = EngineConfig { gate: Some(gate), ..EngineConfig::default() };
        let engine = Engine::start(&executor, config).await.unwrap();
        let harness = Harness::new(&executor, &[engine.address], &[]);
        let node = harness.start_node(1).await;
        harness.open_program(&node).await;
        permits.send(()).await.unwrap();
        let (progress_tx, progress) = channel::unbounded();
        let client = node.client;
        let chatting = executor.spawn(async move {
            let watch = |_: &[u8]| progress_tx.try_send(()).unwrap_or_default();
            client.chat_with_progress(&call(1, "k1"), &chat_request(), watch).await
        });
        progress.recv().await.unwrap();
        node.entry.stopping.set(true);
        let refused = node.client.chat(&call(2, "k2"), &chat_request()).await.unwrap();
        assert_eq!((refused.status, &refused.json()["reason"]), (503, &json!("stopping")));
        assert_eq!(refused.json()["outcome"], "not_run");
        permits.close();
        assert!(chatting.await.unwrap().is_done());
        let stored = node.client.answer(PROGRAM, "k1").await.unwrap();
        assert_eq!(stored.status, 200, "a stopping node must return stored answers");
    });
}

#[test]
fn isolated_node_refuses_with_a_reason() {
    run(async |executor| {
        let harness = Harness::new(&executor, &[], &[]);
        let node = harness.start_node(1).await;
        harness.control.taking_work.set(Err(NotTakingWork::Isolated));
        let request = json!({ "partner": "vrsta", "team": "dawn", "class": "assistant" });
        let refused = node.client.open("k", &request).await.unwrap();
        assert_eq!((refused.status, &refused.json()["reason"]), (503, &json!("isolated")));
        assert_eq!(*harness.recorder.refusals.borrow(), ["isolated"]);
    });
}

#[test]
fn sends_no_calls_to_leaving_backend_servers() {
    run(async |executor| {
        let (leaving, remaining) =
            (Service::start(&executor).await.unwrap(), Service::start(&executor).await.unwrap());
        let harness = Harness::new(&executor, &[], &[leaving.address, remaining.address]);
        let node = harness.start_node(1).await;
        harness.open_program(&node).await;
        harness.control.mark_leaving("rota-0");
        for number in 1..=6 {
            let key = format!("k{number}");
            let reply = node.client.service(&call(number, &key), "rota", "book", "", true).await.unwrap();
            assert_eq!(reply.status, 200);
        }
        assert_eq!((leaving.runs().len(), remaining.runs().len()), (0, 6));
    });
}

/// Refuses every call as overload.
struct OverloadedScheduler;

impl Scheduler for OverloadedScheduler {
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
fn refused_calls_cost_no_commit() {
    run(async |executor| {
        let engine = Engine::start(&executor, EngineConfig::default()).await.unwrap();
        let harness = Harness::new(&executor, &[engine.address], &[]);
        let (overloaded, other) =
            (harness.start_node_with(1, Box::new(OverloadedScheduler)).await, harness.start_node(2).await);
        harness.open_program(&overloaded).await;
        harness.ledger.take_commands();
        let refused = overloaded.client.chat(&call(1, "k1"), &chat_request()).await.unwrap();
        assert_eq!((refused.status, &refused.json()["reason"]), (503, &json!("overload")));
        assert_eq!((&refused.json()["outcome"], refused.retry_after), (&json!("not_run"), Some(7)));
        assert!(harness.ledger.take_commands().is_empty());

        let reply = other.client.chat(&call(1, "k1"), &chat_request()).await.unwrap();
        assert!(reply.is_done());
        let resent = overloaded.client.chat(&call(1, "k1"), &chat_request()).await.unwrap();
        assert_eq!(
            resent.body, reply.body,
            "a call that ran on another node must not be reported as not run"
        );
        assert!(harness.ledger.take_commands().len() == 2, "one `Begin` and one `Finish`");
    });
}

#[test]
fn isolates_services_between_partners() {
    run(async |executor| {
        let (vrsta, lernwerk) =
            (Service::start(&executor).await.unwrap(), Service::start(&executor).await.unwrap());
        let document = |service: &Service| {
            let servers = backend_entry("rota-1", "service", service.address, "rota");
            format!("{PARTNER_DOCUMENT}services: {{ rota: {{}} }}\nbackend_servers:\n{servers}")
        };
        let harness = Harness::with_documents(
            &executor,
            &[("lernwerk", document(&lernwerk)), ("vrsta", document(&vrsta))],
        );
        let node = harness.start_node(1).await;
        for partner in ["vrsta", "lernwerk"] {
            let request = json!({ "partner": partner, "team": "dawn", "class": "assistant", "name": "dawn" });
            node.client.open(partner, &request).await.unwrap();
            let call = ClientCall { program: format!("{partner}/dawn"), number: 1, key: partner.to_owned() };
            let reply = node.client.service(&call, "rota", "book", "", true).await.unwrap();
            assert_eq!(reply.status, 200, "{}", reply.json());
        }
        assert_eq!(vrsta.runs().into_keys().collect::<Vec<_>>(), ["vrsta"]);
        assert_eq!(lernwerk.runs().into_keys().collect::<Vec<_>>(), ["lernwerk"]);
    });
}
