//! What goes to and fro with engines beside calls: reports, cache changes and orders about caches.

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

use crate::support::PROGRAM;
use crate::support::Rig;
use crate::support::call;
use crate::support::run;

const INTERVAL: Duration = Duration::from_secs(1);

/// What the scheduler was told.
#[derive(Default)]
struct Told {
    asked: Vec<u64>,
    stored: Vec<u64>,
    evicted: Vec<u64>,
    reports: u32,
}

/// The baseline, which also has the cache of a program released when it ends.
struct Releasing {
    inner: RoundRobinScheduler,
    told: Rc<RefCell<Told>>,
}

impl Releasing {
    fn note(&self, event: &Event) {
        let mut told = self.told.borrow_mut();
        match event {
            Event::Submit(call) => {
                if let Work::Model { blocks, .. } = &call.work {
                    told.asked.extend_from_slice(blocks);
                }
            }
            Event::Load { .. } => told.reports += 1,
            Event::Cache { change: CacheChange::Stored(blocks), .. } => told.stored.extend_from_slice(blocks),
            Event::Cache { change: CacheChange::Evicted(blocks), .. } => {
                told.evicted.extend_from_slice(blocks);
            }
            _ => {}
        }
    }
}

impl Scheduler for Releasing {
    fn step(&mut self, now: Timestamp, event: Event) -> Decisions {
        self.note(&event);
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
        7 * INTERVAL
    }

    fn backend_states(&self) -> Vec<BackendState> {
        self.inner.backend_states()
    }
}

#[test]
fn an_engine_reports_its_cache_and_releases_that_of_the_gone() {
    run(async |executor| {
        let engine = Engine::start(&executor, EngineConfig::default()).await.unwrap();
        let rig = Rig::new(&executor, &[engine.address], &[]);
        let told = Rc::new(RefCell::new(Told::default()));
        let scheduler = Releasing { inner: RoundRobinScheduler::default(), told: Rc::clone(&told) };
        let node = rig.node_with(1, Box::new(scheduler)).await;
        let calls = Rc::clone(&node.entry.dispatcher);
        executor.spawn(async move { calls.run_background().await }).detach();
        rig.open(&node).await;
        let form = chat_body("small", &"You find replacements. ".repeat(60), "Ana is ill.", 2);
        node.client.chat(&call(1, "k1"), &form).await.unwrap();
        assert!(engine.cached_blocks() > 4);

        let report = async |expected: u32| {
            rig.timer.armed(INTERVAL).await;
            rig.timer.advance(INTERVAL);
            while told.borrow().reports < expected {
                smol::future::yield_now().await;
            }
        };
        report(1).await;
        assert_eq!(told.borrow().stored, told.borrow().asked, "both sides hash blocks alike");

        node.client.end(PROGRAM).await.unwrap();
        engine.wait_for_cache_order().await;
        assert_eq!(engine.cache_orders(), [(PROGRAM.to_owned(), "release".to_owned())]);
        assert_eq!(engine.cached_blocks(), 0);
        report(2).await;
        assert_eq!(told.borrow().evicted, told.borrow().asked);
        assert_eq!(told.borrow().stored, told.borrow().asked, "a change is told once");
    });
}
