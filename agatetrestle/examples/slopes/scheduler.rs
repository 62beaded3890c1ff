//! The scheduler of an entry node: decision time by replicas, and memory by live programs.

use std::sync::Arc;

use agatetrestle::clock::Timestamp;
use agatetrestle::ids::ProgramId;
use agatetrestle::programs::command::Repeatable;
use agatetrestle::scheduler::Policy;
use agatetrestle::scheduler::Scheduler;
use agatetrestle::scheduler::SchedulerConfig;
use agatetrestle::scheduler::build;
use agatetrestle::scheduler::event::Backend;
use agatetrestle::scheduler::event::Call;
use agatetrestle::scheduler::event::CallId;
use agatetrestle::scheduler::event::Catalog;
use agatetrestle::scheduler::event::Event;
use agatetrestle::scheduler::event::Work;
use agatetrestle_config::declarations::BackendKind;

use crate::fit::ScalingFit;
use crate::fit::Unit;
use crate::fit::measure_nanoseconds;
use crate::fit::resident_bytes;

const REPLICA_COUNTS: [u32; 4] = [50, 100, 200, 400];
/// Replicas in one region.
const TARGET_REPLICAS: f64 = 375.0;
const PROGRAM_COUNTS: [u64; 4] = [1_000, 2_000, 4_000, 8_000];
/// Live programs on one entry node.
const TARGET_LIVE_PROGRAMS: f64 = 775.0;
const TIMED_CALLS: u32 = 4_000;
/// Blocks in an average history, of 64 tokens each.
const BLOCKS_PER_PROGRAM: u64 = 625;

fn build_catalog(replicas: u32) -> Catalog {
    let backend = |number: u32| Backend {
        name: format!("engine-{number:04}").into(),
        kind: BackendKind::Engine,
        serves: "assistant".into(),
        vm: format!("gpu-{number:04}").into(),
        failure_domain: format!("domain-{}", number % 3).into(),
        slots: 16,
        cache_tokens: 200_000,
    };
    Catalog { backends: (0..replicas).map(backend).collect(), ..Catalog::default() }
}

fn build_scheduler(replicas: u32) -> Box<dyn Scheduler> {
    let mut scheduler = build(Policy::default(), SchedulerConfig::default(), 7);
    scheduler.step(Timestamp(0), Event::Catalog(Arc::new(build_catalog(replicas))));
    scheduler
}

fn submit_event(id: u64, program: u64, blocks: &Arc<[u64]>) -> Event {
    let program = ProgramId { partner: "vrsta".into(), name: format!("program-{program}").into() };
    Event::Submit(Call {
        id: CallId(id),
        root: program.clone(),
        program,
        team: "dawn".into(),
        class: "replacement".into(),
        work: Work::Model {
            model: "assistant".into(),
            blocks: blocks.clone(),
            prompt_tokens: 512,
            max_tokens: 256,
        },
        repeatable: Repeatable::Yes,
        deadline: None,
    })
}

fn run_call(scheduler: &mut Box<dyn Scheduler>, now: u64, id: u64, program: u64, blocks: &Arc<[u64]>) {
    let decisions = scheduler.step(Timestamp(now), submit_event(id, program, blocks));
    assert_eq!(decisions.actions.len(), 1);
    scheduler
        .step(Timestamp(now), Event::Finished { call: CallId(id), output_tokens: 200, cached_tokens: 0 });
}

/// Decision time of a call by replicas, and memory by live programs. The scheduler is returned so that it is not
/// freed before the next measurement, which would distort the resident memory.
pub fn measure() -> (Vec<ScalingFit>, Box<dyn Scheduler>) {
    let blocks: Arc<[u64]> = (0..8).collect();
    let time = REPLICA_COUNTS.map(|replicas| {
        let mut scheduler = build_scheduler(replicas);
        let time = measure_nanoseconds(3, TIMED_CALLS, |index| {
            run_call(&mut scheduler, u64::from(index), u64::from(index), u64::from(index) % 800, &blocks);
        });
        (f64::from(replicas), time)
    });
    let mut scheduler = build_scheduler(375);
    let base = resident_bytes();
    let mut started_programs = 0;
    let memory = PROGRAM_COUNTS.map(|programs| {
        for program in started_programs..programs {
            let program_blocks: Arc<[u64]> =
                (0..BLOCKS_PER_PROGRAM).map(|block| program * BLOCKS_PER_PROGRAM + block).collect();
            run_call(&mut scheduler, program, 1_000_000 + program, program, &program_blocks);
        }
        started_programs = programs;
        (programs as f64, resident_bytes() - base)
    });
    let lines = vec![
        ScalingFit {
            quantity: "entry: decisions about one call",
            unit: Unit::Nanoseconds,
            per: "replica",
            samples: time.to_vec(),
            extrapolated_to: TARGET_REPLICAS,
        },
        ScalingFit {
            quantity: "entry: scheduler's memory",
            unit: Unit::Bytes,
            per: "live program",
            samples: memory.to_vec(),
            extrapolated_to: TARGET_LIVE_PROGRAMS,
        },
    ];
    (lines, scheduler)
}
