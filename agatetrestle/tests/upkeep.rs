//! Traffic with engines besides calls: load reports, cache changes and cache commands.

mod support;

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use agatetrestle::clock::Timestamp;
use agatetrestle::ids::ProgramId;
use agatetrestle::scheduler::BackendState;
use agatetrestle::scheduler::Scheduler;
use agatetrestle::scheduler::event::Backend;
use agatetrestle::scheduler::event::BackendKey;
use agatetrestle::scheduler::event::CacheChange;
use agatetrestle::scheduler::event::CacheCommand;
use agatetrestle::scheduler::event::Decisions;
use agatetrestle::scheduler::event::Event;
use agatetrestle::scheduler::event::Work;
use agatetrestle::scheduler::round_robin::RoundRobinScheduler;
use agatetrestle_fakes::Engine;
use agatetrestle_fakes::EngineConfig;
use agatetrestle_fakes::client::chat_body;

use crate::support::Harness;
use crate::support::PROGRAM;
use crate::support::call;
use crate::support::run;

const REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// Blocks and reports from the events that reached the scheduler.
#[derive(Default)]
struct ObservedEvents {
    requested: Vec<u64>,
    stored: Vec<u64>,
    evicted: Vec<u64>,
    reports: u32,
}

/// Round robin that also releases the cache of a program when the program ends.
struct ReleasingScheduler {
    inner: RoundRobinScheduler,
    observed: Rc<RefCell<ObservedEvents>>,
}

impl ReleasingScheduler {
    fn record(&self, event: &Event) {
        let mut observed = self.observed.borrow_mut();
        match event {
            Event::Submit(call) => {
                if let Work::Model { blocks, .. } = &call.work {
                    observed.requested.extend_from_slice(blocks);
                }
            }
            Event::Load { .. } => observed.reports += 1,
            Event::Cache { change: CacheChange::Stored(blocks), .. } => {
                observed.stored.extend_from_slice(blocks);
            }
            Event::Cache { change: CacheChange::Evicted(blocks), .. } => {
                observed.evicted.extend_from_slice(blocks);
            }
            _ => {}
        }
    }
}

impl Scheduler for ReleasingScheduler {
    fn step(&mut self, now: Timestamp, event: Event) -> Decisions {
        self.record(&event);
        let ended = matches!(event, Event::Ended(_));
        let mut decisions = self.inner.step(now, event);
        if ended {
            let program = ProgramId::parse(PROGRAM).unwrap();
            let backend = self.inner.backend_states()[0].key;
            decisions.cache_commands.push(CacheCommand::Release { program, backend });
        }
        decisions
    }

    fn backend(&self, key: BackendKey) -> Option<&Backend> {
        self.inner.backend(key)
    }

    fn tick_interval(&self) -> Duration {
        7 * REPORT_INTERVAL
    }

    fn backend_states(&self) -> Vec<BackendState> {
        self.inner.backend_states()
    }
}

#[test]
fn reports_and_releases_engine_caches() {
    run(async |executor| {
        let engine = Engine::start(&executor, EngineConfig::default()).await.unwrap();
        let harness = Harness::new(&executor, &[engine.address], &[]);
        let observed = Rc::new(RefCell::new(ObservedEvents::default()));
        let scheduler =
            ReleasingScheduler { inner: RoundRobinScheduler::default(), observed: Rc::clone(&observed) };
        let node = harness.start_node_with(1, Box::new(scheduler)).await;
        let dispatcher = Rc::clone(&node.entry.dispatcher);
        executor.spawn(async move { dispatcher.run_background().await }).detach();
        harness.open_program(&node).await;
        let body = chat_body("small", &"You find replacements. ".repeat(60), "Ana is ill.", 2);
        node.client.chat(&call(1, "k1"), &body).await.unwrap();
        assert!(engine.cached_blocks() > 4);

        let report = async |expected: u32| {
            harness.timer.wait_for_sleep(REPORT_INTERVAL).await;
            harness.timer.advance(REPORT_INTERVAL);
            while observed.borrow().reports < expected {
                smol::future::yield_now().await;
            }
        };
        report(1).await;
        assert_eq!(
            observed.borrow().stored,
            observed.borrow().requested,
            "entry and engine must hash blocks alike"
        );

        node.client.end(PROGRAM).await.unwrap();
        engine.wait_for_cache_order().await;
        assert_eq!(engine.cache_orders(), [(PROGRAM.to_owned(), "release".to_owned())]);
        assert_eq!(engine.cached_blocks(), 0);
        report(2).await;
        assert_eq!(observed.borrow().evicted, observed.borrow().requested);
        assert_eq!(
            observed.borrow().stored,
            observed.borrow().requested,
            "a cache change must be reported once"
        );
    });
}
